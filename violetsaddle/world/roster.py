"""Discovery without I/O: what it lists when, whom it answers when, and what counts as told to whom.

All times are integer microseconds of the day.  Facts about processes come in by `heard`, calls by `call`;
effects go out on a list.  `next` is when `advance` is due."""

from __future__ import annotations

import enum
from bisect import bisect_right
from collections import deque
from heapq import heappop, heappush
from typing import TypeAlias

import msgspec

from violetsaddle.world.day import MS, SECOND, Day, chance

KEPT = 256  # changes that a watch may lie behind; further back it gets the whole list
MOST_WAIT = 60 * SECOND
GOES_ON = 200 * MS  # a watch goes on if its next call comes so soon after an answer
ANSWERED = 6 * SECOND  # a call's answer counts as told after this, whether it arrived or not
WAITED = 2 * SECOND  # of a call that waits: so long after its wait is over
FAILED = 4  # times as long a node may go without asking after a call that failed
OUT_OF_DATE = 0.25  # share of nodes whose first list is a version old


class State(enum.Enum):
    """A call's life: QUEUED until its turn, SERVED for as long as that takes, PARKED until there is news."""

    QUEUED = "queued"
    SERVED = "served"
    PARKED = "parked"
    OVER = "over"


MOVES: dict[State, tuple[State, ...]] = {
    State.QUEUED: (State.SERVED, State.OVER),
    State.SERVED: (State.PARKED, State.OVER),
    State.PARKED: (State.QUEUED, State.OVER),
    State.OVER: (),
}


class Listed(msgspec.Struct, frozen=True):
    """An entry of the list, or of its changes."""

    box: int
    state: str  # up, draining or removed
    started: int  # 0: long ago


class Change(msgspec.Struct, frozen=True):
    """What became known at `at`."""

    version: int
    at: int
    entry: Listed


class Call:
    """One call; `link` belongs to whoever handed it in."""

    __slots__ = ("node", "after", "wait", "at", "link", "state", "woken")

    def __init__(self, node: int, after: int | None, wait: int, at: int, link: object) -> None:
        self.node, self.after, self.wait, self.at, self.link = node, after, wait, at, link
        self.state, self.woken = State.QUEUED, False

    def move(self, state: State) -> None:
        if state not in MOVES[self.state]:
            raise ValueError(f"a call that is {self.state.value} can't be {state.value}")
        self.state = state


# Effects.


class Answered(msgspec.Struct):
    """Write this answer: 200 with a list or its changes, or 503."""

    call: Call
    status: int
    version: int = 0
    full: bool = False
    entries: tuple[Listed, ...] = ()


class Broken(msgspec.Struct):
    """Reset the call's connection."""

    call: Call


class Told(msgspec.Struct):
    """The entry was written to the node, or counts as told."""

    node: int
    entry: Listed
    counted: bool


Effect: TypeAlias = Answered | Broken | Told


def first(day: Day) -> tuple[int, tuple[Listed, ...]]:
    """Version and list as the day begins."""
    version = int(chance(day.seed, "roster", "version").integers(20, 2000))
    return version, tuple(Listed(b, "up", box.started) for b, box in enumerate(day.boxes) if not box.joins)


def held(day: Day, node: int) -> tuple[int, tuple[Listed, ...]]:
    """Version and list that a node holds as it starts, at whatever time: some lack the latest starts."""
    version, entries = first(day)
    late = chance(day.seed, "roster", "held", node).random() < OUT_OF_DATE
    if not late or not any(entry.started for entry in entries):
        return version, entries
    return version - 1, tuple(Listed(e.box, e.state, 0) for e in entries)


class _Node:
    """What the roster knows of a node and what that one was told."""

    __slots__ = ("told", "asked", "failed", "watch_until", "calls")

    def __init__(self, told: int, asked: int) -> None:
        self.told = told  # index of the first change that it was not told
        self.asked = asked  # when it asked last, or when its life began
        self.failed = False  # its last call
        self.watch_until = -(1 << 60)  # a call until then goes on with the watch
        self.calls: list[Call] = []  # in hand


class Roster:
    """Discovery.  `out` collects effects."""

    def __init__(self, day: Day, out: list[Effect]) -> None:
        self._spec, self._rules, self._out = day.roster, day.rules, out
        self._chance = chance(day.seed, "roster")
        self._phase = int(self._chance.integers(0, max(1, self._spec.period)))
        self.version, entries = first(day)
        self._oldest = self.version - 1  # what came before is not known
        self.list: dict[int, Listed] = {entry.box: entry for entry in entries}
        # What nodes with an old list lack is a change like any other.
        self.changes: list[Change] = [Change(self.version, 0, e) for e in entries if e.started]
        self._times = [0] * len(self.changes)
        self._processes = {entry.box: entry.started for entry in entries}  # that run: their start
        self._silent: set[int] = set()
        self._pending: list[tuple[int, int, str, Listed]] = []
        self._count = 0
        self._queue: deque[Call] = deque()
        self._free_at = 0  # it is busy until then
        self._serving: Call | None = None
        self._parked: dict[Call, None] = {}
        self.is_up = True
        self._bases = [
            len(self.changes) if held(day, n)[0] == self.version else 0 for n in range(len(day.nodes))
        ]
        self._nodes = [_Node(base, 0) for base in self._bases]
        self.next: int | None = None
        self._plan(0)

    # Facts.

    def heard(self, now: int, box: int, what: str) -> None:
        """A box's process: up, draining, down, fell, removed, silent or back.  It is listed later."""
        spec, started = self._spec, self._processes.get(box)
        if what == "up":
            if started is None:
                self._processes[box] = now
                self._later(now, spec.add, "up", Listed(box, "up", now))
        elif started is None:
            return
        elif what == "draining":
            self._later(now, spec.notice, "draining", Listed(box, "draining", started))
        elif what in ("down", "fell", "removed"):
            del self._processes[box]
            known = self.list.get(box)
            planned = what == "removed" or (known is not None and known.state == "draining")
            self._later(
                now,
                spec.notice if planned else spec.silent_notice,
                "removed",
                Listed(box, "removed", started),
            )
        elif what == "silent":
            # To the roster a machine that says nothing is like one that has died.
            self._silent.add(box)
            self._later(now, spec.silent_notice, "missed", Listed(box, "removed", started))
        elif what == "back" and box in self._silent:
            self._silent.discard(box)
            self._later(now, spec.add, "up", Listed(box, "up", started))
        self._plan(now)

    def _later(self, now: int, most: int, what: str, entry: Listed) -> None:
        due = now + int(most * (0.5 + 0.5 * self._chance.random()))
        period = max(1, self._spec.period)
        due += (self._phase - due) % period  # at its next look
        self._count += 1
        heappush(self._pending, (due, self._count, what, entry))

    def _look(self, now: int) -> None:
        news: list[Listed] = []
        while self._pending and self._pending[0][0] <= now:
            _, _, what, entry = heappop(self._pending)
            known = self.list.get(entry.box)
            if what == "up":
                fits = known is None or known.started != entry.started
                # It may have died before it was listed.
                fits = fits and self._processes.get(entry.box) == entry.started
            elif what == "missed":
                fits = known is not None and known.started == entry.started and entry.box in self._silent
            else:
                fits = known is not None and known.started == entry.started and known.state != entry.state
            if not fits:
                continue
            if entry.state == "removed":
                del self.list[entry.box]
            else:
                self.list[entry.box] = entry
            news.append(entry)
        if not news:
            return
        self.version += 1
        self.changes += [Change(self.version, now, entry) for entry in news]
        self._times += [now] * len(news)
        for call in self._parked:
            call.move(State.QUEUED)
            call.woken = True
            self._queue.append(call)
        self._parked.clear()

    # Calls.

    def call(self, now: int, node: int, after: int | None, wait: int, link: object) -> Call:
        """A node asks: for the whole list, or (`after`) for what is newer, waiting for it up to `wait`."""
        call = Call(node, after, min(wait, MOST_WAIT) if after is not None else 0, now, link)
        known = self._nodes[node]
        goes_on = self.is_up and bool(call.wait) and now <= known.watch_until
        known.asked, known.failed, known.watch_until = now, False, -(1 << 60)
        known.calls.append(call)
        if goes_on:
            # What became known in between counts as told: the node must hear it now, not in its next turn.
            self._tell(known, node, len(self.changes), True)
            call.move(State.SERVED)
            self._serve(now, call)
        else:
            self._queue.append(call)
            self._work(now)
        self._plan(now)
        return call

    def hang_up(self, now: int, call: Call) -> None:
        """The call's connection is gone."""
        if call.state is State.OVER:
            return
        self._over(now, call)
        self._work(now)
        self._plan(now)

    def _over(self, now: int, call: Call, failed: bool = False) -> None:
        call.move(State.OVER)
        self._parked.pop(call, None)
        known = self._nodes[call.node]
        known.calls.remove(call)
        if failed:
            known.failed, known.asked = True, now

    def _cost(self, call: Call) -> int:
        """Microseconds that its turn takes."""
        lines = len(self._answer(call)[1])
        calls = lines / max(1, self._spec.call_lines) + (0 if call.woken else 1)
        return int(calls / self._spec.capacity * SECOND)

    def _answer(self, call: Call) -> tuple[bool, dict[int, Listed]]:
        """Whether it is the whole list, and its lines."""
        after = call.after
        oldest = self.changes[-KEPT].version if len(self.changes) > KEPT else self._oldest
        if after is None or after > self.version or after < oldest:
            return True, self.list
        if after == self.version:
            return False, {}
        news: dict[int, Listed] = {}
        for change in reversed(self.changes):
            if change.version <= after:
                break
            news.setdefault(change.entry.box, change.entry)
        return False, news

    def _work(self, now: int) -> None:
        """Takes calls in turn for as long as it has time for them."""
        while True:
            if self._serving is not None:
                if self._free_at > now:
                    return
                call, self._serving = self._serving, None
                if call.state is State.SERVED:
                    self._serve(now, call)
            while self._queue and self._queue[0].state is not State.QUEUED:
                self._queue.popleft()
            if not self._queue or not self.is_up:
                return
            call = self._queue.popleft()
            if not call.woken and now >= call.at + self._spec.timeout:
                self._refuse(now, call)
                continue
            call.move(State.SERVED)
            self._serving = call
            self._free_at = now + self._cost(call)

    def _serve(self, now: int, call: Call) -> None:
        full, lines = self._answer(call)
        if not lines and not full and now < call.at + call.wait:
            call.move(State.PARKED)
            self._parked[call] = None
            return
        known = self._nodes[call.node]
        if call.wait:
            known.watch_until = now + GOES_ON
        known.asked = now
        self._over(now, call)
        self._out.append(Answered(call, 200, self.version, full, tuple(lines.values())))
        self._tell(known, call.node, len(self.changes), False)

    def _refuse(self, now: int, call: Call) -> None:
        self._over(now, call, failed=True)
        self._out.append(Answered(call, 503))

    def down(self, now: int) -> None:
        """Resets whatever is open and refuses what is new; it sees no changes either."""
        self.is_up, self._serving = False, None
        for node in self._nodes:
            for call in list(node.calls):
                self._over(now, call, failed=True)
                self._out.append(Broken(call))
        self._queue.clear()
        self._plan(now)

    def up(self, now: int) -> None:
        self.is_up, self._free_at = True, now
        self._plan(now)

    def life(self, now: int, node: int) -> None:
        """The node starts anew with its first list."""
        calls = self._nodes[node].calls
        self._nodes[node] = _Node(self._bases[node], now)
        self._nodes[node].calls = calls  # resets will end them
        self._plan(now)

    # What counts as told.

    def _tell(self, known: _Node, node: int, until: int, counted: bool) -> None:
        latest: dict[int, Listed] = {}
        for change in self.changes[known.told : until]:
            latest.pop(change.entry.box, None)
            latest[change.entry.box] = change.entry
        known.told = max(known.told, until)
        self._out.extend(Told(node, entry, counted) for entry in latest.values())

    def _counts_at(self, known: _Node) -> int | None:
        """When the first change that the node was not told counts as told; None: it was told all."""
        if known.told >= len(self.changes):
            return None
        since = self._times[known.told]
        if known.calls:
            call = known.calls[0]
            return max(since, call.at + call.wait) + (WAITED if call.wait else ANSWERED)
        return max(since, known.asked) + self._rules.ask_within * (FAILED if known.failed else 1)

    def _count_told(self, now: int) -> None:
        for number, known in enumerate(self._nodes):
            due = self._counts_at(known)
            if due is None or due > now:
                continue
            if known.calls:
                until = len(self.changes)
            else:
                within = self._rules.ask_within * (FAILED if known.failed else 1)
                until = bisect_right(self._times, now - within)
            self._tell(known, number, until, True)

    # Time.

    def _plan(self, now: int) -> None:
        due: list[int] = []
        if self.is_up:
            if self._pending:
                due.append(self._pending[0][0])
            if self._serving is not None:
                due.append(self._free_at)
            due += [
                call.at + self._spec.timeout
                for call in self._queue
                if call.state is State.QUEUED and not call.woken
            ][:1]
            due += [call.at + call.wait for call in self._parked]
        due += [at for node in self._nodes if (at := self._counts_at(node)) is not None]
        self.next = max(now, min(due)) if due else None

    def advance(self, now: int) -> None:
        """Does what is due; call it when `next` has come."""
        if self.is_up:
            self._look(now)
            for call in list(self._queue):
                if call.state is State.QUEUED and not call.woken and now >= call.at + self._spec.timeout:
                    self._refuse(now, call)
            for call in [c for c in self._parked if now >= c.at + c.wait]:
                call.move(State.QUEUED)
                call.woken = True
                del self._parked[call]
                self._queue.append(call)
            self._work(now)
        self._count_told(now)
        self._plan(now)
