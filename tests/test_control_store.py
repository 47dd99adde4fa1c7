"""Tests that each write of the control store is one transaction, whatever fails or kills the process."""

from __future__ import annotations

import shutil
import signal
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from violetsaddle.control.store import Store, StoreError, VersionRow
from violetsaddle.lab.live.children import TREE

STEPS = ("write", "state", "version", "written")
CHILD_TIMEOUT = 20.0  # seconds for a child program


def row(number: int, size: int = 20) -> VersionRow:
    return VersionRow(
        number, f"{number:032x}", "ann", 1_700_000_000_000 + number, '{"a": "' + "x" * size + '"}'
    )


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = str(self.folder / "c0.db")

    def open(self, name: str = "c0", path: str = "") -> Store:
        store = Store(path or self.path, name)
        self.addCleanup(store.close)
        return store

    def test_what_was_written_is_read_by_the_next_process(self) -> None:
        store = self.open()
        self.assertEqual((store.state(), store.version(1), store.numbers()), (None, None, []))
        store.write(b"one")
        store.write(b"two", row(1))
        store.write(b"three", row(2, 60_000))
        store.write(b"four")
        store.close()
        reopened = self.open()
        self.assertEqual(reopened.state(), b"four")
        self.assertEqual((reopened.version(1), reopened.version(2)), (row(1), row(2, 60_000)))
        self.assertEqual((reopened.version(3), reopened.numbers()), (None, [1, 2]))

    def test_the_content_of_a_number_never_changes(self) -> None:
        store = self.open()
        store.write(b"one", row(1))
        store.write(b"two", row(1))  # an equal version changes nothing
        with self.assertRaisesRegex(StoreError, "version 1 already exists with different content"):
            store.write(b"three", row(1)._replace(digest="f" * 32))
        self.assertEqual((store.state(), store.version(1)), (b"two", row(1)))

    def test_one_process_at_a_time(self) -> None:
        self.open().write(b"one")
        with self.assertRaisesRegex(StoreError, "locked"):
            self.open()

    def test_files_that_cannot_be_used(self) -> None:
        self.open().close()
        with self.assertRaisesRegex(StoreError, "text.db: file is not a database"):
            path = self.folder / "text.db"
            path.write_bytes(b"no database at all" * 100)
            self.open(path=str(path)).close()
        with self.assertRaisesRegex(StoreError, "none/c0.db: unable to open"):
            self.open(path=str(self.folder / "none" / "c0.db"))
        with self.assertRaises(StoreError):
            self.open(path=str(self.folder))
        with self.assertRaises(StoreError):
            self.open(path="a\0b")

    def test_the_file_of_another_replica_is_refused(self) -> None:
        store = self.open()
        store.write(b"one")
        store.close()
        with self.assertRaisesRegex(StoreError, "belongs to replica 'c0', not 'c1'"):
            self.open("c1")
        self.assertEqual(self.open().state(), b"one")

    def test_a_schema_version_of_a_later_release_is_refused(self) -> None:
        self.open().close()
        database = sqlite3.connect(self.path)
        database.execute("PRAGMA user_version=2")
        database.close()
        with self.assertRaisesRegex(StoreError, "has schema version 2, not 1"):
            self.open()

    def test_a_corrupted_state_is_detected(self) -> None:
        store = self.open()
        store.write(b"one")
        store.close()
        database = sqlite3.connect(self.path)
        database.execute("UPDATE replica SET state = ?", (b"two",))
        database.commit()
        database.close()
        with self.assertRaisesRegex(StoreError, "checksum"):
            self.open().state()

    def test_a_closed_store_raises(self) -> None:
        store = self.open()
        store.close()
        store.close()
        for call in (store.state, store.numbers, lambda: store.version(1), lambda: store.write(b"x")):
            with self.assertRaisesRegex(StoreError, "is closed"):
                call()

    def test_an_error_at_any_step_changes_nothing(self) -> None:
        for stop_step in STEPS[:3]:
            with self.subTest(stop_step):
                failing = [True]

                def step(name: str, stop_step: str = stop_step, failing: list[bool] = failing) -> None:
                    if failing and name == stop_step:
                        raise OSError(28, "No space left on device")

                path = str(self.folder / f"{stop_step}.db")
                store = Store(path, "c0", step)
                self.addCleanup(store.close)
                failing.clear()
                store.write(b"one", row(1))
                failing.append(True)
                with self.assertRaisesRegex(StoreError, "No space left"):
                    store.write(b"two", row(2))
                self.assertEqual((store.state(), store.numbers()), (b"one", [1]))
                failing.clear()
                store.write(b"three", row(2))
                store.close()
                reopened = self.open(path=path)
                self.assertEqual((reopened.state(), reopened.numbers()), (b"three", [1, 2]))
                reopened.close()

    def test_a_write_to_a_full_disk_fails_and_loses_nothing(self) -> None:
        store = self.open()
        store.write(b"one", row(1))
        database = store._database
        assert database is not None
        pages = database.execute("PRAGMA page_count").fetchone()[0]
        database.execute(f"PRAGMA max_page_count={pages}")
        with self.assertRaisesRegex(StoreError, "full"):
            store.write(b"two" * 1000, row(2, 60_000))
        self.assertEqual((store.state(), store.numbers()), (b"one", [1]))
        database.execute("PRAGMA max_page_count=100000")
        store.write(b"three", row(2, 60_000))
        self.assertEqual((store.state(), store.numbers()), (b"three", [1, 2]))

    def child(self, code: str, *args: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-c", code, self.path, *args],
            capture_output=True,
            text=True,
            timeout=CHILD_TIMEOUT,
            cwd=TREE,
        )

    def test_a_write_beyond_the_file_size_limit_fails_and_loses_nothing(self) -> None:
        code = (
            "import resource, sys\n"
            "from tests.test_control_store import Store, StoreError, row\n"
            "store = Store(sys.argv[1], 'c0')\n"
            "store.write(b'one', row(1))\n"
            "soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)\n"
            "resource.setrlimit(resource.RLIMIT_FSIZE, (100_000, hard))\n"
            "for n in range(2, 100):\n"
            "    before = store.state()\n"
            "    try:\n"
            "        store.write(b'%d' % n, row(n, 20_000))\n"
            "    except StoreError as error:\n"
            "        print(error)\n"
            "        break\n"
            "assert store.state() == before and store.numbers() == list(range(1, n)), store.numbers()\n"
            "resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))\n"
            "store.write(b'last', row(n))\n"
            "print(n)\n"
        )
        run = self.child(code)
        self.assertEqual((run.returncode, run.stderr), (0, ""), run.stderr)
        error_line, last = run.stdout.splitlines()
        self.assertRegex(error_line, "c0.db: .*(full|I/O)")
        store = self.open()
        self.assertEqual((store.state(), store.numbers()), (b"last", list(range(1, int(last) + 1))))
        self.assertGreater(int(last), 2)

    def test_a_kill_at_any_step_leaves_the_last_write_or_the_one_before(self) -> None:
        code = (
            "import os, signal, sys\n"
            "from tests.test_control_store import Store, row\n"
            "stop_step, count = sys.argv[2], int(sys.argv[3])\n"
            "seen = [0]\n"
            "def step(name):\n"
            "    if name == stop_step:\n"
            "        seen[0] += 1\n"
            "        if seen[0] == count:\n"
            "            os.kill(os.getpid(), signal.SIGKILL)\n"
            "store = Store(sys.argv[1], 'c0', step)\n"
            "for n in range(1, 4):\n"
            "    store.write(b'%d' % n, row(n, 30_000))\n"
        )
        for stop_step in STEPS:
            for count in (1, 2, 3):
                with self.subTest(f"{stop_step} {count}"):
                    run = self.child(code, stop_step, str(count))
                    self.assertEqual(run.returncode, -signal.SIGKILL, run.stderr)
                    done = count if stop_step == "written" else count - 1
                    store = self.open()
                    self.assertEqual(store.state(), b"%d" % done if done else None)
                    self.assertEqual(store.numbers(), list(range(1, done + 1)))
                    store.close()
                    for file in self.folder.iterdir():
                        file.unlink()

    def test_a_copy_of_the_file_and_its_log_is_a_complete_store(self) -> None:
        store = self.open()
        for number in range(1, 30):
            store.write(b"%d" % number, row(number, 30_000))
        copied = self.folder / "copy"
        copied.mkdir()
        for file in ("c0.db", "c0.db-wal"):
            shutil.copy(self.folder / file, copied / file)
        copy = self.open(path=str(copied / "c0.db"))
        self.assertEqual((copy.state(), copy.numbers()), (b"29", list(range(1, 30))))

    def test_a_truncated_log_holds_only_complete_writes(self) -> None:
        """A power failure may leave the end of the log unwritten."""
        store = self.open()
        for number in range(1, 5):
            store.write(b"%d" % number, row(number, 9_000))
        log = (self.folder / "c0.db-wal").read_bytes()
        database = (self.folder / "c0.db").read_bytes()
        cut = self.folder / "cut"
        cut.mkdir()
        states = set()
        for size in range(len(log), 0, -1501):
            for file in cut.iterdir():
                file.unlink()
            (cut / "c0.db").write_bytes(database)
            (cut / "c0.db-wal").write_bytes(log[:size])
            partial_store = self.open(path=str(cut / "c0.db"))
            state, numbers = partial_store.state(), partial_store.numbers()
            self.assertEqual(numbers, list(range(1, int(state or b"0") + 1)))
            states.add(state)
            partial_store.close()
        self.assertIn(b"4", states)
        self.assertGreater(len(states), 3)


if __name__ == "__main__":
    unittest.main()
