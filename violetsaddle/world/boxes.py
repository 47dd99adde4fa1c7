"""Job boxes without I/O: events come in as method calls with `now` first, effects go out on a list.

All times are integer microseconds of the day, all work is in microseconds on a core of speed 1.  A box has
one time `next` at which `advance` is due; whoever owns it keeps one timer for it.  Every run that is taken
ends exactly once, and its life is the table `MOVES`: no other line of this file sets a run's state.

All running jobs of a box go at one pace, so one number, `_v`, the work that a job has had that ran all the
time, moves them all: a run ends as `_v` reaches its goal.  A change of pace then costs the same whether two
jobs run or two hundred."""

from __future__ import annotations

import enum
from collections import deque
from heapq import heappop, heappush
from math import ceil, sqrt
from typing import TypeAlias

import msgspec
from xxhash import xxh64_intdigest

from violetsaddle.world.day import KEYED, MS, SAFE, SECOND, UNSAFE, Day, Item, chance

SAVE_EVERY = SECOND  # a SAFE job's state is saved this often
FELL_FOR = 20 * SECOND  # a box that was pushed over stays down so long
FALL_SLACK = 0.1  # share of the budget on top of it: a box takes a little more than the rule allows
TOLD_LOST = 0.5  # share of lost jobs of which the machine's agent tells
AGENT = (20 * MS, 200 * MS)  # it tells so late
RESTART_STOPS = 0.75  # share of a planned restart's time after which the process stops
NEAR = 1e-3  # work below which a job counts as done; floats are not exact


class State(enum.IntEnum):
    """Where a run is in its life."""

    COMING = 0  # its last byte has come, the connection's handshake holds it up
    WAITING = 1
    FOLLOWING = 2  # a repeat that waits for the result of the first with its key
    RUNNING = 3
    DONE = 4
    FAILED = 5
    CANCELLED = 6
    LOST = 7
    TURNED_AWAY = 8  # never ran


class Step(enum.IntEnum):
    """What moves a run."""

    QUEUE = 0
    FOLLOW = 1
    BEGIN = 2
    FINISH = 3
    FAIL = 4
    CANCEL = 5
    DIE = 6
    TURN_AWAY = 7


MOVES: dict[tuple[State, Step], State] = {
    (State.COMING, Step.QUEUE): State.WAITING,
    (State.COMING, Step.FOLLOW): State.FOLLOWING,
    (State.COMING, Step.FAIL): State.FAILED,
    (State.COMING, Step.CANCEL): State.CANCELLED,
    (State.COMING, Step.DIE): State.LOST,
    (State.COMING, Step.TURN_AWAY): State.TURNED_AWAY,
    (State.WAITING, Step.BEGIN): State.RUNNING,
    (State.WAITING, Step.CANCEL): State.CANCELLED,
    (State.WAITING, Step.DIE): State.LOST,
    (State.WAITING, Step.TURN_AWAY): State.TURNED_AWAY,
    (State.FOLLOWING, Step.FINISH): State.DONE,
    (State.FOLLOWING, Step.QUEUE): State.WAITING,  # the first ended without a result
    (State.FOLLOWING, Step.CANCEL): State.CANCELLED,
    (State.FOLLOWING, Step.DIE): State.LOST,
    (State.RUNNING, Step.FINISH): State.DONE,
    (State.RUNNING, Step.CANCEL): State.CANCELLED,
    (State.RUNNING, Step.DIE): State.LOST,
}
ENDS = frozenset({State.DONE, State.FAILED, State.CANCELLED, State.LOST, State.TURNED_AWAY})
HOW = {State.DONE: "done", State.FAILED: "failed", State.CANCELLED: "cancelled", State.LOST: "lost"}


class Mode(enum.Enum):
    """What a box's load reports say."""

    TRUE = "true"
    STALE = "stale"
    FROZEN = "frozen"
    LIE = "lie"


class Report(msgspec.Struct, frozen=True):
    """A load report, made at `at`."""

    at: int
    x0: int  # free slots
    utilization: float  # share of the cores that was busy since the report before
    errors_per_s: float


class Run:
    """One scheduling at a box.  `link` belongs to whoever handed it in: its connection."""

    __slots__ = (
        "number",
        "box",
        "life",
        "txn",
        "item",
        "node",
        "until",
        "state",
        "link",
        "effect",
        "goal",
        "from_v",
        "left",
        "resumed",
        "saved",
        "first",
        "digest",
        "fails",
    )

    def __init__(
        self,
        number: int,
        box: Box,
        txn: str,
        item: Item,
        node: int,
        until: int,
        link: object,
        effect: str,
        digest: int,
    ) -> None:
        self.number, self.box, self.life, self.txn, self.item = number, box, box.life, txn, item
        self.node, self.until, self.link, self.effect, self.digest = node, until, link, effect, digest
        self.state = State.COMING
        self.resumed = 0.0  # work that an earlier run had saved
        self.saved = 0.0
        self.left = float(item.work)  # work still to do as it begins
        self.goal = self.from_v = 0.0
        self.first: _First | None = None
        self.fails = 0  # 1: answers 500 at once, 2: calls `failed`

    @property
    def over(self) -> bool:
        return self.state in ENDS

    @property
    def result(self) -> str:
        """A text that no other run of the day has."""
        return f"{self.number:x}-{self.digest:016x}"


# Effects.


class Reply(msgspec.Struct, gc=False):
    """Answer on the run's connection: 202, 500, or 503 for a run that is turned away."""

    run: Run
    status: int


class Tell(msgspec.Struct, gc=False):
    """A callback to the run's node: started, running, done, failed, returned or lost.

    `after` microseconds from now; `agent`: by the machine's agent, which outlives the process."""

    run: Run
    state: str
    share: float = 0.0
    result: str = ""
    after: int = 0
    agent: bool = False


class Begun(msgspec.Struct, gc=False):
    run: Run


class Effected(msgspec.Struct, gc=False):
    """The job's effect happened (`work` was done for it by this run), or was dropped as a repeat."""

    run: Run
    dropped: bool
    work: int


class Over(msgspec.Struct, gc=False):
    """The run has ended: done, failed, cancelled or lost.  `work`: done by it, also if for nothing."""

    run: Run
    how: str
    result: str
    work: int


class TurnedAway(msgspec.Struct, gc=False):
    """It never runs: by its answer (status 503) or handed back by a callback (status 0)."""

    run: Run
    status: int


class GivenUp(msgspec.Struct, gc=False):
    run: Run
    how: str


class Life(msgspec.Struct, gc=False):
    """The box's own state changed, in the words of `records.BoxLife`.  After down, fell and removed every
    connection is reset and nothing listens."""

    box: Box
    what: str
    by: tuple[tuple[int, float], ...] = ()


class Touched(msgspec.Struct, gc=False):
    """Another box's run has moved this one: its `next` may be earlier."""

    box: Box


Effect: TypeAlias = Reply | Tell | Begun | Effected | Over | TurnedAway | GivenUp | Life | Touched


class _First:
    """The first run with a key in its group."""

    __slots__ = ("at", "run", "result", "followers")

    def __init__(self, at: int, run: Run) -> None:
        self.at, self.run = at, run
        self.result: str | None = None
        self.followers: list[Run] = []


class Groups:
    """What boxes share: the keys that they have seen and the states they saved.  One for all boxes."""

    def __init__(self, day: Day) -> None:
        self._classes, self._slack = day.classes, day.rules.slack
        self._firsts: dict[tuple[int, int, str], _First] = {}
        self._order: deque[tuple[int, tuple[int, int, str], _First]] = deque()
        self._longest = max((c.window for c in day.classes), default=0) + self._slack
        self._saved: dict[tuple[int, int], float] = {}

    def first(self, now: int, run: Run) -> _First | None:
        """The first with this run's key if its window is not over; else this run is the first now."""
        order = self._order
        while order and order[0][0] + self._longest <= now:
            _, old, entry = order.popleft()
            if self._firsts.get(old) is entry:
                del self._firsts[old]
        cls = run.item.cls
        spec, box = self._classes[cls], run.box.spec
        group = 0 if spec.group == "all" else box.hall if spec.group == "zone" else box.cell
        name = (cls, group, run.item.key)
        known = self._firsts.get(name)
        if known is not None and now < known.at + spec.window + self._slack:
            return known
        run.first = self._firsts[name] = _First(now, run)
        order.append((now, name, run.first))
        return None

    def save(self, hall: int, item: int, done: float) -> None:
        if done > 0:
            self._saved[hall, item] = done

    def resume(self, hall: int, item: int) -> float:
        """Work that was done for this item before its box died; it is handed out once."""
        return self._saved.pop((hall, item), 0.0) if self._saved else 0.0


class Box:
    """One job box.  `out` collects effects; several boxes may share one list."""

    def __init__(self, day: Day, index: int, groups: Groups, out: list[Effect]) -> None:
        self.index, self.spec, self.groups = index, day.boxes[index], groups
        self._rules, self._seed, self._out = day.rules, day.seed, out
        self._effects = tuple(c.effect for c in day.classes)
        self._chance = chance(day.seed, "box", index)
        spec = self.spec
        self.life = -1
        self.up = self.draining = False
        self.started = 0
        self.next: int | None = None
        self.connections = 0
        self.running = self.waiting = 0  # slots
        self._count = 0
        self._now = 0
        self._v = 0.0
        self._pace = 0.0  # of each running job while warm, work in a microsecond
        self._slow, self._errors, self._paused = 1.0, 0.0, False
        self._cold, self._gain, self._born, self._warm_at, self._warming = 1.0, 0.0, 0, 0, False
        self._runs: dict[str, list[Run]] = {}  # by txn, those that are not over
        self._coming: list[tuple[int, int, Run]] = []
        self._queue: deque[Run] = deque()
        self._finishing: list[tuple[float, int, Run]] = []
        self._ticks: deque[tuple[int, Run]] = deque()
        self._tick = min(self._rules.progress_every or SAVE_EVERY, SAVE_EVERY)
        self._left_running = self._left_waiting = 0.0  # sums of goals of what runs, of work of what waits
        self._count_running = 0
        self._sent: deque[tuple[int, int, int]] = deque()  # at, node, work: while it can fall over
        self._sent_work = 0
        self._back: int | None = None
        self._mode, self._older, self._frozen = Mode.TRUE, 0, Report(0, spec.slots, 0.0, 0.0)
        self._reports: deque[Report] = deque([self._frozen], maxlen=256)
        self._report_due = int(self._chance.integers(0, max(1, spec.report_every)))
        self._busy, self._busy_since, self._failed = 0.0, 0, 0

    # Time.

    def _grown(self, at: int) -> float:
        """The integral of warmth since the life's start."""
        x = at - self._born
        if at <= self._warm_at:
            return self._cold * x + self._gain * x * x / 2
        whole = self._warm_at - self._born
        return self._cold * whole + self._gain * whole * whole / 2 + (at - self._warm_at)

    def _reached(self, grown: float) -> int:
        """When the integral comes to this."""
        whole = self._warm_at - self._born
        most = self._cold * whole + self._gain * whole * whole / 2
        if grown >= most:
            return self._warm_at + ceil(grown - most)
        return self._born + ceil(
            (sqrt(self._cold * self._cold + 2 * self._gain * grown) - self._cold) / self._gain
        )

    def _sync(self, now: int) -> None:
        """Brings everything up to `now`, before anything changes."""
        if now >= self._report_due:
            self._refresh(now)
        last = self._now
        if now <= last:
            return
        if self._count_running:
            gained = self._grown(now) - self._grown(last) if self._warming else now - last
            self._v += self._pace * gained
            self._busy += (now - last) * min(self.running, self.spec.cores)
        self._now = now

    def _refresh(self, now: int) -> None:
        """A load report is due: nothing has changed since `_now`, so it can be made late and yet be true."""
        every, cores, due = self.spec.report_every, self.spec.cores, self._report_due
        present = min(self.running, cores)
        ticks = (now - due) // every
        if ticks:
            util, errors = present / cores, 0.0
        else:
            busy = self._busy + max(0, due - self._now) * present
            util, errors = busy / (every * cores), self._failed * SECOND / every
        due += ticks * every
        self._reports.append(Report(due, max(0, self.spec.slots - self.running), min(1.0, util), errors))
        self._report_due = due + every
        # What `_sync` adds from `_now` on, less what lies before the report.
        self._busy, self._failed = -max(0, due - self._now) * float(present), 0

    def _repace(self) -> None:
        """After a change of what runs, of the slowness or of a pause."""
        crowd = min(1.0, self.spec.cores / self.running) if self.running else 1.0
        self._pace = 0.0 if self._paused else self.spec.speed * self._slow * crowd

    def _plan(self) -> None:
        due = self._back
        if self._coming and (due is None or self._coming[0][0] < due):
            due = self._coming[0][0]
        ticks = self._ticks
        while ticks and ticks[0][1].state is not State.RUNNING:
            ticks.popleft()
        if ticks and (due is None or ticks[0][0] < due):
            due = ticks[0][0]
        if self._warming and (due is None or self._warm_at < due):
            due = self._warm_at
        heap = self._finishing
        while heap and heap[0][2].state is not State.RUNNING:
            heappop(heap)
        if heap and self._pace > 0:
            wanted = max(0.0, heap[0][0] - self._v) / self._pace
            at = self._reached(self._grown(self._now) + wanted) if self._warming else self._now + ceil(wanted)
            at = max(at, self._now + 1)  # rounding must not bring the same moment again and again
            if due is None or at < due:
                due = at
        self.next = due

    def advance(self, now: int) -> None:
        """Does what is due; call it when `next` has come."""
        self._sync(now)
        if self._back is not None and now >= self._back:
            self.start(now)
        if self._warming and now >= self._warm_at:
            self._warming = False
            self._sent.clear()
            self._sent_work = 0
            self._out.append(Life(self, "warm"))
        heap = self._finishing
        while heap and heap[0][0] <= self._v + NEAR:
            run = heappop(heap)[2]
            if run.state is State.RUNNING:
                self._done(now, run)
        while self._coming and self._coming[0][0] <= now:
            run = heappop(self._coming)[2]
            if run.state is State.COMING:
                self._admit(now, run)
        while self._ticks and self._ticks[0][0] <= now:
            run = self._ticks.popleft()[1]
            if run.state is State.RUNNING:
                self._progress(now, run)
        self._fill(now)
        self._plan()

    def _progress(self, now: int, run: Run) -> None:
        done = run.resumed + max(0.0, self._v - run.from_v)
        run.saved = done
        if self._rules.progress_every and not self._paused:
            self._out.append(Tell(run, "running", min(1.0, round(done / max(1, run.item.work), 4))))
        self._ticks.append((now + self._tick, run))

    # The box's own life.

    def start(self, now: int, cold: bool = True) -> None:
        """A new life; `cold`: it warms up from a share of its capacity."""
        self._sync(now)
        self.life += 1
        self.up, self.draining, self._back = True, False, None
        self.started = now
        self._v = self._busy = 0.0
        self._reports.clear()
        self._reports.append(Report(now, self.spec.slots, 0.0, 0.0))
        rules = self._rules
        self._warming, self._born = cold, now
        self._cold, self._warm_at, self._gain = 1.0, now, 0.0
        if cold:
            above, below = self._chance.random(2).tolist()
            self._cold = min(1.0, rules.cold_from * (1.02 + 0.3 * above))
            last = max(1, int(rules.cold_for * (0.98 - 0.2 * below)))
            self._warm_at, self._gain = now + last, (1 - self._cold) / last
            self._warming = self._gain > 0
        self._repace()
        self._out.append(Life(self, "up"))
        if cold:
            self._out.append(Life(self, "cold"))
        self._plan()

    def started_before(self, at: int) -> None:
        """The life it has as the day begins: started at `at` below 0, or 0 for long ago."""
        self._now = min(at, self._now)
        self.start(at, cold=at < 0)
        if self._warming and self._warm_at <= 0:
            self._warming = False
        self._now = max(0, self._now)
        self._plan()

    def drain(self, now: int) -> None:
        """It finishes what it has and turns new jobs away."""
        if self.up and not self.draining:
            self._sync(now)
            self.draining = True
            self._out.append(Life(self, "draining"))

    def crash(self, now: int, told: bool = True) -> None:
        """The process dies; `told`: the machine is there, so that its agent tells of some of the lost."""
        if self.up:
            self._die(now, told, "down", ())

    def stop(self, now: int, for_good: bool) -> None:
        """The planned end: what waits is handed back, what runs is killed."""
        if not self.up:
            return
        self._sync(now)
        for run in list(self._queue):
            if run.state is State.WAITING:
                self._hand_back(now, run, agent=True)
        self._queue.clear()
        self._die(now, True, "removed" if for_good else "down", ())

    def _die(self, now: int, told: bool, what: str, by: tuple[tuple[int, float], ...]) -> None:
        self._sync(now)
        lost = [run for runs in self._runs.values() for run in runs]
        lost.sort(key=lambda run: run.number)
        told_of = self._chance.random(len(lost)) < TOLD_LOST
        late = self._chance.integers(*AGENT, len(lost))
        self._out.append(Life(self, what, by))
        self.up = self.draining = False
        self._back = None
        for run, tell, after in zip(lost, told_of, late):
            taken = run.state is not State.COMING
            if run.effect == SAFE and run.state is State.RUNNING:
                self.groups.save(self.spec.hall, run.item.number, run.saved)
            self._end(now, run, Step.DIE)
            if told and taken and tell:
                self._out.append(Tell(run, "lost", after=int(after), agent=True))
        self._runs.clear()
        self._coming.clear()
        self._queue.clear()
        self._finishing.clear()
        self._ticks.clear()
        self._sent.clear()
        self._sent_work = 0
        self._warming = False
        self.running = self.waiting = self._count_running = 0
        self._left_running = self._left_waiting = 0.0
        self._repace()
        self._plan()

    def slow(self, now: int, factor: float) -> None:
        """Runs so many times slower; 1 is normal."""
        self._sync(now)
        self._slow = 1 / factor
        self._repace()
        self._out.append(Life(self, "normal" if factor == 1 else "slow"))
        self._plan()

    def errors(self, now: int, share: float) -> None:
        """So large a share of jobs fails at once."""
        self._sync(now)
        self._errors = share

    def pause(self, now: int, on: bool) -> None:
        """Its process stands still."""
        self._sync(now)
        self._paused = on
        self._repace()
        self._plan()

    def reports(self, now: int, mode: Mode, older: int = 0) -> None:
        """What its load reports say from now on; STALE: they are `older` microseconds older."""
        self._sync(now)
        self._mode, self._older, self._frozen = mode, older, self._reports[-1]

    # Connections and probes.

    def connect(self, now: int) -> bool:
        """A connection comes up; False: it holds as many as it can, and this one is refused."""
        if not self.up or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        self._cost(now, self.spec.handshake)
        return True

    def hang_up(self) -> None:
        """A connection that had come up is gone."""
        self.connections -= 1

    def _cost(self, now: int, work: int) -> None:
        """Work that is no job's: cores that have nothing to do take it, else all jobs are held up."""
        self._sync(now)
        cores = self.spec.cores
        self._busy += work / self.spec.speed
        if self.running >= cores:
            self._v -= work / cores
            self._plan()

    def probe(self, now: int) -> Report | None:
        """The answer to a probe; None: it is draining, which is answered 503."""
        self._cost(now, self.spec.probe)
        if self.draining:
            return None
        if self._mode is Mode.LIE:
            return Report(now, self.spec.slots, 0.0, 0.0)
        if self._mode is Mode.FROZEN:
            return self._frozen
        if self._mode is Mode.STALE:
            for report in reversed(self._reports):
                if report.at <= now - self._older:
                    return report
            return self._reports[0]
        return self._reports[-1]

    # Runs.

    def come(
        self, now: int, txn: str, item: Item, node: int, remaining: int, link: object, delay: int = 0
    ) -> Run:
        """A scheduling's last byte has come; it is taken up `delay` later, once the handshake is through."""
        self._sync(now)
        self._count += 1
        number = self.index << 24 | self._count
        run = Run(
            number,
            self,
            txn,
            item,
            node,
            now + remaining,
            link,
            self._effects[item.cls],
            xxh64_intdigest(b"%d/%d" % (self._seed, number)),
        )
        self._runs.setdefault(txn, []).append(run)
        if self._warming and self._pushed_over(now, node, item.work):
            return run
        if delay > 0:
            heappush(self._coming, (now + delay, number, run))
        else:
            self._admit(now, run)
            self._fill(now)
        self._plan()
        return run

    def _pushed_over(self, now: int, node: int, work: int) -> bool:
        rules, sent = self._rules, self._sent
        sent.append((now, node, work))
        self._sent_work += work
        while sent[0][0] <= now - rules.fall_after:
            self._sent_work -= sent.popleft()[2]
        if self._sent_work <= self.budget(now):
            return False
        by: dict[int, float] = {}
        for _, who, much in sent:
            by[who] = by.get(who, 0.0) + much
        self._die(now, True, "fell", tuple(sorted(by.items())))
        self._back = now + FELL_FOR
        self._plan()
        return True

    def budget(self, now: int) -> float:
        """Work that may be sent to a cold box within the rules' time; more pushes it over."""
        rules = self._rules
        return rules.fall_multiple * (1 + FALL_SLACK) * self.rate(now) * rules.fall_after

    def _admit(self, now: int, run: Run) -> None:
        item, out = run.item, self._out
        if self._errors and not run.fails:
            drawn = self._chance.random()
            run.fails = 0 if drawn >= self._errors else 1 if drawn < self._errors / 2 else 2
        if run.fails:
            out.append(Reply(run, 500 if run.fails == 1 else 202))
            self._end(now, run, Step.FAIL)
            if run.fails == 2:
                out.append(Tell(run, "failed"))
            self._failed += 1
            return
        if run.effect == KEYED and item.key and not self.draining:
            first = self.groups.first(now, run)
            if first is not None:
                run.state = MOVES[run.state, Step.FOLLOW]
                out.append(Reply(run, 202))
                run.first = first
                if first.result is not None:
                    self._followed(now, run, first.result)
                else:
                    first.followers.append(run)
                return
        width = item.slots
        fits = not self.waiting and self.running + width <= self.spec.slots
        if self.draining or width > self.spec.slots or not (fits or self.waiting + width <= self.spec.queue):
            out.append(Reply(run, 503))
            self._turn_away(now, run, 503)
            return
        out.append(Reply(run, 202))
        self._enqueue(run)

    def _enqueue(self, run: Run) -> None:
        run.state = MOVES[run.state, Step.QUEUE]
        if run.effect == SAFE:
            run.resumed = run.saved = min(
                float(run.item.work), self.groups.resume(self.spec.hall, run.item.number)
            )
            run.left -= run.resumed
        self._queue.append(run)
        self.waiting += run.item.slots
        self._left_waiting += run.left

    def _fill(self, now: int) -> None:
        """Starts what fits, in order; the first waits until it does."""
        queue, started = self._queue, False
        while queue and self.up:
            run = queue[0]
            if run.state is State.WAITING:
                if run.until < now:
                    # Nobody waits for it any more.
                    queue.popleft()
                    self._hand_back(now, run)
                    continue
                if self.running + run.item.slots > self.spec.slots:
                    break
                self._begin(now, run)
                started = True
            queue.popleft()
        if started:
            self._repace()

    def _begin(self, now: int, run: Run) -> None:
        run.state = MOVES[run.state, Step.BEGIN]
        self.waiting -= run.item.slots
        self._left_waiting -= run.left
        self.running += run.item.slots
        self._count_running += 1
        run.from_v, run.goal = self._v, self._v + run.left
        self._left_running += run.goal
        heappush(self._finishing, (run.goal, run.number, run))
        self._ticks.append((now + self._tick, run))
        self._out.append(Begun(run))
        if self._rules.progress_every:
            self._out.append(Tell(run, "started"))

    def _done(self, now: int, run: Run) -> None:
        result = run.result
        self._end(now, run, Step.FINISH, result)
        self._out.append(Tell(run, "done", 1.0, result))

    def _followed(self, now: int, run: Run, result: str) -> None:
        """The first with this run's key is done: the repeat is dropped and gets the same result."""
        self._out.append(Effected(run, True, 0))
        self._end(now, run, Step.FINISH, result)
        self._out.append(Tell(run, "done", 1.0, result))

    def _hand_back(self, now: int, run: Run, agent: bool = False) -> None:
        self._turn_away(now, run, 0)
        self._out.append(Tell(run, "returned", agent=agent))

    def _turn_away(self, now: int, run: Run, status: int) -> None:
        self._out.append(TurnedAway(run, status))
        self._end(now, run, Step.TURN_AWAY)

    def _end(self, now: int, run: Run, step: Step, result: str = "") -> None:
        """The one way out for every run."""
        was, run.state = run.state, MOVES[run.state, step]
        work = 0
        if was is State.RUNNING:
            work = round(run.left if step is Step.FINISH else min(run.left, max(0.0, self._v - run.from_v)))
            self.running -= run.item.slots
            self._count_running -= 1
            self._left_running -= run.goal
            self._repace()
            if step is Step.FINISH or self._has_effect(run, work):
                self._out.append(Effected(run, False, work))
        elif was is State.WAITING:
            self.waiting -= run.item.slots
            self._left_waiting -= run.left
        runs = self._runs.get(run.txn)
        if runs is not None:
            runs.remove(run)
            if not runs:
                del self._runs[run.txn]
        how = HOW.get(run.state)
        if how is not None:
            self._out.append(Over(run, how, result, work))
        if run.first is not None:
            self._free_key(now, run, run.first, result if step is Step.FINISH else None)

    @staticmethod
    def _has_effect(run: Run, work: int) -> bool:
        """Whether a run that was stopped on its way has had its effect: a SAFE one's is nothing but its
        work, a KEYED one's comes with its result, an UNSAFE one's at a point drawn for each run."""
        if run.effect == UNSAFE:
            return work >= run.item.work * ((run.digest >> 11) / (1 << 53))
        return run.effect == SAFE and work > 0

    def _free_key(self, now: int, run: Run, first: _First, result: str | None) -> None:
        if first.run is not run:
            if run in first.followers:
                first.followers.remove(run)
            return
        followers, first.followers = first.followers, []
        if result is not None:
            first.result = result
            for follower in followers:
                follower.box._sync(now)
                follower.box._followed(now, follower, result)
            return
        if not followers:
            first.at = -(1 << 60)  # as if it had never come
            return
        # The first to follow takes its place: the effect has not happened.
        first.run, *first.followers = followers
        first.at = now
        box = first.run.box
        box._sync(now)
        box._enqueue(first.run)
        box._fill(now)
        box._plan()
        self._out.append(Touched(box))

    def close(self, now: int, run: Run) -> None:
        """The run's connection is gone: before the 202 that gives it up, afterwards it means nothing."""
        if run.state is State.COMING:
            self._give_up(now, run, "closed")

    def cancel(self, now: int, txn: str) -> bool:
        """DELETE: stops what this box has of this id; False: it has nothing."""
        runs = self._runs.get(txn)
        if not runs:
            return False
        for run in list(runs):
            self._give_up(now, run, "delete")
        return True

    def _give_up(self, now: int, run: Run, how: str) -> None:
        self._sync(now)
        self._out.append(GivenUp(run, how))
        self._end(now, run, Step.CANCEL)
        if self.up:
            self._fill(now)
        self._plan()

    # The truth, for yardsticks that may know it.

    @property
    def free(self) -> int:
        """Slots in which a job could begin now."""
        return max(0, self.spec.slots - self.running) if self.up and not self.waiting else 0

    def warmth(self, now: int) -> float:
        """Share of its capacity that it has warmed up to; 0 while it is down."""
        if not self.up:
            return 0.0
        return self._cold + self._gain * (now - self._born) if self._warming and now < self._warm_at else 1.0

    def rate(self, now: int) -> float:
        """Work that all its cores do in a microsecond."""
        if self._paused:
            return 0.0
        return self.spec.speed * self._slow * self.spec.cores * self.warmth(now)

    def accepts(self, now: int, slots: int = 1) -> bool:
        """Whether a job that comes now is taken."""
        if not self.up or self.draining or slots > self.spec.slots:
            return False
        return self.free >= slots or self.waiting + slots <= self.spec.queue

    def expected(self, now: int, work: float, slots: int = 1) -> int:
        """Microseconds until a job that comes now would be done; 1 << 60 where it is not taken.

        Exact for one that can begin at once if nothing else comes; else what is ahead counts as if it went
        evenly through all slots."""
        rate = self.rate(now)
        if rate <= 0 or not self.accepts(now, slots):
            return 1 << 60
        pace = rate / self.spec.cores
        pace *= min(1.0, self.spec.cores / min(self.spec.slots, self.running + slots))
        before = 0.0
        if self.free < slots:
            v = self._v + self._pace * (
                self._grown(now) - self._grown(self._now) if self._warming else now - self._now
            )
            ahead = self._left_running - self._count_running * v + self._left_waiting
            before = max(0.0, ahead) / self.spec.slots
        needed = (before + work) / pace
        if not self._warming:
            return ceil(needed)
        return self._reached(self._grown(now) + needed * self.warmth(now)) - now


# What the day's troubles do to a box.


class Change(msgspec.Struct, frozen=True, order=True):
    """Something planned for a box: start, drain, crash, vanish or stop, remove."""

    at: int
    what: str


def longest(day: Day) -> int:
    """The longest time for which a client waits, and so a drained box may still be needed."""
    return max((c.deadline for c in day.classes), default=15 * SECOND)


def _downs(day: Day, box: int) -> list[tuple[int, int, int, str]]:
    """When the box is not there and why: from, until, drained at (or -1), the end's kind."""
    spec, never, downs = day.boxes[box], 1 << 60, []
    if spec.joins:
        downs.append((-never, spec.joins, -1, "crash"))
    if spec.leaves:
        downs.append((spec.leaves + longest(day), never, spec.leaves, "remove"))
    for trouble in day.troubles:
        at, until = trouble.at, trouble.until
        if trouble.kind == "hall" and spec.hall in trouble.halls:
            downs.append((at, until, -1, "vanish"))
        if box not in trouble.boxes:
            continue
        if trouble.kind == "crash":
            downs.append((at, until, -1, "crash"))
        elif trouble.kind == "flap":
            every = max(1, int(trouble.factor * SECOND))
            downs += [
                (since, min(until, since + every), -1, "crash") for since in range(at, until, 2 * every)
            ]
        elif trouble.kind == "cold":
            downs.append((at + int((until - at) * RESTART_STOPS), until, at, "stop"))
        elif trouble.kind == "drain":
            downs.append((until, never, at, "remove"))
    return downs


def plan(day: Day, box: int) -> list[Change]:
    """What is planned for a box on this day, in order, but for falls, which nobody plans.

    Every start is one of a cold life.  Where times in which the box is gone overlap, it is back at the end
    of the last of them."""
    changes: list[Change] = []
    gone: list[tuple[int, int, str]] = []
    drains: list[tuple[int, int]] = []
    for since, until, drained, what in sorted(_downs(day, box)):
        if gone and since <= gone[-1][1]:
            gone[-1] = (gone[-1][0], max(until, gone[-1][1]), gone[-1][2])
        else:
            gone.append((since, until, what))
        if drained >= 0:
            drains.append((drained, since))
            changes.append(Change(drained, "drain"))
    for since, until, what in gone:
        if since > -1 << 59:
            changes.append(Change(since, what))
        if until < 1 << 59:
            changes.append(Change(until, "start"))
            # Back while a drain goes on: it is drained again, just after its start.
            changes += [Change(until + 1, "drain") for at, end in drains if at <= until < end]
    return sorted(change for change in changes if change.at <= day.length + longest(day))
