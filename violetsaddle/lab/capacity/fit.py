"""Straight lines through what was measured."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np

from violetsaddle.lab.capacity.world import Row


class Point(msgspec.Struct, frozen=True):
    """One size: the mean of its runs and their spread."""

    value: float
    mean: float
    least: float
    most: float
    runs: int


class Fit(msgspec.Struct, frozen=True):
    """`figure` = `intercept` + `slope` x `key`, by least squares over all runs."""

    key: str
    figure: str
    intercept: float
    slope: float
    worst: float  # the furthest that a point's mean lies from the line
    points: list[Point]

    def at(self, value: float) -> float:
        """The line's value at a size."""
        return self.intercept + self.slope * value


def fit(rows: Sequence[Row], key: str, figure: str) -> Fit | None:
    """None where fewer than two sizes have the figure."""
    found: dict[float, list[float]] = {}
    for row in rows:
        if row.key == key and figure in row.figures:
            found.setdefault(row.value, []).append(row.figures[figure])
    if len(found) < 2:
        return None
    sizes = [value for value, figures in found.items() for _ in figures]
    slope, intercept = np.polyfit(sizes, [one for figures in found.values() for one in figures], 1)
    points = [
        Point(value, sum(figures) / len(figures), min(figures), max(figures), len(figures))
        for value, figures in sorted(found.items())
    ]
    worst = max(abs(point.mean - (intercept + slope * point.value)) for point in points)
    return Fit(key, figure, float(intercept), float(slope), float(worst), points)


def fits(rows: Sequence[Row]) -> list[Fit]:
    """Of each swept key and each figure that is not 0 throughout."""
    keys = list(dict.fromkeys(row.key for row in rows))
    found = []
    for key in keys:
        figures = dict.fromkeys(name for row in rows if row.key == key for name in row.figures)
        for figure in figures:
            one = fit(rows, key, figure)
            if one is not None and any(point.most for point in one.points):
                found.append(one)
    return found
