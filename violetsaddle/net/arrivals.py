"""When the bytes came that a connection's parser holds: a message may wait there for those before it."""

from __future__ import annotations

from collections import deque

from violetsaddle.net.limits import MS

STEP = 10 * MS  # bytes that come within such a time count as having come together, so that few times are kept


class Arrivals:
    """Times of the bytes fed to one parser, up to the last message that it gave."""

    __slots__ = ("_fed", "_marks")

    def __init__(self) -> None:
        """Nothing has come."""
        self._fed = 0
        self._marks: deque[tuple[int, int]] = deque()  # bytes fed up to then, and when the first of them came

    def came(self, size: int, at: int) -> None:
        """So many bytes were fed; `at`: when they came, microseconds, not before what came earlier."""
        self._fed += size
        if self._marks and at - self._marks[-1][1] < STEP:
            at = self._marks.pop()[1]
        self._marks.append((self._fed, at))

    def of_message(self, held: int) -> int:
        """When the last byte of the message taken just now came; `held`: bytes that wait after it."""
        taken, marks = self._fed - held, self._marks
        while marks[0][0] < taken:
            marks.popleft()
        return marks[0][1]
