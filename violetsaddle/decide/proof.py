"""What is known about an attempt: its state, and the outcome that each piece of evidence allows.

A request may be sent again, or refused, only if it is proven that no earlier attempt of it ran.  PROTOCOL
("what comes back") has the table of outcomes.  This module has one table over the states of an attempt.  It
also follows these rules, which PROTOCOL leaves open:

- Before the last byte has left, nothing that a real server says can be about this attempt: callbacks are
  ignored, and the end of the connection proves that the attempt never ran.
- `RETURNED` and `TURNED_AWAY` mean that the attempt never ran.  After `STARTED` they are a contradiction: the
  attempt may have run.
- After an answer that the protocol does not define, the job may or may not run.  It is given up before
  another attempt may leave.
- A truncated answer proves nothing: the real server may have accepted the job and believe that it said so.
  The job is given up before another attempt may leave.
- A connection that ended before any answer may have lost a 202, or may have ended because a system call
  failed in this node.  The job is given up before another attempt leaves.
- A job is given up once its DELETE is answered.  A closed connection or silence does not prove it.
- An attempt that has ended keeps its outcome.

`tests/test_repeats.py` checks all effects over generated orders of events."""

from __future__ import annotations

import enum
from typing import NamedTuple

from violetsaddle import interface as api


class AttemptState(enum.StrEnum):  # a str hashes without a Python call, and attempts look it up often
    """How far an attempt has come, as far as is proven.  Logs contain the values."""

    UNSENT = "unsent"  # the last byte has not left
    SENT = "sent"  # the last byte has left, and there is no answer yet
    ACCEPTED = "taken"  # the real server has the job, or must be assumed to have it
    RUNNING = "runs"  # the real server has reported the start
    ENDED = "ended"  # the outcome is final


class Evidence(enum.StrEnum):
    """What a connection, an answer or a callback shows about an attempt."""

    WRITTEN = "the kernel has taken the last byte"
    NOT_CONNECTED = "no connection came up"
    DISCONNECTED = "the connection ended before any answer"
    TRUNCATED = "the connection ended within an answer"
    ACCEPTED = "202"
    TURNED_AWAY = "503 or 504 with X-Turned-Away"
    SERVER_ERROR = "500"
    UNEXPECTED = "an answer that the protocol does not know"
    STARTED = "started, or running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class Release(enum.StrEnum):
    """Whether and how it is known that an attempt was given up."""

    NONE = "none"  # not given up
    CLOSED = "closed"  # only its connection was closed: the last byte had not left, or DELETE is not allowed
    CONFIRMED = "confirmed"  # the DELETE was answered
    UNCONFIRMED = "unconfirmed"  # the DELETE was not answered


CALLBACKS = frozenset((Evidence.STARTED, Evidence.DONE, Evidence.FAILED, Evidence.RETURNED, Evidence.LOST))


class Transition(NamedTuple):
    """What a piece of evidence changes about an attempt."""

    state: AttemptState
    outcome: str = ""  # an outcome of the interface; "": none yet
    give_up: bool = False  # the job may still run: it is given up before the outcome counts
    give_up_before_repeat: bool = False  # the same, but only if another attempt may follow


_CALLBACK_TRANSITIONS = {
    Evidence.DONE: Transition(AttemptState.ENDED, api.OK),
    Evidence.FAILED: Transition(AttemptState.ENDED, api.ERROR),
    Evidence.LOST: Transition(AttemptState.ENDED, api.RESET),
    Evidence.STARTED: Transition(AttemptState.RUNNING),
}
_SERVER_ERROR_TRANSITION = {Evidence.SERVER_ERROR: Transition(AttemptState.ENDED, api.ERROR)}
# Evidence that is missing for a state proves nothing and is ignored.
TRANSITIONS: dict[AttemptState, dict[Evidence, Transition]] = {
    AttemptState.UNSENT: {
        Evidence.WRITTEN: Transition(AttemptState.SENT),
        Evidence.NOT_CONNECTED: Transition(AttemptState.ENDED, api.CONNECT_FAILED),
        Evidence.DISCONNECTED: Transition(AttemptState.ENDED, api.CONNECT_FAILED),
        Evidence.TRUNCATED: Transition(AttemptState.ENDED, api.CONNECT_FAILED),
    },
    AttemptState.SENT: _CALLBACK_TRANSITIONS
    | _SERVER_ERROR_TRANSITION
    | {
        Evidence.DISCONNECTED: Transition(AttemptState.SENT, api.RESET, give_up_before_repeat=True),
        Evidence.ACCEPTED: Transition(AttemptState.ACCEPTED),
        Evidence.TURNED_AWAY: Transition(AttemptState.ENDED, api.FULL),
        Evidence.RETURNED: Transition(AttemptState.ENDED, api.FULL),
        Evidence.UNEXPECTED: Transition(AttemptState.ACCEPTED, api.ERROR, give_up=True),
        Evidence.TRUNCATED: Transition(AttemptState.SENT, api.RESET, give_up=True),
    },
    AttemptState.ACCEPTED: _CALLBACK_TRANSITIONS
    | {
        Evidence.RETURNED: Transition(AttemptState.ENDED, api.FULL),
    },
    AttemptState.RUNNING: _CALLBACK_TRANSITIONS
    | _SERVER_ERROR_TRANSITION
    | {
        Evidence.DISCONNECTED: Transition(AttemptState.RUNNING, api.RESET, give_up_before_repeat=True),
        Evidence.ACCEPTED: Transition(AttemptState.RUNNING),  # callbacks may arrive before the 202
        Evidence.TURNED_AWAY: Transition(AttemptState.RUNNING, api.ERROR, give_up=True),
        Evidence.RETURNED: Transition(AttemptState.RUNNING, api.ERROR, give_up=True),
        Evidence.UNEXPECTED: Transition(AttemptState.RUNNING, api.ERROR, give_up=True),
        Evidence.TRUNCATED: Transition(AttemptState.RUNNING, api.RESET, give_up=True),
    },
    AttemptState.ENDED: {},
}


def confirms_release(status: int, fresh: bool) -> bool:
    """Whether the HTTP status of an answer to a DELETE proves that the server does not have the job any more.

    `fresh`: the DELETE had a new connection.  On a kept connection a 202 may be the late answer to a job."""
    return (200 <= status < 300 and (fresh or status != 202)) or status in (404, 410)


def classify_answer(status: int, turned_away: str | None) -> Evidence:
    """The evidence in a real server's answer to a job, other than a 202.

    `turned_away`: the header `X-Turned-Away`, None if it is missing."""
    if status in (503, 504) and turned_away == "1":
        return Evidence.TURNED_AWAY
    return Evidence.SERVER_ERROR if status == 500 else Evidence.UNEXPECTED
