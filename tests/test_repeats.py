"""Requests must not run twice: single cases, and a property test over generated orders of events.

The oracle does not use the program's state.  It sees the bytes that leave and what is sent to the program."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MS, SECOND
from tests.wired import Net, Wire
from violetsaddle import interface as api
from violetsaddle.interface import KEYED, SAFE, UNSAFE, RequestClass, Settings

DEADLINE = 4 * SECOND


def make_settings(*classes: RequestClass, **changes: Any) -> Settings:
    return Settings(
        classes=classes,
        zones=2,
        progress_every=SECOND,
        **{
            "may_cancel": True,
            "most_attempts": 4,
            "connect_timeout": 250 * MS,
            "tells_start": True,
            **changes,
        },
    )


def keyed(window: int, group: str = "zone") -> RequestClass:
    return RequestClass(200 * MS, DEADLINE, KEYED, group, window)


def job_of(wire: Wire) -> str:
    return wire.message.split(b" ")[2].decode() if wire.message.startswith(b"POST") else ""


def connect_and_write(net: Net) -> Wire:
    wire = net.live()[-1]
    wire.up()
    wire.flush()
    return wire


def three_servers(spec: RequestClass, **changes: Any) -> Net:
    net = Net(make_settings(spec, **changes))
    net.listed(api.DISK, **{f"s-{n}": (api.ACTIVE, 0, n) for n in (1, 2, 3)})
    return net


def confirm_delete(net: Net) -> None:
    """Answers the DELETE that was sent last; it is sent once its connection has been quiet."""
    advance(net, 26 * MS)
    wire = net.live()[-1]
    if wire.protocol is None:
        wire.up()
    wire.flush()
    assert wire.message.startswith(b"DELETE")
    wire.answer("204")


def list_as(net: Net, servers: list[int], state: str = api.ACTIVE) -> None:
    """Discovery lists these servers with the given state."""
    net.listed(api.DIFF, **{f"s-{n}": (state, 0, n) for n in servers})


def accepted_by_the_only_active_server(spec: RequestClass) -> tuple[Net, Wire, list[int]]:
    """Request a is accepted, the other servers drain; returns its connection and the others' numbers."""
    net = three_servers(spec)
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    wire.answer("202")
    others = [n for n in (1, 2, 3) if n != wire.at[1]]
    list_as(net, others, api.DRAINING)
    return net, wire, others


def advance(net: Net, time: int) -> None:
    """Advances the clock by `time` microseconds, in steps of a millisecond as a reactor would."""
    for _ in range(time // MS):
        net.clock.advance(0.001)


def test_a_repeat_that_waits_for_a_real_server_does_not_outlast_its_window() -> None:
    # The second attempt finds no connection.  The third is held because no other worker of the group is
    # ready, and used to leave after the window of 1.5 s: 1.6 s after the first send.
    net = three_servers(keyed(1500 * MS))
    client = net.ask("a", 0, DEADLINE)
    connect_and_write(net).lose()
    confirm_delete(net)
    net.listed(api.DIFF, **{f"s-{n}": (api.DRAINING, 0, n) for n in (1, 2, 3)})
    advance(net, 200 * MS)
    net.live()[-1].fail()
    advance(net, 1300 * MS)
    net.listed(api.DIFF, **{f"s-{n}": (api.ACTIVE, 0, n) for n in (1, 2, 3)})
    advance(net, 500 * MS)
    assert len(net.wires) == 3 and client.answers == ["failed"]


def test_a_repeat_whose_connection_comes_up_too_late_never_leaves() -> None:
    net = three_servers(keyed(600 * MS), connect_timeout=400 * MS, tells_start=False)
    client = net.ask("a", 0, DEADLINE)
    first = connect_and_write(net)
    advance(net, 50 * MS)
    first.lose()
    confirm_delete(net)
    second = net.live()[-1]
    advance(net, 350 * MS)
    second.up()
    second.flush(20)
    advance(net, 150 * MS)
    assert second.over and second.message.endswith(b"...") and client.answers == ["failed"]


@pytest.mark.parametrize("last", ["returned", "turned away"])
def test_a_return_after_a_reported_start_proves_nothing(last: str) -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    name = f"s-{wire.at[1]}"
    if last == "returned":
        wire.answer("202")
    net.call("a", name, "started")
    net.call("a", name, "returned") if last == "returned" else wire.answer(last)
    assert not client.answers, "it must be given up first"
    confirm_delete(net)
    assert client.answers == ["failed"] and net.counters.get("attempts") == 1


def test_callbacks_and_answers_are_ignored_before_the_last_byte_has_left() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    wire = net.live()[-1]
    for state in ("started", "returned", "done", "lost"):
        net.call("a", f"s-{wire.at[1]}", state)
    wire.up()
    wire.flush(10)
    assert not client.answers and len(net.wires) == 1 and net.counters.get("callbacks_unmatched") == 4
    wire.answer("turned away")
    advance(net, 1 * MS)
    assert wire.over and wire.message.endswith(b"..."), "the rest must not follow, or the job could run"
    assert len(net.live()) == 1, "it never ran: another server may get it"


@pytest.mark.parametrize("second", ["turned away", "500"])
def test_a_late_second_answer_does_not_count_for_the_next_request(second: str) -> None:
    net, wire, others = accepted_by_the_only_active_server(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    list_as(net, others)
    wire.answer(second)  # to a, some milliseconds late
    advance(net, 5 * MS)
    assert net.counters.get("odd_words") == 1, "b may run: it must be given up first"
    assert net.counters.get("attempts") == 2
    confirm_delete(net)
    assert net.counters.get("attempts") == 3


def test_an_unread_answer_does_not_count_for_the_next_request() -> None:
    # After a stall the node writes before it reads what has arrived.
    net = Net(make_settings(RequestClass(200 * MS, DEADLINE, KEYED, "all", DEADLINE)))
    net.listed(api.DISK, **{"s-1": (api.ACTIVE, 0, 1)})
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    wire.answer("202")
    advance(net, 30 * MS)
    wire.unread = b"HTTP/1.1 503 No"
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "a"
    assert job_of(connect_and_write(net)) == "b"


@pytest.mark.parametrize("own", ["turned away", "500"])
def test_an_answer_that_is_one_request_late_does_not_count_for_a_keyed_request(own: str) -> None:
    # A second 202 to a is taken for the answer to b; the answer to b must not be taken for that to c.
    net = Net(
        make_settings(
            RequestClass(200 * MS, DEADLINE, SAFE), RequestClass(200 * MS, DEADLINE, KEYED, "all", DEADLINE)
        )
    )
    net.listed(api.DISK, **{"s-1": (api.ACTIVE, 0, 1)})
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    wire.answer("202")
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    wire.answer("202")  # to a, for the second time
    advance(net, 30 * MS)
    client = net.ask("c", 1, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b", "the answer to b may still arrive on this connection"
    connect_and_write(net)
    net.listed(api.DIFF, **{"s-2": (api.ACTIVE, 0, 2)})
    wire.answer(own)  # to b
    advance(net, 5 * MS)
    assert wire.over and net.counters.get("attempts") == 3 and not client.answers


def test_a_late_second_answer_does_not_confirm_a_delete() -> None:
    # It used to count as the answer to the DELETE: the next attempt left although the job was not given up.
    net, wire, others = accepted_by_the_only_active_server(RequestClass(200 * MS, DEADLINE, SAFE))
    advance(net, 74 * MS)
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    wire.answer("202")
    list_as(net, others)
    advance(net, 8 * MS)  # a has not started in time and is given up
    assert net.counters.get("deletes") == 1
    wire.flush()
    wire.answer("202")  # to b, for the second time: no request is open, so the node closes the connection
    advance(net, 26 * MS)
    for other in net.live():
        if other.protocol is None:
            other.up()
        other.flush()
    assert [job_of(w) for w in net.wires].count("a") == 0, (
        "a second attempt left before the DELETE was answered"
    )
    deleting = next(w for w in net.live() if w.message.startswith(b"DELETE"))
    deleting.answer("204")
    connect_and_write(net)
    assert [job_of(w) for w in net.wires].count("a") == 1


def test_a_late_second_confirmation_confirms_no_other_delete() -> None:
    net, wire, others = accepted_by_the_only_active_server(RequestClass(200 * MS, DEADLINE, SAFE))
    advance(net, 30 * MS)
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    wire.answer("202")
    advance(net, 30 * MS)
    for job in ("a", "b"):
        net.requests.cancel(job, 0)
        wire.flush()
        if job == "a":
            wire.answer("204")
    wire.answer("204")  # for the DELETE of a, for the second time
    advance(net, 5 * MS)
    assert net.counters.get("outcome_cancelled") == 1, "nobody has confirmed the end of b"


def test_a_server_that_left_the_list_and_returned_gets_no_second_attempt() -> None:
    net = Net(make_settings(RequestClass(200 * MS, DEADLINE, UNSAFE)))
    net.listed(api.DISK, one=(api.ACTIVE, 0, 1))
    client = net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    wire.answer("202")
    net.listed(api.DIFF, one=(api.GONE, 0, 1))
    net.listed(api.DIFF, one=(api.ACTIVE, 0, 1))
    net.call("a", "one", "returned")
    net.call("a", "one", "returned")  # servers repeat a callback until it is answered
    advance(net, DEADLINE)
    assert net.counters.get("attempts") == 1 and client.answers == ["turned down"]


def test_a_server_that_moved_to_another_zone_counts_for_neither_zone() -> None:
    net = Net(make_settings(keyed(3 * SECOND)))
    net.listed(api.DISK, one=(api.ACTIVE, 0, 1), two=(api.DRAINING, 0, 2), three=(api.DRAINING, 1, 3))
    client = net.ask("a", 0, DEADLINE)
    connect_and_write(net)
    net.listed(api.SNAPSHOT, two=(api.ACTIVE, 0, 2), three=(api.ACTIVE, 1, 3))
    net.listed(api.DIFF, one=(api.ACTIVE, 1, 1))
    net.call("a", "one", "lost")
    advance(net, DEADLINE)
    assert len(net.wires) == 1 and client.answers == ["failed"]


def test_without_cancel_an_unexpected_answer_closes_the_connection() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE), may_cancel=False)
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    wire.answer("404")
    advance(net, 1 * MS)
    assert wire.over and len(net.live()) == 1


def job_not_started_in_time(net: Net) -> tuple[Wire, Wire]:
    """Gives up a job that does not start in time; returns its connection and that of its DELETE."""
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    advance(net, 85 * MS)
    return wire, connect_and_write(net)


@pytest.mark.parametrize("accepted", [False, True])
def test_silence_and_lost_connections_do_not_confirm_a_delete(accepted: bool) -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("a", 0, DEADLINE)
    wire = connect_and_write(net)
    if accepted:
        wire.answer("202")
    advance(net, 85 * MS)
    advance(net, 700 * MS)
    for _ in range(6):
        for other in net.live():
            other.fail() if other.protocol is None else other.lose()
        advance(net, 310 * MS)
    assert net.counters.get("deletes_again") > 3 and net.counters.get("attempts") == 1
    confirm_delete(net)
    assert net.counters.get("attempts") == 2


def test_a_late_acceptance_does_not_confirm_a_delete() -> None:
    # A second 202 to a is taken for the answer to b, and the server stalls.  Its 202 to b then arrives while
    # the DELETE of b is open on the same connection.
    net, wire, others = accepted_by_the_only_active_server(RequestClass(200 * MS, DEADLINE, SAFE))
    advance(net, 30 * MS)  # longer than the node waits for a late second answer
    net.ask("b", 0, DEADLINE)
    wire.flush()
    wire.answer("202")  # to a, for the second time
    list_as(net, others)
    net.call("a", f"s-{wire.at[1]}", "done")
    advance(net, 85 * MS)
    wire.flush()
    assert wire.message.startswith(b"DELETE /jobs/b")
    wire.answer("202")  # to b
    advance(net, 5 * MS)
    assert net.counters.get("attempts") == 2
    assert wire.over, "the answer to the DELETE would be taken for that of the next request"
    confirm_delete(net)
    assert net.counters.get("attempts") == 3


def test_an_error_does_not_confirm_a_delete() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE))
    _, deleting = job_not_started_in_time(net)
    deleting.answer("503")
    advance(net, 5 * MS)
    assert net.counters.get("attempts") == 1
    connect_and_write(net).answer("404")
    assert net.counters.get("attempts") == 2, "it has no such job"


def test_a_job_may_run_after_a_reset_and_is_given_up_before_the_repeat() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("a", 0, DEADLINE)
    connect_and_write(net).lose()
    assert net.counters.get("attempts") == 1
    confirm_delete(net)
    assert net.counters.get("attempts") == 2


def test_a_server_that_cannot_be_reached_after_a_reset_does_not_confirm_a_delete() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE))
    client = net.ask("a", 0, DEADLINE)
    connect_and_write(net).lose()
    for _ in range(6):
        for other in net.live():
            other.fail()
        advance(net, 310 * MS)
    assert net.counters.get("deletes_again") > 3 and net.counters.get("attempts") == 1 and not client.answers
    confirm_delete(net)
    assert net.counters.get("attempts") == 2


@pytest.mark.parametrize("effect", [SAFE, UNSAFE])
def test_a_job_whose_last_byte_left_unnoticed_is_not_unsent(effect: str) -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, effect))
    client = net.ask("a", 0, DEADLINE)
    wire = net.live()[-1]
    wire.up()
    wire.producer = None  # the notification of the last byte is lost
    wire.flush()
    wire.lose()
    assert net.counters.get("attempts") == 1 and client.answers == (["failed"] if effect == UNSAFE else [])


def test_a_reset_of_an_unsafe_request_is_answered_at_once() -> None:
    net = three_servers(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    connect_and_write(net).lose()
    assert client.answers == ["failed"] and len(net.wires) == 1


@pytest.mark.parametrize("spec", [keyed(600 * MS), RequestClass(200 * MS, DEADLINE, SAFE)])
def test_a_stalled_node_sends_nothing_late(spec: RequestClass) -> None:
    # After a stall the reactor handles sockets before timers: a connection comes up, and the job used to
    # leave after its window or deadline.
    net = three_servers(spec, connect_timeout=250 * MS, tells_start=False)
    net.ask("a", 0, DEADLINE if spec.effect == KEYED else 200 * MS)
    if spec.effect == KEYED:
        connect_and_write(net).lose()
        confirm_delete(net)
    late = net.live()[-1]
    net.clock.rightNow += 0.6  # the node is stalled
    late.up()
    late.flush()
    assert not late.message


# Property test over orders of events.


class SentAttempt:
    """An attempt whose last byte has left, as the oracle sees it."""

    def __init__(self, name: str, zone: int, begun: int, wire: Wire) -> None:
        self.name, self.zone, self.begun, self.wire = name, zone, begun, wire
        self.started = self.never_ran = self.ended = self.accepted = False


class CheckedNet(Net):
    """Tracks each attempt's true state and checks the repeat rule whenever a last byte leaves."""

    def __init__(self, spec: RequestClass, cancel: bool) -> None:
        super().__init__(make_settings(spec, may_cancel=cancel))
        self.spec, self.sent, self.zones = spec, {}, dict[str, int]()  # type: ignore[var-annotated]
        self.silent: set[Wire] = set()  # connections on which a 202 was lost: no further answer arrives

    def heard(self, wire: Wire) -> None:
        if not (job := job_of(wire)):
            return
        earlier, name = self.sent.setdefault(job, []), f"s-{wire.at[1]}"
        new = SentAttempt(name, self.zones[name], wire.begun, wire)
        for attempt in earlier:
            assert attempt.ended, f"{job} was sent while another attempt may run"
            if not attempt.never_ran:
                assert self.spec.effect != UNSAFE, f"{job} was repeated and may have run"
                if self.spec.effect == KEYED:
                    assert self.spec.group == "all" or attempt.zone == new.zone, (
                        f"{job} was repeated outside its group"
                    )
                    assert self.now <= attempt.begun + self.spec.window, (
                        f"{job} was repeated after its window"
                    )
        earlier.append(new)

    def closed(self, wire: Wire) -> None:
        for attempt in (s for sent in self.sent.values() for s in sent if s.wire is wire and not s.accepted):
            attempt.ended = True

    def lose_acceptance(self, wire: Wire) -> None:
        """The real server accepts the job, and its 202 is lost."""
        if job_of(wire) and not wire.over:
            self.silent.add(wire)
            self.sent[job_of(wire)][-1].accepted = True

    def break_connection(self, wire: Wire) -> None:
        """Breaks the connection; by the protocol this ends an attempt whose 202 has not arrived."""
        for attempt in (s for sent in self.sent.values() for s in sent if s.wire is wire):
            attempt.ended |= wire in self.silent
        wire.lose()

    def may_refuse(self, job: str) -> bool:
        return (
            self.spec.effect == SAFE
            or (self.spec.effect == KEYED and self.spec.group == "all")
            or all(attempt.never_ran for attempt in self.sent.get(job, []))
        )

    def reply(self, wire: Wire, what: str) -> None:
        """Answers a job or a DELETE as the real server."""
        last = wire.message
        for attempt in (s for sent in self.sent.values() for s in sent if s.wire is wire):
            if job_of(wire) and self.sent[job_of(wire)][-1] is attempt:
                attempt.accepted |= what == "202"
                attempt.never_ran |= what == "turned away" and not attempt.ended and not attempt.started
                attempt.ended |= what in ("turned away", "500")
        if last.startswith(b"DELETE"):
            job = last.split(b" ")[1].rpartition(b"/")[2].decode()
            for attempt in self.sent.get(job, []):
                attempt.ended |= attempt.name == f"s-{wire.at[1]}"
        wire.answer(what)

    def report_state(self, job: str, name: str, state: str) -> None:
        for attempt in (s for s in self.sent.get(job, []) if s.name == name):
            attempt.never_ran |= state == "returned" and not attempt.started and not attempt.ended
            attempt.started |= state in ("started", "running", "done")
            attempt.ended |= state in ("returned", "done", "failed", "lost")
        self.call(job, name, state)


SPECS = st.builds(
    lambda effect, group, window: RequestClass(200 * MS, DEADLINE, effect, group, window),
    st.sampled_from([UNSAFE, KEYED, KEYED, SAFE]),
    st.sampled_from(["all", "zone"]),
    st.sampled_from([150 * MS, 700 * MS, 1500 * MS, 6 * SECOND]),
)
# Events, each with a number that selects the connection, server or request.
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "go",
                "go",
                "go",
                "go",
                "up",
                "flush",
                "part",
                "202",
                "202",
                "202 lost",
                "204",
                "500",
                "404",
                "503",
                "turned away",
                "lose",
                "lose",
                "fail",
                "started",
                "done",
                "failed",
                "returned",
                "returned",
                "lost",
                "lost",
                "wait",
                "long",
                "hide",
                "list",
                "move",
                "drop",
                "leave",
            ]
        ),
        st.integers(0, 7),
    ),
    min_size=6,
    max_size=40,
)


def apply_event(net: CheckedNet, what: str, which: int, asked: dict[str, Any]) -> None:
    live, job = net.live(), f"j{which % len(asked)}"
    wire = live[which % len(live)] if live else None
    attempts = net.sent.get(job, [])
    if what in ("wait", "long"):
        advance(net, (30 if what == "wait" else 400) * MS)
    elif what == "go":  # everything succeeds for a while
        for wire in live:
            if wire.protocol is None:
                wire.up()
            wire.flush()
            if wire.message.startswith(b"DELETE"):
                net.reply(wire, "204")
        advance(net, 5 * MS)
    elif what in ("hide", "list", "move", "drop"):
        names = list(net.zones) if what in ("hide", "list") else [f"s-{1 + which % len(net.zones)}"]
        for name in names:
            net.zones[name] = (net.zones[name] + (what == "move")) % 2
        state = {"hide": api.DRAINING, "drop": api.GONE}.get(what, api.ACTIVE)
        net.listed(api.DIFF, **{name: (state, net.zones[name], int(name[2:])) for name in names})
    elif what == "leave":
        client, number = asked[job]
        if which > 5 and not client.answers:
            net.requests.leave(number)
            asked[job] = (client, -1)
    elif what in ("started", "done", "failed", "returned", "lost"):
        if attempts:
            net.report_state(job, attempts[which % len(attempts)].name, what)
    elif wire is not None:
        apply_connection_event(net, wire, what)


def apply_connection_event(net: CheckedNet, wire: Wire, what: str) -> None:
    if wire.protocol is None:
        {"up": wire.up, "fail": wire.fail}.get(what, lambda: None)()
    elif what in ("flush", "part"):
        wire.flush(10 if what == "part" else 1 << 30)
    elif what == "lose":
        net.break_connection(wire)
    elif what == "202 lost":
        if wire.message and not wire.pending:
            net.lose_acceptance(wire)
    elif wire not in net.silent and what not in ("up", "fail") and wire.message and not wire.pending:
        net.reply(wire, what)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(SPECS, st.booleans(), EVENTS)
def test_no_order_of_events_breaks_the_repeat_rule(
    spec: RequestClass, cancel: bool, events: list[tuple[str, int]]
) -> None:
    net = CheckedNet(spec, cancel)
    net.zones = {f"s-{n}": n % 2 for n in range(1, 6)}
    net.listed(api.DISK, **{name: (api.ACTIVE, zone, int(name[2:])) for name, zone in net.zones.items()})
    asked: dict[str, Any] = {}
    for n in range(2):
        client = net.ask(f"j{n}", 0, DEADLINE)
        asked[f"j{n}"] = client, net.requests._by_job.get(f"j{n}", -1)
    for what, which in events:
        apply_event(net, what, which, asked)
        for job, (client, _) in asked.items():
            if client.answers == ["turned down"]:
                assert net.may_refuse(job), f"{job} may have run and was refused"
                client.answers.append("checked")
    advance(net, DEADLINE + SECOND)
    for client, number in asked.values():
        assert (number < 0 or client.answers) and len([a for a in client.answers if a != "checked"]) < 2
    assert not net.faults


def test_a_delete_does_not_overtake_its_job() -> None:
    # The DELETE used a kept connection while the server had not yet accepted the job's own connection.
    net = three_servers(RequestClass(200 * MS, DEADLINE, SAFE))
    for number in range(6):
        net.ask(f"j{number}", 0, DEADLINE)
        connect_and_write(net)
    jobs = list(net.wires)
    accepted = {wire.at[1]: wire for wire in reversed(jobs)}  # the first at each real server
    for number, wire in accepted.items():
        wire.answer("202")
        net.call(job_of(wire), f"s-{number}", "done")
    silent = [wire for wire in jobs if wire not in accepted.values()]
    assert len(accepted) == 3 and silent
    until = net.now + SECOND
    while not all(wire.aborted for wire in silent) and net.now < until:
        advance(net, MS)
    advance(net, 30 * MS)
    for wire in net.live():
        wire.flush()
    assert all(wire.aborted for wire in silent)
    assert not [wire.message for wire in accepted.values() if wire.message.startswith(b"DELETE")]
