"""The state of one replica of the configuration, on disk and in memory; its rules are in `replication.py`."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from violetsaddle.decide.replication_messages import Ballot, Durable, HelloReply, Peer, Status, Version, Vote

STARTS = 32  # bits of the random number in an incarnation, below the count of starts


class Phase(Enum):
    """Of a round."""

    PREPARE = 1
    ACCEPT = 2
    # For the back-off to end, after a Nack or an abandoned ballot.
    WAIT = 3


class Rules(Struct, frozen=True):
    """patience: ticks after which a start with a whole disk is content with a majority of answers.
    finish: ticks after which an accepted version is finished by this replica; one more for each replica
    before it by name. tries: ballots for a proposal before `NoMajority` or `Undecided`."""

    patience: int = 5
    finish: int = 2
    tries: int = 5


RULES = Rules()


class Proposal(Struct, frozen=True):
    """`exposed`: some replica, this one included, was asked to accept it."""

    token: int
    version: Version
    exposed: bool = False


class Round(Struct, frozen=True):
    """Of this replica as a proposer; its number for `StartTimer` is `ballot.counter`."""

    ballot: Ballot
    number: int
    attempt: int
    phase: Phase
    promises: tuple[tuple[str, Vote | None], ...] = ()
    votes: tuple[str, ...] = ()
    version: Version | None = None


class ReplicaState(Struct, frozen=True):
    """`loaded`: the sequence on disk at the start. `answers`: to this incarnation's Hello, by peer."""

    name: str
    peers: tuple[str, ...]
    durable: Durable
    loaded: int
    nonce: int
    status: Status
    fresh: bool
    started: bool = False
    ticks: int = 0
    idle: int = 0
    highest: int = 0
    answers: tuple[tuple[str, HelloReply], ...] = ()
    proposals: tuple[Proposal, ...] = ()
    round: Round | None = None
    rules: Rules = RULES


def next_incarnation(before: int, nonce: int) -> int:
    """Of a start after those of `before`."""
    return ((before >> STARTS) + 1) << STARTS | nonce


def new_replica(
    name: str,
    peers: tuple[str, ...],
    durable: Durable | None,
    nonce: int,
    may_vote_at_once: bool = False,
    rules: Rules = RULES,
) -> ReplicaState:
    """A replica before its first event, which is to be `Started`.

    durable: from disk; None if the disk is empty. nonce: random, 0 to 2**32 - 1, another at each start.
    may_vote_at_once: the operator says that this is the first start of all replicas; it counts only with a
    disk that never voted, and only once every peer has said that it never saw a vote of this replica, so
    that it does no harm where it is left in place."""
    disk = durable if durable is not None else Durable()
    known = {peer.name: peer for peer in disk.peers}
    fresh = may_vote_at_once and not disk.whole and not disk.sequence
    mine = replace(
        disk,
        incarnation=next_incarnation(disk.incarnation, nonce),
        peers=tuple(known.get(peer, Peer(peer)) for peer in peers),
    )
    status = Status.STARTING if disk.whole or fresh else Status.RECOVERING
    return ReplicaState(name, peers, mine, disk.sequence, nonce, status, fresh, rules=rules)
