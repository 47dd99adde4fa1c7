"""The real program on a kernel whose calls fail now and then, as Linux documents it.

`python -m tests.faulty_calls`, with a seed in `FAULTY_CALLS`.  Connections are refused a port or a way;
accepting is cut short; what is written is taken in part or not at all for the moment.  What is read is never
spoilt: a connection that fails there is lost for good, which the stand-ins bring about themselves."""

from __future__ import annotations

import errno
import os
import random
import runpy
import socket
import sys
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
SEND = (errno.EAGAIN, errno.ENOBUFS)
SEND_FAILS, SEND_SHORT, CONNECT_FAILS, ACCEPT_FAILS = 0.02, 0.1, 0.05, 0.05

random_ = random.Random(int(os.environ.get("FAULTY_CALLS", "0")))
true_send, true_connect_ex, true_accept = socket.socket.send, socket.socket.connect_ex, socket.socket.accept


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


def connect_ex(self: socket.socket, at: Any) -> int:
    if random_.random() < CONNECT_FAILS:
        return random_.choice(CONNECT)
    return true_connect_ex(self, at)


def accept(self: socket.socket) -> tuple[socket.socket, Any]:
    if random_.random() < ACCEPT_FAILS:
        raise failed(ACCEPT)
    return true_accept(self)


if __name__ == "__main__":
    patched: Any = socket.socket
    patched.send, patched.connect_ex, patched.accept = send, connect_ex, accept
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
