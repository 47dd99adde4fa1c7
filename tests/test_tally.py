"""Late starts by cause, and what is counted of cold real servers."""

from __future__ import annotations

import pytest

from tests.helpers import CLASSES, MS, SECOND, make
from violetsaddle import Entry
from violetsaddle.net.counters import Counters
from violetsaddle.net.requests import Attempt
from violetsaddle.net.tally import LateStartCounter

AIM = CLASSES[0].aim


def attempt(server: int = 1, sent: int = SECOND) -> Attempt:
    return Attempt(0, "a", 0, server, sent, "safe", True)


@pytest.mark.parametrize("cause", ["stale", "crowded", "blind", "cold", "abroad"])
def test_a_late_start_is_counted_once_by_what_could_be_seen(cause: str) -> None:
    balancer, _ = make(zones=2, zone=1, schedulers=3, may_tell=True, cold_from=0.2, cold_for=9 * SECOND)
    balancer.members(
        0, "snapshot", [Entry(1, zone=int(cause != "abroad"), started=SECOND // 2 if cause == "cold" else 0)]
    )
    balancer.peers[1] = 0
    balancer.busy_share, balancer.fleet.most_free[0] = (0.9 if cause == "crowded" else 0.1), 1.0
    balancer.workers[1].tracked = cause != "blind"
    counters = Counters("n")
    late_starts, one = LateStartCounter(balancer, counters), attempt()
    late_starts.sent(one)
    late_starts.finished(one, AIM, SECOND + AIM)
    late_starts.finished(one, AIM, SECOND + 2 * AIM)
    assert counters.get("late_" + cause) == 1
    assert sum(counters.get("late_" + c) for c in ("stale", "crowded", "blind", "cold", "abroad")) == 1
    assert counters.get("sent_cold") == (cause == "cold")


def test_a_start_in_time_is_not_counted_nor_its_late_end_but_one_that_left_the_list_is() -> None:
    balancer, _ = make()
    counters = Counters("n")
    late_starts, one = LateStartCounter(balancer, counters), attempt()
    late_starts.sent(one)
    late_starts.finished(one, AIM, SECOND + 10 * MS)
    late_starts.finished(one, AIM, 5 * SECOND)
    assert counters.get("late_stale") == 0
    left = attempt(server=99)
    late_starts.sent(left)
    late_starts.finished(left, AIM, 3 * SECOND)
    assert counters.get("late_stale") == 1, "it has left the list meanwhile"


def test_what_a_cold_real_server_gets_beyond_its_budget_is_counted() -> None:
    balancer, _ = make(cold_from=0.2, cold_for=9 * SECOND)
    balancer.members(0, "snapshot", [Entry(1, started=SECOND // 2)])
    counters = Counters("n")
    late_starts = LateStartCounter(balancer, counters)
    balancer.workers[1].cold.tokens = 0.5
    late_starts.sent(attempt())
    balancer.workers[1].cold.tokens = -0.5
    late_starts.sent(attempt())
    assert (counters.get("sent_cold"), counters.get("sent_cold_over")) == (2, 1)
