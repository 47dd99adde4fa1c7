"""What the decision module keeps of workers, requests and rates: plain data, no decisions.

Times are microseconds on one clock that only goes forward; rates are slots a microsecond."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Any

from violetsaddle import interface as api


def mix(key: int, salt: int) -> int:
    """A hash that is the same at every scheduler and start."""
    h = (key * 0x9E3779B97F4A7C15 + salt * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & 0xFFFFFFFFFFFFFFFF
    h = ((h ^ (h >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return h ^ (h >> 29)


def ranks(key: int, hashes: Sequence[int]) -> list[int]:
    """The indices of `hashes` by rendezvous hashing: every scheduler finds the same order for a key."""
    scores = [(key ^ h) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF for h in hashes]
    return sorted(range(len(hashes)), key=scores.__getitem__)


class Bucket:
    """Tokens (slots) that accrue at a rate up to a burst; a rate of None has not been estimated yet."""

    __slots__ = ("rate", "burst", "tokens", "at")

    def __init__(self, now: int, burst: float, tokens: float) -> None:
        """`burst`, `tokens`: slots; what it holds at most, and now."""
        self.rate: float | None = None  # tokens a microsecond
        self.burst, self.tokens, self.at = burst, tokens, now

    def fill(self, now: int) -> None:
        """Accrues up to `now` at the present rate."""
        if self.rate is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now


class Pool:
    """Ready workers in an array, so that a draw, an arrival and a departure are O(1)."""

    __slots__ = ("items", "place", "top")

    def __init__(self) -> None:
        """Without workers."""
        self.items: list[Worker] = []
        self.place: dict[int, int] = {}
        self.top = 0.0  # no weight in the pool is larger

    def add(self, worker: Worker) -> None:
        """Not for one that is in the pool already."""
        self.place[worker.id] = len(self.items)
        self.items.append(worker)
        self.top = max(self.top, worker.weight)

    def discard(self, worker: Worker) -> None:
        """Only for one that is in the pool."""
        at, last = self.place.pop(worker.id), self.items.pop()
        if last is not worker:
            self.items[at] = last
            self.place[last.id] = at


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
        "shut_until",
        "trust",
        "full_until",
        "cold_until",
        "cold",
        "life",
        "pools",
        "speed",
        "errors",
        "ill_until",
        "relapses",
        "mark",
        "told",
        "told_at",
        "circle",
        "near",
        "ranks",
    )

    def __init__(self, entry: api.Entry) -> None:
        """As the list names it."""
        self.id, self.zone, self.cell, self.kind, self.weight, self.started, self.state = entry
        self.mark, self.key = mix(self.id, 2) & 0xFFFF, mix(self.id, 3)  # mark: its name among schedulers
        self.errors, self.ill_until, self.relapses = 0.0, 0, 0  # share of errors among its last outcomes
        self.told, self.told_at = 0, -1_000_000  # jobs in flight that peers were last told, and when
        self.ranks: list[int] = []  # all schedulers in the order of their part in it, found once
        self.circle: Sequence[int] = ()  # schedulers that hear of it; all in a small tier
        self.near = True  # this scheduler is one of them
        self.speed = 0.0  # of its runs: work hinted over time taken; 0: none seen
        self.inflight = 0  # own attempts out
        self.strikes, self.shut_until, self.trust, self.full_until = 0, 0, 1.0, 0
        self.cold_until, self.life = 0, 0  # until when it may be cold, and its last sign of life
        self.cold = Bucket(0, 0.0, 0.0)
        self.pools: tuple[Pool, ...] = ()


class Attempt:
    """One attempt of a request, with the worker's place as it was sent."""

    __slots__ = ("number", "worker", "cell", "zone", "sent", "started", "out", "late", "may_have_run")

    def __init__(self, number: int, worker: Worker, now: int) -> None:
        """Sent at `now`."""
        self.number, self.worker = number, worker
        self.cell, self.zone, self.sent, self.started = worker.cell, worker.zone, now, 0
        self.out, self.may_have_run, self.late = True, True, False


class Request:
    """A request, with the settings under which it was taken: it is judged by these for its whole life."""

    __slots__ = (
        "id",
        "told",
        "spec",
        "slots",
        "deadline",
        "attempts",
        "out",
        "over",
        "streams",
        "patience",
        "hint",
        "cost",
    )

    def __init__(
        self, job: str, told: api.Settings, cls: int, slots: float, deadline: int, patience: float, hint: int
    ) -> None:
        """`patience`: the part of the class's aim after which a start is late."""
        self.id, self.told, self.slots, self.hint, self.cost = job, told, slots, hint, slots
        self.spec = spec = told.classes[cls]
        self.deadline, self.patience = deadline, int(patience * spec.aim)
        self.attempts: list[Attempt] = []
        self.out, self.over, self.streams = 0, False, False

    def tried(self, worker: Worker) -> bool:
        """Whether an earlier attempt went to this worker."""
        return any(a.worker.id == worker.id for a in self.attempts)  # back on the list it is another object


class Timers:
    """Calls that are due at a time, with what they are about; the nearest time is armed."""

    def __init__(self, act: api.Actions) -> None:
        """`act`: is asked to arm the nearest time."""
        self.act = act
        self.timers: list[tuple[int, int, Any, Any]] = []
        self.timer_number, self.armed = 0, 0

    def _after(self, now: int, wait: int, what: Any, about: Any) -> None:
        at = now + max(1, wait)
        self.timer_number += 1
        heapq.heappush(self.timers, (at, self.timer_number, what, about))
        if not self.armed or at < self.armed:
            self.armed = at
            self.act.arm(at)

    def wake(self, now: int) -> None:
        """The armed time has come; a wake that was overtaken by an earlier one does no harm."""
        timers = self.timers
        self.armed = self.armed if self.armed > now else 0
        while timers and timers[0][0] <= now:
            _, _, what, about = heapq.heappop(timers)
            what(now, about)
        if timers and (not self.armed or timers[0][0] < self.armed):
            self.armed = timers[0][0]
            self.act.arm(self.armed)
