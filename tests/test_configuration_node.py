"""Changes of the configuration at run time, with real node processes and replicas that the test serves."""

from __future__ import annotations

import copy
import ctypes
import json
import os
import random
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from threading import Event, Thread
from typing import Any

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tests.replica import Replica
from tests.scenario import PATIENCE, SETTINGS, Scenario, address, datagrams, listener
from violetsaddle.decide.document import baseline_of, digest
from violetsaddle.decide.subscription import encode
from violetsaddle.net.configuration import (
    BadAnswerError,
    Version,
    decode_snapshot,
    encode_snapshot,
    parse_answer,
)
from violetsaddle.store.files import DamagedError

BOUND = 8.0  # seconds; a change is applied at every node in less
PR_SET_PDEATHSIG = 1  # of prctl(2): the signal that a child gets when its parent dies
TIER = {
    **SETTINGS,
    "permissions": {**SETTINGS["permissions"], "mayTell": True},
    "tenants": [{"name": "acme", "share": 0.75}, {"name": "beta", "share": 0.25}],
}


def document(settings: dict[str, Any] | None = None, **permissions: Any) -> str:
    """Returns a document with the settings, and these permissions changed."""
    table = copy.deepcopy(baseline_of(settings or SETTINGS))
    table["permissions"].update(permissions)
    return json.dumps(table)


def section(*replicas: Replica | str, **options: Any) -> str:
    """Returns the section `[configuration]` of an operator file."""
    addresses = [replica if isinstance(replica, str) else replica.address for replica in replicas]
    lines = [f"{name} = {json.dumps(value)}" for name, value in {"replicas": addresses, **options}.items()]
    return "[configuration]\n" + "\n".join(lines) + "\n"


class SingleNode(Scenario):
    """One node process, and replicas that are closed after the test."""

    def replicas(self, count: int = 1) -> list[Replica]:
        created = [Replica() for _ in range(count)]
        for replica in created:
            self.addCleanup(replica.close)
        return created

    def counters(self) -> dict[str, int]:
        os.kill(self.program.pid, signal.SIGUSR1)
        line = self.log("counters")[0]
        return {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", line)}


class One(SingleNode):
    def test_a_version_is_put_in_force_and_the_next_too(self) -> None:
        (replica,) = self.replicas()
        self.start(operator=section(replica))
        replica.wait_for_call(PATIENCE, after="0", node="n1", wait_ms="2500")
        replica.push(1, document(mostTries=1))
        self.log("configuration 1 by ann", "in force: permissions.mostTries 3 -> 1")
        replica.wait_for_call(1.0, after="1")
        self.play("""
            s close listener
            c send job a quote
            c expect 503
        """)
        counts = self.counters()
        self.assertEqual(counts["outcome_connect_failed"], 1, "one try")
        replica.push(2, document(mostTries=2), author="b\nb")
        self.log("configuration 2 by b\\nb", "mostTries 1 -> 2")
        self.play("""
            c send job b quote
            c expect 503
        """)
        counts = self.counters()
        self.assertEqual(counts["outcome_connect_failed"], 3, "two tries more")
        self.assertEqual(
            [counts["configuration_number"], counts["configurations_applied"], counts.get("faults", 0)],
            [2, 2, 0],
        )
        self.assertGreaterEqual(counts["configuration_calls"], 2)

    def test_what_is_refused(self) -> None:
        replica, other = self.replicas(2)
        self.start(operator=section(replica, other, watch_wait_ms=300), name="n 1")
        other.set(status=503)
        replica.wait_for_call(PATIENCE, node="n_1")
        replica.push(1, document(mostTries=1))
        self.log("configuration 1 by ann")

        # A wrong digest: the document is not checked, and the version is applied once its digest is right.
        replica.push(2, document(mostTries=2), wrong_digest="0" * 32)
        self.log("configuration 2 from", "its digest is another")
        replica.push(2, document(mostTries=2))
        self.log("configuration 2 by ann", "in force")
        # A truncated answer.
        replica.set(truncated_bytes=3)
        replica.push(3, document(mostTries=4))
        time.sleep(0.5)
        replica.set(truncated_bytes=0)
        self.log("configuration 3 by ann", "in force")
        # A document that was truncated before its digest was computed, and one that changes a key that may
        # not change: both are refused for good, and the node tells the replica why.
        replica.push(4, document(mostTries=5)[:-20])
        self.log("configuration 4 by ann", "refused: expected JSON")
        replica.wait_for_call(PATIENCE, after="3", refused="4", why="document")
        replica.push(5, document(mostTries=5, keepalive=1))
        self.log("configuration 5 by ann", "refused: permissions.keepalive: expected")
        replica.wait_for_call(PATIENCE, after="3", refused="5", why="permissions.keepalive")
        # An older number.
        replica.push(1, document(mostTries=1))
        replica.set(calls=[])
        replica.wait_for_call(PATIENCE, refused="5")
        time.sleep(0.5)  # the replica answers when the wait of the poll is over
        replica.push(6, document(mostTries=6))
        self.log("configuration 6 by ann", "mostTries 4 -> 6")
        self.assertNotIn("in force", "".join(self.seen[:-1]))
        counts = self.counters()
        self.assertEqual(counts["configuration_number"], 6)
        self.assertEqual(counts["configurations_applied"], 4)
        self.assertGreaterEqual(counts["configurations_refused"], 3)
        self.assertGreaterEqual(counts["configuration_failed"], 2)
        self.assertGreaterEqual(counts["configuration_behind"], 1)

    def test_a_replica_that_is_behind_is_left(self) -> None:
        behind, other = self.replicas(2)
        # The ordinal of this node makes it poll the first replica first.
        self.start(operator=section(behind, other, watch_wait_ms=8000))
        other.push(1, document(mostTries=1))
        behind.push(1, document(mostTries=1))
        self.log("configuration 1 by ann")
        behind.wait_for_call(PATIENCE, after="1")
        began = time.monotonic()
        other.push(2, document(mostTries=2))
        behind.push(0, document())  # as if its store were lost: its next answer has an older number
        self.log("configuration 2 by ann")
        self.assertLess(time.monotonic() - began, 10.0)

    def test_a_silent_replica_delays_by_less_than_the_bound(self) -> None:
        first, second, third = self.replicas(3)
        self.start(operator=section(first, second, third))
        first.wait_for_call(PATIENCE, after="0")
        for replica in (first, second):
            replica.set(silent=True)
        began = time.monotonic()
        third.push(1, document(mostTries=1))
        self.log("configuration 1 by ann")
        self.assertLess(time.monotonic() - began, BOUND)
        self.assertGreaterEqual(self.counters()["configuration_failed"], 1)

    def test_replicas_that_are_all_slow(self) -> None:
        # Each was left for the next before it answered, round after round: no version ever came.
        slow = self.replicas(3)
        for replica in slow:
            replica.set(delay=1.3)
            replica.push(1, document(mostTries=1))
        began = time.monotonic()
        self.start(operator=section(*slow, watch_wait_ms=300))
        self.log("configuration 1 by ann")
        self.assertLess(time.monotonic() - began, BOUND)

    def test_without_any_replica_it_serves_on(self) -> None:
        closed_ports = [
            socket.socket() for _ in range(3)
        ]  # bound, and not listening: connections are refused
        for sock in closed_ports:
            self.addCleanup(sock.close)
            sock.bind(("127.0.0.1", 0))
        self.start(operator=section(*map(address, closed_ports)))
        self.play("""
            c send job a quote
            s expect X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200
        """)
        time.sleep(2.0)
        counts = self.counters()
        self.assertLess(counts["configuration_failed"], 12, "no busy loop")
        self.assertGreaterEqual(counts["configuration_failed"], 3)
        self.assertNotIn("configuration_calls", counts)
        self.assertNotIn("faults", counts)
        self.play("""
            node send TERM
            node expect exit 0
        """)

    def test_it_begins_with_its_snapshot_though_the_replicas_are_behind(self) -> None:
        (replica,) = self.replicas()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "configuration")
            self.start(operator=section(replica, snapshot=str(path), watch_wait_ms=300))
            replica.push(7, document(mostTries=1))
            self.log("configuration 7 by ann")
            end = time.monotonic() + PATIENCE
            while not path.exists() and time.monotonic() < end:
                time.sleep(0.02)
            self.assertEqual(decode_snapshot(path.read_bytes()).number, 7)
            self.play("""
                node send TERM
                node expect exit 0
            """)
            replica.push(3, document(mostTries=9))
            replica.set(calls=[])
            self.again()
            self.assertTrue(any("configuration 7 by ann" in line for line in self.seen), "before it listens")
            replica.wait_for_call(PATIENCE, after="7")
            time.sleep(0.8)
            counts = self.counters()
            self.assertEqual([counts["configuration_number"], counts["configurations_applied"]], [7, 1])
            self.assertGreaterEqual(counts["configuration_behind"], 1)
            # A damaged snapshot: the node starts with its configuration file, and then applies the version of
            # the replica.
            self.play("""
                node send TERM
                node expect exit 0
            """)
            path.write_bytes(path.read_bytes().replace(b'"number": 7', b'"number": 9'))
            self.again()
            self.assertTrue(any("checksum is wrong" in line for line in self.seen), self.seen)
            self.log("configuration 3 by ann")
            self.play("""
                node send TERM
                node expect exit 0
            """)

    def test_a_snapshot_that_can_not_be_written(self) -> None:
        (replica,) = self.replicas()
        self.start(operator=section(replica, snapshot="/proc/none/configuration", gossip_every_ms=100))
        replica.push(1, document(mostTries=1))
        self.log("configuration 1 by ann")
        self.log("snapshot can't be written")
        time.sleep(0.5)
        replica.push(2, document(mostTries=2))
        self.log("configuration 2 by ann")
        self.assertNotIn("can't be written", "".join(self.seen), "said once")
        self.play("""
            node send TERM
            node expect exit 0
        """)

    def test_a_node_that_stood_still_through_three_changes(self) -> None:
        (replica,) = self.replicas()
        self.start(operator=section(replica))
        replica.wait_for_call(PATIENCE, after="0")
        os.kill(self.program.pid, signal.SIGSTOP)
        for number in (1, 2, 3):
            replica.push(number, document(mostTries=number))
            time.sleep(1.5)
        os.kill(self.program.pid, signal.SIGCONT)
        began = time.monotonic()
        while "configuration 3 by ann" not in self.log("configuration")[0]:
            pass
        self.assertLess(time.monotonic() - began, BOUND)
        self.assertEqual(self.counters()["configuration_number"], 3)

    def test_requests_in_flight_keep_what_they_came_under(self) -> None:
        (replica,) = self.replicas()
        self.start({"familyInfo": {"tellsStart": True}}, operator=section(replica))
        told = {**SETTINGS, "familyInfo": {"tellsStart": True}}
        self.play("""
            c1 send job a quote
            s expect X-Txn: a
            s send 202
            s call+ a started
        """)
        replica.push(1, document(told, cancel=False))
        self.log("configuration 1 by ann")
        self.play("""
            c2 send job b quote
            s expect X-Txn: b
            s send 202
            s call+ b started
            c1 close
            of-a expect DELETE /jobs/a
            of-a send 204
            c2 close
        """)
        time.sleep(0.5)
        counts = self.counters()
        self.assertEqual([counts["deletes"], counts["clients_gone"]], [1, 2])


class Peer(Scenario):
    """One node, and a peer whose datagrams the test sends and reads."""

    SETTINGS = {"permissions": {**SETTINGS["permissions"], "mayTell": True}, "siblings": 2}

    def gossip(self, number: int) -> str:
        """Returns a datagram that advertises a version, in hexadecimal digits."""
        return encode(number, "ab" * 16).hex()

    def test_it_hears_of_a_newer_one_by_gossip_alone(self) -> None:
        replicas = [Replica(), Replica()]
        for replica in replicas:
            self.addCleanup(replica.close)
        self.start(self.SETTINGS, operator=section(*replicas, watch_wait_ms=60_000))
        replicas[0].wait_for_call(PATIENCE, after="0")
        text = document({**SETTINGS, **self.SETTINGS}, mostTries=1)
        replicas[1].push(4, text)
        time.sleep(0.5)
        self.assertEqual(replicas[1].calls, [])
        began = time.monotonic()
        self.do_send("p", self.gossip(4), False)
        self.log("configuration 4 by ann")
        self.assertLess(time.monotonic() - began, 2.0)
        replicas[1].wait_for_call(1.0, after="0", wait_ms="0")
        self.do_expect("p", "^43" + f"{4:08x}", False)  # and it gossips about the version too

    def test_a_word_of_what_no_replica_has_costs_little(self) -> None:
        replicas = [Replica(), Replica()]
        for replica in replicas:
            self.addCleanup(replica.close)
        self.start(self.SETTINGS, operator=section(*replicas, watch_wait_ms=500))
        replicas[0].wait_for_call(PATIENCE, after="0")
        for _ in range(20):
            self.do_send("p", self.gossip(1000), False)
            time.sleep(0.1)
        self.assertLess(sum(len(replica.calls) for replica in replicas), 20)
        self.play("""
            node send USR1
            node expect counters | configuration_heard=20 | !configurations_applied | !faults
        """)

    def test_an_older_program_passes_it_over(self) -> None:
        """Covers a node without the feature, and one whose warm start handles datagrams of its own."""
        for operator in ("", "[restart]\nwarm_from_peers = true\n"):
            with self.subTest(operator=operator):
                self.start(self.SETTINGS, operator=operator)
                for number in (1, 0, 0xFFFFFFFF, 0x00010203):
                    self.do_send("p", self.gossip(number), False)
                self.do_send("p", "00", False)  # the decision module's own datagram, a heartbeat
                time.sleep(0.3)
                self.play("""
                    c send job a quote
                    s expect X-Txn: a
                    s send 202
                    s call+ a done result=x
                    c expect 200
                    node send USR1
                    node expect counters | heard=5 | !configuration | !bad_datagrams | !faults | !warm_heard
                """)
                self.end()

    def test_the_warm_start_and_the_configuration_share_the_way(self) -> None:
        (replica,) = [Replica()]
        self.addCleanup(replica.close)
        text = document({**SETTINGS, **self.SETTINGS}, mostTries=1)
        self.start(self.SETTINGS, operator=section(replica) + "[restart]\nwarm_from_peers = true\n")
        self.do_expect("p", "^d721", False)  # a query of the warm start
        self.do_send("p", "d722000000", False)  # and an answer to another query
        replica.push(1, text)
        self.log("configuration 1 by ann")
        self.do_expect("p", "^4300000001", False)
        self.do_send("p", self.gossip(1), False)
        self.log("configuration 1 is another one at node 1")
        self.play("""
            node send USR1
            node expect counters | configuration_heard=1 | heard=2 | warm_heard=1 | !faults
        """)


class Tier:
    """Several node processes; the test forwards the datagrams between them, and drops some."""

    def __init__(
        self,
        test: unittest.TestCase,
        count: int,
        operators: list[str],
        lossy: float = 0.0,
        strange: dict[int, dict[str, Any]] | None = None,
    ) -> None:
        """`operators`: the text of the operator file of each node; `lossy`: the share of datagrams to drop,
        0 to 1; `strange`: permissions that differ, by node number."""
        self.test, self.count, self.lossy, self.strange = test, count, lossy, strange or {}
        self.folder = tempfile.TemporaryDirectory()
        test.addCleanup(self.folder.cleanup)
        self.random, self.over, self.passed, self.lost = random.Random(3), Event(), 0, 0
        self.node_sockets = [datagrams() for _ in range(count)]
        self.places = [address(sock) for sock in self.node_sockets]
        # Node b has the socket (a, b) as the address of node a: what b sends there goes on to a from (b, a).
        self.between = {(a, b): datagrams() for a in range(count) for b in range(count) if a != b}
        self.processes: list[subprocess.Popen[bytes]] = []
        self.discovery = listener()
        test.addCleanup(self.close)
        for number, operator in enumerate(operators):
            self.start(number, operator)
        self.carrier = Thread(target=self.carry, daemon=True)
        self.carrier.start()

    def start(self, number: int, operator: str) -> None:
        peers = [
            self.places[n] if n == number else address(self.between[n, number]) for n in range(self.count)
        ]
        settings: dict[str, Any] = {**TIER, "siblings": self.count, "ordinal": number}
        settings["permissions"] = {**settings["permissions"], **self.strange.get(number, {})}
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "limits": {"sockets": 512},
            "discovery": address(self.discovery),
            "peer_listen": self.places[number],
            "peers": peers,
            "settings": settings,
        }
        folder = Path(self.folder.name)
        (folder / f"{number}.json").write_text(json.dumps(config))
        (folder / f"{number}.toml").write_text(operator)
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env["RELAY_CONFIG"], env["RELAY_OPERATOR"] = (
            str(folder / f"{number}.json"),
            str(folder / f"{number}.toml"),
        )
        self.node_sockets[number].close()  # the node binds the same address
        parent = os.getpid()

        def prepare() -> None:
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                os._exit(1)

        with open(folder / f"{number}.log", "wb") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "violetsaddle"],
                    stderr=log,
                    stdout=subprocess.DEVNULL,
                    env=env,
                    preexec_fn=prepare,
                )
            )

    def carry(self) -> None:
        """Forwards datagrams until the tier is closed."""
        by_socket = {sock: pair for pair, sock in self.between.items()}
        while not self.over.is_set():
            for sock in select.select(list(by_socket), [], [], 0.1)[0]:
                to, origin = by_socket[sock]
                data = sock.recv(512)
                if self.random.random() < self.lossy:
                    self.lost += 1
                    continue
                self.passed += 1
                host, port = self.places[to].split(":")
                self.between[origin, to].sendto(data, (host, int(port)))

    def log(self, number: int) -> str:
        return Path(self.folder.name, f"{number}.log").read_text()

    def wait(self, text: str, within: float, numbers: list[int] | None = None) -> float:
        """Waits until the logs of these nodes contain a text; returns the seconds that it took.

        Raises `AssertionError` after `within` seconds; `numbers`: None for all nodes."""
        began = time.monotonic()
        missing = list(range(self.count)) if numbers is None else list(numbers)
        while missing := [n for n in missing if text not in self.log(n)]:
            if time.monotonic() > began + within:
                raise AssertionError(
                    f"{text!r} not within {within} s at {missing}: {self.log(missing[0])[-900:]}"
                )
            time.sleep(0.02)
        return time.monotonic() - began

    def counters(self, number: int) -> dict[str, int]:
        before = self.log(number).count(" counters ")
        os.kill(self.processes[number].pid, signal.SIGUSR1)
        end = time.monotonic() + PATIENCE
        while self.log(number).count(" counters ") == before and time.monotonic() < end:
            time.sleep(0.02)
        return {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", self.log(number).splitlines()[-1])}

    def close(self) -> None:
        self.over.set()
        for process in self.processes:
            process.kill()
            process.wait()
        if hasattr(self, "carrier"):
            self.carrier.join()
        for sock in [*self.node_sockets, *self.between.values(), self.discovery]:
            sock.close()


class Several(unittest.TestCase):
    def replicas(self, count: int) -> list[Replica]:
        created = [Replica() for _ in range(count)]
        for replica in created:
            self.addCleanup(replica.close)
        return created

    def test_a_change_is_in_force_everywhere_while_half_of_the_datagrams_are_lost(self) -> None:
        """Two of four nodes poll a replica that never gets the change, and hear of it by gossip only."""
        good, cut_off = self.replicas(2)
        told = [
            section(good, watch_wait_ms=2500),
            section(good),
            section(cut_off, good, watch_wait_ms=60_000),
        ]
        tier = Tier(self, 4, [told[0], told[1], told[2], told[2]], lossy=0.5)
        tier.wait("listening on", PATIENCE)
        cut_off.wait_for_call(PATIENCE, after="0", node="n2")
        good.wait_for_call(PATIENCE, after="0", node="n0")
        for number in (1, 2):
            good.push(number, document({**TIER, "siblings": 4}, mostTries=number))
            took = tier.wait(f"configuration {number} by ann", BOUND)
            self.assertLess(took, BOUND)
        self.assertGreater(tier.lost, 0)
        for number in range(4):
            self.assertNotIn("faults", tier.counters(number))
            self.assertEqual(tier.counters(number)["configuration_number"], 2)

    def test_one_node_stands_still_and_one_replica_is_silent(self) -> None:
        replicas = self.replicas(3)
        tier = Tier(self, 4, [section(*replicas)] * 4)
        tier.wait("listening on", PATIENCE)
        replicas[0].wait_for_call(PATIENCE, after="0", node="n3")
        tier.processes[2].send_signal(signal.SIGSTOP)
        replicas[1].set(silent=True)
        for number in (1, 2, 3):
            for replica in replicas:
                replica.push(number, document({**TIER, "siblings": 4}, mostTries=number))
            tier.wait(f"configuration {number} by ann", BOUND, [0, 1, 3])
        tier.processes[2].send_signal(signal.SIGCONT)
        self.assertLess(tier.wait("configuration 3 by ann", BOUND, [2]), BOUND)
        for node in range(4):
            numbers = [int(n) for n in re.findall(r"configuration (\d+) by ann", tier.log(node))]
            self.assertEqual(numbers, sorted(numbers))

    def test_an_older_program_in_the_tier(self) -> None:
        """A node without the section keeps its settings, and its peers still count it as alive."""
        (replica,) = self.replicas(1)
        tier = Tier(
            self, 3, [section(replica, gossip_every_ms=200), section(replica, gossip_every_ms=200), ""]
        )
        tier.wait("listening on", PATIENCE)
        replica.push(1, document({**TIER, "siblings": 3}, mostTries=1))
        tier.wait("configuration 1 by ann", BOUND, [0, 1])
        time.sleep(1.5)
        old, new = tier.counters(2), tier.counters(0)
        self.assertGreater(old["heard"], 10)
        self.assertFalse([name for name in old if name.startswith("configuration")])
        for counts in (old, new):
            self.assertEqual([counts.get("faults", 0), counts.get("bad_datagrams", 0)], [0, 0])
        self.assertGreater(new["configuration_told"], 5)
        self.assertGreater(new["configuration_heard"], 2)


class Upgraded(SingleNode):
    def test_the_successor_of_an_upgrade_begins_with_what_is_in_force(self) -> None:
        (replica,) = self.replicas()
        self.adopts()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "configuration")
            more = f'[restart]\nupgrade = true\nupgrade_drain_s = 1\npid_file = "{folder}/pid"\n'
            self.start(operator=section(replica, snapshot=str(path)) + more)
            replica.push(1, document(mostTries=1))
            self.log("configuration 1 by ann")
            end = time.monotonic() + PATIENCE
            while not path.exists() and time.monotonic() < end:
                time.sleep(0.02)
            self.play("""
                node send USR2
                node expect configuration 1 by ann
                node expect drains
                node expect exit 0
            """)
            replica.push(2, document(mostTries=2))
            self.log("configuration 2 by ann")
            self.play("""
                next send TERM
                node expect counters | configuration_number=2 | !faults
                next expect exit 0
            """)


class Answers(unittest.TestCase):
    """Any body of a response gives an answer or a `BadAnswerError`."""

    GOOD = {"number": 3, "digest": digest("{}"), "author": "ann", "time_ms": 1, "document": "{}"}

    @examples(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.one_of(
            st.binary(max_size=40),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
                lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
                max_leaves=5,
            ).map(lambda value: json.dumps(value).encode()),
            st.tuples(
                st.sampled_from([*GOOD]),
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3) | st.just([]),
            ).map(lambda change: json.dumps({**Answers.GOOD, change[0]: change[1]}).encode()),
            st.integers(0, 200).map(lambda cut: json.dumps(Answers.GOOD).encode()[:cut]),
        )
    )
    def test_no_body_raises_anything_else(self, body: bytes) -> None:
        try:
            answer = parse_answer(200, body)
        except BadAnswerError:
            return
        self.assertTrue(0 <= answer.number <= 0xFFFFFFFF)
        if answer.version is not None:
            self.assertEqual(digest(answer.version.document), answer.version.digest)
            self.assertEqual(decode_snapshot(encode_snapshot(answer.version)), answer.version)

    def test_a_good_one(self) -> None:
        answer = parse_answer(200, json.dumps(self.GOOD).encode())
        self.assertEqual((answer.number, answer.version), (3, Version(3, digest("{}"), "ann", "{}")))
        self.assertEqual(parse_answer(200, b'{"number": 0, "digest": ""}').number, 0)
        for status in (204, 404, 503):
            self.assertRaises(BadAnswerError, parse_answer, status, json.dumps(self.GOOD).encode())
        for deep in (b"[" * 100_000, b'{"number":' * 50_000):
            self.assertRaises(BadAnswerError, parse_answer, 200, deep)


class Snapshots(unittest.TestCase):
    def test_every_damage_is_found(self) -> None:
        text = document()
        version = Version(5, digest(text), "ann", text)
        data = encode_snapshot(version)
        self.assertEqual(decode_snapshot(data), version)
        for at in range(0, len(data), 3):
            for changed in (data[:at], data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :]):
                self.assertRaises(DamagedError, decode_snapshot, changed)
        for junk in (b"", b"\xff", b"{}", b"\n[]"):
            self.assertRaises(DamagedError, decode_snapshot, junk)


if __name__ == "__main__":
    socket.setdefaulttimeout(PATIENCE)
    unittest.main()
