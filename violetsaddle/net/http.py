"""HTTP/1.1 messages over a read buffer; knows no sockets.

A message owns the buffer it was read into and its parts are slices of it; what lies behind the message
moves on into a new buffer."""

from __future__ import annotations

from violetsaddle.net.limits import Limits

END = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue" + END
TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
CONTROLS = frozenset(range(0x20)) - {0x09} | {0x7F}
HEX = frozenset(b"0123456789abcdefABCDEF")
REASONS = {
    200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable",
    504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}
HOP_BY_HOP = frozenset((
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect",
))


class Malformed(Exception):
    """What came in is no message that can be taken; `status` is the answer it deserves."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class Message:
    """One whole request or answer."""

    __slots__ = ("start", "fields", "headers", "body")

    def __init__(self, start: tuple[str, str, str], fields: list[tuple[memoryview, memoryview]],
                 body: memoryview) -> None:
        self.start, self.fields, self.body = start, fields, body
        self.headers: dict[str, memoryview] = {}
        for name, value in fields:
            key = str(name, "ascii").lower()
            held = self.headers.get(key)
            self.headers[key] = value if held is None else memoryview(bytes(held) + b", " + bytes(value))

    def header(self, name: str) -> str | None:
        """By its name in lower case; a header given more than once counts as a list."""
        value = self.headers.get(name)
        return None if value is None else str(value, "latin-1")

    @property
    def status(self) -> int:
        return int(self.start[1])

    @property
    def keeps_alive(self) -> bool:
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        wishes = (self.header("connection") or "").lower()
        return "close" not in wishes and (version == "HTTP/1.1" or "keep-alive" in wishes)


class Parser:
    """Takes bytes as they come, gives whole messages; one side of one connection."""

    def __init__(self, limits: Limits, most_body: int, answers: bool = False) -> None:
        self._limits, self._most_body, self._answers = limits, most_body, answers
        self._buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._scanned = 0
        self._start: tuple[str, str, str] | None = None
        self._fields: list[tuple[int, int, int, int]] = []
        self._body_at = 0
        self._length: int | None = 0  # None: up to the end of the connection
        self._chunked, self._read_at, self._kept = False, 0, 0
        self._trailers = False

    def feed(self, data: bytes) -> None:
        self._buffer += data

    @property
    def held(self) -> int:
        """Bytes that no message has taken yet."""
        return len(self._buffer)

    @property
    def wants_continue(self) -> bool:
        """Whether a head has come that waits for a 100 before its body."""
        return self._start is not None and any(
            bytes(self._buffer[a:b]).lower() == b"expect" for a, b, _, _ in self._fields)

    def next(self) -> Message | None:
        """The next whole message, or None while its bytes have not all come."""
        while True:
            if self._start is None and not self._read_head():
                return None
            if not self._answers or not 100 <= int((self._start or ("", "0", ""))[1]) < 200:
                break
            del self._buffer[:self._body_at]  # an interim answer says nothing of the outcome
            self._reset()
        if self._chunked:
            return self._cut() if self._read_chunks() else None
        if self._length is None or len(self._buffer) < self._body_at + self._length:
            if self._length is None and len(self._buffer) - self._body_at > self._most_body:
                raise Malformed(413, "the body is too large")
            return None
        self._kept = self._read_at = self._body_at + self._length
        return self._cut()

    def finish(self) -> Message | None:
        """The connection has ended: an answer without a length is whole now."""
        if self._start is None or self._length is not None or self._chunked:
            return None
        self._kept = self._read_at = len(self._buffer)
        return self._cut()

    def _cut(self) -> Message:
        buffer, end = self._buffer, self._read_at
        self._buffer = buffer[end:]
        view = memoryview(buffer)
        fields = [(view[a:b], view[c:d]) for a, b, c, d in self._fields]
        assert self._start is not None
        message = Message(self._start, fields, view[self._body_at:self._kept])
        self._reset()
        return message

    def _read_head(self) -> bool:
        buffer = self._buffer
        while not self._scanned and buffer[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a message
            del buffer[:2]
        end = buffer.find(END, max(0, self._scanned - 3))
        if end > self._limits.head or (end < 0 and len(buffer) > self._limits.head):
            raise Malformed(431, "the head is too large")
        if end < 0:
            self._scanned = len(buffer)
            return False
        at = buffer.find(b"\r\n")
        self._start = self._start_line(bytes(buffer[:at]))
        while at < end:
            at += 2
            stop = buffer.find(b"\r\n", at)
            self._field(at, stop)
            at = stop
        self._body_at = self._read_at = self._kept = end + len(END)
        self._framing()
        return True

    def _start_line(self, line: bytes) -> tuple[str, str, str]:
        try:
            parts = line.decode("ascii").split(" ", 2 if self._answers else -1)
        except UnicodeDecodeError:
            raise Malformed(400, "the first line is not ASCII") from None
        if self._answers:
            if (len(parts) < 2 or not parts[0].startswith("HTTP/1.") or len(parts[1]) != 3
                    or not parts[1].isdigit()):
                raise Malformed(502, "not an HTTP answer")
            return parts[0], parts[1], ""
        if len(parts) != 3 or not parts[0] or not parts[0].isalpha() or not parts[1]:
            raise Malformed(400, "not an HTTP request")
        if not CONTROLS.isdisjoint(parts[1].encode("ascii")):
            raise Malformed(400, "the target holds control characters")
        if parts[1][:7].lower() == "http://":  # RFC 9112, 3.2.2: to be taken, though clients have no reason
            parts[1] = "/" + parts[1][7:].partition("/")[2]
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise Malformed(505 if parts[2].startswith("HTTP/") else 400, "the version is not HTTP/1.1")
        return parts[0], parts[1], parts[2]

    def _field(self, at: int, stop: int) -> None:
        buffer = self._buffer
        colon = buffer.find(b":", at, stop)
        if colon <= at or not TOKEN.issuperset(buffer[at:colon]):
            raise Malformed(400, "a header has no name or a bad one")
        first, last = colon + 1, stop
        while first < last and buffer[first] in b" \t":
            first += 1
        while last > first and buffer[last - 1] in b" \t":
            last -= 1
        if not CONTROLS.isdisjoint(buffer[first:last]):
            raise Malformed(400, "a header holds control characters")
        self._fields.append((at, colon, first, last))
        if len(self._fields) > self._limits.fields:
            raise Malformed(431, "the head holds too many headers")

    def _framing(self) -> None:
        buffer = self._buffer
        lengths, encodings, hosts = [], [], 0
        for a, b, c, d in self._fields:
            name = bytes(buffer[a:b]).lower()
            if name == b"content-length":
                lengths.append(bytes(buffer[c:d]))
            elif name == b"transfer-encoding":
                encodings.append(bytes(buffer[c:d]).lower())
            elif name == b"host":
                hosts += 1
        if not self._answers and hosts != 1 and (hosts or (self._start or ("",) * 3)[2] == "HTTP/1.1"):
            raise Malformed(400, "Host is missing or given twice")  # RFC 9112, 3.2
        # Two ways to tell the end are two ways to read the connection: neither is taken.
        if encodings and (lengths or encodings != [b"chunked"]):
            raise Malformed(400, "unclear transfer encoding")
        status = int(self._start[1]) if self._answers and self._start else 0
        if encodings:
            self._chunked = True
        elif lengths:
            if len(set(lengths)) > 1 or not lengths[0].isdigit() or len(lengths[0]) > 15:
                raise Malformed(400, "bad content length")
            self._length = int(lengths[0])
            if self._length > self._most_body:
                raise Malformed(413, "the body is too large")
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
                    raise Malformed(431, "a chunk's line is too large")
                return False
            if self._trailers:
                done = stop == self._read_at
                self._read_at = stop + 2
                if done:
                    return True
                if self._read_at - self._kept > self._limits.head + self._most_body:
                    raise Malformed(431, "the trailers are too large")
                continue
            size = bytes(buffer[self._read_at:stop]).split(b";")[0].strip()
            if not size or len(size) > 8 or not HEX.issuperset(size):
                raise Malformed(400, "bad chunk size")
            length = int(size, 16)
            if self._kept - self._body_at + length > self._most_body:
                raise Malformed(413, "the body is too large")
            if not length:
                self._trailers, self._read_at = True, stop + 2
                continue
            first = stop + 2
            if len(buffer) < first + length + 2:
                return False
            if buffer[first + length:first + length + 2] != b"\r\n":
                raise Malformed(400, "a chunk does not end where it says")
            buffer[self._kept:self._kept + length] = buffer[first:first + length]
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
