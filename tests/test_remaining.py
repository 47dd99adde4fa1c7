"""X-Remaining at the real server is the client's remaining time, wherever the request waited before it was
read.

Guards against a node that forwards the client's time without subtracting how long the request was queued."""

from __future__ import annotations

import contextlib
import re
import signal
import socket
import struct
import threading
import time
from typing import Any
from unittest.mock import Mock

import pytest
from twisted.internet.protocol import Factory

from tests.held import Held
from tests.scenario import address, listener
from tests.wired import Net
from violetsaddle.interface import ACTIVE, RequestClass, Settings
from violetsaddle.net.edge import MAX_MESSAGES_PER_TURN, EdgeConnection
from violetsaddle.net.edge_factory import EdgeFactory
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.limits import SECOND
from violetsaddle.net.transports import LAST_DATA_RECEIVED_OFFSET, MAX_ACCEPTS, ListeningPort

TOLERANCE_S = 0.15
QUEUE_TIME_S = 0.6  # in the kernel buffer or behind another request
CLIENT_TIMEOUT_S = 9.0  # as in `JOB`
RELOAD = "violetsaddle.net.node:Node.reload"
JOB = "POST /api | X-Txn: {} | X-Lane: settle | X-Org: acme | X-Remaining: 9000m | | body"


class Remaining(Held):
    def assert_remaining(self, job: str, sent: float) -> None:
        """The real server that receives the job next gets its remaining time, which began at `sent`."""
        request = self.next_heard([f"~X-Txn: {job}"])
        header = re.search(r"X-Remaining: (\d+)u", request)
        assert header is not None
        remaining = CLIENT_TIMEOUT_S - (time.monotonic() - sent)
        self.assertLess(int(header[1]) / 1e6, remaining + TOLERANCE_S)
        self.assertGreater(int(header[1]) / 1e6, remaining - TOLERANCE_S)

    def test_pipelined_requests(self) -> None:
        self.start()
        first, second, third = (self.message(JOB.format(name)) for name in "abc")
        self.line("c").sock.sendall(first + second)
        sent = time.monotonic()
        self.play("s expect X-Txn: a\ns send 202")
        time.sleep(QUEUE_TIME_S)
        self.line("c").sock.sendall(third)
        third_sent = time.monotonic()
        self.play("s call+ a done result=x\nc expect 200")
        self.assert_remaining("b", sent)
        self.play("s send 202")
        time.sleep(QUEUE_TIME_S)
        self.play("s call+ b done result=x\nc expect 200")
        self.assert_remaining("c", third_sent)

    def test_unread_during_startup(self) -> None:
        with listener() as found:
            listen = address(found)
        self.held_at = listener()
        self.addCleanup(self.held_at.close)
        self.told = {**self.told, "HELD": "import:twisted.internet.defer", "HELD_AT": address(self.held_at)}
        starting = threading.Thread(target=lambda: self.start(listen=listen))
        starting.start()
        stopped = self.at("import:twisted.internet.defer")
        self.port = int(listen.rpartition(":")[2])
        self.play("c send " + JOB.format("a"))
        sent = time.monotonic()
        time.sleep(QUEUE_TIME_S)
        self.go(stopped)
        starting.join()
        self.assert_remaining("a", sent)

    def test_unread_during_a_long_reactor_turn(self) -> None:
        self.start_held(RELOAD)
        self.play("c send GET /up\nc expect 200\nnode send HUP")
        stopped = self.at(RELOAD)
        self.play("c send " + JOB.format("a"))
        sent = time.monotonic()
        time.sleep(QUEUE_TIME_S)
        self.go(stopped)
        self.assert_remaining("a", sent)

    def test_unread_at_a_stopped_process(self) -> None:
        self.start()
        for name, first in (("a", "GET /up"), ("b", None)):
            if first is not None:
                self.play(f"{name} send {first}\n{name} expect 200")
            time.sleep(0.2)  # until the node waits in epoll_wait
            self.program.send_signal(signal.SIGSTOP)
            self.play(f"{name} send " + JOB.format(name))
            sent = time.monotonic()
            time.sleep(QUEUE_TIME_S)
            self.program.send_signal(signal.SIGCONT)
            self.assert_remaining(name, sent)
            self.play("s send 202")


class ClientTransport:
    """An accepted connection, on which bytes have lain in the kernel for `unread_ms`."""

    def __init__(self, unread_ms: int) -> None:
        self.unread_ms = unread_ms
        self.dataBuffer, self.offset, self._tempDataLen = b"", 0, 0
        self.written = b""
        self.closed, self.reading = False, True

    def getHandle(self) -> ClientTransport:
        return self

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return bytes(LAST_DATA_RECEIVED_OFFSET) + struct.pack("=I", self.unread_ms)

    def recv(self, size: int, flags: int) -> bytes:
        raise BlockingIOError

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.written += data

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        self.reading = True

    def loseConnection(self) -> None:
        self.closed = True

    loseWriteConnection = loseConnection


class Accepting:
    """A node that was busy with nothing while accepting was paused."""

    def __init__(self) -> None:
        self.net = Net(Settings(classes=(RequestClass(aim=SECOND, deadline=9 * SECOND),)))
        self.net.listed("snapshot", one=(ACTIVE, 0, 1))
        shared = Shared(
            self.net.requests,
            self.net.limits,
            self.net.deadlines,
            self.net.counters,
            self.net.servers.report,
            lambda: 0,
        )
        self.factory = EdgeFactory(shared)

    def accept(self, unread_ms: int, data: bytes) -> tuple[EdgeConnection, ClientTransport]:
        connection, transport = self.factory.buildProtocol(None), ClientTransport(unread_ms)
        assert connection is not None
        typed: Any = transport
        connection.transport = typed
        connection.connectionMade()
        connection.dataReceived(data)
        return connection, transport

    def left(self, job: str) -> int:
        """Microseconds until the deadline of an open request."""
        requests = self.net.requests
        request = requests._table.get(requests._by_job[job])
        assert request is not None
        return request.deadline - self.net.now


REQUEST = (
    b"POST /api HTTP/1.1\r\nHost: n\r\nX-Txn: %s\r\nX-Lane: 0\r\n"
    b"X-Remaining: 5000m\r\nContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("cause", ["paused", "cut short", "upgrade"])
def test_time_in_the_accept_backlog_counts(cause: str) -> None:
    # The reactor polled all the time, so a request that waited 1.4 s to be accepted was given its 5 s anew.
    node = Accepting()
    if cause == "paused":
        node.factory.gate.pause()
    elif cause == "cut short":
        node.factory.backlog_checked(empty=False)
    else:
        node.factory.gate.connections_wait()
    node.net.clock.advance(1.5)
    node.accept(1400, REQUEST % b"waited")
    assert 3.5 * SECOND < node.left("waited") <= 3.6 * SECOND
    node.factory.backlog_checked(empty=True)
    node.accept(0, REQUEST % b"new")
    assert node.left("new") > 4.9 * SECOND


def test_a_half_request_that_waited_in_the_backlog_ends_2_s_after_it_came() -> None:
    node = Accepting()
    node.factory.gate.pause()
    node.net.clock.advance(1.5)
    _, transport = node.accept(1400, REQUEST[:40])
    node.net.clock.advance(0.59)
    assert not transport.written
    node.net.clock.advance(0.02)
    assert transport.written.startswith(b"HTTP/1.1 408 ") and transport.closed


def test_a_connection_stays_open_after_a_request_that_waited_in_the_backlog() -> None:
    node = Accepting()
    node.factory.gate.pause()
    node.net.clock.advance(1.5)
    _, transport = node.accept(1400, b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 200 ")
    node.net.clock.advance(10)
    assert not transport.closed


def test_messages_of_one_read_are_answered_in_many_turns() -> None:
    # All messages of a read were answered in one go, and others waited for 0.4 s beside one client.
    node, asked = Accepting(), b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n"
    flooding, transport = node.accept(0, asked * 2000)
    answered = transport.written.count(b"HTTP/1.1 200 ")
    assert 0 < answered <= MAX_MESSAGES_PER_TURN and not transport.reading
    _, other = node.accept(0, asked)
    assert other.written.startswith(b"HTTP/1.1 200 ")
    for _ in range(1000):
        node.net.clock.advance(0.0001)
        now = transport.written.count(b"HTTP/1.1 200 ")
        assert now - answered <= MAX_MESSAGES_PER_TURN
        answered = now
    assert answered == 2000 and transport.reading
    assert node.factory.held.total == node.factory.pipelined.total == 0
    assert flooding.idle and flooding._arrivals is None


def test_a_pause_while_nobody_waits_closes_nobody() -> None:
    # The wait was counted from the pause, so that the first to come long after it was closed at once.
    node = Accepting()
    gate, empty = node.factory.gate, True
    gate.is_backlog_empty = lambda: empty
    gate.pause()
    node.net.clock.advance(1.0)
    for _ in range(100):
        node.net.clock.advance(0.02)
    assert gate.paused and not gate.sheds
    empty = False
    for _ in range(15):
        node.net.clock.advance(0.02)
    assert gate.paused and not gate.sheds
    for _ in range(10):
        node.net.clock.advance(0.02)
    assert gate.sheds


class Counting(Factory):
    """Closes each connection, and notes what the port reports of its backlog."""

    noisy = False

    def __init__(self) -> None:
        self.reports: list[bool] = []

    def buildProtocol(self, addr: object) -> None:
        return None

    def backlog_checked(self, empty: bool) -> None:
        self.reports.append(empty)


@pytest.mark.parametrize(
    ("clients", "reports"), [(MAX_ACCEPTS, [True]), (MAX_ACCEPTS + 1, [False, True]), (0, [True])]
)
def test_a_backlog_that_one_turn_empties_counts_as_empty(clients: int, reports: list[bool]) -> None:
    # After exactly as many as a turn accepts, the next connection counted as having waited since then.
    factory, reactor = Counting(), Mock()
    port = ListeningPort(0, factory, 50, "127.0.0.1", reactor)
    port.startListening()
    address = port.getHost()
    with contextlib.ExitStack() as opened:
        opened.callback(port.socket.close)
        for _ in range(clients):
            opened.enter_context(socket.create_connection((address.host, address.port)))
        for _ in reports:
            port.doRead()
    assert factory.reports == reports
