"""Snapshots: all damage is detected, and a failing disk leaves the whole old file or the whole new one."""

from __future__ import annotations

import errno
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any, cast
from unittest import mock

from twisted.internet.testing import MemoryReactorClock

from tests.scenario import Scenario
from violetsaddle import RequestClass, Settings
from violetsaddle.decide.memory import BoxState, BucketState, LearnedState
from violetsaddle.net.node import Config, Node
from violetsaddle.net.warmth import Warmth
from violetsaddle.operator import Restart
from violetsaddle.store import snapshots
from violetsaddle.store.files import DamagedError, read, write
from violetsaddle.store.snapshots import decode, digest, encode

SETTINGS_DIGEST = digest({"a": frozenset("xyz")})
SMALL_STATE = LearnedState(
    5, 6, {"pace": 0.5}, {0: 2.0}, {1: 0.5}, [BucketState(None, 1.0)], 1.0, {"s": BoxState(0)}, ["id"]
)
OPERATOR_FILE = (
    '[limits]\nlinger_ms = 10\nkeep_asking_ms = 20\nkeep_idle_ms = 30\n[restart]\nsnapshot = "{}"\n'
)
WRITER_PROGRAM = """
import os, sys
from violetsaddle.store import files
left = int(sys.argv[2])
def step(name):
    global left
    left -= 1
    if left < 0:
        os.kill(os.getpid(), 9)
files.write(sys.argv[1], b"new" * 9, step)
"""


class SnapshotFormat(unittest.TestCase):
    def test_round_trip_and_digest(self) -> None:
        self.assertEqual(decode(encode(SMALL_STATE, SETTINGS_DIGEST), SETTINGS_DIGEST), SMALL_STATE)
        code = "from violetsaddle.store.snapshots import digest\nprint(digest({'a': frozenset('xyz')}).hex())"
        for seed in ("1", "2"):
            out = subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "PYTHONHASHSEED": seed},
            ).stdout
            self.assertEqual(out.strip(), SETTINGS_DIGEST.hex())

    def test_damage_at_every_byte(self) -> None:
        data = encode(SMALL_STATE, SETTINGS_DIGEST)
        for at in range(len(data)):
            for bad in (
                data[:at],
                data[:at] + bytes((data[at] ^ 1 << at % 8,)) + data[at + 1 :],
                data[:at] + b"\0" + data[at:],
            ):
                with self.assertRaises(DamagedError) as caught:
                    decode(bad, SETTINGS_DIGEST)
                self.assertTrue(str(caught.exception).isprintable())
        self.assertRaisesRegex(DamagedError, "other settings", decode, data, digest("other"))
        with mock.patch.object(snapshots, "VERSION", 2):
            newer = encode(SMALL_STATE, SETTINGS_DIGEST)
        self.assertRaisesRegex(DamagedError, "version 2", decode, newer, SETTINGS_DIGEST)
        wrong_body = snapshots.HEADER.pack(snapshots.MAGIC, 1, 1, SETTINGS_DIGEST) + b"\xc0"
        wrong_body += blake2b(wrong_body, digest_size=16).digest()
        self.assertRaisesRegex(DamagedError, "body", decode, wrong_body, SETTINGS_DIGEST)

    def test_a_state_that_does_not_fit_is_cut_down(self) -> None:
        ids = [f"id-{n}" for n in range(2000)]
        large = LearnedState(
            1, boxes={f"s-{n}": BoxState(0) for n in range(500)}, ids=ids, listing={"servers": "x" * 9000}
        )
        kept = decode(
            encode(large, SETTINGS_DIGEST, len(encode(large, SETTINGS_DIGEST)) - 4000), SETTINGS_DIGEST
        )
        self.assertTrue(100 < len(kept.boxes) < 490 and kept.listing and kept.ids == ids)
        for max_size in (1 << 20, 40_000, 30_000, 20_000, 2_000, 300):
            data = encode(large, SETTINGS_DIGEST, max_size)
            kept = decode(data, SETTINGS_DIGEST)
            self.assertLessEqual(len(data), max_size)
            self.assertEqual(kept.ids, ids[len(ids) - len(kept.ids) :])
        self.assertLess(len(kept.ids), 100)

    def test_a_failure_at_each_step_leaves_the_old_or_the_new_file(self) -> None:
        steps: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            path = folder + "/kept"
            write(path, b"old", steps.append)
            self.assertEqual(steps, ["open", "write", "written", "synced", "renamed", "done"])
            for name in steps:
                write(path, b"old")

                def step(now: str, name: str = name) -> None:
                    if now == name:
                        raise OSError(errno.ENOSPC, "full")

                self.assertRaises(OSError, write, path, b"new", step)
                wanted = b"new" if name in ("renamed", "done") else b"old"
                self.assertEqual((read(path), os.listdir(folder)), (wanted, ["kept"]))
            for call in ("open", "write", "fsync", "rename"):
                write(path, b"old")
                with mock.patch(f"os.{call}", side_effect=OSError(errno.EROFS, "read-only")):
                    self.assertRaises(OSError, write, path, b"new")
                self.assertEqual(read(path), b"old")

    def test_a_kill_at_each_step_leaves_the_old_or_the_new_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = folder + "/kept"
            for left in range(7):
                write(path, b"old")
                ended = subprocess.run([sys.executable, "-c", WRITER_PROGRAM, path, str(left)]).returncode
                self.assertEqual(ended, -9 if left < 6 else 0)
                self.assertEqual(read(path), b"new" * 9 if left >= 4 else b"old")

    def test_paths_that_are_not_readable_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.assertIsNone(read(folder + "/none"))
            os.mkfifo(folder + "/pipe")
            self.assertEqual(read(folder + "/pipe"), b"")
            Path(folder, "long").write_bytes(b"x" * 11)
            for path in (folder, folder + "/long", folder + "/\0"):
                self.assertRaises(DamagedError, read, path, 10)


class ManualDisk:
    """A disk and its background runner; each write finishes when the test calls `finish`."""

    def __init__(self) -> None:
        self.pending: list[tuple[Callable[[], object], Callable[[Exception | None], None]]] = []
        self.data: bytes | None = None

    def read(self) -> bytes | None:
        return self.data

    def write(self, data: bytes) -> None:
        self.data = data

    def run(self, work: Callable[[], object], done: Callable[[Exception | None], None]) -> None:
        self.pending.append((work, done))

    def finish(self, error: Exception | None = None) -> None:
        work, done = self.pending.pop()
        if error is None:
            work()
        done(error)


class SnapshotKeeper(unittest.TestCase):
    def setUp(self) -> None:
        self.disk, self.reactor, self.lines = ManualDisk(), cast(Any, MemoryReactorClock)(), list[str]()
        self.node = self.make()

    def make(self) -> Node:
        settings = Settings((RequestClass(1, 1),))
        config = Config(
            "n1",
            ("127.0.0.1", 0),
            ("127.0.0.1", 9),
            1,
            100,
            None,
            settings,
            {},
            "a",
            (),
            None,
            (),
            None,
            (),
            (),
        )
        told = Restart(snapshot="x", snapshot_every_s=1.0)
        clock = mock.Mock(
            monotonic=lambda: int(self.reactor.seconds() * 1e6),
            unix=lambda: 10**15 + int(self.reactor.seconds() * 1e6),
        )
        node = Node(
            self.reactor,
            config,
            lambda: config,
            clock=clock,
            keep=lambda node: Warmth(node, told, self.disk, self.disk.run),
        )
        said: Any = self.lines.append
        node.counters.say = said  # type: ignore[method-assign]
        assert node.keeper is not None
        node.keeper.recall()
        return node

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.reactor.advance(0.1)

    def test_one_write_at_a_time_and_failures_are_logged_once(self) -> None:
        self.advance(3.5)
        self.assertEqual((len(self.disk.pending), self.node.counters.get("snapshots_slow")), (1, 2))
        for _ in range(3):
            self.disk.finish(OSError(28, "No space left on device"))
            self.advance(1)
        self.disk.finish()
        said = [line for line in self.lines if "written" in line]
        self.assertEqual(
            said,
            [
                "snapshot: can't be written: No space left on device (retry every 1 s)",
                "snapshot: written again",
            ],
        )
        self.assertEqual(self.node.counters.get("snapshots_failed"), 3)

    def test_close_waits_for_the_final_write(self) -> None:
        keeper: Any = self.node.keeper
        self.advance(1.5)
        done: list[bool] = []
        keeper.close(lambda: done.append(True))
        self.node.requests.remember_ids(["late"])
        self.disk.finish()
        self.assertFalse(done)  # that snapshot was made before the last request ended
        self.disk.finish()
        self.assertEqual((done, self.disk.pending), ([True], []))
        self.assertEqual(self.make().requests.known_ids(), ["late"])

    def test_a_keeper_that_has_left_does_not_write(self) -> None:
        keeper: Any = self.node.keeper
        data = keeper.snapshot()
        keeper.leave()
        done: list[bool] = []
        keeper.close(lambda: done.append(True))
        self.advance(3)
        self.assertEqual((done, self.disk.pending), ([True], []))
        keeper.recall(data)
        self.assertIn("s old, adopted ", self.lines[-1])


class RestartedNode(Scenario):
    def start_with_snapshot(self, path: str, **more: Any) -> None:
        self.start(operator=OPERATOR_FILE.format(path), **more)

    def test_an_id_that_ran_before_a_restart_is_refused_afterwards(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.start_with_snapshot(folder + "/kept")
            self.play("""
                c send job a quote
                s expect X-Txn: a
                s send 202
                s call+ a done result=first
                c expect 200 | first
                node send TERM
                node expect exit 0
            """)
            self.again()
            self.assertRegex(self.seen[0], "snapshot: .* s old, adopted .* the state of 2 servers .*, 1 ids$")
            self.play("""
                c9 send job a quote
                c9 expect 400 | the id is in use
                c9 send job b quote
                s expect X-Txn: b
                s send 202
                s call b done result=second
                c9 expect 200 | second
            """)

    def test_a_newer_server_list_in_the_snapshot_is_used(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.start_with_snapshot(folder + "/kept", settings={"discovery": "ask"})
            self.play("""
                d expect GET /discovery/hosts
                d send list 2 s-2=draining
                d expect after=2
                node send TERM
                node expect exit 0
            """)
            self.again()
            self.assertRegex(self.seen[0], "1 ids, list 2$|0 ids, list 2$")
            self.play("""
                c9 send job b quote
                s expect X-Txn: b
                s send 503 | X-Turned-Away: 1
            """)
            self.assertEqual(self.line("s").name, "s-1")

    def test_a_damaged_file_and_a_failing_disk_are_logged(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "kept").write_bytes(b"x" * 99)
            self.start_with_snapshot(folder + "/kept")
            self.assertEqual(self.seen[0], "n1: snapshot: not used: it is not a snapshot")
            self.play("node send TERM\nnode expect exit 0")
            self.again()
            self.assertIn("s old, adopted ", self.seen[0])
        self.play("node send TERM\nnode expect snapshot: can't be written: No such file\nnode expect exit 0")


if __name__ == "__main__":
    unittest.main()
