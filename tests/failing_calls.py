"""The real program with system calls that fail as a file tells: `python -m tests.failing_calls`.

`FAILING_CALLS` names the file.  Each of its lines is `CALL ERROR PORT SKIP COUNT`: of the calls on sockets
with that port on either side (0: on all), so many pass and so many then fail (-1: all), with that error.
CALL is `recv`, `send`, `connect`, `accept`, `recvfrom`, `sendto`, `epoll_ctl` or `write` (to a file)."""

from __future__ import annotations

import errno
import os
import runpy
import select
import socket
import sys
import tempfile
from collections.abc import Callable
from typing import Any

from tests.scenario import Scenario

ALL = -1


class Failing(Scenario):
    """A scenario whose program's system calls fail as `fails` says."""

    COMMAND = ("-m", "tests.failing_calls")

    def start_failing(self, *arguments: Any, **more: Any) -> None:
        """As `start`; nothing fails yet."""
        with tempfile.NamedTemporaryFile("w", suffix=".calls", delete=False) as file:
            self.calls = file.name
        self.addCleanup(os.unlink, self.calls)
        self.told = {**self.told, "FAILING_CALLS": self.calls}
        self.start(*arguments, **more)

    def fails(self, *rows: str) -> None:
        """From now on these calls fail, and no others."""
        with open(self.calls + "+", "w") as file:
            file.write("\n".join(rows))
        os.replace(self.calls + "+", self.calls)

    def port_of(self, name: str) -> int:
        """That of an executor."""
        return int(self.servers[name].getsockname()[1])


class Rows:
    """What the file tells, and how often each line has been met."""

    def __init__(self, path: str) -> None:
        self._path, self._met = path, dict[str, int]()

    def meet(self, call: str, ports: Callable[[], tuple[int, ...]]) -> None:
        """Raises the error that the file has for this call."""
        with open(self._path) as file:
            rows = file.read().splitlines()
        for row in rows:
            wanted, error, port, skip, count = row.split(" ")
            if wanted != call or (int(port) and int(port) not in ports()):
                continue
            met = self._met[row] = self._met.get(row, 0) + 1
            if met > int(skip) and (int(count) == ALL or met <= int(skip) + int(count)):
                number = getattr(errno, error)
                raise OSError(number, os.strerror(number))


def ports_of(sock: socket.socket) -> tuple[int, ...]:
    """The ports on both sides of a TCP or UDP socket."""
    if sock.family != socket.AF_INET:
        return ()
    try:
        return sock.getsockname()[1], sock.getpeername()[1]
    except OSError:
        return (sock.getsockname()[1],)


def ports_behind(descriptor: int) -> tuple[int, ...]:
    """The same by a descriptor, which need not be a socket's."""
    try:
        sock = socket.socket(fileno=os.dup(descriptor))
    except OSError:
        return ()
    with sock:
        return ports_of(sock)


def patch(rows: Rows) -> None:
    """Puts calls that may fail in place of Python's."""
    patched: Any = socket.socket
    for name, call in (
        ("recv", "recv"),
        ("send", "send"),
        ("recvfrom", "recvfrom"),
        ("accept", "accept"),
    ):
        true = getattr(patched, name)

        def may_fail(self: Any, *arguments: Any, true: Any = true, call: str = call) -> Any:
            rows.meet(call, lambda: ports_of(self))
            return true(self, *arguments)

        setattr(patched, name, may_fail)
    true_sendto, true_connect_ex, true_write, true_epoll = (
        patched.sendto,
        patched.connect_ex,
        os.write,
        select.epoll,
    )

    def sendto(self: Any, data: Any, *more: Any) -> Any:
        rows.meet("sendto", lambda: (*ports_of(self), more[-1][1]))
        return true_sendto(self, data, *more)

    def connect_ex(self: Any, at: Any) -> int:
        try:
            rows.meet("connect", lambda: (at[1],))
        except OSError as error:
            return error.errno or 0
        return int(true_connect_ex(self, at))

    def write(descriptor: int, data: Any) -> int:
        if os.path.exists(f"/proc/self/fd/{descriptor}") and os.path.isfile(f"/proc/self/fd/{descriptor}"):
            rows.meet("write", lambda: ())
        return true_write(descriptor, data)

    class Epoll:
        def __init__(self, size: int) -> None:
            self._true = true_epoll(size)

        def register(self, descriptor: int, mask: int) -> None:
            rows.meet("epoll_ctl", lambda: ports_behind(descriptor))
            self._true.register(descriptor, mask)

        def modify(self, descriptor: int, mask: int) -> None:
            rows.meet("epoll_ctl", lambda: ports_behind(descriptor))
            self._true.modify(descriptor, mask)

        def __getattr__(self, name: str) -> Any:
            return getattr(self._true, name)

    patched.sendto, patched.connect_ex = sendto, connect_ex
    setattr(os, "write", write)  # noqa: B010  mypy would have the function's own type
    setattr(select, "epoll", Epoll)  # noqa: B010


if __name__ == "__main__":
    patch(Rows(os.environ["FAILING_CALLS"]))
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
