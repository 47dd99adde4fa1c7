"""Counts of late starts by cause, and of attempts at cold real servers."""

from __future__ import annotations

import pytest

from tests.helpers import CLASSES, MS, SECOND, make
from violetsaddle import Entry
from violetsaddle.net.counters import Counters
from violetsaddle.net.requests import Attempt
from violetsaddle.net.tally import LateStartCounter

AIM = CLASSES[0].aim


def make_attempt(server: int = 1, sent: int = SECOND) -> Attempt:
    return Attempt(0, "a", 0, server, sent, "safe", True)


@pytest.mark.parametrize("cause", ["stale", "crowded", "blind", "cold", "abroad"])
def test_a_late_start_is_counted_once_by_its_visible_cause(cause: str) -> None:
    balancer, _ = make(zones=2, zone=1, schedulers=3, may_tell=True, cold_from=0.2, cold_for=9 * SECOND)
    balancer.members(
        0, "snapshot", [Entry(1, zone=int(cause != "abroad"), started=SECOND // 2 if cause == "cold" else 0)]
    )
    balancer.peers[1] = 0
    balancer.busy_share, balancer.fleet.most_free[0] = (0.9 if cause == "crowded" else 0.1), 1.0
    balancer.workers[1].tracked = cause != "blind"
    counters = Counters("n")
    late_starts, sent_attempt = LateStartCounter(balancer, counters), make_attempt()
    late_starts.sent(sent_attempt)
    late_starts.finished(sent_attempt, AIM, SECOND + AIM)
    late_starts.finished(sent_attempt, AIM, SECOND + 2 * AIM)
    assert counters.get("late_" + cause) == 1
    assert sum(counters.get("late_" + name) for name in ("stale", "crowded", "blind", "cold", "abroad")) == 1
    assert counters.get("sent_cold") == (cause == "cold")


def test_a_late_start_is_counted_after_the_server_left_the_list_but_a_late_end_is_not() -> None:
    balancer, _ = make()
    counters = Counters("n")
    late_starts, sent_attempt = LateStartCounter(balancer, counters), make_attempt()
    late_starts.sent(sent_attempt)
    late_starts.finished(sent_attempt, AIM, SECOND + 10 * MS)
    late_starts.finished(sent_attempt, AIM, 5 * SECOND)
    assert counters.get("late_stale") == 0
    delisted_attempt = make_attempt(server=99)
    late_starts.sent(delisted_attempt)
    late_starts.finished(delisted_attempt, AIM, 3 * SECOND)
    assert counters.get("late_stale") == 1, "a late start at a real server that is not in the list is counted"


def test_attempts_beyond_the_budget_of_a_cold_real_server_are_counted() -> None:
    balancer, _ = make(cold_from=0.2, cold_for=9 * SECOND)
    balancer.members(0, "snapshot", [Entry(1, started=SECOND // 2)])
    counters = Counters("n")
    late_starts = LateStartCounter(balancer, counters)
    balancer.workers[1].cold_budget.tokens = 0.5
    late_starts.sent(make_attempt())
    balancer.workers[1].cold_budget.tokens = -0.5
    late_starts.sent(make_attempt())
    assert (counters.get("sent_cold"), counters.get("sent_cold_over")) == (2, 1)
