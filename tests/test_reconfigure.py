"""Other settings while requests are in flight: in the decision module, then in the node's network part."""

from __future__ import annotations

import unittest
from dataclasses import fields, replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import CLASSES, MS, SECOND, Recorder, make, run_until
from tests.test_repeats import (
    DEADLINE,
    EVENTS,
    SPECS,
    CheckedNet,
    advance,
    apply_event,
    connect_and_write,
    job_of,
    make_settings,
)
from tests.wired import Client, Job, Net, Wire
from violetsaddle import Balancer, Entry, RequestClass, Settings, Tenant
from violetsaddle import interface as api
from violetsaddle.interface import CHANGEABLE, KEYED, UNSAFE, SettingsError
from violetsaddle.policy import LATE_START_SHARE

TENANTS = (Tenant(0.5), Tenant(0.3), Tenant(0.2))


QUIET = 26 * MS  # an older answer may come up to then: a DELETE would go on a connection of its own


class Buckets(unittest.TestCase):
    def setUp(self) -> None:
        self.balancer, self.recorder = make(tenants=TENANTS, schedulers=4, report=frozenset({"free_slots"}))
        self.balancer.fleet.rate = 400 / SECOND  # slots a microsecond
        self.balancer.reconfigure(0, self.balancer.settings)

    def rates(self) -> list[float]:
        return [round((bucket.rate or 0.0) * SECOND, 9) for bucket in self.balancer.buckets]

    def test_they_accrue_up_to_now_at_the_old_rate_and_then_at_the_new(self) -> None:
        balancer = self.balancer
        self.assertEqual(self.rates(), [50.0, 30.0, 20.0])
        for bucket in balancer.buckets:
            bucket.tokens, bucket.burst = 0.0, 1000.0
        balancer.reconfigure(
            SECOND, replace(balancer.settings, tenants=(Tenant(0.1), Tenant(0.1), Tenant(0.8)))
        )
        self.assertEqual([round(b.tokens, 9) for b in balancer.buckets], [50.0, 30.0, 20.0])
        self.assertEqual(self.rates(), [10.0, 10.0, 80.0])
        for bucket in balancer.buckets:
            bucket.fill(2 * SECOND)
        self.assertEqual([round(b.tokens, 9) for b in balancer.buckets], [60.0, 40.0, 100.0])
        balancer.reconfigure(
            2 * SECOND, replace(balancer.settings, tenants=(Tenant(0), Tenant(1), Tenant(1)))
        )
        self.assertEqual(self.rates(), [0.0, 50.0, 50.0])
        for bucket in balancer.buckets:
            bucket.fill(3 * SECOND)
        self.assertEqual([round(b.tokens, 9) for b in balancer.buckets], [60.0, 90.0, 150.0])

    def test_any_number_of_changes_accrues_what_each_span_had(self) -> None:
        balancer = self.balancer
        for bucket in balancer.buckets:
            bucket.tokens, bucket.burst = 0.0, 1e9
        due, now = [0.0, 0.0, 0.0], 0
        for n in range(60):
            span = 1 + n * n * 977 % 500_000
            due = [a + (b.rate or 0.0) * span for a, b in zip(due, balancer.buckets)]
            now += span
            shares = (Tenant(n % 5), Tenant(1 + n % 3), Tenant(n % 7))
            balancer.reconfigure(now, replace(balancer.settings, tenants=shares))
        for wanted, bucket in zip(due, balancer.buckets):
            self.assertAlmostEqual(bucket.tokens, wanted, places=6)

    def test_a_debt_and_a_burst_stay(self) -> None:
        balancer = self.balancer
        balancer.buckets[0].tokens, balancer.buckets[1].tokens = -3.0, 8.0
        balancer.reconfigure(0, replace(balancer.settings, tenants=(Tenant(1), Tenant(2), Tenant(1))))
        self.assertEqual([b.tokens for b in balancer.buckets[:2]], [-3.0, 8.0])
        balancer.buckets[1].fill(10 * SECOND)
        self.assertEqual(balancer.buckets[1].tokens, balancer.buckets[1].burst)

    def test_before_the_first_estimate_they_stay_free(self) -> None:
        balancer, _ = make(tenants=TENANTS)
        balancer.reconfigure(SECOND, replace(balancer.settings, tenants=(Tenant(1), Tenant(0), Tenant(0))))
        self.assertEqual([b.rate for b in balancer.buckets], [None] * 3)
        balancer.fleet.rate = 10 / SECOND
        balancer.reconfigure(SECOND, balancer.settings)
        self.assertEqual(balancer.buckets[0].rate, 10 / SECOND)
        self.assertEqual(balancer.buckets[1].rate, 0.0)

    def test_the_next_tick_goes_on_with_the_new_shares(self) -> None:
        balancer = self.balancer
        balancer.reconfigure(0, replace(balancer.settings, tenants=(Tenant(0), Tenant(0), Tenant(5))))
        now = run_until(balancer, self.recorder, 0, 3 * SECOND)
        self.assertEqual(now, 3 * SECOND)
        self.assertEqual(self.rates()[:2], [0.0, 0.0])
        self.assertAlmostEqual(self.rates()[2], 400 / balancer.live_schedulers)

    def test_a_tenant_is_admitted_by_its_new_share(self) -> None:
        balancer, recorder = self.balancer, self.recorder
        balancer.saturated_until = 100 * SECOND
        for bucket in balancer.buckets:
            bucket.tokens = 0.0
        balancer.reconfigure(0, replace(balancer.settings, tenants=(Tenant(0), Tenant(1), Tenant(0))))
        balancer.request(SECOND, "a", 0, SECOND, tenant=0)
        balancer.request(SECOND, "b", 0, SECOND, tenant=1)
        self.assertEqual(recorder.sent_to("a"), [])
        self.assertEqual(len(recorder.sent_to("b")), 1)


class Kept(unittest.TestCase):
    """Requests in flight keep the settings under which they were taken."""

    def cut(self, balancer: Balancer, now: int, job: str, number: int) -> None:
        """An attempt that never reached its worker: another may follow for any class."""
        balancer.answer(now, job, number, "connect_failed", 1, False, None)

    def attempts(self, balancer: Balancer, recorder: Recorder, job: str, now: int) -> int:
        """How many attempts a request gets of which each ends unreached."""
        for number in range(20):
            now = run_until(balancer, recorder, now, now + SECOND)
            if len(recorder.sent_to(job)) <= number:
                return number
            self.cut(balancer, now, job, number)
        return 20

    def test_tries_lowered_and_raised(self) -> None:
        for before, after in ((4, 1), (1, 4), (2, 3)):
            with self.subTest(before=before, after=after):
                balancer, recorder = make(workers=20, most_attempts=before)
                balancer.retry_budget = 100.0
                balancer.request(0, "old", 0, 60 * SECOND)
                balancer.reconfigure(1, replace(balancer.settings, most_attempts=after))
                balancer.request(2, "new", 0, 60 * SECOND)
                self.assertEqual(self.attempts(balancer, recorder, "old", 2), before)
                balancer.retry_budget = 100.0
                self.assertEqual(self.attempts(balancer, recorder, "new", 2), after)
                self.assertEqual(sorted(j for _, j, _ in recorder.named("refuse")), ["new", "old"])

    def test_aim_of_a_class(self) -> None:
        told = (replace(CLASSES[0], aim=400 * MS), *CLASSES[1:])
        balancer, recorder = make(tells_start=True, may_cancel=False)
        balancer.request(0, "old", 0, SECOND)
        balancer.reconfigure(0, replace(balancer.settings, classes=told))
        balancer.request(0, "new", 0, SECOND)
        self.assertEqual(balancer.requests["old"].start_limit, int(LATE_START_SHARE * 200 * MS))
        self.assertEqual(balancer.requests["new"].start_limit, int(LATE_START_SHARE * 400 * MS))
        run_until(balancer, recorder, 0, 100 * MS)
        self.assertTrue(balancer.requests["old"].attempts[0].late)
        self.assertFalse(balancer.requests["new"].attempts[0].late)
        run_until(balancer, recorder, 100 * MS, 200 * MS)
        self.assertTrue(balancer.requests["new"].attempts[0].late)

    def test_permission_to_cancel_taken_away_and_given(self) -> None:
        for before in (True, False):
            with self.subTest(before=before):
                balancer, recorder = make(may_cancel=before)
                balancer.request(0, "old", 0, SECOND)
                balancer.reconfigure(1, replace(balancer.settings, may_cancel=not before))
                balancer.request(2, "new", 0, SECOND)
                for job in ("old", "new"):
                    balancer.gone(3, job)
                self.assertEqual([d[1] for d in recorder.named("cancel")], ["old" if before else "new"])

    def test_a_silent_worker_is_left_only_where_the_request_may_cancel(self) -> None:
        for before in (True, False):
            with self.subTest(before=before):
                balancer, recorder = make(may_cancel=before, tells_start=True)
                balancer.request(0, "old", 0, 4 * SECOND)
                balancer.reconfigure(0, replace(balancer.settings, may_cancel=not before))
                run_until(balancer, recorder, 0, 2 * SECOND)
                self.assertEqual(bool(recorder.named("cancel")), before)

    def test_advice_of_a_refusal(self) -> None:
        balancer, recorder = make(workers=0, most_advice=2_000_000)
        balancer.request(0, "old", 0, 300 * MS)
        balancer.reconfigure(0, replace(balancer.settings, may_advise=False))
        balancer.request(0, "new", 0, 300 * MS)
        run_until(balancer, recorder, 0, SECOND)
        advice = {job: wait for _, job, wait in recorder.named("refuse")}
        self.assertGreater(advice["old"], 0)
        self.assertEqual(advice["new"], 0)

    def test_probes_switched_off_and_on(self) -> None:
        balancer, recorder = make(may_probe=True, report_by_probe=True, report=frozenset({"free_slots"}))
        balancer.request(0, "a", 0, SECOND)
        asked = len(recorder.named("probe"))
        self.assertGreater(asked, 0)
        balancer.reconfigure(1, replace(balancer.settings, may_probe=False))
        balancer.probed(2, recorder.named("probe")[0][1], True, {"free_slots": 3.0})  # was out
        self.assertEqual(balancer.report_count, 1)
        for n in range(20):
            balancer.request(3, f"b{n}", 0, SECOND)
        self.assertEqual(len(recorder.named("probe")), asked)
        balancer.reconfigure(4, replace(balancer.settings, may_probe=True))
        balancer.request(5, "c", 0, SECOND)
        self.assertGreater(len(recorder.named("probe")), asked)

    def test_what_must_not_run_twice_is_never_sent_again(self) -> None:
        """Whatever changes, and however often, while an attempt that may have run is out."""
        unsafe = 3
        self.assertEqual(CLASSES[unsafe].effect, UNSAFE)
        balancer, recorder = make(workers=20, most_attempts=1, may_cancel=False, tells_start=True)
        balancer.retry_budget = 100.0
        jobs = [f"j{n}" for n in range(30)]
        for n, job in enumerate(jobs):
            balancer.request(n, job, unsafe, 8 * SECOND)
            balancer.reconfigure(
                n,
                replace(balancer.settings, most_attempts=1 + n % 5, may_cancel=n % 2 > 0, second_copies=True),
            )
        run_until(balancer, recorder, 30, SECOND)
        for job in jobs:
            balancer.answer(SECOND, job, 0, "reset", SECOND, False, None)
            balancer.reconfigure(SECOND, replace(balancer.settings, most_attempts=9, may_cancel=True))
        run_until(balancer, recorder, SECOND, 9 * SECOND)
        for job in jobs:
            self.assertEqual(len(recorder.sent_to(job)), 1)
        self.assertEqual({d[1] for d in recorder.named("fail")}, set(jobs))

    def test_a_keyed_request_keeps_to_its_group_and_window(self) -> None:
        keyed = 1
        self.assertEqual((CLASSES[keyed].effect, CLASSES[keyed].group), (KEYED, "cell"))
        balancer, recorder = make(workers=12, cells=3, most_attempts=2)
        balancer.retry_budget = 100.0
        balancer.request(0, "a", keyed, 8 * SECOND)
        balancer.reconfigure(1, replace(balancer.settings, most_attempts=6))
        balancer.answer(2, "a", 0, "reset", 1, False, None)
        run_until(balancer, recorder, 2, SECOND)
        first, second = recorder.sent_to("a")
        self.assertEqual(first % 3, second % 3)
        balancer.answer(SECOND, "a", 1, "reset", 1, False, None)
        run_until(balancer, recorder, SECOND, 9 * SECOND)
        self.assertEqual(len(recorder.sent_to("a")), 2)
        self.assertEqual([d[1] for d in recorder.named("fail")], ["a"])


class Unfit(unittest.TestCase):
    def test_what_is_fixed_is_refused_and_nothing_changes(self) -> None:
        balancer, _ = make(tenants=TENANTS)
        told, shares = balancer.settings, list(balancer.shares)
        classes = told.classes
        other: dict[str, Any] = {
            "report": frozenset({"x"}),
            "zones": 2,
            "zone": 1,
            "schedulers": 2,
            "cold_from": 0.5,
        }
        for field in fields(Settings):
            if field.name in CHANGEABLE:
                continue
            value = getattr(told, field.name)
            changed = other.get(
                field.name, not value if isinstance(value, bool) else value + 1 if value == 1 else 7
            )
            base = replace(told, zones=2) if field.name == "zone" else told
            wanted = replace(base, **{field.name: changed})
            with self.subTest(field=field.name), self.assertRaisesRegex(SettingsError, "zone|" + field.name):
                balancer.reconfigure(1, wanted)
        changes: list[dict[str, Any]] = [{"deadline": 1}, {"effect": UNSAFE}, {"group": "cell"}]
        changes += [{"window": 9}, {"worker_kind": 0}, {"stream": True}]
        for bad in (
            classes[:-1],
            (*classes, classes[0]),
            classes[::-1],
            *((replace(classes[0], **change), *classes[1:]) for change in changes),
        ):
            with self.assertRaisesRegex(SettingsError, "classes"):
                balancer.reconfigure(1, replace(told, classes=bad, tenants=(Tenant(9), Tenant(1), Tenant(1))))
        with self.assertRaisesRegex(SettingsError, "tenants"):
            balancer.reconfigure(1, replace(told, tenants=TENANTS[:2]))
        self.assertIs(balancer.settings, told)
        self.assertEqual(balancer.shares, shares)

    def test_requests_taken_later_have_the_new_class(self) -> None:
        balancer = Balancer(Settings(classes=(RequestClass(100, 1000),)), 1, 0, Recorder())
        balancer.members(0, "disk", [Entry(1)])
        balancer.reconfigure(0, replace(balancer.settings, classes=(RequestClass(200, 1000, stretch=2.0),)))
        balancer.request(0, "a", 0, 1000)
        self.assertEqual((balancer.requests["a"].spec.aim, balancer.requests["a"].spec.stretch), (200, 2.0))


class Wired(unittest.TestCase):
    """The node's network part, between a network and a clock that the test holds."""

    def net(self, **changes: Any) -> Net:
        net = Net(
            make_settings(
                RequestClass(200 * MS, DEADLINE), RequestClass(200 * MS, DEADLINE, UNSAFE), **changes
            )
        )
        net.listed(api.DISK, **{f"s-{n}": (api.ACTIVE, 0, n) for n in range(1, 6)})
        return net

    def change(self, net: Net, **changes: Any) -> None:
        net.requests.reconfigure(replace(net.requests._settings, **changes))

    def started(self, net: Net, job: str, cls: int = 0) -> tuple[Client, Wire]:
        client = net.ask(job, cls, DEADLINE)
        wire = connect_and_write(net)
        self.assertEqual(job_of(wire), job)
        wire.answer("202")
        net.call(job, f"s-{wire.at[1]}", "started")
        advance(net, QUIET)
        return client, wire

    def deletes(self, net: Net) -> list[Wire]:
        return [wire for wire in net.live() if wire.message.startswith(b"DELETE")]

    def test_a_delete_that_is_out_goes_on_after_the_permission_is_gone(self) -> None:
        net = self.net()
        _, wire = self.started(net, "a")
        _, other = self.started(net, "b")
        for job in ("a", "b"):
            net.requests.leave(net.requests._by_job[job])
        wire.flush()
        other.flush()
        self.assertEqual(len(self.deletes(net)), 2)
        self.change(net, may_cancel=False)
        wire.lose()  # unread
        advance(net, 5 * MS)
        again = net.live()[-1]
        again.up()
        again.flush()
        self.assertTrue(again.message.startswith(b"DELETE /jobs/a "), again.message)
        self.assertEqual(net.counters.get("deletes_again"), 1)
        again.answer("204")
        other.answer("204")
        self.assertEqual((net.counters.get("deletes"), len(net.requests)), (2, 0))

    def test_an_attempt_is_given_up_as_was_allowed_when_its_request_was_taken(self) -> None:
        for before in (True, False):
            with self.subTest(before=before):
                net = self.net(may_cancel=before)
                _, old = self.started(net, "old")
                self.change(net, may_cancel=not before)
                _, new = self.started(net, "new")
                for job, wire in (("old", old), ("new", new)):
                    net.requests.leave(net.requests._by_job[job])
                    wire.flush()
                self.assertEqual(
                    [w.message.split(b" ")[1] for w in self.deletes(net)],
                    [b"/jobs/old" if before else b"/jobs/new"],
                )
                self.assertEqual(net.counters.get("deletes"), 1)

    def test_a_later_attempt_of_an_old_request_goes_by_its_requests_permission(self) -> None:
        net = self.net(may_cancel=True)
        client, wire = self.started(net, "a")
        self.change(net, may_cancel=False)
        net.call("a", f"s-{wire.at[1]}", "lost")
        second = connect_and_write(net)
        self.assertEqual(job_of(second), "a")
        second.answer("202")
        advance(net, QUIET)
        net.requests.leave(net.requests._by_job["a"])
        second.flush()
        self.assertTrue(second.message.startswith(b"DELETE /jobs/a "))
        self.assertEqual(client.answers, [])

    def test_time_that_runs_out_under_other_settings(self) -> None:
        net = self.net(may_cancel=True)
        client, wire = self.started(net, "a", 1)
        self.change(net, may_cancel=False, most_attempts=1)
        advance(net, DEADLINE + 50 * MS)
        self.assertEqual(client.answers, ["failed"])
        wire.flush()
        self.assertTrue(wire.message.startswith(b"DELETE /jobs/a "))

    def test_tries_lowered_and_raised_with_requests_in_flight(self) -> None:
        for before, after in ((4, 1), (1, 4)):
            with self.subTest(before=before, after=after):
                net = self.net(most_attempts=before)
                net.requests.with_balancer(lambda balancer, _: setattr(balancer, "retry_budget", 20.0))
                old = net.ask("old", 0, DEADLINE)
                self.change(net, most_attempts=after)
                new = net.ask("new", 0, DEADLINE)
                for _ in range(400):
                    for wire in net.live():
                        wire.fail()
                    advance(net, 5 * MS)
                self.assertEqual([old.answers, new.answers], [["turned down"]] * 2)
                self.assertEqual(net.counters.get("attempts"), before + after)
                self.assertEqual(net.faults, [])

    def test_the_network_part_itself_keeps_to_the_requests_tries(self) -> None:
        """Whatever the module asks for."""
        net = self.net(most_attempts=2)
        net.ask("a", 0, DEADLINE)
        self.change(net, most_attempts=9)
        for worker in (2, 3, 4):
            net.requests.send("a", worker, 0)
        self.assertEqual((net.counters.get("attempts"), net.counters.get("outcome_moot")), (2, 2))

    def test_probes_switched_off_while_some_are_out(self) -> None:
        net = self.net(may_probe=True, report_by_probe=True, report=frozenset({"free_slots"}))
        net.ask("a", 0, DEADLINE)
        out = net.counters.get("probes")
        self.assertGreater(out, 0)
        self.change(net, may_probe=False)
        for n in range(10):
            net.ask(f"b{n}", 0, DEADLINE)
        for wire in net.live():
            wire.up()
            wire.flush()
        for wire in net.live():
            if wire.message.startswith(b"GET"):
                wire.answer("204")
        advance(net, SECOND)
        self.assertEqual(net.counters.get("probes"), out)
        self.assertEqual(net.counters.get("probes_failed") + net.counters.get("probes_ok"), out)
        self.assertEqual(net.faults, [])

    def test_what_is_fixed_is_refused_before_anything_has_changed(self) -> None:
        net = self.net()
        before = net.requests._settings
        with self.assertRaises(SettingsError):
            self.change(net, most_attempts=1, connect_timeout=9)
        self.assertIs(net.requests._settings, before)
        net.requests.with_balancer(lambda balancer, _: self.assertIs(balancer.settings, before))

    def test_a_change_from_within_an_event_comes_after_those_before_it(self) -> None:
        net = self.net(most_attempts=4)
        seen: list[int] = []

        def leaves() -> bool:
            if not seen:
                seen.append(1)
                self.change(net, most_attempts=1)
                net.ask("b", 0, DEADLINE)
            return False

        client = Client()
        client.is_gone = leaves  # type: ignore[method-assign]
        net.requests.arrive("a", "0", None, DEADLINE, True, 1.0, None, 0, Job("a"), client)
        tries = net.requests.with_balancer(
            lambda balancer, _: {job: r.settings.most_attempts for job, r in balancer.requests.items()}
        )
        self.assertEqual(tries, {"a": 4, "b": 1})
        self.assertEqual([net.requests._table.get(n).most_attempts for n in (0, 1)], [4, 1])  # type: ignore[union-attr]


CHANGES = st.fixed_dictionaries(
    {"may_cancel": st.booleans(), "most_attempts": st.integers(1, 6), "may_advise": st.booleans()}
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(SPECS, st.booleans(), EVENTS, st.lists(st.tuples(st.integers(0, 40), CHANGES), min_size=1, max_size=6))
def test_every_order_of_events_keeps_the_rules_while_settings_change(
    spec: RequestClass, cancel: bool, events: list[tuple[str, int]], changes: list[tuple[int, dict[str, Any]]]
) -> None:
    net = CheckedNet(spec, cancel)
    net.zones = {f"s-{n}": n % 2 for n in range(1, 6)}
    net.listed(api.DISK, **{name: (api.ACTIVE, zone, int(name[2:])) for name, zone in net.zones.items()})
    asked: dict[str, Any] = {}
    for n in range(2):
        client = net.ask(f"j{n}", 0, DEADLINE)
        asked[f"j{n}"] = client, net.requests._by_job.get(f"j{n}", -1)
    for at, (what, which) in enumerate(events):
        for place, change in changes:
            if place == at:
                net.requests.reconfigure(replace(net.requests._settings, **change))
        apply_event(net, what, which, asked)
        for job, (client, _) in asked.items():
            if client.answers == ["turned down"]:
                assert net.may_refuse(job), f"{job} may have run and was refused"
                client.answers.append("checked")
            assert len(net.sent.get(job, [])) <= 4, "more tries than when it was taken"
    advance(net, DEADLINE + SECOND)
    for client, number in asked.values():
        assert (number < 0 or client.answers) and len([a for a in client.answers if a != "checked"]) < 2
    assert not net.faults
