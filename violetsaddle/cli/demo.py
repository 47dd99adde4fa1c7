"""`violetsaddle demo`: an emulated fleet and a node at work, in a live table, then a report."""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Callable
from typing import Any

import click
import msgspec
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from violetsaddle.lab import experiment
from violetsaddle.lab.board import KINDS, Board
from violetsaddle.lab.experiment import Case, CaseError
from violetsaddle.lab.records import Answer, Record
from violetsaddle.world.day import SECOND

SCENARIO = "crash-burst"
BESIDE = ("random", "oracle")
REST = 2 * SECOND  # after a day; then nothing happens that is worth waiting for
DRAW_EVERY, SAY_EVERY = 0.25, 3.0  # seconds of wall time
COLOURS = {
    "up": "green",
    "cold": "yellow",
    "slow": "yellow",
    "draining": "cyan",
    "down": "red",
    "silent": "red",
    "gone": "bright_black",
    "away": "bright_black",
}
HELP = (
    "Clients ask a violetsaddle node for jobs; it sends each to one of the boxes. served: in time. "
    "late: answered, but later than the client wanted. refused: told to come back later. cold: just "
    "started and slow until it has warmed up."
)


def shown(value: float) -> str:
    return "-" if math.isnan(value) else f"{value:,.0f}"


def picture(board: Board) -> Group:
    """The whole table at this moment."""
    now, length = board.now / SECOND, board.day.length / SECOND
    rates, (p50, p99) = board.rates(), board.latencies()
    traffic = Table(box=None, pad_edge=False)
    for name in ("", *KINDS, "p50 ms", "p99 ms"):
        traffic.add_column(name, justify="right")
    traffic.add_row("a second", *(f"{rates[kind]:.1f}" for kind in KINDS), shown(p50), shown(p99))
    traffic.add_row("so far", *(str(board.sums[kind]) for kind in KINDS), "", "")
    boxes = Table(box=None, pad_edge=False)
    for name in ("box", "hall", "state"):
        boxes.add_column(name)
    for name in ("in work", "waiting"):
        boxes.add_column(name, justify="right")
    boxes.add_column("")
    for box in board.boxes:
        bar = Text("■" * min(40, box.running), "green") + Text("■" * min(60, box.waiting), "yellow")
        boxes.add_row(
            box.name,
            box.hall,
            Text(box.state, COLOURS.get(box.state, "")),
            f"{box.running} of {box.slots}",
            str(box.waiting),
            bar,
        )
    on = board.on()
    trouble = Text("; ".join(on), "red") if on else Text("none", "bright_black")
    return Group(
        Text(f"{min(now, length):5.1f} of {length:.0f} s", "bold"),
        Text("trouble: ") + trouble,
        "",
        traffic,
        "",
        boxes,
        "",
        Text(HELP, "bright_black"),
    )


def line(board: Board) -> str:
    """The same in one line, for where there is no terminal."""
    rates, (p50, p99) = board.rates(), board.latencies()
    up = sum(box.state == "up" for box in board.boxes)
    told = ", ".join(f"{kind} {rates[kind]:.0f}/s" for kind in KINDS)
    return (
        f"{board.now / SECOND:5.1f} s: {told}, p50 {shown(p50)} ms, p99 {shown(p99)} ms, {up} of "
        f"{len(board.boxes)} boxes up, trouble: {'; '.join(board.on()) or 'none'}"
    )


class Pace:
    """Shows the board now and then; on `sim` it also holds virtual time back to the wall's."""

    def __init__(
        self,
        board: Board,
        show: Callable[[], None],
        every: float,
        held: bool,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._board, self._show, self._every, self._held = board, show, every, held
        self._clock, self._sleep, self._began, self._next = clock, sleep, clock(), 0.0

    def __call__(self, record: Record) -> None:
        passed = self._clock() - self._began
        held = self._held and record.at < self._board.day.length + REST
        while held and (ahead := record.at / SECOND - passed) > 0:
            self._sleep(min(ahead, DRAW_EVERY))
            passed = self._clock() - self._began
            self._tick(passed)
        self._board.see(record)
        self._tick(passed)

    def _tick(self, passed: float) -> None:
        if passed >= self._next:
            self._next = passed + self._every
            self._show()


def _live_is_there() -> bool:
    try:
        experiment.stage_of("live")
    except CaseError:
        return False
    return True


def _play(case: Case, console: Console) -> tuple[Any, bool]:
    """The outcome, and whether it was interrupted."""
    day = experiment.drawn(case)
    board = Board(day)
    held = case.stage == "sim"
    live = Live(console=console, auto_refresh=False) if console.is_terminal else None
    if live is None:
        pace = Pace(board, lambda: click.echo(line(board)), SAY_EVERY, held)
    else:
        pace = Pace(board, lambda: live.update(picture(board), refresh=True), DRAW_EVERY, held)
    seen = experiment.Seen(pace)
    try:
        if live is None:
            return experiment.play(case, seen), False
        with live:
            outcome = experiment.play(case, seen)
            live.update(picture(board), refresh=True)
        return outcome, False
    except KeyboardInterrupt:
        return experiment.part(day, seen), True


@click.command(short_help="Show a node at work on an emulated fleet.")
@click.option("--seconds", type=click.FloatRange(3, 600), default=30.0, show_default=True)
@click.option(
    "--on",
    type=click.Choice(["live", "sim"]),
    help="A node's process on loopback, or virtual time held back to real time.  [default: live]",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 8), default=1, show_default=True)
@click.option("--boxes", type=click.IntRange(1, 64), default=8, show_default=True)
@click.option("--report", metavar="DIR", default="demo-report", show_default=True)
def command(seconds: float, on: str | None, seed: int, nodes: int, boxes: int, report: str) -> None:
    """Show a node at work on an emulated fleet, with a crash and a burst, then write a report.

    Ends with status 1 if the node broke a rule, 2 if the report can't be written, 3 if the day could not be
    played."""
    console = Console()
    stage = on or ("live" if _live_is_there() else "sim")
    case = Case(SCENARIO, seed, stage, nodes=nodes, boxes=boxes, seconds=seconds)
    try:
        outcome, interrupted = _play(case, console)
    except CaseError as error:
        click.echo(f"violetsaddle demo: {error}", err=True)
        sys.exit(2)
    if not any(isinstance(record, Answer) for record in outcome.records):
        click.echo(f"The day could not be played: {outcome.void or 'nothing was answered'}", err=True)
        if stage == "live":
            click.echo("In virtual time it may go: violetsaddle demo --on sim", err=True)
        sys.exit(3)
    if not interrupted:
        click.echo("Playing the same day with random choice and with an oracle, to compare ...")
        case = msgspec.structs.replace(case, yardsticks=BESIDE)
    lines: experiment.Lines = {}
    played = experiment.measured(case, outcome, lines, judge=not interrupted)
    result = played.result
    from violetsaddle.lab import report as pages  # brings matplotlib: not before the day is played

    html = pages.page(outcome, result, lines, experiment.stories(outcome, result), experiment.repeat(case))
    _sum_up(result)
    try:
        click.echo(f"Report: {pages.write(report, html).resolve()}")
    except OSError as error:
        click.echo(f"violetsaddle demo: {report}: {error.strerror}", err=True)
        sys.exit(2)
    sys.exit(1 if result.violations else 0)


def _sum_up(result: Any) -> None:
    figures = result.figures
    click.echo(f"{figures['items']} jobs asked for; {figures['whole']:.0%} of their worth earned in time.")
    if result.against:
        click.echo(
            f"Goodput {figures['goodput']:.3f}; random choice has {result.against['floor']:.3f}, "
            f"the best that is known of {result.against['top']:.3f}."
        )
    if result.void:
        click.echo(f"This run counts for nothing: {result.void}.")
    rules = ", ".join(result.rules)
    click.echo(f"Rules broken: {rules or 'none'}.")
