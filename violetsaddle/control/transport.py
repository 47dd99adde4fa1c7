"""One-way messages to the other replicas, over one persistent connection to each.

A message is sent at most once, because the replication state machine tolerates lost messages.  A connection
carries one message at a time, and is free again when the answer 204 arrives.  The queue of messages that wait
is bounded."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from violetsaddle.net import http
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines, Patience, Reactor, Transport
from violetsaddle.net.limits import MS, SECOND, Limits

MAX_QUEUED_MESSAGES = 64  # for one replica; beyond it the oldest is dropped
DIAL_TIMEOUT = 500 * MS
ANSWER_TIMEOUT = SECOND


class _PeerConnection(Protocol):
    """A connection to another replica."""

    transport: Transport

    def __init__(self, link: PeerLink) -> None:
        self._link = link
        self._parser = http.Parser(link.limits, 64 * 1024, answers=True)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._link.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
            answer = self._parser.next()
            if answer is not None:
                self._link.on_answer(self, answer.status, answer.keeps_alive and not self._parser.held)
        except http.MalformedError:
            self.transport.abortConnection()
        except Exception as error:
            self._link.counters.fault("a connection to a replica failed", error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._link.on_disconnected(self)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: IAddress | None) -> _PeerConnection:
        return _PeerConnection(self._link)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._link.on_disconnected(None)


class PeerLink:
    """Sends messages to the replica at `host`:`port`."""

    def __init__(
        self, reactor: Reactor, deadlines: Deadlines, limits: Limits, counters: Counters, host: str, port: int
    ) -> None:
        """Connects when the first message is sent."""
        self._reactor, self.limits, self.counters = reactor, limits, counters
        self._host, self._port = host, port
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._connection: _PeerConnection | None = None
        self._connecting = self._in_flight = self._closed = False
        self._answer_timeout = Patience(deadlines, self._on_answer_timeout)

    def send(self, body: bytes) -> None:
        """Queues a message.  It may be lost without an error."""
        if self._closed:
            return
        if len(self._queue) == MAX_QUEUED_MESSAGES:
            self.counters.add("messages_lost")
        self._queue.append(body)
        self._send_next()

    def close(self) -> None:
        """Drops the queued messages and closes the connection."""
        self._closed = True
        self._queue.clear()
        self._answer_timeout.end()
        if self._connection is not None:
            self._connection.transport.loseConnection()

    def _send_next(self) -> None:
        if self._in_flight or not self._queue or self._closed:
            return
        if self._connection is not None:
            self._in_flight = True
            body = self._queue.popleft()
            head = (
                f"POST /replica HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            self._connection.transport.write(head.encode("ascii") + body)
            self.counters.add("messages_sent")
            self._answer_timeout.set(ANSWER_TIMEOUT)
        elif not self._connecting:
            self._connecting = True
            try:
                self._reactor.connectTCP(
                    self._host, self._port, _ConnectionFactory(self), timeout=DIAL_TIMEOUT / SECOND
                )
            except Exception as error:  # such as an invalid host name
                self.counters.fault("can't dial a replica", error)
                self.on_disconnected(None)

    def on_connected(self, connection: _PeerConnection) -> None:
        """Called when the connection is open."""
        self._connecting, self._connection = False, connection
        if self._closed:
            connection.transport.loseConnection()
        self._send_next()

    def on_answer(self, connection: _PeerConnection, status: int, keep_open: bool) -> None:
        """Called when an answer has arrived.  `keep_open`: the connection can carry another message."""
        if connection is not self._connection:
            return
        self._in_flight = False
        self._answer_timeout.rest()
        if status != 204:
            self.counters.add("messages_refused")
        if keep_open:
            self._send_next()
        else:
            self._connection = None
            connection.transport.loseConnection()
            self._send_next()

    def on_disconnected(self, connection: _PeerConnection | None) -> None:
        """Called when the connection closed, or with None when connecting failed.

        The message in flight is lost.  If connecting failed, the queued messages are dropped: they would be
        outdated when the next connection opens."""
        if connection is not self._connection:
            return
        self._connection, self._connecting = None, False
        lost, self._in_flight = int(self._in_flight), False
        self._answer_timeout.rest()
        if connection is None:
            lost = len(self._queue)
            self._queue.clear()
            self.counters.add("dials_failed")
        for _ in range(lost):
            self.counters.add("messages_lost")
        self._send_next()

    def _on_answer_timeout(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
