"""What a day was worth: how much of what was asked for was served in time, and where the rest went.

An item is served in time if a 200 comes to one of its tries by `aim + stretch * work` after the item's own
time, and within its deadline.  `work` is the job's running time on a core of speed 1: so the limit is the
same for every decider, and a slow box does not earn itself more time.  The item's own time is when its client
wanted it, not when a try was sent: what waits for a connection or comes after a refusal counts as waiting.

An item is worth its class's worth for each second of work; beyond its tenant's share (as
`world.clients.within_share` has it) the day's `over_share_worth` of that."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from numpy.typing import NDArray

from violetsaddle.lab.book import Book, Played, Try
from violetsaddle.world.clients import within_share
from violetsaddle.world.day import MS, SECOND, Day, Item

WHOLE, WINDOW, CLASS, TENANT = 0.45, 0.35, 0.10, 0.10  # weights of the goal
WINDOW_FOR = 10  # seconds, of the worst window and after a start
LONGEST = 3600 * SECOND
PERCENTILES = {"p50_ms": 50.0, "p90_ms": 90.0, "p99_ms": 99.0, "p999_ms": 99.9}
FLOOR = "random"  # the yardstick that a day is scored from
SERVED, LATE, REFUSED, FAILED = "served", "late", "refused", "failed"
UNREACHED, LOST, LEFT = "unreached", "lost", "left"
FATES = (SERVED, LATE, REFUSED, FAILED, UNREACHED, LOST, LEFT)  # what became of an item in the end

Floats = NDArray[np.float64]


class Part(msgspec.Struct, frozen=True):
    """Of a class, a tenant or all; `goodput`: worth served in time over worth asked for, 1 where none was."""

    items: int
    goodput: float
    asked: float  # worth
    served: float  # worth, in time


class Latency(msgspec.Struct, frozen=True):
    """From an item's own time to its 200, in time or not, milliseconds; 0 where there was none."""

    count: int
    p50_ms: float = 0.0
    p90_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0


class Figures(msgspec.Struct, frozen=True):
    goodput: float  # the goal: 45 % whole, 35 % worst 10 s, 10 % worst class, 10 % worst tenant in its share
    whole: float
    window: float  # the worst 10 s, by the items' own times
    window_at: int  # where it begins, seconds
    worst_class: float
    worst_tenant: float
    worth: dict[str, float]  # share of the worth asked for that met each fate; sums to 1 if any was
    classes: dict[str, Part]
    tenants: dict[str, Part]  # of what is within the share
    latency: dict[str, Latency]  # by class, and of all
    items: int
    tries: int  # that nodes took
    refusals: int  # tries answered 429 or 503
    failures: int  # tries with any other answer but 200, or with none though the client waited
    attempts_per_try: float
    probes_per_try: float
    cross_hall: float  # share of schedulings that left their node's hall
    wasted: float  # work done for nothing, as a share of the work that clients asked for
    after_starts: float = 1.0  # share served of the worth asked for in halls within 10 s of starts there
    starts: int = 0  # of nodes, those that the day began with left out


class Fate(NamedTuple):
    """What became of an item; `at`: its first 200, or -1."""

    what: str
    at: int


class Timeline(NamedTuple):
    """Rows by step; items count at their own times.  Worth a second, by fate; `refusals` and `failures` are
    answers a second, at their own times."""

    times: Floats  # middles, seconds
    asked: Floats
    worth: dict[str, Floats]
    refusals: Floats
    failures: Floats


def limit(day: Day, item: Item) -> int:
    """An answer that comes later than this earns nothing."""
    spec = day.classes[item.cls]
    return item.at + min(spec.deadline, spec.aim + int(spec.stretch * item.work))


def fate(book: Book, item: Item) -> Fate:
    tries = book.by_item.get(item.number, ())
    served = min((a.at for one in tries for a in one.answers[:1] if a.status == 200), default=-1)
    if served >= 0:
        return Fate(SERVED if served <= limit(book.day, item) else LATE, served)
    return Fate(_ending(tries[-1]) if tries else UNREACHED, -1)


def _ending(one: Try) -> str:
    if one.final is not None:
        return REFUSED if one.final.status in (429, 503) else FAILED
    if one.gone is not None and not one.gone.overdue:
        return LEFT
    return UNREACHED if one.sent < 0 else LOST


def worths(day: Day, items: Sequence[Item], within: Sequence[bool]) -> Floats:
    """What each item is worth."""
    over = day.over_share_worth
    return np.array(
        [
            day.classes[item.cls].worth * item.work / SECOND * (1.0 if inside else over)
            for item, inside in zip(items, within)
        ],
        dtype=np.float64,
    )


class _Counted:
    """The items of a day with their worth and fates, in their order."""

    def __init__(self, played: Played, items: Sequence[Item] | None) -> None:
        self.book = Book(played, items)
        self.items = sorted(self.book.items.values(), key=lambda item: (item.at, item.number))
        self.within = np.array(within_share(self.book.day, self.items), dtype=np.bool_)
        self.worth = worths(self.book.day, self.items, [bool(inside) for inside in self.within])
        self.fates = [fate(self.book, item) for item in self.items]
        self.good = np.array([f.what == SERVED for f in self.fates], dtype=np.bool_)

    def part(self, chosen: NDArray[np.bool_]) -> Part:
        asked = float(self.worth[chosen].sum())
        served = float(self.worth[chosen & self.good].sum())
        return Part(int(chosen.sum()), served / asked if asked else 1.0, asked, served)


def figures(played: Played, items: Sequence[Item] | None = None) -> Figures:
    """The figures of a day, defined also where nothing was asked for or served."""
    counted = _Counted(played, items)
    book, day = counted.book, counted.book.day
    cls = np.array([item.cls for item in counted.items], dtype=np.int64)
    tenant = np.array([item.tenant for item in counted.items], dtype=np.int64)
    everything = counted.part(np.ones(len(cls), dtype=np.bool_))
    classes = {spec.name: counted.part(cls == index) for index, spec in enumerate(day.classes)}
    tenants = {
        spec.name: counted.part((tenant == index) & counted.within) for index, spec in enumerate(day.tenants)
    }
    window, window_at = _window(counted)
    worst_class = min((part.goodput for part in classes.values() if part.asked), default=1.0)
    worst_tenant = min((part.goodput for part in tenants.values() if part.asked), default=1.0)
    what = np.array([FATES.index(f.what) for f in counted.fates], dtype=np.int64)
    shares = {
        name: float(counted.worth[what == index].sum()) / (everything.asked or 1.0)
        for index, name in enumerate(FATES)
    }
    tries = [one for one in book.tries.values() if one.sent >= 0]
    endings = [_ending(one) for one in tries if one.final is None or one.final.status != 200]
    runs = list(book.runs.values())
    crossed = sum(day.boxes[run.box].hall != day.nodes[run.node] for run in runs)
    return Figures(
        WHOLE * everything.goodput + WINDOW * window + CLASS * worst_class + TENANT * worst_tenant,
        everything.goodput,
        window,
        window_at,
        worst_class,
        worst_tenant,
        shares,
        classes,
        tenants,
        _latencies(counted),
        len(cls),
        len(tries),
        endings.count(REFUSED),
        endings.count(FAILED) + endings.count(LOST),
        len(runs) / max(1, len(tries)),
        book.probes / max(1, len(tries)),
        crossed / max(1, len(runs)),
        _wasted(counted),
        *_after_starts(counted),
    )


def _window(counted: _Counted) -> tuple[float, int]:
    """The worst 10 s and the second at which it begins; the whole of a shorter day."""
    seconds = max(1, -(-counted.book.day.length // SECOND))
    place = np.array([min(seconds - 1, item.at // SECOND) for item in counted.items], dtype=np.int64)
    wide = np.ones(min(WINDOW_FOR, seconds))
    asked = np.convolve(np.bincount(place, counted.worth, seconds), wide, "valid")
    served = np.convolve(np.bincount(place, counted.worth * counted.good, seconds), wide, "valid")
    share = np.where(asked > 1e-9, served / np.maximum(asked, 1e-9), 1.0)
    worst = int(share.argmin())
    return float(share[worst]), worst


def _after_starts(counted: _Counted) -> tuple[float, int]:
    """The share served of what was asked for in a node's hall within 10 s of its listening again, and how
    many such starts there were.  An item counts once however many starts it follows."""
    day = counted.book.day
    starts = [
        (day.nodes[node], life.at)
        for node, lives in counted.book.nodes.items()
        for life in lives
        if life.what == "ready" and life.life > 0
    ]
    chosen = np.array(
        [
            any(hall == item.hall and 0 <= item.at - at < WINDOW_FOR * SECOND for hall, at in starts)
            for item in counted.items
        ],
        dtype=np.bool_,
    )
    return counted.part(chosen).goodput, len(starts)


def _latencies(counted: _Counted) -> dict[str, Latency]:
    day = counted.book.day
    histograms = {name: HdrHistogram(1, LONGEST, 3) for name in (*(c.name for c in day.classes), "all")}
    for item, end in zip(counted.items, counted.fates):
        if end.at >= 0:
            took = min(LONGEST, max(1, end.at - item.at))
            histograms[day.classes[item.cls].name].record_value(took)
            histograms["all"].record_value(took)
    return {
        name: Latency(
            int(h.total_count),
            **{key: h.get_value_at_percentile(p) / MS for key, p in PERCENTILES.items() if h.total_count},
        )
        for name, h in histograms.items()
    }


def _wasted(counted: _Counted) -> float:
    """Work of runs whose result was no client's answer, over the work that was asked for."""
    book, wasted = counted.book, 0
    for run in book.runs.values():
        one = book.tries[run.txn]
        served = one.final is not None and one.final.status == 200 and one.final.body == run.result
        if run.how != "done" or not served:
            wasted += run.work
    return wasted / max(1.0, float(sum(item.work for item in counted.items)))


def timeline(played: Played, step: int = SECOND, items: Sequence[Item] | None = None) -> Timeline:
    """Worth over time, for reports; `step` in microseconds."""
    counted = _Counted(played, items)
    bins = max(1, -(-counted.book.day.length // step))
    seconds = step / SECOND

    def placed(times: Sequence[int], weights: Floats | None = None) -> Floats:
        places = np.array([min(bins - 1, max(0, at) // step) for at in times], dtype=np.int64)
        counts: Floats = np.bincount(places, weights, bins).astype(np.float64) / seconds
        return counts

    own = [item.at for item in counted.items]
    what = np.array([FATES.index(f.what) for f in counted.fates], dtype=np.int64)
    finals = [one.final for one in counted.book.tries.values() if one.final is not None]
    return Timeline(
        (np.arange(bins, dtype=np.float64) + 0.5) * seconds,
        placed(own, counted.worth),
        {name: placed(own, counted.worth * (what == index)) for index, name in enumerate(FATES)},
        placed([a.at for a in finals if a.status in (429, 503)]),
        placed([a.at for a in finals if a.status not in (200, 429, 503)]),
    )


# Against the yardsticks.


class Against(msgspec.Struct, frozen=True):
    """What a day lost against its yardsticks.  Shares of worth; above 0 is lost, below 0 won."""

    floor: float  # goodput of random choice
    top: float  # goodput of the best yardstick, or of the day itself if that is better
    score: float  # `relative` of the three
    lost: float  # what is missing to the top, as a share of it
    whole: float  # the top's whole less the day's
    window: float
    classes: dict[str, float]  # for each, the top's goodput less the day's
    tenants: dict[str, float]
    worth: dict[str, float]  # for each fate, the day's share less the top's: how it was lost


def relative(goodput: float, floor: float, top: float) -> float:
    """(goodput - floor) / (top - floor).  Where the top is not above the floor there was nothing to win: 1,
    or 0 for a goodput under the floor."""
    if top - floor < 1e-9:
        return 1.0 if goodput >= floor - 1e-9 else 0.0
    return (goodput - floor) / (top - floor)


def against(
    own: Figures | Mapping[str, Any], beside: Mapping[str, Figures | Mapping[str, Any]]
) -> Against | dict[str, Any]:
    """The day's figures against those of the yardsticks played on the same day, by their names; {} where none
    was.  The floor is random choice, or the worst there is where that was not played."""
    if not beside:
        return {}
    mine = msgspec.convert(own, Figures, from_attributes=True)
    others = {name: msgspec.convert(one, Figures, from_attributes=True) for name, one in beside.items()}
    floor = others[FLOOR].goodput if FLOOR in others else min(one.goodput for one in others.values())
    best = max(others.values(), key=lambda one: one.goodput)
    top = max(best.goodput, mine.goodput)
    return Against(
        floor,
        top,
        relative(mine.goodput, floor, top),
        (top - mine.goodput) / top if top > 0 else 0.0,
        best.whole - mine.whole,
        best.window - mine.window,
        {name: best.classes[name].goodput - part.goodput for name, part in mine.classes.items()},
        {name: best.tenants[name].goodput - part.goodput for name, part in mine.tenants.items()},
        {name: share - best.worth[name] for name, share in mine.worth.items()},
    )
