"""One-way messages to the other replicas, each over one kept connection.

A message is written once and never repeated: what is lost is the core's to bear.  A message counts as carried
once its 204 has come; one connection carries one at a time, and what waits behind it has bounds."""

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

WAITING = 64  # messages for one replica; the oldest gives way
DIAL = 500 * MS
ANSWER = SECOND


class _Line(Protocol):
    """One connection to another replica."""

    transport: Transport

    def __init__(self, link: PeerLink) -> None:
        self._link = link
        self._parser = http.Parser(link.limits, 64 * 1024, answers=True)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._link.up(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
            answer = self._parser.next()
            if answer is not None:
                self._link.carried(self, answer.status, answer.keeps_alive and not self._parser.held)
        except http.MalformedError:
            self.transport.abortConnection()
        except Exception as error:
            self._link.counters.fault("a connection to a replica failed", error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._link.down(self)


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: IAddress | None) -> _Line:
        return _Line(self._link)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._link.down(None)


class PeerLink:
    """The way to one other replica at `host`:`port`."""

    def __init__(
        self, reactor: Reactor, deadlines: Deadlines, limits: Limits, counters: Counters, host: str, port: int
    ) -> None:
        """Nothing is dialled before there is a message."""
        self._reactor, self.limits, self.counters = reactor, limits, counters
        self._host, self._port = host, port
        self._waiting: deque[bytes] = deque(maxlen=WAITING)
        self._line: _Line | None = None
        self._dialling = self._busy = self._ended = False
        self._late = Patience(deadlines, self._silent)

    def send(self, body: bytes) -> None:
        """Takes a message; it may be lost without a word."""
        if self._ended:
            return
        if len(self._waiting) == WAITING:
            self.counters.add("messages_lost")
        self._waiting.append(body)
        self._next()

    def end(self) -> None:
        """Nothing is sent any more."""
        self._ended = True
        self._waiting.clear()
        self._late.end()
        if self._line is not None:
            self._line.transport.loseConnection()

    def _next(self) -> None:
        if self._busy or not self._waiting or self._ended:
            return
        if self._line is not None:
            self._busy = True
            body = self._waiting.popleft()
            head = (
                f"POST /replica HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            self._line.transport.write(head.encode("ascii") + body)
            self.counters.add("messages_sent")
            self._late.set(ANSWER)
        elif not self._dialling:
            self._dialling = True
            try:
                self._reactor.connectTCP(self._host, self._port, _Dial(self), timeout=DIAL / SECOND)
            except Exception as error:  # a host that is none
                self.counters.fault("can't dial a replica", error)
                self.down(None)

    def up(self, line: _Line) -> None:
        """The connection has come up."""
        self._dialling, self._line = False, line
        if self._ended:
            line.transport.loseConnection()
        self._next()

    def carried(self, line: _Line, status: int, stays: bool) -> None:
        """An answer has come."""
        if line is not self._line:
            return
        self._busy = False
        self._late.rest()
        if status != 204:
            self.counters.add("messages_refused")
        if stays:
            self._next()
        else:
            self._line = None
            line.transport.loseConnection()
            self._next()

    def down(self, line: _Line | None) -> None:
        """The connection is lost, and what was on its way; or none came up: what waits would be old by the
        time another does."""
        if line is not self._line:
            return
        self._line, self._dialling = None, False
        lost, self._busy = int(self._busy), False
        self._late.rest()
        if line is None:
            lost = len(self._waiting)
            self._waiting.clear()
            self.counters.add("dials_failed")
        for _ in range(lost):
            self.counters.add("messages_lost")
        self._next()

    def _silent(self) -> None:
        if self._line is not None:
            self._line.transport.abortConnection()
