"""The pair of sockets between the processes of a node: a call that fails is not the other one's end."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any
from unittest.mock import Mock

from violetsaddle.net.upgrade import Link, Message


class Failing:
    """A socket whose next calls fail."""

    def __init__(self, sock: socket.socket, number: int) -> None:
        self.sock, self.number, self.left = sock, number, 0

    def __getattr__(self, name: str) -> Any:
        if name in ("send", "recvmsg") and self.left:
            self.left -= 1
            raise OSError(self.number, os.strerror(self.number))
        return getattr(self.sock, name)


def test_a_failed_call_is_not_the_end_of_the_other_process() -> None:
    one, other = socket.socketpair()
    failing, heard, ended = Failing(one, errno.ENOBUFS), list[Message | None](), list[bool]()
    pair = Link(Mock(), failing, 1000, heard.append, lambda: ended.append(True))  # type: ignore[arg-type]
    other.sendall(b"\x00\x00\x00\x01\xc1")
    failing.left = 1
    pair.read_now()
    assert not ended and not heard
    pair.read_now()
    assert heard == [None]
    pair.write(b"more")
    failing.left = 1
    pair.flush()
    pair.flush()
    assert other.recv(100) == b"more"
    other.close()
    pair.hang_up()
