"""One call to discovery: its states, what became of it and who ended it, in a form for the log.

`net.discovery` makes the calls and decides what becomes of each; nothing is decided here."""

from __future__ import annotations

import enum
from collections.abc import Callable

from twisted.internet.defer import Deferred

from violetsaddle.net import http
from violetsaddle.net.connections import ServerConnection
from violetsaddle.net.deadlines import Deadline
from violetsaddle.net.limits import MS


class CallState(enum.Enum):
    """What a call waits for; while it is late, another call may be made beside it."""

    DIALLING = "dialling"
    SENT = "sent"
    DIALLING_LATE = "dialling, late"
    SENT_LATE = "sent, late"
    ENDED = "ended"


class CallEvent(enum.Enum):
    """What happens to a call."""

    CONNECTED = "its connection is open, and the request is sent"
    TIMED_OUT = "its time has passed"
    ENDED = "it was answered, has failed or was given up"


class CallEnd(enum.Enum):
    """How a call ended, and by whom."""

    TAKEN = "its list was taken"
    UNCHANGED = "answered without changes"
    OUTDATED = "its list was older than the one in force"
    UNUSABLE = "its list was not valid"
    REFUSED = "refused by discovery"
    NOT_CONNECTED = "no connection"
    BROKEN = "the connection ended"
    TIMED_OUT = "given up: no answer in time"
    DISPLACED = "given up for a newer call"
    SUPERSEDED = "given up: another call was answered"
    MOVED = "given up: discovery has moved"
    STOPPED = "given up: the node ends"


TRANSITIONS: dict[CallState, dict[CallEvent, CallState]] = {
    CallState.DIALLING: {
        CallEvent.CONNECTED: CallState.SENT,
        CallEvent.TIMED_OUT: CallState.DIALLING_LATE,
        CallEvent.ENDED: CallState.ENDED,
    },
    CallState.SENT: {CallEvent.TIMED_OUT: CallState.SENT_LATE, CallEvent.ENDED: CallState.ENDED},
    CallState.DIALLING_LATE: {
        CallEvent.CONNECTED: CallState.SENT_LATE,
        CallEvent.ENDED: CallState.ENDED,
    },
    CallState.SENT_LATE: {CallEvent.ENDED: CallState.ENDED},
    CallState.ENDED: {},
}


class Call:
    """A call for the list or its changes.  Times are microseconds on the node's clock."""

    __slots__ = (
        "number",
        "at",
        "epoch",
        "state",
        "began",
        "sent",
        "late",
        "ended",
        "end",
        "detail",
        "base",
        "connection",
        "dialling",
        "exchange",
        "timer",
    )

    def __init__(self, number: int, at: tuple[str, int], epoch: int, now: int) -> None:
        """`number`: counts the node's calls from 1; `at`: host and port of discovery; `epoch`: counts the
        addresses that discovery has had."""
        self.number, self.at, self.epoch, self.began = number, at, epoch, now
        self.state = CallState.DIALLING
        self.sent = self.late = self.ended = 0  # when; 0: not yet
        self.end: CallEnd | None = None  # None: it is open
        self.detail = ""  # of its end
        self.base: int | None = None  # the version that the answer builds on; None: the whole list
        self.connection: ServerConnection | None = None
        self.dialling: Deferred[ServerConnection] | None = None
        self.exchange: Deferred[http.Message] | None = None
        self.timer: Deadline | None = None

    def step(self, event: CallEvent) -> None:
        """Goes to the next state; raises `KeyError` if the event is impossible in this one."""
        self.state = TRANSITIONS[self.state][event]

    @property
    def is_open(self) -> bool:
        """Whether it may still be answered."""
        return self.state is not CallState.ENDED

    @property
    def is_late(self) -> bool:
        """Whether its time has passed and it may still be answered."""
        return self.state in (CallState.DIALLING_LATE, CallState.SENT_LATE)

    def read_arrived(self) -> None:
        """Reads what has arrived on its connection and lies unread."""
        if self.connection is not None:
            self.connection.read_arrived()

    def close(self) -> None:
        """Gives up the dial, or closes the connection at once; an answer does not arrive any more."""
        dialling, self.dialling = self.dialling, None
        exchange, self.exchange = self.exchange, None
        for outstanding in (dialling, exchange):
            if outstanding is not None:
                outstanding.cancel()

    def describe(self, since: Callable[[int], str]) -> str:
        """One line for the log; `since`: writes a time as so long after some event."""
        host, port = self.at
        asked = "the whole list" if self.base is None else f"changes after {self.base}"
        steps = [f"call {self.number} to {host}:{port} began {since(self.began)}"]
        if self.sent:
            steps.append(f"asked for {asked} {(self.sent - self.began) // MS} ms later")
        if self.late:
            steps.append(f"was late after {(self.late - self.began) // MS} ms")
        if self.end is not None:
            detail = f" ({self.detail})" if self.detail else ""
            steps.append(f"ended after {(self.ended - self.began) // MS} ms: {self.end.value}{detail}")
        return ", ".join(steps)
