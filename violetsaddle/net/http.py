"""Parses and writes HTTP/1.1 messages; does no input or output.

A parsed message owns the buffer that it was read into, and its parts are slices of that buffer.  Bytes after
the message move to a new buffer."""

from __future__ import annotations

import re

from violetsaddle.net.body import BodyReader, ChunkedBody, SizedBody, UnsizedBody
from violetsaddle.net.body import MalformedError as MalformedError
from violetsaddle.net.limits import Limits

HEAD_END = b"\r\n\r\n"
# A header line: the name is a token, the value has no control characters except tabs.
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")
MAX_SLACK = 16 * 1024  # bytes that a buffer may occupy beyond those in it
NO_BODY_STATUS = re.compile("1..|204|304")
CONTINUE = b"HTTP/1.1 100 Continue" + HEAD_END
CONTROL_CHARACTERS = frozenset(range(0x20)) - {0x09} | {0x7F}
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
FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding", "host"))
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


# Cache of header names in lower case: the same few names come with every message.
_LOWER_NAMES: dict[bytes, str] = {}
_MAX_CACHED_NAMES = 256
_MAX_CACHED_NAME_LENGTH = 64  # bytes


def _lower_name(name: bytes) -> str:
    """Returns a name that is not cached in lower case, and caches it if there is room."""
    lower = name.decode("ascii").lower()
    if len(_LOWER_NAMES) < _MAX_CACHED_NAMES and len(name) <= _MAX_CACHED_NAME_LENGTH:
        _LOWER_NAMES[name] = lower
    return lower


# A header's name in lower case, and the offsets: line start, value start, value end, line end.
HeaderSpan = tuple[str, int, int, int, int]


class Message:
    """A complete request or answer."""

    __slots__ = ("start", "body", "unambiguous", "delimited", "_view", "_spans", "_values")

    def __init__(
        self, start: tuple[str, str, str], view: memoryview, spans: list[HeaderSpan], body: memoryview
    ) -> None:
        """`start`: the three parts of the start line; `view`: the message's buffer; `spans`: the positions of
        the headers in `view`."""
        self.start, self._view, self._spans, self.body = start, view, spans, body
        self._values: dict[str, str] = {}
        self.unambiguous = True  # False: it may be a late answer to an earlier request of its connection
        self.delimited = True  # its length was given; without one, the end of the connection may truncate it

    def header(self, name: str) -> str | None:
        """Returns a header's value; `name` is in lower case.  Repeated headers are joined with commas."""
        if not self._values and self._spans:
            values = self._values
            for key, _, begin, end, _ in self._spans:
                value = str(self._view[begin:end], "latin-1")
                values[key] = f"{values[key]}, {value}" if key in values else value
        return self._values.get(name)

    def copy_lines(self, excluded: frozenset[str]) -> bytes:
        """Returns the unchanged header lines except those of `excluded`, names in lower case."""
        runs, begin, end = [], -1, -1  # adjacent lines are copied as one run
        for key, line_start, _, _, line_end in self._spans:
            if key in excluded:
                continue
            if line_start != end:
                if begin >= 0:
                    runs.append(self._view[begin:end])
                begin = line_start
            end = line_end
        if begin >= 0:
            runs.append(self._view[begin:end])
        return b"".join(runs)

    @property
    def status(self) -> int:
        """The status code of an answer."""
        return int(self.start[1])

    @property
    def keeps_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        options = (self.header("connection") or "").lower()
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


class Parser:
    """Incremental parser for one direction of one connection."""

    def __init__(self, limits: Limits, max_body: int, answers: bool = False) -> None:
        """`max_body`: largest body, in bytes; `answers`: parses answers instead of requests."""
        self._limits, self._max_body, self._parses_answers = limits, max_body, answers
        self.kept_body = max_body  # bytes of a body that its message holds; what exceeds them is dropped
        self._buffer = bytearray()
        self._expects_continue = False  # the client of the message whose body is awaited
        self._reset()

    def _reset(self) -> None:
        self._scanned = 0
        self._start: tuple[str, str, str] | None = None
        # Of the message whose head was read last.  While its body is awaited they are dropped, as the objects
        # of many short headers take more memory than the head; they are read again then.
        self._headers: list[HeaderSpan] = []
        self._body_start = 0
        self._length = 0  # of a body without a reader, in bytes
        self._body: BodyReader | None = None

    def feed(self, data: bytes) -> None:
        """Adds received bytes; `next` returns the messages that they complete."""
        self._buffer += data

    @property
    def held(self) -> int:
        """Number of buffered bytes that belong to no parsed message."""
        return len(self._buffer)

    @property
    def allocated(self) -> int:
        """Bytes of memory that the buffer occupies."""
        return self._buffer.__alloc__()

    def clear(self) -> None:
        """Drops all buffered bytes and releases their memory."""
        self._buffer = bytearray()
        self._reset()

    @property
    def begun(self) -> bool:
        """Whether a part of the next message has been received."""
        return bool(self._buffer)

    @property
    def path(self) -> str:
        """The path in the head of the request that is being received; empty before that is complete."""
        return self._start[1].partition("?")[0] if self._start is not None else ""

    @property
    def wants_continue(self) -> bool:
        """Whether a head was received whose client expects 100 Continue before it sends the body."""
        return self._start is not None and self._expects_continue

    def next(self) -> Message | None:
        """Returns the next message, or None while it is incomplete; raises `MalformedError`."""
        while True:
            if self._start is None and not self._read_head():
                return None
            if not self._parses_answers or not 100 <= int((self._start or ("", "0", ""))[1]) < 200:
                break
            del self._buffer[: self._body_start]  # an interim answer (1xx) is skipped
            self._reset()
        if self._body is not None:
            if self._body.read():
                return self._take_message(self._body.end)
            self._release_slack(self._body)
            self._drop_headers()
            return None
        end = self._body_start + self._length
        if len(self._buffer) >= end:
            return self._take_message(end)
        self._drop_headers()
        return None

    def finish(self) -> Message | None:
        """Returns the answer without a length that the end of the connection completes, or None."""
        if self._start is None or not isinstance(self._body, UnsizedBody):
            return None
        message = self._take_message(self._body.end)
        message.delimited = False
        return message

    def _drop_headers(self) -> None:
        if self._headers:
            self._expects_continue = any(header[0] == "expect" for header in self._headers)
            self._headers = []

    def _release_slack(self, body: BodyReader) -> None:
        """Moves the buffer to a smaller one where most of what it had grown for was dropped."""
        if self._buffer.__alloc__() - len(self._buffer) > MAX_SLACK:
            self._buffer = body.buffer = bytearray(self._buffer)

    def _take_message(self, end: int) -> Message:
        if not self._headers:
            self._read_headers_again()
        buffer = self._buffer
        self._buffer = buffer[end:]
        view = memoryview(buffer)
        assert self._start is not None
        message = Message(self._start, view, self._headers, view[self._body_start : end])
        self._reset()
        return message

    def _read_head(self) -> bool:
        buffer = self._buffer
        while not self._scanned and buffer[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a message
            del buffer[:2]
        end = buffer.find(HEAD_END, max(0, self._scanned - 3))
        if end > self._limits.head or (end < 0 and len(buffer) > self._limits.head):
            raise MalformedError(431, "the head is too large")
        if end < 0:
            self._scanned = len(buffer)
            return False
        position = buffer.find(b"\r\n")
        self._start = self._parse_start_line(bytes(buffer[:position]))
        position += 2
        while position < end:
            position = self._read_header_line(position)
        self._body_start = end + len(HEAD_END)
        self._read_framing()
        return True

    def _read_headers_again(self) -> None:
        position = self._buffer.find(b"\r\n") + 2
        end = self._body_start - len(HEAD_END)
        while position < end:
            position = self._read_header_line(position)

    def _parse_start_line(self, line: bytes) -> tuple[str, str, str]:
        try:
            parts = line.decode("ascii").split(" ", 2 if self._parses_answers else -1)
        except UnicodeDecodeError:
            raise MalformedError(400, "the first line is not ASCII") from None
        if self._parses_answers:
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
        if not CONTROL_CHARACTERS.isdisjoint(parts[1].encode("ascii")):
            raise MalformedError(400, "the target holds control characters")
        if parts[1][:7].lower() == "http://":  # RFC 9112, 3.2.2: servers must accept it
            parts[1] = "/" + parts[1][7:].partition("/")[2]
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedError(505 if parts[2].startswith("HTTP/") else 400, "the version is not HTTP/1.1")
        return parts[0], parts[1], parts[2]

    def _read_header_line(self, line_start: int) -> int:
        """Parses the header line at this offset and returns the offset of the next line."""
        buffer = self._buffer
        line = HEADER_LINE.match(buffer, line_start)
        if line is None:
            raise MalformedError(400, "a header has no name, a bad one, or control characters")
        value_start, value_end = line.span(2)
        while value_start < value_end and buffer[value_start] in b" \t":
            value_start += 1
        while value_end > value_start and buffer[value_end - 1] in b" \t":
            value_end -= 1
        line_end = line.end()
        name = line[1]
        lower_name = _LOWER_NAMES.get(name) or _lower_name(name)
        self._headers.append((lower_name, line_start, value_start, value_end, line_end))
        if len(self._headers) > self._limits.fields:
            raise MalformedError(431, "the head holds too many headers")
        return line_end

    def _read_framing(self) -> None:
        """Finds out from the headers where the body ends."""
        buffer = self._buffer
        lengths, encodings, hosts = [], [], 0
        for name, _, value_start, value_end, _ in self._headers:
            if name not in FRAMING_HEADERS:
                continue
            if name == "content-length":
                lengths.append(bytes(buffer[value_start:value_end]))
            elif name == "transfer-encoding":
                encodings.append(bytes(buffer[value_start:value_end]).lower())
            else:
                hosts += 1
        if not self._parses_answers and hosts != 1 and (hosts or (self._start or ("",) * 3)[2] == "HTTP/1.1"):
            raise MalformedError(400, "Host is missing or given twice")  # RFC 9112, 3.2
        # A message with two framings could be read in two ways (request smuggling), so it is rejected.
        if encodings and (lengths or encodings != [b"chunked"]):
            raise MalformedError(400, "unclear transfer encoding")
        if lengths and (len(set(lengths)) > 1 or not lengths[0].isdigit() or len(lengths[0]) > 15):
            raise MalformedError(400, "bad content length")
        if lengths and int(lengths[0]) > self._max_body:
            raise MalformedError(413, "the body is too large")
        if self._parses_answers and self._start is not None and NO_BODY_STATUS.match(self._start[1]):
            return  # it has no body, whatever the headers say
        start, kept = self._body_start, self.kept_body
        if encodings:
            self._body = ChunkedBody(buffer, start, self._limits, self._max_body, kept)
        elif lengths:
            self._length = int(lengths[0])
            if self._length > kept:
                self._body = SizedBody(buffer, start, self._length, kept)
        elif self._parses_answers:
            self._body = UnsizedBody(buffer, start, self._max_body, kept)


def answer(status: int, body: bytes = b"", headers: str = "", close: bool = False) -> bytes:
    """Returns the bytes of an answer; `headers`: complete header lines, each with its CRLF."""
    content_length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    connection = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n{headers}{content_length}{connection}\r\n"
    return head.encode("latin-1") + body


def request(method: str, target: str, host: str) -> bytes:
    """Returns the bytes of a request without a body."""
    return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
