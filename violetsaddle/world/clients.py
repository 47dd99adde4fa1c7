"""Clients: what jobs they want and when, and what they do after each try."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

import numpy as np
from xxhash import xxh64_hexdigest

from violetsaddle.world.day import KEYED, MS, SAFE, SECOND, ClassSpec, Day, Item, chance

OPENS = 100 * MS  # first arrivals come so long after the day's start: the front needs a moment to look
BIN = 10 * MS  # the rate is constant for so long
HEAVIEST = 0.8  # of a class's deadline on a core of speed 1: what is heavier has no chance and is cut
BLOCK = 64 * 1024
LARGE = 0.005  # share of bodies of 4 to 32 KiB
LEAST_WORK = 1 * MS
LEAST_REMAINING = 1 * MS  # a client with less time left does not try again

Floats: TypeAlias = "np.ndarray[tuple[int, ...], np.dtype[np.float64]]"


def heaviest(cls: ClassSpec) -> int:
    """The most work that a job of the class has."""
    return max(LEAST_WORK, int(cls.deadline * HEAVIEST))


def mean_work(cls: ClassSpec) -> float:
    """The mean work of the class's jobs with the tail cut at `heaviest`, microseconds."""
    if cls.sigma <= 0:
        return float(min(cls.mean_work, heaviest(cls)))
    middle, most = math.log(cls.mean_work) - cls.sigma**2 / 2, heaviest(cls)

    def below(z: float) -> float:
        return (1 + math.erf(z / math.sqrt(2))) / 2

    place = (math.log(most) - middle) / cls.sigma
    return cls.mean_work * below(place - cls.sigma) + most * (1 - below(place))


def demand(classes: Sequence[ClassSpec]) -> float:
    """The mean work of a job, each counted for all slots it takes, microseconds."""
    total = sum(c.share for c in classes)
    return sum(c.share * mean_work(c) * c.slots for c in classes) / total


def usual(day: Day, at: Floats) -> Floats:
    """Jobs a second at these times with no burst on."""
    load = day.load
    turn = chance(day.seed, "items", "turn").random()
    wave: Floats = 1 + load.swing * np.sin(2 * math.pi * (at / max(1, load.period) + turn))
    return load.rate * np.maximum(0.0, wave)


def _arrivals(random: np.random.Generator, day: Day, first: int, last: int, factor: float) -> Floats:
    """A Poisson process of the usual rate times `factor`; times in order."""
    last = min(last, day.length)
    if last <= first or factor <= 0:
        return np.empty(0)
    edges = np.arange(first, last, BIN, dtype=np.float64)
    widths = np.minimum(BIN, last - edges)
    counts = random.poisson(usual(day, edges + widths / 2) * factor * widths / SECOND)
    times = np.repeat(edges, counts) + random.random(int(counts.sum())) * np.repeat(widths, counts)
    return np.sort(times)


def _bodies(random: np.random.Generator, count: int) -> list[bytes]:
    """Slices of one block that holds any bytes, among them what looks like the end of a head."""
    block = bytearray(random.bytes(BLOCK))
    for at in range(0, BLOCK - 64, 997):
        block[at : at + 23] = b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
    whole = bytes(block)
    sizes = random.integers(16, 400, count)
    large = random.random(count) < LARGE
    sizes[large] = random.integers(4096, 32 * 1024, int(large.sum()))
    starts = (random.random(count) * (BLOCK - sizes)).astype(np.int64)
    return [whole[a : a + n] for a, n in zip(starts.tolist(), sizes.tolist())]


class _Part(NamedTuple):
    """Jobs of one stream of arrivals, as columns."""

    at: list[int]
    cls: list[int]
    tenant: list[int]
    hall: list[int]
    work: list[int]
    hint: list[int]
    subject: list[int]
    heeds: list[bool]
    patience: list[int]
    body: list[bytes]


def _choose(random: np.random.Generator, weights: Sequence[float], count: int) -> list[int]:
    edges = np.cumsum(np.asarray(weights, dtype=np.float64))
    places = np.searchsorted(edges / edges[-1], random.random(count), side="right")
    return [int(p) for p in np.minimum(places, len(weights) - 1)]


def _part(day: Day, random: np.random.Generator, times: Floats) -> _Part:
    load, count = day.load, len(times)
    cls = _choose(random, [c.share for c in day.classes], count)
    kinds = np.asarray(cls, dtype=np.int64)
    sigma = np.array([max(0.0, c.sigma) for c in day.classes])
    middle = np.array([math.log(c.mean_work) for c in day.classes]) - sigma**2 / 2
    most = np.array([heaviest(c) for c in day.classes], dtype=np.float64)
    deadline = np.array([c.deadline for c in day.classes], dtype=np.float64)
    work = np.exp(middle[kinds] + sigma[kinds] * random.standard_normal(count))
    work = np.clip(work, LEAST_WORK, most[kinds])
    guess = work * np.exp(max(0.0, load.hint_sigma) * random.standard_normal(count))
    hint = np.maximum(1, guess) if load.hint_sigma >= 0 else np.zeros(count)
    # Squared, so that some subjects come up far more often than others.
    subject = np.floor(random.random(count) ** 2 * load.keys)
    heeds = random.random(count) < load.heeds
    early = random.random(count) < load.leaves
    span = np.maximum(2.0, deadline[kinds] * 0.6 / (20 * MS))
    patience = np.where(early, 20 * MS * span ** random.random(count), 0)
    tenant = _choose(random, [t.traffic for t in day.tenants], count)
    hall = _choose(random, load.halls, count)
    return _Part(
        times.astype(np.int64).tolist(),
        cls,
        tenant,
        hall,
        work.astype(np.int64).tolist(),
        hint.astype(np.int64).tolist(),
        subject.astype(np.int64).tolist(),
        heeds.tolist(),
        patience.astype(np.int64).tolist(),
        _bodies(random, count),
    )


_last: list[tuple[Day, list[Item]]] = []


def items(day: Day) -> list[Item]:
    """All jobs of the day in the order of their times; each one's number is its place in the list.

    A burst adds jobs, or thins them out if its factor is below 1, and leaves the other jobs as they were but
    for their numbers.  The list is kept for the days asked for last: don't change it."""
    for known, found in _last:
        if known is day:
            return found
    found = _items(day)
    _last.append((day, found))
    del _last[:-2]
    return found


def _items(day: Day) -> list[Item]:
    base = _arrivals(chance(day.seed, "items", "times"), day, OPENS, day.length, 1.0)
    bursts = [t for t in day.troubles if t.kind == "burst"]
    parts = [_part(day, chance(day.seed, "items", "base"), base)]
    for number, trouble in enumerate(t for t in bursts if t.factor > 1):
        random = chance(day.seed, "items", "burst", number)
        times = _arrivals(random, day, max(OPENS, trouble.at), trouble.until, trouble.factor - 1)
        parts.append(_part(day, random, times))
    kept = np.ones(len(base), dtype=np.bool_)
    for number, trouble in enumerate(t for t in bursts if t.factor < 1):
        spared = chance(day.seed, "items", "lull", number).random(len(base)) < trouble.factor
        kept &= spared | (base < trouble.at) | (base >= trouble.until)
    places = [(part.at[i], p, i) for p, part in enumerate(parts) for i in range(len(part.at)) if p or kept[i]]
    places.sort()
    keyed = [c.effect == KEYED for c in day.classes]
    slots = [c.slots for c in day.classes]
    named = day.load.keys > 0
    found = []
    for number, (at, p, i) in enumerate(places):
        part = parts[p]
        cls = part.cls[i]
        key = xxh64_hexdigest(b"%d/key/%d/%d" % (day.seed, p, i)) if keyed[cls] else ""
        found.append(
            Item(
                number,
                at,
                cls,
                part.tenant[i],
                part.hall[i],
                part.work[i],
                part.hint[i],
                slots[cls],
                key,
                f"{part.subject[i]:x}" if named else "",
                part.heeds[i],
                part.patience[i],
                part.body[i],
            )
        )
    return found


def within_share(day: Day, asked: Sequence[Item]) -> list[bool]:
    """For each of these items (in the order of their times) whether it is within its tenant's share.

    In each whole second of the day a tenant has its allowance, the fractions summed up; what comes first is
    within it.  A tenant without an allowance is always within."""
    within, used = [], [0] * len(day.tenants)
    second = -1
    left = [0] * len(day.tenants)
    for item in asked:
        now = item.at // SECOND
        if now != second:
            second = now
            used = [0] * len(day.tenants)
            left = [int(t.allowance_per_s * (now + 1)) - int(t.allowance_per_s * now) for t in day.tenants]
        used[item.tenant] += 1
        within.append(day.tenants[item.tenant].allowance_per_s <= 0 or used[item.tenant] <= left[item.tenant])
    return within


class Ending(enum.Enum):
    """How a try ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other answer
    LOST = "lost"  # no whole answer
    UNREACHED = "unreached"  # no connection came up
    OVERDUE = "overdue"  # the time and the grace are over
    LEFT = "left"  # the client had no patience


class Try(NamedTuple):
    """One try: the client sends it at `at` and stops waiting for it at `until`."""

    item: Item
    tries: int  # 0 for the first
    at: int
    until: int  # at the deadline, which all tries share


class Crowd:
    """What the clients of a day do next; keeps nothing of single items."""

    def __init__(self, day: Day) -> None:
        self._classes, self._load = day.classes, day.load

    def first(self, item: Item) -> Try:
        return Try(item, 0, item.at, item.at + self._classes[item.cls].deadline)

    def _again(self, item: Item, ending: Ending, now: int) -> bool:
        """Whether the job may be sent again at all after such an ending."""
        if ending in (Ending.SERVED, Ending.LEFT, Ending.OVERDUE):
            return False
        if ending in (Ending.REFUSED, Ending.UNREACHED):
            return True
        cls = self._classes[item.cls]
        if cls.effect == KEYED:
            return cls.group == "all" and now < item.at + cls.window
        return cls.effect == SAFE

    def after(self, last: Try, ending: Ending, now: int, retry_after: float = -1.0) -> Try | None:
        """The next try of the same item, or None if the client is done with it.

        `retry_after`: the seconds advised by a refusal; below 0: none."""
        item, load = last.item, self._load
        if last.tries + 1 >= load.tries or not self._again(item, ending, now):
            return None
        wait = load.backoff
        if ending is Ending.REFUSED and item.heeds and retry_after > 0:
            wait = max(wait, min(int(retry_after * SECOND), load.most_wait))
        at = now + wait
        return Try(item, last.tries + 1, at, last.until) if last.until - at >= LEAST_REMAINING else None
