"""The lab's tool with a stage of its own: what is decided round a played day, not the day."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import numpy as np
from click.testing import CliRunner, Result
from msgspec.structs import replace

from violetsaddle.cli.demo import Pace, line
from violetsaddle.cli.lab import command
from violetsaddle.lab import compare, experiment, hunt, ids, result, sweep
from violetsaddle.lab import records as rec
from violetsaddle.lab.board import Board
from violetsaddle.lab.experiment import Case, CaseError
from violetsaddle.lab.pool import Pool, run_many
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world.clients import items
from violetsaddle.world.day import MS, SECOND, Day, Trouble, encode

PLAIN = Options()
HERE = "tests.test_lab_tool:FakeStage"
CASE = Case("calm", stage=HERE, seconds=3, rate=5, nodes=2, boxes=4)


class FakeStage:
    """Serves every job at once on box 0, with the decider `random` late.  A job that comes while a crash is
    on is answered twice.  Settings: `raise` or `die` at that seed, `void`, `wait` in milliseconds."""

    def play(
        self, day: Day, options: Options = PLAIN, watch: Callable[[rec.Record], None] | None = None
    ) -> Outcome:
        if options.settings.get("raise") == day.seed:
            raise RuntimeError("no such luck")
        if options.settings.get("die") == day.seed:
            os._exit(7)
        ledger: list[rec.Record] = [rec.NodeLife(0, n, 1, "start") for n in range(len(day.nodes))]
        wait = 5 * SECOND if options.decider == "random" else int(options.settings.get("wait", 1)) * MS
        for item in items(day):
            at, txn, run = item.at, ids.txn(day.seed, item.number, 0), item.number + 1
            node, body = item.number % len(day.nodes), f"r{item.number}"
            left = day.classes[item.cls].deadline
            ledger += [
                rec.Sent(at, txn, item.number, 0, node, left),
                rec.Came(at, run, txn, 0, 1, node, at, left, True),
                rec.Began(at, run),
                rec.Effect(at, run, False, item.work),
                rec.Ended(at, run, "done", body),
                rec.BoxLoad(at, 0, 1, 0, 1.0),
                rec.Answer(at + wait, txn, 200, -1.0, body),
            ]
            if any(t.kind == "crash" and t.at <= at < t.until for t in day.troubles):
                ledger.append(rec.Answer(at + wait + 1, txn, 200, -1.0, body))
        ledger.sort(key=lambda record: record.at)
        for record in ledger if watch else ():
            watch(record)  # type: ignore[misc]
        return Outcome(
            day,
            ledger,
            [{"flows": 1}] * len(day.nodes),
            [],
            0.5,
            10,
            20.0,
            str(options.settings.get("void", "")),
        )


def lab(*words: str) -> Result:
    return CliRunner().invoke(command, [*words])


def played(*words: str) -> Result:
    return lab(*words, "--on", HERE, "--seconds", "3", "--rate", "5", "--nodes", "2", "--boxes", "4")


CRASH = Trouble("crash", SECOND, 2 * SECOND, boxes=(1, 2, 3))
TROUBLES = (Trouble("loss", 0, SECOND, factor=0.5), CRASH, Trouble("pause", 0, SECOND, nodes=(1,)))


class Cases(unittest.TestCase):
    def test_keys(self) -> None:
        case = compare.changed(CASE, ["load=0.2", "settings.a.b=[1]", "settings.a.c=x", "day.load.tries=1"])
        self.assertEqual(case.settings, {"a": {"b": [1], "c": "x"}})
        self.assertEqual(experiment.drawn(case).load.tries, 1)
        light = replace(CASE, rate=0.0)
        self.assertAlmostEqual(
            experiment.drawn(experiment.change(light, "load", "0.2")).load.rate * 2,
            experiment.drawn(experiment.change(light, "load", "0.4")).load.rate,
        )
        for wrong in (
            "nodes=0",
            "nodes=x",
            "seconds=-1",
            "what=1",
            "day.load.nix=1",
            "day.length=x",
            "nodes",
            "scenario.kind.9.name=x",
            "day.troubles=[{}]",
            "settings=1",
        ):
            with self.subTest(wrong), self.assertRaises(CaseError):
                experiment.drawn(compare.changed(CASE, [wrong]))

    def test_axes(self) -> None:
        points = sweep.points(CASE, ["nodes:boxes=1:2,3:4", "rate=1,2"])
        self.assertEqual(
            [point.name for point in points][1:3], ["nodes=1 boxes=2 rate=2", "nodes=3 boxes=4 rate=1"]
        )
        self.assertEqual((points[3].case.nodes, points[3].case.boxes, points[3].case.rate), (3, 4, 2.0))
        for wrong in ("nodes", "nodes=", "nodes:boxes=1", "=1"):
            with self.subTest(wrong), self.assertRaises(CaseError):
                sweep.points(CASE, [wrong])

    def test_repeats_are_the_same_case(self) -> None:
        case = compare.changed(replace(CASE, seed=4), ["settings.a.b=[1, 2]", "load=0.3"])
        words = experiment.repeat(case)
        self.assertIn("--set 'settings.a.b=[1, 2]'", words)
        self.assertIn("calm --seed 4 --nodes 2 --boxes 4 --rate 5 --seconds 3", words)


class Bytes(unittest.TestCase):
    def test_rounding(self) -> None:
        table = {"a": 0.1 + 0.2, "b": float("nan"), "c": -0.0, "d": np.float64(1) / 3, "e": np.arange(2)}
        self.assertEqual(
            json.dumps(result.plain(table)), '{"a": 0.3, "b": null, "c": 0.0, "d": 0.333333, "e": [0, 1]}'
        )
        self.assertEqual(
            result.numbers({"a": [1, {"b": 2.5}], "c": True, "d": "x"}), {"a.0": 1.0, "a.1.b": 2.5}
        )

    def test_same_bytes_at_any_number_of_processes(self) -> None:
        case = replace(CASE, settings={"raise": 2, "die": 99})
        cases = [replace(case, seed=seed) for seed in range(1, 6)]
        one, three = (list(run_many(cases, processes)) for processes in (1, 3))
        data = result.encode(p.result for p in one)
        self.assertEqual(data, result.encode(p.result for p in three))
        self.assertEqual([p.result.seed for p in three], [1, 2, 3, 4, 5])
        self.assertEqual(three[1].result.error, "RuntimeError: no such luck")
        self.assertIn("Traceback", three[1].report)
        self.assertEqual(result.decode(data)[4], result.decode(result.encode([three[4].result]))[0])
        self.assertNotIn(b"wall", data)

    def test_a_process_that_dies_is_an_error_of_its_case(self) -> None:
        cases = [replace(CASE, seed=seed, settings={"die": 2}) for seed in (1, 2, 3)]
        found = [p.result.error for p in run_many(cases, 2)]
        self.assertEqual(found, ["", "its process ended with status 7", ""])


class Comparing(unittest.TestCase):
    def test_differences(self) -> None:
        pairs = list(compare.pairs(CASE, compare.side(CASE, "settings.wait=4000"), range(1, 5), 1))
        found = {d.name: d for d in compare.differences([(a.result, b.result) for a, b in pairs])}
        self.assertLess(found["goodput"].high, 0)
        self.assertTrue(found["goodput"].clear)
        self.assertFalse(found["items"].clear)
        self.assertEqual((found["items"].pairs, found["items"].difference), (4, 0.0))

    def test_interval(self) -> None:
        low, high = compare.interval(np.arange(100.0))
        self.assertTrue(42 < low < 46 and 53 < high < 57, (low, high))
        self.assertEqual(compare.interval(np.ones(1)), (-np.inf, np.inf))
        self.assertEqual(compare.interval(np.arange(9.0)), compare.interval(np.arange(9.0)))

    def test_another_checkout_gives_the_node_only(self) -> None:
        root = Path(experiment.__file__).parents[2]
        with tempfile.TemporaryDirectory() as folder:
            tree = Path(folder) / "violetsaddle"
            tree.mkdir()
            for name in ("policy.py", "state.py", "gossip_codec.py", "interface.py"):
                (tree / name).write_text((root / "violetsaddle" / name).read_text())
            code = (
                f"from violetsaddle.lab.experiment import adopt; adopt({folder!r}); import violetsaddle, "
                "violetsaddle.world.day as day; print(violetsaddle.Balancer.__module__, "
                "violetsaddle.policy.__file__); print(day.__file__)"
            )
            done = subprocess.run(
                [sys.executable, "-c", code], cwd=root, capture_output=True, text=True, check=True
            )
            theirs, ours = done.stdout.split("\n")[:2]
            self.assertEqual(theirs, f"violetsaddle.policy {tree.resolve() / 'policy.py'}")
            self.assertEqual(Path(ours).parents[2], root)
            self.assertEqual(compare.side(CASE, folder).tree, str(Path(folder).resolve()))
        with self.assertRaises(CaseError):
            compare.side(CASE, folder)


class Hunting(unittest.TestCase):
    def shrunk(self, processes: int, most: int = 300) -> tuple[Day, list[str]]:
        case = replace(CASE, day=replace(experiment.drawn(CASE), troubles=TROUBLES))
        with Pool(processes) as pool:
            small = hunt.Shrinker(pool, case, hunt.breaks(), most)
            small.run()
        return small.day, small.taken

    def test_shrinks_to_what_matters(self) -> None:
        day, taken = self.shrunk(1)
        self.assertEqual([t.kind for t in day.troubles], ["crash"])
        self.assertLess(day.troubles[0].until - day.troubles[0].at, SECOND)
        self.assertEqual((len(day.nodes), day.links.jitter), (1, 0.0))
        self.assertEqual(len(day.boxes), 1 + max(day.troubles[0].boxes))
        self.assertAlmostEqual(sum(day.load.halls), 1)
        self.assertEqual(self.shrunk(1, 8), self.shrunk(2, 8))

    def test_first_seed_that_breaks(self) -> None:
        def play(seeds: Iterator[Case]) -> Iterator[result.Played]:
            for case in seeds:
                broken = (result.Broken("x", 0, "", ""),) if case.seed in (5, 7) else ()
                yield result.Played(
                    result.Result(
                        "s",
                        case.seed,
                        "sim",
                        "module",
                        1,
                        1,
                        1,
                        1.0,
                        violations=broken,
                        against={"lost": case.seed % 6 / 10},
                    )
                )

        seen: list[result.Played] = []
        found = hunt.first_broken(play(hunt.cases(CASE, 3, 100)), seen.append)
        self.assertEqual((found and found.result.seed, len(seen)), (5, 3))
        self.assertIsNone(hunt.first_broken(play(hunt.cases(CASE, 1, 4)), seen.append))
        worst = hunt.worst(play(hunt.cases(CASE, 1, 20)), seen.append)
        self.assertEqual(worst and worst.result.seed, 5)


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.day = self.folder / "day.json"
        self.day.write_bytes(encode(replace(experiment.drawn(CASE), troubles=TROUBLES)))

    def test_run_and_judge_again(self) -> None:
        kept, page, data = (str(self.folder / name) for name in ("kept", "page", "json"))
        done = played("run", "calm", "--yardsticks", "--keep", kept, "--report", page, "--json", data)
        self.assertEqual(done.exit_code, 0, done.output)
        [one] = result.decode(Path(data).read_bytes())
        self.assertEqual((one.against["floor"], one.violations), (one.yardsticks["random"]["goodput"], ()))
        self.assertIn("floor: random", (Path(page) / "report.html").read_text())
        again = lab("judge", kept, "--json", "-")
        self.assertEqual(again.exit_code, 0, again.output)
        self.assertEqual(json.loads(again.stdout)["figures"], one.figures)
        txn = ids.txn(1, 0, 0)
        self.assertIn(txn, lab("judge", kept, "--request", txn).output)

    def test_status(self) -> None:
        day = str(self.day)
        for status, text in (
            (1, f"run --day {day}"),
            (3, "run calm --set settings.void=x"),
            (3, "run calm --set settings.raise=1"),
            (2, "run calm --set x=1"),
            (2, "run"),
            (2, "run no-such"),
            (2, "run calm --decider x"),
            (2, "run calm --on nowhere"),
            (2, f"judge {day}"),
            (2, f"run --day {__file__}"),
        ):
            with self.subTest(text):
                words = text.split()
                done = lab(*words) if words[0] == "judge" or "--on" in words else played(*words)
                self.assertEqual(done.exit_code, status, done.output)
                self.assertNotIn("Traceback", done.output if status == 2 else "")

    def test_broken_rule_tells_how_to_repeat(self) -> None:
        done = played("run", "--day", str(self.day))
        self.assertIn("answer", done.output)
        self.assertIn("violetsaddle lab run --day", done.output)

    def test_compare_and_sweep(self) -> None:
        done = played(
            "compare", "this", "settings.wait=4000", "--scenario", "calm", "--seeds", "2", "--processes", "1"
        )
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertRegex(done.output, r"goodput.* -0\.\d+ .*\*")
        out = str(self.folder / "sweep")
        done = played(
            "sweep",
            "calm",
            "--over",
            "settings.wait=1,4000",
            "--seeds",
            "1",
            "--processes",
            "2",
            "--json",
            out,
        )
        self.assertEqual(done.exit_code, 0, done.output)
        first, second = result.decode(Path(out).read_bytes())
        self.assertGreater(first.figures["goodput"], second.figures["goodput"])

    def test_hunt(self) -> None:
        out = str(self.folder / "found.json")
        done = played("hunt", "calm", "--days", "2", "--processes", "1", "--out", out)
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertIn("no day found among 2", done.output)
        crash = json.dumps([{"kind": "crash", "at": SECOND, "until": 3 * SECOND, "boxes": [0]}])
        done = played("hunt", "calm", "--set", f"day.troubles={crash}", "--processes", "1", "--out", out)
        self.assertEqual(done.exit_code, 1, done.output)
        self.assertIn(f"run --day {out}", done.output)
        self.assertEqual(lab("run", "--day", out, "--on", HERE).exit_code, 1)

    def test_show_and_list(self) -> None:
        self.assertIn("crash-burst", lab("list").output)
        self.assertIn("crash", lab("show", "crash-burst").output)


class Watching(unittest.TestCase):
    def test_interrupted_day_gives_what_there_is(self) -> None:
        seen = experiment.Seen()
        seen.stop = True
        with self.assertRaises(experiment.Interrupted):
            experiment.play(CASE, seen)
        outcome = experiment.part(experiment.drawn(CASE), seen)
        self.assertIn("interrupted", outcome.void)
        self.assertEqual(len(outcome.records), 1)

    def test_pages_of_an_empty_and_a_small_day(self) -> None:
        from violetsaddle.lab import report  # brings matplotlib, which started processes have no use for

        day = replace(experiment.drawn(CASE), troubles=TROUBLES)
        empty = Outcome(replace(day, boxes=(), troubles=(), length=SECOND // 10), [], [], [], 0.0, 0, 0.0)
        for outcome, times in ((empty, 1), (FakeStage().play(day), 2)):
            pages = []
            for _ in range(times):
                lines: dict[str, Any] = {}
                one = experiment.measured(replace(CASE, day=outcome.day), outcome, lines)
                pages.append(report.page(outcome, one.result, lines, experiment.stories(outcome, one.result)))
            self.assertEqual(pages[0], pages[-1])
            self.assertGreaterEqual(pages[0].count("<svg"), 3)
            self.assertEqual("violations" in pages[0], bool(one.result.violations))
            self.assertNotIn('href="http', pages[0])

    def test_board_and_pace(self) -> None:
        day = replace(experiment.drawn(CASE), troubles=TROUBLES)
        board, clock, shown = Board(day), [0.0], [0]

        def sleep(seconds: float) -> None:
            clock[0] += seconds

        def show() -> None:
            shown[0] += 1

        pace = Pace(board, show, 0.25, True, lambda: clock[0], sleep)
        outcome = FakeStage().play(day, watch=pace)
        self.assertAlmostEqual(clock[0], outcome.records[-1].at / SECOND, 1)
        self.assertGreater(shown[0], clock[0] / 0.25 * 0.8)
        self.assertEqual(board.sums["asked"], len(items(day)))
        self.assertGreaterEqual(board.sums["served"], board.sums["asked"])
        self.assertIn("4 of 4 boxes up", line(board))
