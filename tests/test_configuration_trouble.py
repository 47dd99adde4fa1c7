"""Changes of the configuration in trouble: real replicas, real nodes, and the fault between them."""

from __future__ import annotations

import copy
import json
import os
import re
import select
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable, Iterable
from pathlib import Path
from threading import Thread
from typing import Any
from unittest import mock

from tests.executor import Clients, Executors
from tests.replicas import NAMES, Replicas
from tests.scenario import PATIENCE, SETTINGS, Scenario
from tests.test_configuration_node import BOUND, TIER, Tier, document
from violetsaddle.decide.document import MAX_DOCUMENT_BYTES, baseline_of, digest
from violetsaddle.decide.memory import LearnedState
from violetsaddle.lab.live.children import TREE
from violetsaddle.net.configuration import decode_snapshot
from violetsaddle.store import snapshots

Pair = tuple[str, str]
LOST = {"drop": True, "drop_back": True}  # bytes vanish both ways, and nobody is told


def until(met: Callable[[], bool], what: str, within: float = PATIENCE) -> float:
    """Looks again and again; gives how long it took."""
    began = time.monotonic()
    while not met():
        if time.monotonic() > began + within:
            raise AssertionError(f"not within {within} s: {what}")
        time.sleep(0.02)
    return time.monotonic() - began


def numbers(log: str) -> list[int]:
    """Of the versions that a node put in force, in that order."""
    return [int(number) for number in re.findall(r"configuration (\d+) by \S+ \(\w+\) is in force", log)]


class Nodes(Tier):
    """Several nodes; the ways between them can be cut pair by pair, and each can be started again."""

    def __init__(
        self,
        test: unittest.TestCase,
        count: int,
        operators: list[str],
        lossy: float,
        settings: dict[str, Any],
    ) -> None:
        """`settings`: of all nodes, but for what differs between them."""
        self.settings = settings
        self.cut: frozenset[tuple[int, int]] = frozenset()  # datagrams to the first from the second are lost
        super().__init__(test, count, operators, lossy)

    def start(self, number: int, operator: str) -> None:
        with mock.patch("tests.test_configuration_node.TIER", self.settings):
            super().start(number, operator)

    def carry(self) -> None:
        by_socket = {sock: pair for pair, sock in self.between.items()}
        while not self.over.is_set():
            for sock in select.select(list(by_socket), [], [], 0.1)[0]:
                to, origin = by_socket[sock]
                data = sock.recv(512)
                if (to, origin) in self.cut or self.random.random() < self.lossy:
                    self.lost += 1
                    continue
                self.passed += 1
                host, port = self.places[to].split(":")
                self.between[origin, to].sendto(data, (host, int(port)))

    def part(self, one: Iterable[int], other: Iterable[int]) -> None:
        """Between these and those no datagram passes any more."""
        self.cut = frozenset(pair for a in one for b in other for pair in ((a, b), (b, a)))

    def end(self, how: dict[int, signal.Signals]) -> None:
        """Ends these nodes, all at once."""
        for number, sent in how.items():
            self.processes[number].send_signal(sent)
        for number in how:
            self.processes[number].wait(PATIENCE)

    def again(self, number: int) -> None:
        """Starts a node that has ended, with the operator file that it had; its log begins anew."""
        self.start(number, Path(self.folder.name, f"{number}.toml").read_text())
        self.processes[number] = self.processes.pop()

    def sound(self, test: unittest.TestCase) -> None:
        """No fault of any node, and none went back to a lower number."""
        for number in range(self.count):
            test.assertNotIn("faults", self.counters(number))
            test.assertEqual(numbers(self.log(number)), sorted(set(numbers(self.log(number)))))


class Several(unittest.TestCase):
    settings: dict[str, Any] = {**TIER, "siblings": 4}

    def begin(
        self,
        count: int = 4,
        lossy: float = 0.0,
        snapshots: Iterable[int] = (),
        only: dict[int, tuple[str, ...]] | None = None,
    ) -> None:
        """Three replicas and so many nodes, each of which reaches each replica by a relay of its own.

        `snapshots`: nodes that keep the newest version; `only`: replicas that a node knows, where not all."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings = {**self.settings, "siblings": count}
        self.replicas = Replicas(folder.name, self.settings)
        self.addCleanup(self.replicas.close)
        for node in range(count):
            for name in NAMES:
                self.replicas.links[f"n{node}", name] = self.replicas.relays.relay()
        self.replicas.start_all()
        operators = []
        for node in range(count):
            known = (only or {}).get(node, NAMES)
            places = [f"127.0.0.1:{self.replicas.links[f'n{node}', name].port}" for name in known]
            kept = str(self.snapshot(node)) if node in snapshots else ""
            told = f"replicas = {json.dumps(places)}\nsnapshot = {json.dumps(kept)}\n"
            operators.append("[configuration]\n" + told)
        self.tier = Nodes(self, count, operators, lossy, self.settings)
        self.tier.wait("listening on", PATIENCE)
        until(lambda: len(self.heard()) == count, "all nodes are heard")

    def snapshot(self, node: int) -> Path:
        return self.folder / f"n{node}.configuration"

    def holds(self, node: int, number: int) -> None:
        """Until the node's snapshot is of this version."""
        path = self.snapshot(node)
        until(
            lambda: path.exists() and decode_snapshot(path.read_bytes()).number == number,
            f"snapshot {number}",
        )

    def heard(self) -> set[str]:
        programs = self.replicas.programs
        alive = [name for name in programs if programs[name].process.poll() is None]
        return {node["name"] for name in alive for node in self.replicas.status(name)["nodes"]}

    def set(self, pairs: Iterable[Pair], **how: Any) -> None:
        """These ways, and the ways back; nothing told: as they were before."""
        wanted = {*pairs} | {(b, a) for a, b in pairs}
        for pair, way in self.replicas.links.items():
            if pair in wanted:
                way.set(**how)

    def document(self, **permissions: Any) -> str:
        return document(self.settings, **permissions)

    def accept(self, name: str, base: int, text: str) -> float:
        """Writes at a replica; when it was accepted."""
        reply = self.replicas.write(name, base, text)
        self.assertEqual((reply.status, reply.body.get("number")), (200, base + 1), reply)
        return time.monotonic()

    def in_force(self, number: int, since: float, nodes: list[int] | None = None) -> None:
        """At these nodes within the bound, counted from `since`."""
        self.tier.wait(f"configuration {number} by ann", BOUND - (time.monotonic() - since), nodes)
        self.assertLess(time.monotonic() - since, BOUND)


class Parted(Several):
    def test_a_region_cut_off_with_its_nodes_and_its_replica(self) -> None:
        """c2, n2 and n3 are the one region; what goes to the others vanishes and nobody is told."""
        self.begin()
        inside, outside = ("c2", "n2", "n3"), ("c0", "c1", "n0", "n1")
        between = [(a, b) for a in inside for b in outside]
        self.in_force(1, self.accept("c2", 0, self.document(mostTries=1)))
        self.set(between, **LOST)
        self.tier.part((0, 1), (2, 3))
        self.in_force(2, self.accept("c0", 1, self.document(mostTries=2)), [0, 1])

        reply = self.replicas.write("c2", 1, self.document(mostTries=7), author="bob")
        self.assertEqual((reply.status, reply.body["error"]), (503, "no_majority"), reply)
        status, said = self.push(self.document(mostTries=8), "c2")
        self.assertEqual(status, 1, said)
        self.assertRegex(said, "no majority|no second replica|surely not accepted")
        for name in ("c0", "c1", "c2"):
            self.assertEqual(self.replicas.status(name)["number"], 1 if name == "c2" else 2)
        for node in (2, 3):
            self.assertEqual(numbers(self.tier.log(node)), [1])
            self.assertEqual(self.tier.counters(node)["configuration_number"], 1)

        healed = time.monotonic()
        self.tier.part((), ())
        self.set(between)
        self.in_force(2, healed, [2, 3])
        wanted = digest(self.document(mostTries=2))
        for name in NAMES:
            self.assertEqual(self.replicas.wait_for_version(name, 2)["digest"], wanted)
        self.assertLess(time.monotonic() - healed, BOUND)
        self.in_force(3, self.accept("c2", 2, self.document(mostTries=3)))
        for node in range(4):
            self.assertEqual(numbers(self.tier.log(node)), [1, 2, 3])
        self.tier.sound(self)
        self.assertEqual(self.replicas.fault_lines(), [])

    def push(self, text: str, *names: str) -> tuple[int, str]:
        """Status of `config push` at these replicas, and what it printed."""
        path = self.folder / "document.json"
        path.write_text(text)
        places = [f"--replica={place}" for place in self.replicas.addresses(*names)]
        done = subprocess.run(
            [sys.executable, "-m", "violetsaddle.cli", "config", "push", "--wait=2", str(path), *places],
            capture_output=True,
            text=True,
            cwd=TREE,
            timeout=PATIENCE,
        )
        return done.returncode, done.stdout + done.stderr

    def test_all_datagrams_between_nodes_are_lost(self) -> None:
        """The replicas alone bring it, also past one that is cut off from the others."""
        self.begin(lossy=1.0)
        self.in_force(1, self.accept("c0", 0, self.document(mostTries=1)))
        self.set([("c0", "c1"), ("c0", "c2")], **LOST)
        self.in_force(2, self.accept("c1", 1, self.document(mostTries=2)))
        self.assertEqual(self.replicas.status("c0")["number"], 1)
        until(lambda: self.tier.lost > 0, "nodes tell each other")
        self.assertEqual(self.tier.passed, 0)
        for node in range(4):
            self.assertNotIn("configuration_heard", self.tier.counters(node))
        self.tier.sound(self)


class Restarted(Several):
    def test_nodes_restarted_in_the_middle_of_a_change(self) -> None:
        """The replica's answer with the version is on its way to the node as the node ends: by SIGTERM and by
        SIGKILL, each with a snapshot and without."""
        self.begin(5, snapshots=(0, 1))
        self.in_force(1, self.accept("c0", 0, self.document(mostTries=1)))
        for node in (0, 1):
            self.holds(node, 1)
        ways = [(f"n{node}", name) for node in range(4) for name in NAMES]
        self.set(ways, drop_back=True)
        self.in_force(2, self.accept("c1", 1, self.document(mostTries=2)), [4])
        self.answers_lost(2, range(4))
        self.tier.end({0: signal.SIGTERM, 1: signal.SIGKILL, 2: signal.SIGTERM, 3: signal.SIGKILL})
        self.assertEqual([numbers(self.tier.log(node)) for node in range(4)], [[1]] * 4)
        # With no replica to be reached they begin with what they have.
        for node in range(4):
            self.tier.again(node)
        self.tier.wait("listening on", PATIENCE)
        for node in range(4):
            self.assertEqual(numbers(self.tier.log(node)), [1] if node < 2 else [], f"node {node}")
        back = time.monotonic()
        self.set(ways)
        self.in_force(2, back)
        for node in (0, 1):
            self.holds(node, 2)
        self.ended_as_it_is_accepted()
        for node in range(4):
            wanted = digest(self.document(mostTries=3))[:8]
            self.assertIn(f"configuration 3 by ann ({wanted}) is in force", self.tier.log(node))
        self.tier.sound(self)
        self.assertEqual(self.replicas.fault_lines(), [])

    def ended_as_it_is_accepted(self) -> None:
        """Each ends somewhere between the write of version 3 and its own snapshot of it, and starts again."""
        writer = Thread(target=self.accept, args=("c2", 2, self.document(mostTries=3)))
        writer.start()
        self.tier.end({0: signal.SIGKILL, 1: signal.SIGTERM, 2: signal.SIGKILL, 3: signal.SIGTERM})
        for node in range(4):
            self.assertLessEqual(set(numbers(self.tier.log(node))), {1, 2, 3})
            if node < 2:
                self.assertIn(decode_snapshot(self.snapshot(node).read_bytes()).number, (2, 3))
            self.tier.again(node)
        writer.join(PATIENCE)
        self.replicas.wait_for_version("c2", 3)
        self.tier.wait("listening on", PATIENCE)
        self.in_force(3, time.monotonic())
        for node in (0, 1):
            self.assertEqual(numbers(self.tier.log(node))[-1], 3)
            self.assertIn(numbers(self.tier.log(node))[0], (2, 3))

    def answers_lost(self, number: int, nodes: Iterable[int]) -> None:
        """Until an answer with this version has vanished on its way to each node."""
        for name in NAMES:
            self.replicas.wait_for_version(name, number)
        ends = {n: [self.replicas.links[f"n{n}", name].ends for name in NAMES] for n in nodes}
        for ways in ends.values():
            for end in [end for way in ways for end in list(way)]:
                end.lossy = False  # what vanished before may have been another answer
        for node, ways in ends.items():
            until(lambda: any(e.lossy for way in ways for e in list(way)), f"n{node} lacks one")  # noqa: B023


class Disks(Several):
    def test_a_replica_back_with_an_old_disk_takes_no_node_back(self) -> None:
        self.back_with(old=True)

    def test_a_replica_back_with_an_empty_disk_takes_no_node_back(self) -> None:
        self.back_with(old=False)

    def back_with(self, old: bool) -> None:
        """n0 and n1 know c0 alone, which comes back with less than they have, and cut off."""
        self.begin(snapshots=(0,), only={0: ("c0",), 1: ("c0",)})
        self.in_force(1, self.accept("c0", 0, self.document(mostTries=1)))
        self.replicas.wait_for_version("c0", 1)
        kept = self.copied("c0") if old else None
        for number in (2, 3):
            accepted = self.accept("c1", number - 1, self.document(mostTries=number))
            self.in_force(number, accepted)
        self.holds(0, 3)
        self.replicas.end("c0")
        self.replicas.replace_store("c0", kept)
        self.set([("c0", "c1"), ("c0", "c2")], **LOST)
        before = [self.tier.counters(node).get("configuration_behind", 0) for node in range(4)]
        self.replicas.start("c0")
        until(lambda: {"n0", "n1"} <= self.heard_by("c0"), "they watch it")
        self.assertEqual(self.replicas.status("c0")["number"], 1 if old else 0)
        for node in (0, 1):
            self.told_of_less(node, before[node])
        # One that is started now has its snapshot, and goes not back either.
        self.tier.end({0: signal.SIGKILL})
        self.tier.again(0)
        self.tier.wait("listening on", PATIENCE, [0])
        self.told_of_less(0, 0)
        for node in range(4):
            self.assertEqual(self.tier.counters(node)["configuration_number"], 3)
            self.assertEqual(numbers(self.tier.log(node)), [1, 2, 3] if node else [3])
        self.set([("c0", "c1"), ("c0", "c2")])
        self.assertEqual(
            self.replicas.wait_for_version("c0", 3)["digest"], digest(self.document(mostTries=3))
        )
        self.replicas.wait_until_voting("c0")
        self.in_force(4, self.accept("c0", 3, self.document(mostTries=4)))
        for node in range(4):
            self.assertEqual(numbers(self.tier.log(node)), [1, 2, 3, 4] if node else [3, 4])
        self.tier.sound(self)
        self.assertEqual(self.replicas.fault_lines(), [])

    def copied(self, name: str) -> Path:
        """A copy of a replica's store; it is started again."""
        self.replicas.end(name)
        kept = self.replicas.copy_store(name)
        self.replicas.start(name)
        self.replicas.wait_until_voting(name)
        return kept

    def told_of_less(self, node: int, before: int) -> None:
        """Until a replica answered this node with a lower number than its own, once more than `before`."""
        until(
            lambda: self.tier.counters(node).get("configuration_behind", 0) > before,
            "it is told of a lower number",
        )

    def heard_by(self, name: str) -> set[str]:
        return {node["name"] for node in self.replicas.status(name)["nodes"]}


class Large(Several):
    """A document of more than 60 KB: 740 tenants whose names are not ASCII."""

    settings = {
        **TIER,
        "tenants": [
            {"name": f'équipe «{n:04}» \\ "nord"', "share": 0.0015, "allowancePerS": 12.5} for n in range(740)
        ],
    }

    def test_a_document_of_60_kb_is_in_force_as_it_was_pushed(self) -> None:
        self.begin(3, snapshots=(0, 1, 2))
        for number, share in ((1, 0.00175), (2, 0.00225)):
            table = copy.deepcopy(baseline_of(self.settings))
            for tenant in table["tenants"]:
                tenant["share"] = share
            text = json.dumps(table, ensure_ascii=False)
            self.assertTrue(60_000 <= len(text.encode()) <= MAX_DOCUMENT_BYTES, len(text.encode()))
            self.in_force(number, self.accept(NAMES[number], number - 1, text))
            for name in NAMES:
                self.assertEqual(self.replicas.wait_for_version(name, number)["document"], text)
            for node in range(3):
                self.assertIn(f"({digest(text)[:8]}) is in force: tenants[0].share", self.tier.log(node))
                until(lambda: self.kept(node) == (number, text), "the snapshot holds it")  # noqa: B023
        # A node that starts with it, and no replica to be had.
        self.set([("n0", name) for name in NAMES], cut=True)
        self.tier.end({0: signal.SIGTERM})
        self.tier.again(0)
        self.tier.wait("listening on", PATIENCE, [0])
        self.assertEqual(numbers(self.tier.log(0)), [2])
        self.tier.sound(self)
        self.assertEqual(self.replicas.fault_lines(), [])

    def kept(self, node: int) -> tuple[int, str]:
        if not self.snapshot(node).exists():
            return 0, ""
        version = decode_snapshot(self.snapshot(node).read_bytes())
        return version.number, version.document


class Served(Scenario):
    """One node with its executors, and three replicas."""

    def serve(self, settings: dict[str, Any], operator: str = "", servers: int = 2) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.site = {**SETTINGS, **settings}
        self.replicas = Replicas(folder.name, self.site)
        self.addCleanup(self.replicas.close)
        self.replicas.start_all()
        told = f"[configuration]\nreplicas = {json.dumps(self.replicas.addresses())}\n"
        self.start(settings, servers, operator=told + operator)
        self.base = 0

    def push(self, table: dict[str, Any]) -> None:
        """Until it is in force at the node."""
        reply = self.replicas.write(NAMES[self.base % 3], self.base, json.dumps(table))
        self.assertEqual(reply.status, 200, reply)
        self.base += 1
        self.log(f"configuration {self.base} by ann", "is in force")

    def counters(self) -> dict[str, int]:
        os.kill(self.program.pid, signal.SIGUSR1)
        line = self.log(" counters ")[0]
        return {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", line)}


class Shares(Served):
    """The shares of all tenants while their requests are more than the executors can take."""

    TENANTS = [f"team-{n:02}" for n in range(1, 48)]
    SLOTS, RUN = 4, 0.03
    LANES = ["quote", "settle"]  # may be repeated, and never

    def test_halved_at_full_load_and_back(self) -> None:
        shares = [round(0.12 / (1 + n) ** 0.65, 4) for n in range(len(self.TENANTS))]
        tenants = [{"name": name, "share": share} for name, share in zip(self.TENANTS, shares)]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        kept = Path(folder.name, "learned")
        told = f'[restart]\nsnapshot = "{kept}"\nsnapshot_every_s = 0.2\n'
        self.serve({"tenants": tenants}, told, 3)
        executors = Executors(self.servers, self.port, self.SLOTS, self.RUN)
        self.addCleanup(executors.close)
        clients = Clients(self.port, {n: self.LANES[i % 2] for i, n in enumerate(self.TENANTS)})
        self.addCleanup(clients.close)
        clients.begin()
        until(lambda: executors.turned_away > 0, "the executors are full")
        halved = [share / 2 for share in shares]
        some = [share / (1 + n % 2) for n, share in enumerate(shares)]
        for now in (halved, shares, some, shares):
            before = sum(clients.served.values())
            table = copy.deepcopy(baseline_of(self.site))
            for tenant, share in zip(table["tenants"], now):
                tenant["share"] = share
            self.push(table)
            until(lambda: self.follow(kept, now), f"the buckets accrue by {now}")  # noqa: B023
            until(
                lambda: sum(clients.served.values()) > before + 100,  # noqa: B023
                "requests are served beside it",
            )
        clients.stop()
        self.judge(executors, clients)

    def follow(self, kept: Path, shares: list[float]) -> bool:
        """Whether the buckets in the node's snapshot are filled at the rates of these shares."""
        if not kept.exists():
            return False
        data = kept.read_bytes()
        memory: LearnedState = snapshots.decode(data, snapshots.HEADER.unpack_from(data)[3])
        rate = memory.values.get("rate")
        rates = [bucket.rate for bucket in memory.buckets]
        if not rate or len(rates) != len(shares) or None in rates:
            return False
        wanted = [rate * share / sum(shares) for share in shares]
        return all(abs((is_ or 0.0) - due) <= 1e-6 * due for is_, due in zip(rates, wanted))

    def judge(self, executors: Executors, clients: Clients) -> None:
        self.assertEqual(clients.strange, [])
        self.assertEqual([job for job, told in clients.answers.items() if len(told) != 1], [])
        statuses = [told[0] for told in clients.answers.values()]
        self.assertEqual(len(statuses), sum(clients.sent.values()))
        self.assertLessEqual(set(statuses), {200, 429, 503})
        for tenant in self.TENANTS:
            self.assertGreater(clients.served[tenant], 0, tenant)
        again = [job for job, times in executors.ran.items() if times > 1]
        self.assertEqual(again, [], "no attempt was lost")
        counts = self.counters()
        self.assertEqual(counts["configuration_number"], 4)
        self.assertEqual(counts.get("faults", 0), 0)
        for status in {200, 429, 503}:
            self.assertEqual(counts.get(f"answer_{status}", 0), statuses.count(status), status)
        self.assertEqual(statuses.count(200), sum(executors.ran.values()))
        self.assertEqual([*executors.callbacks], ["204"])
        self.assertEqual(self.replicas.fault_lines(), [])


class Cancelled(Served):
    """Permission to cancel is taken away while DELETEs are out that the executors do not answer."""

    def test_deletes_that_are_out_end_as_they_began(self) -> None:
        self.serve({"familyInfo": {"tellsStart": True}})
        for client, job in (("c1", "a"), ("c2", "b"), ("c3", "d")):
            self.begun(client, job)
        self.play("""
            c1 close
            of-a expect DELETE /jobs/a
            c2 close
            of-b expect DELETE /jobs/b
        """)
        table = copy.deepcopy(baseline_of(self.site))
        table["permissions"]["cancel"] = False
        self.push(table)
        self.begun("c4", "e")  # taken under the new settings
        # One is answered now, and one is lost with its connection: it goes out again.  A request from before
        # that is left now has its DELETE, one that came after has none.
        self.play("""
            of-a send 204
            of-b close
            s expect ~DELETE /jobs/b
            s send 204
            c3 close
            s expect ~DELETE /jobs/d
            s send 204
            c4 close
        """)
        until(lambda: self.counters().get("clients_gone") == 4, "all clients have gone")
        counts = self.counters()
        self.assertEqual((counts["deletes"], counts.get("deletes_again", 0)), (3, 1))
        self.assertEqual((counts["configuration_number"], counts.get("faults", 0)), (1, 0))
        # Given back: requests from then on are cancelled again, and that of before is not.
        self.begun("c5", "f")
        self.push(baseline_of(self.site))
        self.begun("c6", "g")
        self.play("""
            c5 close
            c6 close
            s expect ~DELETE /jobs/g
            s send 204
        """)
        until(lambda: self.counters().get("clients_gone") == 6, "all clients have gone")
        self.assertEqual(self.counters()["deletes"], 4)
        self.assertFalse([text for _, text in self.waiting if text.startswith("DELETE")])
        self.play("""
            of-e call+ e done result=x
            of-f call+ f done result=x
            node send TERM
            node expect counters | deletes=4 | deletes_again=1 | !faults
            node expect exit 0
        """)

    def begun(self, client: str, job: str) -> None:
        """A request of this client whose job an executor runs; its time ends after the test's patience."""
        head = f"X-Txn: {job} | X-Lane: quote | X-Org: acme | X-Remaining: 60000m"
        self.play(f"""
            {client} send POST /api | {head} | |
            s expect ~X-Txn: {job}
            s send 202
            s call+ {job} started
        """)
        time.sleep(0.03)  # an older answer may come up to then: a DELETE would go on a connection of its own


if __name__ == "__main__":
    unittest.main()
