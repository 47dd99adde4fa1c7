"""The real program on a kernel whose calls fail now and then, as Linux documents it.

`python -m tests.faulty_calls`, with a seed in `FAULTY_CALLS`.  Connections are refused a port or a way;
accepting is cut short; reads fail for the moment; what is written is taken in part or not at all; epoll has
no memory; the wall clock is stepped by seconds or an hour.  A call that fails has done nothing: connections
that really end are the stand-ins' to bring about."""

from __future__ import annotations

import errno
import os
import random
import runpy
import select
import socket
import sys
import time
from typing import Any

ACCEPT = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EAGAIN)
CONNECT = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENOBUFS,
    errno.EINTR,
)
SEND = (errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.ETIMEDOUT, errno.EHOSTUNREACH)
READ = (errno.ENOBUFS, errno.ENOMEM, errno.ETIMEDOUT, errno.EHOSTUNREACH)
EPOLL = (errno.ENOMEM, errno.ENOSPC)
SEND_FAILS, SEND_SHORT, CONNECT_FAILS, ACCEPT_FAILS, READ_FAILS, EPOLL_FAILS = (
    0.02,
    0.1,
    0.05,
    0.05,
    0.02,
    0.01,
)
STEPS = (-3600.0, -3.0, 3.0, 3600.0)  # seconds
STEP_COMES = 0.01  # at a look at the wall clock
START = 0.05  # seconds in which the reactor registers what wakes it: without that there is no program

random_ = random.Random(int(os.environ.get("FAULTY_CALLS", "0")))
true_send, true_connect_ex, true_accept = socket.socket.send, socket.socket.connect_ex, socket.socket.accept
true_recv, true_epoll, true_time, true_time_ns = socket.socket.recv, select.epoll, time.time, time.time_ns


def failed(numbers: tuple[int, ...]) -> OSError:
    number = random_.choice(numbers)
    return OSError(number, os.strerror(number))


def send(self: socket.socket, data: Any, *flags: int) -> int:
    if self.type == socket.SOCK_STREAM:
        fate = random_.random()
        if fate < SEND_FAILS:
            raise failed(SEND)
        if fate < SEND_FAILS + SEND_SHORT and len(data) > 1:
            data = memoryview(data)[: random_.randrange(1, len(data))]
    return true_send(self, data, *flags)


def recv(self: socket.socket, size: int, *flags: int) -> bytes:
    if self.type == socket.SOCK_STREAM and random_.random() < READ_FAILS:
        raise failed(READ)
    return true_recv(self, size, *flags)


def connect_ex(self: socket.socket, at: Any) -> int:
    if random_.random() < CONNECT_FAILS:
        return random_.choice(CONNECT)
    return true_connect_ex(self, at)


def accept(self: socket.socket) -> tuple[socket.socket, Any]:
    if random_.random() < ACCEPT_FAILS:
        raise failed(ACCEPT)
    return true_accept(self)


class Epoll:
    """`select.epoll` that finds no memory now and then, once the program has started."""

    def __init__(self, size: int) -> None:
        self._true, self._fails_from = true_epoll(size), time.monotonic() + START

    def register(self, descriptor: int, events: int) -> None:
        if time.monotonic() > self._fails_from and random_.random() < EPOLL_FAILS:
            raise failed(EPOLL)
        self._true.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        if random_.random() < EPOLL_FAILS:
            raise failed(EPOLL)
        self._true.modify(descriptor, events)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._true, name)


class WallClock:
    """Steps as it is looked at."""

    def __init__(self) -> None:
        self.step = 0.0

    def look(self) -> float:
        if random_.random() < STEP_COMES:
            self.step = random_.choice(STEPS)
        return self.step

    def time(self) -> float:
        return true_time() + self.look()

    def time_ns(self) -> int:
        return true_time_ns() + int(self.look() * 1e9)


if __name__ == "__main__":
    patched: Any = socket.socket
    patched.send, patched.recv, patched.connect_ex, patched.accept = send, recv, connect_ex, accept
    clock = WallClock()
    setattr(select, "epoll", Epoll)  # noqa: B010  mypy would have the names' own types
    setattr(time, "time", clock.time)  # noqa: B010
    setattr(time, "time_ns", clock.time_ns)  # noqa: B010
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
