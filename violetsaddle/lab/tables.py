"""Results as tables on a terminal."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from fnmatch import fnmatchcase
from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from violetsaddle.lab.compare import BROKEN, Difference
from violetsaddle.lab.compare import figures as comparable
from violetsaddle.lab.result import Played, Result
from violetsaddle.lab.sweep import Point, mean

HEAD = (
    "goodput",
    "whole",
    "window",
    "against.score",
    "against.lost",
    "worth.late",
    "worth.refused",
    "worth.failed",
    "latency.all.p50_ms",
    "latency.all.p99_ms",
    BROKEN,
)

MOST_COLUMNS = 6


def number(value: Any) -> str:
    """A figure in few characters; a dash for one that is none."""
    if value is None or (isinstance(value, float) and math.isnan(value)):
        return "-"
    if isinstance(value, float):
        if abs(value) >= 1000 and math.isfinite(value):
            return f"{value:,.0f}"
        return f"{value:.4g}"
    return str(value)


def grid(title: str, heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> Group:
    """A table under its title; the first column to the left, the others to the right."""
    table = Table(box=None, pad_edge=False)
    for index, head in enumerate(heads):
        table.add_column(head, justify="left" if index == 0 else "right", overflow="fold")
    for row in rows:
        table.add_row(*(number(cell) for cell in row))
    return Group(Text(title, "bold"), table)  # a table's own title would be folded to the table's width


def result(played: Played) -> list[Group]:
    """What one day gave: figures beside those of the yardsticks, then rows by class, tenant and the like."""
    one = played.result
    every = {one.decider: one.figures, **one.yardsticks}
    plain = [key for key, value in one.figures.items() if not isinstance(value, (dict, list))]
    rows: list[list[Any]] = [
        [key.replace("_", " "), *(each.get(key) for each in every.values())] for key in plain
    ]
    found = [grid(title(one), ["", *every], rows)]
    simple = {key: value for key, value in one.against.items() if not isinstance(value, (dict, list))}
    if simple:
        found.append(
            grid(
                "against the yardsticks",
                ["", ""],
                ([key.replace("_", " "), value] for key, value in simple.items()),
            )
        )
    found += _nested(one.figures)
    return found


def _nested(figures: dict[str, Any]) -> list[Group]:
    found = []
    for key, value in figures.items():
        rows = value
        if isinstance(value, list):
            rows = {str(row.get("name", i)): row for i, row in enumerate(value) if isinstance(row, dict)}
        if not isinstance(rows, dict) or not rows:
            continue
        if not all(isinstance(row, dict) for row in rows.values()):
            found.append(grid(key.replace("_", " "), list(rows), [list(rows.values())]))
            continue
        names = [name for name in next(iter(rows.values())) if name != "name"]
        names = [
            name
            for name in names
            if not any(isinstance(row.get(name), (dict, list)) for row in rows.values())
        ]
        found.append(
            grid(
                key.replace("_", " "),
                ["", *(name.replace("_", " ") for name in names)],
                ([name, *(row.get(each) for each in names)] for name, row in rows.items()),
            )
        )
    return found


def title(one: Result) -> str:
    return (
        f"{one.scenario or 'a day'}, seed {one.seed}, on {one.stage}: {one.nodes} nodes, "
        f"{one.boxes} boxes, {one.rate:.4g} jobs a second, {one.length / 1e6:g} s"
    )


def cost(played: Played) -> str:
    """What it cost here; differs from run to run."""
    one, paid = played.result, played.cost
    line = f"{paid.wall:.1f} s of playing, {paid.judging:.1f} s of judging, {paid.peak:.0f} MB at most"
    if one.events and paid.wall > 0:
        line += f", {one.events / paid.wall:,.0f} events a second"
    return line


def wanted(names: Iterable[str], patterns: Sequence[str]) -> list[str]:
    """Those names that fit a pattern, in the patterns' order."""
    every = list(names)
    return list(dict.fromkeys(name for pattern in patterns for name in every if fnmatchcase(name, pattern)))


def differences(found: Sequence[Difference], patterns: Sequence[str]) -> Group:
    """Figures of both sides; a star marks a difference whose interval leaves out 0."""
    by_name = {one.name: one for one in found}
    chosen = [by_name[name] for name in wanted(by_name, patterns or HEAD)]
    rows = [
        [
            one.name,
            one.a,
            one.b,
            one.difference,
            f"{number(one.low)} .. {number(one.high)}",
            "*" if one.clear else "",
        ]
        for one in chosen
    ]
    pairs = max((one.pairs for one in found), default=0)
    return grid(f"{pairs} pairs of days", ["", "A", "B", "B - A", "95 % interval", ""], rows)


def sweep(results: Sequence[tuple[Point, Played]], patterns: Sequence[str]) -> list[Group]:
    """A column for each point: means over its days that count."""
    every: dict[tuple[tuple[str, str], ...], list[Played]] = {}
    for point, played in results:
        every.setdefault(point.values, []).append(played)
    names = wanted(
        dict.fromkeys(name for _, played in results for name in comparable(played.result)), patterns or HEAD
    )
    columns = [_column(values, days, names) for values, days in every.items()]
    heads = ["days that count", *names, "wall s", "peak MB", "events/s"]
    return [
        grid(
            "means over days" if not first else "",
            ["", *(head for head, _ in some)],
            ([head, *(cells[row] for _, cells in some)] for row, head in enumerate(heads)),
        )
        for first in range(0, len(columns), MOST_COLUMNS)
        for some in [columns[first : first + MOST_COLUMNS]]
    ]


def _column(
    values: Sequence[tuple[str, str]], days: Sequence[Played], names: Sequence[str]
) -> tuple[str, list[Any]]:
    good = [played for played in days if played.result.valid]
    sums = [comparable(played.result) for played in good]
    speeds = [played.result.events / played.cost.wall for played in good if played.cost.wall > 0]
    return "\n".join(f"{key}={value}" for key, value in values), [
        f"{len(good)}/{len(days)}",
        *(mean([one[name] for one in sums if name in one]) for name in names),
        mean([played.cost.wall for played in good]),
        max((p.cost.peak for p in good), default=math.nan),
        mean(speeds),
    ]
