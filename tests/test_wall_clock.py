"""A step of the wall clock moves no start of a server, and hides no cold one."""

from __future__ import annotations

import pytest

from violetsaddle.net.wall_clock import STEP_MATTERS, WallClock

SECOND = 1_000_000
HOUR = 3600 * SECOND
BOOT = 1_790_000_000 * SECOND  # Unix time at which the monotonic clock began


class Stepped:
    def __init__(self) -> None:
        self.now, self.step = 1000 * SECOND, 0

    def monotonic(self) -> int:
        return self.now

    def unix(self) -> int:
        return BOOT + self.now + self.step


def test_without_a_step_a_stamp_is_placed_where_it_was() -> None:
    clock = Stepped()
    wall = WallClock(clock)
    clock.now += 50 * SECOND
    assert wall.place(BOOT + 1020 * SECOND) == 1020 * SECOND


def test_what_lies_ahead_counts_as_now() -> None:
    clock = Stepped()
    assert WallClock(clock).place(BOOT + 2 * HOUR) == clock.now


@pytest.mark.parametrize("step", [-HOUR, -2 * SECOND, 2 * SECOND, HOUR])
def test_a_start_on_either_side_of_a_step_is_never_placed_too_early(step: int) -> None:
    clock = Stepped()
    wall = WallClock(clock)
    clock.now += 10 * SECOND
    before = clock.unix()
    clock.now += SECOND
    clock.step = step
    after = clock.unix()
    clock.now += SECOND
    assert wall.place(before) >= 1010 * SECOND
    assert wall.place(after) >= 1011 * SECOND


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_long_after_a_step_stamps_are_placed_by_the_new_time_alone(step: int) -> None:
    clock = Stepped()
    wall = WallClock(clock)
    clock.step = step
    wall.place(clock.unix())
    clock.now += STEP_MATTERS + SECOND
    assert wall.place(clock.unix() - 3 * SECOND) == clock.now - 3 * SECOND


def test_two_steps_in_a_row() -> None:
    clock = Stepped()
    wall = WallClock(clock)
    stamps = []
    for step in (-HOUR, HOUR, -2 * SECOND):
        clock.now += SECOND
        stamps.append((clock.now, clock.unix()))
        clock.step += step
        wall.place(clock.unix())
    assert all(wall.place(stamp) >= at for at, stamp in stamps)
