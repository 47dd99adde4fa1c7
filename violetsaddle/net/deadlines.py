"""All deadlines of the node in one sorted structure.

It is swept on each reactor turn that has work; one `callLater` stands for the earliest deadline."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

from sortedcontainers import SortedList
from twisted.internet.base import DelayedCall

from violetsaddle.net.limits import SECOND

Reactor: TypeAlias = Any  # Twisted types neither its reactors' methods
Transport: TypeAlias = Any  # nor those of its transports


class Clock(Protocol):
    """Both in microseconds: one that never goes backwards, for everything the node does, and Unix time."""

    def monotonic(self) -> int:
        """Microseconds since some moment; never goes backwards."""

    def unix(self) -> int:
        """Microseconds since 1970; may jump."""


class SystemClock:
    """The machine's own."""

    def monotonic(self) -> int:
        """The kernel's CLOCK_MONOTONIC, in microseconds."""
        return time.monotonic_ns() // 1000

    def unix(self) -> int:
        """The kernel's CLOCK_REALTIME, in microseconds."""
        return time.time_ns() // 1000


MOST = 32  # deadlines that come up in one turn


def nothing() -> None:
    """The work of what is over."""


class Deadline:
    """A handle: give it to `Deadlines.drop` when the time no longer matters."""

    __slots__ = ("at", "number", "what")

    def __init__(self, at: int, number: int, what: Callable[[], object]) -> None:
        """`at`: microseconds; `number`: tells it from others of the same time; `what`: called when it has
        come."""
        self.at, self.number, self.what = at, number, what


class Deadlines:
    """What is to be done when; each is called once, at its time or soon after, unless it is dropped."""

    def __init__(self, reactor: Reactor, clock: Clock, fault: Callable[[str, BaseException], None]) -> None:
        """`now` is the clock of all that waits: whoever is given the deadlines needs no other."""
        self._reactor, self._fault = reactor, fault
        self.now = clock.monotonic
        # Of tuples (time, number, deadline): the first two tell any two apart, so that they are compared
        # without a call of ours.
        self._sorted: Any = SortedList()
        self._number = 0
        self._call: DelayedCall | None = None
        self._call_at = 0
        self._sweeping = False

    def __len__(self) -> int:
        """How many have neither come nor been dropped."""
        return len(self._sorted)

    def add(self, at: int, what: Callable[[], object]) -> Deadline:
        """Has `what` called at a time of `now`, microseconds; one that has passed is due at the next
        sweep."""
        self._number += 1
        deadline = Deadline(at, self._number, what)
        self._sorted.add((at, self._number, deadline))
        if not self._sweeping:
            self._set_call()
        return deadline

    def after(self, wait: int, what: Callable[[], object]) -> Deadline:
        """Has `what` called so many microseconds from now."""
        return self.add(self.now() + wait, what)

    def drop(self, deadline: Deadline | None) -> None:
        """Dropping one that has passed or was dropped does nothing."""
        if deadline is not None:
            self._sorted.discard((deadline.at, deadline.number, deadline))
            # Guards against cycles: whoever keeps the handle is often what the work speaks of.
            deadline.what = nothing

    def sweep(self) -> None:
        """Runs what is due, up to `MOST`; the rest, and what it adds that is due already, waits for the next
        turn, before which sockets are read: who has gone meanwhile needs nothing sent any more."""
        if self._sweeping or not self._sorted:
            return
        at = self._sorted[0][0]
        if at > self.now():  # most often
            if self._call is None or at < self._call_at:
                self._set_call()
            return
        self._sweeping = True
        now, last, left = self.now(), self._number, MOST
        while left and self._sorted and self._sorted[0][0] <= now and self._sorted[0][1] <= last:
            left -= 1
            deadline = self._sorted.pop(0)[2]
            what, deadline.what = deadline.what, nothing
            try:
                what()
            except Exception as error:
                # One that fails must not take the others with it.
                self._fault("a deadline's work failed", error)
        self._sweeping = False
        self._set_call()

    def _set_call(self) -> None:
        if not self._sorted:
            return
        at = self._sorted[0][0]
        if self._call is not None:
            if at >= self._call_at:
                return  # an early call only sweeps in vain
            self._call.cancel()
        self._call_at = at
        self._call = self._reactor.callLater(max(0, at - self.now()) / SECOND, self._called)

    def _called(self) -> None:
        self._call = None
        self.sweep()


class Patience:
    """A time-out that mostly moves later, as that of a connection in use does: it stands in the sorted
    structure as it was set first, and moves on only when that comes up."""

    __slots__ = ("_deadlines", "_what", "_deadline", "until")

    def __init__(self, deadlines: Deadlines, what: Callable[[], object]) -> None:
        """Waits for nothing until `set`; `what`: called when the time is up."""
        self._deadlines, self._what = deadlines, what
        self._deadline: Deadline | None = None
        self.until = 0  # 0: it waits for nothing

    def set(self, wait: int) -> None:
        """From now on it ends after so long."""
        self.until = until = self._deadlines.now() + wait
        held = self._deadline
        if held is None or held.at > until:
            self._deadlines.drop(held)
            self._deadline = self._deadlines.add(until, self._due)

    def rest(self) -> None:
        """It waits for nothing until it is set again."""
        self.until = 0

    def end(self) -> None:
        """It holds nothing any more."""
        self.until = 0
        self._deadlines.drop(self._deadline)
        self._deadline = None

    def _due(self) -> None:
        self._deadline = None
        if self.until > self._deadlines.now():
            self._deadline = self._deadlines.add(self.until, self._due)
        elif self.until:
            self.until = 0
            self._what()
