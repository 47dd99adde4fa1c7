"""The message that an attempt sends to a real server, made from the client's request."""

from __future__ import annotations

from collections.abc import Sequence

from violetsaddle.net import http

NOT_FORWARDED = http.HOP_BY_HOP | {"x-remaining"}


class HttpOrder:
    """The message that an attempt sends to a real server, copied from the client's request.

    The copy outlives the connection's buffer, because a request may need several attempts."""

    __slots__ = ("_head", "_body", "size")

    def __init__(self, message: http.Message) -> None:
        """Copies the forwarded header lines and the body of `message`."""
        # The header lines are copied in one step.  Content-Length is written anew.
        body = self._body = bytes(message.body)
        body_size = len(body)
        head = self._head = (
            f"{message.start[0]} {message.start[1]} HTTP/1.1\r\n".encode("ascii")
            + message.copy_lines(NOT_FORWARDED)
            + b"Content-Length: %d\r\n" % body_size
        )
        self.size = len(head) + body_size  # bytes of memory that the copy occupies

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        """As `requests.Order.message`; X-Remaining is at least 1 microsecond."""
        return self._head, f"Host: {host}\r\nX-Remaining: {max(1, wait)}u\r\n\r\n".encode("ascii"), self._body
