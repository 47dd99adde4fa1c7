"""Converts Unix timestamps to the node's monotonic clock, also when the wall clock is stepped.

Discovery sends the start time of a server as Unix time.  If the wall clock was stepped between that start
and now, it is unknown whether the timestamp was taken before or after the step.  The later of the possible
times is used: a server that counts as cold for too long only gets fewer requests, but one that counts as warm
too early may be overloaded."""

from __future__ import annotations

from violetsaddle.net.deadlines import Clock
from violetsaddle.net.limits import SECOND

MIN_STEP = SECOND // 5  # a smaller change of the offset between two readings is drift
# Timestamps from before a step may still arrive so long after it; no server is cold for longer.
STEP_RETENTION = 600 * SECOND


class WallClock:
    """Tracks the offset between the two clocks, and its values before recent steps."""

    def __init__(self, clock: Clock) -> None:
        """Reads both clocks of `clock` once."""
        self._clock = clock
        self._offset = clock.monotonic() - clock.unix()
        self._steps: list[tuple[int, int]] = []  # per step: expiry (monotonic, µs), offset before it (µs)

    def to_monotonic(self, timestamp: int) -> int:
        """Converts a Unix time to monotonic time, both in µs; a time in the future gives the current time."""
        now = self._clock.monotonic()
        offset = now - self._clock.unix()
        if abs(offset - self._offset) > MIN_STEP:
            self._steps.append((now + STEP_RETENTION, self._offset))
        self._offset = offset
        self._steps = [step for step in self._steps if step[0] > now]
        return min(now, timestamp + max([offset, *(old_offset for _, old_offset in self._steps)]))
