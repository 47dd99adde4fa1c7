"""One HTML page about one day: self-contained, its plots SVG inside it, the same bytes for the same day."""

from __future__ import annotations

import io
import re
from collections.abc import Iterable, Mapping, Sequence
from html import escape
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from violetsaddle.lab.result import Broken, Result
from violetsaddle.lab.series import PERCENTILES, Floats, Series, read
from violetsaddle.lab.stage import Outcome
from violetsaddle.world.day import SECOND, Day, Trouble

NAME = "report.html"
MOST_ROWS = 50  # of violations with their stories
WIDE, HIGH = 9.6, 2.4  # inches
INK, FAINT = "#333333", "#b8b8b8"
COLOURS = {
    "module": "#2f5d8a",
    "asked": "#999999",
    "jobs asked": "#999999",
    "p50": "#2f5d8a",
    "p99": "#b07a4a",
    "top": "#5a8f5a",
    "floor": "#b07a4a",
    "served": "#5a8f5a",
    "refused": "#d0a030",
    "failed": "#b04a4a",
    "lost": "#7a5a8f",
}
STYLE = {
    "svg.hashsalt": "violetsaddle",
    "svg.fonttype": "none",
    "font.family": "sans-serif",
    "font.size": 9,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.edgecolor": FAINT,
    "axes.labelcolor": INK,
    "xtick.color": INK,
    "ytick.color": INK,
    "axes.grid": True,
    "grid.color": "#eeeeee",
    "axes.axisbelow": True,
    "legend.frameon": False,
    "legend.fontsize": 8,
}
CSS = """body{font:15px/1.5 system-ui,sans-serif;color:#333;max-width:62rem;margin:2rem auto;padding:0 1rem}
h1{font-size:1.5rem;margin-bottom:0}h2{font-size:1.1rem;margin:2rem 0 .3rem}p,li{max-width:48rem}
table{border-collapse:collapse;font-variant-numeric:tabular-nums;font-size:.85rem}
th,td{padding:.15rem .7rem;text-align:right;border-bottom:1px solid #eee}
th:first-child,td:first-child{text-align:left}th{font-weight:600;color:#666}.left td{text-align:left}
.heads{display:flex;flex-wrap:wrap;gap:.6rem 2rem;margin:1rem 0}.heads div{min-width:6rem}
.heads b{display:block;font-size:1.4rem;font-weight:500}.heads span,.quiet{color:#777;font-size:.8rem}
.bad{color:#a03030}.good{color:#3a703a}svg{max-width:100%;height:auto}pre{background:#f7f7f5;padding:.6rem;
overflow:auto;font-size:.75rem}details{margin:.2rem 0}.wide{overflow-x:auto}"""


def number(value: Any) -> str:
    """A figure as people read it; a dash for one that is none."""
    if value is None or (isinstance(value, float) and not np.isfinite(value)):
        return "–"
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"
    return f"{value:,}" if isinstance(value, int) and not isinstance(value, bool) else str(value)


def table(heads: Sequence[str], rows: Iterable[Sequence[Any]], kind: str = "") -> str:
    """An HTML table; texts are escaped."""
    top = "".join(f"<th>{escape(head)}</th>" for head in heads)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(number(cell))}</td>" for cell in row) + "</tr>\n" for row in rows
    )
    return f'<div class="wide"><table class="{kind}"><tr>{top}</tr>\n{body}</table></div>\n'


def tables(figures: Mapping[str, Any]) -> list[tuple[str, str]]:
    """Those figures that hold one row for each of several names: (title, HTML)."""
    found = []
    for title, rows in figures.items():
        if isinstance(rows, list) and rows and all(isinstance(row, dict) for row in rows):
            rows = {str(row.get("name", index)): row for index, row in enumerate(rows)}
        if not isinstance(rows, dict) or not rows:
            continue
        if not any(isinstance(row, dict) for row in rows.values()):
            found.append((title.replace("_", " "), table(["", ""], rows.items())))
            continue
        rows = {name: row for name, row in rows.items() if isinstance(row, dict)}
        flat = {
            name: {key: value for key, value in row.items() if not isinstance(value, (dict, list))}
            for name, row in rows.items()
        }
        keys = list(dict.fromkeys(key for row in flat.values() for key in row if key != "name"))
        html = table(
            ["", *(key.replace("_", " ") for key in keys)],
            ([name, *(row.get(key) for key in keys)] for name, row in flat.items()),
        )
        found.append((title.replace("_", " "), html))
    return found


class Plot:
    """One plot over the day's time, with marks where troubles begin and end."""

    def __init__(self, day: Day, label: str, high: float = HIGH) -> None:
        self.figure = Figure(figsize=(WIDE, high), layout="constrained")
        self.axes: Axes = self.figure.subplots()
        self.axes.set_xlim(0, day.length / SECOND)
        self.axes.set_xlabel("seconds")
        self.axes.set_ylabel(label)
        self._mark(day.troubles)

    def _mark(self, troubles: Sequence[Trouble]) -> None:
        for place, trouble in enumerate(sorted(troubles, key=lambda t: (t.at, t.until, t.kind))):
            begin, end = trouble.at / SECOND, trouble.until / SECOND
            self.axes.axvspan(begin, end, color="#c05050", alpha=0.05, lw=0)
            for at in (begin, end):
                self.axes.axvline(at, color="#c05050", alpha=0.35, lw=0.7, ls=":")
            self.axes.annotate(
                trouble.kind,
                (begin, 1.0),
                xycoords=("data", "axes fraction"),
                xytext=(2, 1 + 8 * (place % 3)),
                textcoords="offset points",
                fontsize=7,
                color="#a04040",
                annotation_clip=True,
            )

    def line(self, times: Floats, values: Floats, name: str, style: str = "-", kind: str = "") -> None:
        self.axes.plot(times, values, style, lw=1.3, label=name, color=COLOURS.get(kind or name))

    def svg(self, legend: bool = True) -> str:
        if legend and self.axes.get_legend_handles_labels()[0]:
            self.axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))
        return svg(self.figure)


def svg(figure: Figure) -> str:
    """The figure as an SVG element without dates or names of programs."""
    out = io.BytesIO()
    figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue().decode()
    text = text[text.index("<svg") :]
    return re.sub(r"\s*<metadata>.*?</metadata>", "", text, flags=re.DOTALL)


def worth(day: Day, lines: Mapping[str, tuple[Floats, Floats]]) -> str:
    """Worth earned a second over time, the module's and the yardsticks'."""
    plot = Plot(day, "worth a second")
    for name, (times, values) in lines.items():
        kind = name.partition(":")[0]
        plot.line(times, values, name, {"floor": "--", "top": "--", "asked": ":"}.get(kind, "-"), kind)
    plot.axes.set_ylim(bottom=0)
    return plot.svg()


def endings(day: Day, series: Series) -> str:
    plot = Plot(day, "tries a second")
    kinds = list(series.ends)
    plot.axes.stackplot(
        series.times,
        [series.ends[kind] for kind in kinds],
        labels=kinds,
        colors=[COLOURS[kind] for kind in kinds],
        alpha=0.75,
        lw=0,
    )
    plot.line(series.times, series.asked, "jobs asked")
    plot.axes.set_ylim(bottom=0)
    return plot.svg()


def latencies(day: Day, series: Series) -> str:
    plot = Plot(day, "ms (log)")
    if np.isfinite(series.latency).any():
        plot.axes.set_yscale("log")
    for name, row in zip(("p50", "p99"), series.latency):
        plot.line(series.times, row, name)
    return plot.svg()


def boxes(day: Day, series: Series) -> str:
    """A row for each box: what it had in work as a share of its slots; two means as much waits as runs."""
    slots = np.array([[max(1, box.slots)] for box in day.boxes], dtype=float).reshape(len(day.boxes), 1)
    share = series.work / slots
    plot = Plot(day, "", min(9.0, 1.0 + 0.16 * max(4, len(day.boxes))))
    plot.axes.grid(False)
    end = series.times[-1] + series.times[0]
    image = plot.axes.imshow(
        share,
        aspect="auto",
        interpolation="nearest",
        cmap="YlGnBu",
        vmin=0,
        vmax=2,
        extent=(0, float(end), len(day.boxes) - 0.5, -0.5),
    )
    step = max(1, len(day.boxes) // 40)
    plot.axes.set_yticks(range(0, len(day.boxes), step), [box.name for box in day.boxes[::step]], fontsize=7)
    plot.axes.set_xlim(0, day.length / SECOND)
    bar = plot.figure.colorbar(image, ax=plot.axes, pad=0.01)
    bar.set_label("in work / slots", fontsize=8)
    return plot.svg(legend=False)


def violations(broken: Sequence[Broken], stories: Sequence[str]) -> str:
    """One row each, with its story under it where there is one."""
    if not broken:
        return '<p class="good">No rule was broken.</p>'
    parts = [f'<p class="bad">{len(broken)} violations.</p>']
    for one, story in zip(broken[:MOST_ROWS], [*stories, *[""] * len(broken)]):
        line = escape(f"{one.at / SECOND:.3f} s  {one.rule}: {one.text}")
        parts.append(
            f"<details><summary>{line}</summary><pre>{escape(story)}</pre></details>"
            if story
            else f"<p>{line}</p>"
        )
    if len(broken) > MOST_ROWS:
        parts.append(f"<p>{len(broken) - MOST_ROWS} more are left out here.</p>")
    return "\n".join(parts)


def counters(result: Result) -> str:
    names = sorted({name for one in result.counters for name in one})
    heads = ["", *(f"n{index}" for index in range(len(result.counters)))]
    return table(heads, ([name, *(one.get(name, 0) for one in result.counters)] for name in names))


def heads(pairs: Iterable[tuple[str, Any]]) -> str:
    cells = "".join(
        f"<div><span>{escape(name)}</span><b>{escape(number(value))}</b></div>" for name, value in pairs
    )
    return f'<div class="heads">{cells}</div>'


def page(
    outcome: Outcome,
    result: Result,
    lines: Mapping[str, tuple[Floats, Floats]],
    stories: Sequence[str] = (),
    command: str = "",
) -> str:
    """The whole page.  `lines`: worth a second over time (seconds) of the module and of yardsticks;
    `stories`: what happened to the request of each violation, in their order."""
    from violetsaddle.world import troubles

    day = outcome.day
    series = read(day, outcome.records)
    with matplotlib.rc_context(STYLE):  # type: ignore[arg-type]
        plots = [
            ("Worth over time", worth(day, lines)),
            ("How tries ended", endings(day, series)),
            ("Latency of served jobs", latencies(day, series)),
            ("What each box had in work", boxes(day, series) if day.boxes else "<p>No boxes.</p>"),
        ]
    percents = table(
        ["class", "served", *(f"p{p:g} ms" for p in PERCENTILES)],
        ([name, count, *row] for name, (count, row) in series.classes.items()),
    )
    plots[2] = (plots[2][0], plots[2][1] + percents)
    simple = [
        (key.replace("_", " "), value)
        for key, value in result.figures.items()
        if not isinstance(value, (dict, list))
    ]
    lost = [
        (key.replace("_", " "), value)
        for key, value in result.against.items()
        if not isinstance(value, (dict, list))
    ]
    title = f"{day.scenario or 'a day'}, seed {day.seed}"
    size = (
        f"{len(day.nodes)} nodes, {len(day.boxes)} boxes, {day.load.rate:g} jobs a second for "
        f"{day.length / SECOND:g} s, on {result.stage}, decided by {result.decider}"
    )
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(title)}</title>"
        f"<style>{CSS}</style><h1>{escape(title)}</h1><p class=quiet>{escape(size)}</p>"
    ]
    if result.void:
        parts.append(f'<p class="bad">This run counts for nothing: {escape(result.void)}.</p>')
    parts.append(heads(simple))
    if lost:
        parts.append("<h2>Against the yardsticks</h2>" + heads(lost))
    told = "".join(f"<li>{escape(troubles.text(trouble, day))}</li>" for trouble in day.troubles)
    parts.append(f"<h2>Troubles</h2><ul>{told or '<li>none</li>'}</ul>")
    parts += [f"<h2>{escape(name)}</h2>\n{plot}" for name, plot in plots]
    parts.append("<h2>Rules</h2>" + violations(result.violations, stories))
    for name, html in [*tables(result.figures), *tables(result.against)]:
        parts.append(f"<h2>{escape(name.capitalize())}</h2>{html}")
    if result.yardsticks:
        parts.append("<h2>Yardsticks</h2>" + _yardsticks(result))
    if result.counters:
        parts.append("<h2>Counters of the nodes</h2>" + counters(result))
    if command:
        parts.append(f"<h2>Again</h2><pre>{escape(command)}</pre>")
    return "\n".join(parts) + "\n"


def _yardsticks(result: Result) -> str:
    every = {result.decider: result.figures, **result.yardsticks}
    keys = [key for key, value in result.figures.items() if not isinstance(value, (dict, list))]
    return table(
        ["", *every], ([key.replace("_", " "), *(one.get(key) for one in every.values())] for key in keys)
    )


def write(directory: str | Path, html: str) -> Path:
    """Puts the page into the directory, which is made where there is none; gives its path."""
    path = Path(directory) / NAME
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(html, encoding="utf-8")
    return path
