"""Tests for a node's subscription: an exhaustive state search, and simulations with fake replicas."""

from __future__ import annotations

import random
import unittest

from tests.helpers import Recorder
from violetsaddle import Balancer, Entry, RequestClass, Settings
from violetsaddle.decide import warmth
from violetsaddle.decide.subscription import (
    ADVERTISED_DELAY_PER_NODE,
    DATAGRAM,
    EARLY_ANSWER_PAUSE,
    FAILED_REPLICA_COOLDOWN,
    MAX_ADVERTISED_DELAY,
    MAX_BACKOFF,
    MAX_FAILURES,
    MAX_PAUSE,
    REFUSED_VERSION_PAUSE,
    SECOND,
    TRANSITIONS,
    EventType,
    Phase,
    Poll,
    Rules,
    State,
    Step,
    decode,
    encode,
    initial_state,
    neighbours,
    step,
)

NUMBERS = range(4)
TYPES_WITH_NUMBER = (
    EventType.NEW_VERSION,
    EventType.UNUSABLE_VERSION,
    EventType.NO_VERSION,
    EventType.ADVERTISED,
)


def events() -> list[tuple[EventType, int]]:
    return [
        (event, number) for event in EventType for number in (NUMBERS if event in TYPES_WITH_NUMBER else (0,))
    ]


class StateSearchTest(unittest.TestCase):
    """Visits all states that any order of events reaches.  Event times are taken from a few values."""

    def check(self, before: State, event: EventType, number: int, after: Step, rules: Rules) -> None:
        state = after.state
        self.assertGreaterEqual(state.number, before.number, "the version in force is older than before")
        self.assertGreaterEqual(state.seen, before.seen, "a version that was seen is forgotten")
        self.assertGreaterEqual(state.seen, state.number)
        self.assertGreaterEqual(state.advertised, before.advertised)
        self.assertTrue(0 <= state.replica < rules.replicas)
        self.assertLessEqual(state.failures, MAX_FAILURES)
        polling = (Phase.LONG_POLL, Phase.SHORT_POLL)
        self.assertEqual(after.apply, state.number != before.number)
        if after.apply:
            self.assertIs(event, EventType.NEW_VERSION)
            self.assertIn(before.phase, polling, "a version is applied without a poll in flight")
            self.assertEqual(state.number, number)
            self.assertGreater(number, before.seen, "an old version is applied")
        if after.poll is not None:
            self.assertIn(state.phase, polling)
            self.assertEqual((after.poll.after, after.poll.replica), (state.number, state.replica))
            self.assertEqual(after.poll.hold, state.phase is Phase.LONG_POLL)
            self.assertEqual(after.cancel_poll, before.phase in polling, "two polls in flight")
        elif before.phase not in polling:
            self.assertNotIn(state.phase, polling, "a phase that waits for a poll that was not sent")
        if state.phase is Phase.IDLE:
            self.assertGreater(state.due, 0, "the node never polls again")
        if before.phase is Phase.STOPPED:
            self.assertEqual(after, Step(before))
        if state.phase is Phase.STOPPED and before.phase is not Phase.STOPPED:
            self.assertTrue(after.cancel_poll)

    def test_no_order_of_events_applies_an_old_version(self) -> None:
        for replicas in (1, 2, 3):
            rules = Rules(replicas, 5, 2)
            pending = [initial_state(rules, 1, number, 0) for number in (0, 2)]
            seen, count = set(pending), 0
            while pending:
                before = pending.pop()
                for event, number in events():
                    for now in {1, before.due or 1}:
                        for random_value in (0.0, 0.99):
                            after = step(before, rules, event, now, random_value, number)
                            count += 1
                            self.check(before, event, number, after, rules)
                            # Only whether a time has passed matters, so each time is reduced to two values.
                            state = after.state._replace(
                                due=min(after.state.due, 2),
                                skipped_until=tuple(2 * (until > now) for until in after.state.skipped_until),
                            )
                            if state not in seen:
                                seen.add(state)
                                pending.append(state)
            self.assertGreater(len(seen), 100)
            self.assertGreater(count, 5000)
            phases = {state.phase for state in seen}
            self.assertEqual(phases, set(Phase))

    def test_each_phase_has_transitions(self) -> None:
        self.assertEqual(set(TRANSITIONS), set(Phase))
        for phase in (Phase.LONG_POLL, Phase.SHORT_POLL):
            self.assertGreaterEqual(set(TRANSITIONS[phase]) | {EventType.WAKE}, set(EventType))


class StepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rules = Rules(3, 100, SECOND)
        self.state, self.now = initial_state(self.rules, 4, 7, 1000), 1000

    def do(self, event: EventType, number: int = 0, random_value: float = 0.5) -> Step:
        result = step(self.state, self.rules, event, self.now, random_value, number)
        self.state = result.state
        return result

    def wait(self) -> Step:
        self.now = self.state.due
        return self.do(EventType.WAKE)

    def test_the_ordinal_selects_the_first_replica(self) -> None:
        self.assertEqual(self.do(EventType.WAKE).poll, Poll(1, 7, True))
        self.assertEqual(self.do(EventType.WAKE), Step(self.state), "one poll at a time")

    def test_only_a_newer_version_is_applied(self) -> None:
        self.do(EventType.WAKE)
        self.assertTrue(self.do(EventType.NEW_VERSION, 8).apply)
        self.assertLessEqual(self.state.due, self.now + MAX_PAUSE)
        self.assertEqual(self.wait().poll, Poll(1, 8, True))
        for number in (8, 7, 0):
            self.assertFalse(self.do(EventType.NEW_VERSION, number).apply)
            self.assertEqual(self.state.number, 8)
            self.wait()

    def test_an_unusable_version_is_not_polled_for_again(self) -> None:
        self.do(EventType.WAKE)
        self.assertFalse(self.do(EventType.UNUSABLE_VERSION, 9).apply)
        self.assertEqual((self.state.number, self.state.seen), (7, 9))
        self.assertEqual(self.wait().poll, Poll(1, 7, True))
        self.assertEqual(self.do(EventType.ADVERTISED, 9), Step(self.state))
        self.do(EventType.UNUSABLE_VERSION, 9)  # from a replica that answers immediately
        self.assertEqual((self.state.due - self.now, self.state.failures), (REFUSED_VERSION_PAUSE, 0))
        self.assertEqual(self.wait().poll, Poll(2, 7, True))
        self.now += SECOND
        self.do(EventType.NO_VERSION, 9)  # from a replica that held the poll
        self.assertLessEqual(self.state.due - self.now, MAX_PAUSE)
        self.wait()
        self.assertFalse(self.do(EventType.NEW_VERSION, 8).apply, "older than a version that was refused")

    def test_the_first_failure_retries_at_once_and_later_ones_back_off(self) -> None:
        self.do(EventType.WAKE)
        self.do(EventType.FAILED)
        self.assertEqual((self.state.replica, self.state.due), (2, self.now))
        waits = []
        for _ in range(8):
            self.wait()
            self.do(EventType.FAILED)
            waits.append(self.state.due - self.now)
        self.assertEqual(waits[:5], [100_000, 200_000, 400_000, 800_000, 1_000_000])
        self.assertLessEqual(max(waits), 1.5 * MAX_BACKOFF)
        self.wait()
        self.do(EventType.NO_VERSION, 7)
        self.assertEqual(self.state.failures, 0)

    def test_a_failed_replica_is_skipped_for_a_while(self) -> None:
        self.do(EventType.WAKE)
        self.do(EventType.FAILED)  # 1
        asked = []
        end = self.now + FAILED_REPLICA_COOLDOWN
        while self.now < end + SECOND:
            poll = self.wait().poll
            assert poll is not None
            asked.append(poll.replica)
            self.now += SECOND
            self.do(EventType.NO_VERSION, 7)
            if self.now < end:
                self.assertNotIn(1, asked)
        self.wait()
        self.now += SECOND
        self.do(EventType.NO_VERSION, 7)
        self.assertIn(1, [*asked, self.state.replica])
        self.assertEqual(set(asked) - {1}, {0, 2}, "each in turn")

    def test_a_replica_that_holds_no_poll_is_polled_with_pauses(self) -> None:
        self.do(EventType.WAKE)
        self.now += SECOND // 2 - 1
        self.do(EventType.NO_VERSION, 7)
        self.assertEqual((self.state.due - self.now, self.state.failures), (EARLY_ANSWER_PAUSE, 0))
        self.wait()
        self.now += SECOND // 2
        self.do(EventType.NO_VERSION, 7)
        self.assertLessEqual(self.state.due - self.now, MAX_PAUSE)

    def test_a_replica_that_is_behind_counts_as_failed(self) -> None:
        self.do(EventType.WAKE)
        self.do(EventType.NO_VERSION, 6)
        self.assertEqual((self.state.replica, self.state.due, self.state.number), (2, self.now, 7))

    def test_an_advertised_version_is_polled_for(self) -> None:
        self.do(EventType.WAKE)
        self.assertIsNone(self.do(EventType.ADVERTISED, 7).poll)
        self.do(EventType.ADVERTISED, 9, random_value=0.25)
        self.assertEqual(self.state.due, self.now + 100 * ADVERTISED_DELAY_PER_NODE // 4)
        due = self.state.due
        self.now += 10
        self.do(EventType.ADVERTISED, 9)
        self.assertEqual(self.state.due, due, "advertised again")
        result = self.wait()
        self.assertEqual((result.cancel_poll, result.poll), (True, Poll(2, 7, False)))
        self.do(EventType.NO_VERSION, 7)  # behind too
        self.assertEqual(self.wait().poll, Poll(0, 7, False))
        self.assertTrue(self.do(EventType.NEW_VERSION, 9).apply)
        self.assertEqual(self.wait().poll, Poll(0, 9, True))

    def test_an_advertised_version_that_no_replica_has(self) -> None:
        self.do(EventType.WAKE)
        self.do(EventType.ADVERTISED, 1000)
        polls = [self.wait().poll]
        while len(polls) < 12:
            self.do(EventType.NO_VERSION, 7)
            polls.append(self.wait().poll)
        self.assertEqual([poll.hold for poll in polls if poll is not None], [False] * 3 + [True] * 9)

    def test_the_delay_after_an_advertisement_is_bounded(self) -> None:
        for nodes, most in ((2, 2 * ADVERTISED_DELAY_PER_NODE), (10_000, MAX_ADVERTISED_DELAY)):
            state = initial_state(Rules(3, nodes, SECOND), 0, 0, 5)._replace(phase=Phase.LONG_POLL, due=0)
            state = step(state, Rules(3, nodes, SECOND), EventType.ADVERTISED, 5, 0.999999, 1).state
            self.assertTrue(5 + 0.9 * most < state.due <= 5 + most)

    def test_stop_cancels_the_poll_and_ignores_later_events(self) -> None:
        self.do(EventType.WAKE)
        self.assertTrue(self.do(EventType.STOP).cancel_poll)
        for event, number in events():
            self.assertEqual(self.do(event, number), Step(self.state))


class FakeReplicas:
    """Three replicas: the newest version of each, and which ones do not answer."""

    def __init__(self) -> None:
        self.numbers, self.silent = [0, 0, 0], set[int]()

    def answer(self, poll: Poll, hold: int, limit: int) -> tuple[int, EventType, int]:
        """Returns the time until the answer in microseconds, the event and its version number."""
        if poll.replica in self.silent:
            return limit, EventType.FAILED, 0
        number = self.numbers[poll.replica]
        if number > poll.after:
            return 1000, EventType.NEW_VERSION, number
        return (hold if poll.hold else 1000), EventType.NO_VERSION, number


class DelayTest(unittest.TestCase):
    WATCH, GRACE = 2500 * 1000, 500 * 1000

    def delay(self, rng: random.Random, failing: set[int], behind: bool) -> int:
        """Returns the microseconds from a commit until one node applies it while the replicas `failing` fail.

        They do not answer, or with `behind` they do not get the version."""
        replicas, rules = FakeReplicas(), Rules(3, 40, self.WATCH)
        state, now = initial_state(rules, rng.randrange(40), 0, 1), 1
        commit, ends, event, number = rng.randrange(30 * SECOND), 0, EventType.FAILED, 0
        replicas.silent = set() if behind else failing
        while True:
            if state.phase is Phase.IDLE:
                if now < commit <= state.due:
                    replicas.numbers = [0 if behind and n in failing else 1 for n in range(3)]
                now = max(now, state.due)
                result = step(state, rules, EventType.WAKE, now, rng.random())
                assert result.poll is not None
                state = result.state
                wait, event, number = replicas.answer(result.poll, self.WATCH, self.WATCH + self.GRACE)
                ends = now + wait
                if now < commit <= ends:
                    replicas.numbers = [0 if behind and n in failing else 1 for n in range(3)]
                    if replicas.numbers[result.poll.replica] and result.poll.replica not in replicas.silent:
                        ends, event, number = commit + 1000, EventType.NEW_VERSION, 1
                continue
            now = ends
            result = step(state, rules, event, now, rng.random(), number)
            state = result.state
            if result.apply:
                return now - commit

    def test_one_silent_or_partitioned_replica_delays_by_less_than_four_seconds(self) -> None:
        rng = random.Random(5)
        for behind in (False, True):
            worst = max(self.delay(rng, {n % 3}, behind) for n in range(1500))
            self.assertLess(worst, 4 * SECOND, behind)

    def test_two_silent_replicas_delay_by_less_than_eight_seconds(self) -> None:
        rng = random.Random(6)
        worst = max(self.delay(rng, {n % 3, (n + 1) % 3}, False) for n in range(1500))
        self.assertLess(worst, 8 * SECOND)


class DatagramTest(unittest.TestCase):
    def test_encode_and_decode(self) -> None:
        digest = "0123456789abcdef" * 2
        for number in (0, 1, 0xFFFFFFFF):
            data = encode(number, digest)
            self.assertEqual(len(data), 13)
            self.assertEqual(decode(data), (number, digest[:16]))
        self.assertEqual(decode(encode(0, "")), (0, "0" * 16))
        for bad in (b"", data[:-1], data + b"\0", b"\0" + data[1:], b"\xd7" + data[1:]):
            self.assertIsNone(decode(bad))

    def test_older_releases_ignore_the_datagrams(self) -> None:
        """The datagrams of the decision module start with 0 or 1, in a large tier with bit 7 set.  Those
        of the warm start have a length of 2 modulo 3."""
        data = encode(5, "ff" * 16)
        self.assertFalse(warmth.is_warm_start_datagram(data))
        self.assertEqual(DATAGRAM.size % 3, 1)
        for nodes in (4, 40):
            settings = Settings(classes=(RequestClass(1, 2),), schedulers=nodes, may_tell=True)
            recorder = Recorder()
            balancer = Balancer(settings, 1, 0, recorder)
            balancer.members(0, "disk", [Entry(n) for n in range(5)])
            done = list(recorder.done)
            balancer.heard(5, 2, data)
            self.assertEqual((balancer.peers, balancer.peer_loads, recorder.done), ({}, {}, done))

    def test_neighbours_reach_every_node(self) -> None:
        self.assertEqual(neighbours(0, 1, 4), ())
        self.assertEqual(neighbours(1, 2, 4), (0,))
        self.assertEqual(neighbours(3, 4, 4), (0, 1, 2))
        self.assertEqual(neighbours(0, 9, 0), ())
        for nodes, most in ((5, 3), (40, 8), (200, 14), (1000, 28)):
            reached, rounds = {0}, 0
            while len(reached) < nodes:
                reached |= {n for node in reached for n in neighbours(node, nodes, 4)}
                rounds += 1
            self.assertLessEqual(rounds, most, nodes)
            for node in range(nodes):
                near = neighbours(node, nodes, 4)
                self.assertEqual(len(set(near)), min(4, nodes - 1))
                self.assertNotIn(node, near)
