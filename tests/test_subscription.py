"""When a node asks which replica: searched exhaustively, and played against replicas of the test's own."""

from __future__ import annotations

import random
import unittest

from tests.helpers import Recorder
from violetsaddle import Balancer, Entry, RequestClass, Settings
from violetsaddle.decide import warmth
from violetsaddle.decide.subscription import (
    AGAIN,
    DATAGRAM,
    HEAR_EACH,
    HEAR_MOST,
    MOST_BACK_OFF,
    MOST_FAILURES,
    PASSED_OVER,
    PAUSE,
    QUICK,
    SECOND,
    TABLE,
    Ask,
    Phase,
    Rules,
    State,
    Step,
    Word,
    begin,
    decode,
    encode,
    neighbours,
    step,
)

NUMBERS = range(4)
BRINGS = (Word.NEWER, Word.UNFIT, Word.ANSWERED, Word.HEARD)


def words() -> list[tuple[Word, int]]:
    return [(word, number) for word in Word for number in (NUMBERS if word in BRINGS else (0,))]


class Search(unittest.TestCase):
    """All states that any order of words reaches, with the times at which they come drawn from a few."""

    def check(self, before: State, word: Word, number: int, after: Step, rules: Rules) -> None:
        state = after.state
        self.assertGreaterEqual(state.number, before.number, "goes back")
        self.assertGreaterEqual(state.seen, before.seen, "forgets what it has judged")
        self.assertGreaterEqual(state.seen, state.number)
        self.assertGreaterEqual(state.hint, before.hint)
        self.assertTrue(0 <= state.replica < rules.replicas)
        self.assertLessEqual(state.failures, MOST_FAILURES)
        out = (Phase.WATCHING, Phase.ASKING)
        self.assertEqual(after.apply, state.number != before.number)
        if after.apply:
            self.assertIs(word, Word.NEWER)
            self.assertIn(before.phase, out, "without a call out nothing is applied")
            self.assertEqual(state.number, number)
            self.assertGreater(number, before.seen, "goes back to what it has judged")
        if after.ask is not None:
            self.assertIn(state.phase, out)
            self.assertEqual((after.ask.after, after.ask.replica), (state.number, state.replica))
            self.assertEqual(after.ask.hold, state.phase is Phase.WATCHING)
            self.assertEqual(after.abandon, before.phase in out, "two calls out")
        elif before.phase not in out:
            self.assertNotIn(state.phase, out, "a call that nobody made")
        if state.phase is Phase.RESTING:
            self.assertGreater(state.due, 0, "never asks again")
        if before.phase is Phase.STOPPED:
            self.assertEqual(after, Step(before))
        if state.phase is Phase.STOPPED and before.phase is not Phase.STOPPED:
            self.assertTrue(after.abandon)

    def test_no_order_of_words_goes_back(self) -> None:
        for replicas in (1, 2, 3):
            rules = Rules(replicas, 5, 2)
            todo = [begin(rules, 1, number, 0) for number in (0, 2)]
            seen, count = set(todo), 0
            while todo:
                before = todo.pop()
                for word, number in words():
                    for now in {1, before.due or 1}:
                        for drawn in (0.0, 0.99):
                            after = step(before, rules, word, now, drawn, number)
                            count += 1
                            self.check(before, word, number, after, rules)
                            # Times only tell whether something is due: one of each sort is enough.
                            state = after.state._replace(
                                due=min(after.state.due, 2),
                                passed_over=tuple(2 * (until > now) for until in after.state.passed_over),
                            )
                            if state not in seen:
                                seen.add(state)
                                todo.append(state)
            self.assertGreater(len(seen), 100)
            self.assertGreater(count, 5000)
            phases = {state.phase for state in seen}
            self.assertEqual(phases, set(Phase))

    def test_the_table_holds_each_phase(self) -> None:
        self.assertEqual(set(TABLE), set(Phase))
        for phase in (Phase.WATCHING, Phase.ASKING):
            self.assertGreaterEqual(set(TABLE[phase]) | {Word.WAKE}, set(Word))


class Steps(unittest.TestCase):
    def setUp(self) -> None:
        self.rules = Rules(3, 100, SECOND)
        self.state, self.now = begin(self.rules, 4, 7, 1000), 1000

    def do(self, word: Word, number: int = 0, drawn: float = 0.5) -> Step:
        made = step(self.state, self.rules, word, self.now, drawn, number)
        self.state = made.state
        return made

    def wait(self) -> Step:
        self.now = self.state.due
        return self.do(Word.WAKE)

    def test_the_first_replica_is_by_ordinal(self) -> None:
        self.assertEqual(self.do(Word.WAKE).ask, Ask(1, 7, True))
        self.assertEqual(self.do(Word.WAKE), Step(self.state), "one call at a time")

    def test_a_newer_version_is_applied_and_an_older_not(self) -> None:
        self.do(Word.WAKE)
        self.assertTrue(self.do(Word.NEWER, 8).apply)
        self.assertLessEqual(self.state.due, self.now + PAUSE)
        self.assertEqual(self.wait().ask, Ask(1, 8, True))
        for number in (8, 7, 0):
            self.assertFalse(self.do(Word.NEWER, number).apply)
            self.assertEqual(self.state.number, 8)
            self.wait()

    def test_an_unfit_one_is_not_asked_for_again(self) -> None:
        self.do(Word.WAKE)
        self.assertFalse(self.do(Word.UNFIT, 9).apply)
        self.assertEqual((self.state.number, self.state.seen), (7, 9))
        self.assertEqual(self.wait().ask, Ask(1, 7, True))
        self.assertEqual(self.do(Word.HEARD, 9), Step(self.state))
        self.do(Word.UNFIT, 9)  # from a replica that answers at once
        self.assertEqual((self.state.due - self.now, self.state.failures), (AGAIN, 0))
        self.assertEqual(self.wait().ask, Ask(2, 7, True))
        self.now += SECOND
        self.do(Word.ANSWERED, 9)  # from one that has held the call
        self.assertLessEqual(self.state.due - self.now, PAUSE)
        self.wait()
        self.assertFalse(self.do(Word.NEWER, 8).apply, "older than one that was judged")

    def test_after_a_failure_the_next_at_once_then_backing_off(self) -> None:
        self.do(Word.WAKE)
        self.do(Word.FAILED)
        self.assertEqual((self.state.replica, self.state.due), (2, self.now))
        waits = []
        for _ in range(8):
            self.wait()
            self.do(Word.FAILED)
            waits.append(self.state.due - self.now)
        self.assertEqual(waits[:5], [100_000, 200_000, 400_000, 800_000, 1_000_000])
        self.assertLessEqual(max(waits), 1.5 * MOST_BACK_OFF)
        self.wait()
        self.do(Word.ANSWERED, 7)
        self.assertEqual(self.state.failures, 0)

    def test_one_that_failed_is_passed_over_and_comes_back(self) -> None:
        self.do(Word.WAKE)
        self.do(Word.FAILED)  # 1
        asked = []
        end = self.now + PASSED_OVER
        while self.now < end + SECOND:
            ask = self.wait().ask
            assert ask is not None
            asked.append(ask.replica)
            self.now += SECOND
            self.do(Word.ANSWERED, 7)
            if self.now < end:
                self.assertNotIn(1, asked)
        self.wait()
        self.now += SECOND
        self.do(Word.ANSWERED, 7)
        self.assertIn(1, [*asked, self.state.replica])
        self.assertEqual(set(asked) - {1}, {0, 2}, "each in turn")

    def test_a_replica_that_holds_no_call_is_not_asked_without_rest(self) -> None:
        self.do(Word.WAKE)
        self.now += SECOND // 2 - 1
        self.do(Word.ANSWERED, 7)
        self.assertEqual((self.state.due - self.now, self.state.failures), (QUICK, 0))
        self.wait()
        self.now += SECOND // 2
        self.do(Word.ANSWERED, 7)
        self.assertLessEqual(self.state.due - self.now, PAUSE)

    def test_a_replica_that_is_behind(self) -> None:
        self.do(Word.WAKE)
        self.do(Word.ANSWERED, 6)
        self.assertEqual((self.state.replica, self.state.due, self.state.number), (2, self.now, 7))

    def test_another_nodes_word(self) -> None:
        self.do(Word.WAKE)
        self.assertIsNone(self.do(Word.HEARD, 7).ask)
        self.do(Word.HEARD, 9, drawn=0.25)
        self.assertEqual(self.state.due, self.now + 100 * HEAR_EACH // 4)
        due = self.state.due
        self.now += 10
        self.do(Word.HEARD, 9)
        self.assertEqual(self.state.due, due, "said again")
        made = self.wait()
        self.assertEqual((made.abandon, made.ask), (True, Ask(2, 7, False)))
        self.do(Word.ANSWERED, 7)  # behind too
        self.assertEqual(self.wait().ask, Ask(0, 7, False))
        self.assertTrue(self.do(Word.NEWER, 9).apply)
        self.assertEqual(self.wait().ask, Ask(0, 9, True))

    def test_a_word_that_no_replica_can_follow(self) -> None:
        self.do(Word.WAKE)
        self.do(Word.HEARD, 1000)
        asks = [self.wait().ask]
        while len(asks) < 12:
            self.do(Word.ANSWERED, 7)
            asks.append(self.wait().ask)
        self.assertEqual([ask.hold for ask in asks if ask is not None], [False] * 3 + [True] * 9)

    def test_the_wait_is_bounded(self) -> None:
        for nodes, most in ((2, 2 * HEAR_EACH), (10_000, HEAR_MOST)):
            state = begin(Rules(3, nodes, SECOND), 0, 0, 5)._replace(phase=Phase.WATCHING, due=0)
            state = step(state, Rules(3, nodes, SECOND), Word.HEARD, 5, 0.999999, 1).state
            self.assertTrue(5 + 0.9 * most < state.due <= 5 + most)

    def test_the_end(self) -> None:
        self.do(Word.WAKE)
        self.assertTrue(self.do(Word.STOP).abandon)
        for word, number in words():
            self.assertEqual(self.do(word, number), Step(self.state))


class Replicas:
    """Three of them: what each has, and whether it is silent or cut off from the others."""

    def __init__(self) -> None:
        self.numbers, self.silent = [0, 0, 0], set[int]()

    def answer(self, ask: Ask, hold: int, limit: int) -> tuple[int, Word, int]:
        """After how long, and what."""
        if ask.replica in self.silent:
            return limit, Word.FAILED, 0
        number = self.numbers[ask.replica]
        if number > ask.after:
            return 1000, Word.NEWER, number
        return (hold if ask.hold else 1000), Word.ANSWERED, number


class Bounds(unittest.TestCase):
    WATCH, GRACE = 2500 * 1000, 500 * 1000

    def delay(self, draw: random.Random, wrong: set[int], behind: bool) -> int:
        """How long after its commit one node has a version, though replicas are silent or do not get it."""
        replicas, rules = Replicas(), Rules(3, 40, self.WATCH)
        state, now = begin(rules, draw.randrange(40), 0, 1), 1
        commit, ends, word, number = draw.randrange(30 * SECOND), 0, Word.FAILED, 0
        replicas.silent = set() if behind else wrong
        while True:
            if state.phase is Phase.RESTING:
                if now < commit <= state.due:
                    replicas.numbers = [0 if behind and n in wrong else 1 for n in range(3)]
                now = max(now, state.due)
                made = step(state, rules, Word.WAKE, now, draw.random())
                assert made.ask is not None
                state = made.state
                wait, word, number = replicas.answer(made.ask, self.WATCH, self.WATCH + self.GRACE)
                ends = now + wait
                if now < commit <= ends:
                    replicas.numbers = [0 if behind and n in wrong else 1 for n in range(3)]
                    if replicas.numbers[made.ask.replica] and made.ask.replica not in replicas.silent:
                        ends, word, number = commit + 1000, Word.NEWER, 1
                continue
            now = ends
            made = step(state, rules, word, now, draw.random(), number)
            state = made.state
            if made.apply:
                return now - commit

    def test_one_replica_silent_or_cut_off_delays_by_less_than_four_seconds(self) -> None:
        draw = random.Random(5)
        for behind in (False, True):
            worst = max(self.delay(draw, {n % 3}, behind) for n in range(1500))
            self.assertLess(worst, 4 * SECOND, behind)

    def test_two_silent_ones_delay_by_less_than_eight_seconds(self) -> None:
        draw = random.Random(6)
        worst = max(self.delay(draw, {n % 3, (n + 1) % 3}, False) for n in range(1500))
        self.assertLess(worst, 8 * SECOND)


class Datagrams(unittest.TestCase):
    def test_both_ways(self) -> None:
        digest = "0123456789abcdef" * 2
        for number in (0, 1, 0xFFFFFFFF):
            data = encode(number, digest)
            self.assertEqual(len(data), 13)
            self.assertEqual(decode(data), (number, digest[:16]))
        self.assertEqual(decode(encode(0, "")), (0, "0" * 16))
        for bad in (b"", data[:-1], data + b"\0", b"\0" + data[1:], b"\xd7" + data[1:]):
            self.assertIsNone(decode(bad))

    def test_older_programs_pass_them_over(self) -> None:
        """The module's own datagrams begin with 0 or 1, in a large tier with bit 7 set; the warm start's have
        a length of 2 modulo 3."""
        data = encode(5, "ff" * 16)
        self.assertFalse(warmth.is_warm_start_datagram(data))
        self.assertEqual(DATAGRAM.size % 3, 1)
        for nodes in (4, 40):
            told = Settings(classes=(RequestClass(1, 2),), schedulers=nodes, may_tell=True)
            recorder = Recorder()
            balancer = Balancer(told, 1, 0, recorder)
            balancer.members(0, "disk", [Entry(n) for n in range(5)])
            done = list(recorder.done)
            balancer.heard(5, 2, data)
            self.assertEqual((balancer.peers, balancer.words, recorder.done), ({}, {}, done))

    def test_neighbours_reach_everybody(self) -> None:
        self.assertEqual(neighbours(0, 1, 4), ())
        self.assertEqual(neighbours(1, 2, 4), (0,))
        self.assertEqual(neighbours(3, 4, 4), (0, 1, 2))
        self.assertEqual(neighbours(0, 9, 0), ())
        for nodes, most in ((5, 3), (40, 8), (200, 14), (1000, 28)):
            told, rounds = {0}, 0
            while len(told) < nodes:
                told |= {n for node in told for n in neighbours(node, nodes, 4)}
                rounds += 1
            self.assertLessEqual(rounds, most, nodes)
            for node in range(nodes):
                near = neighbours(node, nodes, 4)
                self.assertEqual(len(set(near)), min(4, nodes - 1))
                self.assertNotIn(node, near)
