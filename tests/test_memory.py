"""What a node remembers: how it ages, what of it is believed, and that no memory does harm."""

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
from violetsaddle.decide.memory import AGING, Believed, Box, Bucket, Listing, Memory, believe, learned, weight

NAMES = [f"s-{n}" for n in range(6)]
UNIX = 1_750_000_000 * SECOND
MORE: dict[str, Any] = {
    "tells_start": True,
    "report": frozenset({"free_slots"}),
    "kinds": 2,
    "zones": 2,
    "must_ask": True,
    "cold_from": 0.2,
    "cold_for": 5 * SECOND,
}
numbers = st.one_of(st.floats(), st.floats(0, 2), st.integers(-(1 << 62), 1 << 62))
whole = st.integers(-(1 << 62), 1 << 62)


def entry(name: str, started: int = 0, state: str = "active") -> Entry:
    return Entry(crc32(name.encode()), kind=NAMES.index(name) % 2, started=started, state=state)


def node(now: int, *entries: Entry) -> Balancer:
    balancer, _ = make(workers=0, **MORE)
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


def busy(now: int) -> Balancer:
    """A node with a history: s-0 fails at once, s-1 can't be reached, the others serve."""
    balancer, recorder = make(workers=0, **MORE)
    balancer.members(0, "disk", [entry(name) for name in NAMES])
    balancer.members(0, "diff", [])  # discovery has answered: until then its first requests wait
    at = run_until(balancer, recorder, 0, now - 4 * SECOND)
    for job in range(300):
        at += 10 * MS
        at = run_until(balancer, recorder, at, at)
        balancer.request(at, str(job), 0, 2 * SECOND, hint=1000)
        worker = recorder.sent_to(str(job))[-1]
        how = {crc32(b"s-0"): "error", crc32(b"s-1"): "connect_failed"}.get(worker, "ok")
        balancer.note(at, str(job), 0, 1, 0.0)
        at += MS
        balancer.answer(at, str(job), 0, how, MS, how == "ok", {"free_slots": 3.0})
    run_until(balancer, recorder, at, now)
    return balancer


def state(balancer: Balancer) -> dict[str, Any]:
    """All numbers that a memory may move."""
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


class Memories(unittest.TestCase):
    def setUp(self) -> None:
        self.old = busy(10 * SECOND)
        self.kept = learned(self.old, 10 * SECOND, UNIX, ["a", "b"], listing())
        self.kept.mono = -1  # of another boot

    def test_a_young_memory_is_believed_nearly_whole(self) -> None:
        fresh = node(20 * SECOND)
        found = believe(fresh, self.kept, 20 * SECOND, UNIX + SECOND)
        self.assertEqual((found.why, found.boxes, found.passed), ("", 6, 0))
        mean = self.old.fleet.slot_time / self.old.fleet.slots
        self.assertAlmostEqual(fresh.fleet.slot_time / fresh.fleet.slots, mean)
        self.assertEqual(fresh.fleet.most_free, self.old.fleet.most_free)
        self.assertGreater(fresh.workers[crc32(b"s-0")].errors, 0.1)
        ill, was = fresh.workers[crc32(b"s-0")], self.old.workers[crc32(b"s-0")]
        self.assertEqual(max(0, ill.unhealthy_until - 20 * SECOND), max(0, was.unhealthy_until - 11 * SECOND))
        self.assertLessEqual(fresh.buckets[0].tokens, fresh.buckets[0].burst)

    def test_a_box_that_is_shut_out_stays_so_and_comes_back(self) -> None:
        box = Box(0, trust=0.2, shut=3 * SECOND, strikes=2)
        balancer, recorder = make(workers=0, **MORE)
        balancer.members(0, "disk", [entry(name) for name in NAMES])
        believe(balancer, Memory(UNIX, boxes={name: box for name in NAMES}), 0, UNIX + SECOND)
        out = [w for w in balancer.workers.values() if w.ejected_until]
        self.assertEqual((len(out), balancer.ejected), (1, 1))  # three tenths of six at most
        self.assertEqual(len(balancer.ready_workers.items), 5)
        run_until(balancer, recorder, 0, 2 * SECOND + MS)
        self.assertEqual((len(balancer.ready_workers.items), balancer.ejected), (6, 0))

    def test_only_boxes_that_the_list_names_with_the_same_start(self) -> None:
        now = 20 * SECOND
        fresh = node(now, entry("s-0", started=now - SECOND), entry("s-2", state="draining"))
        found = believe(fresh, self.kept, now, UNIX)
        self.assertEqual((found.boxes, found.passed), (1, 5))
        self.assertEqual(set(fresh.workers), {crc32(b"s-0"), crc32(b"s-2")})
        cold = fresh.workers[crc32(b"s-0")]
        self.assertEqual((cold.errors, cold.speed, cold.trust), (0.0, 0.0, 1.0))
        self.assertEqual(cold.cold_until, now + 4 * SECOND)
        drained = fresh.workers[crc32(b"s-2")]
        self.assertEqual((drained.state, drained.pools), ("draining", ()))

    def test_where_all_boxes_were_replaced_only_the_fleet_is_believed(self) -> None:
        now, (fresh, _) = 20 * SECOND, make(workers=0, **MORE)
        fresh.members(now, "disk", [Entry(crc32(name)) for name in (b"t-0", b"t-1")])
        found = believe(fresh, self.kept, now, UNIX + SECOND)
        self.assertEqual((found.boxes, found.passed, found.why), (0, 6, ""))
        self.assertEqual(
            {(w.speed, w.errors, w.trust, w.strikes) for w in fresh.workers.values()}, {(0.0, 0.0, 1.0, 0)}
        )
        self.assertEqual(fresh.fleet.most_free, self.old.fleet.most_free)

    def test_a_cold_box_never_gets_more_than_a_fresh_start_gives(self) -> None:
        for tokens in (-3.0, 0.0, 50.0, math.inf):
            now = 20 * SECOND
            fresh = node(now, entry("s-0", started=now - SECOND))
            worker = fresh.workers[crc32(b"s-0")]
            before = worker.cold_budget.tokens
            box = Box(UNIX - SECOND, cold=tokens)
            self.assertEqual(believe(fresh, Memory(UNIX, boxes={"s-0": box}), now, UNIX).boxes, 1)
            self.assertEqual(worker.cold_budget.tokens, min(before, tokens))
            self.assertGreater(worker.cold_until, now)

    def test_clocks(self) -> None:
        fresh = node(20 * SECOND)
        before = state(fresh)
        for unix, mono, now, why in (
            (UNIX - SECOND, -1, 0, "set back"),
            (UNIX + 61 * SECOND, -1, 0, "61 s"),
            (UNIX, 0, 61 * SECOND, "61 s"),
        ):
            found = believe(fresh, msgspec.structs.replace(self.kept, mono=mono), now, unix)
            self.assertIn(why, found.why)
            self.assertEqual(state(fresh), before)
        self.assertEqual(memory.age_of(self.kept, 3, UNIX + 5), 5)  # another boot: its clock began anew

    def test_tokens_accrue_while_nobody_spends_them(self) -> None:
        for age, wanted in ((SECOND, 3.0), (20 * SECOND, 8.0)):
            fresh = node(0)
            believe(fresh, Memory(UNIX, buckets=[Bucket(2 / SECOND, 1.0)]), 0, UNIX + age)
            self.assertAlmostEqual(fresh.buckets[0].tokens, wanted)
            self.assertEqual(fresh.buckets[0].rate, 2 / SECOND if age < 10 * SECOND else None)

    def test_the_older_the_less(self) -> None:
        for name, aging in AGING.items():
            steps = [weight(name, age * SECOND / 4) for age in range(0, 300)]
            self.assertEqual(steps, sorted(steps, reverse=True))
            self.assertEqual((steps[0], weight(name, aging.live * SECOND)), (1.0, 0.0))
            self.assertTrue(aging.why)
        far = []
        for age in range(0, 61, 3):
            fresh = node(0)
            believe(fresh, Memory(UNIX, values={"pressure": 0.9, "pace": 0.4}), 0, UNIX + age * SECOND)
            far.append((fresh.pressure, 1.0 - fresh.fleet.correction))
        self.assertEqual(far, sorted(far, reverse=True))
        self.assertEqual((far[0][0], far[-1]), (0.9, (0.0, 0.0)))

    def test_a_listing_follows_the_answers(self) -> None:
        held = Listing()
        self.assertIsNone(held.whole())
        held.take(listing(3), "d:1")
        held.take(
            {
                "version": 4,
                "full": False,
                "servers": [{"id": "s-0", "state": "removed"}, {"id": "s-1", "state": "draining"}],
            },
            "d:1",
        )
        whole = cast(dict[str, Any], held.whole())
        self.assertEqual(
            [(i["id"], i.get("state")) for i in whole["servers"]],
            [("s-1", "draining"), *((f"s-{n}", None) for n in range(2, 6))],
        )
        old = Memory(UNIX, listing=whole, source="d:1")
        for known, source, age, wanted in (
            (listing(3), "d:1", 0, True),
            (None, "d:1", 0, True),
            (listing(4), "d:1", 0, False),
            (listing(3), "d:2", 0, False),
            (listing(3), "d:1", 61 * SECOND, False),
            (listing(3), "d:1", None, False),
        ):
            self.assertEqual(memory.newer(old, known, source, age, 60 * SECOND) is not None, wanted)

    boxes = st.builds(Box, whole, numbers, numbers, whole, whole, numbers, whole, whole, st.none() | numbers)
    memories = st.builds(
        Memory,
        st.just(UNIX) | whole,
        whole,
        st.dictionaries(st.sampled_from([*AGING]) | st.text(), numbers),
        st.dictionaries(whole | st.integers(0, 2), numbers),
        st.dictionaries(whole | st.integers(0, 2), numbers),
        st.lists(st.builds(Bucket, st.none() | numbers, numbers), max_size=3),
        numbers,
        st.dictionaries(st.sampled_from(NAMES) | st.text(), boxes, max_size=8),
        st.lists(st.text()),
    )

    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(memories, st.integers(0, 100 * SECOND))
    def test_no_memory_does_harm(self, told: Memory, age: int) -> None:
        balancer, recorder = make(workers=0, **MORE)
        balancer.members(SECOND, "disk", [entry(name, started=SECOND // 2) for name in NAMES])

        def listed() -> dict[int, tuple[Any, ...]]:
            return {w.id: (w.state, w.started, w.cold_until) for w in balancer.workers.values()}

        before = listed()
        self.assertIsInstance(believe(balancer, told, SECOND, UNIX + age), Believed)
        for name, value in state(balancer).items():
            self.assertTrue(value is None or math.isfinite(value), name)
        self.assertEqual(listed(), before)
        self.assertFalse(recorder.named("send", "probe", "cancel", "refuse"))
        for job in range(20):
            balancer.request(2 * SECOND, f"j{job}", 0, SECOND, hint=1000)
        run_until(balancer, recorder, SECOND, 30 * SECOND)
        self.assertLessEqual({w for d in recorder.named("send") for w in [d[2]]}, set(before))

    @settings(max_examples=10, deadline=None, derandomize=True)
    @given(st.integers(8, 40), st.integers(0, 3 * SECOND))
    def test_what_was_learned_comes_back(self, seconds: int, age: int) -> None:
        first = busy(seconds * SECOND)
        kept = learned(first, seconds * SECOND, UNIX, ["x"], listing())
        again = msgspec.msgpack.decode(msgspec.msgpack.encode(kept), type=Memory)
        self.assertEqual(again, kept)
        one, other = node(0), node(0)
        believe(one, kept, 0, UNIX + age)
        believe(other, again, 0, UNIX + age)
        self.assertEqual(state(one), state(other))


if __name__ == "__main__":
    unittest.main()
