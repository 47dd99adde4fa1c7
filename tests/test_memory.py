"""Learned state: how it ages, how much of it a node adopts, and that no invalid state breaks a balancer."""

from __future__ import annotations

import math
import unittest
from typing import Any, cast
from zlib import crc32

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MS, SECOND, make, run_until
from violetsaddle import Balancer, Entry
from violetsaddle.decide import memory
from violetsaddle.decide.memory import (
    AGING_RULES,
    Adopted,
    BoxState,
    BucketState,
    LearnedState,
    ServerList,
    adopt,
    collect,
    weight,
)

NAMES = [f"s-{n}" for n in range(6)]
UNIX = 1_750_000_000 * SECOND
SETTINGS: dict[str, Any] = {
    "tells_start": True,
    "report": frozenset({"free_slots"}),
    "kinds": 2,
    "zones": 2,
    "must_ask": True,
    "cold_from": 0.2,
    "cold_for": 5 * SECOND,
}
numbers = st.one_of(st.floats(), st.floats(0, 2), st.integers(-(1 << 62), 1 << 62))
integers = st.integers(-(1 << 62), 1 << 62)


def entry(name: str, started: int = 0, state: str = "active") -> Entry:
    return Entry(crc32(name.encode()), kind=NAMES.index(name) % 2, started=started, state=state)


def fresh_node(now: int, *entries: Entry) -> Balancer:
    balancer, _ = make(workers=0, **SETTINGS)
    balancer.members(now, "disk", entries or [entry(name) for name in NAMES])
    return balancer


def listing(version: int = 1, **started: int) -> dict[str, Any]:
    return {
        "version": version,
        "full": True,
        "servers": [
            {"id": name, "addr": "127.0.0.1:1", "started_ms": started.get(name.replace("-", ""), 0)}
            for name in NAMES
        ],
    }


def busy_node(now: int) -> Balancer:
    """A balancer after 300 requests: s-0 fails at once, s-1 can't be reached, the others serve."""
    balancer, recorder = make(workers=0, **SETTINGS)
    balancer.members(0, "disk", [entry(name) for name in NAMES])
    balancer.members(0, "diff", [])  # discovery has answered; before that the first requests wait
    at = run_until(balancer, recorder, 0, now - 4 * SECOND)
    for job in range(300):
        at += 10 * MS
        at = run_until(balancer, recorder, at, at)
        balancer.request(at, str(job), 0, 2 * SECOND, hint=1000)
        worker = recorder.sent_to(str(job))[-1]
        outcome = {crc32(b"s-0"): "error", crc32(b"s-1"): "connect_failed"}.get(worker, "ok")
        balancer.note(at, str(job), 0, 1, 0.0)
        at += MS
        balancer.answer(at, str(job), 0, outcome, MS, outcome == "ok", {"free_slots": 3.0})
    run_until(balancer, recorder, at, now)
    return balancer


def adoptable_values(balancer: Balancer) -> dict[str, Any]:
    """All values that adopting a state may change."""
    fleet = balancer.fleet
    found = {
        name: getattr(fleet if name in memory.OF_FLEET else balancer, memory.attribute(name))
        for name in memory.VALUES
    }
    found |= {
        f"{w.id}.{name}": getattr(w, name)
        for w in balancer.workers.values()
        for name in ("speed", "errors", "unhealthy_until", "strikes", "ejected_until", "trust", "last_seen")
    }
    found |= {f"bucket{n}": b.tokens for n, b in enumerate(balancer.buckets)}
    return {**found, "retries": balancer.retry_budget}


class LearnedStates(unittest.TestCase):
    def setUp(self) -> None:
        self.source = busy_node(10 * SECOND)
        self.saved = collect(self.source, 10 * SECOND, UNIX, ["a", "b"], listing())
        self.saved.mono = -1  # from another boot

    def test_a_young_state_is_adopted_nearly_unchanged(self) -> None:
        fresh = fresh_node(20 * SECOND)
        result = adopt(fresh, self.saved, 20 * SECOND, UNIX + SECOND)
        self.assertEqual((result.reason, result.boxes, result.skipped), ("", 6, 0))
        mean = self.source.fleet.slot_time / self.source.fleet.slots
        self.assertAlmostEqual(fresh.fleet.slot_time / fresh.fleet.slots, mean)
        self.assertEqual(fresh.fleet.most_free, self.source.fleet.most_free)
        self.assertGreater(fresh.workers[crc32(b"s-0")].errors, 0.1)
        restored, original = fresh.workers[crc32(b"s-0")], self.source.workers[crc32(b"s-0")]
        self.assertEqual(
            max(0, restored.unhealthy_until - 20 * SECOND), max(0, original.unhealthy_until - 11 * SECOND)
        )
        self.assertLessEqual(fresh.buckets[0].tokens, fresh.buckets[0].burst)

    def test_an_ejected_box_stays_ejected_and_is_readmitted(self) -> None:
        box = BoxState(0, trust=0.2, ejected_left=3 * SECOND, strikes=2)
        balancer, recorder = make(workers=0, **SETTINGS)
        balancer.members(0, "disk", [entry(name) for name in NAMES])
        adopt(balancer, LearnedState(UNIX, boxes={name: box for name in NAMES}), 0, UNIX + SECOND)
        ejected = [w for w in balancer.workers.values() if w.ejected_until]
        self.assertEqual((len(ejected), balancer.ejected), (1, 1))  # 0.3 of six boxes at most
        self.assertEqual(len(balancer.ready_workers.items), 5)
        run_until(balancer, recorder, 0, 2 * SECOND + MS)
        self.assertEqual((len(balancer.ready_workers.items), balancer.ejected), (6, 0))

    def test_only_listed_boxes_with_the_same_start_are_adopted(self) -> None:
        now = 20 * SECOND
        fresh = fresh_node(now, entry("s-0", started=now - SECOND), entry("s-2", state="draining"))
        result = adopt(fresh, self.saved, now, UNIX)
        self.assertEqual((result.boxes, result.skipped), (1, 5))
        self.assertEqual(set(fresh.workers), {crc32(b"s-0"), crc32(b"s-2")})
        cold = fresh.workers[crc32(b"s-0")]
        self.assertEqual((cold.errors, cold.speed, cold.trust), (0.0, 0.0, 1.0))
        self.assertEqual(cold.cold_until, now + 4 * SECOND)
        drained = fresh.workers[crc32(b"s-2")]
        self.assertEqual((drained.state, drained.pools), ("draining", ()))

    def test_where_all_boxes_were_replaced_only_fleet_values_are_adopted(self) -> None:
        now, (fresh, _) = 20 * SECOND, make(workers=0, **SETTINGS)
        fresh.members(now, "disk", [Entry(crc32(name)) for name in (b"t-0", b"t-1")])
        result = adopt(fresh, self.saved, now, UNIX + SECOND)
        self.assertEqual((result.boxes, result.skipped, result.reason), (0, 6, ""))
        self.assertEqual(
            {(w.speed, w.errors, w.trust, w.strikes) for w in fresh.workers.values()}, {(0.0, 0.0, 1.0, 0)}
        )
        self.assertEqual(fresh.fleet.most_free, self.source.fleet.most_free)

    def test_a_cold_box_never_gets_more_tokens_than_after_a_fresh_start(self) -> None:
        for tokens in (-3.0, 0.0, 50.0, math.inf):
            now = 20 * SECOND
            fresh = fresh_node(now, entry("s-0", started=now - SECOND))
            worker = fresh.workers[crc32(b"s-0")]
            before = worker.cold_budget.tokens
            box = BoxState(UNIX - SECOND, cold_tokens=tokens)
            self.assertEqual(adopt(fresh, LearnedState(UNIX, boxes={"s-0": box}), now, UNIX).boxes, 1)
            self.assertEqual(worker.cold_budget.tokens, min(before, tokens))
            self.assertGreater(worker.cold_until, now)

    def test_age_by_both_clocks(self) -> None:
        fresh = fresh_node(20 * SECOND)
        before = adoptable_values(fresh)
        for unix, mono, now, why in (
            (UNIX - SECOND, -1, 0, "set back"),
            (UNIX + 61 * SECOND, -1, 0, "61 s"),
            (UNIX, 0, 61 * SECOND, "61 s"),
        ):
            result = adopt(fresh, msgspec.structs.replace(self.saved, mono=mono), now, unix)
            self.assertIn(why, result.reason)
            self.assertEqual(adoptable_values(fresh), before)
        # After a reboot the monotonic clock begins anew.
        self.assertEqual(memory.age_of(self.saved, 3, UNIX + 5), 5)

    def test_tokens_accrue_while_the_node_is_down(self) -> None:
        for age, wanted in ((SECOND, 3.0), (20 * SECOND, 8.0)):
            fresh = fresh_node(0)
            adopt(fresh, LearnedState(UNIX, buckets=[BucketState(2 / SECOND, 1.0)]), 0, UNIX + age)
            self.assertAlmostEqual(fresh.buckets[0].tokens, wanted)
            self.assertEqual(fresh.buckets[0].rate, 2 / SECOND if age < 10 * SECOND else None)

    def test_weight_falls_with_age(self) -> None:
        for name, rule in AGING_RULES.items():
            steps = [weight(name, age * SECOND / 4) for age in range(0, 300)]
            self.assertEqual(steps, sorted(steps, reverse=True))
            self.assertEqual((steps[0], weight(name, rule.max_age * SECOND)), (1.0, 0.0))
            self.assertTrue(rule.reason)
        adopted = []
        for age in range(0, 61, 3):
            fresh = fresh_node(0)
            adopt(fresh, LearnedState(UNIX, values={"pressure": 0.9, "pace": 0.4}), 0, UNIX + age * SECOND)
            adopted.append((fresh.pressure, 1.0 - fresh.fleet.correction))
        self.assertEqual(adopted, sorted(adopted, reverse=True))
        self.assertEqual((adopted[0][0], adopted[-1]), (0.9, (0.0, 0.0)))

    def test_a_server_list_follows_the_answers_of_discovery(self) -> None:
        server_list = ServerList()
        self.assertIsNone(server_list.full_answer())
        server_list.apply(listing(3), "d:1")
        server_list.apply(
            {
                "version": 4,
                "full": False,
                "servers": [{"id": "s-0", "state": "removed"}, {"id": "s-1", "state": "draining"}],
            },
            "d:1",
        )
        merged = cast(dict[str, Any], server_list.full_answer())
        self.assertEqual(
            [(i["id"], i.get("state")) for i in merged["servers"]],
            [("s-1", "draining"), *((f"s-{n}", None) for n in range(2, 6))],
        )
        old = LearnedState(UNIX, listing=merged, source="d:1")
        for known, source, age, wanted in (
            (listing(3), "d:1", 0, True),
            (None, "d:1", 0, True),
            (listing(4), "d:1", 0, False),
            (listing(3), "d:2", 0, False),
            (listing(3), "d:1", 61 * SECOND, False),
            (listing(3), "d:1", None, False),
        ):
            self.assertEqual(memory.newer_listing(old, known, source, age, 60 * SECOND) is not None, wanted)

    boxes = st.builds(
        BoxState,
        integers,
        numbers,
        numbers,
        integers,
        integers,
        numbers,
        integers,
        integers,
        st.none() | numbers,
    )
    states = st.builds(
        LearnedState,
        st.just(UNIX) | integers,
        integers,
        st.dictionaries(st.sampled_from([*AGING_RULES]) | st.text(), numbers),
        st.dictionaries(integers | st.integers(0, 2), numbers),
        st.dictionaries(integers | st.integers(0, 2), numbers),
        st.lists(st.builds(BucketState, st.none() | numbers, numbers), max_size=3),
        numbers,
        st.dictionaries(st.sampled_from(NAMES) | st.text(), boxes, max_size=8),
        st.lists(st.text()),
    )

    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(states, st.integers(0, 100 * SECOND))
    def test_any_state_keeps_values_finite_and_the_list_unchanged(
        self, state: LearnedState, age: int
    ) -> None:
        balancer, recorder = make(workers=0, **SETTINGS)
        balancer.members(SECOND, "disk", [entry(name, started=SECOND // 2) for name in NAMES])

        def listed_fields() -> dict[int, tuple[Any, ...]]:
            return {w.id: (w.state, w.started, w.cold_until) for w in balancer.workers.values()}

        before = listed_fields()
        self.assertIsInstance(adopt(balancer, state, SECOND, UNIX + age), Adopted)
        for name, value in adoptable_values(balancer).items():
            self.assertTrue(value is None or math.isfinite(value), name)
        self.assertEqual(listed_fields(), before)
        self.assertFalse(recorder.named("send", "probe", "cancel", "refuse"))
        for job in range(20):
            balancer.request(2 * SECOND, f"j{job}", 0, SECOND, hint=1000)
        run_until(balancer, recorder, SECOND, 30 * SECOND)
        self.assertLessEqual({w for d in recorder.named("send") for w in [d[2]]}, set(before))

    @settings(max_examples=10, deadline=None, derandomize=True)
    @given(st.integers(8, 40), st.integers(0, 3 * SECOND))
    def test_an_encoded_state_is_adopted_like_the_original(self, seconds: int, age: int) -> None:
        first = busy_node(seconds * SECOND)
        saved = collect(first, seconds * SECOND, UNIX, ["x"], listing())
        again = msgspec.msgpack.decode(msgspec.msgpack.encode(saved), type=LearnedState)
        self.assertEqual(again, saved)
        one, other = fresh_node(0), fresh_node(0)
        adopt(one, saved, 0, UNIX + age)
        adopt(other, again, 0, UNIX + age)
        self.assertEqual(adoptable_values(one), adoptable_values(other))


if __name__ == "__main__":
    unittest.main()
