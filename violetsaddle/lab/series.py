"""What a day's records give over time and by class, for people to look at; `score` holds what counts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from numpy.typing import NDArray

from violetsaddle.lab import ids
from violetsaddle.lab.records import Answer, BoxLoad, Gone, Lost, Record, Unreached
from violetsaddle.world.clients import items
from violetsaddle.world.day import MS, SECOND, Day, Item

MOST_BINS = 150
WIDTHS = (500 * MS, SECOND, 2 * SECOND, 5 * SECOND, 10 * SECOND, 30 * SECOND, 60 * SECOND)
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
KINDS = ("served", "refused", "failed", "lost")
LONGEST = 3600 * SECOND

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Series:
    """`ends`: the kinds of how tries ended, each per second; `latency`: rows of p50 and p99 by bin,
    milliseconds from the job's first intended time, not a number where nothing was served."""

    width: int  # of a bin, microseconds
    times: Floats  # middles of bins, seconds
    asked: Floats  # jobs a second
    ends: dict[str, Floats]
    latency: Floats
    work: Floats  # boxes x bins: slots' worth running and waiting
    classes: dict[str, tuple[int, list[float]]]  # served, and milliseconds at `PERCENTILES`


def histogram() -> HdrHistogram:
    """Of microseconds, to three digits."""
    return HdrHistogram(1, LONGEST, 3)


def percentiles(values: HdrHistogram) -> list[float]:
    """Milliseconds at `PERCENTILES`; not numbers where nothing was counted."""
    if not values.total_count:
        return [float("nan")] * len(PERCENTILES)
    return [values.get_value_at_percentile(p) / MS for p in PERCENTILES]


def width_for(length: int) -> int:
    """The width of a bin, so that there are not too many."""
    return next((width for width in WIDTHS if length <= width * MOST_BINS), -(-length // MOST_BINS))


def ended(record: Record) -> str:
    """How a record ends a try for its client: one of `KINDS`, or ""."""
    if isinstance(record, Answer):
        return {200: "served", 429: "refused", 503: "refused"}.get(record.status, "failed")
    if isinstance(record, (Lost, Unreached)):
        return "lost"
    return "lost" if isinstance(record, Gone) and record.overdue else ""


def read(day: Day, records: Sequence[Record]) -> Series:
    """One pass over the records; works for a day without any."""
    width = width_for(day.length)
    last = max((record.at for record in records[-100:]), default=0)
    bins = max(1, -(-max(day.length, min(last, day.length + 20 * SECOND)) // width))
    wanted = items(day)
    ends = {kind: np.zeros(bins) for kind in KINDS}
    over_time = [histogram() for _ in range(bins)]
    by_class = [histogram() for _ in day.classes]
    loads = np.zeros((len(day.boxes), bins))
    samples = np.zeros((len(day.boxes), bins))
    for record in records:
        place = min(bins - 1, max(0, record.at) // width)
        if isinstance(record, BoxLoad):
            if record.box < len(day.boxes):
                loads[record.box, place] += record.running + record.waiting
                samples[record.box, place] += 1
            continue
        kind = ended(record)
        if not kind:
            continue
        ends[kind][place] += 1
        item = _item(day, wanted, record.txn) if kind == "served" and isinstance(record, Answer) else None
        if item is not None:
            latency = min(LONGEST, max(1, record.at - item.at))
            over_time[place].record_value(latency)
            by_class[item.cls].record_value(latency)
    asked = np.bincount([min(bins - 1, item.at // width) for item in wanted], minlength=bins)
    seconds = width / SECOND
    return Series(
        width,
        np.arange(0.5, bins) * seconds,
        asked / seconds,
        {kind: values / seconds for kind, values in ends.items()},
        np.array([[row[0], row[2]] for row in map(percentiles, over_time)]).T,
        _carried(loads, samples),
        {cls.name: (int(one.total_count), percentiles(one)) for cls, one in zip(day.classes, by_class)},
    )


def _carried(loads: Floats, samples: Floats) -> Floats:
    """Means by bin; a bin without a sample has the one before it."""
    means = loads / np.maximum(samples, 1)
    places = np.where(samples > 0, np.arange(samples.shape[1]), 0)
    found: Floats = np.take_along_axis(means, np.maximum.accumulate(places, axis=1), axis=1)
    return found


def _item(day: Day, wanted: Sequence[Item], txn: str) -> Item | None:
    found = ids.read(day.seed, txn)
    return wanted[found[0]] if found is not None and found[0] < len(wanted) else None
