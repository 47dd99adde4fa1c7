"""The real program on a wall clock that is stepped: `python -m tests.stepped_clock`.

`WALL_CLOCK` names a file that holds the step in seconds; the monotonic clock goes on undisturbed."""

from __future__ import annotations

import os
import runpy
import sys
import time


def step() -> float:
    with open(os.environ["WALL_CLOCK"]) as file:
        return float(file.read() or 0.0)


true_time, true_time_ns = time.time, time.time_ns


def stepped_time() -> float:
    return true_time() + step()


def stepped_time_ns() -> int:
    return true_time_ns() + int(step() * 1e9)


if __name__ == "__main__":
    setattr(time, "time", stepped_time)  # noqa: B010  mypy would have the function's own type
    setattr(time, "time_ns", stepped_time_ns)  # noqa: B010
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
