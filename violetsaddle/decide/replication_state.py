"""The in-memory state of one replica of the configuration, and how a replica is created.

The state machine that changes it is in `violetsaddle/decide/replication.py`."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from violetsaddle.decide.replication_messages import Ballot, Durable, HelloReply, Peer, Status, Version, Vote

NONCE_BITS = 32  # the low bits of an incarnation; the number of starts is above them


class Phase(Enum):
    """What a proposer's round waits for."""

    PREPARE = 1  # promises
    ACCEPT = 2  # votes
    WAIT = 3  # the end of the back-off, after a Nack or an abandoned ballot


class Rules(Struct, frozen=True):
    """Limits of the protocol.

    patience: ticks after a start during which the replica waits for answers from all peers. After them a
    majority is enough, if the disk is whole.
    finish: ticks without progress after which this replica starts a ballot for an accepted version that is
    not committed. Each replica whose name sorts before this one's adds a tick.
    tries: ballots for a proposal before the result is `NoMajority` or `Undecided`."""

    patience: int = 5
    finish: int = 2
    tries: int = 5


DEFAULT_RULES = Rules()


class Proposal(Struct, frozen=True):
    """A client's proposal that is not answered yet.

    token: identifies the request in `Reply`.
    exposed: some replica, possibly this one, was asked to accept the version."""

    token: int
    version: Version
    exposed: bool = False


class Round(Struct, frozen=True):
    """The ballot that this replica runs as a proposer. `StartTimer` identifies it by `ballot.counter`.

    number: version number that the ballot decides.
    attempt: counts the ballots of a proposal, from 1.
    promises: the replicas that promised, each with its earlier vote; this replica is the first.
    votes: the replicas that accepted `version`.
    version: what the replicas are asked to accept; None in phase PREPARE."""

    ballot: Ballot
    number: int
    attempt: int
    phase: Phase
    promises: tuple[tuple[str, Vote | None], ...] = ()
    votes: tuple[str, ...] = ()
    version: Version | None = None


class ReplicaState(Struct, frozen=True):
    """The complete state of one replica.

    durable: what is on disk, with changes of `peers` that are included in the next write.
    loaded: the sequence that was on disk at the start, or after the last recovery.
    nonce: random number of this start.
    fresh: the operator declared this the first start of all replicas, and the disk shows no earlier vote.
    started: the first event was processed.
    ticks: number of `Tick` events since the start.
    idle: number of `Tick` events since the last ballot or commit in which an accepted version waited.
    highest: the highest ballot counter in any Nack.
    answers: the HelloReply of each peer to this incarnation's Hello, sorted by peer.
    proposals: in order of arrival.
    round: the current ballot of this replica, if there is one."""

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
    rules: Rules = DEFAULT_RULES


def next_incarnation(before: int, nonce: int) -> int:
    """The incarnation of the start that follows the one with incarnation `before`."""
    return ((before >> NONCE_BITS) + 1) << NONCE_BITS | nonce


def new_replica(
    name: str,
    peers: tuple[str, ...],
    durable: Durable | None,
    nonce: int,
    first_start: bool = False,
    rules: Rules = DEFAULT_RULES,
) -> ReplicaState:
    """Creates a replica. Its first event should be `Started`.

    peers: names of the other replicas.
    durable: the state read from disk; None if the disk is empty.
    nonce: random number from 0 to 2**32 - 1, a new one at each start.
    first_start: the operator declares this the first start of all replicas, so that empty disks need no
    recovery. It has an effect only if this disk never voted, and only after every peer has answered that it
    never saw a vote of this replica. Leaving the option set is therefore harmless."""
    stored = durable if durable is not None else Durable()
    known_peers = {peer.name: peer for peer in stored.peers}
    fresh = first_start and not stored.whole and not stored.sequence
    initial = replace(
        stored,
        incarnation=next_incarnation(stored.incarnation, nonce),
        peers=tuple(known_peers.get(peer, Peer(peer)) for peer in peers),
    )
    status = Status.STARTING if stored.whole or fresh else Status.RECOVERING
    return ReplicaState(name, peers, initial, stored.sequence, nonce, status, fresh, rules=rules)
