"""What must not run twice: cases that were seen or read, and a search over orders of events.

The oracle is kept apart from the program: it sees bytes that leave, and what was said to the program."""

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


def told(*classes: RequestClass, **changes: Any) -> Settings:
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


def up_and_written(net: Net) -> Wire:
    wire = net.live()[-1]
    wire.up()
    wire.flush()
    return wire


def three(spec: RequestClass, **changes: Any) -> Net:
    net = Net(told(spec, **changes))
    net.listed(api.DISK, **{f"s-{n}": (api.ACTIVE, 0, n) for n in (1, 2, 3)})
    return net


def confirm_delete(net: Net) -> None:
    """The DELETE that was sent last is answered; it waited until its connection had been quiet."""
    advance(net, 26 * MS)
    wire = net.live()[-1]
    if wire.protocol is None:
        wire.up()
    wire.flush()
    assert wire.message.startswith(b"DELETE")
    wire.answer("204")


def want_work(net: Net, servers: list[int], state: str = api.ACTIVE) -> None:
    """Discovery tells that these want work or, where they drain, that they don't."""
    net.listed(api.DIFF, **{f"s-{n}": (state, 0, n) for n in servers})


def taken_at_the_only_one(spec: RequestClass) -> tuple[Net, Wire, list[int]]:
    """Request a is taken, and the other servers drain: the connection that carried it, and these others."""
    net = three(spec)
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    wire.answer("202")
    others = [n for n in (1, 2, 3) if n != wire.at[1]]
    want_work(net, others, api.DRAINING)
    return net, wire, others


def advance(net: Net, time: int) -> None:
    """In steps of a millisecond, as the reactor would turn."""
    for _ in range(time // MS):
        net.clock.advance(0.001)


def test_a_repeat_that_waits_for_a_real_server_does_not_outlast_its_window() -> None:
    # Seen: sent at 13.50 s, its second try found no connection at 13.91 s, and the third, held because no
    # other worker of the group was ready, left at 15.10 s, with a window of 1.5 s.
    net = three(keyed(1500 * MS))
    client = net.ask("a", 0, DEADLINE)
    up_and_written(net).lose()
    confirm_delete(net)
    net.listed(api.DIFF, **{f"s-{n}": (api.DRAINING, 0, n) for n in (1, 2, 3)})
    advance(net, 200 * MS)
    net.live()[-1].fail()
    advance(net, 1300 * MS)
    net.listed(api.DIFF, **{f"s-{n}": (api.ACTIVE, 0, n) for n in (1, 2, 3)})
    advance(net, 500 * MS)
    assert len(net.wires) == 3 and client.answers == ["failed"]


def test_a_repeat_whose_connection_comes_up_too_late_never_leaves() -> None:
    net = three(keyed(600 * MS), connect_timeout=400 * MS, tells_start=False)
    client = net.ask("a", 0, DEADLINE)
    first = up_and_written(net)
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
def test_never_ran_after_a_start_was_told_proves_nothing(last: str) -> None:
    net = three(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    name = f"s-{wire.at[1]}"
    if last == "returned":
        wire.answer("202")
    net.call("a", name, "started")
    net.call("a", name, "returned") if last == "returned" else wire.answer(last)
    assert not client.answers, "first it is given up"
    confirm_delete(net)
    assert client.answers == ["failed"] and net.counters.get("attempts") == 1


def test_no_word_counts_before_the_last_byte_has_left() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    wire = net.live()[-1]
    for state in ("started", "returned", "done", "lost"):
        net.call("a", f"s-{wire.at[1]}", state)
    wire.up()
    wire.flush(10)
    assert not client.answers and len(net.wires) == 1 and net.counters.get("callbacks_unmatched") == 4
    wire.answer("turned away")
    advance(net, 1 * MS)
    assert wire.over and wire.message.endswith(b"..."), "the rest must not follow: it would be begun"
    assert len(net.live()) == 1, "it never ran: another may have it"


@pytest.mark.parametrize("second", ["turned away", "500"])
def test_a_late_second_answer_is_no_turn_down_of_the_next_request(second: str) -> None:
    net, wire, others = taken_at_the_only_one(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    want_work(net, others)
    wire.answer(second)  # to a: it comes some milliseconds late
    advance(net, 5 * MS)
    assert net.counters.get("odd_words") == 1, "b may run: it is given up first"
    assert net.counters.get("attempts") == 2
    confirm_delete(net)
    assert net.counters.get("attempts") == 3


def test_an_answer_that_lies_unread_is_none_to_the_next_request() -> None:
    # The node was held up: it writes before it reads what had come.
    net = Net(told(RequestClass(200 * MS, DEADLINE, KEYED, "all", DEADLINE)))
    net.listed(api.DISK, **{"s-1": (api.ACTIVE, 0, 1)})
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    wire.answer("202")
    advance(net, 30 * MS)
    wire.unread = b"HTTP/1.1 503 No"
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "a"
    assert job_of(up_and_written(net)) == "b"


@pytest.mark.parametrize("own", ["turned away", "500"])
def test_an_answer_that_comes_one_request_late_is_none_to_a_keyed_request(own: str) -> None:
    # A second 202 is taken for that of the next request; that one's own is then taken for a third one's.
    net = Net(
        told(RequestClass(200 * MS, DEADLINE, SAFE), RequestClass(200 * MS, DEADLINE, KEYED, "all", DEADLINE))
    )
    net.listed(api.DISK, **{"s-1": (api.ACTIVE, 0, 1)})
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    wire.answer("202")
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    wire.answer("202")  # to a, for the second time
    advance(net, 30 * MS)
    client = net.ask("c", 1, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b", "the answer to b may still come there"
    up_and_written(net)
    net.listed(api.DIFF, **{"s-2": (api.ACTIVE, 0, 2)})
    wire.answer(own)  # to b
    advance(net, 5 * MS)
    assert wire.over and net.counters.get("attempts") == 3 and not client.answers


def test_a_late_second_answer_does_not_confirm_a_delete() -> None:
    # It was taken for the DELETE's answer, and the next attempt left beside a job that nobody had given up.
    net, wire, others = taken_at_the_only_one(RequestClass(200 * MS, DEADLINE, SAFE))
    advance(net, 74 * MS)
    net.ask("b", 0, DEADLINE)
    wire.flush()
    assert job_of(wire) == "b"
    wire.answer("202")
    want_work(net, others)
    advance(net, 8 * MS)  # the first has not started: it is given up
    assert net.counters.get("deletes") == 1
    wire.flush()
    wire.answer("202")  # to b, for the second time: nothing was asked, and it closes
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
    up_and_written(net)
    assert [job_of(w) for w in net.wires].count("a") == 1


def test_a_late_second_confirmation_confirms_no_other_delete() -> None:
    net, wire, others = taken_at_the_only_one(RequestClass(200 * MS, DEADLINE, SAFE))
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


def test_a_server_that_left_and_came_back_is_not_asked_twice() -> None:
    net = Net(told(RequestClass(200 * MS, DEADLINE, UNSAFE)))
    net.listed(api.DISK, one=(api.ACTIVE, 0, 1))
    client = net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    wire.answer("202")
    net.listed(api.DIFF, one=(api.GONE, 0, 1))
    net.listed(api.DIFF, one=(api.ACTIVE, 0, 1))
    net.call("a", "one", "returned")
    net.call("a", "one", "returned")  # it repeats each call until it is answered
    advance(net, DEADLINE)
    assert net.counters.get("attempts") == 1 and client.answers == ["turned down"]


def test_a_server_that_moved_under_its_old_name_answers_for_neither_zone() -> None:
    net = Net(told(keyed(3 * SECOND)))
    net.listed(api.DISK, one=(api.ACTIVE, 0, 1), two=(api.DRAINING, 0, 2), three=(api.DRAINING, 1, 3))
    client = net.ask("a", 0, DEADLINE)
    up_and_written(net)
    net.listed(api.SNAPSHOT, two=(api.ACTIVE, 0, 2), three=(api.ACTIVE, 1, 3))
    net.listed(api.DIFF, one=(api.ACTIVE, 1, 1))
    net.call("a", "one", "lost")
    advance(net, DEADLINE)
    assert len(net.wires) == 1 and client.answers == ["failed"]


def test_without_cancels_an_odd_answer_ends_with_its_connection() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, SAFE), may_cancel=False)
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    wire.answer("404")
    advance(net, 1 * MS)
    assert wire.over and len(net.live()) == 1


def given_up(net: Net) -> tuple[Wire, Wire]:
    """A job that does not start in time: the connection that carried it, and that of its DELETE."""
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    advance(net, 85 * MS)
    return wire, up_and_written(net)


@pytest.mark.parametrize("taken", [False, True])
def test_silence_and_lost_connections_do_not_confirm_a_delete(taken: bool) -> None:
    net = three(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("a", 0, DEADLINE)
    wire = up_and_written(net)
    if taken:
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
    # A second 202 to the job before is taken for the job's own, and the executor stands still.  Its 202 to
    # the job then comes while the DELETE is out on the same connection.
    net, wire, others = taken_at_the_only_one(RequestClass(200 * MS, DEADLINE, SAFE))
    advance(net, 30 * MS)  # later than is foreseen
    net.ask("b", 0, DEADLINE)
    wire.flush()
    wire.answer("202")  # to a, for the second time
    want_work(net, others)
    net.call("a", f"s-{wire.at[1]}", "done")
    advance(net, 85 * MS)
    wire.flush()
    assert wire.message.startswith(b"DELETE /jobs/b")
    wire.answer("202")  # to b
    advance(net, 5 * MS)
    assert net.counters.get("attempts") == 2
    assert wire.over, "the DELETE's own answer would be taken for the next one's"
    confirm_delete(net)
    assert net.counters.get("attempts") == 3


def test_an_error_does_not_confirm_a_delete() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, SAFE))
    _, deleting = given_up(net)
    deleting.answer("503")
    advance(net, 5 * MS)
    assert net.counters.get("attempts") == 1
    up_and_written(net).answer("404")
    assert net.counters.get("attempts") == 2, "it has no such job"


def test_a_job_may_run_after_a_reset_and_is_given_up_before_the_repeat() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, SAFE))
    net.ask("a", 0, DEADLINE)
    up_and_written(net).lose()
    assert net.counters.get("attempts") == 1
    confirm_delete(net)
    assert net.counters.get("attempts") == 2


def test_a_server_that_cannot_be_reached_after_a_reset_does_not_confirm_a_delete() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, SAFE))
    client = net.ask("a", 0, DEADLINE)
    up_and_written(net).lose()
    for _ in range(6):
        for other in net.live():
            other.fail()
        advance(net, 310 * MS)
    assert net.counters.get("deletes_again") > 3 and net.counters.get("attempts") == 1 and not client.answers
    confirm_delete(net)
    assert net.counters.get("attempts") == 2


@pytest.mark.parametrize("effect", [SAFE, UNSAFE])
def test_a_job_that_left_whole_is_not_unsent_though_nobody_was_told(effect: str) -> None:
    net = three(RequestClass(200 * MS, DEADLINE, effect))
    client = net.ask("a", 0, DEADLINE)
    wire = net.live()[-1]
    wire.up()
    wire.producer = None  # what was to tell of the last byte has failed
    wire.flush()
    wire.lose()
    assert net.counters.get("attempts") == 1 and client.answers == (["failed"] if effect == UNSAFE else [])


def test_a_reset_of_what_must_not_run_twice_is_answered_at_once() -> None:
    net = three(RequestClass(200 * MS, DEADLINE, UNSAFE))
    client = net.ask("a", 0, DEADLINE)
    up_and_written(net).lose()
    assert client.answers == ["failed"] and len(net.wires) == 1


@pytest.mark.parametrize("spec", [keyed(600 * MS), RequestClass(200 * MS, DEADLINE, SAFE)])
def test_a_node_that_was_held_up_sends_nothing_late(spec: RequestClass) -> None:
    # Its sockets come before its timers: a connection came up, and the job left after its window or deadline.
    net = three(spec, connect_timeout=250 * MS, tells_start=False)
    net.ask("a", 0, DEADLINE if spec.effect == KEYED else 200 * MS)
    if spec.effect == KEYED:
        up_and_written(net).lose()
        confirm_delete(net)
    late = net.live()[-1]
    net.clock.rightNow += 0.6  # nothing runs meanwhile
    late.up()
    late.flush()
    assert not late.message


# The search.


class Sent:
    """One message whose last byte has left, as the oracle sees it."""

    def __init__(self, name: str, zone: int, begun: int, wire: Wire) -> None:
        self.name, self.zone, self.begun, self.wire = name, zone, begun, wire
        self.started = self.proven = self.over = self.accepted = False


class Watched(Net):
    """Keeps the truth and checks the rule at each last byte."""

    def __init__(self, spec: RequestClass, cancel: bool) -> None:
        super().__init__(told(spec, may_cancel=cancel))
        self.spec, self.sent, self.zones = spec, {}, dict[str, int]()  # type: ignore[var-annotated]
        self.silent: set[Wire] = set()  # a 202 was lost there: nothing more comes

    def heard(self, wire: Wire) -> None:
        if not (job := job_of(wire)):
            return
        earlier, name = self.sent.setdefault(job, []), f"s-{wire.at[1]}"
        mine = Sent(name, self.zones[name], wire.begun, wire)
        for one in earlier:
            assert one.over, f"{job} is out twice"
            if not one.proven:
                assert self.spec.effect != UNSAFE, f"{job} may have run"
                if self.spec.effect == KEYED:
                    assert self.spec.group == "all" or one.zone == mine.zone, f"{job} left its group"
                    assert self.now <= one.begun + self.spec.window, f"{job} left its window"
        earlier.append(mine)

    def closed(self, wire: Wire) -> None:
        for one in (s for sent in self.sent.values() for s in sent if s.wire is wire and not s.accepted):
            one.over = True

    def loses_acceptance(self, wire: Wire) -> None:
        """The real server takes the job, and its 202 never arrives."""
        if job_of(wire) and not wire.over:
            self.silent.add(wire)
            self.sent[job_of(wire)][-1].accepted = True

    def broken(self, wire: Wire) -> None:
        """The connection breaks: by the protocol that ends what has no 202."""
        for one in (s for sent in self.sent.values() for s in sent if s.wire is wire):
            one.over |= wire in self.silent
        wire.lose()

    def may_refuse(self, job: str) -> bool:
        return (
            self.spec.effect == SAFE
            or (self.spec.effect == KEYED and self.spec.group == "all")
            or all(one.proven for one in self.sent.get(job, []))
        )

    def reply(self, wire: Wire, what: str) -> None:
        """An answer of the real server, to a job or a DELETE."""
        last = wire.message
        for one in (s for sent in self.sent.values() for s in sent if s.wire is wire):
            if job_of(wire) and self.sent[job_of(wire)][-1] is one:
                one.accepted |= what == "202"
                one.proven |= what == "turned away" and not one.over and not one.started
                one.over |= what in ("turned away", "500")
        if last.startswith(b"DELETE"):
            job = last.split(b" ")[1].rpartition(b"/")[2].decode()
            for one in self.sent.get(job, []):
                one.over |= one.name == f"s-{wire.at[1]}"
        wire.answer(what)

    def tells(self, job: str, name: str, state: str) -> None:
        for one in (s for s in self.sent.get(job, []) if s.name == name):
            one.proven |= state == "returned" and not one.started and not one.over
            one.started |= state in ("started", "running", "done")
            one.over |= state in ("returned", "done", "failed", "lost")
        self.call(job, name, state)


SPECS = st.builds(
    lambda effect, group, window: RequestClass(200 * MS, DEADLINE, effect, group, window),
    st.sampled_from([UNSAFE, KEYED, KEYED, SAFE]),
    st.sampled_from(["all", "zone"]),
    st.sampled_from([150 * MS, 700 * MS, 1500 * MS, 6 * SECOND]),
)
# What happens, and to which of the parties there are.
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


def happen(net: Watched, what: str, which: int, asked: dict[str, Any]) -> None:
    live, job = net.live(), f"j{which % len(asked)}"
    wire = live[which % len(live)] if live else None
    attempts = net.sent.get(job, [])
    if what in ("wait", "long"):
        advance(net, (30 if what == "wait" else 400) * MS)
    elif what == "go":  # all goes well for a while
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
            net.tells(job, attempts[which % len(attempts)].name, what)
    elif wire is not None:
        touch(net, wire, what)


def touch(net: Watched, wire: Wire, what: str) -> None:
    if wire.protocol is None:
        {"up": wire.up, "fail": wire.fail}.get(what, lambda: None)()
    elif what in ("flush", "part"):
        wire.flush(10 if what == "part" else 1 << 30)
    elif what == "lose":
        net.broken(wire)
    elif what == "202 lost":
        if wire.message and not wire.pending:
            net.loses_acceptance(wire)
    elif wire not in net.silent and what not in ("up", "fail") and wire.message and not wire.pending:
        net.reply(wire, what)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(SPECS, st.booleans(), EVENTS)
def test_every_order_of_events_keeps_the_rule(
    spec: RequestClass, cancel: bool, events: list[tuple[str, int]]
) -> None:
    net = Watched(spec, cancel)
    net.zones = {f"s-{n}": n % 2 for n in range(1, 6)}
    net.listed(api.DISK, **{name: (api.ACTIVE, zone, int(name[2:])) for name, zone in net.zones.items()})
    asked: dict[str, Any] = {}
    for n in range(2):
        client = net.ask(f"j{n}", 0, DEADLINE)
        asked[f"j{n}"] = client, net.requests._by_job.get(f"j{n}", -1)
    for what, which in events:
        happen(net, what, which, asked)
        for job, (client, _) in asked.items():
            if client.answers == ["turned down"]:
                assert net.may_refuse(job), f"{job} may have run and was refused"
                client.answers.append("checked")
    advance(net, DEADLINE + SECOND)
    for client, number in asked.values():
        assert (number < 0 or client.answers) and len([a for a in client.answers if a != "checked"]) < 2
    assert not net.faults


def test_a_delete_overtook_its_job_and_confirmed_that_nothing_ran() -> None:
    # It went out on a kept connection while the real server had not accepted the job's own.
    net = three(RequestClass(200 * MS, DEADLINE, SAFE))
    for number in range(6):
        net.ask(f"j{number}", 0, DEADLINE)
        up_and_written(net)
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
