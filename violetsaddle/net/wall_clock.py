"""Places Unix time stamps on the node's monotonic clock, although the machine's wall clock may be stepped.

Discovery tells the start of a server in Unix time.  Where the wall clock was stepped between that start and
now, nobody can tell on which side of the step the stamp lies.  The later reading counts: a server that is
taken for cold too long is only spared, and one that is taken for warm may be pushed over."""

from __future__ import annotations

from violetsaddle.net.deadlines import Clock
from violetsaddle.net.limits import SECOND

STEP = SECOND // 5  # a smaller change between two looks is drift
STEP_MATTERS = (
    600 * SECOND
)  # stamps of before a step may still come so long after it; no server is cold longer


class WallClock:
    """The distance between the two clocks, and what it was before the latest steps."""

    def __init__(self, clock: Clock) -> None:
        """Looks at both clocks of `clock` once."""
        self._clock = clock
        self._ahead = clock.monotonic() - clock.unix()
        self._before: list[tuple[int, int]] = []  # (until when it matters, distance) of each step

    def place(self, stamp: int) -> int:
        """The moment on the monotonic clock of a Unix time, both in microseconds; at the latest now."""
        now = self._clock.monotonic()
        ahead = now - self._clock.unix()
        if abs(ahead - self._ahead) > STEP:
            self._before.append((now + STEP_MATTERS, self._ahead))
        self._ahead = ahead
        self._before = [step for step in self._before if step[0] > now]
        return min(now, stamp + max([ahead, *(distance for _, distance in self._before)]))
