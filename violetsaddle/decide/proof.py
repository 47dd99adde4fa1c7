"""What is proven of an attempt: its life, and the outcome that each word about it allows.

A request may be sent again, or refused, only on proof that no earlier attempt of it ran.  What counts
as proof is the table of PROTOCOL ("what comes back"); here it is one table over the attempt's life, under
these rules, which the table of outcomes alone leaves open:

- Before the last byte has left, nothing that a real server says can be about this attempt: callbacks are
  passed over, and the end of the connection proves that it never ran.
- "Never ran" (`RETURNED`, `TURNED_AWAY`) after a start was told is a contradiction and proves nothing: it may
  have run.
- An answer that the protocol does not know says neither that the job was taken nor that it was not: it may be
  running, and is given up before anything else may leave.
- An answer that was cut proves nothing but that it was cut: the real server may have taken the job and
  believe that it said so.  The job is given up before anything else may leave, as it is after an odd answer.
- A connection that broke before any answer may have taken a 202 along, and may have broken by a call that
  failed here.  The job is given up before another attempt leaves.
- A job counts as given up once its DELETE is answered, not when the connection was closed or nothing came.
- What has ended stays as it ended.

`tests/test_repeats.py` searches all lives of a request under all effects from outside."""

from __future__ import annotations

import enum
from typing import NamedTuple

from violetsaddle import interface as api


class Life(enum.StrEnum):  # as text it is hashed without a call
    """How far an attempt has come, as far as is proven."""

    UNSENT = "unsent"  # its last byte has not left
    SENT = "sent"  # it has; no answer yet
    TAKEN = "taken"  # the real server has answered that it has the job, or it must be taken to have it
    RUNS = "runs"  # it has told of the start
    ENDED = "ended"  # its one outcome is known


class Word(enum.StrEnum):
    """What is heard of an attempt: from its connection, in an answer, or in a callback."""

    WRITTEN = "the kernel has taken the last byte"
    UNREACHED = "no connection came up"
    BROKE = "the connection ended before any answer"
    CUT = "the connection ended within an answer"
    ACCEPTED = "202"
    TURNED_AWAY = "503 or 504 with X-Turned-Away"
    ERRED = "500"
    ODD = "an answer that the protocol does not know"
    STARTED = "started, or running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class Release(enum.StrEnum):
    """What shows that an attempt was given up."""

    NONE = "none"  # it was not
    CLOSED = "closed"  # its connection alone: its last byte had not left, or no DELETE is allowed
    CONFIRMED = "confirmed"  # its DELETE was answered
    UNCONFIRMED = "unconfirmed"  # its DELETE was not


CALLBACKS = frozenset((Word.STARTED, Word.DONE, Word.FAILED, Word.RETURNED, Word.LOST))


class Step(NamedTuple):
    """What a word makes of an attempt."""

    life: Life
    outcome: str = ""  # of the interface; "": none yet
    give_up: bool = False  # first the real server is told that the job is not wanted: it may still run
    tell_before_repeat: bool = False  # the same, where another attempt may follow


_TAKEN = {
    Word.DONE: Step(Life.ENDED, api.OK),
    Word.FAILED: Step(Life.ENDED, api.ERROR),
    Word.LOST: Step(Life.ENDED, api.RESET),
    Word.STARTED: Step(Life.RUNS),
}
_ERRED = {Word.ERRED: Step(Life.ENDED, api.ERROR)}
# What a word makes of an attempt; one that is not here proves nothing, and is passed over.
TABLE: dict[Life, dict[Word, Step]] = {
    Life.UNSENT: {
        Word.WRITTEN: Step(Life.SENT),
        Word.UNREACHED: Step(Life.ENDED, api.CONNECT_FAILED),
        Word.BROKE: Step(Life.ENDED, api.CONNECT_FAILED),
        Word.CUT: Step(Life.ENDED, api.CONNECT_FAILED),
    },
    Life.SENT: _TAKEN
    | _ERRED
    | {
        Word.BROKE: Step(Life.SENT, api.RESET, tell_before_repeat=True),
        Word.ACCEPTED: Step(Life.TAKEN),
        Word.TURNED_AWAY: Step(Life.ENDED, api.FULL),
        Word.RETURNED: Step(Life.ENDED, api.FULL),
        Word.ODD: Step(Life.TAKEN, api.ERROR, give_up=True),
        Word.CUT: Step(Life.SENT, api.RESET, give_up=True),
    },
    Life.TAKEN: _TAKEN
    | {
        Word.RETURNED: Step(Life.ENDED, api.FULL),
    },
    Life.RUNS: _TAKEN
    | _ERRED
    | {
        Word.BROKE: Step(Life.RUNS, api.RESET, tell_before_repeat=True),
        Word.ACCEPTED: Step(Life.RUNS),  # callbacks may precede it
        Word.TURNED_AWAY: Step(Life.RUNS, api.ERROR, give_up=True),
        Word.RETURNED: Step(Life.RUNS, api.ERROR, give_up=True),
        Word.ODD: Step(Life.RUNS, api.ERROR, give_up=True),
        Word.CUT: Step(Life.RUNS, api.RESET, give_up=True),
    },
    Life.ENDED: {},
}


def confirms_release(status: int, fresh: bool) -> bool:
    """Whether an answer to a DELETE says that the job was given up, or that there is none.

    `fresh`: it came on a connection of its own.  Elsewhere a 202 may be the late answer to a job."""
    return (200 <= status < 300 and (fresh or status != 202)) or status in (404, 410)


def answered(status: int, turned_away: str | None) -> Word:
    """The word that a real server's answer to a job is, other than 202."""
    if status in (503, 504) and turned_away == "1":
        return Word.TURNED_AWAY
    return Word.ERRED if status == 500 else Word.ODD
