"""What a node has learned, as a value that outlives it, and how far a later node believes it.

`AGING` says for every value how it ages.  Nothing here is an order: what is believed changes how a node
weighs the boxes that its own list names, never which boxes those are, what state they are in or how cold
they are."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeGuard
from zlib import crc32

import msgspec

SECOND = 1_000_000  # microseconds
MOST_WORKERS = 5_000  # kept; those with the least to tell are left out first
MOST_KINDS = 256
MOST_TENANTS = 1024
AHEAD = SECOND // 10  # a memory from later than now: the clock went back, and nothing is believed
SAME_START = SECOND // 2  # two tellings of one start of a box differ by less: the clocks' own steps
LEAST_WEIGHT = 0.02  # what counts less is left as it is
MOST_SHUT = 0.3  # of the boxes, as the module has it
LONGEST = 3600.0 * SECOND


OF_FLEET = ("rate", "slot_time", "slots", "pace")  # the module has these at its estimate of the fleet
VALUES = (*OF_FLEET, "mean_hint", "pressure", "crowd", "own_rate")
# Attributes of the module whose names differ from the stored ones.
ATTRIBUTES = {"pace": "correction", "crowd": "busy_share"}


class Aging(NamedTuple):
    """`half`: after so long a value counts half, the rest is the fresh start's; 0: it does not fade.  `live`:
    after so long it counts for nothing.  `low`, `high`: a value outside is no value.  Times in seconds."""

    half: float
    live: float
    low: float
    high: float
    why: str


AGING: dict[str, Aging] = {
    # The fleet.
    "rate": Aging(0, 10, 0, 1.0, "estimated anew each second; slots a microsecond"),
    "slot_time": Aging(15, 60, 0, 1e15, "run times change with the mix of jobs: fewer old runs count"),
    "slots": Aging(15, 60, 0, 1e6, "as slot_time: their quotient is the mean run time and does not fade"),
    "pace": Aging(5, 30, 0.3, 1.0, "a backlog drains or grows within seconds"),
    "most_free": Aging(0, 60, 0, 1e4, "a kind's size does not change"),
    "speeds": Aging(0, 60, 1e-9, 1e6, "a kind's speed changes slowly; nothing better is known at a start"),
    "mean_hint": Aging(0, 60, 1, 1e12, "the mix of jobs; nothing better is known at a start"),
    "pressure": Aging(2, 10, 0, 1.0, "the last dozen starts: seconds at most"),
    "crowd": Aging(2, 10, 0, 1.0, "the last dozen reports: seconds at most"),
    "own_rate": Aging(10, 60, 0, 1.0, "traffic swings over tens of seconds; slots a microsecond"),
    # Tenants: tokens go on accruing while nobody is there to spend them.
    "bucket_rate": Aging(0, 10, 0, 1.0, "a share of the fleet's rate"),
    "tokens": Aging(0, 60, -1e6, 1e6, "accrue by the rate, never above the burst"),
    "budget": Aging(10, 60, 0, 1e3, "retries: earned by requests, a few seconds' worth"),
    # Boxes.
    "speed": Aging(20, 60, 1e-9, 1e6, "slowed boxes stay slow for tens of seconds; fades to its kind's"),
    "errors": Aging(8, 30, 0, 1.0, "ill boxes come back within seconds"),
    "ill": Aging(0, 30, 0, 16.0 * SECOND, "a time that is left runs down by itself"),
    "strikes": Aging(8, 30, 0, 4, "crashed and silent boxes are delisted or back by then"),
    "trust": Aging(8, 30, 0.05, 1.0, "as strikes; a sign of life restores it sooner"),
    "shut": Aging(0, 30, 0, 16.0 * SECOND, "a time that is left runs down by itself"),
    "life": Aging(0, 60, 0, LONGEST, "how long ago; grows by the age"),
    "cold": Aging(0, 60, -1e6, 1e6, "only a lower budget than a fresh one's is taken over"),
}


class Box(msgspec.Struct, array_like=True):
    """What was learned of one box; times are microseconds from the memory's making."""

    started: int  # Unix microseconds of its last start; 0: long ago
    speed: float = 0.0  # 0: unknown
    errors: float = 0.0
    ill: int = 0  # left
    strikes: int = 0
    trust: float = 1.0
    shut: int = 0  # left
    life: int = -1  # since its last sign of life; -1: none
    cold: float | None = None  # tokens of its budget; None: it was warm


class Bucket(msgspec.Struct, array_like=True):
    """A tenant's tokens at the memory's making."""

    rate: float | None  # tokens a microsecond; None: not estimated
    tokens: float


class Memory(msgspec.Struct):
    """All that outlives a process.  `unix` and `mono` are its time on both clocks, microseconds; `mono` below
    0: that clock is another machine's."""

    unix: int
    mono: int = -1
    values: dict[str, float] = {}  # of the fleet, by the names of `AGING`
    most_free: dict[int, float] = {}  # by machine kind
    speeds: dict[int, float] = {}
    buckets: list[Bucket] = []  # by tenant
    retries: float = -1.0  # below 0: not told
    boxes: dict[str, Box] = {}  # by name
    ids: list[str] = []  # that ran, or may have, the latest last
    listing: dict[str, Any] | None = None  # the list held, in discovery's form
    source: str = ""  # where it came from: versions of another discovery say nothing


class Believed(msgspec.Struct):
    """What was taken over.  `why`: why nothing was, or empty."""

    age: int = 0  # microseconds
    values: int = 0
    boxes: int = 0
    passed: int = 0  # boxes not listed now, restarted, or told of in numbers that are none
    why: str = ""


def attribute(name: str) -> str:
    """The module's attribute that holds a value stored under this name."""
    return ATTRIBUTES.get(name, name)


def weight(name: str, age: float) -> float:
    """How far a value of this age (microseconds) is believed, 0 to 1."""
    aging, seconds = AGING[name], age / SECOND
    if seconds >= aging.live:
        return 0.0
    return 0.5 ** (seconds / aging.half) if aging.half else 1.0


def sound(value: object, name: str) -> TypeGuard[float]:
    """Whether it is a number and in the range of its name."""
    aging = AGING[name]
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and math.isfinite(value)
        and aging.low <= value <= aging.high
    )


def numbered(names: Iterator[str]) -> dict[int, str]:
    """Names by the numbers under which the module knows them; two that share one are left out."""
    found: dict[int, str] = {}
    twice = set()
    for name in names:
        number = crc32(name.encode("utf-8", "replace"))
        if number in found:
            twice.add(number)
        found[number] = name
    return {number: name for number, name in found.items() if number not in twice}


def _items(listing: Mapping[str, Any] | None) -> dict[str, Mapping[str, Any]]:
    items = listing.get("servers") if listing else None
    return {item["id"]: item for item in items or () if isinstance(item.get("id"), str)}


# Learning.


def learned(balancer: Any, now: int, unix: int, ids: list[str], listing: dict[str, Any] | None) -> Memory:
    """Everything worth keeping.  `ids`: the last that ran; `listing`: the list held, in discovery's form,
    which gives boxes their names and starts."""
    fleet = balancer.fleet
    found = {name: getattr(fleet if name in OF_FLEET else balancer, attribute(name)) for name in VALUES}
    values = {name: float(value) for name, value in found.items() if sound(value, name)}
    items = _items(listing)
    names = numbered(iter(items))
    boxes = {
        names[number]: learned_box(worker, now, items[names[number]])
        for number, worker in balancer.workers.items()
        if number in names
    }
    if len(boxes) > MOST_WORKERS:
        boxes = foremost(boxes, MOST_WORKERS)
    for bucket in balancer.buckets:
        bucket.fill(now)
    return Memory(
        unix,
        now,
        values,
        _plain("most_free", fleet.most_free),
        _plain("speeds", balancer.speeds),
        [Bucket(b.rate, b.tokens) for b in balancer.buckets[:MOST_TENANTS]],
        balancer.retry_budget,
        boxes,
        ids,
        listing,
    )


def learned_box(worker: Any, now: int, item: Mapping[str, Any]) -> Box:
    """What is worth keeping of a worker; `item`: its entry in discovery's form."""
    started = item.get("started_ms") or 0
    cold = worker.cold_until > now
    if cold:
        worker.cold_budget.fill(now)
    return Box(
        int(started) * 1000,
        worker.speed,
        worker.errors,
        max(0, worker.unhealthy_until - now),
        worker.strikes,
        worker.trust,
        max(0, worker.ejected_until - now),
        now - worker.last_seen if worker.last_seen else -1,
        worker.cold_budget.tokens if cold else None,
    )


def foremost(boxes: Mapping[str, Box], most: int) -> dict[str, Box]:
    """So many of the boxes at most, those of which most would be forgotten."""
    return dict(sorted(boxes.items(), key=lambda pair: (-_tells(pair[1]), pair[0]))[:most])


def _tells(box: Box) -> float:
    """How much there is to lose by forgetting a box."""
    return 4.0 * (box.shut > 0) + 4.0 * (box.ill > 0) + 2.0 * (1.0 - box.trust) + box.errors + (box.speed > 0)


def _plain(name: str, table: Mapping[int, float]) -> dict[int, float]:
    return {kind: float(value) for kind, value in sorted(table.items())[:MOST_KINDS] if sound(value, name)}


# Believing.


def age_of(memory: Memory, now: int, unix: int) -> int | None:
    """How old a memory is, in microseconds; None where the clocks don't agree that it is from before now.

    The clock that never goes back tells more of a machine that has run on, and is passed over elsewhere: the
    greater of both ages counts."""
    age = unix - memory.unix
    if age < -AHEAD:
        return None
    return max(0, age, now - memory.mono if memory.mono >= 0 else 0)


def believe(balancer: Any, memory: Memory, now: int, unix: int, most: int = 60 * SECOND) -> Believed:
    """Takes over what is still worth it; `most`: what is older is not believed at all, microseconds.

    To be called once the first list is in, at a node that has learned nothing yet."""
    age = age_of(memory, now, unix)
    if age is None:
        return Believed(why="it is from later than now: the clock was set back")
    if age > most:
        return Believed(age, why=f"it is {age / SECOND:.0f} s old")
    found = Believed(age)
    believe_fleet(balancer, memory, age, found)
    _buckets(balancer, memory, now, age, found)
    names = numbered(iter(memory.boxes))
    allowed = int(MOST_SHUT * len(balancer.workers)) - balancer.ejected
    for number, name in names.items():
        worker, box = balancer.workers.get(number), memory.boxes[name]
        # Both clocks' starts are told in Unix time; a box that has started since is another box.
        started = worker.started - now + unix if worker is not None and worker.started else 0
        if worker is None or abs(started - box.started) > SAME_START:
            found.passed += 1
            continue
        allowed -= believe_box(balancer, worker, box, now, age, allowed > 0)
        found.boxes += 1
    return found


def believe_fleet(balancer: Any, memory: Memory, age: int, found: Believed, share: float = 1.0) -> None:
    """The fleet's values; `share`: how far the teller is trusted beside its age."""
    fleet = balancer.fleet
    for name in VALUES:
        if name in ("slot_time", "slots"):
            continue
        place: Any = fleet if name in OF_FLEET else balancer
        far, value = share * weight(name, age), memory.values.get(name)
        if far < LEAST_WEIGHT or not sound(value, name):
            continue
        old = getattr(place, attribute(name))
        # A value that a fresh start does not have has nothing to fade to.
        whole = old is None or (name == "mean_hint" and not old)
        setattr(place, attribute(name), value if whole else old + far * (value - old))
        found.values += 1
    time, slots = memory.values.get("slot_time"), memory.values.get("slots")
    far = share * weight("slots", age)
    # Both fade alike: their quotient, the mean run time, stays.
    if sound(time, "slot_time") and sound(slots, "slots") and slots and far >= LEAST_WEIGHT:
        fleet.slot_time += far * time
        fleet.slots += far * slots
        found.values += 1
    for name, table, told in (
        ("most_free", fleet.most_free, memory.most_free),
        ("speeds", balancer.speeds, memory.speeds),
    ):
        if weight(name, age):
            for kind, value in list(told.items())[:MOST_KINDS]:
                if 0 <= kind < balancer.settings.kinds and sound(value, name):
                    table[kind] = max(value, table.get(kind, 0.0)) if name == "most_free" else value
                    found.values += 1


def _buckets(balancer: Any, memory: Memory, now: int, age: int, found: Believed) -> None:
    for bucket, told in zip(balancer.buckets, memory.buckets):
        if not sound(told.tokens, "tokens") or not weight("tokens", age):
            continue
        rate = told.rate if told.rate is not None and sound(told.rate, "bucket_rate") else None
        bucket.tokens = min(bucket.burst, told.tokens + (rate or 0.0) * age)
        bucket.filled_at = now
        if rate is not None and weight("bucket_rate", age):
            bucket.rate = rate
        found.values += 1
    for name, value in (("retry_budget", memory.retries),):
        if sound(value, "budget"):
            old, far = getattr(balancer, name), weight("budget", age)
            # Both begin at half of what may be saved.
            setattr(balancer, name, min(2.0 * old, old + far * (value - old)))
            found.values += 1


def believe_box(
    balancer: Any,
    worker: Any,
    box: Box,
    now: int,
    age: int,
    may_shut: bool,
    share: float = 1.0,
    seen: bool = False,
) -> int:
    """Takes over what was learned of a box that the node's own list names; gives 1 if it was shut out.

    `seen`: it has given this node a sign of life, which says more than strikes of before."""

    def faded(name: str, value: float, fresh: float) -> float:
        far = share * weight(name, age)
        return fresh + far * (value - fresh) if sound(value, name) and far >= LEAST_WEIGHT else fresh

    kind = balancer.speeds.get(worker.kind, 0.0)
    # Eased towards its kind's each second, which must be known.
    if box.speed and kind and sound(box.speed, "speed") and weight("speed", age) >= LEAST_WEIGHT:
        worker.speed = faded("speed", min(box.speed, 2.0 * kind), kind)
    worker.errors = max(worker.errors, faded("errors", box.errors, 0.0))
    left = box.ill - age
    if sound(box.ill, "ill") and weight("ill", age) and left > 0:
        worker.unhealthy_until = max(worker.unhealthy_until, now + int(share * left))
    if not seen:
        worker.strikes = max(worker.strikes, round(faded("strikes", box.strikes, 0)))
        worker.trust = min(worker.trust, faded("trust", box.trust, 1.0))
        if sound(box.life, "life") and weight("life", age):
            worker.last_seen = max(0, now - box.life - age)
    if box.cold is not None and worker.cold_until > now and sound(box.cold, "cold"):
        worker.cold_budget.tokens = min(worker.cold_budget.tokens, box.cold)
    left = box.shut - age
    if not (
        may_shut
        and worker.pools
        and not worker.ejected_until
        and sound(box.shut, "shut")
        and weight("shut", age)
        and left > 0
    ):
        return 0
    balancer.ejected += 1
    balancer._remove_from_pools(worker)
    worker.ejected_until = now + left
    balancer._schedule(now, left, balancer._readmit, (worker, worker.ejected_until))
    return 1


class Listing:
    """The list held, kept in discovery's form as its answers come in: what the module has is not enough to
    find the boxes again."""

    def __init__(self) -> None:
        """Holds no list yet."""
        self._version, self._items = 0, dict[str, Mapping[str, Any]]()
        self.source = ""

    def take(self, told: Mapping[str, Any], source: str) -> None:
        """An answer that was fit to be taken in; `source`: whose."""
        if told["full"]:
            self._items.clear()
        for item in told["servers"]:
            if item.get("state") == "removed":
                self._items.pop(item["id"], None)
            else:
                self._items[item["id"]] = item
        self._version, self.source = int(told["version"]), source

    def whole(self) -> dict[str, Any] | None:
        """The list as one answer of discovery; None before the first entry."""
        if not self._items:
            return None
        return {"version": self._version, "full": True, "servers": list(self._items.values())}


def newer(
    memory: Memory, known: Mapping[str, Any] | None, source: str, age: int | None, most: int
) -> dict[str, Any] | None:
    """The memory's list where it says more than the one that the node was given, else None."""
    listing = memory.listing
    if listing is None or age is None or age > most or memory.source != source:
        return None
    try:
        told, held = int(listing["version"]), int(known["version"]) if known else -1
    except (KeyError, TypeError, ValueError):
        return None
    return listing if told > held and listing.get("full") is True else None
