"""Warm starts from peers: which peers are asked, which answer and how often, and what is adopted."""

from __future__ import annotations

import math
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MS, SECOND, make
from tests.test_memory import adoptable_values, busy_node, fresh_node
from violetsaddle.decide import warmth
from violetsaddle.decide.memory import BoxState, LearnedState
from violetsaddle.decide.warmth import (
    PeerAnswer,
    WarmStartQuery,
    WarmStartResponder,
    adopt,
    is_warm_start_datagram,
)
from violetsaddle.lab.records import NodeLife
from violetsaddle.lab.sim.stage import SimStage
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world import scenario
from violetsaddle.world.day import Trouble

NOW = 10 * SECOND
numbers = st.floats() | st.floats(0, 2)


def question(query: WarmStartQuery, now: int) -> bytes:
    return query.next_round(now)[0][1]


class QueriesAndResponders(unittest.TestCase):
    def setUp(self) -> None:
        self.source = busy_node(NOW)

    def test_asks_two_new_peers_in_each_of_three_rounds(self) -> None:
        query, now, asked = WarmStartQuery(0, 10, 1, 0), 0, list[int]()
        for _ in range(5):
            asked += [number for number, _ in query.next_round(now)]
            now = max(now + 1, query.next_at)
        self.assertEqual((len(asked), len(set(asked)), 0 in asked), (6, 6, False))
        self.assertEqual(query.next_at, warmth.LISTEN_DURATION)
        self.assertTrue(query.timed_out(now))
        self.assertEqual(adopt(fresh_node(now), query.finish(now), now, 0).reason, "no peer answered")
        self.assertTrue(WarmStartQuery(0, 1, 1, 0).finished)  # nobody to ask

    def test_all_datagrams_are_short_and_ignored_by_the_decision_module(self) -> None:
        asked = [data for n in (2, 3, 10) for _, data in WarmStartQuery(1, n, 1, 0).next_round(0)]
        for data in [*asked, *warmth.encode_answer(self.source, NOW, 7)]:
            self.assertTrue(is_warm_start_datagram(data))
            self.assertLessEqual(len(data), 256)
            self.assertEqual(len(data) % 3, 2)
            fresh, _ = make(may_tell=True, schedulers=5)
            fresh.heard(NOW, 1, data)
            self.assertEqual(fresh.peers, {})

    def test_which_nodes_answer(self) -> None:
        query = WarmStartQuery(0, 2, 1, 0)
        data = question(query, 0)
        responder = WarmStartResponder(1, 0)
        self.assertTrue(responder.answer(self.source, NOW, 0, data))
        self.assertFalse(responder.answer(self.source, NOW, 0, data))  # a duplicate
        # The question went to another node; the node has not run for long enough.
        for other, at in ((WarmStartResponder(2, 0), NOW), (WarmStartResponder(1, NOW - SECOND), NOW)):
            self.assertFalse(other.answer(self.source, at, 0, data))
        # The node has learned nothing.
        self.assertFalse(WarmStartResponder(1, 0).answer(fresh_node(NOW), NOW, 0, data))
        # The question is the node's own.
        self.assertFalse(WarmStartResponder(0, 0).answer(self.source, NOW, 0, data))

    def test_the_rate_of_answers_is_limited(self) -> None:
        responder, sent = WarmStartResponder(1, 0), 0
        for n in range(20_000):  # two a millisecond for 10 s
            at = NOW + n * MS // 2
            data = question(WarmStartQuery(0, 2, n, at), at)
            sent += len(responder.answer(self.source, at, 0, data))
        most = warmth.ANSWER_BURST + 10 * warmth.ANSWERS_PER_SECOND
        self.assertLessEqual(sent, most * (1 + warmth.MAX_BOX_DATAGRAMS))
        self.assertGreater(sent, most - 2)
        self.assertLessEqual(len(responder._answered), warmth.MAX_NONCES)

    def test_delayed_lost_and_duplicated_answers(self) -> None:
        random = Random(1)
        for _ in range(100):
            query, start = WarmStartQuery(0, 4, random.getrandbits(30), 0), 0
            in_transit: list[tuple[int, int, bytes]] = []
            now = 0
            while not query.ready(now) and not query.timed_out(now):
                for number, data in query.next_round(now):
                    for answer in WarmStartResponder(number, 0).answer(self.source, NOW, 0, data) * 2:
                        if random.random() < 0.5:
                            in_transit.append((now + int(random.expovariate(1 / (50 * MS))), number, answer))
                now += MS
                for _, number, answer in (one for one in in_transit if one[0] <= now):
                    query.receive(now, number, answer)
                in_transit = [one for one in in_transit if one[0] > now]
            age = warmth.ANSWER_HEADER.unpack_from(warmth.encode_answer(self.source, NOW, 0)[0])[3] * 10 * MS
            for one in query.finish(now):
                self.assertTrue(age <= one.age <= age + now - start)  # never taken to be younger than it is
            query.receive(now, 1, warmth.encode_answer(self.source, NOW, query._nonce)[0])
            self.assertFalse(query.ready(now))

    def test_what_peers_know_is_adopted(self) -> None:
        query = WarmStartQuery(0, 3, 1, 0)
        for number, data in query.next_round(0):
            for answer in WarmStartResponder(number, 0).answer(self.source, NOW, 0, data):
                query.receive(5 * MS, number, answer)
        self.assertTrue(query.ready(5 * MS))
        fresh = fresh_node(0)
        result = adopt(fresh, query.finish(5 * MS), 5 * MS, 0)
        self.assertFalse(query.ready(5 * MS))
        self.assertEqual(result.reason, "")
        mean = self.source.fleet.slot_time / self.source.fleet.slots
        self.assertAlmostEqual(fresh.fleet.slot_time / fresh.fleet.slots, mean, delta=mean / 1000)
        self.assertLessEqual(fresh.fleet.slots, warmth.MAX_RUN_SLOTS)
        self.assertEqual(fresh.fleet.most_free, self.source.fleet.most_free)
        failing = [w for w in self.source.workers.values() if w.errors > 0.2]
        self.assertTrue(failing)
        for worker in failing:
            self.assertGreater(fresh.workers[worker.id].errors, 0.1)
        self.assertTrue(
            all(w.trust >= warmth.MIN_PEER_TRUST and not w.ejected_until for w in fresh.workers.values())
        )

    def test_boxes_with_equal_marks_or_a_sign_of_life_are_left_out(self) -> None:
        answers = [
            PeerAnswer(
                0, LearnedState(0), {w.mark: BoxState(0, errors=0.9) for w in fresh_node(0).workers.values()}
            )
        ]
        fresh = fresh_node(0)
        one, two, three, *rest = fresh.workers.values()
        one.mark, three.last_seen = two.mark, 5
        adopt(fresh, answers, 10, 1, own_runs=True)
        self.assertEqual([w.errors for w in (one, two, three)], [0.0] * 3)
        self.assertTrue(all(w.errors > 0.5 for w in rest))
        self.assertEqual(fresh.fleet.slots, 0.0)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.binary(max_size=254)
            | st.binary(max_size=240).map(
                lambda rest: warmth.padded(bytes((warmth.MAGIC, warmth.ANSWER, 0, 0)) + rest)
            ),
            max_size=6,
        ),
        st.lists(numbers, min_size=len(warmth.FLEET), max_size=len(warmth.FLEET)),
        st.integers(0, 65535),
    )
    def test_any_datagram_leaves_all_values_in_range(
        self, datagrams: list[bytes], values: list[float], age: int
    ) -> None:
        fresh = fresh_node(SECOND)
        responder = WarmStartResponder(1, 0)
        query = WarmStartQuery(0, 4, 1, SECOND)
        asked = [number for number, _ in query.next_round(SECOND)]
        query._nonce = 0
        invalid = warmth.ANSWER_HEADER.pack(warmth.MAGIC, warmth.ANSWER, 0, age) + warmth.FLEET_VALUES.pack(
            *(v if abs(v) < 3e38 or math.isinf(v) else 0.0 for v in values)
        )
        for data in [*datagrams, warmth.padded(invalid)]:
            responder.answer(self.source, NOW, 0, data)
            for number in (*asked, 0, 9):
                query.receive(SECOND, number, data)
        adopt(fresh, query.finish(SECOND), SECOND, SECOND)
        for name, value in adoptable_values(fresh).items():
            self.assertTrue(value is None or math.isfinite(value), name)
        for name, low, high in (("pressure", 0, 1), ("busy_share", 0, 1), ("own_rate", 0, 1)):
            self.assertTrue(low <= getattr(fresh, name) <= high)
        self.assertTrue(0.3 <= fresh.fleet.correction <= 1.0 and fresh.fleet.slots <= warmth.MAX_RUN_SLOTS)


class SimulatedTier(unittest.TestCase):
    def play(self, section: str, *troubles: Trouble, **more: Any) -> Outcome:
        day = scenario.draw(scenario.load("calm"), 1, nodes=12, boxes=20, rate=60, length=8 * SECOND)
        day = msgspec.structs.replace(day, troubles=troubles)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "op.toml")
            path.write_text("[restart]\n" + section)
            return SimStage().play(day, Options(operator=str(path), **more))

    def test_ten_nodes_that_start_together_are_answered_within_the_limit(self) -> None:
        trouble = Trouble("kill", 3 * SECOND, 4 * SECOND, nodes=tuple(range(10)))
        outcome = self.play("warm_from_peers = true", trouble)
        total = {
            name: sum(c.get(name, 0) for c in outcome.counters)
            for name in ("warm_questions", "warm_answers", "warm_believed", "warm_unanswered", "faults")
        }
        # Two nodes keep running.  Each answers at most its burst and what it earns in the second of asking.
        most_answers = 2 * (warmth.ANSWER_BURST + warmth.ANSWERS_PER_SECOND) * (1 + warmth.MAX_BOX_DATAGRAMS)
        self.assertTrue(0 < total["warm_answers"] <= most_answers, total)
        self.assertLessEqual(total["warm_questions"], 22 * warmth.MAX_ROUNDS * warmth.PEERS_PER_ROUND)
        self.assertEqual(total["warm_believed"] + total["warm_unanswered"], 22)
        self.assertGreater(total["warm_believed"], 0)
        self.assertEqual(total["faults"], 0)
        self.assertEqual(sum(isinstance(r, NodeLife) and r.what == "ready" for r in outcome.records), 22)

    def test_nothing_is_asked_where_peers_may_not_tell(self) -> None:
        trouble = Trouble("kill", 2 * SECOND, 3 * SECOND, nodes=(0, 1))
        outcome = self.play(
            'warm_from_peers = true\nsnapshot = "x"\nsnapshot_every_s = 0.5',
            trouble,
            settings={"permissions": {"mayTell": False}},
        )
        names = {name for counters in outcome.counters for name in counters}
        self.assertFalse([name for name in names if name.startswith("warm")])
        self.assertEqual([c.get("snapshot_believed", 0) for c in outcome.counters], [1, 1] + [0] * 10)

    def test_a_lost_machine_has_no_disk(self) -> None:
        outcome = self.play('snapshot = "x"', Trouble("hall", 2 * SECOND, 3 * SECOND, halls=(0,)))
        self.assertNotIn("snapshot_believed", {name for c in outcome.counters for name in c})
        self.assertTrue(all(c["snapshots_written"] for c in outcome.counters))


if __name__ == "__main__":
    unittest.main()
