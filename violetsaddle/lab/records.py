"""What happened on a day, as the world saw it: with the day itself the only source of judge and score.

Every record has `at`, integer microseconds since the day's start.  A `run` is one scheduling as its box saw
it (numbers are unique in a day), a `txn` the id of one try of one item, `life` counts a box's or node's
starts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

import msgspec


class _Record(msgspec.Struct, array_like=True, tag=True):
    at: int


# Clients.


class Sent(_Record):
    """The last byte of a try's request was written to a connection that the node accepted."""

    txn: str
    item: int
    tries: int  # 0 for the first
    node: int
    remaining: int  # X-Remaining as sent


class Answer(_Record):
    """The last byte of a whole final answer came."""

    txn: str
    status: int
    retry_after: float  # seconds; below 0: none was given
    body: str  # empty unless the status is 200


class Unreached(_Record):
    """No connection to the node came up for a try (refused, or no way in time)."""

    txn: str
    item: int
    tries: int
    node: int  # -1: the front knew of none


class Lost(_Record):
    """The connection ended without a whole answer to a try whose last byte was written."""

    txn: str
    why: str


class Gone(_Record):
    """The client closed its connection: it had lost patience, or its time and some grace had passed."""

    txn: str
    overdue: bool


class Strange(_Record):
    """Bytes that mean nothing: no answer, a second answer, an answer to nothing, a request that is none."""

    who: str  # "client n0", "box s-3", "roster", ...
    text: str


class BadEnd(_Record):
    """How a bad client's connection ended."""

    case: str
    node: int
    got: str  # error, close, nothing or served
    status: int
    waited: int


# Job boxes.


class Came(_Record):
    """The last byte of a scheduling came to a box."""

    run: int
    txn: str
    box: int
    life: int
    node: int
    first_at: int  # of its first byte
    remaining: int  # X-Remaining as it came
    body_same: bool  # body, path and key are as the client sent them


class Took(_Record):
    """The box has written its 202."""

    run: int


class TurnedAway(_Record):
    """The box has not taken it (503 with X-Turned-Away, or `returned`): it never runs."""

    run: int
    status: int  # 0: handed back by a callback


class Began(_Record):
    run: int


class Effect(_Record):
    """The job's effect happened, or the box dropped it as a repeat of the same key."""

    run: int
    dropped: bool
    work: int  # done for it


class Ended(_Record):
    """The run is over at the box: done, failed, lost or cancelled."""

    run: int
    how: str
    result: str  # of a run that is done; no other run has it, but those that were dropped as its repeats
    work: int = 0  # done for it, also if for nothing


class GivenUp(_Record):
    """The box learns that a scheduling is given up: by DELETE, or as its connection closes before the 202."""

    run: int
    how: str  # delete or closed


class Called(_Record):
    """A callback was answered, or its box has stopped trying."""

    run: int
    state: str
    status: int  # 0: never answered
    tries: int


class Probed(_Record):
    box: int
    node: int
    ok: bool


class BoxLife(_Record):
    """A box's own state: up, down, fell, draining, removed, silent, back, slow, normal, cold, warm."""

    box: int
    life: int
    what: str
    by: tuple[tuple[int, float], ...] = ()  # fell: work sent by each node within the window


class BoxLoad(_Record):
    """What a box had in work, sampled."""

    box: int
    running: int
    waiting: int
    rate: float  # work it can do in a microsecond, all cores


# Roster, network, nodes.


class Told(_Record):
    """The roster wrote an entry to a node, or the entry counts as told."""

    node: int
    node_life: int
    box: int
    state: str  # up, draining or removed
    started: int
    counted: bool = False


class NodeLife(_Record):
    """start, ready, term, kill, ended, pause, resume, crashed."""

    node: int
    life: int
    what: str
    code: int = 0


class GaveUp(_Record):
    """The module has ended a flow itself (seen on `sim` only): its answer must leave at once."""

    node: int
    txn: str
    how: str  # refuse or fail


class LeftOver(_Record):
    """Something that a node still holds though the day is over: its name and how many."""

    node: int
    what: str
    count: int


class Fault(_Record):
    """A node's log tells of an exception, or its program ended with one."""

    node: int
    text: str


class Mark(_Record):
    """A trouble begins here and ends at `until`."""

    until: int
    kind: str
    text: str


class Late(_Record):
    """A stand-in or a load driver fell behind its own times by so much: over 50 ms voids the run."""

    who: str
    by: int


Record: TypeAlias = (
    Sent
    | Answer
    | Unreached
    | Lost
    | Gone
    | Strange
    | BadEnd
    | Came
    | Took
    | TurnedAway
    | Began
    | Effect
    | Ended
    | GivenUp
    | Called
    | Probed
    | BoxLife
    | BoxLoad
    | Told
    | NodeLife
    | GaveUp
    | LeftOver
    | Fault
    | Mark
    | Late
)


class Ledger:
    """Keeps records in the order in which they were added."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.add = self.records.append

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self.records)


def decode(data: bytes) -> list[Record]:
    """Raises `msgspec.ValidationError` or `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(data, type=list[Record])


def merge(parts: Iterable[Iterable[Record]]) -> list[Record]:
    """Records of several processes in the order of their times."""
    every = [record for part in parts for record in part]
    every.sort(key=lambda record: record.at)
    return every
