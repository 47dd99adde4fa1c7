"""Three real control processes under trouble: what is accepted stays, each number has one content, and who
asks gets one clear answer."""

from __future__ import annotations

import contextlib
import json
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

from tests.replicas import NAMES, PATIENCE, Program, Replicas, Reply, document
from tests.scenario import SETTINGS
from violetsaddle.control import client
from violetsaddle.control.server import MAX_BODY_BYTES, MAX_UNSENT_BYTES
from violetsaddle.control.store import Store
from violetsaddle.decide.document import digest
from violetsaddle.lab.live.children import TREE

PROMPT = 5.0  # seconds within which a write is answered, whatever is cut


class Node(threading.Thread):
    """Watches a replica as a node does.  `stays`: it never takes a newer version; `refuses`: it never does
    because of this key."""

    def __init__(self, ground: Replicas, name: str, at: str, stays: bool = False, refuses: str = "") -> None:
        super().__init__(daemon=True)
        self.ground, self.node, self.at, self.stays, self.refuses = ground, name, at, stays, refuses
        self.number, self.refused, self.ended = 0, 0, threading.Event()
        self.failed: list[str] = []

    def run(self) -> None:
        while not self.ended.is_set():
            path = f"/configuration?after={self.number}&wait_ms=300&node={self.node}"
            if self.refused:
                path += f"&refused={self.refused}&why={self.refuses}"
            try:
                told = self.ground.call(self.at, "GET", path)
            except (OSError, ValueError) as error:
                self.failed.append(str(error))
                self.ended.wait(0.05)
                continue
            if told.body["number"] > self.number:
                if self.refuses:
                    self.refused = told.body["number"]
                if self.refuses or self.stays:
                    self.ended.wait(0.05)
                else:
                    self.number = told.body["number"]


class ControlTest(unittest.TestCase):
    def ground(self, settings: dict[str, Any] = SETTINGS) -> Replicas:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ground = Replicas(folder.name, settings)
        self.addCleanup(ground.close)
        return ground

    def begun(self, settings: dict[str, Any] = SETTINGS) -> Replicas:
        ground = self.ground(settings)
        ground.start_all()
        return ground

    def accepted(self, reply: Reply, number: int) -> None:
        self.assertEqual((reply.status, reply.body.get("number")), (200, number), reply)

    def settled(self, ground: Replicas, number: int) -> None:
        """All three hold this number, with one content; none has a fault to tell."""
        held = [ground.wait_for_version(name, number) for name in NAMES]
        self.assertEqual([h["number"] for h in held], [number] * 3)
        self.assertEqual(len({json.dumps(h) for h in held}), 1, held)
        self.assertEqual(ground.fault_lines(), [])

    def histories(self, ground: Replicas) -> list[list[tuple[int, str]]]:
        """What each has on disk, once all have ended."""
        found = []
        for name in NAMES:
            ground.end(name, signal.SIGTERM)
            store = Store(str(ground.store(name)), name)
            rows = [store.version(number) for number in store.numbers()]
            found.append([(row.number, row.digest) for row in rows if row is not None])
            store.close()
        return found

    @contextlib.contextmanager
    def nodes(self, ground: Replicas, *nodes: Node) -> Iterator[None]:
        for node in nodes:
            node.start()
        try:
            yield
        finally:
            for node in nodes:
                node.ended.set()
            for node in nodes:
                node.join(PATIENCE)

    # One write, and who hears of it.

    def test_a_write_reaches_all_three_and_wakes_watches(self) -> None:
        ground = self.begun()
        self.assertEqual(ground.call("c2", "GET", "/configuration"), (200, {"number": 0, "digest": ""}))
        got: dict[str, Reply] = {}

        def watch(name: str) -> None:
            got[name] = ground.call(name, "GET", "/configuration?after=0&wait_ms=20000&node=n-" + name)

        watches = [threading.Thread(target=watch, args=(name,), daemon=True) for name in NAMES]
        for thread in watches:
            thread.start()
        for name in NAMES:
            ground.wait_until(lambda name=name: len(ground.status(name)["nodes"]) == 1, "a watch is open")  # type: ignore[misc]
        text = document(3.0)
        self.accepted(ground.write("c0", 0, text, "ann"), 1)
        for thread in watches:
            thread.join(PROMPT)
        for name in NAMES:
            told = got[name].body
            self.assertEqual((told["number"], told["author"], told["document"]), (1, "ann", text))
            self.assertEqual(told["digest"], digest(text))
            self.assertAlmostEqual(told["time_ms"] / 1000, time.time(), delta=60)
        self.settled(ground, 1)
        status = ground.status("c1")
        self.assertEqual((status["replica"], status["state"], status["number"]), ("c1", "voting", 1))
        self.assertEqual([peer["name"] for peer in status["peers"]], ["c0", "c2"])
        self.assertEqual(
            [(n["name"], n["number"], n["refused"], n["why"]) for n in status["nodes"]], [("n-c1", 0, 0, "")]
        )

    def test_a_watch_without_news_ends_in_time_and_says_where_the_replica_stands(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        ground.wait_for_version("c1", 1)
        begun = time.monotonic()
        told = ground.call("c1", "GET", "/configuration?after=7&wait_ms=300")
        self.assertEqual(told, (200, {"number": 1, "digest": digest(document(3.0))}))
        self.assertTrue(0.25 < time.monotonic() - begun < PROMPT)

    def test_the_same_write_again_is_accepted_and_another_is_a_conflict(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        for name in NAMES:
            self.accepted(ground.write(name, 0, document(3.0)), 1)
            refused = ground.write(name, 0, document(4.0))
            self.assertEqual(
                (refused.status, refused.body["error"], refused.body["number"]), (409, "conflict", 1)
            )
            self.assertEqual(ground.write(name, 0, document(3.0), "bob").status, 409)
            behind = ground.write(name, 5, document(4.0))
            self.assertEqual((behind.status, behind.body["error"]), (503, "behind"))
        self.accepted(ground.write("c2", 1, document(4.0)), 2)
        self.settled(ground, 2)

    def test_three_writers_at_once_one_wins_each_base(self) -> None:
        ground = self.begun()
        for base in range(6):
            replies: dict[str, Reply] = {}

            def write(name: str, base: int = base, replies: dict[str, Reply] = replies) -> None:
                replies[name] = ground.write(name, base, document(10.0 * base + 1 + NAMES.index(name)), name)

            writers = [threading.Thread(target=write, args=(name,), daemon=True) for name in NAMES]
            for writer in writers:
                writer.start()
            for writer in writers:
                writer.join(PATIENCE)
            self.assertEqual(sorted(r.status for r in replies.values()), [200, 409, 409], replies)
            won = [name for name, reply in replies.items() if reply.status == 200]
            for name in NAMES:
                self.assertEqual(ground.wait_for_version(name, base + 1)["author"], won[0])
        self.settled(ground, 6)
        histories = self.histories(ground)
        self.assertEqual(histories[0], histories[1])
        self.assertEqual(histories[0], histories[2])
        self.assertEqual([number for number, _ in histories[0]], [1, 2, 3, 4, 5, 6])

    # Replicas that are away.

    def test_one_dead_is_no_matter_and_two_dead_refuse_clearly(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        ground.end("c2")
        begun = time.monotonic()
        self.accepted(ground.write("c0", 1, document(4.0)), 2)
        ground.wait_for_version("c1", 2)
        self.accepted(ground.write("c1", 2, document(5.0)), 3)
        self.assertLess(time.monotonic() - begun, PROMPT)
        ground.programs["c0"].wait_for_line("replica c2 is lost")
        ground.wait_for_version("c0", 3)
        ground.end("c1")
        begun = time.monotonic()
        refused = ground.write("c0", 3, document(6.0))
        self.assertLess(time.monotonic() - begun, PROMPT)
        self.assertEqual((refused.status, refused.body["error"]), (503, "no_majority"), refused)
        self.assertIn("nothing was written", refused.body["text"])
        told = ground.call("c0", "GET", "/configuration?after=0").body
        self.assertEqual((told["number"], told["document"]), (3, document(5.0)))
        # Both come back, and what was refused has not taken effect.
        ground.start("c1", "c2")
        ground.programs["c0"].wait_for_line("replica c2 is back")
        ground.wait_until_voting("c1", "c2")
        self.settled(ground, 3)
        self.accepted(ground.write("c2", 3, document(7.0)), 4)
        self.settled(ground, 4)

    def test_a_replica_that_cannot_be_reached_is_no_matter(self) -> None:
        for how in ({"cut": True}, {"drop": True, "drop_back": True}):
            with self.subTest(str(how)):
                ground = self.begun()
                ground.set_faults("c2", **how)
                begun = time.monotonic()
                self.accepted(ground.write("c0", 0, document(3.0)), 1)
                ground.wait_for_version("c1", 1)  # else it may say that it is behind
                self.accepted(ground.write("c1", 1, document(4.0)), 2)
                self.assertLess(time.monotonic() - begun, PROMPT)
                refused = ground.write("c2", 0, document(5.0))
                self.assertEqual((refused.status, refused.body["error"]), (503, "no_majority"), refused)
                self.assertEqual(ground.call("c2", "GET", "/configuration").body["number"], 0)
                ground.set_faults("c2")
                self.settled(ground, 2)
                self.accepted(ground.write("c2", 2, document(6.0)), 3)
                self.settled(ground, 3)

    def test_cut_one_way_or_slow_it_still_agrees(self) -> None:
        ground = self.begun()
        ground.links["c0", "c1"].set(drop=True)
        ground.links["c2", "c0"].set(delay=0.15)
        ground.links["c1", "c2"].set(delay=0.1)
        for number, name in enumerate(NAMES):
            reply = ground.write(name, number, document(3.0 + number))
            if reply.status != 200:  # such a network may leave a round undecided, but not a repeat of it
                self.assertEqual((reply.status, reply.body["error"]), (503, "undecided"), reply)
                reply = ground.write(name, number, document(3.0 + number))
            self.accepted(reply, number + 1)
            for other in NAMES:
                ground.wait_for_version(other, number + 1)
        for way in ground.links.values():
            way.set()
        self.settled(ground, 3)

    def test_a_storm_of_cuts_with_writers_leaves_one_history(self) -> None:
        ground = self.begun()
        chance, over = random.Random(7), threading.Event()
        won: list[tuple[int, str]] = []

        def write(author: str) -> None:
            own, made = random.Random(author), 0
            while not over.is_set():
                name = own.choice(NAMES)
                try:
                    base = int(ground.status(name)["number"])
                    made += 1
                    text = document(made + own.random())
                    reply = ground.write(name, base, text, author)
                except (OSError, ValueError, KeyError):
                    continue
                if reply.status == 200:
                    won.append((reply.body["number"], reply.body["digest"]))

        writers = [threading.Thread(target=write, args=(a,), daemon=True) for a in ("ann", "bob", "cid")]
        for writer in writers:
            writer.start()
        for _ in range(30):
            way = chance.choice(list(ground.links.values()))
            how = chance.choice([{"cut": True}, {"drop": True}, {"drop_back": True}, {"delay": 0.1}, {}, {}])
            way.set(**how)  # type: ignore[arg-type]
            over.wait(0.15)
        over.set()
        for way in ground.links.values():
            way.set()
        for writer in writers:
            writer.join(PATIENCE)
        number = max(ground.status(name)["number"] for name in NAMES)
        for name in NAMES:
            ground.wait_for_version(name, number)
        # Something accepted at a replica alone may still be finished by it: then that is one version more.
        last = ground.write("c0", number, document(1000.0), "last")
        while last.status != 200:
            number = max(ground.status(name)["number"] for name in NAMES)
            for name in NAMES:
                ground.wait_for_version(name, number)
            last = ground.write("c0", number, document(1000.0), "last")
        self.settled(ground, last.body["number"])
        histories = self.histories(ground)
        self.assertEqual(histories[0], histories[1])
        self.assertEqual(histories[0], histories[2])
        self.assertEqual([n for n, _ in histories[0]], list(range(1, last.body["number"] + 1)))
        # Whatever a writer was told is accepted is there, and each number went to one.
        self.assertEqual(set(won) - set(histories[0]), set())
        self.assertEqual(len({n for n, _ in won}), len(set(won)))
        self.assertGreater(len(set(won)), 3)

    # Replicas that die, and their disks.

    def test_killed_at_each_write_in_turn(self) -> None:
        ground = self.begun()
        number = 0
        for role, writer in (("proposer", "c0"), ("acceptor", "c1")):
            for step in ("write", "written"):
                for count in range(1, 20):
                    with self.subTest(f"{role} {step} {count}"):
                        ground.end("c0")
                        ground.start("c0", stop_at=f"{step} {count} kill")
                        died, number = self.one_write(ground, writer, number)
                        if not died:
                            ground.end("c0")
                        ground.start("c0")
                        ground.wait_until_voting("c0")
                        self.settled(ground, number)
                    if not died:
                        # The start, the promise, the vote and what is committed at least.
                        self.assertGreater(count - 1, 3)
                        break
                else:
                    self.fail("it dies again and again")
        histories = self.histories(ground)
        self.assertEqual(histories[0], histories[1])
        self.assertEqual(histories[0], histories[2])

    def one_write(self, ground: Replicas, writer: str, base: int) -> tuple[bool, int]:
        """Writes after `base` while c0 may die; whether it did, and the number that was accepted."""
        dying = ground.programs["c0"]
        ground.wait_until(
            lambda: dying.process.poll() is not None or any(": voting" in line for line in dying.lines),
            "c0 votes or dies",
        )
        text = document(100.0 + base)
        try:
            reply = ground.write(writer, base, text)
        except (OSError, ValueError):
            reply = Reply(0, {})
        if reply.status != 200:
            # The writer does not know, and says it again elsewhere, as the command does.
            deadline = time.monotonic() + PATIENCE
            while reply.status != 200 and time.monotonic() < deadline:
                self.assertIn(reply.body.get("error", "undecided"), ("undecided", "no_majority"), reply)
                reply = ground.write("c2", base, text)
        self.accepted(reply, base + 1)
        try:
            # Its last write may come after the answer.
            ground.wait_until(lambda: ground.status("c0")["number"] > base, "c0 knows")
        except (OSError, ValueError):
            self.assertEqual(dying.wait_for_exit(), -signal.SIGKILL)
            return True, base + 1
        return False, base + 1

    def test_back_with_an_old_disk_it_does_not_vote_until_recovered(self) -> None:
        self.back_with("old")

    def test_back_with_an_empty_disk_it_does_not_vote_until_recovered(self) -> None:
        self.back_with("empty")

    def back_with(self, disk: str) -> None:
        """c1 loses what it voted for, while c0, which knows of it, is away."""
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        ground.end("c1")
        kept = ground.copy_store("c1") if disk == "old" else None
        ground.start("c1")
        ground.wait_until_voting("c1")
        # c0 and c1 agree on 2 and c2 does not hear of it.
        ground.set_faults("c2", cut=True)
        self.accepted(ground.write("c0", 1, document(4.0)), 2)
        ground.wait_for_version("c1", 2)
        ground.end("c1")
        ground.replace_store("c1", kept)
        ground.end("c0")
        ground.set_faults("c2")
        ground.start("c1")
        back = ground.programs["c1"]
        # c2 alone can't tell it all: no vote, although the two would be a majority.
        refused = ground.write("c2", 1, document(5.0))
        self.assertEqual((refused.status, refused.body["error"]), (503, "no_majority"), refused)
        own = ground.write("c1", 1, document(5.0))
        self.assertEqual(own.status, 503)
        self.assertIn(own.body["error"], ("starting", "recovering"))
        self.assertFalse([line for line in back.lines if ": voting" in line])
        self.assertEqual(ground.status("c2")["number"], 1)
        ground.start("c0")
        ground.wait_until_voting("c0", "c1")
        self.settled(ground, 2)
        self.assertEqual(ground.wait_for_version("c1", 2)["document"], document(4.0))
        self.accepted(ground.write("c1", 2, document(5.0)), 3)
        self.settled(ground, 3)
        histories = self.histories(ground)
        self.assertEqual(histories[0], histories[1])
        self.assertEqual([n for n, _ in histories[1]], [1, 2, 3])

    def test_new_left_in_place_does_no_harm(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        # With its disk it starts as ever; without, it is no first start, for the others have seen its votes.
        ground.end("c1")
        ground.start("c1", new=True)
        ground.wait_until_voting("c1")
        ground.end("c1")
        ground.replace_store("c1", None)
        ground.end("c0")
        ground.start("c1", new=True)
        ground.programs["c1"].wait_for_line("recovering, version 0")
        refused = ground.write("c2", 1, document(4.0))
        self.assertEqual((refused.status, refused.body["error"]), (503, "no_majority"), refused)
        self.assertFalse([line for line in ground.programs["c1"].lines if ": voting" in line])
        ground.start("c0", new=True)
        ground.wait_until_voting("c0", "c1")
        self.settled(ground, 1)
        self.accepted(ground.write("c1", 1, document(4.0)), 2)
        self.settled(ground, 2)

    def test_two_lost_disks_begin_again_by_the_page(self) -> None:
        """`docs/configuration.md`: the third serves what it holds; a first start of all, pushes past it."""
        ground = self.begun()
        for number in range(2):
            self.accepted(ground.write("c0", number, document(3.0 + number)), number + 1)
        self.settled(ground, 2)
        for name in ("c1", "c2"):
            ground.end(name)
            ground.replace_store(name, None)
        ground.start("c1", "c2")
        for name in ("c1", "c2"):
            ground.wait_for_version(name, 2)  # it can tell them, but not make a majority with them
        refused = ground.write("c0", 2, document(5.0))
        self.assertEqual((refused.status, refused.body["error"]), (503, "no_majority"), refused)
        for name in ("c1", "c2"):
            self.assertEqual(ground.status(name)["state"], "recovering")
        status, newest, _ = self.config("show", *self.at(ground, "c0"))
        self.assertEqual((status, newest), (0, document(4.0) + "\n"))
        for name in NAMES:
            ground.end(name, signal.SIGTERM)
            ground.replace_store(name, None)
        ground.start_all()
        for number in range(3):
            status, out, err = self.config("push", "-", "--wait=0", *self.at(ground), stdin=newest)
            self.assertIn(f"version {number + 1} accepted", out, err)
        self.settled(ground, 3)

    def test_a_full_disk_refuses_clearly_and_loses_nothing(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        ground.end("c0", signal.SIGTERM)
        ground.start("c0", stop_at="write 2 full")
        ground.wait_until_voting("c0")
        full = ground.programs["c0"]
        refused = ground.write("c0", 1, document(4.0))
        self.assertEqual((refused.status, refused.body["error"]), (503, "disk"), refused)
        self.assertIn("No space left on device", refused.body["text"])
        full.wait_for_line("disk: can't be written: .*No space left on device")
        self.assertEqual(ground.call("c0", "GET", "/configuration").body["number"], 1)
        self.accepted(ground.write("c1", 1, document(4.0)), 2)
        ground.wait_for_version("c2", 2)
        self.assertEqual(ground.call("c0", "GET", "/configuration").body["number"], 1)
        ground.room.touch()
        full.wait_for_line("disk: written again")
        self.settled(ground, 2)
        self.accepted(ground.write("c0", 2, document(5.0)), 3)
        self.settled(ground, 3)
        self.assertEqual(sum("can't be written" in line for line in full.lines), 1)

    def test_a_disk_full_within_a_round_leaves_the_writer_unsure_and_nothing_is_lost(self) -> None:
        ground = self.begun()
        number = 0
        for count in range(3, 8):
            with self.subTest(count):
                ground.end("c0", signal.SIGTERM)
                ground.room.unlink(missing_ok=True)
                ground.start("c0", stop_at=f"write {count} full")
                ground.wait_until_voting("c0")
                begun = time.monotonic()
                reply = ground.write("c0", number, document(10.0 + number))
                self.assertLess(time.monotonic() - begun, PROMPT)
                if reply.status != 200:
                    self.assertEqual((reply.status, reply.body["error"]), (503, "undecided"), reply)
                    self.assertIn("No space left on device", reply.body["text"])
                    reply = ground.write("c1", number, document(10.0 + number))
                number += 1
                self.accepted(reply, number)
                ground.room.touch()
                self.settled(ground, number)
        histories = self.histories(ground)
        self.assertEqual([n for n, _ in histories[0]], list(range(1, number + 1)))
        self.assertEqual(histories[0], histories[1])
        self.assertEqual(histories[0], histories[2])

    def test_a_disk_full_from_the_start_still_serves_what_it_holds(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        ground.end("c0", signal.SIGTERM)
        ground.start("c0", stop_at="write 1 full")
        ground.programs["c0"].wait_for_line("disk: can't be written")
        self.assertEqual(ground.call("c0", "GET", "/configuration").body["number"], 1)
        self.assertEqual(ground.write("c0", 1, document(4.0)).status, 503)
        ground.room.touch()
        ground.wait_until_voting("c0")
        self.accepted(ground.write("c0", 1, document(4.0)), 2)
        self.settled(ground, 2)

    def test_a_disk_that_hangs_holds_no_reader_up(self) -> None:
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document(3.0)), 1)
        self.settled(ground, 1)
        ground.end("c0", signal.SIGTERM)
        ground.start("c0", stop_at="write 2 hang")
        ground.wait_until_voting("c0")
        got: list[Reply] = []
        writer = threading.Thread(
            target=lambda: got.append(ground.write("c0", 1, document(4.0))), daemon=True
        )
        writer.start()
        self.accepted(ground.write("c1", 1, document(4.0)), 2)
        begun = time.monotonic()
        for _ in range(20):
            self.assertEqual(ground.call("c0", "GET", "/configuration").body["number"], 1)
            self.assertEqual(ground.status("c0")["state"], "voting")
        self.assertLess(time.monotonic() - begun, PROMPT)
        writer.join(PATIENCE)
        self.assertEqual((got[0].status, got[0].body["error"]), (503, "undecided"), got)
        ground.room.touch()
        self.settled(ground, 2)
        self.accepted(ground.write("c0", 2, document(5.0)), 3)
        self.settled(ground, 3)

    def test_more_watches_than_descriptors(self) -> None:
        ground = self.ground()
        ground.start(*NAMES, new=True, files=80)
        ground.wait_until_voting(*NAMES)
        ask = b"GET /configuration?after=0&wait_ms=20000&node=n%d HTTP/1.1\r\nHost: c\r\n\r\n"
        with contextlib.ExitStack() as stack:
            lines = []
            for number in range(60):
                line = socket.create_connection(("127.0.0.1", ground.ports["c0"]), PATIENCE)
                stack.enter_context(line)
                line.sendall(ask % number)
                lines.append(line)
                ground.wait_until(lambda n=number: len(ground.status("c0")["nodes"]) > n, "it watches")  # type: ignore[misc]
            self.accepted(ground.write("c0", 0, document(3.0)), 1)
            self.settled(ground, 1)
            self.accepted(ground.write("c1", 1, document(4.0)), 2)
            self.settled(ground, 2)
            told = 0
            for line in lines:
                with contextlib.suppress(ConnectionResetError):
                    told += b'"document"' in line.recv(65536)
            self.assertGreater(told, 5)
        ground.programs["c0"].process.send_signal(signal.SIGUSR1)
        counters = ground.programs["c0"].wait_for_line("counters (.*)")[1]
        self.assertRegex(counters, r"\bwatches_cut=\d\d")
        self.settled(ground, 2)

    # Documents.

    def test_answers_to_a_client_that_does_not_read_are_not_held(self) -> None:
        # Each request was answered as it came: 64 KiB of requests brought answers of many times that.
        ground = self.begun()
        self.accepted(ground.write("c0", 0, document()), 1)
        pid = ground.programs["c0"].process.pid

        def peak() -> int:
            found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text(encoding="ascii"))
            assert found is not None
            return int(found[1]) * 1024

        Path(f"/proc/{pid}/clear_refs").write_text("5", encoding="ascii")
        before = peak()
        with socket.create_connection(("127.0.0.1", ground.ports["c0"]), PATIENCE) as client:
            client.settimeout(2)
            with contextlib.suppress(OSError):
                for _ in range(100):
                    client.sendall(b"GET /configuration HTTP/1.1\r\nHost: c\r\n\r\n" * 1000)
            self.accepted(ground.write("c0", 1, document(3.0)), 2)
            # What it may hold: unsent answers, requests ahead, a read of each.
            self.assertLessEqual(peak() - before, MAX_UNSENT_BYTES + 2 * MAX_BODY_BYTES + 6 * 1024 * 1024)

    def test_documents_long_cut_and_damaged(self) -> None:
        tenants = [{"name": f"tenant-{n:04}", "share": 1.0} for n in range(1400)]
        settings = {**SETTINGS, "tenants": tenants}
        ground = self.begun(settings)
        text = document(3.0, settings)
        self.assertTrue(55_000 < len(text) < 64 * 1024)
        self.accepted(ground.write("c0", 0, text), 1)
        for name in NAMES:
            self.assertEqual(ground.wait_for_version(name, 1)["document"], text)
        padded = document(4.0, settings).ljust(64 * 1024)
        self.accepted(ground.write("c1", 1, padded), 2)
        cases: list[tuple[Reply, int, str]] = [
            (ground.write("c1", 2, padded + " "), 413, "long"),
            (ground.write("c1", 2, text[:30_000]), 422, "document"),
            (ground.write("c1", 2, text[:-1], digest=digest(text)), 400, "digest"),
            (ground.write("c1", 2, text, digest="0" * 32), 400, "digest"),
            (ground.write("c1", 2, "[]"), 422, "document"),
            (ground.write("c1", 2, document(3.0)), 422, "document"),
        ]
        for reply, status, error in cases:
            self.assertEqual((reply.status, reply.body["error"]), (status, error), reply)
            self.assertTrue(reply.body["text"])
        self.settled(ground, 2)
        # One whose end never comes changes nothing.
        with socket.create_connection(("127.0.0.1", ground.ports["c1"]), PATIENCE) as line:
            line.sendall(
                b"POST /configuration HTTP/1.1\r\nHost: c\r\nContent-Length: 50000\r\n\r\n"
                + text[:40_000].encode()
            )
        self.settled(ground, 2)

    # Bad input.

    def raw(self, ground: Replicas, data: bytes) -> str:
        """What a connection on which this was sent answers until it closes or the answer is whole."""
        with socket.create_connection(("127.0.0.1", ground.ports["c0"]), PATIENCE) as line:
            line.sendall(data)
            got = b""
            while b"\r\n\r\n" not in got:
                more = line.recv(65536)
                if not more:
                    break
                got += more
            return got.decode("latin-1")

    def test_bad_input_gets_one_clear_error(self) -> None:
        ground = self.ground()
        ground.start("c0")
        host = b" HTTP/1.1\r\nHost: c\r\n"
        text = document(3.0)
        good = {"base": 0, "author": "ann", "digest": digest(text), "document": text}

        def post(path: str, body: object) -> bytes:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            return b"POST " + path.encode() + host + b"Content-Length: %d\r\n\r\n" % len(data) + data

        for data, status in (
            (b"GET /none" + host + b"\r\n", 404),
            (b"GET /configuration/" + host + b"\r\n", 404),
            (b"DELETE /configuration" + host + b"\r\n", 405),
            (b"POST /configuration/status" + host + b"Content-Length: 0\r\n\r\n", 405),
            (b"GET /replica" + host + b"\r\n", 405),
            (b"GET /configuration?after=x" + host + b"\r\n", 400),
            (b"GET /configuration?after=-1" + host + b"\r\n", 400),
            (b"GET /configuration?after=99999999999999999999" + host + b"\r\n", 400),
            (b"GET /configuration?wait_ms=1.5" + host + b"\r\n", 400),
            (b"GET /configuration?node=" + b"n" * 300 + host + b"\r\n", 400),
            (b"GET /configuration?node=%00" + host + b"\r\n", 400),
            (b"GET /configuration HTTP/1.1\r\n\r\n", 400),
            (b"GET /configuration HTTP/3\r\nHost: c\r\n\r\n", 505),
            (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
            (b"GET /configuration" + host + b"X: " + b"y" * 20_000 + b"\r\n\r\n", 431),
            (b"POST /configuration" + host + b"Content-Length: 300000\r\n\r\n", 413),
            (b"POST /configuration" + host + b"Content-Length: x\r\n\r\n", 400),
            (post("/configuration", b"{"), 400),
            (post("/configuration", b"\xff\xfe"), 400),
            (post("/configuration", b"[" * 100_000), 400),
            (post("/configuration", {}), 400),
            (post("/configuration", []), 400),
            (post("/configuration", {**good, "base": -1}), 400),
            (post("/configuration", {**good, "base": "0"}), 400),
            (post("/configuration", {**good, "base": 1 << 60}), 400),
            (post("/configuration", {**good, "author": ""}), 400),
            (post("/configuration", {**good, "author": "a\nb"}), 400),
            (post("/configuration", {**good, "document": {}}), 400),
            (post("/configuration", {**good, "document": "\ud800"}), 400),
            (post("/replica", b"{}"), 400),
            (
                post(
                    "/replica", {"from": "c9", "message": {"type": "Hello", "incarnation": 1, "sequence": 0}}
                ),
                400,
            ),
            (post("/replica", {"from": "c1", "message": {"type": "Nothing"}}), 400),
            (post("/replica", {"from": "c1", "message": {"type": "Fetch", "number": "1"}}), 400),
            (post("/configuration", good), 503),
        ):
            with self.subTest(data[:60]):
                got = self.raw(ground, data)
                self.assertRegex(got, f"^HTTP/1.1 {status} ", got)
        allowed = self.raw(ground, b"PUT /configuration" + host + b"\r\n")
        self.assertIn("Allow: GET, POST\r\n", allowed)
        refused = ground.write("c0", 0, text)
        self.assertEqual((refused.status, refused.body["error"]), (503, "recovering"))
        # Half a request, and silence: a time-out of its own, not the process's end.
        begun = time.monotonic()
        self.assertRegex(self.raw(ground, b"GET /configuration HTTP/1.1\r\nHo"), "^HTTP/1.1 408 ")
        self.assertLess(time.monotonic() - begun, PROMPT)
        self.assertEqual(ground.status("c0")["state"], "recovering")
        ground.programs["c0"].process.send_signal(signal.SIGUSR1)
        counters = ground.programs["c0"].wait_for_line("counters (.*)")[1]
        self.assertRegex(counters, r"answer_404=2\b")
        self.assertEqual(ground.end("c0", signal.SIGTERM), 0)
        self.assertEqual(ground.fault_lines(), [])

    def test_requests_that_come_together_are_answered_in_turn(self) -> None:
        ground = self.begun()
        ask = b"GET /configuration?after=%d&wait_ms=%d HTTP/1.1\r\nHost: c\r\n\r\n"
        with socket.create_connection(("127.0.0.1", ground.ports["c0"]), PATIENCE) as line:
            line.sendall(
                ask % (0, 200) + ask % (0, 0) + b"GET /none HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"
            )
            got = b""
            while more := line.recv(65536):
                got += more
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", got), [b"200", b"200", b"404"])

    def test_sigterm_answers_what_waits(self) -> None:
        ground = self.begun()
        got: list[Reply] = []

        def watch() -> None:
            got.append(ground.call("c0", "GET", "/configuration?after=0&wait_ms=20000&node=n"))

        thread = threading.Thread(target=watch, daemon=True)
        thread.start()
        ground.wait_until(lambda: bool(ground.status("c0")["nodes"]), "the watch is open")
        self.assertEqual(ground.end("c0", signal.SIGTERM), 0)
        thread.join(PROMPT)
        self.assertEqual(got, [(200, {"number": 0, "digest": ""})])

    # Arguments.

    def test_arguments_that_cannot_be_used(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        good, bad = Path(folder.name, "good.json"), Path(folder.name, "bad.json")
        good.write_text(json.dumps({"settings": SETTINGS}))
        bad.write_text('{"settings": 3}')
        two = ("--peer=c1=127.0.0.1:1", "--peer=c2=127.0.0.1:2")
        store = f"--store={folder.name}/c0.db"
        usual = {"name": "c0", "listen": "127.0.0.1:0", "settings": str(good)}
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            for changed, peers, where, status, said in (
                ({"name": "a b"}, two, store, 2, "--name: expected a name"),
                ({"listen": "127.0.0.1"}, two, store, 2, "--listen: expected host:port"),
                ({}, two[:1], store, 2, "--peer: expected the two other replicas"),
                ({}, ("--peer=c0=127.0.0.1:1", two[0]), store, 2, "--peer: expected the two other"),
                ({}, ("--peer=c1", two[1]), store, 2, "--peer: expected NAME=host:port"),
                ({"settings": str(bad)}, two, store, 2, "--settings: .* an object `settings`"),
                ({"settings": folder.name + "/none"}, two, store, 2, "--settings: .*No such file"),
                ({}, two, f"--store={folder.name}/none/c0.db", 1, "--store: .*unable to open"),
                ({"listen": f"127.0.0.1:{port}"}, two, store, 1, "c0: listen: "),
            ):
                with self.subTest(said):
                    told = [f"--{key}={value}" for key, value in {**usual, **changed}.items()]
                    run = subprocess.run(
                        [sys.executable, "-m", "violetsaddle.cli", "control", *told, *peers, where],
                        capture_output=True,
                        text=True,
                        timeout=PATIENCE,
                        cwd=TREE,
                    )
                    self.assertEqual((run.returncode, run.stdout), (status, ""), run.stderr)
                    self.assertRegex(run.stderr, said)
                    self.assertEqual(run.stderr.count("\n"), 1, run.stderr)

    # The operators' commands.

    def config(self, *args: str, stdin: str = "") -> tuple[int, str, str]:
        run = subprocess.run(
            [sys.executable, "-m", "violetsaddle.cli", "config", *args],
            input=stdin,
            capture_output=True,
            text=True,
            timeout=2 * PATIENCE,
            cwd=TREE,
        )
        return run.returncode, run.stdout, run.stderr

    def at(self, ground: Replicas, *names: str) -> list[str]:
        return [f"--replica={address}" for address in ground.addresses(*names)]

    def test_push_show_and_status(self) -> None:
        ground = self.begun()
        file = ground.folder / "new.json"
        file.write_text(document(3.0))
        status, out, err = self.config("show", *self.at(ground))
        self.assertEqual((status, out), (1, ""))
        self.assertIn("nothing was pushed yet", err)
        status, out, err = self.config("push", str(file), "--author=ann", "--wait=0.3", *self.at(ground))
        self.assertEqual(status, 1, (out, err))
        self.assertIn("version 1 accepted by ", out)
        self.assertIn("no node is heard", out)
        self.assertEqual(err, "violetsaddle: version 1 is accepted, but not in force everywhere\n")
        nodes = [Node(ground, f"n{n}", NAMES[n % 3]) for n in range(4)]
        with self.nodes(ground, *nodes):
            ground.wait_until(lambda: all(node.number == 1 for node in nodes), "all nodes run 1")
            status, out, err = self.config("push", "-", "--author=ann", *self.at(ground), stdin=document(4.0))
            self.assertEqual((status, err), (0, ""), out)
            self.assertRegex(out, r"(?m)^version 2 accepted by c\d, digest [0-9a-f]{32}$")
            self.assertIn("runs it: n0, n1, n2, n3\n", out)
            self.assertRegex(out, r"(?m)^in force: all 4 nodes run 2, after \d+\.\d\d s$")
            status, out, err = self.config("status", *self.at(ground))
            self.assertEqual((status, err), (0, ""), out)
            self.assertEqual(
                len(re.findall(r"(?m)^replica c\d: voting, version 2 [0-9a-f]{32};", out)), 3, out
            )
            self.assertEqual(re.findall(r"(?m)^node (n\d): 2$", out), ["n0", "n1", "n2", "n3"])
            status, out, err = self.config("show", *self.at(ground, "c2"))
            self.assertEqual((status, out), (0, document(4.0) + "\n"))
            self.assertRegex(
                err, r"^version 2, digest [0-9a-f]{32}, by ann at \d{4}-\d\d-\d\dT[0-9:]{8}\+00:00\n$"
            )
            # One replica that does not answer: its nodes are not known.
            ground.end("c2")
            status, out, err = self.config("push", str(file), "--author=ann", "--wait=1", *self.at(ground))
            self.assertEqual(status, 1, (out, err))
            self.assertIn(f"no answer: {ground.address('c2')}: nodes that only it hears are not known", out)
            status, out, _ = self.config("status", *self.at(ground))
            self.assertEqual(status, 1)
            self.assertIn(f"replica {ground.address('c2')}: ", out)

    def test_push_says_who_does_not_run_it(self) -> None:
        ground = self.begun()
        file = ground.folder / "new.json"
        file.write_text(document(3.0))
        nodes = [
            Node(ground, "n0", "c0"),
            Node(ground, "n1", "c1", stays=True),
            Node(ground, "n2", "c2", refuses="tenants[0].share"),
        ]
        with self.nodes(ground, *nodes):
            for name in NAMES:
                ground.wait_until(lambda name=name: bool(ground.status(name)["nodes"]), "a node is heard")  # type: ignore[misc]
            status, out, err = self.config("push", str(file), "--wait=2", *self.at(ground))
        self.assertEqual(status, 1, (out, err))
        self.assertIn("runs it: n0\n", out)
        self.assertIn("not yet: n1 (nothing pushed)\n", out)
        self.assertIn("refused by n2: tenants[0].share\n", out)
        self.assertEqual(err, "violetsaddle: version 1 is accepted, but not in force everywhere\n")

    def test_push_that_is_refused(self) -> None:
        ground = self.begun()
        good, bad = ground.folder / "good.json", ground.folder / "bad.json"
        good.write_text(document(3.0))
        self.accepted(ground.write("c0", 0, document(2.5)), 1)
        self.settled(ground, 1)
        for text, said in (
            ("{", "not JSON"),
            ("[]", "expected a JSON object"),
            ('{"a": NaN}', "not JSON"),
            ('{"a": "' + "x" * 70_000 + '"}', "longer than 65536 bytes"),
            (json.dumps({**SETTINGS, "period": 7}), "refused: period: "),
        ):
            bad.write_text(text)
            status, out, err = self.config("push", str(bad), *self.at(ground))
            self.assertEqual((status, out, err.count("\n")), (2, "", 1), err)
            self.assertIn(said, err)
        for args, wanted, said in (
            (("push", str(ground.folder / "none"), *self.at(ground)), 2, "No such file"),
            (("push", str(good), "--replica=nowhere"), 2, "expected host:port"),
            (("push", str(good)), 2, "--replica"),
            (
                ("push", str(good), "--base=0", *self.at(ground)),
                1,
                "conflict: version 1 is the newest, not 0",
            ),
            (("show", "--replica=127.0.0.1:1"), 1, "no replica answers"),
            (("status", "--replica=127.0.0.1:1"), 1, "no replica answers"),
            (("push", str(good), "--replica=127.0.0.1:1"), 1, "no replica answers"),
        ):
            with self.subTest(args[0] + said):
                status, _, err = self.config(*args)
                self.assertEqual(status, wanted, err)
                self.assertIn(said, err)
        ground.end("c1")
        ground.end("c2")
        status, out, err = self.config("push", str(good), *self.at(ground))
        self.assertEqual((status, out), (1, ""))
        self.assertIn("no majority of replicas answered: nothing was written", err)
        self.assertEqual(ground.status("c0")["number"], 1)

    def test_a_writer_killed_between_two_replicas(self) -> None:
        """Its write is whole or is not: the answer of the first replica never reached it."""
        ground = self.begun()
        file = ground.folder / "new.json"
        file.write_text(document(3.0))
        before = ground.relays.relay()
        before.target = ground.ports["c0"]
        way = [f"--replica=127.0.0.1:{before.port}", *self.at(ground, "c1")]
        command = [sys.executable, "-m", "violetsaddle.cli", "config", "push", str(file), "--author=ann"]
        # As its request has left and before it could ask another one.
        before.set(drop_back=True)
        writer = Program([*command, "--base=0", way[0]], {})
        self.addCleanup(writer.end)
        # Its first question, of the status, gets no answer either, so that it gives up by itself.
        self.assertEqual(writer.wait_for_exit(), 1)
        self.assertEqual(ground.status("c1")["number"], 0)
        before.set()
        threading.Thread(target=self.block_answers, args=(ground, before), daemon=True).start()
        writer = Program([*command, *way], {})
        self.addCleanup(writer.end)
        for name in NAMES:
            ground.wait_for_version(name, 1)
        writer.end()
        self.settled(ground, 1)
        # The same again, by the same author after the same base, is the same write.
        status, out, err = self.config(
            "push", str(file), "--author=ann", "--base=0", "--wait=0", *self.at(ground)
        )
        self.assertIn("version 1 accepted", out, err)
        self.settled(ground, 1)
        # Killed before its request has left whole, it has written nothing.
        with socket.create_connection(("127.0.0.1", ground.ports["c0"]), PATIENCE) as line:
            line.sendall(b"POST /configuration HTTP/1.1\r\nHost: c\r\nContent-Length: 900\r\n\r\n{")
        self.settled(ground, 1)

    def block_answers(self, ground: Replicas, before: Any) -> None:
        """From the status' answer on nothing comes back through this relay."""
        with contextlib.suppress(AssertionError):
            ground.wait_until(lambda: before.passed > 300 and not before.ends, "the status was asked")
            before.set(drop_back=True)

    def test_a_writer_goes_on_at_the_next_replica(self) -> None:
        ground = self.begun()
        before = ground.relays.relay()
        before.target = ground.ports["c0"]
        text = document(3.0)
        done: list[object] = []

        def write() -> None:
            try:
                addresses = [f"127.0.0.1:{before.port}", *ground.addresses("c1")]
                done.append(client.write(addresses, text, "ann", 0, PATIENCE, time.monotonic))
            except (client.FailedError, client.InputError) as error:
                done.append(error)

        real = client.call

        def call(address: str, method: str, *args: Any) -> client.Reply:
            if method == "POST" and address.endswith(f":{before.port}"):
                before.set(drop_back=True)
                threading.Thread(target=cut, daemon=True).start()
            return real(address, method, *args)

        def cut() -> None:
            ground.wait_for_version("c1", 1)
            before.reset()

        with mock.patch.object(client, "call", call):
            write()
        self.assertEqual(done, [client.Accepted(1, digest(text), "c1")])
        self.settled(ground, 1)


if __name__ == "__main__":
    unittest.main()
