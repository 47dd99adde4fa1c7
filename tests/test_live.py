"""The live stage: its bookkeeping, a short day on sockets, and that nothing outlives it."""

from __future__ import annotations

import os
import select
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory, gettempdir
from typing import Any

from violetsaddle.lab.judge import judge
from violetsaddle.lab.live import drive
from violetsaddle.lab.live.nodes import Ground, LiveNode, Log
from violetsaddle.lab.live.places import LivePlaces, reserve
from violetsaddle.lab.live.stage import LiveStage, behind
from violetsaddle.lab.live.worker import frames
from violetsaddle.lab.records import Answer, Came, Fault, Late, Ledger, NodeLife, Record, Sent
from violetsaddle.lab.stage import Options
from violetsaddle.world import clients
from violetsaddle.world.day import (
    KEYED,
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    BoxSpec,
    ClassSpec,
    Day,
    Kind,
    LinkSpec,
    LoadSpec,
    RosterSpec,
    Rules,
    TenantSpec,
    Trouble,
)

PATIENCE = 30.0  # seconds


def short_day(length: int, *troubles: Trouble) -> Day:
    """Two nodes, four boxes and 25 jobs a second.  Its rules allow for a machine that is busy."""
    return Day(
        scenario="test",
        seed=3,
        length=length,
        halls=("east",),
        nodes=(0, 0),
        kinds=(Kind("box", 4, 1.0),),
        boxes=tuple(
            BoxSpec(f"s-{n}", 0, 0, n // 2, 4, 1.0, 4, 24, 400, 900, 700, 200, 500 * MS, 5 * SECOND)
            for n in range(4)
        ),
        classes=tuple(
            ClassSpec(
                name,
                effect,
                1.0,
                10 * MS,
                0.5,
                200 * MS,
                1.0,
                1500 * MS,
                1.0,
                window=5 * SECOND if effect == KEYED else 0,
            )
            for name, effect in (("quote", SAFE), ("charge", KEYED), ("settle", UNSAFE))
        ),
        tenants=(TenantSpec("acme", 1.0, 1.0),),
        links=LinkSpec(0, 0, 0, 0.0, 0, 0, 0.0, 0.0, 0.0),
        load=LoadSpec(25.0, 0.0, SECOND, (1.0,), 2, 20 * MS, 0.5, SECOND, 0.0, 0.2, 0),
        roster=RosterSpec(SECOND, 6 * SECOND, SECOND, 500 * MS, 100.0, 40, SECOND),
        rules=Rules(slack=10 * SECOND),
        troubles=troubles,
    )


def ended(pids: list[int]) -> bool:
    """Whether all of these processes end in time."""
    for pid in pids:
        try:
            fd = os.pidfd_open(pid)
        except ProcessLookupError:
            continue
        ready, _, _ = select.select([fd], [], [], PATIENCE)
        os.close(fd)
        if not ready:
            return False
    return True


def children(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


class Bookkeeping(unittest.TestCase):
    def test_a_stall_that_every_ticker_shows_is_the_machines(self) -> None:
        late = [Late(1_000_000, "load0", 120 * MS)]
        alone = {"load0": [(1_000_000, 120 * MS)], "stage": [(5_000_000, 120 * MS)]}
        shared = {"load0": [(1_000_000, 120 * MS)], "stage": [(990_000, 90 * MS)]}
        self.assertIn("load0 fell behind by 120 ms", behind(late, alone, 50 * MS))
        self.assertEqual("", behind(late, shared, 50 * MS))
        self.assertEqual("", behind(late, alone, 200 * MS))
        long = [Late(1_000_000, "load0", 900 * MS)]
        self.assertIn("stood still", behind(long, {"load0": [(1_000_000, 900 * MS)]}, 50 * MS))

    def test_a_file_cut_short_gives_what_is_whole(self) -> None:
        ledger = Ledger()
        ledger.add(Late(1, "a", 2))
        body = ledger.encode()
        frame = len(body).to_bytes(4, "big") + body
        for cut in range(1, len(frame) + 1):
            got = list(frames(frame + frame[:cut]))
            self.assertEqual(1 + (cut == len(frame)), len(got))
            self.assertEqual([Late(1, "a", 2)], got[0][0])

    def test_places_are_apart(self) -> None:
        with reserve(4) as one, reserve(4) as other:
            self.assertNotEqual(one.block, other.block)
            places = LivePlaces(one.block, one.port)
            found = [places.node(n) for n in range(4)]
            found += [places.box(n, b) for n in range(4) for b in range(450)]
            found += [places.roster(n, move) for n in range(4) for move in range(3)]
            self.assertEqual(len(found), len(set(found)))

    def test_what_a_log_tells(self) -> None:
        ledger, log = Ledger(), Log(lambda: 0)
        ground = Ground(
            short_day(SECOND),
            Options(),
            LivePlaces(1, 1),
            Path(),
            ledger,
            log,
            lambda: 7,
            lambda _: None,
            lambda *_: None,
            (),
        )
        node = LiveNode(ground, 0)
        for line in (
            "n0: listening on 127.1.0.1:1",
            "n0: counters flows=3 held_flows=1",
            "n0: it failed: Traceback (most recent call last):",
            "  File x",
            "ValueError: seven",
            "",
            'n0| {"event":"it failed","exception":"..."}',
            '{"event":"failed","exception":"Traceback (most recent call last)\\n  KeyError"}',
            '{"event":"counters flows=5 held_flows=0","level":"info"}',
        ):
            node._line(line)
        faults = [record for record in ledger.records if isinstance(record, Fault)]
        self.assertEqual(2, len(faults))
        self.assertIn("ValueError: seven", faults[0].text)
        self.assertIn("KeyError", faults[1].text)
        self.assertEqual({"flows": 5, "held_flows": 0}, node.counters())
        self.assertEqual(7, len(log.lines))

    def test_lateness_counts_from_when_a_job_was_due(self) -> None:
        day = drive.day(200, 1)
        due = [item for item in clients.items(day) if item.at >= drive.WARM]
        records: list[Any] = []
        for item in due:
            records += [
                Sent(item.at + 400, f"{item.number}", item.number, 0, 0, 0),
                Answer(item.at + 1400, f"{item.number}", 200, -1.0, ""),
            ]
        found = drive.figures(day, 200, records, "")
        self.assertEqual((len(due), len(due), len(due)), (found.jobs, found.sent, found.served))
        self.assertTrue(found.on_time)
        self.assertAlmostEqual(400, found.lateness.get_value_at_percentile(99), delta=2)
        self.assertAlmostEqual(1000, found.answers.get_value_at_percentile(50), delta=2)
        self.assertFalse(drive.figures(day, 200, records[2:], "").on_time)


class OnSockets(unittest.TestCase):
    def test_a_day_with_a_kill_and_a_restart(self) -> None:
        day = short_day(
            4 * SECOND,
            Trouble("kill", SECOND, 1500 * MS, nodes=(0,)),
            Trouble("crash", 1200 * MS, 2 * SECOND, boxes=(1,)),
            Trouble("roster_move", 2 * SECOND, 2 * SECOND),
            Trouble("pause", 2500 * MS, 2600 * MS, nodes=(1,)),
        )
        before = children(os.getpid())
        seen: list[Record] = []
        outcome = LiveStage(late=20 * SECOND).play(day, Options(after=1800 * MS), seen.append)
        self.assertEqual("", outcome.void)
        self.assertEqual([], judge(outcome).violations, outcome.log)
        self.assertEqual(sorted(before), sorted(children(os.getpid())))
        self.assertEqual([], list(Path(gettempdir()).glob(f"violetsaddle-lab-{os.getpid()}-*")))
        lives = [
            [r.what for r in outcome.records if isinstance(r, NodeLife) and r.node == node] for node in (0, 1)
        ]
        self.assertEqual(["start", "ready", "kill", "start"], lives[0][:4])
        self.assertEqual(["start", "ready", "pause", "resume", "term", "ended"], lives[1])
        self.assertEqual(["term", "ended"], lives[0][-2:])
        self.assertTrue(any(isinstance(r, Answer) and r.status == 200 for r in outcome.records))
        self.assertEqual({0, 1}, {r.node for r in outcome.records if isinstance(r, Came)})
        self.assertEqual(1, outcome.counters[1]["reloads"])
        self.assertEqual(len(outcome.records), len(seen))
        self.assertGreater(outcome.peak, 5)

    def test_nothing_outlives_a_stage_that_is_killed(self) -> None:
        script = (
            "from tests.test_live import *\n"
            "LiveStage().play(short_day(60 * SECOND), watch=lambda _: print('plays', flush=True))"
        )
        # A stage that is killed leaves its folder.
        folder = self.enterContext(TemporaryDirectory())
        with subprocess.Popen(
            [sys.executable, "-c", script], stdout=subprocess.PIPE, env={**os.environ, "TMPDIR": folder}
        ) as stage:
            assert stage.stdout is not None
            self.assertEqual(b"plays\n", stage.stdout.readline())
            pids = children(stage.pid)
            self.assertEqual(5, len(pids))
            stage.kill()
        self.assertTrue(ended(pids))
