"""Draws, arrivals, retries, the front, and the parties that play clients, on virtual time."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from violetsaddle.lab import ids, wire
from violetsaddle.lab.parties import rude
from violetsaddle.lab.parties.clients import CrowdParty
from violetsaddle.lab.records import (
    Answer,
    BadEnd,
    Gone,
    Late,
    Ledger,
    Lost,
    Record,
    Sent,
    Strange,
    Unreached,
)
from violetsaddle.lab.scene import Address, Scene
from violetsaddle.lab.sim.loop import Loop
from violetsaddle.lab.sim.network import Host, Network
from violetsaddle.lab.sim.reactor import SimReactor
from violetsaddle.world import clients, day, scenario, troubles
from violetsaddle.world.clients import Crowd, Ending, Try
from violetsaddle.world.day import MS, SECOND, Day, Item, Trouble
from violetsaddle.world.front import NOBODY, Front
from violetsaddle.world.links import CLIENTS, Links, Place

REPLACE = msgspec.structs.replace
CITY = (scenario.FOLDER / "city.toml").read_text()
PRINTS = """
from xxhash import xxh64_hexdigest
from violetsaddle.world import clients, day, scenario
drawn = scenario.draw(scenario.load("storm"), 3)
print(xxh64_hexdigest(day.encode(drawn)), xxh64_hexdigest(repr(clients.items(drawn)).encode()))
"""


class Draws(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.sampled_from(scenario.names()), st.integers(0, 1 << 40))
    def test_every_day_is_sound(self, name: str, seed: int) -> None:
        made = scenario.load(name)
        self.assertEqual(msgspec.json.decode(msgspec.json.encode(made), type=scenario.Scenario), made)
        drawn = scenario.draw(made, seed)
        troubles.check(drawn)
        for trouble in drawn.troubles:
            self.assertNotIn("\n", troubles.text(trouble, drawn))
        self.assertEqual(day.decode(day.encode(drawn)), drawn)
        self.assertEqual(day.encode(scenario.draw(made, seed)), day.encode(drawn))
        self.assertEqual(len({box.name for box in drawn.boxes}), len(drawn.boxes))
        self.assertEqual({box.hall for box in drawn.boxes}, set(range(len(drawn.halls))))
        self.assertTrue(all(b.leaves == 0 or b.joins == 0 for b in drawn.boxes))

    def test_troubles_that_are_named_come_on_every_day(self) -> None:
        for seed in range(20):
            drawn = scenario.draw(scenario.load("reload-two"), seed)
            self.assertEqual(
                [(t.kind, t.nodes, t.at) for t in drawn.troubles],
                [("restart", (1,), 13_700 * MS), ("restart", (0,), 16_700 * MS)],
            )

    def test_another_hash_seed_gives_the_same(self) -> None:
        said = {
            subprocess.run(
                [sys.executable, "-c", PRINTS],
                check=True,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONHASHSEED": seed},
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(len(said), 1)

    def test_parts_are_drawn_apart(self) -> None:
        made = scenario.load("city")
        one = scenario.draw(made, 9)
        calm = scenario.draw(REPLACE(made, trouble_count=0), 9)
        self.assertTrue(one.troubles)
        self.assertEqual(REPLACE(one, troubles=()), calm)
        wider = scenario.draw(REPLACE(made, links=REPLACE(made.links, same_ms=(0.1, 9.0))), 9)
        self.assertEqual(REPLACE(wider, links=one.links), one)
        self.assertNotEqual(wider.links.same, one.links.same)

    def test_traffic_follows_the_fleet(self) -> None:
        made = scenario.load("calm")
        small, large = scenario.draw(made, 4, boxes=10), scenario.draw(made, 4, nodes=8, boxes=200)
        self.assertEqual((len(large.nodes), len(large.boxes)), (8, 200))
        self.assertAlmostEqual(large.load.rate / small.load.rate, 20, delta=4)
        self.assertEqual(small.boxes[3].report_every, large.boxes[3].report_every)
        self.assertEqual(scenario.draw(made, 4, rate=7.0, length=SECOND).load.rate, 7.0)

    def test_storms_bring_every_kind(self) -> None:
        made = scenario.load("storm")
        days = [scenario.draw(made, seed, nodes=2, boxes=5) for seed in range(150)]
        seen = Counter(t.kind for d in days for t in d.troubles)
        self.assertEqual(set(seen), set(troubles.KINDS))
        self.assertTrue(all(1 <= len(d.troubles) <= 6 for d in days))

    def test_what_comes_together_begins_together(self) -> None:
        made, found = scenario.load("lies"), 0
        for seed in range(60):
            given = scenario.draw(made, seed).troubles
            slow = [t.at for t in given if t.kind == "slow"]
            lies = [t.at for t in given if t.kind == "lie"]
            if len(lies) == 1 and slow and abs(lies[0] - slow[0]) <= 2 * SECOND:
                found += 1
        self.assertGreater(found, 10)

    def test_impossible_troubles(self) -> None:
        drawn = scenario.draw(scenario.load("calm"), 1)
        for trouble, says in [
            (Trouble("storm", 0, 1), "no such kind"),
            (Trouble("crash", 5, 5, boxes=(0,)), "end after"),
            (Trouble("crash", 0, 1), "boxes must be named"),
            (Trouble("crash", 0, 1, boxes=(99,)), "numbers"),
            (Trouble("kill", 0, 1, nodes=(1, 1)), "different"),
            (Trouble("burst", 0, 1, halls=(0,)), "must not be named"),
            (Trouble("errors", 0, 1, boxes=(0,), factor=1.5), "factor must be from 0 to 1"),
        ]:
            with self.subTest(says), self.assertRaisesRegex(troubles.TroubleError, says):
                troubles.check(REPLACE(drawn, troubles=(trouble,)))
        troubles.check(REPLACE(drawn, troubles=(Trouble("kill", 0, drawn.length, nodes=(0, 1, 2, 3)),)))


class Errors(unittest.TestCase):
    def test_one_line_names_file_key_and_expectation(self) -> None:
        for old, new, says in [
            ("length_s = [42, 55]", "length_s = [55, 42]", "length_s: expected [low, high], got"),
            ("length_s = [42, 55]", "length_s = 'long'", "length_s: expected float | array, got str"),
            ("length_s = [42, 55]", "", "length_s: must be given"),
            ("length_s = [42, 55]", "length_s = [1, 2, 3]", "length_s: expected array of length <= 2"),
            ("nodes = 4", "nodes = 0", "fleet.nodes: expected int >= 1"),
            ("nodes = 4", "nods = 4", "fleet.nods: there is no such key"),
            ("trouble_count = [1, 2]", "wind = 3", "wind: there is no such key"),
            ('effect = "safe"', 'effect = "sure"', "class[0].effect: expected str matching"),
            ("window_s = 7.5", "", "class[1].window_s: expected a time above 0 for a keyed class"),
            ('kind = "crash"', 'kind = "cash"', "trouble[0].kind: expected one of crash, slow"),
            ("worth = 8", "worth = 8\nslots = 3", "class[2].slots: expected at most 2, as every box has"),
            ('name = "waco"', 'name = "austin"', "tenant.name: expected different names"),
            ("factor = [2.8, 9.4]", "factor = 0.5", "trouble[1].factor: expected 1 to 100 for slow"),
            ('together_with = "slow"', 'together_with = "cut"', "trouble[3].together_with: expected"),
            ("[fleet]", "[fleet", "must be TOML"),
            ("[fleet]", "base = 3\n[fleet]", "base: expected the name of another scenario, got 3"),
            ("[fleet]", 'base = "none"\n[fleet]', "none: must be a file that ends in .toml or one of"),
        ]:
            self.assertIn(old, CITY)
            with self.subTest(says), self.assertRaises(scenario.ScenarioError) as caught:
                scenario.parse(CITY.replace(old, new, 1), "x.toml")
            self.assertIn(says, str(caught.exception))
            self.assertEqual(len(str(caught.exception).splitlines()), 1)
        for name in ("no-such", "/no/such.toml"):
            with self.assertRaises(scenario.ScenarioError):
                scenario.load(name)


class Arrivals(unittest.TestCase):
    drawn: Day
    items: list[Item]

    @classmethod
    def setUpClass(cls) -> None:
        cls.drawn = scenario.draw(scenario.load("calm"), 5, rate=1000.0, length=40 * SECOND)
        cls.items = clients.items(cls.drawn)

    def test_as_many_as_the_rate_says(self) -> None:
        expected = (
            float(
                np.mean(
                    clients.usual(
                        self.drawn, np.arange(clients.OPENS, self.drawn.length, 10_000, dtype=np.float64)
                    )
                )
            )
            * 39.9
        )
        self.assertAlmostEqual(len(self.items), expected, delta=5 * expected**0.5)
        self.assertEqual([i.number for i in self.items], list(range(len(self.items))))
        self.assertEqual([i.at for i in self.items], sorted(i.at for i in self.items))

    def test_shares(self) -> None:
        count = len(self.items)
        for what, shares in [
            ("cls", [c.share for c in self.drawn.classes]),
            ("tenant", [t.traffic for t in self.drawn.tenants]),
            ("hall", list(self.drawn.load.halls)),
        ]:
            seen = Counter(getattr(item, what) for item in self.items)
            for place, share in enumerate(shares):
                self.assertAlmostEqual(seen[place] / count, share, delta=5 * (share / count) ** 0.5, msg=what)
        self.assertAlmostEqual(sum(i.heeds for i in self.items) / count, self.drawn.load.heeds, delta=0.02)
        self.assertEqual({bool(i.key) for i in self.items if i.cls == 1}, {True})
        self.assertEqual(len({i.key for i in self.items if i.key}), sum(i.cls == 1 for i in self.items))

    def test_work_has_its_mean_and_a_tail(self) -> None:
        for place, cls in enumerate(self.drawn.classes):
            work = np.array([i.work for i in self.items if i.cls == place], dtype=np.float64)
            bound = 5 * work.std() / len(work) ** 0.5
            self.assertAlmostEqual(float(work.mean()), clients.mean_work(cls), delta=bound)
            self.assertGreater(work.max(), 8 * work.mean())
            self.assertLessEqual(work.max(), clients.heaviest(cls))

    def test_a_burst_adds_and_leaves_the_rest(self) -> None:
        burst = Trouble("burst", 10 * SECOND, 15 * SECOND, factor=3.0)
        more = clients.items(REPLACE(self.drawn, troubles=(burst,)))
        within = [sum(burst.at <= i.at < burst.until for i in every) for every in (self.items, more)]
        self.assertAlmostEqual(within[1] / within[0], 3, delta=0.3)
        strip = [
            [REPLACE(i, number=0) for i in every if i.at < burst.at or i.at >= burst.until]
            for every in (self.items, more)
        ]
        self.assertEqual(*strip)
        lull = clients.items(REPLACE(self.drawn, troubles=(REPLACE(burst, factor=0.0),)))
        self.assertFalse([i for i in lull if burst.at <= i.at < burst.until])

    def test_over_share(self) -> None:
        tenants = [REPLACE(t, allowance_per_s=2.5) for t in self.drawn.tenants]
        tenants[2] = REPLACE(tenants[2], allowance_per_s=0.0)
        within = clients.within_share(REPLACE(self.drawn, tenants=tuple(tenants)), self.items)
        seen = Counter((i.tenant, i.at // SECOND) for i, ok in zip(self.items, within) if ok)
        self.assertEqual([seen[0, s] for s in range(1, 5)], [3, 2, 3, 2])
        self.assertTrue(all(ok for i, ok in zip(self.items, within) if i.tenant == 2))

    def test_ids(self) -> None:
        text = ids.txn(7, 300, 2)
        self.assertEqual(ids.read(7, text), (300, 2))
        for other in (
            text[:-1] + ("0" if text[-1] != "0" else "1"),
            text.upper(),
            "+" + text[1:],
            "",
            ids.rude(7, 3),
            ids.txn(8, 300, 2),
        ):
            self.assertIsNone(ids.read(7, other))
        self.assertTrue(ids.is_rude(ids.rude(7, 3)))


class Retries(unittest.TestCase):
    def test_table(self) -> None:
        drawn = scenario.draw(scenario.load("calm"), 1)
        classes = [
            REPLACE(drawn.classes[0], effect="safe"),
            REPLACE(drawn.classes[1], effect="keyed", group="all", window=2 * SECOND),
            REPLACE(drawn.classes[1], effect="keyed", group="zone"),
            REPLACE(drawn.classes[2], effect="unsafe"),
        ]
        load = REPLACE(drawn.load, tries=3, backoff=10 * MS, most_wait=SECOND)
        crowd = Crowd(REPLACE(drawn, classes=tuple(classes), load=load))
        e = Ending
        #   ending     safe keyed-all keyed-zone unsafe
        for ending, expected in [
            (e.SERVED, "no no no no"),
            (e.REFUSED, "yes yes yes yes"),
            (e.FAILED, "yes yes no no"),
            (e.LOST, "yes yes no no"),
            (e.UNREACHED, "yes yes yes yes"),
            (e.LEFT, "no no no no"),
            (e.OVERDUE, "no no no no"),
        ]:
            for cls, word in enumerate(expected.split()):
                item = Item(0, 0, cls, 0, 0, 1, 0, 1, "", "", False, 0, b"")
                with self.subTest(ending=ending, cls=cls):
                    after = crowd.after(crowd.first(item), ending, SECOND)
                    self.assertEqual(after is not None, word == "yes")
                    if after is not None:
                        until = item.at + classes[cls].deadline
                        self.assertEqual(after, Try(item, 1, SECOND + 10 * MS, until))
        item = Item(0, 0, 1, 0, 0, 1, 0, 1, "k", "", True, 0, b"")
        first = crowd.first(item)
        self.assertIsNone(crowd.after(first, e.LOST, 2 * SECOND))  # its window is over
        self.assertIsNone(crowd.after(first._replace(tries=2), e.REFUSED, 0))
        self.assertIsNone(crowd.after(first, e.REFUSED, first.until - 5 * MS))

        def waits(item: Item, advice: float, ending: Ending = e.REFUSED) -> int:
            after = crowd.after(crowd.first(item), ending, 0, advice)
            assert after is not None
            return after.at

        self.assertEqual(
            [waits(item, a) for a in (0.5, 30.0, 0.001, -1.0)], [500 * MS, SECOND, 10 * MS, 10 * MS]
        )
        self.assertEqual(waits(item, 0.5, e.LOST), 10 * MS)
        self.assertEqual(waits(REPLACE(item, heeds=False), 0.5), 10 * MS)


class Fronts(unittest.TestCase):
    def test_front(self) -> None:
        front = Front([3, 5], SECOND)
        self.assertEqual(front.deal(), NOBODY)
        front.polled(5, False, 0, 0)
        front.polled(3, True, 0, 0)
        self.assertEqual([front.deal() for _ in range(2)], [3, 3])
        front.polled(5, True, 1, 1)
        self.assertEqual(sorted(front.deal() for _ in range(2)), [3, 5])
        self.assertFalse(front.polled(3, False, 10, 20))
        self.assertFalse(front.polled(3, False, 30, 9 + SECOND))
        self.assertTrue(front.polled(3, False, 40, 10 + SECOND))
        self.assertEqual([front.deal() for _ in range(2)], [5, 5])
        front.polled(3, True, 2 * SECOND, 2 * SECOND)
        front.leave(3, 4 * SECOND)
        front.polled(3, True, 3 * SECOND, 5 * SECOND)  # the old process was still there
        front.polled(3, False, 3 * SECOND, 5 * SECOND)
        self.assertFalse(front.alive(3))
        front.polled(3, True, 4 * SECOND, 5 * SECOND)
        self.assertTrue(front.alive(3))
        front.leave(3, 9 * SECOND)
        front.polled(3, False, 6 * SECOND, 6 * SECOND, refused=True)
        self.assertFalse(front.alive(3))
        front.polled(3, True, 7 * SECOND, 7 * SECOND)
        self.assertTrue(front.alive(3))


class Places:
    at: Address | None = None

    def node(self, node: int) -> Address:
        return self.at or (f"10.0.0.{node + 1}", 80)

    peer = node

    def box(self, node: int, box: int) -> Address:
        raise NotImplementedError

    roster = relay = box


Answers = Callable[["Served", wire.Message], None]
Meddle = Callable[[Loop, SimReactor, SimReactor], Any]  # with the day's first node and the clients' process


class Served(Protocol):
    """A scripted node's side of a connection."""

    def __init__(self, script: Answers) -> None:
        self.script, self.reader = script, wire.Reader(answers=False)

    @property
    def out(self) -> Any:
        return self.transport

    def dataReceived(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data)
        except wire.Garbled:
            self.out.write(wire.answer(400, {"Connection": "close"}))
            self.out.loseConnection()
            return
        for message in messages:
            if message.first[1] == "/up":
                self.out.write(wire.answer(200, {}, b"ready"))
            else:
                self.script(self, message)


class Listening(Factory):
    def __init__(self, script: Answers) -> None:
        self.script = script

    def buildProtocol(self, addr: object) -> Served:
        return Served(self.script)


class Playing(unittest.TestCase):
    """A small day on virtual time with nodes that answer as a script says."""

    def day(self, *wants: tuple[int, int], troubles: tuple[Trouble, ...] = (), **load: Any) -> Day:
        """A day with jobs (class, time in ms) of hall 0 and one node."""
        drawn = scenario.draw(scenario.load("calm"), 1, nodes=1, length=SECOND)
        load = {"tries": 2, "backoff": 0, "heeds": 0.0, "notice": 400 * MS, **load}
        drawn = REPLACE(drawn, load=REPLACE(drawn.load, **load), troubles=troubles)
        made = [
            Item(
                n,
                at * MS,
                cls,
                0,
                0,
                1000,
                900,
                2,
                "k" if cls == 1 else "",
                "1f",
                True,
                0,
                b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
            )
            for n, (cls, at) in enumerate(wants)
        ]
        clients._last[:] = [(drawn, made)]
        return drawn

    def play(
        self,
        drawn: Day,
        script: Answers,
        kind: type[CrowdParty] | type[rude.RudeParty] = CrowdParty,
        seconds: float = 20.0,
        meddle: Meddle = lambda loop, node, mine: None,
    ) -> list[Record]:
        loop, ledger = Loop(), Ledger()
        network = Network(loop, Links(drawn, day.chance(drawn.seed, "net")))
        mine = SimReactor(network, Host(network, "clients", Place(CLIENTS), "10.9.0.1"))
        theirs = [
            SimReactor(network, Host(network, f"n{n}", Place(hall, node=n), f"10.0.0.{n + 1}"))
            for n, hall in enumerate(drawn.nodes)
        ]
        self.faults: list[BaseException] = []
        for reactor in (mine, *theirs):
            reactor.on_fault = self.faults.append
        for reactor in theirs:
            reactor.listenTCP(80, Listening(script), 50, reactor.host.address)
        party = kind(Scene(drawn, mine, lambda: loop.now, ledger, Places(), True))
        loop.call_at(0, lambda: mine.enter(party.start))
        meddle(loop, theirs[0], mine)
        loop.run(int(seconds * SECOND))
        mine.enter(party.stop)
        loop.run(int((seconds + 1) * SECOND))
        self.assertEqual(self.faults, [])
        self.assertEqual((mine.timers, mine.sockets()), (0, []))
        return ledger.records

    def told(self, records: list[Record]) -> list[str]:
        """What happened, shortly."""
        words: dict[type, Callable[[Any], str]] = {
            Sent: lambda r: f"sent {r.item}.{r.tries}",
            Answer: lambda r: f"answer {r.status}",
            Lost: lambda r: f"lost {r.why}",
            Gone: lambda r: "overdue" if r.overdue else "left",
            Unreached: lambda r: f"unreached {r.node}",
            Strange: lambda r: f"strange {r.text[:18]}",
        }
        return [words[type(r)](r) for r in records]

    def test_a_job_is_written_as_the_protocol_says(self) -> None:
        seen: list[wire.Message] = []

        def script(node: Served, message: wire.Message) -> None:
            seen.append(message)
            node.out.write(
                wire.answer(503, {"Retry-After": "0.25"}) if len(seen) < 2 else wire.answer(200, {}, b"r1")
            )

        drawn = self.day((1, 200))
        records = self.play(drawn, script)
        self.assertEqual(self.told(records), ["sent 0.0", "answer 503", "sent 0.1", "answer 200"])
        self.assertEqual([m.headers["x-txn"] for m in seen], [ids.txn(1, 0, n) for n in (0, 1)])
        first, again = (dict(m.headers) for m in seen)
        self.assertEqual(seen[0].first, ("POST", "/api?sid=1f", "HTTP/1.1"))
        self.assertEqual(
            [first[name] for name in ("x-lane", "x-org", "x-estimate", "x-labels", "idempotency-key")],
            ["charge", "austin", "900", "slots=2", "k"],
        )
        self.assertEqual(seen[0].body, clients.items(drawn)[0].body)
        self.assertNotIn("x-resent", first)
        self.assertEqual(again["x-resent"], "1")
        self.assertEqual(records[2].at - records[1].at, 250 * MS)
        sent = [r for r in records if isinstance(r, Sent)]
        self.assertEqual([f"{r.remaining}u" for r in sent], [first["x-remaining"], again["x-remaining"]])
        self.assertEqual([r.remaining + r.at for r in sent], [200 * MS + 5 * SECOND] * 2)
        self.assertEqual([r.body for r in records if isinstance(r, Answer)], ["", "r1"])

    def test_endings(self) -> None:
        def says(data: bytes) -> Answers:
            return lambda node, message: node.out.write(data)

        def cut(node: Served, message: wire.Message) -> None:
            node.out.write(wire.answer(200, {}, b"long")[:-2])
            node.out.loseConnection()

        whole = wire.answer(200, {}, b"r")
        for cls, script, expected in [
            (0, cut, ["sent 0.0", "lost closed after 40 bytes of the answer", "sent 0.1"]),
            (2, cut, ["sent 0.0", "lost closed after 40 bytes of the answer"]),
            (2, lambda node, message: node.out.abortConnection(), ["sent 0.0", "lost reset"]),
            (2, says(wire.answer(502)), ["sent 0.0", "answer 502"]),
            (2, says(b"yes\r\n\r\n"), ["sent 0.0", "strange no answer: no firs", "lost closed after 7"]),
            (2, says(whole + b"x"), ["sent 0.0", "answer 200", "strange bytes after the an"]),
            (2, says(b""), ["sent 0.0", "overdue"]),
        ]:
            with self.subTest(expected):
                told = self.told(self.play(self.day((cls, 200)), script))
                self.assertEqual([t[: len(e)] for t, e in zip(told, expected)], expected)
                self.assertEqual(len(told), len(expected) + (1 if cls == 0 else 0))

    def test_overdue_and_left(self) -> None:
        drawn = self.day((2, 200), (2, 300))
        item = clients.items(drawn)[1]
        clients._last[0][1][1] = REPLACE(item, patience=70 * MS)
        gone = [r for r in self.play(drawn, lambda node, message: None) if isinstance(r, Gone)]
        grace = drawn.rules.grace_to_answer + drawn.rules.slack
        self.assertEqual(
            [(r.at, r.overdue) for r in gone], [(370 * MS, False), (200 * MS + 15 * SECOND + grace, True)]
        )

    def test_a_close_that_crosses_a_request(self) -> None:
        lines: list[Served] = []

        def script(node: Served, message: wire.Message) -> None:
            lines.append(node)
            node.out.write(wire.answer(200, {}, b"r"))

        def meddle(loop: Loop, node: SimReactor, mine: SimReactor) -> None:
            # The second request leaves at 400 ms and is under way when the node closes.
            loop.call_at(400 * MS + 10, lambda: node.enter(lines[0].out.loseConnection))

        told = self.told(self.play(self.day((2, 200), (2, 400)), script, meddle=meddle))
        self.assertEqual(told, ["sent 0.0", "answer 200", "sent 1.0", "sent 1.0", "answer 200"])
        self.assertIsNot(lines[0], lines[1])

        def takes_and_closes(node: Served, message: wire.Message) -> None:
            if lines and lines[-1] is node:
                node.out.loseConnection()
            else:
                script(node, message)

        lines.clear()
        told = self.told(self.play(self.day((2, 200), (2, 400)), takes_and_closes))
        self.assertEqual(told, ["sent 0.0", "answer 200", "sent 1.0", "lost closed"])

    def test_kept_connections_while_no_node_takes_new_ones(self) -> None:
        away = Trouble("restart", 300 * MS, 19 * SECOND, nodes=(0,))
        lines: list[Served] = []
        served = wire.answer(200, {}, b"r")

        def script(node: Served, message: wire.Message) -> None:
            lines.append(node)
            if len(lines) not in (3, 4):
                node.out.write(served)

        def meddle(loop: Loop, node: SimReactor, mine: SimReactor) -> None:
            loop.call_at(1200 * MS, lambda: node.enter(lambda: lines[3].out.write(served)))

        # Two connections, both taken at 1 s, so that a third job has no way; at 1.2 s one is free again.
        wants = (2, 200), (2, 200), (2, 1000), (2, 1010), (0, 1100), (2, 1300)
        for shuns, last in [(False, ["sent 5.0", "answer 200"]), (True, ["unreached -1"])]:
            lines.clear()
            drawn = self.day(*wants, troubles=(away,), shuns=shuns, tries=1)
            told = self.told(self.play(drawn, script, meddle=meddle))
            now = ["sent 2.0", "sent 3.0", "unreached -1", "answer 200", *last, "overdue"]
            self.assertEqual(told[4:], now)
        # One that was not used for so long is closed, and a new one can't be had.
        lines.clear()
        drawn = self.day((2, 200), (2, 1000), troubles=(away,), keeps=500 * MS, tries=1)
        self.assertEqual(self.told(self.play(drawn, script)), ["sent 0.0", "answer 200", "unreached -1"])

    def test_a_kernel_tells_what_was_not_read(self) -> None:
        """The same over loopback: there a reset, or an error that waits on the socket, says so."""
        for case, expected in [
            ("reads", ["lost closed"]),
            ("unread", ["sent 1.0", "answer 200"]),
            ("closed before", ["sent 1.0", "answer 200"]),
        ]:
            with self.subTest(case):
                told = self.over_loopback(self.day((2, 0), (2, 0)), case, 3 + len(expected))
                self.assertEqual(told, ["sent 0.0", "answer 200", "sent 1.0", *expected])

    def over_loopback(self, drawn: Day, case: str, records: int) -> list[str]:
        """Two jobs on one connection, which the node closes about when the second one comes."""
        reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        ledger, lines = Ledger(), list[Served]()

        def script(node: Served, message: wire.Message) -> None:
            if node in lines:
                node.out.loseConnection()
                return
            lines.append(node)
            node.out.write(wire.answer(200, {}, b"r"))
            if len(lines) == 1 and case == "unread":
                node.out.pauseProducing()
                reactor.callLater(0.02, node.out.loseConnection)

        def until(done: Callable[[], object]) -> None:
            for _ in range(2000):
                if done():
                    return
                reactor.iterate(0.005)
            self.fail(f"never; so far {self.told(ledger.records)}")

        port = reactor.listenTCP(0, Listening(script), 50, "127.0.0.1")
        places = Places()
        places.at = "127.0.0.1", port.getHost().port
        hall = CrowdParty(Scene(drawn, reactor, lambda: 0, ledger, places, False))._halls[0]
        hall.start()
        first, second = (Crowd(drawn).first(item) for item in clients.items(drawn))
        until(lambda: hall.front.alive(0))
        hall.send(first)
        until(lambda: len(ledger.records) == 2)
        if case == "closed before":
            # The end of the stream is on its way, and what is written after it is answered by a reset.
            lines[0].out.getHandle().shutdown(socket.SHUT_RDWR)
        hall.send(second)
        until(lambda: len(ledger.records) == records)
        hall.stop()
        port.stopListening()
        for _ in range(5):
            reactor.iterate(0.005)
        for reader in reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        reactor._poller.close()
        return self.told(ledger.records)

    def test_a_dead_node(self) -> None:
        drawn = self.day((2, 200), (0, 300), (2, 1500))
        told = self.told(
            self.play(
                drawn,
                lambda node, message: None,
                meddle=lambda loop, node, mine: loop.call_at(250 * MS, node.kill),
            )
        )
        self.assertEqual(
            told, ["sent 0.0", "lost reset", "unreached 0", "unreached 0", "unreached -1", "unreached -1"]
        )

    def test_a_planned_restart(self) -> None:
        """The old process goes on answering on the connections it has; only its listener has closed."""
        drawn = self.day(
            (2, 200),
            (2, 900),
            (2, 2100),
            (2, 2600),
            troubles=(Trouble("restart", 500 * MS, SECOND, nodes=(0,)),),
        )
        lines: list[Served] = []

        def script(node: Served, message: wire.Message) -> None:
            lines.append(node)
            node.out.write(wire.answer(200, {"Connection": "close"} if len(lines) == 2 else {}, b"r"))

        def meddle(loop: Loop, node: SimReactor, mine: SimReactor) -> None:
            loop.call_at(950 * MS, lambda: node.enter(next(iter(node.ports)).stopListening))
            loop.call_at(
                2500 * MS,
                lambda: node.enter(lambda: node.listenTCP(80, Listening(script), 50, node.host.address)),
            )

        told = self.told(self.play(drawn, script, meddle=meddle))
        self.assertEqual(
            told,
            [
                "sent 0.0",
                "answer 200",
                "sent 1.0",
                "answer 200",
                "unreached -1",
                "unreached -1",
                "sent 3.0",
                "answer 200",
            ],
        )
        self.assertIs(lines[0], lines[1])

    def test_a_late_start_is_told(self) -> None:
        def meddle(loop: Loop, node: SimReactor, mine: SimReactor) -> None:
            loop.call_at(150 * MS, mine.pause)
            loop.call_at(300 * MS, mine.resume)

        records = self.play(self.day((2, 200), (2, 270)), lambda node, message: None, meddle=meddle)
        self.assertEqual([r for r in records if isinstance(r, Late)], [Late(300 * MS, "clients", 100 * MS)])

    def test_connections_are_kept_and_bounded(self) -> None:
        lines: list[Served] = []

        def script(node: Served, message: wire.Message) -> None:
            lines.append(node)
            node.out.reactor.callLater(0.02, node.out.write, wire.answer(200, {}, b"r"))

        self.play(self.day((0, 200), (0, 300), (0, 301), (0, 400)), script)
        self.assertEqual([lines.index(line) for line in lines][:3], [0, 0, 2])
        self.assertIs(lines[3], lines[2])  # the one used last
        lines.clear()
        told = self.told(self.play(self.day((0, 200), (0, 201), (0, 202), connections=1), script))
        self.assertEqual(len(set(map(id, lines))), 1)
        self.assertEqual(told, [f"{w}" for n in range(3) for w in (f"sent {n}.0", "answer 200")])

    def test_bad_clients(self) -> None:
        drawn = REPLACE(
            self.day(), length=9 * SECOND, troubles=(Trouble("rude", 0, 8 * SECOND, factor=30.0),)
        )

        def script(node: Served, message: wire.Message) -> None:
            node.out.write(wire.answer(204 if message.first[1] == "/callback" else 400))

        ends = [r for r in self.play(drawn, script, rude.RudeParty) if isinstance(r, BadEnd)]
        self.assertEqual({r.case for r in ends}, set(rude.CASES))
        # This node takes any length and does not look into callbacks.
        self.assertEqual(
            {(r.case, r.got) for r in ends if r.got not in rude.CASES[r.case][1]},
            {("huge length", "nothing"), ("no callback", "served")},
        )
        self.assertGreater(sum(r.case == "again and again" for r in ends), rude.REPEATS)
        self.assertEqual({r.got for r in ends if r.case == "silent"}, {"nothing"})
        self.assertLessEqual(max(r.waited for r in ends), rude.LONG)


if __name__ == "__main__":
    unittest.main()
