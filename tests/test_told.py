"""The node applies a change within 6 s of the time that discovery has it and can be reached.

This holds whatever calls failed before, and no list is skipped."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tests.held import Held
from tests.scenario import SETTINGS, Scenario, address, listener
from tests.wired import Net, Wire
from violetsaddle.interface import RequestClass, Settings
from violetsaddle.net.discovery import Discovery
from violetsaddle.net.limits import MS, SECOND

ASK = {"discovery": "ask"}
AT = ("discovery", 1)
APPLIED_WITHIN = 6 * SECOND
QUEUE_TIME = SECOND  # microseconds for which discovery queues a call before it refuses it
ENDED: Any = Failure(ConnectionDone())  # type: ignore[no-untyped-call]


class Calls:
    """A node's discovery client on a virtual clock; `play` decides how each call ends."""

    def __init__(self, nodes: int, asks: bool, seed: int) -> None:
        quote = RequestClass(aim=200 * MS, deadline=5 * SECOND)
        self.net = net = Net(
            Settings(classes=(quote,), must_ask=asks, schedulers=nodes, me=seed % nodes, may_tell=True), seed
        )
        self.discovery = Discovery(
            net, net.limits, net.deadlines, net.counters, net.requests, net.servers, AT, ("z",), ("k",), net
        )
        net.requests.discovery = self.discovery
        self.seen = 0  # number of wires already returned
        if not asks:
            self.discovery.watch()

    def call(self) -> Wire:
        """Advances the clock to the next call, on a new connection or on the previous one."""
        while True:
            for wire in self.net.wires[self.seen :]:
                if not wire.over:
                    self.seen = len(self.net.wires)
                    return wire
            kept = self.net.wires[-1] if self.net.wires else None
            if kept is not None and not kept.over and kept.pending:
                return kept
            self.net.clock.advance(0.001)

    def play(self, what: str) -> None:
        """Ends the next call as `what` says: down, refused, cut, silent, same or served (a new version)."""
        wire = self.call()
        if what == "down":
            wire.fail()
            return
        if wire.protocol is None:
            wire.up()
        wire.flush()
        if what == "refused":  # after the time in the queue
            self.net.clock.advance(QUEUE_TIME / 1e6)
            if not wire.over:
                wire.tell(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif what == "cut":
            wire.lose()
        elif what == "silent":
            # Until the node gives the call up, or makes another while this one may still be answered.
            while not wire.over and len(self.net.wires) == self.seen:
                self.net.clock.advance(0.001)
        else:
            version = self.discovery._version
            if what == "served":
                self.net.clock.advance(QUEUE_TIME / 1e6 - 0.001)
                version = (version or 0) + 1
            body = json.dumps({"version": version, "full": True, "servers": []}).encode()
            wire.tell(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


BAD = ("refused", "cut", "silent")


def histories() -> Iterator[tuple[str, ...]]:
    """Failures before discovery can be reached."""
    for long in (0, 1, 4, 12):
        yield ("down",) * long
        yield ("refused",) * long
        yield ("cut",) * long


@pytest.mark.parametrize("asks", [True, False])
@pytest.mark.parametrize("nodes", [4, 40, 200, 1024])
def test_change_is_applied_in_time_after_any_failures(nodes: int, asks: bool) -> None:
    # The back-off between calls grew to 30 s at 200 nodes.
    worst, rows = 0, itertools.product(set(histories()), [(), *((bad,) for bad in BAD)])
    for seed, (before, after) in enumerate(rows):
        calls = Calls(nodes, asks, seed)
        calls.play("same")
        for what in before:
            calls.play(what)
        # From here on discovery can be reached and has a change.  A call already in flight may still fail.
        start = calls.net.now
        for what in (*after, "served"):
            calls.play(what)
        worst = max(worst, calls.net.now - start)
        assert calls.discovery._version == 1, (before, after)
        assert not calls.net.faults
    assert worst <= APPLIED_WITHIN, worst / SECOND


def test_silent_watch_and_a_refused_call_fit_into_the_time() -> None:
    for seed in range(20):
        calls = Calls(200, True, seed)
        calls.play("same")
        start = calls.net.now
        for what in ("silent", "refused", "served"):
            calls.play(what)
        assert calls.net.now - start <= APPLIED_WITHIN, (calls.net.now - start) / SECOND


def test_calls_after_an_outage_are_spread() -> None:
    """After an outage of discovery, fewer than 40 of 200 nodes call it within the same 100 ms."""
    counts: dict[int, int] = {}
    for seed in range(200):
        calls = Calls(200, True, seed)
        calls.play("same")
        while calls.net.now < 15 * SECOND:
            calls.play("down")
        calls.call()
        slot = calls.net.now // (100 * MS)
        counts[slot] = counts.get(slot, 0) + 1
    assert max(counts.values()) < 40, counts


class Told(Scenario):
    def test_pushed_lists_watch_is_open_from_the_start(self) -> None:
        # The watch was not opened, so the node never received the list that discovery published.
        self.start()
        self.play("""
            d expect GET /discovery/hosts?after=1&wait_ms=
            d send list 2 s-1=draining
            d expect after=2
            c send job a settle
            s expect X-Txn: a
        """)
        self.assertEqual(self.heard[-1].name, "s-2")

    def test_pushed_lists_broken_watch_reopens_within_the_grace_period(self) -> None:
        self.start({"safety": {"drainGrace": 500_000}})
        self.play("d expect after=1")
        for _ in range(8):
            self.play("d close")
            start = time.monotonic()
            self.play("d expect after=1")
            self.assertLess(time.monotonic() - start, 0.45)

    def test_waits_between_failed_calls_of_a_large_tier(self) -> None:
        self.start({**ASK, "siblings": 200, "permissions": {**SETTINGS["permissions"], "mayTell": True}})
        self.play("d expect after=1\nd close")
        waits = []
        for _ in range(8):
            start = time.monotonic()
            self.play("d expect after=1\nd close")
            waits.append(time.monotonic() - start)
        self.assertLess(max(waits), 2.1, waits)

    def test_invalid_entry_does_not_hide_a_drain(self) -> None:
        # The invalid entry made the node reject the whole list.
        self.start(ASK, servers=3)
        listing = self.listing(2, ["s-1=draining", "s-2=removed", "s-3=up"], full=False)
        listing["servers"].append({"id": "s-4", "addr": "127.0.0.1:9", "zone": "nowhere", "state": "up"})
        self.play("d expect after=1\nd send 200 | | " + json.dumps(listing) + "\nnode expect bad list")
        self.play("d wait\nd close\nd expect after=1&")
        for n in range(6):
            self.play(f"c{n} send job a{n} settle\ns expect X-Txn: a{n}")
            self.assertEqual(self.heard[-1].name, "s-3")

    def test_full_list_with_a_bad_entry_removes_servers_not_listed(self) -> None:
        self.start(ASK, servers=2)
        listing = self.listing(2, ["s-2=up"])
        listing["servers"][0]["kind"] = "unknown"
        self.play("d expect after=1\nd send 200 | | " + json.dumps(listing) + "\nnode expect bad list")
        self.play("d wait\nd close\nd expect after=1&")
        for n in range(4):
            self.play(f"c{n} send job a{n} settle\ns expect X-Txn: a{n}")
            self.assertEqual(self.heard[-1].name, "s-2")

    def test_list_after_sigterm_is_applied(self) -> None:
        self.start(ASK)
        self.play("""
            d expect after=1
            k send GET /up
            k expect 200
            c send job a settle
            s expect X-Txn: a
            s send 202
            node send TERM
            node expect stopping
            d send list 2 s-1=draining
            d expect after=2
        """)
        for n in range(4):
            self.play(f"c{n} send job b{n} settle\ns expect ~X-Txn: b{n}")
            self.assertEqual(self.heard[-1].name, "s-2")

    def test_discovery_address_changes_to_a_failing_one_and_back(self) -> None:
        self.start(ASK)
        self.play("d expect after=1")
        old, self.discovery = self.discovery, listener()
        old.close()
        self.lines["old"] = self.lines.pop("d")
        self.replace(discovery=address(self.discovery))
        self.play("node send HUP\nd expect GET /discovery/hosts HTTP/1.1\nd close")
        self.play("""
            d expect GET /discovery/hosts HTTP/1.1
            node send HUP
            d send list 7 s-1=draining s-2=up
            d expect after=7
            c send job a settle
            s expect X-Txn: a
        """)
        self.assertEqual(self.heard[-1].name, "s-2")


class SignalsElsewhere(Scenario):
    COMMAND = ("-m", "tests.signals_elsewhere")

    def test_a_signal_that_does_not_interrupt_the_wait_is_acted_on_at_once(self) -> None:
        # An idle node slept on until its next timer, up to a second later.
        self.start(ASK)
        self.play("c send GET /up\nc expect 200\nd expect after=1")
        for _ in range(8):
            time.sleep(0.15)  # nothing else is due
            start = time.monotonic()
            self.play("node send USR1\nnode expect counters")
            self.assertLess(time.monotonic() - start, 0.3)


class During(Held):
    COMMAND = Scenario.COMMAND

    def test_drain_during_a_dial(self) -> None:
        # The job was sent once the connection was up, although the server had been draining for long.
        self.start({**ASK, "permissions": {**SETTINGS["permissions"], "dialTimeout": 5_000_000}}, servers=1)
        free = self.crowd_dials("s-1")
        self.servers["s-2"] = other = listener()
        self.where["s-2"] = address(other)
        self.play("""
            d expect after=1
            c send job a settle
        """)
        self.dialling("s-1")
        self.play("d send list 2 s-1=draining s-2=up\nd expect after=2")
        free()
        self.play("s expect POST /api | X-Txn: a\ns send 202\ns call+ a done result=x\nc expect 200 | x")
        self.assertEqual(self.heard[-1].name, "s-2")

    def test_a_list_that_came_as_the_process_stood_still_is_read_before_a_job_is_sent(self) -> None:
        # A connection came up, then a list drained its server: after the pause the job was sent first.
        permissions = {**SETTINGS["permissions"], "dialTimeout": 5_000_000}
        self.start({**ASK, "permissions": permissions, "safety": {"drainGrace": 500_000}}, servers=1)
        free = self.crowd_dials("s-1")
        self.servers["s-2"] = other = listener()
        self.where["s-2"] = address(other)
        self.play("d expect after=1\nc send job a settle")
        self.dialling("s-1")
        self.play("node send STOP")
        free()
        self.connected("s-1")
        self.play("d send list 2 s-1=draining s-2=up")
        time.sleep(0.7)
        self.play("node send CONT\ns expect POST /api | X-Txn: a")
        self.assertEqual(self.heard[-1].name, "s-2")
