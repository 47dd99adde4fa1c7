"""Orders of one turn of the reactor around calls to discovery, each forced by a script."""

from __future__ import annotations

import json
import re

import pytest

from tests.discovery_orders import Play, Weather
from tests.reactor_turns import MS, SECOND, Link, Listener
from violetsaddle import interface as api

SEEDS = range(8)  # each draws another order of the sockets of a turn


class Asked(Listener):
    """An address of discovery that answers as the test says."""

    def __init__(self) -> None:
        self.calls: list[tuple[Link, str]] = []
        self.dials: list[Link] = []
        self.accepts = True

    def connect(self, link: Link) -> None:
        self.dials.append(link)
        if self.accepts:
            link.accept()

    def received(self, link: Link, data: bytes) -> None:
        self.calls.append((link, data.split()[1].decode()))

    def answer(self, number: int, version: int, *draining: int) -> None:
        """Answers a call, from 0 on, with the whole list, or with changes where it asked for these."""
        link, target = self.calls[number]
        after = re.search(r"after=(\d+)", target)
        states = {n: "draining" if n in draining else "up" for n in range(4)}
        entries = [
            {"id": f"s-{n}", "addr": f"box:{n}1", "zone": "z", "kind": "k", "cell": 0, "state": state}
            for n, state in states.items()
        ]
        body = json.dumps({"version": version, "full": after is None, "servers": entries}).encode()
        link.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def is_open(self, number: int) -> bool:
        return not self.calls[number][0].known_closed

    @property
    def open_links(self) -> int:
        return len({link for link, _ in self.calls if not link.known_closed})


class Script:
    """A node whose discovery has moved to `Asked` and which has made its first call there."""

    def __init__(self, seed: int = 0) -> None:
        self.play = play = Play(Weather(), seed)
        self.old = self.listen(1)
        self.run(2 * SECOND)  # the module's first call comes within 2 s
        assert len(self.old.calls) == 1
        self.new = self.listen(2)
        self.move(2)
        self.run(MS)
        assert [target for _, target in self.new.calls] == ["/discovery/hosts"]
        self.errors = play.counters.get("lists_error")

    def listen(self, port: int) -> Asked:
        asked = self.play.reactor.listeners["discovery", port] = Asked()
        return asked

    def move(self, port: int) -> None:
        self.play.reactor.callFromThread(lambda: self.play.discovery.move(("discovery", port)))

    def run(self, microseconds: int) -> None:
        self.play.reactor.run(self.play.network.now + microseconds)
        assert not self.play.faults

    def stand_still(self, microseconds: int) -> None:
        """The network goes on, the process does not."""
        self.play.network.advance(self.play.network.now + microseconds)

    @property
    def version(self) -> int | None:
        return self.play.discovery._version

    def drains(self, number: int) -> bool:
        return self.play.servers._by_name[f"s-{number}"].draining


@pytest.mark.parametrize("seed", SEEDS)
def test_two_late_answers_in_one_turn_leave_the_newer_list(seed: int) -> None:
    # Whichever was read first ended the call of the other.
    script = Script(seed)
    script.run(2700 * MS)
    assert len(script.new.calls) == 3
    script.new.answer(0, 7, 1)
    script.new.answer(1, 8, 1, 2)
    script.run(10 * MS)
    assert script.version == 8 and script.drains(2)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_answer_that_is_unread_as_its_time_is_up_is_in_time(seed: int) -> None:
    # The timer ran first: the call was late, and the module waited for nothing.
    script = Script(seed)
    script.run(1050 * MS)
    script.new.answer(0, 7, 1)
    script.stand_still(100 * MS)
    script.run(10 * MS)
    assert script.version == 7 and script.drains(1)
    assert script.play.counters.get("lists_error") == script.errors


@pytest.mark.parametrize("seed", SEEDS)
def test_an_answer_that_is_unread_as_its_call_makes_room_for_a_newer_one_is_taken(seed: int) -> None:
    # The timer of the third call ran first and closed the connection over the unread list.
    script = Script(seed)
    script.run(4500 * MS)
    assert script.new.is_open(0)
    script.new.answer(0, 7, 1)
    script.stand_still(400 * MS)
    script.run(10 * MS)
    assert script.version == 7 and script.drains(1)


@pytest.mark.parametrize("wait", [1150, 1250, 2300, 2400, 2500, 2600])
@pytest.mark.parametrize("seed", SEEDS)
def test_an_answer_in_the_turn_of_the_next_watch_or_its_dial(seed: int, wait: int) -> None:
    # Guards the restart on the answered connection while another call begins, dials or is out.
    script = Script(seed)
    script.run(wait * MS)
    script.new.answer(0, 7, 1)
    script.stand_still(150 * MS)
    script.run(10 * MS)
    assert script.version == 7 and script.drains(1)
    assert script.new.calls[-1][1].startswith("/discovery/hosts?after=7&")
    script.run(SECOND)
    assert script.new.open_links == 1


def test_a_late_list_that_is_not_valid_but_drains_a_server_leaves_the_watch_at_work() -> None:
    # The module took the drain for the answer of a watch, while no call was out: none was made any more.
    script = Script()
    script.run(1110 * MS)
    assert len(script.new.calls) == 1
    entries = [
        {"id": "s-1", "addr": "box:11", "zone": "z", "kind": "k", "state": "draining"},
        {"id": "s-2", "addr": "nowhere", "zone": "z", "kind": "k", "state": "up"},
    ]
    body = json.dumps({"version": 7, "full": False, "servers": entries}).encode()
    script.new.calls[0][0].send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    script.run(10 * MS)
    assert script.drains(1) and script.version == 1
    script.run(SECOND)
    assert len(script.new.calls) == 2
    script.new.answer(1, 8, 1, 2)
    script.run(10 * MS)
    assert script.version == 8 and script.drains(2)


def test_a_correction_of_the_list_while_no_call_is_out_leaves_the_watch_at_work() -> None:
    # As above: start times that `decide.recovery` replaces while discovery is silent ended the watch.
    script = Script()
    script.run(1110 * MS)
    requests, number = script.play.requests, script.play.servers.number_of("s-1")
    requests._apply_corrections((api.Entry(number, started=script.play.network.now),))
    script.run(SECOND)
    assert len(script.new.calls) == 2


def test_a_call_is_not_given_up_for_newer_ones_while_it_may_be_answered() -> None:
    # The third that was late was given up at once.
    script = Script()
    script.run(3400 * MS)
    assert len(script.new.calls) == 3 and all(map(script.new.is_open, range(3)))
    script.run(2 * SECOND)
    assert len(script.new.calls) == 4 and script.new.is_open(2)
    assert script.new.open_links == 3


def test_a_connection_that_hangs_holds_up_no_call_for_long() -> None:
    # Guards the time after which dials that are late make room.
    script = Script()
    asked = script.listen(3)
    asked.accepts = False
    script.move(3)
    script.run(2 * SECOND)
    assert len(asked.dials) >= 4
    asked.accepts = True
    script.run(1500 * MS)
    assert asked.calls


@pytest.mark.parametrize("answered_first", [True, False])
def test_the_old_address_counts_until_the_new_one_has_answered(answered_first: bool) -> None:
    # What the old address had told as SIGHUP came was lost.
    script = Script()
    if answered_first:
        script.new.answer(0, 1, 3)
        script.run(MS)
    script.old.answer(0, 9, 1)
    script.run(10 * MS)
    assert script.drains(1) is not answered_first
    script.new.answer(len(script.new.calls) - 1, 2, 2)
    script.run(10 * MS)
    assert script.version == 2 and script.drains(2) and not script.drains(1)


def test_calls_to_the_old_address_end_after_a_while() -> None:
    # Guards the number of connections after a move to an address that does not answer.
    script = Script()
    script.run(2500 * MS)
    assert not script.old.is_open(0)


def test_there_and_back_again() -> None:
    # SIGHUP twice in a row, the second with the address of before the first.
    script = Script()
    script.move(1)
    script.run(MS)
    script.move(1)  # and once more with the same: no further call
    script.run(MS)
    assert [target for _, target in script.old.calls[1:]] == ["/discovery/hosts"]
    script.old.answer(1, 7, 1)
    script.run(10 * MS)
    assert script.version == 7 and script.drains(1)
    assert not script.new.is_open(0)


def test_a_late_answer_from_before_discovery_counts_its_versions_anew() -> None:
    # Guards the comparison of versions: a lower one is older only if it was asked for earlier.
    script = Script()
    script.new.answer(0, 40)
    script.run(4500 * MS)
    assert script.new.calls[-1][1].startswith("/discovery/hosts?after=40&")
    script.new.answer(len(script.new.calls) - 1, 3, 1)
    script.run(10 * MS)
    assert script.version == 3 and script.drains(1)
    script.new.answer(1, 41)
    script.run(10 * MS)
    assert script.version == 3 and script.drains(1)
