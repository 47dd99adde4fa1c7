"""Faults between the node processes of the live stage: what becomes of datagrams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from tests.test_live import short_day
from violetsaddle.lab.judge import judge
from violetsaddle.lab.live.places import LivePlaces
from violetsaddle.lab.live.relay import RelayParty
from violetsaddle.lab.live.stage import LiveStage
from violetsaddle.lab.records import Ledger
from violetsaddle.lab.scene import Scene
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world.day import MS, SECOND, Day, Trouble

PLACES = LivePlaces(1, 10_000)
EVER = 60 * SECOND


def three(length: int, *troubles: Trouble) -> Day:
    """Three nodes, the last two in one hall."""
    day = short_day(length, *troubles)
    load = msgspec.structs.replace(day.load, halls=(0.4, 0.6))
    return msgspec.structs.replace(
        day,
        halls=("east", "west"),
        nodes=(0, 1, 1),
        load=load,
        boxes=tuple(msgspec.structs.replace(box, hall=n % 2) for n, box in enumerate(day.boxes)),
    )


def play(day: Day, after: int = 1800 * MS, operator: str = "") -> Outcome:
    outcome = LiveStage(late=20 * SECOND).play(day, Options(after=after, operator=operator))
    assert not outcome.void and not judge(outcome).violations, (outcome.void, outcome.log[-20:])
    return outcome


def heard(outcome: Outcome) -> list[int]:
    """From others: a node's datagrams to all come to itself too, but for one that it sends as it ends."""
    return [told.get("heard", 0) - told.get("heard_own", 0) for told in outcome.counters]


def test_datagrams_come_through_between_processes_and_all_are_lost_where_the_day_says_so() -> None:
    day = three(2 * SECOND)
    assert min(heard(play(day))) > 3
    # Of the links, not as a trouble: nodes speak before the day begins.
    links = msgspec.structs.replace(day.links, datagram_loss=1.0)
    assert heard(play(msgspec.structs.replace(day, links=links))) == [0, 0, 0]


@dataclass
class Wire:
    """A reactor that keeps what is written and what is due."""

    ways: dict[tuple[str, int], Any] = field(default_factory=dict)
    written: list[tuple[tuple[str, int], bytes, tuple[str, int]]] = field(default_factory=list)
    due: list[tuple[float, Any, tuple[Any, ...]]] = field(default_factory=list)

    def listenUDP(self, port: int, way: Any, host: str, size: int) -> Any:
        self.ways[host, port] = way
        way.transport = _Out(self, (host, port))
        return way.transport

    def callLater(self, wait: float, what: Any, *args: Any) -> None:
        self.due.append((wait, what, args))


@dataclass
class _Out:
    wire: Wire
    here: tuple[str, int]

    def write(self, data: bytes, to: tuple[str, int]) -> None:
        self.wire.written.append((self.here, data, to))

    def stopListening(self) -> None:
        del self.wire.ways[self.here]


def relay(*troubles: Trouble, least: int = 0) -> tuple[RelayParty, Wire]:
    day = three(2 * SECOND, *troubles)
    day = msgspec.structs.replace(
        day, links=msgspec.structs.replace(day.links, datagram_least=least, datagram_most=2 * least)
    )
    wire = Wire()
    party = RelayParty(Scene(day, wire, lambda: 0, Ledger(), PLACES, links=False))
    party.start()
    return party, wire


def test_what_arrives_has_the_address_at_which_the_receiver_reaches_the_sender() -> None:
    _, wire = relay()
    wire.ways[PLACES.relay(0, 2)].datagramReceived(b"word", PLACES.peer(0))
    wire.ways[PLACES.relay(0, 2)].datagramReceived(b"a stranger's", PLACES.peer(1))
    assert wire.written == [(PLACES.relay(2, 0), b"word", PLACES.peer(2))]


def test_delays_doubles_and_one_way_cuts_are_the_days() -> None:
    party, wire = relay(
        Trouble("oneway", SECOND, EVER, halls=(0,)), Trouble("twice", 0, EVER, factor=1.0), least=MS
    )
    for at in sorted(party._links.changes)[:1]:
        party._links.at(at)
    wire.due.clear()
    wire.ways[PLACES.relay(0, 1)].datagramReceived(b"out", PLACES.peer(0))
    assert party.doubled == 1 and len(wire.due) == 2 and all(MS <= 1e6 * w <= 2 * MS for w, _, _ in wire.due)
    for _, what, args in wire.due:
        what(*args)
    assert len(wire.written) == 2
    party._links.at(SECOND)
    wire.ways[PLACES.relay(0, 1)].datagramReceived(b"out", PLACES.peer(0))
    wire.ways[PLACES.relay(1, 0)].datagramReceived(b"in", PLACES.peer(1))
    assert (party.lost, party.carried) == (1, 2), "what leaves the hall is lost, what comes in is not"
    party.stop()
    assert not wire.ways
