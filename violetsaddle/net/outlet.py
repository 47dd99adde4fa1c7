"""Where the log goes: a stream that never holds the program up."""

from __future__ import annotations

import io
import select
from typing import TextIO

MOST = 4000  # characters written at once: a pipe that takes anything takes so much


class Outlet(io.TextIOBase):
    """Passes on what a stream takes at once and leaves out the rest, which it counts in `left_out`.

    Guards against a log that nobody reads: a full pipe would stop the program at its next line."""

    def __init__(self, stream: TextIO) -> None:
        """A stream without a descriptor is not asked whether it takes anything."""
        self._stream, self._held, self.left_out = stream, "", 0
        self._poll: select.poll | None = None
        try:
            poll = select.poll()
            poll.register(stream.fileno(), select.POLLOUT)
            self._poll = poll
        except (OSError, ValueError, AttributeError):
            pass  # no descriptor behind it

    def writable(self) -> bool:
        """True: it is a text stream to write to."""
        return True

    def isatty(self) -> bool:
        """Whether its stream is a terminal."""
        return self._stream.isatty()

    def write(self, text: str) -> int:
        """Holds the text until `flush`; gives its length in characters."""
        self._held += text
        return len(text)

    def flush(self) -> None:
        """May raise `OSError` or `ValueError`, as its stream does."""
        text, self._held = self._held, ""
        if not text:
            return
        if self._poll is not None and not any(what & select.POLLOUT for _, what in self._poll.poll(0)):
            self.left_out += 1
            return
        if self.left_out:
            text, self.left_out = f"({self.left_out} lines were left out: nobody read)\n{text}", 0
        self._stream.write(text if len(text) <= MOST else text[:MOST] + " ...\n")
        self._stream.flush()
