"""Yardsticks: other ways to choose a box, played on the same day in the module's place.

All take the module's events and act by its actions, and all keep its rules: drains, effects, one scheduling
out at a time, cold boxes.  They probe and tell nothing.  `random` is the floor of a day; `oracle` sees the
true state of every box and what all nodes have on the way, so it stands for the top.

Nothing here uses the module's own classes: the yardsticks stay the same whichever program is measured."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol, TypeAlias
from zlib import crc32

from violetsaddle import interface as api
from violetsaddle.lab import ids
from violetsaddle.lab.score import limit
from violetsaddle.policy import Balancer
from violetsaddle.world.boxes import Box
from violetsaddle.world.clients import items as items_of
from violetsaddle.world.clients import within_share
from violetsaddle.world.day import MS, SECOND, Day, Item, Trouble

Decider: TypeAlias = Callable[[api.Settings, int, int, api.Actions], Any]
HOLD = 100 * MS  # where no box can be had, the next look comes after about so long
RETRY = 50 * MS  # before a third scheduling and later ones
WATCH_SPREAD = SECOND  # the first watches of nodes that start together
WATCH_AGAIN = 300 * MS
DRAWS = 24  # tries to draw a box before all are looked at
COLD_SAFETY = 0.5  # share of a cold box's part of the traffic that it gets
LOOK = 100 * MS  # the oracle looks so often for boxes that died with its jobs
MOST_SEEN = 64  # boxes that the oracle looks at for one request; of more it draws so many
FALL_SAFETY = 0.7  # share of a cold box's budget that oracles use together
WINDOW_MARGIN = SECOND // 2  # a repeat must arrive before the group forgets
NEVER = 1 << 60
Timer: TypeAlias = "tuple[int, int, Callable[[int], None]]"


@dataclass(eq=False)
class Worker:
    """A box as its node knows it."""

    entry: api.Entry
    inflight: int = 0  # own schedulings out
    cold_until: int = 0

    @property
    def id(self) -> int:
        return self.entry.worker


@dataclass(eq=False)
class Attempt:
    number: int
    worker: Worker
    place: api.Entry  # the worker's as it was sent
    sent: int
    out: bool = True
    may_have_run: bool = True


@dataclass(eq=False)
class Request:
    id: str
    spec: api.RequestClass
    slots: float
    deadline: int
    hint: int
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    over: bool = False

    def tried(self, worker: Worker) -> bool:
        return any(attempt.worker is worker for attempt in self.attempts)

    @property
    def risky(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def may_refuse(self) -> bool:
        """A refusal says that a repeat is harmless."""
        spec = self.spec
        return spec.effect == api.SAFE or (spec.effect == api.KEYED and spec.group == "all") or not self.risky

    def may_send(self, now: int) -> bool:
        """Whether another attempt is allowed at all; `same_group` says where."""
        if self.over or self.out or now >= self.deadline:
            return False
        risky, spec = self.risky, self.spec
        if spec.effect == api.SAFE or not risky:
            return True
        return spec.effect == api.KEYED and now < min(a.sent for a in risky) + spec.window - WINDOW_MARGIN

    def same_group(self, worker: Worker) -> bool:
        """Whether the worker drops what earlier attempts may have done."""
        group = self.spec.group
        return (
            self.spec.effect != api.KEYED
            or group == "all"
            or all(
                getattr(worker.entry, group) == getattr(a.place, group) == getattr(a.worker.entry, group)
                for a in self.risky
            )
        )


class Plain:
    """What all yardsticks do alike; they differ in `pick`."""

    def __init__(self, told: api.Settings, seed: int, now: int, act: api.Actions) -> None:
        self.told, self.act = told, act
        self.random = Random(seed).random
        self.workers: dict[int, Worker] = {}
        self.ready: list[Worker] = []  # listed as active, in the order of their numbers
        self.requests: dict[str, Request] = {}
        self._credit: dict[int, float] = {}  # of cold workers: cost of what they may be sent
        self._dearest = 1.0
        self._timers: list[Timer] = []
        self._number = self._armed = 0
        if told.must_ask:
            self.after(now, int(WATCH_SPREAD * self.random()), self._watch)

    def pick(self, now: int, request: Request) -> Worker | None:
        """A worker that `fits`, or None."""
        raise NotImplementedError

    def refuses(self, now: int, request: Request) -> bool:
        """Whether the request is not worth a box."""
        return False

    # Timers.

    def after(self, now: int, wait: int, what: Callable[[int], None]) -> None:
        at = now + max(1, wait)
        self._number += 1
        heapq.heappush(self._timers, (at, self._number, what))
        if not self._armed or at < self._armed:
            self._armed = at
            self.act.arm(at)

    def wake(self, now: int) -> None:
        self._armed = self._armed if self._armed > now else 0
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)
        if self._timers and (not self._armed or self._timers[0][0] < self._armed):
            self._armed = self._timers[0][0]
            self.act.arm(self._armed)

    # The list.

    def _watch(self, now: int) -> None:
        self.act.watch()

    def members(self, now: int, kind: str, entries: Sequence[api.Entry]) -> None:
        if kind == api.LIST_ERROR:
            self.after(now, int(WATCH_AGAIN * (0.5 + self.random())), self._watch)
            return
        before = self.workers
        if kind not in (api.DIFF, api.CORRECTION):
            self.workers = {}
        for entry in entries:
            if entry.state == api.GONE:
                self.workers.pop(entry.worker, None)
            else:
                self.workers[entry.worker] = self._known(now, before.get(entry.worker), entry)
        self.ready = [w for _, w in sorted(self.workers.items()) if w.entry.state == api.ACTIVE]

    def _known(self, now: int, worker: Worker | None, entry: api.Entry) -> Worker:
        fresh = worker is None or worker.entry.started != entry.started
        if worker is None:
            worker = Worker(entry)
        worker.entry = entry
        if fresh:
            worker.cold_until = entry.started + self.told.cold_for if entry.started else 0
            self._credit.pop(worker.id, None)
            if worker.cold_until > now:
                self._credit[worker.id] = 0.0
        return worker

    # Cold workers: each earns a part of what a warm one gets, by the share of capacity that it surely has.

    @staticmethod
    def cost(request: Request) -> float:
        return request.slots * (request.hint or 1)

    def _earn(self, now: int, request: Request) -> None:
        cost, told = self.cost(request), self.told
        self._dearest = max(self._dearest, cost)
        for number in list(self._credit):
            worker = self.workers.get(number)
            if worker is None or worker.cold_until <= now:
                del self._credit[number]
                continue
            warmth = min(1.0, max(0.0, 1.0 - (worker.cold_until - now) / told.cold_for))
            share = told.cold_from + (1.0 - told.cold_from) * warmth
            earned = COLD_SAFETY * share * cost / max(1, len(self.ready))
            self._credit[number] = min(self._dearest, self._credit[number] + earned)

    def fits(self, now: int, request: Request, worker: Worker) -> bool:
        kind = request.spec.worker_kind
        if worker.entry.state != api.ACTIVE or kind not in (-1, worker.entry.kind):
            return False
        if request.attempts and (request.tried(worker) or not request.same_group(worker)):
            return False
        return self._credit.get(worker.id, self._dearest) >= self.cost(request)

    # Requests.

    def request(
        self,
        now: int,
        job: str,
        cls: int,
        remaining: int,
        tenant: int = 0,
        slots: float = 1.0,
        key: int | None = None,
        hint: int = 0,
    ) -> None:
        request = Request(job, self.told.classes[cls], slots, now + remaining, hint)
        self.requests[job] = request
        self._earn(now, request)
        self._push(now, request)

    def _push(self, now: int, request: Request) -> None:
        if self.refuses(now, request):
            return self._finish(request)
        worker = self.pick(now, request)
        if worker is None:
            return self._hold(now, request, HOLD)
        if worker.id in self._credit:
            self._credit[worker.id] -= self.cost(request)
        attempt = Attempt(len(request.attempts), worker, worker.entry, now)
        request.attempts.append(attempt)
        request.out += 1
        worker.inflight += 1
        self.sent(now, request, attempt)
        self.act.send(request.id, worker.id, 0)

    def sent(self, now: int, request: Request, attempt: Attempt) -> None:
        """A scheduling is about to leave."""

    def _hold(self, now: int, request: Request, wait: int) -> None:
        wait = int(wait * (0.5 + self.random()))
        if now + wait > request.deadline - 2 * self.told.tick:
            self._finish(request)
        else:
            self.after(now, wait, lambda then: self._again(then, request))

    def _again(self, now: int, request: Request) -> None:
        if not request.over and not request.out:
            self._push(now, request)

    def _finish(self, request: Request) -> None:
        if request.may_refuse():
            self.act.refuse(request.id, 0)
        else:
            self.act.fail(request.id)
        self._end(request)

    def _end(self, request: Request) -> None:
        request.over = True
        for attempt in request.attempts:
            if attempt.out and self.told.may_cancel:
                self.act.cancel(request.id, attempt.number)
        if not request.out:
            self.requests.pop(request.id, None)

    def gone(self, now: int, job: str) -> None:
        request = self.requests.get(job)
        if request is not None and not request.over:
            self._end(request)

    def answer(
        self,
        now: int,
        job: str,
        number: int,
        outcome: str,
        latency: int,
        over: bool,
        report: api.Report | None,
    ) -> None:
        request = self.requests.get(job)
        if request is None:
            return
        attempt = request.attempts[number]
        attempt.out, attempt.may_have_run = False, outcome not in api.NEVER_RAN
        request.out -= 1
        attempt.worker.inflight -= 1
        if request.over:
            if not request.out:
                del self.requests[job]
        elif over:
            self._end(request)
        elif not request.out:
            self._retry(now, request, outcome)

    def _retry(self, now: int, request: Request, outcome: str) -> None:
        tries = len(request.attempts)
        if outcome == api.MOOT or tries >= self.told.most_attempts or not request.may_send(now):
            self._finish(request)
        elif tries == 1:
            self._push(now, request)
        else:
            self._hold(now, request, RETRY)

    # Events that mean nothing here.

    def note(self, now: int, job: str, number: int, what: int, amount: float) -> None: ...

    def probed(self, now: int, worker_id: int, ok: bool, report: api.Report | None) -> None: ...

    def heard(self, now: int, origin: int, data: bytes) -> None: ...

    def stream_began(self, now: int, job: str, number: int) -> None: ...


class Chosen(Plain):
    """One by chance."""

    def pick(self, now: int, request: Request) -> Worker | None:
        ready, random = self.ready, self.random
        for _ in range(DRAWS if ready else 0):
            worker = ready[int(random() * len(ready))]
            if self.fits(now, request, worker):
                return worker
        fitting = [worker for worker in ready if self.fits(now, request, worker)]
        return fitting[int(random() * len(fitting))] if fitting else None


class InTurn(Plain):
    """Round robin, by the workers' numbers; each node begins anywhere."""

    _last = -1

    def pick(self, now: int, request: Request) -> Worker | None:
        ready = self.ready
        if self._last < 0:
            self._last = int(self.random() * (len(ready) or 1))
        for step in range(1, len(ready) + 1):
            at = (self._last + step) % len(ready)
            if self.fits(now, request, ready[at]):
                self._last = at
                return ready[at]
        return None


class Least(Plain):
    """The one with the fewest jobs of this node in flight; ties by chance."""

    def pick(self, now: int, request: Request) -> Worker | None:
        best: list[Worker] = []
        fewest = 1 << 60
        for worker in self.ready:
            if worker.inflight <= fewest and self.fits(now, request, worker):
                if worker.inflight < fewest:
                    fewest = worker.inflight
                    best.clear()
                best.append(worker)
        return best[int(self.random() * len(best))] if best else None


class Two(Chosen):
    """Of two by chance, the one with fewer jobs of this node in flight."""

    def pick(self, now: int, request: Request) -> Worker | None:
        first, second = super().pick(now, request), super().pick(now, request)
        if first is None or second is None:
            return first or second
        return second if second.inflight < first.inflight else first


class Truth(Protocol):
    """What the oracle sees; the stage gives it."""

    def now(self) -> int:
        """Microseconds of the day."""

    def box(self, index: int) -> Box:
        """The model of a box, which the oracle only looks at."""


@dataclass
class _OnWay:
    """What oracles have sent to a box and the box may not have yet: (over at, work, slots)."""

    jobs: deque[tuple[int, int, int]] = field(default_factory=deque)
    work: int = 0
    slots: int = 0

    def sweep(self, now: int) -> None:
        while self.jobs and self.jobs[0][0] <= now:
            _, work, slots = self.jobs.popleft()
            self.work -= work
            self.slots -= slots

    def add(self, until: int, work: int, slots: int) -> None:
        self.jobs.append((until, work, slots))
        self.work += work
        self.slots += slots


class Sight:
    """What the oracles of all nodes share."""

    def __init__(self, day: Day, truth: Truth, items: Sequence[Item] | None = None) -> None:
        self.day, self.truth = day, truth
        self._items: Sequence[Item] | None = items
        self._within: list[bool] = []
        self.index = {crc32(box.name.encode()): index for index, box in enumerate(day.boxes)}
        if len(self.index) < len(day.boxes):
            raise ValueError("two boxes' names have the same number: the oracle can't tell them apart")
        links = day.links
        self.way = {True: int(links.same * (1 + links.jitter)), False: int(links.cross * (1 + links.jitter))}
        self.client_way = int(links.client * (1 + links.jitter))
        self.on_way = [_OnWay() for _ in day.boxes]
        self.recent = [_OnWay() for _ in day.boxes]  # within the time in which too much pushes a box over
        self._parts = [t for t in day.troubles if t.kind in ("silence", "hall", "cut", "oneway")]

    def item(self, job: str) -> tuple[Item, bool] | None:
        """The item of a try, and whether it is within its tenant's share."""
        if self._items is None:
            self._items = items_of(self.day)
        if not self._within:
            self._within = within_share(self.day, self._items)
        known = ids.read(self.day.seed, job)
        if known is None or known[0] >= len(self._items):
            return None
        return self._items[known[0]], self._within[known[0]]

    def apart(self, now: int) -> list[Trouble]:
        """The troubles that keep nodes from boxes now."""
        return [trouble for trouble in self._parts if trouble.at <= now < trouble.until]

    def reaches(self, hall: int, box: int, apart: Sequence[Trouble]) -> bool:
        """Whether none of these troubles keeps a node of the hall from the box."""
        other = self.day.boxes[box].hall
        for trouble in apart:
            cut = hall != other and trouble.halls[:1] in ((hall,), (other,))
            if box in trouble.boxes or (other in trouble.halls if trouble.kind == "hall" else cut):
                return False
        return True

    def wait(
        self, now: int, hall: int, box: int, work: int, slots: int, most: int
    ) -> tuple[int, bool] | None:
        """Microseconds until a job sent now would have its answer at the node, and whether it would wait at
        the box; None where it must not go there, or would take `most` or longer."""
        spec = self.day.boxes[box]
        way = 2 * self.way[spec.hall == hall]
        if work / spec.speed + way >= most:
            return None
        seen, coming, recent = self.truth.box(box), self.on_way[box], self.recent[box]
        coming.sweep(now)
        rate = seen.rate(now)
        if rate <= 0 or not seen.accepts(now, slots + coming.slots):
            return None
        if seen.warmth(now) < 1.0:
            recent.sweep(now)
            rules = self.day.rules
            if recent.work + work > FALL_SAFETY * rules.fall_multiple * rate * rules.fall_after:
                return None
        waits = seen.free < slots + coming.slots
        time = seen.expected(now, work, slots) + way + (int(coming.work / rate) if waits else 0)
        return (time, waits) if time < most else None

    def sent(self, now: int, hall: int, box: int, work: int, slots: int) -> None:
        spec = self.day.boxes[box]
        until = now + self.way[spec.hall == hall] + spec.handshake_delay + MS
        self.on_way[box].add(until, work, slots)
        self.recent[box].add(now + self.day.rules.fall_after + 100 * MS, work, slots)


class Oracle(Plain):
    """The box that would answer first, by the true state of all.  It refuses what would wait at every box and
    is beyond its tenant's share, or can't be in time there: either would only hold up what can be."""

    def __init__(self, told: api.Settings, seed: int, now: int, act: api.Actions, sight: Sight) -> None:
        super().__init__(told, seed, now, act)
        self.sight = sight
        self._seen: list[tuple[Worker, int]] = []  # `ready` with their boxes
        self._out: dict[tuple[str, int], tuple[int, int]] = {}  # box and its life; what may run twice
        self._best: tuple[Worker, int, bool] | None = None  # of the request that is being decided
        self.after(now, LOOK, self._look)

    def members(self, now: int, kind: str, entries: Sequence[api.Entry]) -> None:
        super().members(now, kind, entries)
        self._credit.clear()  # it sees what a cold box can do
        index = self.sight.index
        self._seen = [(worker, index[worker.id]) for worker in self.ready if worker.id in index]

    def refuses(self, now: int, request: Request) -> bool:
        self._best = None
        sight, then = self.sight, self.sight.truth.now()
        known = sight.item(request.id)
        if known is None:
            return True
        item, within = known
        apart, hall, slots, most = sight.apart(then), self.told.zone, int(request.slots), NEVER
        for worker, box in self._drawn():
            if not self.fits(now, request, worker) or (apart and not sight.reaches(hall, box, apart)):
                continue
            found = sight.wait(then, hall, box, item.work, slots, most)
            if found is not None:
                most = found[0]
                self._best = worker, *found
        if self._best is None:
            return False
        _, time, waits = self._best
        return waits and (not within or then + time + sight.client_way > limit(sight.day, item))

    def _drawn(self) -> Sequence[tuple[Worker, int]]:
        """All, or some by chance: the first of many to answer is hardly sooner than the first of some."""
        seen, random = self._seen, self.random
        if len(seen) <= MOST_SEEN:
            return seen
        return [seen[int(random() * len(seen))] for _ in range(MOST_SEEN)]

    def pick(self, now: int, request: Request) -> Worker | None:
        return self._best[0] if self._best is not None else None

    def sent(self, now: int, request: Request, attempt: Attempt) -> None:
        sight, box = self.sight, self.sight.index[attempt.worker.id]
        known = sight.item(request.id)
        if known is not None:
            sight.sent(sight.truth.now(), self.told.zone, box, known[0].work, int(request.slots))
        if request.spec.effect != api.UNSAFE:
            self._out[request.id, attempt.number] = box, sight.truth.box(box).life

    def answer(
        self,
        now: int,
        job: str,
        number: int,
        outcome: str,
        latency: int,
        over: bool,
        report: api.Report | None,
    ) -> None:
        self._out.pop((job, number), None)
        super().answer(now, job, number, outcome, latency, over, report)

    def _look(self, now: int) -> None:
        """What a dead or unreachable box holds may go elsewhere, but for jobs that must not run twice."""
        sight = self.sight
        apart = sight.apart(sight.truth.now())
        for (job, number), (box, life) in list(self._out.items()):
            seen = sight.truth.box(box)
            lost = not seen.up or seen.life != life or not sight.reaches(self.told.zone, box, apart)
            if lost and self.told.may_cancel:
                del self._out[job, number]
                self.act.cancel(job, number)
        self.after(now, LOOK, self._look)


PLAIN: Mapping[str, type[Plain]] = {"random": Chosen, "round-robin": InTurn, "least": Least, "two": Two}


def deciders(day: Day, truth: Truth, items: Sequence[Item] | None = None) -> dict[str, Decider]:
    """Whatever can decide in the nodes of one play of a day, by name; `oracle` sees through `truth`, and its
    nodes share what they know.  Make them anew for each play."""
    made: dict[str, Sight] = {}

    def oracle(told: api.Settings, seed: int, now: int, act: api.Actions) -> Oracle:
        sight = made.get("oracle") or made.setdefault("oracle", Sight(day, truth, items))
        return Oracle(told, seed, now, act, sight)

    return {"module": Balancer, **PLAIN, "oracle": oracle}
