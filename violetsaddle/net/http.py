"""HTTP/1.1 messages over a read buffer; knows no sockets.

A message owns the buffer it was read into and its parts are slices of it; what lies behind the message
moves on into a new buffer."""

from __future__ import annotations

import re

from violetsaddle.net.limits import Limits

END = b"\r\n\r\n"
# One line of a head: a token, and a value without control characters but tabs.
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")
CONTINUE = b"HTTP/1.1 100 Continue" + END
CONTROLS = frozenset(range(0x20)) - {0x09} | {0x7F}
HEX = frozenset(b"0123456789abcdefABCDEF")
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )
)


class MalformedError(Exception):
    """What came in is no message that can be taken; `status` is the answer it deserves."""

    def __init__(self, status: int, text: str) -> None:
        """`status`: the HTTP status of the answer; `text`: what is wrong, its body."""
        super().__init__(text)
        self.status, self.text = status, text


# Names of headers in lower case, as they came before: there are few, and each comes with every message.
_KEYS: dict[bytes, str] = {}
_MOST_KEYS = 256


def _key(name: bytes) -> str:
    key = _KEYS.get(name)
    if key is None:
        key = name.decode("ascii").lower()
        if len(_KEYS) < _MOST_KEYS:
            _KEYS[name] = key
    return key


# A header: its name in lower case, where its line begins, where its value does and ends, where its line ends.
Span = tuple[str, int, int, int, int]


class Message:
    """One whole request or answer."""

    __slots__ = ("start", "body", "sure", "delimited", "_view", "_spans", "_values")

    def __init__(
        self, start: tuple[str, str, str], view: memoryview, spans: list[Span], body: memoryview
    ) -> None:
        """`start`: the first line's three parts; `view`: the bytes that hold all; `spans`: where the headers
        lie in it."""
        self.start, self._view, self._spans, self.body = start, view, spans, body
        self._values: dict[str, str] = {}
        self.sure = True  # no other message can be taken for it
        self.delimited = True  # it tells its own end: what ends with its connection may have been cut

    def header(self, name: str) -> str | None:
        """By its name in lower case; a header given more than once counts as a list."""
        if not self._values and self._spans:
            values = self._values
            for key, _, first, last, _ in self._spans:
                value = str(self._view[first:last], "latin-1")
                values[key] = f"{values[key]}, {value}" if key in values else value
        return self._values.get(name)

    def lines(self, without: frozenset[str]) -> bytes:
        """A copy of the head's lines as they came, but for headers with these names in lower case."""
        kept, begin, end = [], -1, -1
        for key, at, _, _, stop in self._spans:
            if key in without:
                continue
            if at != end:
                if begin >= 0:
                    kept.append(self._view[begin:end])
                begin = at
            end = stop
        if begin >= 0:
            kept.append(self._view[begin:end])
        return b"".join(kept)

    @property
    def status(self) -> int:
        """An answer's status code."""
        return int(self.start[1])

    @property
    def keeps_alive(self) -> bool:
        """The sender goes on with the connection after this message."""
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        wishes = (self.header("connection") or "").lower()
        return "close" not in wishes and (version == "HTTP/1.1" or "keep-alive" in wishes)


class Parser:
    """Takes bytes as they come, gives whole messages; one side of one connection."""

    def __init__(self, limits: Limits, most_body: int, answers: bool = False) -> None:
        """`most_body`: bytes of a body; `answers`: it reads a server's side of the connection."""
        self._limits, self._most_body, self._answers = limits, most_body, answers
        self._buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._scanned = 0
        self._start: tuple[str, str, str] | None = None
        self._fields: list[Span] = []
        self._body_at = 0
        self._length: int | None = 0  # None: up to the end of the connection
        self._chunked, self._read_at, self._kept = False, 0, 0
        self._trailers = False

    def feed(self, data: bytes) -> None:
        """Takes bytes in; `next` gives what they complete."""
        self._buffer += data

    @property
    def held(self) -> int:
        """Bytes that no message has taken yet."""
        return len(self._buffer)

    @property
    def begun(self) -> bool:
        """A part of a message has come."""
        return bool(self._buffer)

    @property
    def wants_continue(self) -> bool:
        """Whether a head has come that waits for a 100 before its body."""
        return self._start is not None and any(field[0] == "expect" for field in self._fields)

    def next(self) -> Message | None:
        """The next whole message, or None while its bytes have not all come."""
        while True:
            if self._start is None and not self._read_head():
                return None
            if not self._answers or not 100 <= int((self._start or ("", "0", ""))[1]) < 200:
                break
            del self._buffer[: self._body_at]  # an interim answer says nothing of the outcome
            self._reset()
        if self._chunked:
            return self._cut() if self._read_chunks() else None
        if self._length is None or len(self._buffer) < self._body_at + self._length:
            if self._length is None and len(self._buffer) - self._body_at > self._most_body:
                raise MalformedError(413, "the body is too large")
            return None
        self._kept = self._read_at = self._body_at + self._length
        return self._cut()

    def finish(self) -> Message | None:
        """The connection has ended: an answer without a length is whole now."""
        if self._start is None or self._length is not None or self._chunked:
            return None
        self._kept = self._read_at = len(self._buffer)
        message = self._cut()
        message.delimited = False
        return message

    def _cut(self) -> Message:
        buffer, end = self._buffer, self._read_at
        self._buffer = buffer[end:]
        view = memoryview(buffer)
        assert self._start is not None
        message = Message(self._start, view, self._fields, view[self._body_at : self._kept])
        self._reset()
        return message

    def _read_head(self) -> bool:
        buffer = self._buffer
        while not self._scanned and buffer[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a message
            del buffer[:2]
        end = buffer.find(END, max(0, self._scanned - 3))
        if end > self._limits.head or (end < 0 and len(buffer) > self._limits.head):
            raise MalformedError(431, "the head is too large")
        if end < 0:
            self._scanned = len(buffer)
            return False
        at = buffer.find(b"\r\n")
        self._start = self._start_line(bytes(buffer[:at]))
        at += 2
        while at < end:
            at = self._field(at)
        self._body_at = self._read_at = self._kept = end + len(END)
        self._framing()
        return True

    def _start_line(self, line: bytes) -> tuple[str, str, str]:
        try:
            parts = line.decode("ascii").split(" ", 2 if self._answers else -1)
        except UnicodeDecodeError:
            raise MalformedError(400, "the first line is not ASCII") from None
        if self._answers:
            if (
                len(parts) < 2
                or not parts[0].startswith("HTTP/1.")
                or len(parts[1]) != 3
                or not parts[1].isdigit()
            ):
                raise MalformedError(502, "not an HTTP answer")
            return parts[0], parts[1], ""
        if len(parts) != 3 or not parts[0] or not parts[0].isalpha() or not parts[1]:
            raise MalformedError(400, "not an HTTP request")
        if not CONTROLS.isdisjoint(parts[1].encode("ascii")):
            raise MalformedError(400, "the target holds control characters")
        if parts[1][:7].lower() == "http://":  # RFC 9112, 3.2.2: to be taken, though clients have no reason
            parts[1] = "/" + parts[1][7:].partition("/")[2]
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedError(505 if parts[2].startswith("HTTP/") else 400, "the version is not HTTP/1.1")
        return parts[0], parts[1], parts[2]

    def _field(self, at: int) -> int:
        """Takes in the line that begins here and gives where the next one does."""
        buffer = self._buffer
        line = FIELD.match(buffer, at)
        if line is None:
            raise MalformedError(400, "a header has no name, a bad one, or control characters")
        first, last = line.span(2)
        while first < last and buffer[first] in b" \t":
            first += 1
        while last > first and buffer[last - 1] in b" \t":
            last -= 1
        stop = line.end()
        self._fields.append((_key(line[1]), at, first, last, stop))
        if len(self._fields) > self._limits.fields:
            raise MalformedError(431, "the head holds too many headers")
        return stop

    def _framing(self) -> None:
        buffer = self._buffer
        lengths, encodings, hosts = [], [], 0
        for key, _, c, d, _ in self._fields:
            if key == "content-length":
                lengths.append(bytes(buffer[c:d]))
            elif key == "transfer-encoding":
                encodings.append(bytes(buffer[c:d]).lower())
            elif key == "host":
                hosts += 1
        if not self._answers and hosts != 1 and (hosts or (self._start or ("",) * 3)[2] == "HTTP/1.1"):
            raise MalformedError(400, "Host is missing or given twice")  # RFC 9112, 3.2
        # Two ways to tell the end are two ways to read the connection: neither is taken.
        if encodings and (lengths or encodings != [b"chunked"]):
            raise MalformedError(400, "unclear transfer encoding")
        status = int(self._start[1]) if self._answers and self._start else 0
        if encodings:
            self._chunked = True
        elif lengths:
            if len(set(lengths)) > 1 or not lengths[0].isdigit() or len(lengths[0]) > 15:
                raise MalformedError(400, "bad content length")
            self._length = int(lengths[0])
            if self._length > self._most_body:
                raise MalformedError(413, "the body is too large")
        elif self._answers:
            self._length = None
        if 100 <= status < 200 or status in (204, 304):
            self._chunked, self._length = False, 0

    def _read_chunks(self) -> bool:
        """Moves the chunks together within the buffer, so that the body is one slice."""
        buffer = self._buffer
        while True:
            stop = buffer.find(b"\r\n", self._read_at)
            if stop < 0 or stop - self._read_at > self._limits.head:
                if len(buffer) - self._read_at > self._limits.head:
                    raise MalformedError(431, "a chunk's line is too large")
                return False
            if self._trailers:
                done = stop == self._read_at
                self._read_at = stop + 2
                if done:
                    return True
                if self._read_at - self._kept > self._limits.head + self._most_body:
                    raise MalformedError(431, "the trailers are too large")
                continue
            size = bytes(buffer[self._read_at : stop]).split(b";")[0].strip()
            if not size or len(size) > 8 or not HEX.issuperset(size):
                raise MalformedError(400, "bad chunk size")
            length = int(size, 16)
            if self._kept - self._body_at + length > self._most_body:
                raise MalformedError(413, "the body is too large")
            if not length:
                self._trailers, self._read_at = True, stop + 2
                continue
            first = stop + 2
            if len(buffer) < first + length + 2:
                return False
            if buffer[first + length : first + length + 2] != b"\r\n":
                raise MalformedError(400, "a chunk does not end where it says")
            buffer[self._kept : self._kept + length] = buffer[first : first + length]
            self._kept += length
            self._read_at = first + length + 2


def answer(status: int, body: bytes = b"", headers: str = "", close: bool = False) -> bytes:
    """An answer's bytes; `headers` are whole lines."""
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    ending = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n{headers}{length}{ending}\r\n"
    return head.encode("latin-1") + body


def request(method: str, target: str, host: str) -> bytes:
    """The bytes of a request without a body."""
    return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
