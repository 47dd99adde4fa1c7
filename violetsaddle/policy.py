"""Every decision of violetsaddle.  Interface (settings, events, actions, outcomes): interface.py.

A request is paid for by its tenant's `TokenBucket` (share x fleet slot rate / N schedulers) and pushed; an
over-bucket one too, unless 'full' was met within a window: then it is refused at once.  A push goes to the
one of two random ready workers with fewer of this scheduler's jobs in flight.  Departures: docs/design.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from violetsaddle import interface as api
from violetsaddle.gossip_codec import MOST_WORDS, NARROW_MARK, decode, head, word
from violetsaddle.state import Attempt, Bucket, Pool, Request, Timers, Worker, mix, ranks

SECOND = 1_000_000  # microseconds
# Buckets and the fleet's rate
LEAST_BURST = 8.0  # slots; DESIGN's floor
LEAST_TOKENS = 1.0  # a wide job is paid in part by debt: narrow ones would always drain a thin slice first
TICK = SECOND  # between estimates: a day lasts under a minute, so DESIGN's minute would never act
RUN_MEMORY, HINT_STEP = 0.98, 0.02  # weight kept by older run times; of a new hint in the mean
STEP_UP, STEP_DOWN = 1.05, 0.9  # of the rate, each tick, where no free slots are told
PACE_DOWN, PACE_UP, PACE_LEAST, PACE_MOST = 0.88, 1.04, 0.3, 1.0  # on the estimate: a backlog must drain
# The 'full' window
TIGHT_FOR = SECOND  # drawn from half to one and a half of it: schedulers must not loosen in step
PATIENCE = 0.4  # share of the aim: a job not started by then is late
PRESSURE_KEEPS = 0.92  # memory of the share of turned-away or late starts: about the last 12 jobs
PRESSURE_TIGHT = 0.25  # above it the fleet counts as full, not just one worker, if reports show little room
PRESSURE_SURE, BLIND_MOVES = 0.5, 0.375  # above it the fleet is full whatever reports show; no blind moves
CROWD_TIGHT = 0.65  # share of workers shown without room below which late starts are bad luck
CROWD_STEP = 0.1  # weight of each new one seen
CROWD_BLIND = 0.5  # up to this share of crowded ones a worker of which nothing is known is worth a try
# Choice
DRAWS, LOOKS = 24, 8  # tries to draw an acceptable worker before taking what comes; looks in a group
FULL_REST = SECOND // 4  # a worker that was full is left alone so long
ABSENT = 10 * SECOND  # a scheduler silent for so long has no part in the budget of a cold worker
TOLD_FOR, ILL_TOLD = 3 * SECOND, 2 * SECOND  # a peer lives so long after its last word; what it told is ill
NARROW = 128  # workers named by 11 bits at most
LAST_SLOT = 0.25  # weight of a worker that has room for no second one: another may be on its way there
CIRCLE, ABROAD = 16, 4  # schedulers that hear of a worker where there are more; so many in other zones
WORDS_WAIT, WORDS_EACH = SECOND // 50, SECOND // 400  # words gather so long, or so long for each that hears
SILENT_NOTES, MOST_FREE = 2.5, 1e6  # intervals of progress; slots
AWAY, AWAY_CROWD = 0.05, 0.9  # weight of other zones' workers while fewer than so many are seen without room
REPORTS_ENOUGH, PROBES_LEAST = 150, 0.1  # where peers tell their jobs, reports show little but the slots
# Health
SHUT_FOR, MOST_STRIKES = SECOND, 4  # first ejection, doubled by each strike up to so many
MOST_SHUT, DOUBT = 0.3, 0.2  # share ejected at once; trust in one struck, doubled by each sign of life
ERROR_STEP, ERROR_MOST = 0.15, 0.25  # weight of each outcome in the share of errors; above it one is ill:
ILL_FOR, ILL_DOUBLINGS = SECOND, 3  # it gets nothing so long, doubled by each relapse
SPEED_STEP, SPEED_EASE = 0.3, 0.05  # weight of a new run in a worker's speed; of its kind's, each tick
ZONE_STRIKES, ZONE_DOUBT = 3, 0.04  # failures in a row until a zone counts as cut; draws it keeps
# Further tries
RETRY_SHARE, RETRY_MOST = 0.5, 20.0  # failure retries earned by a request, and kept at most
RETRY_WAIT, HOLD_WAIT = SECOND // 20, SECOND // 10  # before a second retry, doubled by each; for a worker
WINDOW_MARGIN = SECOND // 10  # a repeat's last byte leaves so long before the group forgets: it has to arrive
COLD_SAFETY, WATCH_SPREAD = 0.5, 2 * SECOND  # part of the cold budget used; first subscriptions spread over
NEVER, START_HOLD, START_LOOK = 1 << 62, SECOND // 2, SECOND // 50  # first requests wait for a list, and look
WATCH_SOON, WATCH_WAIT = SECOND // 10, SECOND // 2  # after a failed call, doubled by each up to the second,
WATCH_EACH, WATCH_MOST = SECOND // 10, 5 * SECOND // 4  # or to so long for each scheduler, within the most:
WATCH_GRACE = 4  # two calls fit into 6 s; where lists are pushed, this part of the drain's grace


class TokenBucket(Bucket):
    """A tenant's: what may be taken out of it."""

    __slots__ = ()

    def take(self, now: int, amount: float) -> bool:
        """Whether so many slots may be taken now; a bucket without a rate yet lets everything through."""
        self.fill(now)
        if self.rate is None:
            return True
        if self.tokens < min(amount, LEAST_TOKENS):
            return False
        self.tokens -= amount
        return True

    def wait(self, amount: float) -> int:
        """Time until so many tokens have accrued."""
        return int(max(0.0, min(amount, LEAST_TOKENS) - self.tokens) / self.rate) + 1 if self.rate else SECOND


def may_refuse(request: Request) -> bool:
    """A refusal says that a repeat is harmless: not so once an effect may have happened."""
    spec = request.spec
    return (
        spec.effect == api.SAFE
        or (spec.effect == api.KEYED and spec.group == "all")
        or not any(a.may_have_run for a in request.attempts)
    )


def send_by(request: Request) -> int:
    """By when the last byte of another attempt must have left; 0: none may follow.  `_may_go_to`: to whom."""
    spec, risky = request.spec, [a.sent for a in request.attempts if a.may_have_run]
    if spec.effect == api.SAFE or not risky:
        return 1 << 62  # whenever
    return min(risky) + spec.window - WINDOW_MARGIN if spec.effect == api.KEYED else 0


def may_send(request: Request, now: int, dial: int) -> bool:
    """Whether another attempt is allowed now, which may have to dial for so long."""
    free = not (request.over or request.streams or request.out) and now < request.deadline
    return free and now + dial < send_by(request)


def shares_of(told: api.Settings) -> list[float]:
    """Each tenant's part of the fleet, of 1.0 in all."""
    shares = sum(t.share for t in told.tenants) or 1.0
    return [t.share / shares for t in told.tenants]


class FleetRate:
    """Estimate of the slots a microsecond that the whole fleet can serve."""

    def __init__(self, told: api.Settings) -> None:
        """`told`: says whether reports show free slots."""
        self.by_reports = "free_slots" in told.report
        self.most_free: dict[int, float] = {}  # by machine kind: each worker is seen too rarely at full size
        self.slot_time, self.slots, self.pace = 0.0, 0.0, 1.0
        self.rate: float | None = None

    def ran(self, slots: float, time: int) -> None:
        """A job has run: its slots, and for how long (microseconds)."""
        self.slot_time = self.slot_time * RUN_MEMORY + slots * time
        self.slots = self.slots * RUN_MEMORY + slots

    def estimate(self, workers: dict[int, int], tight: bool, own_rate: float) -> float | None:
        """By reports: most free slots / mean run time.  Else by steps, from what was sent at first 'full'.

        `workers` counts the ready ones of each kind; `own_rate` is own traffic times N."""
        if self.by_reports:
            seen = sum(n for kind, n in workers.items() if kind in self.most_free)
            if seen and self.slot_time:
                free = sum(n * self.most_free.get(kind, 0.0) for kind, n in workers.items())
                free *= sum(workers.values()) / seen
                self.pace = min(PACE_MOST, max(PACE_LEAST, self.pace * (PACE_DOWN if tight else PACE_UP)))
                self.rate = self.pace * free * self.slots / self.slot_time
        elif self.rate is not None:
            self.rate *= STEP_DOWN if tight else STEP_UP
        elif tight:
            self.rate = own_rate
        return self.rate


class Balancer(Timers):
    """The decisions of one scheduler; its public methods are the events."""

    def __init__(self, told: api.Settings, seed: int, now: int, act: api.Actions) -> None:
        """`now`: microseconds; the first wake is armed at once."""
        super().__init__(act)
        self.told = told
        self.random = Random(seed).random
        self.workers: dict[int, Worker] = {}
        self.everyone, self.near = Pool(), Pool()  # near: those this scheduler hears of
        self.pools: dict[tuple[str, int], Pool] = {("any", -1): self.everyone, ("near", -1): self.near}
        self.shut = 0  # workers ejected now
        self.zone_strikes, self.zone_trust = [0] * told.zones, [1.0] * told.zones
        self.requests: dict[str, Request] = {}
        self.buckets = [TokenBucket(now, LEAST_BURST, LEAST_BURST) for _ in told.tenants]
        self.shares = shares_of(told)
        self.fleet = FleetRate(told)
        self.arrived_slots, self.own_rate = 0.0, 0.0
        self.largest = 1.0  # slots of the largest job seen
        self.pressure, self.tight_until, self.mean_hint = 0.0, 0, 0.0
        self.crowd = 1.0  # share of workers seen without room; without reports late starts alone decide
        self.retries = RETRY_MOST / 2
        self.alone = told.schedulers < 2 or not told.may_tell  # own jobs speak for all: N times as many
        self.peers: dict[int, int] = {told.me: -TOLD_FOR} if self.alone else {}  # when each last spoke
        n, step = told.schedulers, max(1, told.schedulers // (CIRCLE + 1))
        self.hashes = [mix(number, 4) for number in range(n)]
        self.circles = n > CIRCLE + 1 and not self.alone
        self.signs = [i * step for i in range(1, CIRCLE + 1)] if self.circles else list(range(1, n))
        self.zone_of, self.zones_new = {told.me: told.zone & 0xF}, False  # zones of schedulers, as heard
        self.words: dict[tuple[int, int], tuple[int, int]] = {}  # by peer and mark: when told, jobs in flight
        self.elsewhere: Counter[int] = Counter()  # their sum by mark
        self.ill_told: dict[int, int] = {}
        self.to_tell: dict[Worker, bool] = {}  # what peers are to hear of, and whether it failed just now
        self.spoke = 0
        self.words_wait = max(WORDS_WAIT, WORDS_EACH * min(n, CIRCLE))
        self.reports = 0  # seen
        self.schedulers = told.schedulers
        self.speeds: dict[int, float] = {}  # mean by kind
        self.watch_fails, self.watching = 0, False
        self.list_due = NEVER if told.must_ask else 0  # until then nothing is sent by an earlier life's list
        self._after(now, int(TICK * (0.5 + self.random())), self._tick, None)
        if told.must_ask:  # a wave of restarts must not stampede discovery
            self._after(now, int(WATCH_SPREAD * self.random()), self._watch, None)
        if self.circles:
            self._after(now, self.words_wait, lambda *_: self._say(None, True), None)

    def _tick(self, now: int, _: None) -> None:
        told = self.told
        self.own_rate += 0.4 * (self.arrived_slots / TICK - self.own_rate)
        self.arrived_slots = 0.0
        ready = {number: len(p.items) for (what, number), p in self.pools.items() if what == "kind"}
        jam = self.pressure > PRESSURE_SURE or (now < self.tight_until and not self.fleet.by_reports)
        # N as heard: who tells nothing is down, and its clients come here.  None heard yet: N as told.
        heard = sum(
            now - self.peers.get((told.me - i) % told.schedulers, -TOLD_FOR) < TOLD_FOR for i in self.signs
        )
        if self.peers and not self.alone:
            self.schedulers = round(told.schedulers * (1 + heard) / (1 + len(self.signs)))
        self.fleet.estimate(ready, jam, self.own_rate * self.schedulers)
        self._fill(now)
        for (origin, mark), (at, jobs) in list(self.words.items()):
            if now - at >= TOLD_FOR:
                self.elsewhere[mark] -= jobs
                del self.words[origin, mark]
        self.elsewhere = +self.elsewhere
        self.ill_told = {mark: end for mark, end in self.ill_told.items() if end > now}
        for worker in self.workers.values():
            if worker.ill_until > now or (worker.inflight and now - worker.told_at >= TICK):
                self._tell(now, worker)
            if worker.speed:
                worker.speed += SPEED_EASE * (self.speeds.get(worker.kind, worker.speed) - worker.speed)
        if self.circles and now - self.spoke > TICK:
            self.spoke = now
            for i in self.signs:
                self._say((told.me + i) % told.schedulers)
        elif not self.alone and not self.to_tell and now - self.spoke >= TICK:  # so that they count on us
            self._after(now, self.words_wait, self._tell_all, None)
        if self.zones_new:
            self.zones_new = False
            for worker in self.workers.values():
                self._remove(worker)
                self._place(now, worker)
        self._after(now, TICK, self._tick, None)

    def _fill(self, now: int) -> None:
        """Buckets accrue up to now at the rates that were, and from now on at those of the present shares."""
        if (rate := self.fleet.rate) is not None:
            for bucket, share in zip(self.buckets, self.shares):
                bucket.fill(now)
                bucket.rate = rate * share / self.schedulers

    def reconfigure(self, now: int, told: api.Settings) -> None:
        """Other settings for the requests that come from now on; raises `SettingsError` and changes nothing
        where they differ in what can't change at work.  Requests taken before keep theirs."""
        self.told.check_change(told)
        self.told, self.shares = told, shares_of(told)
        self._fill(now)

    # What schedulers tell each other, in words of two bytes: a worker, whether it is ill, own jobs there; as
    # these change, and each tick while there are any.  Each datagram is paid for by each that hears it: in a
    # large tier a worker's circle hears of it, 16 schedulers of its zone by hashing, and draws it first.

    def _place(self, now: int, worker: Worker) -> None:
        """Finds a worker's circle and pools."""
        if self.circles:
            all_ = worker.ranks = worker.ranks or ranks(worker.key, self.hashes)
            zone = worker.zone & 0xF if 2 * len(self.zone_of) > len(all_) else -1  # else each is first
            home = [n for n in all_ if self.zone_of.get(n) == zone]
            away = [n for n in all_ if self.zone_of.get(n) != zone]
            most = CIRCLE - min(ABROAD, len(away))
            worker.circle = home[:most] + away[: CIRCLE - len(home[:most])]
            worker.near = self.told.me in worker.circle
        if worker.state == api.ACTIVE and worker.shut_until <= now:
            self._ready(worker)

    def _tell(self, now: int, worker: Worker, ill: bool = False) -> None:
        if not self.alone:
            if not self.to_tell:
                self._after(now, self.words_wait, self._tell_all, None)
            self.to_tell[worker] = ill or self.to_tell.get(worker, False)

    def _tell_all(self, now: int, _: None) -> None:
        wide = len(self.workers) > NARROW
        to: dict[int | None, bytearray] = {} if self.circles else {None: bytearray()}
        for worker in list(self.to_tell)[:MOST_WORDS]:
            ill = self.to_tell.pop(worker) or worker.ill_until > now
            if self.circles and not ill and worker.inflight == worker.told and now - worker.told_at < TICK:
                continue  # one came as another went
            worker.told, worker.told_at = worker.inflight, now
            told = word(worker.mark, worker.inflight, ill, wide)
            for number in worker.circle if self.circles else (None,):
                to.setdefault(number, bytearray()).extend(told)
        to.pop(self.told.me, None)
        for number, words in to.items():
            self._say(number, False, bytes(words))
        self.spoke = self.spoke if self.circles else now
        if self.to_tell:
            self._after(now, self.words_wait, self._tell_all, None)

    def _say(self, to: int | None, asks: bool = False, words: bytes = b"") -> None:
        """To one peer, or to all; in a large tier with the own zone, and whether theirs are asked for."""
        zone = self.told.zone if self.circles else None
        self.act.tell(head(len(self.workers) > NARROW, zone, asks) + words, to)

    def heard(self, now: int, origin: int, data: bytes) -> None:
        """A peer's words; they may be late, lost, out of order, or no words at all."""
        known = 0 <= origin < self.told.schedulers and origin != self.told.me
        told = decode(data, len(self.workers) > NARROW, self.circles) if known else None
        if told is None:
            return
        self.peers[origin] = now
        if told.zone is not None:
            self.zones_new |= self.zone_of.get(origin) != told.zone
            self.zone_of[origin] = told.zone
            if told.asks:
                self._say(origin)
        for mark, jobs, ill in told.words:
            self.elsewhere[mark] += jobs - self.words.pop((origin, mark), (0, 0))[1]
            if jobs:
                self.words[origin, mark] = now, jobs
            if ill:
                self.ill_told[mark] = now + ILL_TOLD

    def _busy(self, now: int, worker: Worker) -> tuple[int, bool]:
        """Jobs in flight at a worker, own and told; whether it is ill, by own or told experience."""
        mark = worker.mark if len(self.workers) > NARROW else worker.mark & NARROW_MARK
        busy = worker.inflight * (self.schedulers if self.alone else 1) + self.elsewhere[mark]
        return busy, worker.ill_until > now or self.ill_told.get(mark, 0) > now

    def _watch(self, now: int, _: None) -> None:
        if not self.watching:
            self.act.watch()

    def members(self, now: int, kind: str, entries: Sequence[api.Entry]) -> None:
        """A list event; `kind` is one of the kinds of list in the interface."""
        if kind == api.LIST_ERROR:
            most = min(WATCH_MOST, max(WATCH_WAIT, WATCH_EACH * self.told.schedulers))
            most = most if self.told.must_ask else min(WATCH_WAIT, self.told.drain_grace // WATCH_GRACE)
            wait = min(most, WATCH_SOON << min(self.watch_fails, 16))
            self.watching, self.watch_fails, self.list_due = False, self.watch_fails + 1, 0
            self._after(now, int(wait * (0.5 + self.random())), self._watch, None)
            return
        if kind != api.DISK:
            self.watching, self.watch_fails, self.list_due = True, 0, 0
        if kind != api.DIFF:
            listed = {e.worker for e in entries}
            for gone in [w for w in self.workers.values() if w.id not in listed]:
                self._unlist(gone)
        for entry in entries:
            self._entry(now, entry)
        for (what, number), pool in list(self.pools.items()):
            if what == "cell" and not pool.items:
                del self.pools[what, number]  # cells come and go with their workers
            elif what in ("any", "near", "kind"):
                pool.top = max([w.weight for w in pool.items], default=0.0)

    def _entry(self, now: int, entry: api.Entry) -> None:
        worker = self.workers.get(entry.worker)
        if entry.state == api.GONE:
            if worker is not None:
                self._unlist(worker)
            return
        if worker is None:
            worker = self.workers[entry.worker] = Worker(entry)
            self._start(now, worker)
        elif (
            worker.started != entry.started
            or worker.state != entry.state
            or worker.cell != entry.cell
            or worker.zone != entry.zone
            or worker.kind != entry.kind
        ):
            self._remove(worker)
            restarted = entry.started != worker.started
            _, worker.zone, worker.cell, worker.kind, worker.weight, worker.started, worker.state = entry
            if restarted:
                self._start(now, worker)
        else:
            worker.weight = entry.weight
            return
        self._place(now, worker)

    def _start(self, now: int, worker: Worker) -> None:
        """A worker seen for the first time, or restarted under its old id: may be cold."""
        worker.strikes, worker.trust, worker.life = 0, 1.0, 0
        self._open(worker)
        worker.cold_until = min(worker.started, now) + self.told.cold_for if worker.started else 0
        if worker.cold_until > now:
            # A slice is under one job: filled at random, or all schedulers would send their first at once.
            worker.cold = Bucket(now, self.largest, self.largest * self.random())
            worker.cold.rate = 0.0

    def _unlist(self, worker: Worker) -> None:
        self._open(worker)
        self._remove(worker)
        worker.state = api.GONE
        del self.workers[worker.id]

    def _ready(self, worker: Worker) -> None:
        if not worker.pools:
            names = [("any", -1), ("kind", worker.kind), ("cell", worker.cell), ("zone", worker.zone)]
            names += [("near", -1)] * worker.near
            worker.pools = tuple(self.pools.setdefault(name, Pool()) for name in names)
            for pool in worker.pools:
                pool.add(worker)

    def _remove(self, worker: Worker) -> None:
        for pool in worker.pools:
            pool.discard(worker)
        worker.pools = ()

    def _open(self, worker: Worker) -> None:
        if worker.shut_until:
            worker.shut_until = 0
            self.shut -= 1

    def _strike(self, now: int, worker: Worker) -> None:
        """Evidence against a worker: it rests for a while, unless too many rest already."""
        worker.trust = DOUBT
        worker.strikes = min(worker.strikes + 1, MOST_STRIKES)
        if worker.shut_until or not worker.pools or self.shut + 1 > MOST_SHUT * len(self.workers):
            return
        self.shut += 1
        self._remove(worker)
        wait = int((SHUT_FOR << (worker.strikes - 1)) * (0.5 + self.random()))
        worker.shut_until = now + wait
        self._after(now, wait, self._readmit, (worker, worker.shut_until))

    def _readmit(self, now: int, about: tuple[Worker, int]) -> None:
        worker, until = about
        if worker.shut_until == until:
            self._open(worker)
            if worker.state == api.ACTIVE:
                self._ready(worker)

    def _alive(self, now: int, worker: Worker) -> None:
        worker.life = now
        self.zone_strikes[worker.zone], self.zone_trust[worker.zone] = 0, 1.0
        if worker.trust < 1.0:
            worker.trust, worker.strikes = min(1.0, worker.trust * 2), 0
            if worker.shut_until:
                self._readmit(now, (worker, worker.shut_until))

    def _zone_strike(self, zone: int) -> None:
        """Failures in a row over a zone's workers: the links to it are cut, not each of them dead."""
        self.zone_strikes[zone] += 1
        if self.zone_strikes[zone] >= ZONE_STRIKES:
            self.zone_trust[zone] = ZONE_DOUBT

    def _press(self, now: int, bad: bool, worker: Worker) -> None:
        """One 'full' is one worker; the fleet is full when a good part of what was sent waits."""
        if not worker.near:  # drawn blind: bad luck
            return
        self.pressure *= PRESSURE_KEEPS
        if bad:
            self.pressure += 1.0 - PRESSURE_KEEPS
            if self.pressure > PRESSURE_TIGHT and (self.crowd > CROWD_TIGHT or self.pressure > PRESSURE_SURE):
                if now >= self.tight_until:
                    for bucket in self.buckets:  # N bursts saved up are seconds of the fleet's work: void
                        bucket.fill(now)
                        bucket.tokens = min(bucket.tokens, self.largest * self.random())
                self.tight_until = now + int(TIGHT_FOR * (0.5 + self.random()))

    def _report(self, now: int, worker: Worker, report: api.Report) -> None:
        if (free := report.get("free_slots")) is None or not abs(free) < MOST_FREE:
            return
        self.reports += 1
        self.fleet.most_free[worker.kind] = max(free, self.fleet.most_free.get(worker.kind, 0.0))

    def _cold_allows(self, now: int, worker: Worker, cost: float) -> float:
        """Share of its capacity that a cold worker surely has where its budget, in what this scheduler sends
        a mean warm worker, holds the cost; its negative where debt can pay it and not push it over; or 0."""
        bucket, told = worker.cold, self.told
        warmth = 1.0 - (worker.cold_until - now) / told.cold_for
        least = told.cold_from + (1.0 - told.cold_from) * min(1.0, max(0.0, warmth))
        share = max(least, min(1.0, worker.speed / self.speeds.get(worker.kind, 1e9)))  # as its runs show
        bucket.fill(now)
        saved = COLD_SAFETY * told.fall_multiple * share * told.fall_after / max(1, len(self.everyone.items))
        whole = saved * (self.fleet.rate / self.schedulers if self.fleet.rate else self.own_rate)
        saved = min(whole, saved * self.own_rate)  # own traffic says too much where most of it is refused
        if self.circles:  # a slice is under one job: whole jobs go to a few, the first of its circle alive
            owners = max(1, int(whole * self.schedulers * least / share / self.largest))
            alive = [n for n in worker.circle if n == told.me or now - self.peers.get(n, -ABSENT) < ABSENT]
            # Who hears next to nobody must not take it that it is the last one there.
            if told.me not in (alive if len(alive) > CIRCLE // 4 else worker.circle)[:owners]:
                return 0.0
            saved = whole = whole * self.schedulers / owners
        bucket.rate, bucket.burst = saved / told.fall_after, max(self.largest, saved)
        return share if bucket.tokens >= cost else -share * (bucket.tokens >= self.largest and cost <= whole)

    def _draw(self, now: int, pool: Pool, slots: float, request: Request | None) -> Worker | None:
        """A random ready worker, by weight; rejection keeps it O(1)."""
        random, items, top, trust = self.random, pool.items, pool.top, self.zone_trust
        n, home, spare, least, debtor = len(items), self.told.zone, None, float("inf"), None
        away = AWAY if self.crowd < AWAY_CROWD and (pool is not self.everyone or not self.circles) else 1.0
        for _ in range(DRAWS if n else 0):
            worker = items[int(random() * n)]
            weight = worker.weight * trust[worker.zone] * worker.trust
            if worker.speed < self.speeds.get(worker.kind, 0.0) and worker.speed:
                weight *= (worker.speed / self.speeds[worker.kind]) ** 2
            weight *= 1.0 if worker.zone == home else away
            if worker.cold_until > now:
                weight *= self._cold_allows(now, worker, slots if request is None else request.cost)
            if request is not None and request.attempts and request.tried(worker):
                continue
            if weight <= 0.0:  # where all are cold, a heavy job is paid by debt: no budget grows to its cost
                debtor = worker if weight < 0.0 else debtor
                continue
            load = self._load(now, worker, slots)
            weight *= LAST_SLOT if self.circles and load == 0.0 else 1.0
            if random() * top <= weight and load <= 0.0:
                return worker
            # Doubt in all of them must not leave a request without a worker: the least bad one met.
            if (badness := 4.0 * load + 1.0 - weight / top) < least:
                least, spare = badness, worker
        return spare or (debtor if request is not None else None)

    def _choose(self, now: int, request: Request) -> Worker | None:
        """Of two random ready workers, the one with fewer own jobs in flight."""
        spec = request.spec
        pool = self.near if spec.worker_kind < 0 else self.pools.get(("kind", spec.worker_kind), Pool())
        risky = next((a for a in request.attempts if a.may_have_run), None)
        if risky is not None and spec.effect == api.KEYED and spec.group != "all":
            return self._choose_in_group(now, request, risky)
        first = self._draw(now, pool, request.slots, request)
        second = self._draw(now, pool, request.slots, request)
        best = second if first is None or second and second.inflight < first.inflight else first
        if (
            self.circles
            and pool is self.near
            and (best is None or self.crowd < CROWD_BLIND and self._load(now, best, request.slots) > 0.0)
        ):
            best = self._draw(now, self.everyone, request.slots, request) or best
        return best

    def _load(self, now: int, worker: Worker, slots: float) -> float:
        """How far a worker is from starting a job at once: above 0, it would wait there or come back."""
        busy, ill = self._busy(now, worker)
        load = 8.0 * ill + 4.0 * (worker.full_until > now)
        if worker.near and self.peers and (most := round(self.fleet.most_free.get(worker.kind, 0.0))):
            load += max(-1.0 if self.circles else 0.0, (busy + slots - most) / most)
        return load

    def _may_go_to(self, request: Request, worker: Worker) -> bool:
        """Whether it discards what earlier attempts did; one moved under its id answers for neither place."""
        group = request.spec.group
        return (
            request.spec.effect != api.KEYED
            or group == "all"
            or all(
                getattr(worker, group)
                == getattr(a, group)
                == getattr(self.workers.get(a.worker.id, a.worker), group)
                for a in request.attempts
                if a.may_have_run
            )
        )

    def _choose_in_group(self, now: int, request: Request, risky: Attempt) -> Worker | None:
        group, kind = request.spec.group, request.spec.worker_kind
        items = self.pools.get((group, getattr(risky, group)), Pool()).items
        at, best = int(self.random() * len(items)), None
        for worker in (items[at:] + items[:at])[:LOOKS]:
            if (
                self._may_go_to(request, worker)
                and kind in (-1, worker.kind)
                and not request.tried(worker)
                and worker.cold_until <= now
                and (best is None or worker.inflight < best.inflight)
            ):
                best = worker
        return best

    def _ask_two(self, now: int) -> None:
        """Probes two workers as they would be drawn, where reports come by probes only."""
        for worker in (self._draw(now, self.everyone, 1.0, None), self._draw(now, self.everyone, 1.0, None)):
            if worker is not None:
                self.act.probe(worker.id)

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
        """A client's request: admission, then the push."""
        if not 0 <= cls < len(self.told.classes) or not 0 <= tenant < len(self.buckets):
            raise api.EventError(f"request {job}: class {cls} or tenant {tenant} is not in the settings")
        if job in self.requests:
            raise api.EventError(f"request {job} is known already")
        request = Request(job, self.told, cls, slots, now + remaining, PATIENCE, hint)
        if hint:  # what a cold worker is pushed over by is work, not jobs
            self.mean_hint += HINT_STEP * (hint - self.mean_hint) if self.mean_hint else hint
            request.cost = slots * hint / self.mean_hint
        bucket = self.buckets[tenant]
        self.arrived_slots += slots
        self.retries = min(RETRY_MOST, self.retries + RETRY_SHARE)
        if self.peers and (items := self.near.items):
            crowded = self._load(now, items[int(self.random() * len(items))], 1.0) > 0.0
            self.crowd += CROWD_STEP * (crowded - self.crowd)
        self.largest = max(self.largest, slots)
        bucket.burst = max(LEAST_BURST, self.largest)
        if not bucket.take(now, slots) and now < self.tight_until:
            return self.act.refuse(job, self._advice(request, bucket.wait(slots)))
        self.requests[job] = request
        self._push(now, request)
        if (
            self.told.may_probe
            and self.told.report_by_probe
            and (not self.peers or self.random() < PROBES_LEAST or self.reports < REPORTS_ENOUGH)
        ):
            self._ask_two(now)

    def _advice(self, request: Request, wait: int) -> int:
        return min(wait, request.told.most_advice) if request.told.may_advise else 0

    def _push(self, now: int, request: Request) -> bool:
        if now < self.list_due:
            if self.list_due == NEVER:  # the first request: discovery is asked at once
                self.list_due = now + START_HOLD
                self._watch(now, None)
            self._hold(now, request, START_LOOK)
            return False
        worker = self._choose(now, request)
        if worker is None:
            if not request.out:
                self._hold(now, request, HOLD_WAIT)
            return False
        worker.cold.tokens -= request.cost
        by, attempt = send_by(request), Attempt(len(request.attempts), worker, now)
        request.attempts.append(attempt)
        request.out += 1
        worker.inflight += 1
        self.act.send(request.id, worker.id, 0, by)
        self._tell(now, worker)
        if self.circles:  # each 10 ms that a start is not known brings 5 % more of late ones
            self._tell_all(now, None)
        if self.told.tells_start:
            self._after(now, request.patience, self._check, (request.id, attempt.number, request.deadline))
        return True

    def _hold(self, now: int, request: Request, wait: int) -> None:
        """Held requests are never forgotten: they look again, and end before the client's time is up."""
        wait = int(wait * (0.5 + self.random()))
        if not may_send(request, now + wait + 2 * self.told.tick, self.told.connect_timeout):
            self._finish(now, request)
        else:
            self._after(now, wait, self._again, request.id)

    def _again(self, now: int, job: str) -> None:
        if (request := self.requests.get(job)) is not None and not (request.over or request.out):
            # What was allowed when it was held may not be any more: a group remembers for a while only.
            (self._push if may_send(request, now, self.told.connect_timeout) else self._finish)(now, request)

    def _finish(self, now: int, request: Request) -> None:
        """The final answer where no attempt gave one."""
        if may_refuse(request):
            self.act.refuse(request.id, self._advice(request, RETRY_WAIT))
        else:
            self.act.fail(request.id)
        self._end(request)

    def _end(self, request: Request) -> None:
        request.over = True
        for attempt in request.attempts:
            if attempt.out and request.told.may_cancel:
                self.act.cancel(request.id, attempt.number)
        if not request.out:
            del self.requests[request.id]

    def _check(self, now: int, about: tuple[str, int, int]) -> None:
        """Silence is evidence: no start note, or no progress where it is told."""
        request, (_, number, end) = self.requests.get(about[0]), about
        if request is None or request.over or request.deadline != end or not request.attempts[number].out:
            return
        worker = (attempt := request.attempts[number]).worker
        told, silent = request.told, worker.life <= attempt.sent
        if attempt.started:
            if now - worker.life < SILENT_NOTES * told.progress_every:
                self._after(now, told.progress_every, self._check, about)
                return
            self._zone_strike(worker.zone)
            self._strike(now, worker)
        elif not attempt.late:
            attempt.late = True
            if worker.trust == 1.0:  # a hung worker says nothing of the fleet
                self._press(now, True, worker)
            # Where most start late the fleet is full: a late start there is no evidence against one worker.
            if silent and self.pressure < PRESSURE_TIGHT:
                self._strike(now, worker)
        if (
            silent
            and not attempt.started
            and told.may_cancel
            and self.retries >= 1.0
            and request.spec.effect != api.UNSAFE
            and len(request.attempts) < told.most_attempts
            and (
                self.pressure < BLIND_MOVES
                or not self.alone
                or told.schedulers < 2  # else more work
                or 3 * (now - attempt.sent) >= request.deadline - attempt.sent
            )
        ):
            # One copy at most may be out: a silent worker's job moves to one that can start it now.
            if (to := self._choose(now, request)) and self._load(now, to, request.slots) <= 0.0:
                return self.act.cancel(request.id, attempt.number)
        self._after(now, request.patience + 1, self._check, about)

    def note(self, now: int, job: str, number: int, what: int, amount: float) -> None:
        """An attempt has started or tells its progress."""
        request = self.requests.get(job)
        if request is None or number >= len(request.attempts):
            return
        attempt = request.attempts[number]
        self._alive(now, attempt.worker)
        if what == api.PROGRESS and attempt.started and amount and request.hint and now > attempt.started:
            self._ran(now, attempt.worker, request.hint * amount / (now - attempt.started))
        if what == api.STARTED and not attempt.started:
            attempt.started = now
            if not attempt.late:
                self._press(now, False, attempt.worker)
            if self.told.progress_every:
                self._after(now, 3 * self.told.progress_every, self._check, (job, number, request.deadline))

    def stream_began(self, now: int, job: str, number: int) -> None:
        """The answer of an attempt streams: nothing else may be sent."""
        request = self.requests.get(job)
        if request is not None:
            request.streams = True
            self._alive(now, request.attempts[number].worker)

    def gone(self, now: int, job: str) -> None:
        """The client has left: nothing more is owed."""
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
        """How an attempt ended; `over` says that the request is over too."""
        request = self.requests.get(job)
        if request is None:
            return
        if number >= len(request.attempts) or not request.attempts[number].out:
            raise api.EventError(f"attempt {number} of {job} is not out")
        attempt = request.attempts[number]
        worker = attempt.worker
        attempt.out, attempt.may_have_run = False, outcome not in api.NEVER_RAN
        request.out -= 1
        worker.inflight -= 1
        self._tell(now, worker)
        self._learn(now, request, attempt, outcome, latency)
        if report:
            self._report(now, worker, report)
        if request.over:
            if not request.out:
                del self.requests[job]
        elif over:
            self._end(request)
        elif not request.out:
            self._retry(now, request, outcome)

    def _learn(self, now: int, request: Request, attempt: Attempt, outcome: str, latency: int) -> None:
        worker = attempt.worker
        if outcome == api.OK:
            self._alive(now, worker)
            worker.errors -= ERROR_STEP * worker.errors
            if worker.errors < ERROR_MOST / 2:
                worker.relapses = 0
            if attempt.started and request.hint:
                self._ran(now, worker, request.hint / max(1, now - attempt.started))
            self.fleet.ran(request.slots, now - attempt.started if attempt.started else latency)
            if not self.told.tells_start:
                self._press(now, False, worker)
        elif outcome == api.ERROR:  # what fails at once looks idle and would draw the most work of all
            worker.errors += ERROR_STEP * (1.0 - worker.errors)
            if worker.errors > ERROR_MOST:
                worker.ill_until = now + int(
                    (ILL_FOR << min(worker.relapses, ILL_DOUBLINGS)) * (0.5 + self.random())
                )
                worker.relapses += 1
                self._tell(now, worker)
        elif outcome == api.FULL:
            worker.full_until = now + FULL_REST
            worker.cold.tokens = min(0.0, worker.cold.tokens)  # what a cold one refuses weighs as much
            self._alive(now, worker)
            self._press(now, True, worker)
        elif outcome == api.CONNECT_FAILED or outcome == api.RESET:
            self._tell(now, worker, True)  # each scheduler would find out by requests of its own
            self._zone_strike(worker.zone)
            self._strike(now, worker)

    def _ran(self, now: int, worker: Worker, speed: float) -> None:
        kind, cold = self.speeds.get(worker.kind, speed), worker.cold_until > now
        if not cold:  # or where all are cold each would pass for warm
            self.speeds[worker.kind] = kind + 0.02 * (speed - kind)
        before = worker.speed or kind * (self.told.cold_from if cold else 1.0)
        worker.speed = before + SPEED_STEP * (min(speed, 2.0 * kind) - before)

    def _retry(self, now: int, request: Request, outcome: str) -> None:
        """Nothing is out and the final answer is owed: another try where it is allowed, else the end."""
        tries = len(request.attempts)
        full = outcome == api.FULL and tries > 1 and now < self.tight_until
        if (
            full
            or outcome == api.MOOT
            or tries >= request.told.most_attempts
            or self.retries < 1.0
            or not may_send(request, now, self.told.connect_timeout)
        ):
            return self._finish(now, request)
        self.retries -= 1.0
        if tries == 1 or outcome == api.CANCELLED:
            self._push(now, request)
        else:
            self._hold(now, request, RETRY_WAIT << min(tries - 2, 4))

    def probed(self, now: int, worker_id: int, ok: bool, report: api.Report | None) -> None:
        """A probe's end; `report` is passed over where it failed."""
        if ok and report and (worker := self.workers.get(worker_id)) is not None:
            self._report(now, worker, report)
