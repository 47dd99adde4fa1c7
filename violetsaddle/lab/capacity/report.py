"""What a sweep gives: tables, JSON, and a picture of each slope with its budget line."""

from __future__ import annotations

import io
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib
import msgspec
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from rich.table import Table

from violetsaddle.lab.capacity.fit import Fit, fits
from violetsaddle.lab.capacity.sizes import Plan
from violetsaddle.lab.capacity.world import Row
from violetsaddle.lab.report import FAINT, INK, STYLE

DIGITS = 4  # of figures in the JSON: more say nothing


class Budget(NamedTuple):
    """What the operators allow a node for control."""

    figure: str
    most: float
    unit: str


BUDGETS = (
    Budget("cpu_percent", 1.3, "% of a core"),
    Budget("memory_mb", 32.0, "MB resident"),
    Budget("control_bytes_with_headers_per_s", 6000.0, "bytes/s for control, IP and UDP headers included"),
)
SHOWN = (
    "cpu_percent",
    "memory_mb",
    "told_per_s",
    "told_bytes_per_s",
    "heard_per_s",
    "heard_bytes_per_s",
    "watch_calls_per_s",
    "probes_per_s",
    "connections_an_attempt",
    "control_bytes_with_headers_per_s",
    "list_bytes",
    "list_known_ms",
    "change_bytes",
    "change_known_ms",
    "change_cpu_ms",
    "descriptors",
)
BLUE, RED = "#2f5d8a", "#b04a4a"


class Result(msgspec.Struct, frozen=True):
    """All of a command, as JSON."""

    plan: Plan
    rows: list[Row]
    fits: list[Fit]


def result(plan: Plan, rows: Sequence[Row]) -> Result:
    """Fits are made from all digits, and all are rounded then."""
    rounded = msgspec.json.decode(msgspec.json.encode([list(rows), fits(rows)]))
    return Result(
        plan,
        msgspec.convert(_rounded(rounded[0]), list[Row]),
        msgspec.convert(_rounded(rounded[1]), list[Fit]),
    )


def _rounded(value: object) -> object:
    if isinstance(value, float):
        return float(f"{value:.{DIGITS}g}")
    if isinstance(value, list):
        return [_rounded(one) for one in value]
    if isinstance(value, dict):
        return {key: _rounded(one) for key, one in value.items()}
    return value


def encode(one: Result) -> bytes:
    """JSON with a line for each row and slope."""
    rows = b",\n".join(map(msgspec.json.encode, one.rows))
    slopes = b",\n".join(map(msgspec.json.encode, one.fits))
    plan = msgspec.json.encode(one.plan)
    return b'{"plan":%s,\n"rows":[\n%s],\n"fits":[\n%s]}\n' % (plan, rows, slopes)


def decode(data: bytes) -> Result:
    """The JSON's content; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(data, type=Result)


def tables(one: Result) -> list[Table]:
    """A table for each swept key: a row for each figure, a column for each size."""
    found = [_named_table(one)] if one.plan.named else []
    for key in dict.fromkeys(fit.key for fit in one.fits):
        of_key = {fit.figure: fit for fit in one.fits if fit.key == key}
        some = next(iter(of_key.values()))
        table = Table(title=f"{key}: mean of {some.points[0].runs} runs, least to most")
        table.add_column("figure")
        for point in some.points:
            table.add_column(f"{point.value:g}", justify="right")
        table.add_column("intercept + slope", justify="right")
        for figure in SHOWN:
            if figure in of_key:
                fit = of_key[figure]
                cells = [f"{p.mean:.4g} ({p.least:.4g} to {p.most:.4g})" for p in fit.points]
                table.add_row(figure, *cells, f"{fit.intercept:.4g} + {fit.slope:.4g} x")
        found.append(table)
    return found


def _named_table(one: Result) -> Table:
    """A column for each named point."""
    table = Table(title=f"named points: mean of {one.plan.runs} runs, least to most")
    table.add_column("figure")
    for name in one.plan.named:
        table.add_column(name, justify="right")
    for figure in SHOWN:
        values = [
            [row.figures.get(figure, 0.0) for row in one.rows if row.key == key] for key in one.plan.named
        ]
        cells = [f"{sum(some) / len(some):.4g} ({min(some):.4g} to {max(some):.4g})" for some in values]
        if any(map(any, values)):
            table.add_row(figure, *cells)
    return table


def real_table(rows: Sequence[Row]) -> Table:
    """A tier of real nodes: the sum, the mean and the most of each figure."""
    table = Table(title=f"{len(rows)} real nodes")
    for name in ("figure", "sum", "mean", "most"):
        table.add_column(name, justify="left" if name == "figure" else "right")
    for figure in dict.fromkeys(name for row in rows for name in row.figures):
        values = [row.figures[figure] for row in rows if figure in row.figures]
        table.add_row(figure, f"{sum(values):.4g}", f"{sum(values) / len(values):.4g}", f"{max(values):.4g}")
    return table


def strange(one: Result) -> list[str]:
    """Counts on which outside and node don't agree, a line each."""
    return [
        f"{row.key} {row.value:g}, run {row.run}: {check.what}: outside {check.outside}, own {check.own}"
        for row in one.rows
        for check in row.checks
        if not check.agrees
    ]


# Pictures.


def pictures(one: Result, folder: str | Path) -> list[Path]:
    """Writes an SVG for each swept key; raises `OSError`."""
    found = []
    Path(folder).mkdir(parents=True, exist_ok=True)
    for key in dict.fromkeys(fit.key for fit in one.fits):
        path = Path(folder) / f"{key}.svg"
        path.write_text(picture(one, key), encoding="utf-8")
        found.append(path)
    return found


def picture(one: Result, key: str) -> str:
    """CPU, memory and bytes over one size, each with its line and its budget."""
    with matplotlib.rc_context(STYLE):  # type: ignore[arg-type]
        figure = Figure(figsize=(9.6, 2.8), layout="constrained")
        for axes, budget in zip(figure.subplots(1, len(BUDGETS)), BUDGETS):
            _draw(axes, [fit for fit in one.fits if (fit.key, fit.figure) == (key, budget.figure)], budget)
            axes.set_xlabel(key)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    return "\n".join(line.rstrip() for line in out.getvalue().splitlines()) + "\n"


def _draw(axes: Axes, some: Sequence[Fit], budget: Budget) -> None:
    axes.set_title(budget.unit, fontsize=8, color=INK)
    axes.axhline(budget.most, color=RED, linewidth=1, linestyle="--")
    axes.annotate(
        f"budget {budget.most:g}",
        (0.02, budget.most),
        xycoords=("axes fraction", "data"),
        color=RED,
        fontsize=7,
        va="bottom",
    )
    for fit in some:
        sizes = [point.value for point in fit.points]
        means = [point.mean for point in fit.points]
        below = [point.mean - point.least for point in fit.points]
        above = [point.most - point.mean for point in fit.points]
        axes.errorbar(sizes, means, yerr=[below, above], fmt="o", color=BLUE, markersize=3, linewidth=1)
        ends = [sizes[0], sizes[-1]]
        axes.plot(ends, [fit.at(size) for size in ends], color=FAINT, linewidth=1)
    axes.set_ylim(bottom=0)
