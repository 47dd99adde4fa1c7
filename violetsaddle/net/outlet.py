"""Non-blocking output stream for the log."""

from __future__ import annotations

import io
import select
from typing import TextIO

MAX_WRITE = 4000  # characters; a pipe that polls as writable accepts so many without blocking


class LogStream(io.TextIOBase):
    """Writes to a stream if that does not block, and drops the text otherwise.

    Without it, a full pipe that nobody reads would block the program at its next log line.  `dropped` counts
    the writes dropped since the last one that was passed on."""

    def __init__(self, stream: TextIO) -> None:
        """A stream without a file descriptor is always taken as writable."""
        self._stream = stream
        self._buffer = ""
        self.dropped = 0
        self._poll: select.poll | None = None
        try:
            poll = select.poll()
            poll.register(stream.fileno(), select.POLLOUT)
            self._poll = poll
        except (OSError, ValueError, AttributeError):
            pass  # the stream has no file descriptor

    def writable(self) -> bool:
        """Always true, as `io` defines it for a writable stream."""
        return True

    def isatty(self) -> bool:
        """Whether the underlying stream is a terminal."""
        return self._stream.isatty()

    def write(self, text: str) -> int:
        """Buffers the text until `flush`; returns its length in characters."""
        self._buffer += text
        return len(text)

    def flush(self) -> None:
        """Writes the buffered text, up to `MAX_WRITE` characters, or drops it if the stream is not writable.

        Raises `OSError` or `ValueError` if the underlying stream does."""
        text, self._buffer = self._buffer, ""
        if not text:
            return
        if self._poll is not None and not any(events & select.POLLOUT for _, events in self._poll.poll(0)):
            self.dropped += 1
            return
        if self.dropped:
            text, self.dropped = f"({self.dropped} lines were dropped: the log was not read)\n{text}", 0
        self._stream.write(text if len(text) <= MAX_WRITE else text[:MAX_WRITE] + " ...\n")
        self._stream.flush()
