"""Warm starts from peers: who is asked, who answers and how often, and what a word is worth."""

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
from violetsaddle.decide.warmth import Answering, Asking, Heard, believe, shaped
from violetsaddle.lab.records import NodeLife
from violetsaddle.lab.sim.stage import SimStage
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world import scenario
from violetsaddle.world.day import Trouble

NOW = 10 * SECOND
numbers = st.floats() | st.floats(0, 2)


def question(asking: Asking, now: int) -> bytes:
    return asking.due(now)[0][1]


class AskingAnswering(unittest.TestCase):
    def setUp(self) -> None:
        self.old = busy_node(NOW)

    def test_two_then_two_others_at_most_three_rounds(self) -> None:
        asking, now, asked = Asking(0, 10, 1, 0), 0, list[int]()
        for _ in range(5):
            asked += [number for number, _ in asking.due(now)]
            now = max(now + 1, asking.next)
        self.assertEqual((len(asked), len(set(asked)), 0 in asked), (6, 6, False))
        self.assertEqual(asking.next, warmth.LISTEN_FOR)
        self.assertTrue(asking.late(now))
        self.assertEqual(believe(fresh_node(now), asking.take(now), now, 0).reason, "no peer answered")
        self.assertTrue(Asking(0, 1, 1, 0).over)  # nobody to ask

    def test_all_datagrams_are_short_and_passed_over_by_the_module(self) -> None:
        asked = [data for n in (2, 3, 10) for _, data in Asking(1, n, 1, 0).due(0)]
        for data in [*asked, *warmth.told(self.old, NOW, 7)]:
            self.assertTrue(shaped(data))
            self.assertLessEqual(len(data), 256)
            self.assertEqual(len(data) % 3, 2)
            fresh, _ = make(may_tell=True, schedulers=5)
            fresh.heard(NOW, 1, data)
            self.assertEqual(fresh.peers, {})

    def test_who_answers(self) -> None:
        asking = Asking(0, 2, 1, 0)
        data = question(asking, 0)
        grown = Answering(1, 0)
        self.assertTrue(grown.answer(self.old, NOW, 0, data))
        self.assertFalse(grown.answer(self.old, NOW, 0, data))  # the same again: doubled on its way
        for other, at in ((Answering(2, 0), NOW), (Answering(1, NOW - SECOND), NOW)):
            self.assertFalse(other.answer(self.old, at, 0, data))  # not asked; too young
        self.assertFalse(Answering(1, 0).answer(fresh_node(NOW), NOW, 0, data))  # knows nothing
        self.assertFalse(Answering(0, 0).answer(self.old, NOW, 0, data))  # its own

    def test_answers_are_bounded_whatever_asks(self) -> None:
        answering, sent = Answering(1, 0), 0
        for n in range(20_000):  # two a millisecond for 10 s
            at = NOW + n * MS // 2
            data = question(Asking(0, 2, n, at), at)
            sent += len(answering.answer(self.old, at, 0, data))
        most = warmth.ANSWERS_SAVED + 10 * warmth.ANSWERS_A_SECOND
        self.assertLessEqual(sent, most * (1 + warmth.MOST_PARTS))
        self.assertGreater(sent, most - 2)
        self.assertLessEqual(len(answering._done), warmth.KEPT_NONCES)

    def test_late_lost_and_doubled_answers(self) -> None:
        dice = Random(1)
        for _ in range(100):
            asking, start = Asking(0, 4, dice.getrandbits(30), 0), 0
            under_way: list[tuple[int, int, bytes]] = []
            now = 0
            while not asking.ready(now) and not asking.late(now):
                for number, data in asking.due(now):
                    for answer in Answering(number, 0).answer(self.old, NOW, 0, data) * 2:
                        if dice.random() < 0.5:
                            under_way.append((now + int(dice.expovariate(1 / (50 * MS))), number, answer))
                now += MS
                for _, number, answer in (one for one in under_way if one[0] <= now):
                    asking.hear(now, number, answer)
                under_way = [one for one in under_way if one[0] > now]
            age = warmth.AGED.unpack_from(warmth.told(self.old, NOW, 0)[0])[3] * 10 * MS
            for one in asking.take(now):
                self.assertTrue(age <= one.age <= age + now - start)  # never younger than it is
            asking.hear(now, 1, warmth.told(self.old, NOW, asking._nonce)[0])
            self.assertFalse(asking.ready(now))

    def test_what_peers_know_is_believed(self) -> None:
        asking = Asking(0, 3, 1, 0)
        for number, data in asking.due(0):
            for answer in Answering(number, 0).answer(self.old, NOW, 0, data):
                asking.hear(5 * MS, number, answer)
        self.assertTrue(asking.ready(5 * MS))
        fresh = fresh_node(0)
        found = believe(fresh, asking.take(5 * MS), 5 * MS, 0)
        self.assertFalse(asking.ready(5 * MS))
        self.assertEqual(found.reason, "")
        mean = self.old.fleet.slot_time / self.old.fleet.slots
        self.assertAlmostEqual(fresh.fleet.slot_time / fresh.fleet.slots, mean, delta=mean / 1000)
        self.assertLessEqual(fresh.fleet.slots, warmth.MOST_RUNS)
        self.assertEqual(fresh.fleet.most_free, self.old.fleet.most_free)
        told = [w for w in self.old.workers.values() if w.errors > 0.2]
        self.assertTrue(told)
        for worker in told:
            self.assertGreater(fresh.workers[worker.id].errors, 0.1)
        self.assertTrue(all(w.trust >= warmth.FAIR and not w.shut_until for w in fresh.workers.values()))

    def test_marks_that_collide_and_own_evidence(self) -> None:
        heard = [
            Heard(
                0, LearnedState(0), {w.mark: BoxState(0, errors=0.9) for w in fresh_node(0).workers.values()}
            )
        ]
        fresh = fresh_node(0)
        one, two, three, *rest = fresh.workers.values()
        one.mark, three.life = two.mark, 5
        believe(fresh, heard, 10, 1, own_runs=True)
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
    def test_no_datagram_does_harm(self, datagrams: list[bytes], values: list[float], age: int) -> None:
        fresh, answering, asking = fresh_node(SECOND), Answering(1, 0), Asking(0, 4, 1, SECOND)
        asked = [number for number, _ in asking.due(SECOND)]
        asking._nonce = 0
        lie = warmth.AGED.pack(warmth.MAGIC, warmth.ANSWER, 0, age) + warmth.VALUES.pack(
            *(v if abs(v) < 3e38 or math.isinf(v) else 0.0 for v in values)
        )
        for data in [*datagrams, warmth.padded(lie)]:
            answering.answer(self.old, NOW, 0, data)
            for number in (*asked, 0, 9):
                asking.hear(SECOND, number, data)
        believe(fresh, asking.take(SECOND), SECOND, SECOND)
        for name, value in adoptable_values(fresh).items():
            self.assertTrue(value is None or math.isfinite(value), name)
        for name, low, high in (("pressure", 0, 1), ("crowd", 0, 1), ("own_rate", 0, 1)):
            self.assertTrue(low <= getattr(fresh, name) <= high)
        self.assertTrue(0.3 <= fresh.fleet.pace <= 1.0 and fresh.fleet.slots <= warmth.MOST_RUNS)


class Tier(unittest.TestCase):
    def play(self, section: str, *troubles: Trouble, **more: Any) -> Outcome:
        day = scenario.draw(scenario.load("calm"), 1, nodes=12, boxes=20, rate=60, length=8 * SECOND)
        day = msgspec.structs.replace(day, troubles=troubles)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "op.toml")
            path.write_text("[restart]\n" + section)
            return SimStage().play(day, Options(operator=str(path), **more))

    def test_ten_nodes_at_once_are_answered_within_the_bound(self) -> None:
        gone = Trouble("kill", 3 * SECOND, 4 * SECOND, nodes=tuple(range(10)))
        outcome = self.play("warm_from_peers = true", gone)
        total = {
            name: sum(c.get(name, 0) for c in outcome.counters)
            for name in ("warm_questions", "warm_answers", "warm_believed", "warm_unanswered", "faults")
        }
        # Two nodes know something: each answers at most what it has saved and earns in the second of asking.
        most = 2 * (warmth.ANSWERS_SAVED + warmth.ANSWERS_A_SECOND) * (1 + warmth.MOST_PARTS)
        self.assertTrue(0 < total["warm_answers"] <= most, total)
        self.assertLessEqual(total["warm_questions"], 22 * warmth.ROUNDS * warmth.AT_ONCE)
        self.assertEqual(total["warm_believed"] + total["warm_unanswered"], 22)
        self.assertGreater(total["warm_believed"], 0)
        self.assertEqual(total["faults"], 0)
        self.assertEqual(sum(isinstance(r, NodeLife) and r.what == "ready" for r in outcome.records), 22)

    def test_where_peers_may_not_tell_nothing_is_asked(self) -> None:
        gone = Trouble("kill", 2 * SECOND, 3 * SECOND, nodes=(0, 1))
        outcome = self.play(
            'warm_from_peers = true\nsnapshot = "x"\nsnapshot_every_s = 0.5',
            gone,
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
