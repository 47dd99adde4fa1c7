"""How three replicas agree on the versions of the configuration: single-decree Paxos, one instance a number.

Pure: `step(state, event)` gives the next state and what the driver is to do; no clock, I/O or randomness.
The types are in `violetsaddle/decide/replication_messages.py`, the reasons in
`docs/design/configuration.md`."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from violetsaddle.decide.replication_messages import (
    Action,
    Ballot,
    Durable,
    Event,
    HelloReply,
    Status,
    Version,
    Vote,
)


class Phase(Enum):
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
    raise NotImplementedError


def step(state: ReplicaState, event: Event) -> tuple[ReplicaState, tuple[Action, ...]]:
    """The next state, and what the driver is to do, in that order."""
    raise NotImplementedError
