"""Twisted's epoll reactor with timers that are finer than a millisecond.

`epoll` rounds a wait up to whole milliseconds, so that every client would be late by half of one on average,
when one is all that the load tool may be late.  A timer descriptor of the kernel wakes it in time."""

from __future__ import annotations

import ctypes
import os
import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

PR_SET_TIMERSLACK = 29
_libc = ctypes.CDLL(None, use_errno=True)


class _Span(ctypes.Structure):
    _fields_ = [("seconds", ctypes.c_long), ("nanoseconds", ctypes.c_long)]


class _Timing(ctypes.Structure):
    _fields_ = [("interval", _Span), ("value", _Span)]


class _Alarm:
    """A timer descriptor among those the reactor reads."""

    def __init__(self) -> None:
        self._fd = _libc.timerfd_create(time.CLOCK_MONOTONIC, os.O_NONBLOCK | os.O_CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create failed")
        self._timing = _Timing()
        self._at = ctypes.byref(self._timing)

    def fileno(self) -> int:
        return int(self._fd)

    def logPrefix(self) -> str:
        return "alarm"

    def set(self, seconds: float) -> None:
        value = self._timing.value
        value.seconds = int(seconds)
        value.nanoseconds = max(1, int(seconds % 1 * 1e9))  # all 0 would switch it off
        _libc.timerfd_settime(self._fd, 0, self._at, None)

    def doRead(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            pass

    def connectionLost(self, reason: object) -> None:
        """The reactor has ended."""


class FineReactor(EPollReactor):
    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._alarm = _Alarm()
        self.addReader(self._alarm)  # type: ignore[no-untyped-call]
        _libc.prctl(PR_SET_TIMERSLACK, 1)  # nanoseconds; the kernel would gather wake-ups within 50 us

    def doPoll(self, timeout: float | None) -> None:
        if timeout is not None and timeout > 0:
            self._alarm.set(timeout)
        super().doPoll(timeout)  # type: ignore[no-untyped-call]

    doIteration = doPoll


def install() -> FineReactor:
    """Makes it the program's reactor; raises `ReactorAlreadyInstalledError`."""
    reactor = FineReactor()
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
