"""The decisions of violetsaddle: admission, choice of a worker, retries, health checks and gossip.

The settings, events, actions and outcomes are in interface.py.  A request is paid for from the `TokenBucket`
of its tenant (tenant's share x slot rate of the fleet / number of schedulers) and pushed to a worker.  If the
bucket can't pay, it is pushed too, unless the fleet was found full a short while ago: then it is refused at
once.  Of two ready workers drawn at random, the one with fewer of this scheduler's jobs in flight gets it.
docs/design.md describes the mechanism and where this departs from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from violetsaddle import interface as api
from violetsaddle.gossip_codec import MAX_RECORDS, NARROW_MARK_MASK, decode, encode_header, encode_record
from violetsaddle.state import (
    Attempt,
    Bucket,
    Pool,
    Request,
    Timers,
    Worker,
    rendezvous_order,
    stable_hash,
)

SECOND = 1_000_000  # microseconds
NEVER = 1 << 62  # microseconds: later than any time

# Token buckets and the estimate of the fleet's rate
MIN_BURST = 8.0  # slots
# Slots.  A job that needs more is paid for in part by debt: narrow jobs would always drain a small share.
MIN_TOKENS = 1.0
# One minute, as in the published mechanism, would never act in a lab scenario, which lasts under a minute.
ESTIMATE_INTERVAL = SECOND
RUN_TIME_DECAY = 0.98  # weight that older run times keep when one is added
HINT_STEP = 0.02  # weight of a new hint in the mean
RATE_STEP_UP = 1.05  # factor on the rate each interval, where reports show no free slots
RATE_STEP_DOWN = 0.9
CORRECTION_DOWN = 0.88  # factor on the correction of the estimate, each interval: a backlog has to drain
CORRECTION_UP = 1.04
CORRECTION_MIN = 0.3
CORRECTION_MAX = 1.0

# Saturation: for a while after the fleet was found full, requests over their budget are refused
SATURATED_FOR = SECOND  # drawn from 0.5 to 1.5 of it, so that schedulers don't admit again all at once
LATE_START_SHARE = 0.4  # of the class's aim: a job that has not started by then is late
PRESSURE_DECAY = 0.92  # of the share of refused or late starts: covers about the last 12 jobs
PRESSURE_HIGH = 0.25  # above it the fleet counts as full, not just one worker, if reports show little room
PRESSURE_VERY_HIGH = 0.5  # above it the fleet counts as full whatever reports show
MOVE_PRESSURE_LIMIT = 0.375  # at or above it a scheduler without gossip doesn't move waiting jobs
BUSY_SHARE_HIGH = 0.65  # of workers seen without room; at or below it late starts don't mean a full fleet
BUSY_SHARE_STEP = 0.1  # weight of each new worker seen
BUSY_SHARE_UNTRACKED = 0.5  # below it, a worker without known load is better than a loaded one

# Choice of a worker
MAX_DRAWS = 24  # tries to draw an acceptable worker before the best of those seen is taken
MAX_GROUP_LOOKS = 8  # workers looked at in a zone or cell
FULL_PAUSE = SECOND // 4  # a worker that answered 'full' is avoided for so long
COLD_OWNER_TIMEOUT = 10 * SECOND  # a scheduler silent for so long has no part in the budget of a cold worker
GOSSIP_TTL = 3 * SECOND  # a peer counts as alive, and its load records as valid, for so long
UNHEALTHY_GOSSIP_TTL = 2 * SECOND
MAX_NARROW_WORKERS = 128  # up to so many workers, marks of 11 bits tell them apart
LAST_SLOT_WEIGHT = 0.25  # of a worker with one free slot: another job may be on its way to it
GOSSIP_GROUP_SIZE = 16  # schedulers that get the gossip on a worker, in a tier of more than 17
GOSSIP_GROUP_REMOTE = 4  # of these, the schedulers in other zones
GOSSIP_DELAY = SECOND // 50  # gossip is collected for so long before it is sent,
GOSSIP_DELAY_EACH = SECOND // 400  # or for so long for each scheduler that gets it, if that is longer
SILENT_INTERVALS = 2.5  # progress intervals without a sign of life before a worker counts as hung
MAX_FREE_SLOTS = 1e6  # a report of more is invalid
REMOTE_ZONE_WEIGHT = 0.05  # of workers in other zones while the share of busy workers is below the next one
BUSY_SHARE_REMOTE = 0.9
ENOUGH_REPORTS = 150  # where peers gossip, reports are needed for little but the number of slots
MIN_PROBE_SHARE = 0.1  # of requests that lead to probes after that

# Health
EJECTED_FOR = SECOND  # for the first failure; doubled by each further one in a row
MAX_STRIKES = 4  # failures in a row that are counted
MAX_EJECTED = 0.3  # share of workers ejected at once
FAILED_TRUST = 0.2  # factor on the weight after a failure; doubled by each sign of life
ERROR_STEP = 0.15  # weight of a new outcome in a worker's share of errors
ERROR_MAX = 0.25  # above this share of errors a worker is unhealthy
UNHEALTHY_FOR = SECOND  # an unhealthy worker gets nothing for so long; doubled by each relapse
MAX_RELAPSE_DOUBLINGS = 3
SPEED_STEP = 0.3  # weight of a new run in a worker's speed
SPEED_EASE = 0.05  # weight of its kind's speed in a worker's speed, each interval
ZONE_STRIKES = 3  # failures in a row after which a zone counts as cut off
ZONE_TRUST = 0.04  # factor on the weights of a zone that is cut off

# Retries and calls to discovery
RETRY_SHARE = 0.5  # retries after failures that each request adds to the budget
RETRY_MAX = 20.0  # retries in the budget at most
RETRY_WAIT = SECOND // 20  # before a second retry; doubled by each further one
HOLD_WAIT = SECOND // 10  # before a request without an available worker looks again
WINDOW_MARGIN = SECOND // 10  # from a repeat's last byte until workers forget the id: it has to arrive
COLD_SAFETY = 0.5  # part of the budget of cold workers that is used
WATCH_SPREAD = 2 * SECOND  # first calls to discovery after a restart are spread over so long
START_HOLD = SECOND // 2  # the first requests wait so long for a list
START_LOOK = SECOND // 50  # and look for it so often
WATCH_WAIT_FIRST = SECOND // 10  # after a failed call to discovery; doubled by each further one,
WATCH_WAIT = SECOND // 2  # up to this limit
WATCH_WAIT_EACH = SECOND // 10  # or, if that is longer, to so long for each scheduler,
WATCH_WAIT_MAX = 5 * SECOND // 4  # but no longer than this: two calls fit into 6 s
WATCH_GRACE_PARTS = 4  # where lists are pushed, the limit is at most the drain's grace divided by this


class TokenBucket(Bucket):
    """The budget of a tenant: a bucket from which requests take slots."""

    __slots__ = ()

    def take(self, now: int, amount: float) -> bool:
        """Takes `amount` slots and returns True, or returns False and takes none.

        A bucket without a rate yet takes none and returns True."""
        self.fill(now)
        if self.rate is None:
            return True
        if self.tokens < min(amount, MIN_TOKENS):
            return False
        self.tokens -= amount
        return True

    def give_back(self, amount: float) -> None:
        """Returns slots that a request took but did not use, up to the burst."""
        self.tokens = min(self.burst, self.tokens + amount)

    def wait(self, amount: float) -> int:
        """Returns the microseconds until `amount` slots can be taken."""
        return int(max(0.0, min(amount, MIN_TOKENS) - self.tokens) / self.rate) + 1 if self.rate else SECOND


def may_refuse(request: Request) -> bool:
    """Returns whether the request may be refused.

    A refusal says that a repeat is harmless, which is wrong once an attempt may have had an effect."""
    spec = request.spec
    return (
        spec.effect == api.SAFE
        or (spec.effect == api.KEYED and spec.group == "all")
        or not any(a.may_have_run for a in request.attempts)
    )


def send_deadline(request: Request) -> int:
    """Returns the time by which the last byte of another attempt must have left; 0: none may follow.

    `Balancer._may_repeat_on` says which workers it may go to."""
    spec, risky = request.spec, [a.sent for a in request.attempts if a.may_have_run]
    if spec.effect == api.SAFE or not risky:
        return 1 << 62  # whenever
    return min(risky) + spec.window - WINDOW_MARGIN if spec.effect == api.KEYED else 0


def may_send(request: Request, now: int, connect_time: int) -> bool:
    """Returns whether another attempt is allowed now; connecting may take `connect_time` microseconds."""
    free = not (request.finished or request.streaming or request.in_flight) and now < request.deadline
    return free and now + connect_time < send_deadline(request)


def tenant_shares(settings: api.Settings) -> list[float]:
    """Returns each tenant's share of the fleet; the shares add up to 1.0 unless all are 0."""
    total = sum(t.share for t in settings.tenants) or 1.0
    return [t.share / total for t in settings.tenants]


class FleetRate:
    """Estimates how many slots a microsecond the whole fleet can serve."""

    def __init__(self, settings: api.Settings) -> None:
        """`settings`: says whether reports show free slots."""
        self.uses_reports = "free_slots" in settings.report
        # By machine kind, not by worker: each worker is rarely seen when it is idle.
        self.most_free: dict[int, float] = {}
        self.slot_time, self.slots, self.correction = 0.0, 0.0, 1.0
        self.rate: float | None = None  # slots a microsecond; None: not estimated yet

    def add_run(self, slots: float, time: int) -> None:
        """Adds a finished job: the slots that it took, and its run time in microseconds."""
        self.slot_time = self.slot_time * RUN_TIME_DECAY + slots * time
        self.slots = self.slots * RUN_TIME_DECAY + slots

    def estimate(self, workers: dict[int, int], saturated: bool, own_rate: float) -> float | None:
        """Updates the rate and returns it, in slots a microsecond; None: not known yet.

        With reports it is the most free slots seen / the mean run time.  Without, it starts at `own_rate`
        when the fleet is first full, and then moves in steps.  `workers`: ready workers by kind; `own_rate`:
        this scheduler's traffic x the number of schedulers."""
        if self.uses_reports:
            seen = sum(n for kind, n in workers.items() if kind in self.most_free)
            if seen and self.slot_time:
                free = sum(n * self.most_free.get(kind, 0.0) for kind, n in workers.items())
                free *= sum(workers.values()) / seen
                self.correction = min(
                    CORRECTION_MAX,
                    max(CORRECTION_MIN, self.correction * (CORRECTION_DOWN if saturated else CORRECTION_UP)),
                )
                self.rate = self.correction * free * self.slots / self.slot_time
        elif self.rate is not None:
            self.rate *= RATE_STEP_DOWN if saturated else RATE_STEP_UP
        elif saturated:
            self.rate = own_rate
        return self.rate


class Balancer(Timers):
    """The decisions of one scheduler; its public methods are the events."""

    def __init__(self, settings: api.Settings, seed: int, now: int, act: api.Actions) -> None:
        """`now`: microseconds; `act`: carries out the actions, and is asked for the first wake at once."""
        super().__init__(act)
        self.settings = settings
        self.random = Random(seed).random
        self.workers: dict[int, Worker] = {}
        self.ready_workers, self.tracked = Pool(), Pool()  # tracked: those whose gossip this scheduler gets
        self.pools: dict[tuple[str, int], Pool] = {
            ("any", -1): self.ready_workers,
            ("tracked", -1): self.tracked,
        }
        self.ejected = 0  # workers ejected now
        self.zone_strikes, self.zone_trust = [0] * settings.zones, [1.0] * settings.zones
        self.requests: dict[str, Request] = {}
        self.buckets = [TokenBucket(now, MIN_BURST, MIN_BURST) for _ in settings.tenants]
        self.shares = tenant_shares(settings)
        self.fleet = FleetRate(settings)
        self.arrived_slots, self.own_rate = 0.0, 0.0  # slots since the last tick; slots a microsecond
        self.largest_job = 1.0  # slots
        self.pressure, self.saturated_until, self.mean_hint = 0.0, 0, 0.0
        self.busy_share = 1.0  # share of workers seen without room; without reports late starts alone decide
        self.retry_budget = RETRY_MAX / 2
        # A scheduler without gossip assumes that all others send what it sends.
        self.isolated = settings.schedulers < 2 or not settings.may_tell
        # When the last gossip of each peer came.
        self.peers: dict[int, int] = {settings.me: -GOSSIP_TTL} if self.isolated else {}
        n, step = settings.schedulers, max(1, settings.schedulers // (GOSSIP_GROUP_SIZE + 1))
        self.scheduler_hashes = [stable_hash(number, 4) for number in range(n)]
        self.uses_groups = n > GOSSIP_GROUP_SIZE + 1 and not self.isolated
        # Heartbeats go to the schedulers with these offsets from this one's number.
        self.heartbeat_offsets = (
            [i * step for i in range(1, GOSSIP_GROUP_SIZE + 1)] if self.uses_groups else list(range(1, n))
        )
        # The zones of schedulers, as far as they are known.
        self.zone_of, self.zones_changed = {settings.me: settings.zone & 0xF}, False
        self.peer_loads: dict[tuple[int, int], tuple[int, int]] = {}  # by peer and mark: time, jobs in flight
        self.peer_inflight: Counter[int] = Counter()  # jobs of all peers by mark
        self.peer_unhealthy: dict[int, int] = {}  # by mark: until when
        # Workers to report to peers, and whether each has just failed.
        self.pending_gossip: dict[Worker, bool] = {}
        self.last_gossip = 0
        self.gossip_delay = max(GOSSIP_DELAY, GOSSIP_DELAY_EACH * min(n, GOSSIP_GROUP_SIZE))
        self.report_count = 0
        self.live_schedulers = settings.schedulers
        self.speeds: dict[int, float] = {}  # mean by kind
        self.watch_fails, self.watching = 0, False
        # Until then nothing is sent by a list that was stored before this start.
        self.list_deadline = NEVER if settings.must_ask else 0
        self._schedule(now, int(ESTIMATE_INTERVAL * (0.5 + self.random())), self._tick, None)
        if settings.must_ask:  # schedulers that restart together must not overload discovery
            self._schedule(now, int(WATCH_SPREAD * self.random()), self._watch, None)
        if self.uses_groups:
            self._schedule(now, self.gossip_delay, lambda *_: self._send_gossip(None, True), None)

    def _tick(self, now: int, _: None) -> None:
        settings = self.settings
        self.own_rate += 0.4 * (self.arrived_slots / ESTIMATE_INTERVAL - self.own_rate)
        self.arrived_slots = 0.0
        ready = {number: len(p.items) for (what, number), p in self.pools.items() if what == "kind"}
        saturated = self.pressure > PRESSURE_VERY_HIGH or (
            now < self.saturated_until and not self.fleet.uses_reports
        )
        # A scheduler that is not heard is down, and its clients come here.  Until one is heard, all count.
        heard = sum(
            now - self.peers.get((settings.me - i) % settings.schedulers, -GOSSIP_TTL) < GOSSIP_TTL
            for i in self.heartbeat_offsets
        )
        if self.peers and not self.isolated:
            self.live_schedulers = round(
                settings.schedulers * (1 + heard) / (1 + len(self.heartbeat_offsets))
            )
        self.fleet.estimate(ready, saturated, self.own_rate * self.live_schedulers)
        self._update_bucket_rates(now)
        for (origin, mark), (at, jobs) in list(self.peer_loads.items()):
            if now - at >= GOSSIP_TTL:
                self.peer_inflight[mark] -= jobs
                del self.peer_loads[origin, mark]
        self.peer_inflight = +self.peer_inflight
        self.peer_unhealthy = {mark: end for mark, end in self.peer_unhealthy.items() if end > now}
        for worker in self.workers.values():
            if worker.unhealthy_until > now or (
                worker.inflight and now - worker.gossiped_at >= ESTIMATE_INTERVAL
            ):
                self._queue_gossip(now, worker)
            if worker.speed:
                worker.speed += SPEED_EASE * (self.speeds.get(worker.kind, worker.speed) - worker.speed)
        if self.uses_groups and now - self.last_gossip > ESTIMATE_INTERVAL:
            self.last_gossip = now
            for i in self.heartbeat_offsets:
                self._send_gossip((settings.me + i) % settings.schedulers)
        elif not self.isolated and not self.pending_gossip and now - self.last_gossip >= ESTIMATE_INTERVAL:
            # A heartbeat, so that peers count this scheduler as live.
            self._schedule(now, self.gossip_delay, self._flush_gossip, None)
        if self.zones_changed:
            self.zones_changed = False
            for worker in self.workers.values():
                self._remove_from_pools(worker)
                self._assign_group(now, worker)
        self._schedule(now, ESTIMATE_INTERVAL, self._tick, None)

    def _update_bucket_rates(self, now: int) -> None:
        """Fills the buckets up to `now` at their old rates and sets the rates by the current shares."""
        if (rate := self.fleet.rate) is not None:
            for bucket, share in zip(self.buckets, self.shares):
                bucket.fill(now)
                bucket.rate = rate * share / self.live_schedulers

    def reconfigure(self, now: int, settings: api.Settings) -> None:
        """Applies `settings` to the requests that come from now on; earlier ones keep theirs.

        Raises `SettingsError` and changes nothing if they differ in what can't change while requests are in
        flight."""
        self.settings.check_change(settings)
        self.settings, self.shares = settings, tenant_shares(settings)
        self._update_bucket_rates(now)

    # Gossip.  A record names a worker, whether it is unhealthy and how many of this scheduler's jobs are in
    # flight there.  It is sent when these change, and each interval while there are any.  Every receiver has
    # to process each datagram, so in a large tier only a worker's gossip group gets its records: 16
    # schedulers, most of the worker's zone, by rendezvous hashing.  These draw the worker before others.

    def _assign_group(self, now: int, worker: Worker) -> None:
        """Computes a worker's gossip group, and adds the worker to its pools if it is ready."""
        if self.uses_groups:
            order = worker.scheduler_order = worker.scheduler_order or rendezvous_order(
                worker.key, self.scheduler_hashes
            )
            # While few zones are known they don't count, or each scheduler would be first in the group.
            zone = worker.zone & 0xF if 2 * len(self.zone_of) > len(order) else -1
            home = [n for n in order if self.zone_of.get(n) == zone]
            away = [n for n in order if self.zone_of.get(n) != zone]
            most = GOSSIP_GROUP_SIZE - min(GOSSIP_GROUP_REMOTE, len(away))
            worker.gossip_group = home[:most] + away[: GOSSIP_GROUP_SIZE - len(home[:most])]
            worker.tracked = self.settings.me in worker.gossip_group
        if worker.state == api.ACTIVE and worker.ejected_until <= now:
            self._add_to_pools(worker)

    def _queue_gossip(self, now: int, worker: Worker, failed: bool = False) -> None:
        if not self.isolated:
            if not self.pending_gossip:
                self._schedule(now, self.gossip_delay, self._flush_gossip, None)
            self.pending_gossip[worker] = failed or self.pending_gossip.get(worker, False)

    def _flush_gossip(self, now: int, _: None) -> None:
        wide = len(self.workers) > MAX_NARROW_WORKERS
        to: dict[int | None, bytearray] = {} if self.uses_groups else {None: bytearray()}
        for worker in list(self.pending_gossip)[:MAX_RECORDS]:
            unhealthy = self.pending_gossip.pop(worker) or worker.unhealthy_until > now
            if (
                self.uses_groups
                and not unhealthy
                and worker.inflight == worker.gossiped_inflight
                and now - worker.gossiped_at < ESTIMATE_INTERVAL
            ):
                continue  # a job has started in place of one that ended
            worker.gossiped_inflight, worker.gossiped_at = worker.inflight, now
            record = encode_record(worker.mark, worker.inflight, unhealthy, wide)
            for number in worker.gossip_group if self.uses_groups else (None,):
                to.setdefault(number, bytearray()).extend(record)
        to.pop(self.settings.me, None)
        for number, records in to.items():
            self._send_gossip(number, False, bytes(records))
        self.last_gossip = self.last_gossip if self.uses_groups else now
        if self.pending_gossip:
            self._schedule(now, self.gossip_delay, self._flush_gossip, None)

    def _send_gossip(self, to: int | None, wants_reply: bool = False, records: bytes = b"") -> None:
        """Sends to one peer, or to all if `to` is None; in a large tier with this scheduler's zone."""
        zone = self.settings.zone if self.uses_groups else None
        self.act.tell(encode_header(len(self.workers) > MAX_NARROW_WORKERS, zone, wants_reply) + records, to)

    def heard(self, now: int, origin: int, data: bytes) -> None:
        """Takes in a datagram of a peer, which may be late, out of order or invalid."""
        known = 0 <= origin < self.settings.schedulers and origin != self.settings.me
        message = decode(data, len(self.workers) > MAX_NARROW_WORKERS, self.uses_groups) if known else None
        if message is None:
            return
        self.peers[origin] = now
        if message.zone is not None:
            self.zones_changed |= self.zone_of.get(origin) != message.zone
            self.zone_of[origin] = message.zone
            if message.wants_reply:
                self._send_gossip(origin)
        for mark, jobs, unhealthy in message.records:
            self.peer_inflight[mark] += jobs - self.peer_loads.pop((origin, mark), (0, 0))[1]
            if jobs:
                self.peer_loads[origin, mark] = now, jobs
            if unhealthy:
                self.peer_unhealthy[mark] = now + UNHEALTHY_GOSSIP_TTL

    def _known_load(self, now: int, worker: Worker) -> tuple[int, bool]:
        """Returns the jobs in flight at a worker, own and of peers, and whether it is known as unhealthy."""
        mark = worker.mark if len(self.workers) > MAX_NARROW_WORKERS else worker.mark & NARROW_MARK_MASK
        jobs = worker.inflight * (self.live_schedulers if self.isolated else 1) + self.peer_inflight[mark]
        return jobs, worker.unhealthy_until > now or self.peer_unhealthy.get(mark, 0) > now

    def _watch(self, now: int, _: None) -> None:
        if not self.watching:
            self.act.watch()

    def members(self, now: int, kind: str, entries: Sequence[api.Entry]) -> None:
        """Takes in a list of workers, or a failed call for it; `kind`: one of the kinds of list event."""
        if kind == api.LIST_ERROR:
            most = min(WATCH_WAIT_MAX, max(WATCH_WAIT, WATCH_WAIT_EACH * self.settings.schedulers))
            most = (
                most
                if self.settings.must_ask
                else min(WATCH_WAIT, self.settings.drain_grace // WATCH_GRACE_PARTS)
            )
            wait = min(most, WATCH_WAIT_FIRST << min(self.watch_fails, 16))
            self.watching, self.watch_fails, self.list_deadline = False, self.watch_fails + 1, 0
            self._schedule(now, int(wait * (0.5 + self.random())), self._watch, None)
            return
        if kind in (api.SNAPSHOT, api.DIFF):
            self.watching, self.watch_fails, self.list_deadline = True, 0, 0
        if kind not in (api.DIFF, api.CORRECTION):
            listed = {e.worker for e in entries}
            for gone in [w for w in self.workers.values() if w.id not in listed]:
                self._delist(gone)
        for entry in entries:
            self._apply_entry(now, entry)
        for (what, number), pool in list(self.pools.items()):
            if what == "cell" and not pool.items:
                del self.pools[what, number]  # cells come and go with their workers
            elif what in ("any", "tracked", "kind"):
                pool.max_weight = max([w.weight for w in pool.items], default=0.0)

    def _apply_entry(self, now: int, entry: api.Entry) -> None:
        worker = self.workers.get(entry.worker)
        if entry.state == api.GONE:
            if worker is not None:
                self._delist(worker)
            return
        if worker is None:
            worker = self.workers[entry.worker] = Worker(entry)
            self._reset_after_start(now, worker)
        elif (
            worker.started != entry.started
            or worker.state != entry.state
            or worker.cell != entry.cell
            or worker.zone != entry.zone
            or worker.kind != entry.kind
        ):
            self._remove_from_pools(worker)
            restarted = entry.started != worker.started
            _, worker.zone, worker.cell, worker.kind, worker.weight, worker.started, worker.state = entry
            if restarted:
                self._reset_after_start(now, worker)
        else:
            worker.weight = entry.weight
            return
        self._assign_group(now, worker)

    def _reset_after_start(self, now: int, worker: Worker) -> None:
        """Resets a worker that is new, or restarted under its old id; it may be cold."""
        worker.strikes, worker.trust, worker.last_seen = 0, 1.0, 0
        self._clear_ejection(worker)
        worker.cold_until = min(worker.started, now) + self.settings.cold_for if worker.started else 0
        if worker.cold_until > now:
            # One scheduler's share of its budget is less than a job.  It is filled at random, or all
            # schedulers would send their first job at the same time.
            worker.cold_budget = Bucket(now, self.largest_job, self.largest_job * self.random())
            worker.cold_budget.rate = 0.0

    def _delist(self, worker: Worker) -> None:
        self._clear_ejection(worker)
        self._remove_from_pools(worker)
        worker.state = api.GONE
        del self.workers[worker.id]

    def _add_to_pools(self, worker: Worker) -> None:
        if not worker.pools:
            names = [("any", -1), ("kind", worker.kind), ("cell", worker.cell), ("zone", worker.zone)]
            names += [("tracked", -1)] * worker.tracked
            worker.pools = tuple(self.pools.setdefault(name, Pool()) for name in names)
            for pool in worker.pools:
                pool.add(worker)

    def _remove_from_pools(self, worker: Worker) -> None:
        for pool in worker.pools:
            pool.discard(worker)
        worker.pools = ()

    def _clear_ejection(self, worker: Worker) -> None:
        if worker.ejected_until:
            worker.ejected_until = 0
            self.ejected -= 1

    def _record_failure(self, now: int, worker: Worker) -> None:
        """Lowers the trust in a worker and ejects it for a while, unless too many are ejected already."""
        worker.trust = FAILED_TRUST
        worker.strikes = min(worker.strikes + 1, MAX_STRIKES)
        if worker.ejected_until or not worker.pools or self.ejected + 1 > MAX_EJECTED * len(self.workers):
            return
        self.ejected += 1
        self._remove_from_pools(worker)
        wait = int((EJECTED_FOR << (worker.strikes - 1)) * (0.5 + self.random()))
        worker.ejected_until = now + wait
        self._schedule(now, wait, self._readmit, (worker, worker.ejected_until))

    def _readmit(self, now: int, ejection: tuple[Worker, int]) -> None:
        worker, until = ejection
        if worker.ejected_until == until:
            self._clear_ejection(worker)
            if worker.state == api.ACTIVE:
                self._add_to_pools(worker)

    def _record_alive(self, now: int, worker: Worker) -> None:
        worker.last_seen = now
        self.zone_strikes[worker.zone], self.zone_trust[worker.zone] = 0, 1.0
        if worker.trust < 1.0:
            worker.trust, worker.strikes = min(1.0, worker.trust * 2), 0
            if worker.ejected_until:
                self._readmit(now, (worker, worker.ejected_until))

    def _record_zone_failure(self, zone: int) -> None:
        """Counts failures in a row over a zone's workers: many mean that its links are cut, not that each
        worker is dead."""
        self.zone_strikes[zone] += 1
        if self.zone_strikes[zone] >= ZONE_STRIKES:
            self.zone_trust[zone] = ZONE_TRUST

    def _record_start(self, now: int, delayed: bool, worker: Worker) -> None:
        """Updates the pressure; `delayed`: the worker was full or has not started the job in time.

        One 'full' means one full worker; the fleet is full when a good part of what was sent waits."""
        if not worker.tracked:  # it was chosen without knowledge of its load
            return
        self.pressure *= PRESSURE_DECAY
        if delayed:
            self.pressure += 1.0 - PRESSURE_DECAY
            if self.pressure > PRESSURE_HIGH and (
                self.busy_share > BUSY_SHARE_HIGH or self.pressure > PRESSURE_VERY_HIGH
            ):
                if now >= self.saturated_until:
                    # The saved bursts of all schedulers are seconds of the fleet's work: they are discarded.
                    for bucket in self.buckets:
                        bucket.fill(now)
                        bucket.tokens = min(bucket.tokens, self.largest_job * self.random())
                self.saturated_until = now + int(SATURATED_FOR * (0.5 + self.random()))

    def _apply_report(self, now: int, worker: Worker, report: api.Report) -> None:
        if (free := report.get("free_slots")) is None or not abs(free) < MAX_FREE_SLOTS:
            return
        self.report_count += 1
        self.fleet.most_free[worker.kind] = max(free, self.fleet.most_free.get(worker.kind, 0.0))

    def _cold_share(self, now: int, worker: Worker, cost: float) -> float:
        """Returns the share of its full capacity that a cold worker surely has, if its budget holds `cost`.

        The budget is based on what this scheduler sends a warm worker on average.  The result is the negative
        share if the budget can go into debt for `cost` without overloading the worker, and 0 if it can't."""
        bucket, settings = worker.cold_budget, self.settings
        warmth = 1.0 - (worker.cold_until - now) / settings.cold_for
        least = settings.cold_from + (1.0 - settings.cold_from) * min(1.0, max(0.0, warmth))
        share = max(least, min(1.0, worker.speed / self.speeds.get(worker.kind, 1e9)))  # as its runs show
        bucket.fill(now)
        saved = (
            COLD_SAFETY
            * settings.fall_multiple
            * share
            * settings.fall_after
            / max(1, len(self.ready_workers.items))
        )
        whole = saved * (self.fleet.rate / self.live_schedulers if self.fleet.rate else self.own_rate)
        # Own traffic is too high a figure where most of it is refused.
        saved = min(whole, saved * self.own_rate)
        # In a large tier a scheduler's part of the budget is less than a job.  Whole jobs are left to a few
        # schedulers instead: the first live ones of the worker's gossip group.
        if self.uses_groups:
            owners = max(1, int(whole * self.live_schedulers * least / share / self.largest_job))
            alive = [
                n
                for n in worker.gossip_group
                if n == settings.me or now - self.peers.get(n, -COLD_OWNER_TIMEOUT) < COLD_OWNER_TIMEOUT
            ]
            # A scheduler that hears almost no peer must not conclude that it is the only live one.
            if (
                settings.me
                not in (alive if len(alive) > GOSSIP_GROUP_SIZE // 4 else worker.gossip_group)[:owners]
            ):
                return 0.0
            saved = whole = whole * self.live_schedulers / owners
        bucket.rate, bucket.burst = saved / settings.fall_after, max(self.largest_job, saved)
        return (
            share if bucket.tokens >= cost else -share * (bucket.tokens >= self.largest_job and cost <= whole)
        )

    def _draw(self, now: int, pool: Pool, slots: float, request: Request | None) -> Worker | None:
        """Draws a ready worker by weight, in O(1) by rejection sampling; None if there is no suitable one."""
        random, items, max_weight, trust = self.random, pool.items, pool.max_weight, self.zone_trust
        n, home, spare, least, debtor = len(items), self.settings.zone, None, float("inf"), None
        away = (
            REMOTE_ZONE_WEIGHT
            if self.busy_share < BUSY_SHARE_REMOTE
            and (pool is not self.ready_workers or not self.uses_groups)
            else 1.0
        )
        for _ in range(MAX_DRAWS if n else 0):
            worker = items[int(random() * n)]
            weight = worker.weight * trust[worker.zone] * worker.trust
            if worker.speed < self.speeds.get(worker.kind, 0.0) and worker.speed:
                weight *= (worker.speed / self.speeds[worker.kind]) ** 2
            weight *= 1.0 if worker.zone == home else away
            if worker.cold_until > now:
                weight *= self._cold_share(now, worker, slots if request is None else request.cost)
            if request is not None and request.attempts and request.tried(worker):
                continue
            # Where all workers are cold, a heavy job is paid for by debt: no budget grows to its cost.
            if weight <= 0.0:
                debtor = worker if weight < 0.0 else debtor
                continue
            load = self._load(now, worker, slots)
            weight *= LAST_SLOT_WEIGHT if self.uses_groups and load == 0.0 else 1.0
            if random() * max_weight <= weight and load <= 0.0:
                return worker
            # If none is accepted, the request gets the best of the workers drawn.
            if (badness := 4.0 * load + 1.0 - weight / max_weight) < least:
                least, spare = badness, worker
        return spare or (debtor if request is not None else None)

    def _choose(self, now: int, request: Request) -> Worker | None:
        """Returns the one of two random ready workers with fewer own jobs in flight."""
        spec = request.spec
        pool = self.tracked if spec.worker_kind < 0 else self.pools.get(("kind", spec.worker_kind), Pool())
        risky = next((a for a in request.attempts if a.may_have_run), None)
        if risky is not None and spec.effect == api.KEYED and spec.group != "all":
            return self._choose_in_group(now, request, risky)
        first = self._draw(now, pool, request.slots, request)
        second = self._draw(now, pool, request.slots, request)
        best = second if first is None or second and second.inflight < first.inflight else first
        if (
            self.uses_groups
            and pool is self.tracked
            and (
                best is None
                or self.busy_share < BUSY_SHARE_UNTRACKED
                and self._load(now, best, request.slots) > 0.0
            )
        ):
            best = self._draw(now, self.ready_workers, request.slots, request) or best
        return best

    def _load(self, now: int, worker: Worker, slots: float) -> float:
        """Returns how far a worker is from starting a job at once; above 0 it would wait or be refused."""
        busy, unhealthy = self._known_load(now, worker)
        load = 8.0 * unhealthy + 4.0 * (worker.full_until > now)
        if worker.tracked and self.peers and (most := round(self.fleet.most_free.get(worker.kind, 0.0))):
            load += max(-1.0 if self.uses_groups else 0.0, (busy + slots - most) / most)
        return load

    def _may_repeat_on(self, request: Request, worker: Worker) -> bool:
        """Returns whether a worker drops the request if an earlier attempt ran.

        If the worker of an earlier attempt has changed its zone or cell since, neither the old nor the new
        one is sure to drop a repeat."""
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
        """Returns a worker in the zone or cell of an attempt that may have run; None if there is none."""
        group, kind = request.spec.group, request.spec.worker_kind
        items = self.pools.get((group, getattr(risky, group)), Pool()).items
        at, best = int(self.random() * len(items)), None
        for worker in (items[at:] + items[:at])[:MAX_GROUP_LOOKS]:
            if (
                self._may_repeat_on(request, worker)
                and kind in (-1, worker.kind)
                and not request.tried(worker)
                and worker.cold_until <= now
                and (best is None or worker.inflight < best.inflight)
            ):
                best = worker
        return best

    def _probe_two(self, now: int) -> None:
        """Probes two workers, drawn as for a request; for fleets whose reports come by probes only."""
        for worker in (
            self._draw(now, self.ready_workers, 1.0, None),
            self._draw(now, self.ready_workers, 1.0, None),
        ):
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
        """Takes in a client's request: refuses it, or pushes it to a worker.

        `remaining`: microseconds until its deadline; `hint`: its expected run time in microseconds, 0 if
        unknown.  Raises `EventError` for an unknown class or tenant and for a known job."""
        if not 0 <= cls < len(self.settings.classes) or not 0 <= tenant < len(self.buckets):
            raise api.EventError(f"request {job}: class {cls} or tenant {tenant} is not in the settings")
        if job in self.requests:
            raise api.EventError(f"request {job} is known already")
        request = Request(job, self.settings, cls, slots, now + remaining, LATE_START_SHARE, hint)
        if hint:  # work, not the number of jobs, overloads a cold worker
            self.mean_hint += HINT_STEP * (hint - self.mean_hint) if self.mean_hint else hint
            request.cost = slots * hint / self.mean_hint
        bucket = self.buckets[tenant]
        self.arrived_slots += slots
        self.retry_budget = min(RETRY_MAX, self.retry_budget + RETRY_SHARE)
        if self.peers and (items := self.tracked.items):
            busy = self._load(now, items[int(self.random() * len(items))], 1.0) > 0.0
            self.busy_share += BUSY_SHARE_STEP * (busy - self.busy_share)
        self.largest_job = max(self.largest_job, slots)
        bucket.burst = max(MIN_BURST, self.largest_job)
        if bucket.take(now, slots):
            request.bucket = bucket
        elif now < self.saturated_until:
            return self.act.refuse(job, self._retry_after(request, bucket.wait(slots)))
        self.requests[job] = request
        self._push(now, request)
        if (
            self.settings.may_probe
            and self.settings.report_by_probe
            and (not self.peers or self.random() < MIN_PROBE_SHARE or self.report_count < ENOUGH_REPORTS)
        ):
            self._probe_two(now)

    def _retry_after(self, request: Request, wait: int) -> int:
        return min(wait, request.settings.most_advice) if request.settings.may_advise else 0

    def _push(self, now: int, request: Request) -> bool:
        """Sends an attempt and returns True, or holds the request."""
        if now < self.list_deadline:
            if self.list_deadline == NEVER:  # the first request: discovery is asked at once
                self.list_deadline = now + START_HOLD
                self._watch(now, None)
            self._hold(now, request, START_LOOK)
            return False
        worker = self._choose(now, request)
        if worker is None:
            if not request.in_flight:
                self._hold(now, request, HOLD_WAIT)
            return False
        worker.cold_budget.tokens -= request.cost
        by, attempt = send_deadline(request), Attempt(len(request.attempts), worker, now)
        request.attempts.append(attempt)
        request.in_flight += 1
        worker.inflight += 1
        self.act.send(request.id, worker.id, 0, by)
        self._queue_gossip(now, worker)
        if self.uses_groups:  # each 10 ms of delay in the gossip on a start cause 5 % more late starts
            self._flush_gossip(now, None)
        if self.settings.tells_start:
            self._schedule(
                now, request.start_limit, self._check_attempt, (request.id, attempt.number, request.deadline)
            )
        return True

    def _hold(self, now: int, request: Request, wait: int) -> None:
        """Holds a request and tries it again later, or ends it if the wait would pass its deadline."""
        wait = int(wait * (0.5 + self.random()))
        if not may_send(request, now + wait + 2 * self.settings.tick, self.settings.connect_timeout):
            self._finish(now, request)
        else:
            self._schedule(now, wait, self._retry_held, request.id)

    def _retry_held(self, now: int, job: str) -> None:
        if (request := self.requests.get(job)) is not None and not (request.finished or request.in_flight):
            # It may no longer be allowed: workers remember the id of a keyed request only for a while.
            (self._push if may_send(request, now, self.settings.connect_timeout) else self._finish)(
                now, request
            )

    def _finish(self, now: int, request: Request) -> None:
        """Gives the final answer to a request that no attempt answered."""
        if may_refuse(request):
            self.act.refuse(request.id, self._retry_after(request, RETRY_WAIT))
        else:
            self.act.fail(request.id)
        self._end(request)

    def _end(self, request: Request) -> None:
        """Cancels what is in flight of an answered request, and forgets it once nothing is."""
        request.finished = True
        for attempt in request.attempts:
            if attempt.in_flight and request.settings.may_cancel:
                self.act.cancel(request.id, attempt.number)
        if not request.in_flight:
            self._forget(request)

    def _forget(self, request: Request) -> None:
        """Removes a finished request; one of which nothing has left costs its tenant nothing."""
        del self.requests[request.id]
        if request.bucket is not None and request.unsent == len(request.attempts):
            request.bucket.give_back(request.slots)

    def _check_attempt(self, now: int, about: tuple[str, int, int]) -> None:
        """Looks for an attempt that has not started in time or shows no progress where it is reported.

        `about`: job, attempt number and deadline of the request."""
        request, (_, number, end) = self.requests.get(about[0]), about
        if (
            request is None
            or request.finished
            or request.deadline != end
            or not request.attempts[number].in_flight
        ):
            return
        worker = (attempt := request.attempts[number]).worker
        settings, silent = request.settings, worker.last_seen <= attempt.sent
        if attempt.started:
            if now - worker.last_seen < SILENT_INTERVALS * settings.progress_every:
                self._schedule(now, settings.progress_every, self._check_attempt, about)
                return
            self._record_zone_failure(worker.zone)
            self._record_failure(now, worker)
        elif not attempt.late:
            attempt.late = True
            if worker.trust == 1.0:  # a hung worker says nothing about the fleet
                self._record_start(now, True, worker)
            # Where most start late the fleet is full: a late start there is no evidence against one worker.
            if silent and self.pressure < PRESSURE_HIGH:
                self._record_failure(now, worker)
        if (
            silent
            and not attempt.started
            and settings.may_cancel
            and self.retry_budget >= 1.0
            and request.spec.effect != api.UNSAFE
            and len(request.attempts) < settings.most_attempts
            and (
                self.pressure < MOVE_PRESSURE_LIMIT
                or not self.isolated
                or settings.schedulers < 2  # otherwise moves add work: the new worker's load is not known
                or 3 * (now - attempt.sent) >= request.deadline - attempt.sent
            )
        ):
            # Only one attempt may be in flight: it is cancelled if another worker can start the job now.
            if (to := self._choose(now, request)) and self._load(now, to, request.slots) <= 0.0:
                return self.act.cancel(request.id, attempt.number)
        self._schedule(now, request.start_limit + 1, self._check_attempt, about)

    def note(self, now: int, job: str, number: int, what: int, amount: float) -> None:
        """Takes in that an attempt has started or made progress.

        `what`: `STARTED` or `PROGRESS`; `amount`: the part of the job that is done, 0 to 1."""
        request = self.requests.get(job)
        if request is None or number >= len(request.attempts):
            return
        attempt = request.attempts[number]
        self._record_alive(now, attempt.worker)
        if what == api.PROGRESS and attempt.started and amount and request.hint and now > attempt.started:
            self._record_speed(now, attempt.worker, request.hint * amount / (now - attempt.started))
        if what == api.STARTED and not attempt.started:
            attempt.started = now
            if not attempt.late:
                self._record_start(now, False, attempt.worker)
            if self.settings.progress_every:
                self._schedule(
                    now,
                    3 * self.settings.progress_every,
                    self._check_attempt,
                    (job, number, request.deadline),
                )

    def stream_began(self, now: int, job: str, number: int) -> None:
        """Takes in that the answer of an attempt has begun to stream: no other attempt may follow."""
        request = self.requests.get(job)
        if request is not None:
            request.streaming = True
            self._record_alive(now, request.attempts[number].worker)

    def gone(self, now: int, job: str) -> None:
        """Takes in that the client has left: its request needs no answer any more."""
        request = self.requests.get(job)
        if request is not None and not request.finished:
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
        """Takes in the outcome of an attempt; `over`: it ends the request too; `latency`: microseconds.

        Raises `EventError` if the attempt is not in flight."""
        request = self.requests.get(job)
        if request is None:
            return
        if number >= len(request.attempts) or not request.attempts[number].in_flight:
            raise api.EventError(f"attempt {number} of {job} is not in flight")
        attempt = request.attempts[number]
        worker = attempt.worker
        attempt.in_flight, attempt.may_have_run = False, outcome not in api.NEVER_RAN
        request.in_flight -= 1
        worker.inflight -= 1
        self._queue_gossip(now, worker)
        self._record_outcome(now, request, attempt, outcome, latency)
        if report:
            self._apply_report(now, worker, report)
        if request.finished:
            if not request.in_flight:
                self._forget(request)
        elif over:
            self._end(request)
        elif not request.in_flight:
            self._retry(now, request, outcome)

    def _record_outcome(
        self, now: int, request: Request, attempt: Attempt, outcome: str, latency: int
    ) -> None:
        worker = attempt.worker
        if outcome == api.OK:
            self._record_alive(now, worker)
            worker.errors -= ERROR_STEP * worker.errors
            if worker.errors < ERROR_MAX / 2:
                worker.relapses = 0
            if attempt.started and request.hint:
                self._record_speed(now, worker, request.hint / max(1, now - attempt.started))
            self.fleet.add_run(request.slots, now - attempt.started if attempt.started else latency)
            if not self.settings.tells_start:
                self._record_start(now, False, worker)
        elif outcome == api.ERROR:  # a worker that fails at once looks idle and would draw the most work
            worker.errors += ERROR_STEP * (1.0 - worker.errors)
            if worker.errors > ERROR_MAX:
                worker.unhealthy_until = now + int(
                    (UNHEALTHY_FOR << min(worker.relapses, MAX_RELAPSE_DOUBLINGS)) * (0.5 + self.random())
                )
                worker.relapses += 1
                self._queue_gossip(now, worker)
        elif outcome == api.FULL:
            worker.full_until = now + FULL_PAUSE
            # A refused job costs a cold worker as much as one that it runs.
            worker.cold_budget.tokens = min(0.0, worker.cold_budget.tokens)
            self._record_alive(now, worker)
            self._record_start(now, True, worker)
        elif outcome == api.MOOT:
            request.unsent += 1
            attempt.cold_budget.tokens += request.cost
        elif outcome == api.CONNECT_FAILED or outcome == api.RESET:
            # Without gossip each scheduler would find the failure by requests of its own.
            self._queue_gossip(now, worker, True)
            self._record_zone_failure(worker.zone)
            self._record_failure(now, worker)

    def _record_speed(self, now: int, worker: Worker, speed: float) -> None:
        """Updates the speeds of a worker and its kind; `speed`: hinted work over time taken."""
        kind, cold = self.speeds.get(worker.kind, speed), worker.cold_until > now
        if not cold:  # else, where all are cold, each would pass for warm
            self.speeds[worker.kind] = kind + 0.02 * (speed - kind)
        before = worker.speed or kind * (self.settings.cold_from if cold else 1.0)
        worker.speed = before + SPEED_STEP * (min(speed, 2.0 * kind) - before)

    def _retry(self, now: int, request: Request, outcome: str) -> None:
        """Sends an unanswered request without attempts in flight again where that is allowed, or ends it."""
        tries = len(request.attempts)
        full = outcome == api.FULL and tries > 1 and now < self.saturated_until
        if (
            full
            or outcome == api.MOOT
            or tries >= request.settings.most_attempts
            or self.retry_budget < 1.0
            or not may_send(request, now, self.settings.connect_timeout)
        ):
            return self._finish(now, request)
        self.retry_budget -= 1.0
        if tries == 1 or outcome == api.CANCELLED:
            self._push(now, request)
        else:
            self._hold(now, request, RETRY_WAIT << min(tries - 2, 4))

    def probed(self, now: int, worker_id: int, ok: bool, report: api.Report | None) -> None:
        """Takes in the result of a probe; `report` is ignored if the probe failed."""
        if ok and report and (worker := self.workers.get(worker_id)) is not None:
            self._apply_report(now, worker, report)
