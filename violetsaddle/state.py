"""State that the decision module keeps of workers, requests and rates: plain data without decisions.

Times are microseconds on one monotonic clock; rates are slots a microsecond."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Any

from violetsaddle import interface as api


def stable_hash(key: int, salt: int) -> int:
    """Returns a 64-bit hash that is the same at every scheduler and after every restart."""
    h = (key * 0x9E3779B97F4A7C15 + salt * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & 0xFFFFFFFFFFFFFFFF
    h = ((h ^ (h >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return h ^ (h >> 29)


def rendezvous_order(key: int, hashes: Sequence[int]) -> list[int]:
    """Returns the indices of `hashes` in rendezvous order, which every scheduler computes alike for a key."""
    scores = [(key ^ h) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF for h in hashes]
    return sorted(range(len(hashes)), key=scores.__getitem__)


class Bucket:
    """Tokens (slots) that accrue at a rate up to a burst; the rate is None until it is estimated."""

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, now: int, burst: float, tokens: float) -> None:
        """`burst`: the most slots that it can hold; `tokens`: the slots that it holds at `now`."""
        self.rate: float | None = None  # tokens a microsecond
        self.burst, self.tokens, self.filled_at = burst, tokens, now

    def fill(self, now: int) -> None:
        """Adds the tokens accrued up to `now` at the current rate."""
        if self.rate is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now


class Pool:
    """Ready workers in an array, so that sampling, adding and removing are O(1)."""

    __slots__ = ("items", "positions", "max_weight")

    def __init__(self) -> None:
        """Starts without workers."""
        self.items: list[Worker] = []
        self.positions: dict[int, int] = {}  # index in `items`, by worker id
        self.max_weight = 0.0  # upper bound of the weights in the pool

    def add(self, worker: Worker) -> None:
        """Adds a worker that is not in the pool yet."""
        self.positions[worker.id] = len(self.items)
        self.items.append(worker)
        self.max_weight = max(self.max_weight, worker.weight)

    def discard(self, worker: Worker) -> None:
        """Removes a worker; raises KeyError if it is not in the pool."""
        index, last = self.positions.pop(worker.id), self.items.pop()
        if last is not worker:
            self.items[index] = last
            self.positions[last.id] = index


class Worker:
    """What this scheduler knows of one worker."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "kind",
        "weight",
        "started",
        "state",
        "inflight",
        "strikes",
        "key",
        "ejected_until",
        "trust",
        "full_until",
        "cold_until",
        "cold_budget",
        "last_seen",
        "pools",
        "speed",
        "errors",
        "unhealthy_until",
        "relapses",
        "mark",
        "gossiped_inflight",
        "gossiped_at",
        "gossip_group",
        "tracked",
        "scheduler_order",
    )

    def __init__(self, entry: api.Entry) -> None:
        """Creates it from its entry on the list."""
        self.id, self.zone, self.cell, self.kind, self.weight, self.started, self.state = entry
        # The mark stands for the worker in gossip; the key is its input to rendezvous hashing.
        self.mark, self.key = stable_hash(self.id, 2) & 0xFFFF, stable_hash(self.id, 3)
        # Share of errors among the last outcomes, end of the rest after too many, and such rests in a row.
        self.errors, self.unhealthy_until, self.relapses = 0.0, 0, 0
        self.gossiped_inflight, self.gossiped_at = 0, -1_000_000  # jobs in flight as last gossiped, and when
        self.scheduler_order: list[int] = []  # all schedulers in rendezvous order, computed once
        self.gossip_group: Sequence[int] = ()  # schedulers that get its gossip; empty in a small tier: all do
        self.tracked = True  # whether this scheduler gets its gossip
        self.speed = 0.0  # of its runs: hinted work over time taken; 0: none seen
        self.inflight = 0  # own attempts in flight
        # Failures in a row, end of the ejection, factor on the weight, end of the pause after a 'full'.
        self.strikes, self.ejected_until, self.trust, self.full_until = 0, 0, 1.0, 0
        self.cold_until, self.last_seen = 0, 0  # end of its warm-up; its last sign of life
        self.cold_budget = Bucket(0, 0.0, 0.0)  # what this scheduler may send it during its warm-up
        self.pools: tuple[Pool, ...] = ()


class Attempt:
    """One attempt of a request, with the zone and cell that the worker had when it was sent."""

    __slots__ = (
        "number",
        "worker",
        "cell",
        "zone",
        "sent",
        "started",
        "in_flight",
        "late",
        "may_have_run",
        "cold_budget",
    )

    def __init__(self, number: int, worker: Worker, now: int) -> None:
        """`number`: its index in the request; `now`: the time at which it is sent."""
        self.number, self.worker = number, worker
        self.cell, self.zone, self.sent, self.started = worker.cell, worker.zone, now, 0
        self.in_flight, self.may_have_run, self.late = True, True, False
        self.cold_budget = worker.cold_budget  # which paid for it; a worker that restarts gets another one


class Request:
    """A request, with the settings at its arrival, which apply to it until it ends."""

    __slots__ = (
        "id",
        "settings",
        "spec",
        "slots",
        "deadline",
        "attempts",
        "in_flight",
        "finished",
        "streaming",
        "start_limit",
        "hint",
        "cost",
        "bucket",
        "unsent",
    )

    def __init__(
        self,
        job: str,
        settings: api.Settings,
        cls: int,
        slots: float,
        deadline: int,
        start_share: float,
        hint: int,
    ) -> None:
        """`start_share`: the part of the class's aim after which a start is late; `hint`: its expected run
        time, 0 if unknown; `deadline` and `hint` are microseconds."""
        self.id, self.settings, self.slots, self.hint, self.cost = job, settings, slots, hint, slots
        self.spec = spec = settings.classes[cls]
        self.deadline, self.start_limit = deadline, int(start_share * spec.aim)
        self.attempts: list[Attempt] = []
        # `in_flight` and `unsent` count attempts: those under way, and those that ended before they were
        # sent; `bucket` is the `policy.TokenBucket` that paid for the request, None: none did.
        self.in_flight, self.unsent, self.finished, self.streaming = 0, 0, False, False
        self.bucket: Any = None

    def tried(self, worker: Worker) -> bool:
        """Returns whether an earlier attempt went to this worker."""
        # By id: a worker that left the list and came back is another object.
        return any(a.worker.id == worker.id for a in self.attempts)


class Timers:
    """A heap of callbacks with their due times; the driver is asked to wake it at the earliest one."""

    def __init__(self, act: api.Actions) -> None:
        """`act`: its `arm` is called with the earliest due time."""
        self.act = act
        self.timers: list[tuple[int, int, Any, Any]] = []  # due time, sequence number, callback, argument
        self.timer_number, self.armed = 0, 0  # `armed`: the time asked for; 0: none

    def _schedule(self, now: int, wait: int, callback: Any, argument: Any) -> None:
        due = now + max(1, wait)
        self.timer_number += 1
        heapq.heappush(self.timers, (due, self.timer_number, callback, argument))
        if not self.armed or due < self.armed:
            self.armed = due
            self.act.arm(due)

    def wake(self, now: int) -> None:
        """Runs the callbacks that are due; a wake that an earlier one has made needless does no harm."""
        timers = self.timers
        self.armed = self.armed if self.armed > now else 0
        while timers and timers[0][0] <= now:
            _, _, callback, argument = heapq.heappop(timers)
            callback(now, argument)
        if timers and (not self.armed or timers[0][0] < self.armed):
            self.armed = timers[0][0]
            self.act.arm(self.armed)
