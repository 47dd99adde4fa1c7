"""Job boxes and roster: the models by events and effects, the parties over loopback."""

from __future__ import annotations

import json
import time
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from violetsaddle.lab import ids, wire
from violetsaddle.lab import records as rec
from violetsaddle.lab.parties.boxes import BoxesParty
from violetsaddle.lab.parties.roster import RosterParty, listing
from violetsaddle.lab.scene import Address, Scene
from violetsaddle.world import boxes, roster
from violetsaddle.world.boxes import Box, Groups, Mode, Run, State, Step
from violetsaddle.world.day import (
    MS,
    SECOND,
    BoxSpec,
    ClassSpec,
    Day,
    Item,
    Kind,
    LinkSpec,
    LoadSpec,
    RosterSpec,
    TenantSpec,
    Trouble,
)

SAFE, KEYED, UNSAFE = 0, 1, 2


def spec(name: str, hall: int = 0, **more: Any) -> BoxSpec:
    base = BoxSpec(
        name,
        hall,
        0,
        hall,
        cores=2,
        speed=2.0,
        slots=2,
        queue=3,
        connections=4,
        handshake=1000,
        handshake_delay=0,
        probe=300,
        report_every=500 * MS,
        keepalive=5 * SECOND,
    )
    return msgspec.structs.replace(base, **more)


def make_day(*specs: BoxSpec, troubles: tuple[Trouble, ...] = (), **more: Any) -> Day:
    classes = tuple(
        ClassSpec(
            name,
            effect,
            0.3,
            200 * MS,
            1.0,
            200 * MS,
            2.5,
            5 * SECOND,
            5.0,
            "zone",
            7500 * MS if effect == "keyed" else 0,
        )
        for name, effect in (("quote", "safe"), ("charge", "keyed"), ("settle", "unsafe"))
    )
    return Day(
        "test",
        7,
        50 * SECOND,
        ("a", "b"),
        (0, 1),
        (Kind("k", 2, 2.0),),
        specs or (spec("s0"), spec("s1")),
        classes,
        (TenantSpec("t", 1.0, 1.0),),
        LinkSpec(200, 500, 500, 0.1, 1000, 9000, 0.0, 0.0, 0.0),
        LoadSpec(10, 0, SECOND, (0.5, 0.5), 3, 0, 0, SECOND, 0, 0.1, 0),
        RosterSpec(SECOND, 8 * SECOND, 2 * SECOND, 500 * MS, 20.0, 40, SECOND),
        troubles=troubles,
        **more,
    )


def job(number: int, cls: int = SAFE, work: int = 100 * MS, slots: int = 1) -> Item:
    return Item(
        number, 0, cls, 0, 0, work, work, slots, f"key{number}" if cls == KEYED else "", "", False, 0, b""
    )


class World:
    """Boxes whose effects are kept; `until` moves time and calls `advance` when it is due."""

    def __init__(self, day: Day) -> None:
        self.day, self.now, self.out, self.log = day, 0, list[boxes.Effect](), list[boxes.Effect]()
        self.groups = Groups(day)
        self.boxes = [Box(day, b, self.groups, self.out) for b in range(len(day.boxes))]
        for box in self.boxes:
            box.started_before(box.spec.started)
        self.take()

    def take(self) -> list[boxes.Effect]:
        taken, self.out[:] = list(self.out), []
        self.log += taken
        return taken

    def until(self, at: int) -> list[boxes.Effect]:
        """Everything that comes out up to then."""
        mark = len(self.log)
        self.take()
        while True:
            due = [(box.next, box.index) for box in self.boxes if box.next is not None and box.next <= at]
            if not due:
                break
            when, index = min(due)
            self.now = max(self.now, when)
            self.boxes[index].advance(self.now)
            self.take()
        self.now = at
        return self.log[mark:]

    def come(
        self, item: Item, box: int = 0, remaining: int = 5 * SECOND, node: int = 0, delay: int = 0
    ) -> Run:
        return self.boxes[box].come(self.now, f"t{item.number}", item, node, remaining, None, delay)

    def words(self, run: Run) -> list[str]:
        """The run's story in short."""
        self.take()
        story = []
        for effect in self.log:
            if getattr(effect, "run", None) is run:
                name = type(effect).__name__.lower()
                detail = (
                    getattr(effect, "status", None)
                    or getattr(effect, "state", None)
                    or getattr(effect, "how", None)
                )
                story.append(f"{name} {detail}" if detail else name)
        return story


class LivesTest(unittest.TestCase):
    def test_table(self) -> None:
        """Every state is reached, every end is an end, and from every other state each run can end."""
        reached = {State.COMING} | set(boxes.MOVES.values())
        self.assertEqual(reached, set(State))
        for state in State:
            steps = {step for at, step in boxes.MOVES if at is state}
            self.assertEqual(not steps, state in boxes.ENDS, state)
            if steps:
                self.assertLessEqual({Step.CANCEL, Step.DIE}, steps, state)
        # What has begun is never turned away.
        self.assertNotIn((State.RUNNING, Step.TURN_AWAY), boxes.MOVES)

    def test_life_of_a_job(self) -> None:
        world = World(make_day())
        run = world.come(job(1, work=4200 * MS))
        world.until(2100 * MS - 1)
        self.assertFalse(run.over)
        world.until(2100 * MS)
        self.assertEqual(
            world.words(run),
            [
                "reply 202",
                "begun",
                "tell started",
                "tell running",
                "tell running",
                "effected",
                "over done",
                "tell done",
            ],
        )

    def test_order_and_queue(self) -> None:
        """The first waits until it fits, and nobody overtakes it; beyond the queue jobs are turned away."""
        world = World(make_day())
        one, two = world.come(job(1, work=100 * MS)), world.come(job(2, work=400 * MS))
        wide, small = world.come(job(3, slots=2)), world.come(job(4))
        away = world.come(job(5))
        self.assertEqual(away.state, State.TURNED_AWAY)
        self.assertEqual(world.words(away), ["reply 503", "turnedaway 503"])
        world.until(150 * MS)
        self.assertEqual(
            [r.state for r in (one, two, wide, small)],
            [State.DONE, State.RUNNING, State.WAITING, State.WAITING],
        )
        world.until(225 * MS)
        self.assertEqual([r.state for r in (wide, small)], [State.RUNNING, State.WAITING])

    def test_nobody_waits_any_more(self) -> None:
        world = World(make_day(spec("s0", slots=1)))
        world.come(job(1, work=2 * SECOND))
        late = world.come(job(2), remaining=500 * MS)
        world.until(2 * SECOND)
        self.assertEqual(world.words(late), ["reply 202", "turnedaway", "tell returned"])

    def test_expected(self) -> None:
        """The yardstick's guess is right where nothing else comes, also on a box that warms up."""
        for started in (0, -SECOND):
            world = World(make_day(spec("s0", started=started)))
            guess = world.boxes[0].expected(0, 500 * MS)
            run = world.come(job(1, work=500 * MS))
            world.until(guess - 2)
            self.assertFalse(run.over)
            world.until(guess + 2)
            self.assertTrue(run.over)

    def test_slow_and_errors_and_pause(self) -> None:
        world = World(make_day())
        box = world.boxes[0]
        run = world.come(job(1, work=400 * MS))
        world.until(100 * MS)
        box.slow(world.now, 4.0)  # half is done, the rest takes four times as long
        world.until(300 * MS)
        box.pause(world.now, True)
        world.until(900 * MS)
        box.pause(world.now, False)
        world.until(1100 * MS - 1)
        self.assertFalse(run.over)
        world.until(1100 * MS)
        self.assertTrue(run.over)
        box.errors(world.now, 1.0)
        ends = Counter(tuple(world.words(world.come(job(n)))) for n in range(10, 40))
        self.assertEqual(
            set(ends), {("reply 500", "over failed"), ("reply 202", "over failed", "tell failed")}
        )

    def test_crash_and_resume(self) -> None:
        """What ran is lost, some of it told; a SAFE job goes on from its saved state at the next box."""
        world = World(make_day(spec("s0", slots=40), spec("s1")))
        run = world.come(job(1, work=10 * SECOND))
        world.until(2500 * MS)
        world.boxes[0].crash(world.now)
        self.assertEqual(
            world.words(run)[-3:-1] if world.words(run)[-1] == "tell lost" else world.words(run)[-2:],
            ["effected", "over lost"],
        )
        again = world.come(job(1, work=10 * SECOND), box=1)
        self.assertEqual(again.resumed, 4 * SECOND)
        world.until(2500 * MS + 3 * SECOND)
        self.assertEqual(again.state, State.DONE)
        world.boxes[0].start(world.now)
        self.assertLess(world.boxes[0].warmth(world.now), 0.3)
        many = [world.come(job(n, work=SECOND // 100)) for n in range(100, 140)]
        world.boxes[0].crash(world.now)
        told = [e for e in world.take() if isinstance(e, boxes.Tell) and e.state == "lost"]
        self.assertTrue(all(run.state is State.LOST for run in many))
        self.assertTrue(8 < len(told) < 32 and all(20 * MS <= e.after < 200 * MS for e in told), len(told))

    def test_planned_stop(self) -> None:
        world = World(make_day())
        runs = [world.come(job(n, work=SECOND)) for n in range(3)]
        world.boxes[0].drain(world.now)
        self.assertEqual(world.come(job(9)).state, State.TURNED_AWAY)
        self.assertIsNone(world.boxes[0].probe(world.now))
        world.boxes[0].stop(world.now, for_good=True)
        self.assertEqual([r.state for r in runs], [State.LOST, State.LOST, State.TURNED_AWAY])

    def test_connections_and_probes(self) -> None:
        world = World(make_day())
        box = world.boxes[0]
        self.assertEqual([box.connect(0) for _ in range(5)], [True] * 4 + [False])
        box.hang_up()
        self.assertTrue(box.connect(0))
        runs = [world.come(job(n, work=200 * MS)) for n in (1, 2)]
        for _ in range(10):
            box.probe(0)  # 3 ms of work, on both cores
        world.until(100 * MS)
        self.assertFalse(runs[0].over)
        world.until(101 * MS)
        self.assertTrue(runs[0].over)

    def test_reports(self) -> None:
        world = World(make_day(spec("s0", slots=4, cores=4)))
        box = world.boxes[0]
        for n in range(3):
            world.come(job(n, work=8 * SECOND))
        world.until(1100 * MS)
        report = box.probe(world.now)
        assert report is not None
        self.assertEqual((report.x0, report.utilization), (1, 0.75))
        self.assertLessEqual(world.now - report.at, 500 * MS)
        box.reports(world.now, Mode.STALE, 900 * MS)
        older = box.probe(world.now)
        assert older is not None
        self.assertLessEqual(older.at, world.now - 900 * MS)
        box.reports(world.now, Mode.FROZEN)
        world.until(5 * SECOND)
        self.assertEqual(box.probe(world.now), report)
        box.reports(world.now, Mode.LIE)
        self.assertEqual(box.probe(world.now), boxes.Report(world.now, 4, 0.0, 0.0))

    def test_cold_box_falls_exactly_when_pushed_over(self) -> None:
        for share, falls in ((0.97, False), (1.03, True)):
            world = World(make_day(spec("s0", queue=0, started=-1)))
            box, work = world.boxes[0], 100 * MS
            sent = 0.0
            # Sent is what comes within two seconds before, whether it is taken or not.
            recent: list[tuple[int, int]] = []
            for step in range(1, 300):
                world.until(step * 20 * MS)
                if not box.up:
                    break
                recent = [(at, w) for at, w in recent if at > world.now - 2 * SECOND]
                if sum(w for _, w in recent) + work <= share * box.budget(world.now) or falls:
                    recent.append((world.now, work))
                    sent = sum(w for _, w in recent) / box.budget(world.now)
                    world.come(job(step, work=work), node=step % 2)
            self.assertEqual(not box.up, falls)
            lives = [e for e in world.log if isinstance(e, boxes.Life) and e.what == "fell"]
            if falls:
                self.assertGreater(sent, 1)
                self.assertEqual(sum(work for _, work in lives[0].by), sum(w for _, w in recent))
                down = world.now - 20 * MS
                world.until(down + boxes.FELL_FOR - 1)
                self.assertFalse(box.up)
                world.until(down + boxes.FELL_FOR)
                self.assertTrue(box.up and box.life == 1 and box.warmth(world.now) < 0.2)
                world.until(world.now + 23 * SECOND)
                self.assertEqual(box.warmth(world.now), 1.0)

    def test_repeats(self) -> None:
        """One effect in a group and window; a repeat waits for the first's result, or takes its place."""
        world = World(make_day(spec("s0"), spec("s1"), spec("s2", hall=1)))
        first, repeat = world.come(job(1, KEYED)), world.come(job(1, KEYED), box=1)
        other = world.come(job(1, KEYED), box=2)  # another hall knows nothing
        world.until(60 * MS)
        self.assertEqual([r.state for r in (first, repeat, other)], [State.DONE] * 3)
        self.assertEqual(world.words(repeat), ["reply 202", "effected", "over done", "tell done"])
        results = {e.run: e.result for e in world.log if isinstance(e, boxes.Over)}
        self.assertEqual(results[first], results[repeat])
        self.assertNotEqual(results[first], results[other])
        world.until(7500 * MS)
        self.assertEqual(world.come(job(1, KEYED), box=1).state, State.DONE)
        world.until(7600 * MS)
        self.assertEqual(world.come(job(1, KEYED), box=1).state, State.RUNNING)
        gone, next_one = world.come(job(2, KEYED)), world.come(job(2, KEYED), box=1)
        third = world.come(job(2, KEYED))
        self.assertEqual([next_one.state, third.state], [State.FOLLOWING] * 2)
        world.boxes[0].close(world.now, gone)  # after the 202 that means nothing
        world.boxes[0].crash(world.now)
        self.assertEqual([r.state for r in (gone, next_one, third)], [State.LOST, State.RUNNING, State.LOST])
        last = world.come(job(2, KEYED), box=1)
        world.until(world.now + 100 * MS)
        self.assertEqual([r.state for r in (next_one, last)], [State.DONE] * 2)
        self.assertEqual(world.words(last)[1], "effected")

    def test_several_repeats(self) -> None:
        """They all follow the one that takes the place of the first."""
        world = World(make_day(spec("s0"), spec("s1"), spec("s2")))
        world.come(job(1, KEYED))
        runs = [world.come(job(1, KEYED), box=1 + n % 2) for n in range(4)]
        world.boxes[0].cancel(0, "t1")
        self.assertEqual([r.state for r in runs], [State.RUNNING] + [State.FOLLOWING] * 3)
        world.until(60 * MS)
        self.assertEqual([r.state for r in runs], [State.DONE] * 4)
        self.assertEqual(sum(isinstance(e, boxes.Effected) and not e.dropped for e in world.log), 1)

    def test_handshake(self) -> None:
        """A run that its new connection's handshake holds up; closing gives it up, its DELETE too."""
        world = World(make_day())
        closed, deleted, kept = (world.come(job(n), delay=2 * MS) for n in range(3))
        self.assertEqual([r.state for r in (closed, deleted, kept)], [State.COMING] * 3)
        world.boxes[0].close(0, closed)
        world.boxes[0].cancel(0, "t1")
        world.until(2 * MS)
        self.assertEqual(world.words(closed), ["givenup closed", "over cancelled"])
        self.assertEqual(world.words(deleted), ["givenup delete", "over cancelled"])
        self.assertEqual(kept.state, State.RUNNING)

    def test_plan(self) -> None:
        """Times in which a box is gone may overlap; it is back at the end of the last."""
        troubles = (
            Trouble("crash", 10, 20, (0,)),
            Trouble("crash", 15, 30, (0,)),
            Trouble("flap", 40, 70, (0,), factor=1e-5),
            Trouble("drain", 100, 200, (0,)),
            Trouble("crash", 120, 130, (0,)),
            Trouble("cold", 0, 100, (1,)),
        )
        day = make_day(troubles=troubles)
        self.assertEqual(
            [(c.at, c.what) for c in boxes.plan(day, 0)],
            [
                (10, "crash"),
                (30, "start"),
                (40, "crash"),
                (50, "start"),
                (60, "crash"),
                (70, "start"),
                (100, "drain"),
                (120, "crash"),
                (130, "start"),
                (131, "drain"),
                (200, "remove"),
            ],
        )
        self.assertEqual(
            [(c.at, c.what) for c in boxes.plan(day, 1)], [(0, "drain"), (75, "stop"), (100, "start")]
        )


class BoxMachine(RuleBasedStateMachine):
    """Two boxes of a hall under whatever comes."""

    @initialize(started=st.sampled_from((0, -SECOND)))
    def begin(self, started: int) -> None:
        self.world = World(make_day(spec("s0", started=started), spec("s1")))
        self.runs: list[Run] = []

    @rule(
        box=st.integers(0, 1),
        number=st.integers(0, 5),
        cls=st.integers(0, 2),
        slots=st.integers(1, 2),
        work=st.integers(1, 3 * SECOND),
        delay=st.sampled_from((0, 2 * MS)),
    )
    def come(self, box: int, number: int, cls: int, slots: int, work: int, delay: int) -> None:
        if self.world.boxes[box].up:
            item = job(number + 10 * cls, cls, work, slots)
            self.runs.append(self.world.come(item, box, remaining=SECOND, delay=delay))

    @precondition(lambda self: self.runs)
    @rule(index=st.integers(0, 99), how=st.booleans())
    def give_up(self, index: int, how: bool) -> None:
        run = self.runs[index % len(self.runs)]
        was = run.state
        if how:
            run.box.cancel(self.world.now, run.txn)
            assert run.over
        else:
            run.box.close(self.world.now, run)
            assert run.state is (State.CANCELLED if was is State.COMING else was)

    @rule(
        box=st.integers(0, 1),
        what=st.sampled_from(("crash", "drain", "slow", "normal", "pause", "go", "stop")),
    )
    def trouble(self, box: int, what: str) -> None:
        one, now = self.world.boxes[box], self.world.now
        if what == "crash":
            one.crash(now)
        elif what == "drain":
            one.drain(now)
        elif what == "stop":
            one.stop(now, for_good=False)
        elif what in ("pause", "go"):
            one.pause(now, what == "pause")
        else:
            one.slow(now, 5.0 if what == "slow" else 1.0)
        if not one.up:
            one.start(now)

    @rule(by=st.integers(1, 2 * SECOND))
    def go(self, by: int) -> None:
        self.world.until(self.world.now + by)

    @invariant()
    def slots_are_kept(self) -> None:
        if not hasattr(self, "world"):
            return
        for box in self.world.boxes:
            mine = [r for r in self.runs if r.box is box and r.life == box.life]
            for state, slots, most in (
                (State.RUNNING, box.running, box.spec.slots),
                (State.WAITING, box.waiting, 1 << 30),
            ):
                assert slots == sum(r.item.slots for r in mine if r.state is state) <= most

    @invariant()
    def order_is_kept(self) -> None:
        """Nobody waits while the first of the queue would fit."""
        if hasattr(self, "world"):
            for box in self.world.boxes:
                waiting = [r for r in box._queue if r.state is State.WAITING]
                assert not waiting or box.running + waiting[0].item.slots > box.spec.slots

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        for box in self.world.boxes:
            box.pause(self.world.now, False)
        self.world.until(self.world.now + 600 * SECOND)
        ends = Counter(e.run for e in self.world.log if isinstance(e, boxes.Over)) + Counter(
            e.run for e in self.world.log if isinstance(e, boxes.TurnedAway)
        )
        assert all(ends[run] == 1 for run in self.runs), "every run ends exactly once"
        begun = [e.run for e in self.world.log if isinstance(e, boxes.Begun)]
        assert len(begun) == len(set(begun))
        finals = Counter(
            e.run
            for e in self.world.log
            if isinstance(e, boxes.Tell) and e.state not in ("started", "running")
        )
        for run in self.runs:
            # No word of a run that was given up; one last word of each that is done.
            assert finals[run] <= (run.state is not State.CANCELLED)
            assert finals[run] == 1 or run.state is not State.DONE
        for key in range(10, 16):
            times = [
                e.run
                for e in self.world.log
                if isinstance(e, boxes.Effected) and not e.dropped and e.run.item.number == key
            ]
            until = 0
            for run in times:
                assert run.until - SECOND >= until, "a second effect within the window"
                until = run.until - SECOND + 7500 * MS
        assert all(b.running == b.waiting == 0 and not b._runs and b.next is None for b in self.world.boxes)


BoxMachineTest = BoxMachine.TestCase
BoxMachineTest.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Asker:
    """A node that applies what it is told to the list it holds."""

    def __init__(self, day: Day, node: int) -> None:
        self.node = node
        self.version, entries = roster.held(day, node)
        self.list = {e.box: e for e in entries}

    def take(self, answer: roster.Answered) -> None:
        if answer.full:
            self.list = {}
        for entry in answer.entries:
            if entry.state == "removed":
                self.list.pop(entry.box, None)
            else:
                self.list[entry.box] = entry
        self.version = answer.version


class RosterWorld:
    def __init__(self, day: Day) -> None:
        self.now, self.out = 0, list[roster.Effect]()
        self.roster = roster.Roster(day, self.out)
        self.askers = [Asker(day, node) for node in range(len(day.nodes))]
        self.told: list[tuple[int, int, roster.Listed, bool]] = []
        self.answers: list[tuple[int, roster.Answered]] = []

    def take(self) -> None:
        for effect in self.out:
            if isinstance(effect, roster.Told):
                self.told.append((self.now, effect.node, effect.entry, effect.counted))
            elif isinstance(effect, roster.Answered):
                self.answers.append((self.now, effect))
                if effect.status == 200:
                    asker = self.askers[effect.call.node]
                    asker.take(effect)
                    # What counts as told can't be more than what is listed; what is written is all of it.
                    assert asker.list == self.roster.list and asker.version == self.roster.version
        self.out.clear()

    def until(self, at: int) -> None:
        while self.roster.next is not None and self.roster.next <= at:
            self.now = max(self.now, self.roster.next)
            self.roster.advance(self.now)
            self.take()
        self.now = at

    def ask(self, node: int, watch: int = 0) -> roster.Call:
        after = self.askers[node].version if watch else None
        call = self.roster.call(self.now, node, after, watch, None)
        self.take()
        return call


class RosterTest(unittest.TestCase):
    def test_calls_end(self) -> None:
        for state, then in roster.MOVES.items():
            self.assertEqual(state is not roster.State.OVER, roster.State.OVER in then)
        with self.assertRaises(ValueError):
            roster.Call(0, None, 0, 0, None).move(roster.State.PARKED)

    def test_late_listing(self) -> None:
        """Planned changes are listed soon, deaths late, and a box that is back in time was never gone."""
        world = RosterWorld(make_day(spec("s0"), spec("s1"), spec("s2")))
        for box, what in ((0, "draining"), (1, "down"), (2, "down")):
            world.roster.heard(0, box, what)
        world.until(SECOND)
        world.roster.heard(world.now, 2, "up")
        world.until(1500 * MS)
        self.assertEqual(world.roster.list[0].state, "draining")
        world.until(3500 * MS)
        self.assertEqual(world.roster.list[2].started, SECOND)
        self.assertIn(1, world.roster.list)
        world.until(9 * SECOND)
        self.assertEqual(sorted(world.roster.list), [0, 2])

    def test_queue(self) -> None:
        """Calls are served in turn; one that waits too long ends with 503, and then a node has longer."""
        day = make_day()
        day = msgspec.structs.replace(
            day, nodes=(0,) * 4, roster=msgspec.structs.replace(day.roster, capacity=2.0)
        )
        world = RosterWorld(day)
        for node in range(4):
            world.ask(node)
        world.until(3 * SECOND)
        self.assertEqual(
            [(at, a.call.node, a.status) for at, a in world.answers],
            [(525 * MS, 0, 200), (SECOND, 2, 503), (SECOND, 3, 503), (1050 * MS, 1, 200)],
        )
        world.roster.heard(3 * SECOND, 0, "draining")
        world.until(50 * SECOND)
        counted = {node: at for at, node, entry, counted in world.told if counted}
        listed = world.roster.changes[-1].at
        self.assertEqual(
            counted,
            {
                0: listed + 10 * SECOND,
                1: listed + 10 * SECOND,
                2: listed + 40 * SECOND,
                3: listed + 40 * SECOND,
            },
        )

    def test_counts_as_told(self) -> None:
        world = RosterWorld(make_day())
        world.ask(0, 20 * SECOND)
        world.roster.heard(0, 0, "draining")
        world.until(3 * SECOND)
        listed = world.roster.changes[-1].at
        self.assertEqual([(n, e.state, c) for at, n, e, c in world.told], [(0, "draining", False)])
        written = world.told[0][0]
        self.assertLess(written - listed, 100 * MS)
        # A watch that goes on within 200 ms was told of what came in between; another call was not.
        for wait, counts in ((200 * MS, True), (201 * MS, False)):
            world = RosterWorld(make_day())
            world.ask(0, 300 * MS)
            world.until(0)
            while not world.answers:
                world.until(world.now + MS)
            at = world.answers[0][0]
            news = roster.Listed(0, "up", 5)
            world.roster.changes.append(roster.Change(world.roster.version + 1, at, news))
            world.roster._times.append(at)
            world.roster.version += 1
            world.roster.list[0] = news
            world.until(at + wait)
            world.ask(0, SECOND)
            self.assertEqual([c for _, _, _, c in world.told], [True] if counts else [])
            # What counts as told is written at once, however many calls wait for their turn.
            self.assertEqual([t for t, _ in world.answers[1:]], [world.now] if counts else [])

    def test_outage_and_new_life(self) -> None:
        world = RosterWorld(make_day())
        world.ask(0, 20 * SECOND)
        world.until(SECOND)
        world.roster.down(world.now)
        self.assertEqual([type(e) for e in world.out], [roster.Broken])
        world.take()
        world.roster.heard(world.now, 0, "draining")
        world.until(5 * SECOND)
        self.assertEqual(world.roster.list[0].state, "up")
        world.roster.up(world.now)
        world.until(6 * SECOND)
        self.assertEqual(world.roster.list[0].state, "draining")
        world.ask(0)
        world.until(8 * SECOND)
        world.roster.life(world.now, 0)
        world.ask(0)
        world.until(10 * SECOND)
        self.assertEqual([(n, e.state, c) for _, n, e, c in world.told], [(0, "draining", False)] * 2)


class RosterMachine(RuleBasedStateMachine):
    """Nodes ask as they like: what they apply always gives the whole list (checked as answers come)."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RosterWorld(make_day(*(spec(f"s{n}", started=-n) for n in range(4))))

    @rule(box=st.integers(0, 3), what=st.sampled_from(("up", "draining", "down", "silent", "back")))
    def heard(self, box: int, what: str) -> None:
        self.world.roster.heard(self.world.now, box, what)

    @rule(node=st.integers(0, 1), wait=st.sampled_from((0, SECOND, 60 * SECOND)))
    def ask(self, node: int, wait: int) -> None:
        if not self.world.roster._nodes[node].calls:
            self.world.ask(node, wait)

    @rule(by=st.integers(1, 5 * SECOND))
    def go(self, by: int) -> None:
        self.world.until(self.world.now + by)

    @rule(on=st.booleans())
    def outage(self, on: bool) -> None:
        (self.world.roster.up if on else self.world.roster.down)(self.world.now)
        self.world.take()

    def teardown(self) -> None:
        self.world.roster.up(self.world.now)
        self.world.until(self.world.now + 200 * SECOND)
        changes = len(self.world.roster.changes)
        assert all(node.told == changes for node in self.world.roster._nodes), "all counts as told in the end"
        assert not any(node.calls for node in self.world.roster._nodes) and self.world.roster.next is None


RosterMachineTest = RosterMachine.TestCase
RosterMachineTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


class Talk(Protocol):
    """A connection of the test's: keeps what comes, a node's answers 204 to each callback."""

    transport: Any

    def __init__(self, stage: Stage, answers: bool) -> None:
        self.stage, self.reader, self.answers = stage, wire.Reader(answers), answers
        self.heard: list[wire.Message] = []
        self.lost = self.up = False

    def connectionMade(self) -> None:
        self.up = True

    def dataReceived(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            self.heard.append(message)
            if not self.answers:
                self.stage.calls.append(json.loads(message.body))
                if self.stage.replies:
                    self.transport.write(wire.answer(204))
                else:
                    self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True


class Node(Factory):
    noisy = False

    def __init__(self, stage: Stage) -> None:
        self.stage = stage

    def buildProtocol(self, addr: object) -> Talk:
        return Talk(self.stage, answers=False)


class Dial(ClientFactory):
    noisy = False

    def __init__(self, talk: Talk) -> None:
        self.talk = talk

    def buildProtocol(self, addr: object) -> Talk:
        return self.talk


class Here:
    """Everything at 127.0.0.1, at whatever ports there are."""

    def __init__(self, reactor: Any, node: Node) -> None:
        self.nodes = [reactor.listenTCP(0, node, interface="127.0.0.1") for _ in range(2)]

    def node(self, node: int) -> Address:
        return "127.0.0.1", self.nodes[node].getHost().port

    def box(self, node: int, box: int) -> Address:
        return "127.0.0.1", 0

    peer = node
    roster = relay = box


class Stage:
    """Boxes and roster on one of Twisted's reactors, with two nodes that do nothing but answer callbacks."""

    def __init__(self, *troubles: Trouble) -> None:
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.day = make_day(spec("s0", keepalive=400 * MS), spec("s1", joins=40 * SECOND), troubles=troubles)
        self.items = [job(n, n % 3, 20 * MS) for n in range(9)]
        self.calls: list[dict[str, Any]] = []
        self.replies = True
        self.here = Here(self.reactor, Node(self))
        began = time.monotonic_ns() // 1000
        self.ledger = rec.Ledger()
        scene = Scene(
            self.day,
            self.reactor,
            lambda: time.monotonic_ns() // 1000 - began,
            self.ledger,
            self.here,
            links=False,
        )
        self.boxes = BoxesParty(scene, items=self.items)
        self.roster = RosterParty(scene, 1_700_000_000 * SECOND, self.boxes)
        self.boxes.start()
        self.roster.start()

    def talk(self, port: int) -> Talk:
        talk = Talk(self, answers=True)
        self.reactor.connectTCP("127.0.0.1", port, Dial(talk))
        self.until(lambda: talk.up, "a connection")
        return talk

    def to_box(self, box: int = 0, node: int = 0) -> Talk:
        return self.talk(self.boxes.addresses()[node, box][1])

    def until(self, done: Callable[[], object], what: str) -> None:
        late: list[bool] = []
        call = self.reactor.callLater(10, late.append, True)
        while not done() and not late:
            self.reactor.iterate(0.01)
        if late:
            raise AssertionError(f"never: {what}; {self.ledger.records[-9:]}")
        call.cancel()

    def records(self, kind: type[Any]) -> list[Any]:
        return [r for r in self.ledger.records if isinstance(r, kind)]

    def job(self, item: int) -> bytes:
        return wire.request(
            "POST",
            "/api",
            "x",
            {
                "X-Txn": ids.txn(7, item, 0),
                "X-Remaining": "5000m",
                **({"Idempotency-Key": self.items[item].key} if self.items[item].key else {}),
            },
            self.items[item].body,
        )

    def close(self) -> None:
        self.boxes.stop()
        self.roster.stop()
        for port in self.here.nodes:
            port.stopListening()
        for _ in range(20):
            self.reactor.iterate(0)
        left = [c for c in self.reactor.getDelayedCalls() if c.active()]
        assert not left, f"timers left over: {left}"
        for reader in self.reactor.removeAll():
            reader.connectionLost(connectionDone)
        self.reactor._poller.close()


class PartyTest(unittest.TestCase):
    def stage(self, *troubles: Trouble) -> Stage:
        stage = Stage(*troubles)
        self.addCleanup(stage.close)
        return stage

    def test_jobs(self) -> None:
        """Requests cut anywhere and sent ahead are served in turn; callbacks of a run come in order."""
        stage = self.stage()
        talk = stage.to_box()
        sent = (
            stage.job(0)
            + stage.job(1)
            + wire.request("GET", "/metrics/load", "x")
            + wire.request("GET", "/nowhere", "x")
            + wire.request("DELETE", "/jobs/none", "x")
        )
        for at in range(0, len(sent), 50):
            talk.transport.write(sent[at : at + 50])
            stage.reactor.iterate(0)
        stage.until(lambda: len(stage.records(rec.Called)) == 4, "all callbacks")
        self.assertEqual([m.status for m in talk.heard], [202, 202, 200, 404, 204])
        self.assertRegex(talk.heard[2].body.decode(), r"^x0=\d,utilization=[\d.]+,errors_per_s=0.000$")
        for item, come in enumerate(stage.records(rec.Came)):
            self.assertEqual((come.txn, come.node, come.body_same), (ids.txn(7, item, 0), 0, True))
            self.assertLess(come.first_at, come.at)
            story = [type(r).__name__ for r in stage.ledger.records if getattr(r, "run", None) == come.run]
            self.assertEqual(story, ["Came", "Took", "Began", "Called", "Effect", "Ended", "Called"])
            calls = [c for c in stage.calls if c["id"] == come.txn]
            self.assertEqual([(c["from"], c["state"]) for c in calls], [("s0", "started"), ("s0", "done")])
            self.assertIn(calls[1]["result"], [r.result for r in stage.records(rec.Ended)])
        stage.until(lambda: talk.lost, "the end of an idle connection")
        self.assertFalse(stage.records(rec.Strange))

    def test_strange(self) -> None:
        stage = self.stage()
        for sent, status in (
            (b"NONSENSE\r\n\r\n", 0),
            (wire.request("POST", "/api", "x"), 404),
            (wire.request("POST", "/api", "x", {"X-Txn": "a", "X-Remaining": "1m"}), 400),
        ):
            talk = stage.to_box()
            talk.transport.write(sent)
            stage.until(lambda talk=talk: talk.heard or talk.lost, "an answer")  # type: ignore[misc]
            self.assertEqual(talk.heard[0].status if talk.heard else 0, status)
        self.assertEqual(len(stage.records(rec.Strange)), 2)

    def test_callbacks_repeat(self) -> None:
        stage = self.stage()
        stage.replies = False
        stage.to_box().transport.write(stage.job(2))
        stage.until(lambda: len(stage.calls) == 3, "repeats")
        stage.replies = True
        stage.until(lambda: len(stage.records(rec.Called)) == 2, "the answers")
        called = stage.records(rec.Called)
        self.assertEqual(
            [(c.state, c.status, c.tries) for c in called], [("started", 204, 4), ("done", 204, 1)]
        )

    def test_full_of_connections(self) -> None:
        stage = self.stage()
        talks = [stage.to_box() for _ in range(5)]
        stage.until(lambda: talks[4].lost, "the refusal of the fifth")
        self.assertFalse(any(talk.lost for talk in talks[:4]))

    def test_crash_and_silence(self) -> None:
        """A crash resets, a silent box says nothing until it is back; both come back at the same port."""
        stage = self.stage(
            Trouble("crash", 200 * MS, 400 * MS, (0,)), Trouble("silence", 700 * MS, 1000 * MS, (0,))
        )
        port = stage.boxes.addresses()[0, 0][1]
        talk = stage.to_box()
        stage.until(lambda: talk.lost, "the reset")
        self.assertEqual(stage.records(rec.BoxLife)[-1].what, "down")
        stage.until(lambda: stage.boxes.box(0).up, "the next life")
        self.assertEqual(stage.boxes.addresses()[0, 0][1], port)
        talk = stage.to_box()
        stage.until(lambda: stage.records(rec.BoxLife)[-1].what == "silent", "silence")
        talk.transport.write(stage.job(0))
        early = stage.talk(port)
        early.transport.write(stage.job(1))
        stage.until(lambda: stage.records(rec.BoxLife)[-1].what == "back", "the end of silence")
        stage.until(lambda: talk.lost and early.lost, "the resets")
        self.assertFalse(stage.records(rec.Came) or talk.heard or early.heard)
        stage.until(lambda: all(place.port for place in stage.boxes._by_box[0]), "ears")
        talk = stage.to_box()
        talk.transport.write(stage.job(2))
        stage.until(lambda: talk.heard, "a 202")

    def test_roster(self) -> None:
        stage = self.stage(Trouble("drain", 300 * MS, 40 * SECOND, (0,)))
        known = listing(stage.day, stage.here, 0, 1_700_000_000 * SECOND)
        self.assertEqual([e["id"] for e in known["servers"]], ["s0"])
        talk = stage.talk(stage.roster._places[0].port.getHost().port)
        talk.transport.write(wire.request("GET", "/discovery/hosts", "x"))
        stage.until(lambda: talk.heard, "the list")
        told = json.loads(talk.heard[0].body)
        self.assertEqual((told["version"], told["full"]), (known["version"], True))
        self.assertEqual(
            {k: v for k, v in told["servers"][0].items() if k != "addr"},
            {"id": "s0", "zone": "a", "kind": "k", "cell": 0, "state": "up", "weight": 1.0, "started_ms": 0},
        )
        watch = f"/discovery/hosts?after={told['version']}&wait_ms=9000"
        talk.transport.write(wire.request("GET", watch, "x"))
        stage.until(lambda: len(talk.heard) == 2, "the change")
        change = json.loads(talk.heard[1].body)
        self.assertEqual(
            (change["version"], change["full"], change["servers"][0]["state"]),
            (told["version"] + 1, False, "draining"),
        )
        self.assertEqual(
            [(t.node, t.box, t.state, t.counted) for t in stage.records(rec.Told)],
            [(0, 0, "draining", False)],
        )

    def test_roster_moves_and_fails(self) -> None:
        stage = self.stage(
            Trouble("roster_move", 100 * MS, 200 * MS), Trouble("roster_out", 300 * MS, 500 * MS)
        )
        old = stage.roster._places[0]
        talk = stage.talk(old.port.getHost().port)
        stage.until(lambda: stage.roster._places[0] is not old, "the move")
        self.assertIsNone(old.port)
        new = stage.talk(stage.roster._places[0].port.getHost().port)
        new.transport.write(wire.request("GET", "/discovery/hosts?after=9999&wait_ms=9000", "x"))
        stage.until(lambda: new.lost, "the outage")
        stage.until(lambda: stage.roster.model.is_up and stage.roster._places[0].port, "its end")
        stage.until(lambda: talk.lost, "the old connection's end")
