"""Measures what the live stage's own load tool can drive: `python -m violetsaddle.lab.live.drive`.

Clients of one process send open loop, each job at a time that was drawn before, to a stand-in in another
process that answers at once.  Lateness is from that time to the last byte of the request written, so it holds
whatever the tool does too slowly, the opening of connections included.  `--node` puts a real node and job
boxes with room to spare in the stand-in's place: then the table shows beside it what the node takes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import click
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from rich.console import Console
from rich.table import Table

from violetsaddle.lab.live.stage import LiveStage
from violetsaddle.lab.records import Answer, Record, Sent
from violetsaddle.world import clients
from violetsaddle.world.day import (
    MS,
    SAFE,
    SECOND,
    BoxSpec,
    ClassSpec,
    Day,
    Kind,
    LinkSpec,
    LoadSpec,
    RosterSpec,
    TenantSpec,
)

ON_TIME = 1 * MS  # the lateness at p99 up to which the tool keeps its own times
FIRST, STEP, MOST = 1000.0, 1.25, 20_000.0  # jobs a second
WARM = SECOND  # connections come up in the first second: it is not counted
TIMES = 3
HOUR = 3600 * SECOND
BOXES, SLOTS = 16, 64


@dataclass
class Figures:
    """One rate.  Histograms are in microseconds."""

    rate: float
    jobs: int  # due in the time that counts
    sent: int
    served: int
    lateness: Any  # from the time a job was due to its last byte written
    answers: Any  # from there to the answer's last byte
    void: str
    busy: float = 0.0  # share of a core that the load tool took
    waited: float = 0.0  # share of the time in which another program kept it from its core

    @property
    def on_time(self) -> bool:
        return self.sent == self.jobs and self.lateness.get_value_at_percentile(99) <= ON_TIME


def day(rate: float, seconds: float, seed: int = 1) -> Day:
    """Small jobs of one class and a fleet that is never busy."""
    box = BoxSpec("", 0, 0, 0, SLOTS, 1.0, SLOTS, SLOTS, 4096, 1, 1, 1, 500 * MS, 30 * SECOND)
    return Day(
        scenario="drive",
        seed=seed,
        length=int((seconds * SECOND) + WARM),
        halls=("a",),
        nodes=(0,),
        kinds=(Kind("box", SLOTS, 1.0),),
        boxes=tuple(_named(box, f"s-{number}") for number in range(BOXES)),
        classes=(ClassSpec("small", SAFE, 1.0, 2 * MS, 0.0, 100 * MS, 0.0, 2 * SECOND, 1.0),),
        tenants=(TenantSpec("one", 1.0, 1.0),),
        links=LinkSpec(0, 0, 0, 0.0, 0, 0, 0.0, 0.0, 0.0),
        load=LoadSpec(
            rate,
            0.0,
            SECOND,
            (1.0,),
            tries=1,
            backoff=0,
            heeds=0.0,
            most_wait=SECOND,
            leaves=0.0,
            hint_sigma=0.0,
            keys=0,
        ),
        roster=RosterSpec(SECOND, SECOND, SECOND, 500 * MS, 1000.0, 100, SECOND),
    )


def _named(box: BoxSpec, name: str) -> BoxSpec:
    from msgspec.structs import replace

    return replace(box, name=name)


def figures(played: Day, rate: float, records: Sequence[Record], void: str) -> Figures:
    due = {item.number: item.at for item in clients.items(played) if item.at >= WARM}
    late, took = HdrHistogram(1, HOUR, 3), HdrHistogram(1, HOUR, 3)
    sent: dict[str, int] = {}
    served = 0
    for record in records:
        if isinstance(record, Sent) and record.item in due:
            sent[record.txn] = record.at
            late.record_value(max(1, record.at - due[record.item]))
        elif isinstance(record, Answer) and record.txn in sent:
            served += record.status == 200
            took.record_value(max(1, record.at - sent[record.txn]))
    return Figures(rate, len(due), len(sent), served, late, took, void)


def rising(rates: Sequence[float], seconds: float, stage: LiveStage) -> Iterator[Figures]:
    """Plays a day for each rate; without rates, rising ones until the tool is late three times at one: what
    else the machine does must not pass for the tool's own slowness."""
    if rates:
        yield from (measure(rate, seconds, stage) for rate in rates)
        return
    rate = FIRST
    while rate <= MOST:
        for _ in range(TIMES):
            found = measure(rate, seconds, stage)
            yield found
            if found.on_time:
                break
        else:
            return
        rate *= STEP


def measure(rate: float, seconds: float, stage: LiveStage) -> Figures:
    """Plays one day."""
    played = day(rate, seconds)
    outcome = stage.play(played)
    found = figures(played, rate, outcome.records, outcome.void)
    done = stage.workers.get("load0")
    if done is not None:
        found.busy, found.waited = (s * SECOND / played.length for s in (done.cpu, done.waited))
    return found


def _ms(histogram: Any, percentile: float) -> str:
    if not histogram.get_total_count():
        return "-"
    return f"{histogram.get_value_at_percentile(percentile) / MS:.2f}"


@click.command()
@click.option(
    "--rate",
    "rates",
    multiple=True,
    type=click.FloatRange(1, MOST),
    help="Jobs a second; may be given several times.  Without it, rising rates.",
)
@click.option(
    "--seconds",
    default=5.0,
    show_default=True,
    type=click.FloatRange(1, 60),
    help="For each rate, after a first one that is not counted.",
)
@click.option("--node", is_flag=True, help="Drive a real node with idle job boxes, not a stand-in.")
@click.option("--cpus", default="", help="Cores, such as 3,4,5; with enough each process keeps to one.")
def main(rates: tuple[float, ...], seconds: float, node: bool, cpus: str) -> None:
    """The load that the tool itself can drive on one core, and how late it is.

    Where it waited for its core, others were at work on it: then the figures say little."""
    cores = [int(core) for core in cpus.split(",") if core]
    stage = LiveStage(cores, late=HOUR, echo=not node)  # lateness is what is asked for: it voids nothing
    table = Table(title="a real node" if node else "a stand-in that answers at once")
    for name in (
        "jobs/s",
        "due",
        "sent",
        "served",
        "late p50 ms",
        "p99",
        "max",
        "answer p50 ms",
        "p99",
        "busy %",
        "waited %",
    ):
        table.add_column(name, justify="right")
    held: float | None = None
    late: list[float] = []
    for found in rising(rates, seconds, stage):
        table.add_row(
            f"{found.rate:.0f}",
            str(found.jobs),
            str(found.sent),
            str(found.served),
            *(_ms(found.lateness, p) for p in (50, 99, 100)),
            *(_ms(found.answers, p) for p in (50, 99)),
            f"{100 * found.busy:.1f}",
            f"{100 * found.waited:.1f}",
        )
        if found.void:
            click.echo(f"{found.rate:.0f} jobs/s: {found.void}", err=True)
        if found.on_time:
            held = max(held or 0.0, found.rate)
        else:
            late.append(found.rate)
    console = Console()
    console.print(table)
    passed = min((rate for rate in late if rate > (held or 0.0)), default=None)
    console.print(
        f"on time (p99 of lateness up to {ON_TIME / MS:g} ms) at "
        + (f"{held:.0f} jobs/s" if held else "no rate")
        + (f", late at {passed:.0f}" if passed else "")
    )


if __name__ == "__main__":
    main()
