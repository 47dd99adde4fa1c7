"""Unit tests of the decisions of `violetsaddle.policy`."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.helpers import MS, SECOND, make, run_until
from violetsaddle import Entry, RequestClass, Settings, Tenant
from violetsaddle.interface import EventError, SettingsError
from violetsaddle.policy import FleetRate, TokenBucket


def test_bucket_accrues_up_to_its_burst_and_computes_the_wait() -> None:
    bucket = TokenBucket(0, 8.0, 8.0)
    assert bucket.take(0, 100.0), "a bucket without an estimated rate takes everything"
    bucket.rate = 2 / SECOND
    assert bucket.take(0, 8.0)
    assert not bucket.take(0, 1.0)
    assert bucket.wait(1.0) == pytest.approx(SECOND / 2, rel=0.01)
    assert bucket.take(SECOND, 2.0)
    bucket.fill(100 * SECOND)
    assert bucket.tokens == 8.0


def test_rate_from_reports_is_free_slots_over_run_time() -> None:
    fleet = FleetRate(Settings(classes=(RequestClass(1, 1),), kinds=2, report=frozenset({"free_slots"})))
    fleet.most_free = {0: 4.0, 1: 8.0}
    fleet.add_run(1.0, 500 * MS)
    fleet.add_run(2.0, 500 * MS)
    rate = fleet.estimate({0: 10, 1: 5}, False, 0.0)
    assert rate is not None and rate * SECOND == pytest.approx(fleet.correction * (10 * 4 + 5 * 8) / 0.5)
    for _ in range(40):
        fleet.estimate({0: 10, 1: 5}, True, 0.0)
    slow = fleet.estimate({0: 10, 1: 5}, True, 0.0)
    assert slow is not None and slow < 0.5 * rate, "a backlog must drain"


def test_rate_without_reports_starts_at_the_first_full_and_moves_in_both_directions() -> None:
    fleet = FleetRate(Settings(classes=(RequestClass(1, 1),)))
    assert fleet.estimate({0: 3}, False, 7.0) is None
    assert fleet.estimate({0: 3}, True, 7.0) == 7.0
    assert (fleet.estimate({0: 3}, False, 7.0) or 0) > 7.0
    assert (fleet.estimate({0: 3}, True, 7.0) or 0) < 7.35


def test_worker_with_fewer_own_jobs_in_flight_is_chosen() -> None:
    balancer, recorder = make(workers=2, cells=1)
    balancer.request(0, "a", 0, SECOND)
    balancer.request(0, "b", 0, SECOND)
    assert sorted(recorder.sent_to("a") + recorder.sent_to("b")) == [1, 2]


def test_draws_follow_the_weights() -> None:
    balancer, recorder = make(workers=0)
    balancer.members(0, "snapshot", [Entry(1, weight=1.0), Entry(2, weight=3.0)])
    for n in range(200):
        balancer.request(n, f"j{n}", 0, SECOND)
        balancer.answer(n, f"j{n}", 0, "ok", 1, True, None)
    sent = Counter(d[2] for d in recorder.named("send"))
    assert sent[2] > 2 * sent[1] > 0


def test_request_over_budget_is_pushed_until_the_fleet_is_full_then_refused_with_retry_after() -> None:
    balancer, recorder = make(workers=4, tenants=(Tenant(1.0), Tenant(1.0)))
    for bucket in balancer.buckets:
        bucket.rate = 1 / SECOND
    for n in range(20):
        balancer.request(1, f"j{n}", 0, SECOND, tenant=0)
    assert not recorder.named("refuse")
    balancer.saturated_until = SECOND
    balancer.request(2, "late", 0, SECOND, tenant=0)
    refused = recorder.named("refuse")
    assert [r[1] for r in refused] == ["late"] and refused[0][2] > 0
    balancer.request(2, "other tenant", 0, SECOND, tenant=1)
    assert recorder.sent_to("other tenant")


def test_one_full_answer_is_not_a_full_fleet() -> None:
    balancer, recorder = make()
    balancer.request(0, "a", 0, SECOND)
    balancer.answer(5, "a", 0, "full", 5, False, None)
    assert len(set(recorder.sent_to("a"))) == 2, "retried on another worker at once"
    assert balancer.saturated_until == 0
    for n in range(10):
        balancer.request(10, f"b{n}", 0, SECOND)
        balancer.answer(11, f"b{n}", 0, "full", 5, False, None)
    assert balancer.saturated_until > 11


@pytest.mark.parametrize("outcome", ["error", "timeout", "reset"])
def test_unsafe_request_that_may_have_run_fails(outcome: str) -> None:
    balancer, recorder = make()
    balancer.request(0, "a", 3, SECOND)
    balancer.answer(5, "a", 0, outcome, 5, False, None)
    assert recorder.named("fail") == [("fail", "a")]
    assert len(recorder.sent_to("a")) == 1 and not recorder.named("refuse")


def test_unsafe_request_that_never_ran_is_sent_again() -> None:
    balancer, recorder = make()
    balancer.request(0, "a", 3, SECOND)
    balancer.answer(5, "a", 0, "connect_failed", 5, False, None)
    assert len(recorder.sent_to("a")) == 2


def test_keyed_request_is_repeated_only_in_its_cell_and_window() -> None:
    for seed in range(20):
        balancer, recorder = make(seed=seed, workers=9, cells=3)
        balancer.request(0, "a", 1, 9 * SECOND)
        balancer.answer(5, "a", 0, "reset", 5, False, None)
        first, second = recorder.sent_to("a")
        assert first % 3 == second % 3 and first != second
        balancer.answer(6 * SECOND, "a", 1, "reset", 5, False, None)
        assert len(recorder.sent_to("a")) == 2, "the cell no longer knows the request id"
        assert recorder.named("fail")


def test_keyed_request_is_not_repeated_after_its_worker_changed_cell() -> None:
    balancer, recorder = make(workers=6, cells=1)
    balancer.request(0, "a", 1, 9 * SECOND)
    worker = recorder.sent_to("a")[0]
    balancer.members(1, "diff", [Entry(worker, cell=7)])
    balancer.answer(5, "a", 0, "reset", 5, False, None)
    run_until(balancer, recorder, 5, 9 * SECOND)
    assert recorder.named("fail") and len(recorder.sent_to("a")) == 1


def test_request_keyed_by_all_may_be_refused_after_it_may_have_run() -> None:
    balancer, recorder = make(workers=1, most_attempts=1)
    balancer.request(0, "a", 2, SECOND)
    balancer.answer(5, "a", 0, "reset", 5, False, None)
    assert recorder.named("refuse", "fail")[0][0] == "refuse"


def test_draining_and_gone_workers_get_nothing() -> None:
    balancer, recorder = make(workers=3)
    balancer.members(1, "diff", [Entry(1, state="draining"), Entry(2, state="gone")])
    for n in range(20):
        balancer.request(2, f"j{n}", 0, SECOND)
    assert {d[2] for d in recorder.named("send")} == {3}


def test_request_without_workers_is_held_then_refused_in_time_or_sent() -> None:
    balancer, recorder = make(workers=0)
    balancer.request(0, "a", 3, SECOND)
    run_until(balancer, recorder, 0, SECOND)
    assert recorder.named("refuse") and not recorder.named("send")
    balancer.request(SECOND, "b", 3, SECOND)
    balancer.members(SECOND + 1, "diff", [Entry(9)])
    run_until(balancer, recorder, SECOND, SECOND + 300 * MS)
    assert recorder.sent_to("b") == [9]


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    balancer, recorder = make()
    balancer.request(0, "a", 0, SECOND)
    balancer.answer(SECOND, "a", 0, "timeout", SECOND, False, None)
    assert len(recorder.named("refuse", "fail")) == 1
    assert not balancer.requests


def test_late_and_unknown_answers_are_ignored() -> None:
    balancer, recorder = make()
    balancer.request(0, "a", 0, SECOND)
    balancer.gone(1, "a")
    assert recorder.named("cancel") == [("cancel", "a", 0)]
    balancer.answer(2, "a", 0, "cancelled", 2, True, None)
    balancer.answer(3, "never", 0, "ok", 2, True, None)
    balancer.gone(4, "never")
    assert not balancer.requests and len(recorder.sent_to("a")) == 1


def test_only_one_attempt_is_in_flight() -> None:
    for changes, cls in (({"second_copies": False, "may_cancel": False}, 0), ({}, 0), ({}, 3)):
        balancer, recorder = make(tells_start=True, **changes)
        balancer.request(0, "a", cls, 3 * SECOND)
        run_until(balancer, recorder, 0, SECOND)
        assert len(recorder.sent_to("a")) == 1


def test_ejection_is_capped_and_ends() -> None:
    balancer, recorder = make(workers=10)
    for n in range(40):
        balancer.request(n, f"j{n}", 3, SECOND)
        balancer.answer(n, f"j{n}", 0, "reset", 1, False, None)
    assert len(balancer.ready_workers.items) >= 7
    run_until(balancer, recorder, 40, 20 * SECOND)
    assert len(balancer.ready_workers.items) == 10 and balancer.ejected == 0


def test_zone_that_is_cut_off_is_avoided() -> None:
    balancer, recorder = make(workers=0, zones=2)
    balancer.members(0, "snapshot", [Entry(n, zone=n % 2) for n in range(40)])
    for n in range(60):
        balancer.request(n, f"j{n}", 0, SECOND)
        worker = recorder.sent_to(f"j{n}")[0]
        if worker % 2:
            balancer.answer(n, f"j{n}", 0, "connect_failed", 1, False, None)
    late = [d[2] % 2 for d in recorder.named("send")[-30:]]
    assert sum(late) <= 6


def test_cold_worker_gets_less_than_its_share() -> None:
    balancer, recorder = make(workers=0, cold_from=0.2, cold_for=20 * SECOND)
    balancer.members(
        100 * SECOND, "snapshot", [Entry(1, started=100 * SECOND)] + [Entry(n) for n in range(2, 11)]
    )
    balancer.own_rate = 100 / SECOND
    for n in range(1000):
        now = 100 * SECOND + n * 10 * MS
        balancer.request(now, f"j{n}", 0, SECOND)
        balancer.answer(now, f"j{n}", 0, "ok", 1, True, None)
    sent = Counter(d[2] for d in recorder.named("send"))
    assert 0 < sent[1] < 0.6 * sent[2]


def test_a_heavy_job_does_not_go_to_a_cold_worker() -> None:
    # When the budget counted jobs, not their work, one job of six seconds overloaded a cold worker.
    balancer, recorder = make(workers=0, cold_from=0.2, cold_for=20 * SECOND)
    balancer.members(
        100 * SECOND, "snapshot", [Entry(1, started=100 * SECOND)] + [Entry(n) for n in range(2, 11)]
    )
    balancer.own_rate = 100 / SECOND
    for n in range(250):
        now = 100 * SECOND + n * 10 * MS
        balancer.request(now, f"j{n}", 0, SECOND, hint=(2 * SECOND if n % 10 == 5 else 20 * MS))
        balancer.answer(now, f"j{n}", 0, "ok", 1, True, None)
    cold = [d[1] for d in recorder.named("send") if d[2] == 1]
    assert cold and not any(job.endswith("5") for job in cold)


def test_restart_under_the_same_id_is_cold_again() -> None:
    balancer, _ = make(workers=2, cold_from=0.2, cold_for=20 * SECOND)
    balancer.members(50 * SECOND, "diff", [Entry(1, cell=1, started=50 * SECOND)])
    assert balancer.workers[1].cold_until == 70 * SECOND


def test_discovery_calls_back_off_with_jitter_and_first_calls_are_spread() -> None:
    waits, starts = set(), set()
    for seed in range(8):
        balancer, recorder = make(seed=seed, must_ask=True)
        assert not recorder.named("watch"), "schedulers that restart together must not overload discovery"
        starts.add(min(t[0] for t in balancer.timers if t[2] == balancer._watch))
        run_until(balancer, recorder, 0, 3 * SECOND)
        assert recorder.named("watch") == [("watch",)]
        balancer.members(3 * SECOND, "error", [])
        run_until(balancer, recorder, 3 * SECOND, 5 * SECOND)
        assert len(recorder.named("watch")) == 2
        waits.add(recorder.armed())
    assert len(waits) > 4 and max(starts) - min(starts) > SECOND // 2


def test_invalid_events_and_settings_raise_errors_that_name_them() -> None:
    balancer, _ = make()
    balancer.request(0, "a", 0, SECOND)
    with pytest.raises(EventError, match="known"):
        balancer.request(0, "a", 0, SECOND)
    with pytest.raises(EventError, match="class 9"):
        balancer.request(0, "b", 9, SECOND)
    with pytest.raises(EventError, match="not in flight"):
        balancer.answer(1, "a", 3, "ok", 1, True, None)
    with pytest.raises(SettingsError, match="schedulers"):
        Settings(classes=(RequestClass(1, 1),), schedulers=0)


def test_without_gossip_own_jobs_in_flight_fill_a_worker() -> None:
    # Without gossip, reports up to 2 s old were the only data: full workers looked free and queues formed.
    balancer, _ = make(workers=4, report=frozenset({"free_slots"}), report_by_probe=True)
    balancer.probed(0, 1, True, {"free_slots": 2.0})
    balancer.workers[2].inflight = 2
    assert balancer._load(3 * SECOND, balancer.workers[2], 1.0) > 0.0
    assert balancer._load(3 * SECOND, balancer.workers[1], 1.0) == 0.0


def test_refused_traffic_does_not_raise_the_budget_of_a_cold_worker() -> None:
    # The budget was taken from this scheduler's traffic, even when most of that was refused: 10 s of work
    # were sent to a worker that had just started.
    balancer, _ = make(workers=2, cold_from=0.2, cold_for=20 * SECOND)
    balancer.members(100 * SECOND, "snapshot", [Entry(1, started=100 * SECOND), Entry(2)])
    cold, balancer.own_rate = balancer.workers[1], 40 / SECOND
    balancer._cold_share(100 * SECOND, cold, 10.0)
    # Half of 3 x 0.2 x 20 slots a second, accrued over 2 s.
    assert cold.cold_budget.burst == pytest.approx(12.0)
    balancer.fleet.rate = 4 / SECOND
    cold.cold_budget.tokens = 1.0
    assert balancer._cold_share(100 * SECOND, cold, 10.0) == 0.0
    assert cold.cold_budget.burst == pytest.approx(1.2)
