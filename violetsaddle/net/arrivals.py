"""Records when buffered bytes arrived, because a pipelined message may wait behind earlier ones."""

from __future__ import annotations

from collections import deque

from violetsaddle.net.limits import MS

ARRIVAL_RESOLUTION = 10 * MS  # bytes that arrive within this time share one entry
MAX_ENTRIES = 64
ENTRY_SIZE = 136  # bytes: a tuple of two numbers, and its place in the queue


class Arrivals:
    """Arrival times of the bytes fed to one parser that its messages have not consumed yet."""

    __slots__ = ("_fed", "_marks")

    def __init__(self) -> None:
        """Starts with no bytes."""
        self._fed = 0
        self._marks: deque[tuple[int, int]] = (
            deque()
        )  # bytes fed in total, arrival of the first in this entry

    @property
    def allocated(self) -> int:
        """Bytes of memory that the entries occupy."""
        return ENTRY_SIZE * len(self._marks)

    def record(self, size: int, at: int) -> None:
        """Records `size` bytes that arrived at `at`, in microseconds, not before the previous ones."""
        self._fed += size
        if self._marks and at - self._marks[-1][1] < ARRIVAL_RESOLUTION:
            at = self._marks.pop()[1]
        elif len(self._marks) >= MAX_ENTRIES:
            self._merge_pairs()
        self._marks.append((self._fed, at))

    def _merge_pairs(self) -> None:
        """Halves the entries.  Bytes then count as arrived up to an entry earlier, never later."""
        marks = list(self._marks)
        pairs = zip(marks[::2], marks[1::2])
        self._marks = deque((fed, earlier) for (_, earlier), (fed, _) in pairs)
        if len(marks) % 2:
            self._marks.append(marks[-1])

    def last_byte_of_message(self, held: int) -> int:
        """Returns when the last byte of the message just parsed arrived, in microseconds.

        `held`: number of bytes still buffered after it."""
        consumed, marks = self._fed - held, self._marks
        while marks[0][0] < consumed:
            marks.popleft()
        return marks[0][1]
