"""The simulated stage.  What its transports promise is asked of Twisted's own reactor too: the same cases."""

from __future__ import annotations

import gc
import os
import socket
import subprocess
import sys
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import error
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.interfaces import IHalfCloseableProtocol, IPullProducer, IPushProducer
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from xxhash import xxh64_hexdigest
from zope.interface import implementer  # type: ignore[import-untyped]

from violetsaddle import Balancer
from violetsaddle.lab import yardsticks
from violetsaddle.lab.records import Answer, Fault, GaveUp, LeftOver, Mark, NodeLife, Record, Sent, Strange
from violetsaddle.lab.sim.loop import Loop
from violetsaddle.lab.sim.network import Host, Network
from violetsaddle.lab.sim.reactor import SimReactor
from violetsaddle.lab.sim.stage import SimStage
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.reactor import Reactor
from violetsaddle.net.slots import SlotTable
from violetsaddle.world import day as world
from violetsaddle.world import scenario
from violetsaddle.world.day import MS, SECOND, Day, LinkSpec, LoadSpec, RosterSpec, Trouble
from violetsaddle.world.links import CLIENTS, ROSTER, Links, Place

PATIENCE = 10 * SECOND
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


def make_day(*troubles: Trouble, **links: Any) -> Day:
    values: dict[str, Any] = {
        "same": 100,
        "cross": 600,
        "client": 300,
        "jitter": 0.2,
        "datagram_least": 2 * MS,
        "datagram_most": 9 * MS,
        "datagram_loss": 0.0,
        "datagram_twice": 0.0,
        "cut_bytes": 0.3,
        **links,
    }
    return Day(
        "test",
        1,
        20 * SECOND,
        ("a", "b"),
        (0, 1),
        (),
        (),
        (),
        (),
        LinkSpec(**values),
        LoadSpec(1, 0, 1, (1, 0), 1, 0, 1, 0, 0, 0, 0),
        RosterSpec(1, 1, 1, 1, 1, 1, 1),
        troubles=troubles,
    )


class Real:
    """Both ends on one of Twisted's reactors, over loopback."""

    at = "127.0.0.1"

    def __init__(self, make: Any = EPollReactor) -> None:
        self.client = self.server = self._reactor = make()

    def until(self, done: Callable[[], object], what: str) -> None:
        late: list[bool] = []
        call = self._reactor.callLater(PATIENCE / SECOND, late.append, True)
        while not done() and not late:
            self._reactor.iterate(0.01)
        if late:
            raise AssertionError(f"never: {what}")
        call.cancel()

    def close(self) -> None:
        for reader in self._reactor.removeAll():
            reader.connectionLost(connectionDone)
        self._reactor._poller.close()


class Sim:
    """A client's process and a server's, in two halls."""

    at = "10.0.0.2"

    def __init__(self, day: Day | None = None) -> None:
        self.day = day or make_day()
        self.loop = Loop()
        self.network = Network(self.loop, Links(self.day, world.chance(self.day.seed, "net")))
        self.near = Host(self.network, "near", Place(0, node=0), "10.0.0.1")
        self.far = Host(self.network, "far", Place(1, box=1), "10.0.0.2")
        self.client, self.server = SimReactor(self.network, self.near), SimReactor(self.network, self.far)
        self.faults: list[BaseException] = []
        self.client.on_fault = self.server.on_fault = self.faults.append

    def until(self, done: Callable[[], object], what: str) -> None:
        end = self.loop.now + PATIENCE
        while not done() and self.loop.now < end:
            self.loop.run(self.loop.now + 100)
        if not done():
            raise AssertionError(f"never: {what}")

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + int(seconds * SECOND))

    def close(self) -> None:
        self.client.kill()
        self.server.kill()


Hook = Callable[["End"], object]


class End(Protocol):
    """Keeps what it hears; hooks act for it."""

    transport: Any

    def __init__(self, made: Hook | None = None, data: Hook | None = None) -> None:
        self._made, self._data = made, data
        self.heard, self.events, self.pieces = bytearray(), list[str](), 0

    def connectionMade(self) -> None:
        self.events.append("made")
        if self._made is not None:
            self._made(self)

    def dataReceived(self, data: bytes) -> None:
        self.heard += data
        self.pieces += 1
        if self._data is not None:
            self._data(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.events.append(type(reason.value).__name__)


@implementer(IHalfCloseableProtocol)
class HalfEnd(End):
    def readConnectionLost(self) -> None:
        self.events.append("read end")

    def writeConnectionLost(self) -> None:
        self.events.append("write end")


class Accepts(Factory):
    noisy = False

    def __init__(self, *ends: End) -> None:
        self.ends, self.taken = ends, 0

    def buildProtocol(self, addr: object) -> End:
        self.taken += 1
        return self.ends[self.taken - 1]


class Dials(ClientFactory):
    noisy = False

    def __init__(self, end: End) -> None:
        self.end, self.failed, self.lost = end, "", ""

    def buildProtocol(self, addr: object) -> End:
        return self.end

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.failed = type(reason.value).__name__

    def clientConnectionLost(self, connector: object, reason: Failure) -> None:
        self.lost = type(reason.value).__name__


@implementer(IPullProducer)
class Pulled:
    """Writes its pieces as it is asked for them, and unregisters when asked once more."""

    def __init__(self, end: End, *pieces: bytes) -> None:
        self._end, self._pieces, self.asked, self.out = end, list(pieces), 0, False
        end.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        self.asked += 1
        if self._pieces:
            self._end.transport.write(self._pieces.pop(0))
        else:
            self.out = True
            self._end.transport.unregisterProducer()

    def stopProducing(self) -> None:
        self.out = True


@implementer(IPushProducer)
class Pushing:
    def __init__(self) -> None:
        self.calls: list[str] = []

    def pauseProducing(self) -> None:
        self.calls.append("pause")

    def resumeProducing(self) -> None:
        self.calls.append("resume")

    def stopProducing(self) -> None:
        self.calls.append("stop")


def lose(end: End) -> None:
    end.transport.loseConnection()


def lose_after_five(end: End) -> None:
    if len(end.heard) == 5:
        lose(end)


class Conformance:
    """Cases that hold on both reactors."""

    stand: Real | Sim
    equal: Callable[..., None]
    late_answer = b""

    def listen(self, *ends: End, backlog: int = 50) -> Any:
        return self.stand.server.listenTCP(0, Accepts(*ends), backlog, self.stand.at)

    def dial(self, port: Any, end: End, timeout: float | None = 5) -> tuple[Any, Dials]:
        dials = Dials(end)
        connector = self.stand.client.connectTCP(self.stand.at, port.getHost().port, dials, timeout=timeout)
        return connector, dials

    def endpoint(self, port: Any, end: End) -> Any:
        factory: Any = Accepts(end)
        return TCP4ClientEndpoint(self.stand.client, self.stand.at, port.getHost().port).connect(factory)

    def pair(self, server: End, client: End) -> tuple[End, End]:
        """Both ends, the connection being up."""
        self.port = self.listen(server)
        self.dialled = self.dial(self.port, client)
        self.stand.until(lambda: server.events and client.events, "connected")
        return server, client

    @staticmethod
    def peeked(handle: Any) -> bytes:
        try:
            return bytes(handle.recv(1, PEEK))
        except BlockingIOError:
            return b""

    def over(self, *ends: End) -> list[list[str]]:
        self.stand.until(
            lambda: all(e.events and e.events[-1] not in ("made", "read end", "write end") for e in ends),
            "both ends are over",
        )
        return [e.events for e in ends]

    def test_echo(self) -> None:
        def echo(end: End) -> None:
            if len(end.heard) == 5:
                end.transport.write(bytes(end.heard))

        server, client = self.pair(
            End(data=echo), End(lambda e: e.transport.write(b"hello"), lose_after_five)
        )
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)
        self.equal((server.heard, client.heard), (b"hello", b"hello"))
        self.stand.until(lambda: self.dialled[1].lost, "the factory hears of it")
        self.equal(self.dialled[1].lost, "ConnectionDone")

    def test_close_after_all_is_out(self) -> None:
        whole = bytes(range(256)) * 4096

        def made(end: End) -> None:
            end.transport.writeSequence([whole[:7], whole[7:]])
            end.transport.loseConnection()

        server, client = self.pair(End(), End(made))
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)
        self.equal(server.heard == whole, True)

    def test_half_close(self) -> None:
        def made(end: End) -> None:
            end.transport.write(b"ask")
            end.transport.loseWriteConnection()

        server, client = self.pair(HalfEnd(), HalfEnd(made))
        self.stand.until(lambda: "read end" in server.events, "the stream's end")
        server.transport.write(b"answer")
        server.transport.loseConnection()
        self.stand.until(lambda: "read end" in client.events, "the answer's end")
        self.equal((server.heard, client.heard), (b"ask", b"answer"))
        client.transport.write(b"nothing more goes out")
        client.transport.loseConnection()
        self.equal(
            self.over(server, client),
            [["made", "read end", "ConnectionDone"], ["made", "write end", "read end", "ConnectionDone"]],
        )
        self.equal(server.heard, b"ask")

    def test_half_close_ends_a_plain_protocol(self) -> None:
        server, client = self.pair(End(), End(lambda e: e.transport.loseWriteConnection()))
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)

    def test_an_end_that_comes_with_the_data(self) -> None:
        """Twisted reads it before it writes: a plain protocol's answer is lost there."""

        def made(end: End) -> None:
            end.transport.write(b"ask")
            end.transport.loseWriteConnection()

        def answer(end: End) -> None:
            if end.heard == b"ask":
                end.transport.write(b"answer")

        server, client = self.pair(End(data=answer), End(made))
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)
        self.equal((server.heard, client.heard), (b"ask", self.late_answer))

    def test_close_with_something_unread(self) -> None:
        server, client = self.pair(End(lambda e: e.transport.pauseProducing()), End())
        client.transport.write(b"unread")
        handle = server.transport.getHandle()
        self.stand.until(lambda: self.peeked(handle), "it came")
        server.transport.write(b"written")
        server.transport.loseConnection()
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)
        self.equal((server.heard, client.heard), (b"", b"written"))

    def test_abort(self) -> None:
        server, client = self.pair(End(), End())
        client.transport.write(b"never")
        client.transport.abortConnection()
        self.equal(client.events, ["made"])  # not from within the call
        self.equal(self.over(server, client), [["made", "ConnectionLost"], ["made", "ConnectionAborted"]])
        self.equal(server.heard, b"")

    def test_reset_from_a_closed_end(self) -> None:
        server, client = self.pair(End(lose), HalfEnd())
        self.stand.until(lambda: "read end" in client.events, "the end")
        # One that no longer reads learns of a reset as it writes.
        self.stand.until(lambda: client.transport.write(b"anybody?") or len(client.events) > 2, "the reset")
        self.equal(self.over(client), [["made", "read end", "ConnectionLost"]])

    def test_refused(self) -> None:
        port = self.listen()
        gone: list[object] = []
        port.stopListening().addCallback(gone.append)
        self.stand.until(lambda: gone, "stopped")
        at = self.stand.server.listenTCP(0, Accepts(), 5, self.stand.at)
        number = at.getHost().port
        at.stopListening().addCallback(gone.append)
        self.stand.until(lambda: len(gone) == 2, "stopped again")
        dials = Dials(End())
        self.stand.client.connectTCP(self.stand.at, number, dials)
        self.equal(dials.failed, "")
        self.stand.until(lambda: dials.failed, "failed")
        self.equal(dials.failed, "ConnectionRefusedError")

    def test_backlog_timeout_and_cancel(self) -> None:
        server, first, second, third = End(), End(lambda e: e.transport.write(b"early")), End(), End()
        port = self.listen(server, backlog=0)
        port.stopReading()
        self.dial(port, first)
        self.stand.until(lambda: first.events, "the kernel takes one")
        _, late = self.dial(port, second, 0.05)
        self.stand.until(lambda: late.failed, "no room")
        self.equal(late.failed, "TimeoutError")
        connector, stopped = self.dial(port, third, None)
        connector.stopConnecting()
        self.equal((stopped.failed, connector.state), ("UserError", "disconnected"))
        why: list[Any] = []
        coming = self.endpoint(port, third)
        coming.addErrback(why.append)
        coming.cancel()
        self.equal(why[0].type, error.ConnectingCancelledError)
        self.equal((server.events, third.events), ([], []))
        port.startReading()
        self.stand.until(lambda: server.heard == b"early", "it was kept")

    def test_endpoint(self) -> None:
        port, server, client, up = self.listen(server := End()), server, End(), list[Any]()
        self.endpoint(port, client).addCallback(up.append)
        self.stand.until(lambda: up and server.events, "up")
        self.equal(up, [client])
        self.equal(client.transport.getPeer().port, port.getHost().port)
        self.equal(client.transport.getHost().port, server.transport.getPeer().port)
        client.transport.loseConnection()
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)

    def test_pull_producer(self) -> None:
        server, client = self.pair(End(), End())
        pulled = Pulled(client, b"one ", b"two")
        self.equal((pulled.asked, pulled.out), (1, False))
        client.transport.loseConnection()  # waits for the producer
        self.equal(self.over(server, client), [["made", "ConnectionDone"]] * 2)
        self.equal((pulled.asked, server.heard), (3, b"one two"))

    def test_push_producer(self) -> None:
        server, client = self.pair(End(), End())
        pushing = Pushing()
        client.transport.registerProducer(pushing, True)
        client.transport.write(b"x" * 70_000)
        self.equal(pushing.calls, ["pause"])
        self.stand.until(lambda: len(server.heard) == 70_000, "all came")
        self.equal(pushing.calls, ["pause", "resume"])
        client.transport.abortConnection()
        self.over(server, client)
        self.equal(pushing.calls, ["pause", "resume", "stop"])

    def test_paused_reader_holds_the_writer(self) -> None:
        server, client = self.pair(End(lambda e: e.transport.pauseProducing()), End())
        pieces = [bytes([n]) * 1_000_000 for n in range(24)]
        pulled = Pulled(client, *pieces)
        still = list[bool]()
        self.stand.client.callLater(0.3, still.append, True)
        self.stand.until(lambda: still, "some time")
        self.equal((pulled.out, server.heard), (False, b""))
        server.transport.resumeProducing()
        server.transport.resumeProducing()  # means no more than once
        self.stand.until(lambda: pulled.out and len(server.heard) == 24_000_000, "all came")
        self.equal(server.heard == b"".join(pieces), True)

    def test_peek(self) -> None:
        server, client = self.pair(End(lambda e: e.transport.pauseProducing()), End())
        handle = server.transport.getHandle()
        with self.raises(BlockingIOError):
            handle.recv(1, PEEK)

        client.transport.write(b"seen")
        self.stand.until(lambda: self.peeked(handle), "something to read")
        self.equal((self.peeked(handle), server.heard), (b"s", b""))
        server.transport.resumeProducing()
        self.stand.until(lambda: server.heard == b"seen", "read at last")

    def test_fault_in_a_protocol(self) -> None:
        def fail(end: End) -> None:
            raise ValueError("planted")

        server, client = self.pair(End(data=fail), End(lambda e: e.transport.write(b"x")))
        self.equal(self.over(server, client), [["made", "ValueError"], ["made", "ConnectionDone"]])

    def test_no_protocol(self) -> None:
        class Shy(Accepts):
            def buildProtocol(self, addr: object) -> Any:
                return None

        port = self.stand.server.listenTCP(0, Shy(), 5, self.stand.at)
        _, dials = self.dial(port, client := End())
        self.equal(self.over(client), [["made", "ConnectionDone"]])

    def test_calls(self) -> None:
        done: list[str] = []
        reactor = self.stand.client
        first, second = reactor.callLater(0.01, done.append, "a"), reactor.callLater(0.02, done.append, "b")
        third = reactor.callLater(0.03, done.append, "c")
        first.reset(0.05)
        third.cancel()
        with self.raises(error.AlreadyCancelled):
            third.cancel()
        second.delay(0.005)
        self.equal([call.active() for call in (first, second, third)], [True, True, False])
        self.equal(first.getTime() > second.getTime(), True)
        self.stand.until(lambda: len(done) == 2, "both")
        self.equal(done, ["b", "a"])
        with self.raises(error.AlreadyCalled):
            first.cancel()

    def test_datagrams(self) -> None:
        class Hears(DatagramProtocol):
            noisy = False
            transport: Any

            def __init__(self) -> None:
                self.heard: list[tuple[bytes, Any]] = []

            def datagramReceived(self, data: bytes, addr: Any) -> None:
                self.heard.append((data, addr))

        one, other = Hears(), Hears()
        here = "127.0.0.1" if isinstance(self.stand, Real) else "10.0.0.1"
        ports = [
            self.stand.client.listenUDP(0, one, here),
            self.stand.server.listenUDP(0, other, self.stand.at),
        ]
        one.transport.write(b"word", (self.stand.at, ports[1].getHost().port))
        self.stand.until(lambda: other.heard, "heard")
        self.equal(other.heard, [(b"word", (here, ports[0].getHost().port))])
        with self.raises(error.CannotListenError):
            self.stand.server.listenUDP(ports[1].getHost().port, Hears(), self.stand.at)

    raises: Callable[..., Any]


class RealReactor(Conformance, unittest.TestCase):
    def setUp(self) -> None:
        self.stand = Real()
        self.addCleanup(self.stand.close)
        self.equal, self.raises = self.assertEqual, self.assertRaises


class ReactorOfTheNode(Conformance, unittest.TestCase):
    late_answer = b"answer"  # written before the end is read

    def setUp(self) -> None:
        self.stand = Real(Reactor)
        self.addCleanup(self.stand.close)
        self.equal, self.raises = self.assertEqual, self.assertRaises


class SimulatedReactor(Conformance, unittest.TestCase):
    def setUp(self) -> None:
        self.stand = Sim()
        self.equal, self.raises = self.assertEqual, self.assertRaises


class Streams(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.binary(min_size=1, max_size=300), min_size=1, max_size=8), st.integers(0, 1000))
    def test_cuts_never_change_a_stream(self, writes: list[bytes], seed: int) -> None:
        """Any bytes, written in any turns, arrive as they were, in more pieces."""
        stand = Sim(msgspec.structs.replace(make_day(cut_bytes=1.0, jitter=0.9), seed=seed))
        server, client = End(), End()
        stand.server.listenTCP(80, Accepts(server), interface=stand.at)
        stand.client.connectTCP(stand.at, 80, Dials(client))
        stand.until(lambda: client.events, "up")
        for wait, data in enumerate(writes):
            stand.client.callLater(wait * 0.0002, client.transport.write, data)
        stand.run(1)
        self.assertEqual(bytes(server.heard), b"".join(writes))
        self.assertGreaterEqual(server.pieces, min(2, len(b"".join(writes))))

    def test_cut_within_line_ends_and_sizes(self) -> None:
        """Every place of a chunked message is cut sooner or later."""
        links, found = Links(make_day(cut_bytes=1.0), world.chance(1, "net")), set[int]()
        data = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n"
        for _ in range(2000):
            found.update(links.cuts(data))
        self.assertEqual(found, set(range(1, len(data))))
        self.assertEqual(Links(make_day(cut_bytes=0.0), world.chance(1, "net")).cuts(data), [])


class Processes(unittest.TestCase):
    """What happens to whole processes, machines and links."""

    def up(self, *troubles: Trouble, **links: Any) -> tuple[Sim, End, End]:
        stand = Sim(make_day(*troubles, **links))
        self.server, self.client = End(), HalfEnd()
        self.port = stand.server.listenTCP(80, Accepts(self.server, End(), End()), interface=stand.at)
        stand.client.connectTCP(stand.at, 80, Dials(self.client))
        stand.run(0.01)
        self.assertEqual((self.server.events, self.client.events), (["made"], ["made"]))
        return stand, self.server, self.client

    def test_kill(self) -> None:
        stand, server, client = self.up()
        stand.server.callLater(0.5, self.fail)
        server.transport.write(b"sent before")
        stand.run(0)
        stand.server.kill()
        server.transport.write(b"not any more")
        stand.run(1)
        self.assertEqual((bytes(client.heard), client.events), (b"sent before", ["made", "ConnectionLost"]))
        self.assertEqual((server.events, stand.server.sockets(), stand.server.timers), (["made"], [], 0))
        stand.client.connectTCP(stand.at, 80, dials := Dials(End()))
        stand.run(0.01)
        self.assertEqual(dials.failed, "ConnectionRefusedError")

    def test_exit_closes(self) -> None:
        stand, server, client = self.up()
        server.transport.write(b"last")
        stand.run(0)
        stand.server.stop()
        stand.server.on_stop = stand.server.exit
        stand.run(1)
        self.assertEqual((bytes(client.heard), client.events), (b"last", ["made", "read end"]))

    def test_pause(self) -> None:
        """The kernel goes on; the process finds all of it later, in order."""
        stand, server, client = self.up()
        done: list[str] = []
        server._data = lambda end: done.append("data")
        stand.server.callLater(0.2, done.append, "call")
        stand.server.callLater(0.4, done.append, "later call")
        stand.server.pause()
        stand.client.callLater(0.3, client.transport.write, b"waits")
        stand.client.connectTCP(stand.at, 80, dials := Dials(End()))
        stand.run(1)
        self.assertEqual((done, server.heard, dials.end.events), ([], b"", ["made"]))
        stand.server.resume()
        stand.run(0)
        self.assertEqual((done, server.heard), (["call", "data", "later call"], b"waits"))
        self.assertEqual(self.port.factory.taken, 2)

    def test_silence(self) -> None:
        """Nothing passes; what was open is reset when the machine is back, at both ends."""
        stand, server, client = self.up(Trouble("silence", SECOND, 6 * SECOND, boxes=(1,)))
        stand.run(1)
        client.transport.write(b"into the dark")
        tries = [Dials(End()), Dials(End())]
        stand.client.connectTCP(stand.at, 80, tries[0], timeout=2)
        stand.client.connectTCP(stand.at, 80, tries[1], timeout=None)
        stand.run(4.9)
        self.assertEqual((server.heard, server.events, client.events), (b"", ["made"], ["made"]))
        self.assertEqual((tries[0].failed, tries[1].end.events), ("TimeoutError", []))
        stand.run(0.2)
        self.assertEqual([e.events[-1] for e in (server, client)], ["ConnectionLost"] * 2)
        stand.run(2.5)  # the handshake is tried after 1, 3 and 7 s
        self.assertEqual(tries[1].end.events, ["made"])

    def test_cuts_between_halls(self) -> None:
        """What is lost in a cut is sent again and comes late, in order; one way only one way is lost."""
        for kind, heard in (("cut", b""), ("oneway", b"back")):
            with self.subTest(kind):
                stand, server, client = self.up(Trouble(kind, SECOND, 3 * SECOND, halls=(0,)))
                stand.run(1)
                client.transport.write(b"one ")
                server.transport.write(b"back")
                stand.run(1.5)
                client.transport.write(b"two")
                client.transport.loseConnection()
                self.assertEqual((bytes(server.heard), bytes(client.heard)), (b"", heard))
                stand.run(3)
                self.assertEqual((bytes(server.heard), server.events[-1]), (b"one two", "ConnectionDone"))

    def test_links_know_who_is_cut(self) -> None:
        day = make_day(Trouble("cut", 0, 9, halls=(0,)), Trouble("hall", 9, 20, halls=(1,)))
        links = Links(day, world.chance(1, "net"))
        links.at(0)
        node, box, client, roster = Place(0, node=0), Place(1, box=1), Place(CLIENTS), Place(ROSTER)
        self.assertEqual(
            [links.passes(node, to) for to in (node, box, client, roster)], [True, False, True, False]
        )
        links.at(9)
        self.assertEqual([links.passes(to, box) for to in (node, client, roster)], [False] * 3)
        links.at(20)
        self.assertTrue(links.passes(box, node) and not links.troubled)

    def test_datagrams_lost_and_twice(self) -> None:
        links = Links(
            make_day(Trouble("loss", 0, 10, factor=1.0), Trouble("twice", 10, 20, factor=1.0)),
            world.chance(1, "net"),
        )
        links.at(0)
        here, there = Place(0), Place(1)
        self.assertEqual(links.datagram(here, there), [])
        links.at(10)
        waits = [wait for _ in range(200) for wait in links.datagram(here, there)]
        self.assertEqual((len(waits), min(waits) // MS, max(waits) // MS), (400, 2, 8))
        links.at(20)
        self.assertEqual(len(links.datagram(here, there)), 1)

    def test_faults_are_told(self) -> None:
        stand, server, client = self.up()
        stand.client.callLater(0, lambda: [][0])
        server._data = lambda end: 1 // 0
        client.transport.write(b"x")
        stand.run(1)
        self.assertEqual([type(f) for f in stand.faults], [IndexError, ZeroDivisionError])

    def test_timers_swept_when_cancelled(self) -> None:
        stand = Sim()
        for _ in range(20_000):
            stand.client.callLater(100, self.fail).cancel()
        self.assertLess(len(stand.loop), 9_000)
        self.assertEqual(stand.client.timers, 0)
        stand.run(200)


def small_day(seed: int = 3, seconds: int = 4, **changes: Any) -> Day:
    drawn = scenario.draw(scenario.load("calm"), seed, nodes=2, boxes=4, rate=15, length=seconds * SECOND)
    return msgspec.structs.replace(drawn, **changes)


def digest(outcome: Outcome) -> str:
    told = [outcome.records, outcome.counters, outcome.log, outcome.events, outcome.void]
    return xxh64_hexdigest(msgspec.msgpack.encode(told))


class Stage(unittest.TestCase):
    def play(self, *troubles: Trouble, **changes: Any) -> Outcome:
        outcome = SimStage().play(small_day(troubles=troubles, **changes), Options(after=5 * SECOND))
        self.assertEqual(outcome.void, "")
        return outcome

    def lives(self, outcome: Outcome, node: int) -> list[tuple[int, str]]:
        return [(r.life, r.what) for r in outcome.records if isinstance(r, NodeLife) and r.node == node]

    def clean(self, outcome: Outcome) -> None:
        self.assertEqual([r for r in outcome.records if isinstance(r, (Fault, LeftOver, Strange))], [])

    def test_a_quiet_day(self) -> None:
        outcome = self.play()
        answers = [r.status for r in outcome.records if isinstance(r, Answer)]
        asked = sum(isinstance(r, Sent) for r in outcome.records)
        self.assertGreater(asked, 40)
        self.assertEqual(answers, [200] * asked)
        self.assertEqual(self.lives(outcome, 0), [(0, w) for w in ("start", "ready", "term", "ended")])
        self.assertEqual([r.at for r in outcome.records], sorted(r.at for r in outcome.records))
        self.assertEqual(sum(c["requests"] for c in outcome.counters), asked)
        self.assertEqual([c.get("lists_error", 0) for c in outcome.counters], [0, 0])
        self.clean(outcome)

    def test_troubles_of_nodes(self) -> None:
        outcome = self.play(
            Trouble("kill", SECOND, 2 * SECOND, nodes=(0,)),
            Trouble("pause", SECOND, 2 * SECOND, nodes=(1,)),
            Trouble("clock", 2 * SECOND, 3 * SECOND, nodes=(1,)),
            Trouble("roster_move", SECOND, 2 * SECOND),
            Trouble("restart", 3 * SECOND, 4 * SECOND, nodes=(0,)),
        )
        self.assertEqual(
            self.lives(outcome, 0),
            [
                (0, "start"),
                (0, "ready"),
                (0, "kill"),
                (1, "start"),
                (1, "ready"),
                (1, "term"),
                (1, "ended"),
                (2, "start"),
                (2, "ready"),
                (2, "term"),
                (2, "ended"),
            ],
        )
        self.assertEqual(
            self.lives(outcome, 1), [(0, w) for w in ("start", "ready", "pause", "resume", "term", "ended")]
        )
        self.assertEqual(
            [r.kind for r in outcome.records if isinstance(r, Mark)],
            ["kill", "pause", "roster_move", "clock", "restart"],
        )
        self.assertEqual(outcome.counters[1]["reloads"], 1)
        self.clean(outcome)

    def test_the_same_day_again(self) -> None:
        """Also in another process, where strings hash otherwise."""
        troubles = (
            Trouble("crash", SECOND, 3 * SECOND, boxes=(1,)),
            Trouble("rude", 0, SECOND, factor=9.0),
            Trouble("kill", SECOND, 2 * SECOND, nodes=(0,)),
        )
        first = self.play(*troubles)
        self.assertEqual(digest(first), digest(self.play(*troubles)))
        day = msgspec.json.encode(small_day(troubles=troubles))
        program = (
            "import sys, msgspec; from tests.test_sim import *\n"
            "day = world.decode(sys.stdin.buffer.read())\n"
            "print(digest(SimStage().play(day, Options(after=5 * SECOND))))"
        )
        done = subprocess.run(
            [sys.executable, "-c", program],
            input=day,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": "77"},
        )
        self.assertEqual(done.stdout.decode().strip(), digest(first))
        other = SimStage().play(small_day(4, troubles=troubles), Options(after=5 * SECOND))
        self.assertNotEqual(digest(other), digest(first))

    def test_what_is_left_is_told(self) -> None:
        for where, name, left in (
            (SlotTable, "free", "flows"),
            (SlotTable, "free", "edge connections"),
            (Deadlines, "drop", "deadlines"),
        ):
            with self.subTest(left), mock.patch.object(where, name, lambda *_: None):
                outcome = self.play()
                self.assertIn(left, [r.what for r in outcome.records if isinstance(r, LeftOver)])

    def test_faults_and_ends_of_the_module_are_told(self) -> None:
        class Sulks(Balancer):
            def request(self, now: int, job: str, *rest: Any) -> None:
                self.act.refuse(job, 0)
                raise ValueError("planted")

        with mock.patch.dict(yardsticks.PLAIN, {"sulks": Sulks}):
            outcome = SimStage().play(small_day(), Options("sulks", after=5 * SECOND))
        ended = [r for r in outcome.records if isinstance(r, GaveUp)]
        faults = [r.text for r in outcome.records if isinstance(r, Fault)]
        self.assertGreater(len(ended), 40)
        self.assertEqual(len(faults), len(ended))
        self.assertIn("ValueError: planted", faults[0])
        self.assertNotIn(os.getcwd(), faults[0])

    def test_whoever_watches_may_end_the_play(self) -> None:
        class Enough(Exception):
            pass

        def watch(record: Record) -> None:
            if record.at > SECOND:
                raise Enough

        seen: list[Record] = []
        SimStage().play(small_day(seconds=1), Options(after=SECOND), seen.append)
        self.assertGreater(len(seen), 20)
        with self.assertRaises(Enough):
            SimStage().play(small_day(), Options(after=SECOND), watch)
        self.assertTrue(gc.isenabled())
