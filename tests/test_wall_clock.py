"""A step of the wall clock does not change known start times of servers, and hides no cold server."""

from __future__ import annotations

import pytest

from violetsaddle.net.wall_clock import STEP_RETENTION, WallClock

SECOND = 1_000_000
HOUR = 3600 * SECOND
BOOT = 1_790_000_000 * SECOND  # Unix time (µs) at which the monotonic clock was 0


class SteppedClock:
    """A clock whose wall time is `step` µs off."""

    def __init__(self) -> None:
        self.now, self.step = 1000 * SECOND, 0

    def monotonic(self) -> int:
        return self.now

    def unix(self) -> int:
        return BOOT + self.now + self.step


def test_without_a_step_a_timestamp_is_converted_exactly() -> None:
    clock = SteppedClock()
    wall_clock = WallClock(clock)
    clock.now += 50 * SECOND
    assert wall_clock.to_monotonic(BOOT + 1020 * SECOND) == 1020 * SECOND


def test_a_time_in_the_future_counts_as_now() -> None:
    clock = SteppedClock()
    assert WallClock(clock).to_monotonic(BOOT + 2 * HOUR) == clock.now


@pytest.mark.parametrize("step", [-HOUR, -2 * SECOND, 2 * SECOND, HOUR])
def test_a_start_before_or_after_a_step_is_never_converted_to_a_time_too_early(step: int) -> None:
    clock = SteppedClock()
    wall_clock = WallClock(clock)
    clock.now += 10 * SECOND
    before = clock.unix()
    clock.now += SECOND
    clock.step = step
    after = clock.unix()
    clock.now += SECOND
    assert wall_clock.to_monotonic(before) >= 1010 * SECOND
    assert wall_clock.to_monotonic(after) >= 1011 * SECOND


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_long_after_a_step_only_the_new_offset_is_used(step: int) -> None:
    clock = SteppedClock()
    wall_clock = WallClock(clock)
    clock.step = step
    wall_clock.to_monotonic(clock.unix())
    clock.now += STEP_RETENTION + SECOND
    assert wall_clock.to_monotonic(clock.unix() - 3 * SECOND) == clock.now - 3 * SECOND


def test_two_steps_in_a_row() -> None:
    clock = SteppedClock()
    wall_clock = WallClock(clock)
    timestamps = []
    for step in (-HOUR, HOUR, -2 * SECOND):
        clock.now += SECOND
        timestamps.append((clock.now, clock.unix()))
        clock.step += step
        wall_clock.to_monotonic(clock.unix())
    assert all(wall_clock.to_monotonic(timestamp) >= time for time, timestamp in timestamps)
