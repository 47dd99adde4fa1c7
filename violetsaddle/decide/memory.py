"""What a node has learned, as a value that outlives the process, and how much of it a later node adopts.

`AGING_RULES` says for every value how its weight falls with its age.  Adopted values change only how a node
weighs the boxes on its own server list; they never change which boxes are on it, their state, or for how long
they count as cold.

A box is what the decision module calls a worker."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeGuard
from zlib import crc32

import msgspec

SECOND = 1_000_000  # microseconds
MAX_BOXES = 5_000  # the least informative are left out first
MAX_KINDS = 256  # machine kinds
MAX_TENANTS = 1024
FUTURE_TOLERANCE = SECOND // 10  # a state from further in the future means that the clock was set back
START_TOLERANCE = SECOND // 2  # two reports of one start of a box differ by less: clocks are stepped
MIN_WEIGHT = 0.02  # a value with a smaller weight is not adopted
MAX_EJECTED_SHARE = 0.3  # of the boxes; the same limit as policy.MAX_EJECTED
MAX_DURATION = 3600.0 * SECOND  # of `alive_ago`

OF_FLEET = ("rate", "slot_time", "slots", "pace")  # attributes of `FleetRate`; the others are `Balancer`'s
VALUES = (*OF_FLEET, "mean_hint", "pressure", "crowd", "own_rate")
# Attributes of the module whose names differ from the stored ones.
ATTRIBUTES = {"pace": "correction", "crowd": "busy_share"}


class AgingRule(NamedTuple):
    """How the weight of a value falls with its age, and which values are valid.

    An adopted value is mixed with the default of a fresh start by its weight."""

    half_life: float  # seconds; 0: the weight stays 1 until `max_age`
    max_age: float  # seconds; from this age on the weight is 0
    minimum: float
    maximum: float
    reason: str


AGING_RULES: dict[str, AgingRule] = {
    # The fleet.
    "rate": AgingRule(0, 10, 0, 1.0, "estimated anew each second; slots a microsecond"),
    "slot_time": AgingRule(15, 60, 0, 1e15, "run times change with the mix of jobs: fewer old runs count"),
    "slots": AgingRule(15, 60, 0, 1e6, "as slot_time: their quotient is the mean run time and does not fade"),
    "pace": AgingRule(5, 30, 0.3, 1.0, "a backlog drains or grows within seconds"),
    "most_free": AgingRule(0, 60, 0, 1e4, "a kind's size does not change"),
    "speeds": AgingRule(
        0, 60, 1e-9, 1e6, "a kind's speed changes slowly; nothing better is known at a start"
    ),
    "mean_hint": AgingRule(0, 60, 1, 1e12, "the mix of jobs; nothing better is known at a start"),
    "pressure": AgingRule(2, 10, 0, 1.0, "the last dozen starts: seconds at most"),
    "crowd": AgingRule(2, 10, 0, 1.0, "the last dozen reports: seconds at most"),
    "own_rate": AgingRule(10, 60, 0, 1.0, "traffic swings over tens of seconds; slots a microsecond"),
    # Tenants.  Tokens accrue also while no node is running.
    "bucket_rate": AgingRule(0, 10, 0, 1.0, "a share of the fleet's rate"),
    "tokens": AgingRule(0, 60, -1e6, 1e6, "accrue by the rate, never above the burst"),
    "budget": AgingRule(10, 60, 0, 1e3, "retries: earned by requests, a few seconds' worth"),
    # Boxes.
    "speed": AgingRule(
        20, 60, 1e-9, 1e6, "slow boxes stay slow for tens of seconds; decays to the speed of its kind"
    ),
    "errors": AgingRule(8, 30, 0, 1.0, "unhealthy boxes recover within seconds"),
    "unhealthy_left": AgingRule(0, 30, 0, 16.0 * SECOND, "a remaining time, which expires by itself"),
    "strikes": AgingRule(8, 30, 0, 4, "crashed and silent boxes are delisted or back by then"),
    "trust": AgingRule(8, 30, 0.05, 1.0, "as strikes; a sign of life restores it sooner"),
    "ejected_left": AgingRule(0, 30, 0, 16.0 * SECOND, "a remaining time, which expires by itself"),
    "alive_ago": AgingRule(0, 60, 0, MAX_DURATION, "how long ago; grows by the age"),
    "cold_tokens": AgingRule(0, 60, -1e6, 1e6, "adopted only if lower than the budget of a fresh start"),
}


class BoxState(msgspec.Struct, array_like=True):
    """What was learned of one box.  Durations are microseconds, as seen when the state was collected."""

    started: int  # Unix microseconds of its last start; 0: long ago
    speed: float = 0.0  # hinted work over time taken; 0: unknown
    errors: float = 0.0  # share of errors among its last outcomes, 0 to 1
    unhealthy_left: int = 0  # until it counts as healthy again
    strikes: int = 0  # consecutive ejections
    trust: float = 1.0  # 0 to 1
    ejected_left: int = 0  # until it is chosen again
    alive_ago: int = -1  # since its last sign of life; -1: none
    cold_tokens: float | None = None  # tokens left in its cold-start budget; None: it was warm


class BucketState(msgspec.Struct, array_like=True):
    """A tenant's token bucket when the state was collected."""

    rate: float | None  # tokens a microsecond; None: not estimated
    tokens: float


class LearnedState(msgspec.Struct):
    """Everything learned that outlives a process.  Snapshots hold it under the names of its fields."""

    unix: int  # Unix microseconds at which it was collected
    mono: int = -1  # the same on the monotonic clock, microseconds; below 0: on the clock of another machine
    values: dict[str, float] = {}  # of the whole fleet, by the names in `VALUES`
    most_free: dict[int, float] = {}  # slots, by machine kind
    speeds: dict[int, float] = {}  # by machine kind
    buckets: list[BucketState] = []  # by tenant
    retries: float = -1.0  # tokens of the retry budget; below 0: unknown
    boxes: dict[str, BoxState] = {}  # by name
    ids: list[str] = []  # of jobs that ran or may have run, the latest last
    listing: dict[str, Any] | None = None  # the server list, in discovery's form
    source: str = ""  # host:port of the discovery it came from; versions of two discoveries don't compare


class Adopted(msgspec.Struct):
    """How much of a state was adopted."""

    age: int = 0  # microseconds
    values: int = 0
    boxes: int = 0
    skipped: int = 0  # boxes that are not on the list now, or have restarted since
    reason: str = ""  # why nothing was adopted; empty: something was


def attribute(name: str) -> str:
    """The module's attribute that holds a value stored under this name."""
    return ATTRIBUTES.get(name, name)


def weight(name: str, age: float) -> float:
    """Returns the weight of a value of this age (microseconds), 0 to 1."""
    rule, seconds = AGING_RULES[name], age / SECOND
    if seconds >= rule.max_age:
        return 0.0
    return 0.5 ** (seconds / rule.half_life) if rule.half_life else 1.0


def is_valid(value: object, name: str) -> TypeGuard[float]:
    """Whether a value is a finite number within the range of its aging rule."""
    rule = AGING_RULES[name]
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and math.isfinite(value)
        and rule.minimum <= value <= rule.maximum
    )


def names_by_number(names: Iterator[str]) -> dict[int, str]:
    """Returns names by their CRC-32, which is how the decision module numbers workers.

    Names that share a number are left out."""
    by_number: dict[int, str] = {}
    duplicates = set()
    for name in names:
        number = crc32(name.encode("utf-8", "replace"))
        if number in by_number:
            duplicates.add(number)
        by_number[number] = name
    return {number: name for number, name in by_number.items() if number not in duplicates}


def _items_by_id(listing: Mapping[str, Any] | None) -> dict[str, Mapping[str, Any]]:
    items = listing.get("servers") if listing else None
    return {item["id"]: item for item in items or () if isinstance(item.get("id"), str)}


# Collecting what a balancer has learned.


def collect(
    balancer: Any, now: int, unix: int, ids: list[str], listing: dict[str, Any] | None
) -> LearnedState:
    """Returns everything worth keeping of a balancer.

    `now`, `unix`: the time on the monotonic and the Unix clock, microseconds; `ids`: jobs that ran last;
    `listing`: the server list in discovery's form, which gives boxes their names and starts."""
    fleet = balancer.fleet
    found = {name: getattr(fleet if name in OF_FLEET else balancer, attribute(name)) for name in VALUES}
    values = {name: float(value) for name, value in found.items() if is_valid(value, name)}
    items = _items_by_id(listing)
    names = names_by_number(iter(items))
    boxes = {
        names[number]: collect_box(worker, now, items[names[number]])
        for number, worker in balancer.workers.items()
        if number in names
    }
    if len(boxes) > MAX_BOXES:
        boxes = most_informative(boxes, MAX_BOXES)
    for bucket in balancer.buckets:
        bucket.fill(now)
    return LearnedState(
        unix,
        now,
        values,
        _valid_entries("most_free", fleet.most_free),
        _valid_entries("speeds", balancer.speeds),
        [BucketState(b.rate, b.tokens) for b in balancer.buckets[:MAX_TENANTS]],
        balancer.retry_budget,
        boxes,
        ids,
        listing,
    )


def collect_box(worker: Any, now: int, item: Mapping[str, Any]) -> BoxState:
    """Returns what is worth keeping of a worker.  `item`: its entry in the list, in discovery's form."""
    started = item.get("started_ms") or 0
    cold = worker.cold_until > now
    if cold:
        worker.cold_budget.fill(now)
    return BoxState(
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


def most_informative(boxes: Mapping[str, BoxState], limit: int) -> dict[str, BoxState]:
    """Returns at most `limit` of the boxes: those whose state differs most from that of a fresh start."""
    return dict(sorted(boxes.items(), key=lambda pair: (-_information(pair[1]), pair[0]))[:limit])


def _information(box: BoxState) -> float:
    """Returns a score: how much would be lost if the state of a box were left out."""
    return (
        4.0 * (box.ejected_left > 0)
        + 4.0 * (box.unhealthy_left > 0)
        + 2.0 * (1.0 - box.trust)
        + box.errors
        + (box.speed > 0)
    )


def _valid_entries(name: str, table: Mapping[int, float]) -> dict[int, float]:
    return {kind: float(value) for kind, value in sorted(table.items())[:MAX_KINDS] if is_valid(value, name)}


# Adopting what was learned before.


def age_of(state: LearnedState, now: int, unix: int) -> int | None:
    """Returns the age of a state in microseconds, or None if the Unix clock says that it is from the future.

    `now`, `unix`: the time on the monotonic and the Unix clock, microseconds.  The greater of the two ages
    counts: the monotonic clock is never set back but says nothing after a reboot or on another machine."""
    age = unix - state.unix
    if age < -FUTURE_TOLERANCE:
        return None
    return max(0, age, now - state.mono if state.mono >= 0 else 0)


def adopt(balancer: Any, state: LearnedState, now: int, unix: int, max_age: int = 60 * SECOND) -> Adopted:
    """Adopts what is still useful of a state; nothing of one that is older than `max_age` (microseconds).

    To be called after the first server list was applied, on a balancer that has learned nothing yet."""
    age = age_of(state, now, unix)
    if age is None:
        return Adopted(reason="it is from the future: the clock was set back")
    if age > max_age:
        return Adopted(age, reason=f"it is {age / SECOND:.0f} s old")
    adopted = Adopted(age)
    adopt_fleet(balancer, state, age, adopted)
    _adopt_buckets(balancer, state, now, age, adopted)
    names = names_by_number(iter(state.boxes))
    allowed = int(MAX_EJECTED_SHARE * len(balancer.workers)) - balancer.ejected
    for number, name in names.items():
        worker, box = balancer.workers.get(number), state.boxes[name]
        # Compared in Unix time.  What was learned of a box does not hold after it has restarted.
        started = worker.started - now + unix if worker is not None and worker.started else 0
        if worker is None or abs(started - box.started) > START_TOLERANCE:
            adopted.skipped += 1
            continue
        allowed -= adopt_box(balancer, worker, box, now, age, allowed > 0)
        adopted.boxes += 1
    return adopted


def adopt_fleet(
    balancer: Any, state: LearnedState, age: int, adopted: Adopted, source_weight: float = 1.0
) -> None:
    """Adopts the values of the whole fleet and counts them in `adopted`.

    `age`: microseconds; `source_weight`: multiplies the weight by age, 0 to 1."""
    fleet = balancer.fleet
    for name in VALUES:
        if name in ("slot_time", "slots"):
            continue
        owner: Any = fleet if name in OF_FLEET else balancer
        factor, value = source_weight * weight(name, age), state.values.get(name)
        if factor < MIN_WEIGHT or not is_valid(value, name):
            continue
        old = getattr(owner, attribute(name))
        # Without a value of its own there is nothing to mix the adopted one with.
        replace = old is None or (name == "mean_hint" and not old)
        setattr(owner, attribute(name), value if replace else old + factor * (value - old))
        adopted.values += 1
    time, slots = state.values.get("slot_time"), state.values.get("slots")
    factor = source_weight * weight("slots", age)
    # Both get the same weight, so their quotient, the mean run time, does not change.
    if is_valid(time, "slot_time") and is_valid(slots, "slots") and slots and factor >= MIN_WEIGHT:
        fleet.slot_time += factor * time
        fleet.slots += factor * slots
        adopted.values += 1
    for name, table, learned in (
        ("most_free", fleet.most_free, state.most_free),
        ("speeds", balancer.speeds, state.speeds),
    ):
        if weight(name, age):
            for kind, value in list(learned.items())[:MAX_KINDS]:
                if 0 <= kind < balancer.settings.kinds and is_valid(value, name):
                    table[kind] = max(value, table.get(kind, 0.0)) if name == "most_free" else value
                    adopted.values += 1


def _adopt_buckets(balancer: Any, state: LearnedState, now: int, age: int, adopted: Adopted) -> None:
    for bucket, learned in zip(balancer.buckets, state.buckets):
        if not is_valid(learned.tokens, "tokens") or not weight("tokens", age):
            continue
        rate = learned.rate if learned.rate is not None and is_valid(learned.rate, "bucket_rate") else None
        bucket.tokens = min(bucket.burst, learned.tokens + (rate or 0.0) * age)
        bucket.filled_at = now
        if rate is not None and weight("bucket_rate", age):
            bucket.rate = rate
        adopted.values += 1
    for name, value in (("retry_budget", state.retries),):
        if is_valid(value, "budget"):
            old, factor = getattr(balancer, name), weight("budget", age)
            # A fresh budget starts at half of its maximum, so the maximum is twice `old`.
            setattr(balancer, name, min(2.0 * old, old + factor * (value - old)))
            adopted.values += 1


def adopt_box(
    balancer: Any,
    worker: Any,
    box: BoxState,
    now: int,
    age: int,
    may_eject: bool,
    source_weight: float = 1.0,
    seen: bool = False,
) -> int:
    """Adopts what was learned of a box that is on the node's own list; returns 1 if the box was ejected.

    `now`, `age`: microseconds; `may_eject`: whether the share of ejected boxes allows one more; `seen`: the
    box has given this node a sign of life, which outweighs strikes and trust from before."""

    def decayed(name: str, value: float, fresh: float) -> float:
        factor = source_weight * weight(name, age)
        return fresh + factor * (value - fresh) if is_valid(value, name) and factor >= MIN_WEIGHT else fresh

    kind = balancer.speeds.get(worker.kind, 0.0)
    # A worker's speed is moved towards that of its kind each second, so the speed of the kind must be known.
    if box.speed and kind and is_valid(box.speed, "speed") and weight("speed", age) >= MIN_WEIGHT:
        worker.speed = decayed("speed", min(box.speed, 2.0 * kind), kind)
    worker.errors = max(worker.errors, decayed("errors", box.errors, 0.0))
    left = box.unhealthy_left - age
    if is_valid(box.unhealthy_left, "unhealthy_left") and weight("unhealthy_left", age) and left > 0:
        worker.unhealthy_until = max(worker.unhealthy_until, now + int(source_weight * left))
    if not seen:
        worker.strikes = max(worker.strikes, round(decayed("strikes", box.strikes, 0)))
        worker.trust = min(worker.trust, decayed("trust", box.trust, 1.0))
        if is_valid(box.alive_ago, "alive_ago") and weight("alive_ago", age):
            worker.last_seen = max(0, now - box.alive_ago - age)
    if box.cold_tokens is not None and worker.cold_until > now and is_valid(box.cold_tokens, "cold_tokens"):
        worker.cold_budget.tokens = min(worker.cold_budget.tokens, box.cold_tokens)
    left = box.ejected_left - age
    if not (
        may_eject
        and worker.pools
        and not worker.ejected_until
        and is_valid(box.ejected_left, "ejected_left")
        and weight("ejected_left", age)
        and left > 0
    ):
        return 0
    balancer.ejected += 1
    balancer._remove_from_pools(worker)
    worker.ejected_until = now + left
    balancer._schedule(now, left, balancer._readmit, (worker, worker.ejected_until))
    return 1


class ServerList:
    """The current server list in discovery's form, kept up to date from discovery's answers.

    The decision module's own tables lack what is needed to find the boxes again, such as their names."""

    def __init__(self) -> None:
        """Starts with an empty list."""
        self._version, self._items = 0, dict[str, Mapping[str, Any]]()
        self.source = ""

    def apply(self, answer: Mapping[str, Any], source: str) -> None:
        """Applies a valid answer of discovery, full or differential.  `source`: its host:port."""
        if answer["full"]:
            self._items.clear()
        for item in answer["servers"]:
            if item.get("state") == "removed":
                self._items.pop(item["id"], None)
            else:
                self._items[item["id"]] = item
        self._version, self.source = int(answer["version"]), source

    def full_answer(self) -> dict[str, Any] | None:
        """Returns the list as one full answer of discovery, or None if it is empty."""
        if not self._items:
            return None
        return {"version": self._version, "full": True, "servers": list(self._items.values())}


def newer_listing(
    state: LearnedState, known: Mapping[str, Any] | None, source: str, age: int | None, max_age: int
) -> dict[str, Any] | None:
    """Returns the server list of a state if it is newer than the one that the node was given, else None.

    `known`: the list that the node was given, if any; `source`: host:port of the node's discovery; `age`: of
    the state, None if it is unknown; `max_age`: both in microseconds."""
    listing = state.listing
    if listing is None or age is None or age > max_age or state.source != source:
        return None
    try:
        version, known_version = int(listing["version"]), int(known["version"]) if known else -1
    except (KeyError, TypeError, ValueError):
        return None
    return listing if version > known_version and listing.get("full") is True else None
