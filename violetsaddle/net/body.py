"""Reads the body of a message inside the buffer that the message is received into; does no input or output.

`http.Parser` uses a reader for each body that is chunked, that ends with the connection, or that is not kept
whole.  A reader removes what it has read and does not keep: chunk lines, trailers, and content beyond
`kept`.  So the buffer holds the head, at most `kept` bytes of content, at most one line, and what has been
received since the last call.  Everything that is removed is counted against a limit too."""

from __future__ import annotations

import enum
import re

from violetsaddle.net.limits import Limits

LINE_END = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
MAX_SIZE_DIGITS = 8  # hexadecimal digits of a chunk's size
PLAIN_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,%d})\r\n" % MAX_SIZE_DIGITS)  # without extensions
CHUNK_FRAMING = 2 * len(LINE_END)  # bytes that end a chunk's line and its content
# A body of the largest size in chunks of one byte has 5 bytes of framing for each: `1`, CRLF, CRLF.
MIN_FRAMING_PER_BYTE = 8


class MalformedError(Exception):
    """The received bytes are not an acceptable message."""

    def __init__(self, status: int, text: str) -> None:
        """`status`: the HTTP status to answer with; `text`: what is wrong, the body of that answer."""
        super().__init__(text)
        self.status, self.text = status, text


class BodyReader:
    """Base of the readers.  `buffer[start:end]` is the content kept so far; unread bytes begin at `end`.

    The owner may replace `buffer` by a copy of it between two calls."""

    __slots__ = ("buffer", "end", "_start", "_max_body", "_kept", "_content", "_position")

    def __init__(self, buffer: bytearray, start: int, max_body: int, kept: int) -> None:
        """`start`: offset of the body; `max_body`: largest body; `kept`: content to keep, both in bytes."""
        self.buffer, self._start, self._max_body, self._kept = buffer, start, max_body, kept
        self.end = start
        self._content = 0  # bytes of content read, whether kept or not
        self._position = start  # offset of the next byte to read; what lies between `end` and it is removed

    def read(self) -> bool:
        """Reads what has been received.  Returns whether the body is complete; raises `MalformedError`."""
        complete = self._read()
        if self._position > self.end:
            del self.buffer[self.end : self._position]
            self._position = self.end
        return complete

    def _read(self) -> bool:
        raise NotImplementedError

    def _unread(self) -> int:
        return len(self.buffer) - self._position

    def _take_content(self, size: int) -> None:
        """Moves the next `size` bytes, which are content, to the end of what is kept."""
        start, end = self._position, self.end
        kept = min(size, self._start + self._kept - end)
        if kept > 0:
            if start > end:
                self.buffer[end : end + kept] = self.buffer[start : start + kept]
            self.end += kept
        self._content += size
        self._position += size


class SizedBody(BodyReader):
    """A body whose length is given."""

    __slots__ = ("_length",)

    def __init__(self, buffer: bytearray, start: int, length: int, kept: int) -> None:
        """`length`: of the body, in bytes."""
        super().__init__(buffer, start, length, kept)
        self._length = length

    def _read(self) -> bool:
        self._take_content(min(self._unread(), self._length - self._content))
        return self._content == self._length


class UnsizedBody(BodyReader):
    """A body that ends with the connection."""

    __slots__ = ()

    def _read(self) -> bool:
        self._take_content(self._unread())
        if self._content > self._max_body:
            raise MalformedError(413, "the body is too large")
        return False


class _Part(enum.Enum):
    """What a chunked body goes on with."""

    SIZE = enum.auto()  # the line with a chunk's size and extensions
    CONTENT = enum.auto()  # the rest of a chunk's content, and the CRLF after it
    TRAILERS = enum.auto()


class ChunkedBody(BodyReader):
    """A body in chunks (RFC 9112, 7.1).  Extensions and trailers are not kept."""

    __slots__ = ("_max_line", "_max_framing", "_max_trailers", "_part", "_missing", "_framing", "_trailers")

    def __init__(self, buffer: bytearray, start: int, limits: Limits, max_body: int, kept: int) -> None:
        """`limits`: of one line, of all chunk lines and of the trailers."""
        super().__init__(buffer, start, max_body, kept)
        self._max_line = limits.head
        self._max_framing = max(limits.framing, MIN_FRAMING_PER_BYTE * max_body)
        self._max_trailers = limits.head + max_body
        self._part = _Part.SIZE
        self._missing = 0  # bytes of the current chunk's content that have not been read
        self._framing = 0  # bytes of chunk lines read
        self._trailers = 0  # bytes of trailer lines read

    def _read(self) -> bool:
        while self._part is not _Part.TRAILERS:
            if self._part is _Part.SIZE:
                self._read_whole_chunks()
                if not self._read_size():
                    return False
            if self._part is _Part.CONTENT and not self._read_chunk():
                return False
        return self._read_trailers()

    def _read_whole_chunks(self) -> None:
        """Reads the chunks that have been received whole and have no extensions.

        It does nothing that the other methods would not do, but small chunks cost far less here.  It stops
        before the first chunk that is another, is incomplete or is not acceptable."""
        buffer, received, position, end = self.buffer, len(self.buffer), self._position, self.end
        keep_until, left = self._start + self._kept, self._max_body - self._content
        begun_at, left_before = position, left
        while line := PLAIN_SIZE_LINE.match(buffer, position):
            size, start = int(line[1], 16), line.end()
            after = start + size
            if not 0 < size <= left or after + 2 > received or buffer[after : after + 2] != LINE_END:
                break
            if end < keep_until:
                kept = min(size, keep_until - end)
                buffer[end : end + kept] = buffer[start : start + kept]
                end += kept
            left -= size
            position = after + 2
        content = left_before - left
        self._count_framing(position - begun_at - content)
        self._position, self.end = position, end
        self._content += content

    def _count_framing(self, size: int) -> None:
        self._framing += size
        if self._framing > self._max_framing:
            raise MalformedError(413, "the chunks' lines are too large")

    def _find_line_end(self) -> int:
        """Returns the offset of the CRLF that ends the next line; -1 while the line is incomplete."""
        line_end = self.buffer.find(LINE_END, self._position)
        length = (line_end if line_end >= 0 else len(self.buffer)) - self._position
        if length > self._max_line:
            raise MalformedError(431, "a chunk's line is too large")
        return line_end

    def _read_size(self) -> bool:
        """Reads the line before a chunk.  Returns whether it was complete."""
        line_end = self._find_line_end()
        if line_end < 0:
            return False
        size = bytes(self.buffer[self._position : line_end]).split(b";")[0].strip()
        if not size or len(size) > MAX_SIZE_DIGITS or not HEX_DIGITS.issuperset(size):
            raise MalformedError(400, "bad chunk size")
        missing = self._missing = int(size, 16)
        if self._content + missing > self._max_body:
            raise MalformedError(413, "the body is too large")
        self._count_framing(line_end - self._position + CHUNK_FRAMING)
        self._position = line_end + len(LINE_END)
        self._part = _Part.CONTENT if missing else _Part.TRAILERS
        return True

    def _read_chunk(self) -> bool:
        """Reads the rest of a chunk and the CRLF after it.  Returns whether both were complete."""
        if self._missing:
            size = min(self._missing, len(self.buffer) - self._position)
            self._take_content(size)
            self._missing -= size
        position = self._position
        line_end = self.buffer[position : position + len(LINE_END)]
        if self._missing or len(line_end) < len(LINE_END):
            return False
        if line_end != LINE_END:
            raise MalformedError(400, "a chunk does not end where it says")
        self._position = position + len(LINE_END)
        self._part = _Part.SIZE
        return True

    def _read_trailers(self) -> bool:
        """Returns whether the empty line that ends the body has been read."""
        while (line_end := self._find_line_end()) >= 0:
            line = line_end + len(LINE_END) - self._position
            self._position += line
            if line == len(LINE_END):
                return True
            self._trailers += line
            if self._trailers > self._max_trailers:
                raise MalformedError(431, "the trailers are too large")
        return False
