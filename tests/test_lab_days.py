"""Drawn days with real nodes: the program keeps every rule, planted faults break theirs, and hard cases."""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet.protocol import ClientFactory, Protocol

from tests.faults import apply
from violetsaddle.lab import ids, score, soundness
from violetsaddle.lab import records as rec
from violetsaddle.lab.experiment import Case, run_day
from violetsaddle.lab.judge import judge
from violetsaddle.lab.parties.boxes import BoxConnection
from violetsaddle.lab.pool import Pool, run_many
from violetsaddle.lab.result import encode, plain
from violetsaddle.lab.sim.stage import PLAIN, Play, SimStage
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world import clients, scenario
from violetsaddle.world.day import SECOND, Day, Trouble
from violetsaddle.world.links import Links

# Days that once broke a rule without a fault of the program, or with one that is mended.
KEPT = (("storm", 18), ("storm", 183), ("storm", 227), ("brink", 6), ("brink", 28))
FAULTS = ("answer-twice", "drain-ignored", "id-twice", "slot-kept", "repeats/hold-unasked")


def small(*troubles: Trouble, seconds: int = 3, **changes: Any) -> Day:
    day = scenario.draw(scenario.load("calm"), 3, nodes=2, boxes=4, rate=12, length=seconds * SECOND)
    return msgspec.structs.replace(day, troubles=troubles, **changes)


def play(day: Day) -> Outcome:
    outcome = SimStage().play(day, Options(after=6 * SECOND))
    assert not outcome.void, outcome.void
    assert judge(outcome).violations == []
    return outcome


def served(outcome: Outcome) -> list[rec.Answer]:
    return [r for r in outcome.records if isinstance(r, rec.Answer) and r.status == 200]


@pytest.mark.parametrize(("name", "seed"), KEPT)
def test_the_program_keeps_every_rule(name: str, seed: int) -> None:
    played = run_day(Case(name, seed, seconds=10))
    assert played.result.valid and not played.result.violations, played.report


@pytest.mark.parametrize("name", FAULTS)
def test_planted_faults_break_their_rules(name: str) -> None:
    with tempfile.TemporaryDirectory() as tree, Pool(1) as pool:
        fault = apply.plant(name, tree)
        assert fault.seed
        [played] = pool.play([Case(fault.scenario, fault.seed, seconds=10, tree=tree)])
        assert fault.rule in played.result.rules, played.report
        assert fault.rule in played.report and "violetsaddle lab run" in played.report


def test_a_tier_with_circles_keeps_every_rule_through_a_mass_kill() -> None:
    played = run_day(Case("mass", 1, seconds=7, nodes=32, boxes=32))
    assert played.result.valid and not played.result.violations, played.report
    assert played.result.figures["cross_hall"] < 0.35, "its own hall's boxes are those it hears of"


def test_the_command_for_all_of_it() -> None:
    words = ["--days", "1", "--fault-days", "1", "--processes", "1", "--only", "unsafe-again"]
    done = CliRunner().invoke(soundness.main, words)
    assert done.exit_code == 0, done.output
    assert "unsafe-again: resent on day 1 of storm" in done.output
    # One that has not been found makes it fail.
    with mock.patch.object(soundness, "hunted", lambda *_: soundness.Found("resent", 0, 1, ())):
        assert CliRunner().invoke(soundness.main, ["--days", "0", *words[2:]]).exit_code == 1


def test_every_fault_has_its_day() -> None:
    faults = [apply.load(name) for name in apply.names()]
    assert len(faults) >= 12 and all(0 < fault.seed <= 200 for fault in faults)


# Hard cases.


def test_same_seed_same_bytes() -> None:
    """Run twice; by one process or by two in which strings hash otherwise."""
    cases = [Case("storm", seed, seconds=1, nodes=2, boxes=4, rate=10) for seed in (5, 6, 7)]
    once, again = (encode(p.result for p in run_many(cases, 1)) for _ in range(2))
    with mock.patch.dict(os.environ, PYTHONHASHSEED="77"):
        by_two = encode(p.result for p in run_many(cases, 2))
    assert once == again == by_two
    assert len({line for line in once.splitlines()}) == 3 and b'"error":""' in once


def test_a_day_on_which_nothing_is_served() -> None:
    day = small(seconds=2)
    down = Trouble("crash", 0, 20 * SECOND, boxes=tuple(range(len(day.boxes))))
    outcome = play(msgspec.structs.replace(day, troubles=(down,)))
    assert any(isinstance(r, rec.Sent) for r in outcome.records) and not served(outcome)
    figures = plain(score.figures(outcome))
    assert figures["goodput"] == 0
    against = plain(score.against(figures, {"oracle": figures, "random": figures}))
    json.dumps([figures, against], allow_nan=False)


class Asks(Protocol):
    transport: Any

    def __init__(self, data: bytes, heard: Callable[[bytes], None]) -> None:
        self.data, self.heard = data, heard

    def connectionMade(self) -> None:
        self.transport.write(self.data)

    def dataReceived(self, data: bytes) -> None:
        self.heard(data)


class Dials(ClientFactory):
    noisy = False

    def __init__(self, ask: Asks) -> None:
        self.ask = ask

    def buildProtocol(self, addr: object) -> Asks:
        return self.ask


def test_a_stream_cut_at_any_byte_of_chunks_and_line_ends() -> None:
    day = small(seconds=2)
    item = next(i for i in clients.items(day) if not i.key)
    lane, tenant = day.classes[item.cls].name, day.tenants[item.tenant].name
    sid = f"?sid={item.subject}" if item.subject else ""
    half = len(item.body) // 2
    parts = [b"%X\r\n%s\r\n" % (len(part), part) for part in (item.body[:half], item.body[half:]) if part]
    body = b"".join(parts) + b"0\r\n\r\n"
    play_of = Play(day, PLAIN, None)
    places: dict[bytes, int] = {}
    heard: dict[str, bytes] = {}
    cut: set[int] = set()
    for place in range(len(body) + 3):  # from within the head's last line ends on
        txn = ids.txn(day.seed, item.number, 100 + place)
        data = (
            f"POST /api{sid} HTTP/1.1\r\nHost: n\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Org: {tenant}\r\n"
            "X-Remaining: 9000m\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode() + body
        places[data] = len(data) - len(body) - 3 + place

        def answered(more: bytes, txn: str = txn) -> None:
            heard[txn] = heard.get(txn, b"") + more

        host, port = play_of._places.node(0)
        factory = Dials(Asks(data, answered))
        reactor = play_of._load[0]._scene.reactor  # type: ignore[attr-defined]
        reactor.callLater(2.1 + place * 0.05, reactor.connectTCP, host, port, factory)

    def cuts(self: Links, data: bytes) -> list[int]:
        cut.update([places[data]] if data in places else [])
        return [places[data]] if data in places else []

    with mock.patch.object(Links, "cuts", cuts):
        play_of.run()
    came = [r for r in play_of.ledger.records if isinstance(r, rec.Came) and r.txn in heard]
    whole = {r.txn for r in came if r.body_same}  # one that waits may move to another box
    assert len(heard) == len(places) == len(whole) == len(cut) and all(r.body_same for r in came)
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in heard.values()), heard


def test_datagrams_that_all_come_twice() -> None:
    day = small(Trouble("twice", 0, 60 * SECOND, factor=1.0))
    day = msgspec.structs.replace(day, links=msgspec.structs.replace(day.links, datagram_loss=0.0))
    counters = play(day).counters
    told, heard = (sum(c.get(name, 0) for c in counters) for name in ("told", "heard"))
    assert told > 5 and heard > 1.8 * told


def test_callbacks_that_overtake_their_202() -> None:
    reply = BoxConnection.reply

    def late(self: BoxConnection, run: Any, status: int) -> None:
        if status == 202:
            self.place.party.later(400_000, reply, self, run, status)
        else:
            reply(self, run, status)

    with mock.patch.object(BoxConnection, "reply", late):
        outcome = play(small())
    asked = sum(isinstance(r, rec.Sent) for r in outcome.records)
    assert asked > 20 and len(served(outcome)) == asked
    done = [r.at for r in outcome.records if isinstance(r, rec.Called) and r.state == "done"]
    assert len(done) == asked


def test_time_that_stands_still_for_a_second() -> None:
    outcome = play(small(Trouble("clock", SECOND, 2 * SECOND, nodes=(0, 1))))
    during = [r for r in served(outcome) if SECOND < r.at < 2 * SECOND]
    assert during  # what needs no clock goes on
    assert len(served(outcome)) == sum(isinstance(r, rec.Sent) for r in outcome.records)


@pytest.mark.parametrize("kind", ["restart", "kill"])
def test_both_nodes_of_a_hall_go_within_the_same_second(kind: str) -> None:
    """Nobody takes a connection for a while: no rule is broken, and both serve when they are back."""
    day = small(
        *(Trouble(kind, SECOND + n * 300_000, 2 * SECOND, nodes=(n,)) for n in (0, 1)),
        seconds=12,
        nodes=(0, 0),
    )
    outcome = play(day)
    lives = [r for r in outcome.records if isinstance(r, rec.NodeLife) and r.life]
    back = {r.node: r.at for r in lives if r.what == "ready"}
    assert set(back) == {0, 1}
    sent = {r.txn: r.node for r in outcome.records if isinstance(r, rec.Sent) and r.at > back[r.node]}
    assert {sent[a.txn] for a in served(outcome) if a.txn in sent} == {0, 1}
