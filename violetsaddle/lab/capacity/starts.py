"""How long requests wait from being taken to their start, by class, on a day that `lab run --keep` has kept:
`python -m violetsaddle.lab.capacity.starts FILE ...`."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from rich.console import Console
from rich.table import Table

from violetsaddle.lab import experiment
from violetsaddle.lab.records import Answer, Began, Came, Record, Sent
from violetsaddle.lab.series import PERCENTILES, histogram, percentiles
from violetsaddle.world import clients
from violetsaddle.world.day import SECOND, Day

FIRST = 40 * SECOND  # before, the fleet is still filling: not counted
AIM = 1_400_000  # microseconds: what the operators want for urgent work


class Waits:
    """Of one class: requests taken, refused and started later than the aim, and a histogram of waits in
    microseconds."""

    def __init__(self) -> None:
        """Nothing counted yet."""
        self.taken, self.refused, self.late = 0, 0, 0
        self.waits = histogram()


def waits(day: Day, records: Sequence[Record], first: int = FIRST) -> dict[str, Waits]:
    """By class, of each request that was taken from `first` (microseconds of the day) on, repeats of clients
    included."""
    classes = {item.number: day.classes[item.cls].name for item in clients.items(day)}
    found = {one.name: Waits() for one in day.classes}
    sent: dict[str, Sent] = {}
    runs: dict[int, str] = {}
    started: set[str] = set()
    for record in records:
        if isinstance(record, Sent) and record.at >= first:
            sent[record.txn] = record
            found[classes[record.item]].taken += 1
        elif isinstance(record, Came):
            runs[record.run] = record.txn
        elif isinstance(record, Began):
            txn = runs.get(record.run, "")
            if txn in sent and txn not in started:
                started.add(txn)
                wait = max(1, record.at - sent[txn].at)
                one = found[classes[sent[txn].item]]
                one.waits.record_value(wait)
                one.late += wait > AIM
        elif isinstance(record, Answer) and record.txn in sent and record.status in (429, 503):
            found[classes[sent[record.txn].item]].refused += 1
    return found


def main(paths: Sequence[str]) -> None:
    """Prints a row for each class of each kept day."""
    table = Table(title="milliseconds from taken to started")
    heads = (
        "day",
        "class",
        "taken",
        "started",
        "refused",
        *(f"p{p:g}" for p in PERCENTILES),
        "later than 1.4 s",
    )
    for head in heads:
        table.add_column(head, justify="right")
    for path in paths:
        outcome = experiment.unpack(Path(path).read_bytes())
        for name, one in waits(outcome.day, outcome.records).items():
            count = one.waits.get_total_count()
            late = 100.0 * one.late / count if count else 0.0
            shown = (f"{value:.0f}" for value in percentiles(one.waits))
            cells = (Path(path).stem, name, str(one.taken), str(count), str(one.refused), *shown)
            table.add_row(*cells, f"{late:.2f} %")
    Console(width=160).print(table)


if __name__ == "__main__":
    main(sys.argv[1:])
