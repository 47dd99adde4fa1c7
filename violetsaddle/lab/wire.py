"""HTTP/1.1 framing for the stand-ins: strict, small, and not the node's own parser, so that a fault in that
one can't hide here.  Nodes and parties of the lab always send a `Content-Length` where there is a body."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

END = b"\r\n\r\n"
MOST_HEAD = 64 * 1024
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Garbled(Exception):
    """The bytes are no message; the text names the fault."""


class Message(NamedTuple):
    """One whole request (`first`: method, target, version) or answer (version, status, reason)."""

    first: tuple[str, str, str]
    headers: dict[str, str]  # names in lower case; one given twice is `Garbled`
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first[1])

    @property
    def closes(self) -> bool:
        return "close" in self.headers.get("connection", "").lower()


class Reader:
    """Takes bytes of one side of a connection, gives whole messages."""

    def __init__(self, answers: bool) -> None:
        self._answers, self._held = answers, b""
        self._head: tuple[tuple[str, str, str], dict[str, str], int] | None = None

    @property
    def held(self) -> int:
        """Bytes of a message that is not whole."""
        return len(self._held) + (0 if self._head is None else 1)

    def feed(self, data: bytes) -> list[Message]:
        """Raises `Garbled`; then nothing more can be read from this side."""
        self._held += data
        messages: list[Message] = []
        while True:
            if self._head is None:
                end = self._held.find(END)
                if end < 0:
                    if len(self._held) > MOST_HEAD:
                        raise Garbled("a head without end")
                    return messages
                self._head, self._held = self._parse(self._held[:end]), self._held[end + 4 :]
            first, headers, length = self._head
            if len(self._held) < length:
                return messages
            messages.append(Message(first, headers, self._held[:length]))
            self._held, self._head = self._held[length:], None

    def _parse(self, head: bytes) -> tuple[tuple[str, str, str], dict[str, str], int]:
        line, *rows = head.decode("latin-1").split("\r\n")
        words = line.split(" ", 2)
        if len(words) != 3 or not words[0 if self._answers else 2].startswith("HTTP/1.1"):
            raise Garbled(f"no first line: {line[:80]!r}")
        headers: dict[str, str] = {}
        for row in rows:
            name, colon, value = row.partition(":")
            name = name.lower()
            if not colon or not name or name != name.strip() or name in headers:
                raise Garbled(f"a bad header or one given twice: {row[:80]!r}")
            headers[name] = value.strip()
        if "transfer-encoding" in headers:
            raise Garbled("a transfer encoding, which nodes have no reason to use")
        text = headers.get("content-length", "0")
        if not (text.isascii() and text.isdigit()):
            raise Garbled(f"a bad length: {text[:40]!r}")
        if self._answers and not (words[1].isdigit() and len(words[1]) == 3):
            raise Garbled(f"no status: {line[:80]!r}")
        return (words[0], words[1], words[2]), headers, int(text)


def request(
    method: str, target: str, host: str, headers: Mapping[str, str] | None = None, body: bytes = b""
) -> bytes:
    """A whole request; a length is written where there is a body or the method is POST."""
    rows = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    rows += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + END + body


def answer(status: int, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    """A whole answer."""
    rows = [
        f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}",
        *(f"{k}: {v}" for k, v in (headers or {}).items()),
    ]
    if status != 204:
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + END + body
