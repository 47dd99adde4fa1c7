"""A reactor whose turns a test controls, on a virtual clock: signals, then timers, then sockets in any order.

It keeps to the order of Twisted's main loop and of `net.reactor`: what an event or the timers have written
leaves right after them, a connection that is aborted is closed by a timer of the next turn, and an answer
that lies unread as a timer comes due is read after it.  Between any two steps the process may stand still
while the network goes on.  Times are microseconds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError, UserError
from twisted.python.failure import Failure

MS = 1_000
SECOND = 1_000 * MS
MAX_TURNS = 200_000  # of one play

REFUSED: Any = Failure(ConnectionRefusedError())  # type: ignore[no-untyped-call]
STOPPED: Any = Failure(UserError())  # type: ignore[no-untyped-call]
DONE: Any = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
LOST: Any = Failure(ConnectionLost())  # type: ignore[no-untyped-call]


class Network:
    """What happens outside of the process, in the order of time."""

    def __init__(self) -> None:
        self.now = SECOND
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._number = itertools.count()

    def after(self, wait: int, what: Callable[[], object]) -> None:
        heapq.heappush(self._events, (self.now + max(0, wait), next(self._number), what))

    @property
    def next_at(self) -> int | None:
        return self._events[0][0] if self._events else None

    def advance(self, until: int) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, what = heapq.heappop(self._events)
            self.now = max(self.now, at)
            what()
        self.now = max(self.now, until)


class Timer:
    def __init__(self, at: int, what: Callable[[], object]) -> None:
        self.at, self.what, self.cancelled = at, what, False

    def cancel(self) -> None:
        self.cancelled = True

    def active(self) -> bool:
        return not self.cancelled


class Listener:
    """The other side of connections to one address."""

    def connect(self, link: Link) -> None:
        """A connection is being opened: `link.accept`, `link.refuse`, or neither."""
        link.accept()

    def received(self, link: Link, data: bytes) -> None:
        """Bytes have come from the process."""

    def ended(self, link: Link) -> None:
        """The process has closed its end."""


class Link:
    """A connection of the process: its transport and its connector, and what the other side does with it."""

    def __init__(self, reactor: TurnReactor, listener: Listener, factory: Any, latency: int) -> None:
        self._reactor, self.listener, self.factory, self.latency = reactor, listener, factory, latency
        self.protocol: Any = None
        self.producer: Any = None
        self.transport: Any = self  # as a connector's
        self.connecting, self.open, self.aborted = True, False, False
        self.closed_by_peer = False
        self.known_closed = False  # the other side knows of our end
        self.dataBuffer, self.offset, self._tempDataLen = b"", 0, 0  # as Twisted's
        self._ready: list[bytes | Failure | None] = []  # unread; None: the connection is up

    # The other side's.

    def accept(self, wait: int = 0) -> None:
        self._arrive(wait, None)

    def refuse(self, wait: int = 0) -> None:
        self._arrive(wait, REFUSED)

    def send(self, data: bytes) -> None:
        """The other side writes; whether it may still arrive is not known to it."""
        self._arrive(self.latency, data)

    def close(self, reset: bool = False) -> None:
        if not self.closed_by_peer:
            self.closed_by_peer = True
            self._arrive(self.latency, LOST if reset else DONE)

    def _arrive(self, wait: int, what: bytes | Failure | None) -> None:
        def arrived() -> None:
            if self.connecting or self.open:
                self._ready.append(what)
                self._reactor.readable[self] = None

        self._reactor.network.after(wait, arrived)

    # The reactor's.

    @property
    def has_event(self) -> bool:
        return bool(self._ready) and (self.connecting or self.open) and not self.aborted

    def handle(self) -> None:
        """One event of the socket, as a call of `doRead` or `doConnect`."""
        what = self._ready.pop(0)
        if self._ready:
            self._reactor.readable[self] = None
        if what is None:
            self.connecting, self.open = False, True
            self.protocol = self.factory.buildProtocol(None)
            self.protocol.makeConnection(self)
        elif isinstance(what, bytes):
            while self._ready and isinstance(more := self._ready[0], bytes):
                what += more
                del self._ready[0]
            self.protocol.dataReceived(what)
        elif self.connecting:
            self.connecting = False
            self.factory.clientConnectionFailed(self, what)
        else:
            self._lose(what)

    def flush(self) -> None:
        data, self.dataBuffer = self.dataBuffer, b""
        if not self.open or not data:
            return
        if not self.aborted:
            self._reactor.network.after(self.latency, lambda: self.listener.received(self, data))
            self._reactor.wrote(self, data)
        if self.producer is not None:
            self.producer.resumeProducing()

    def _lose(self, reason: Any) -> None:
        if not self.open:
            return
        self.open = False
        self._ready.clear()
        self.protocol.connectionLost(reason)
        self.factory.clientConnectionLost(self, reason)
        self._tell_end()

    def _tell_end(self) -> None:
        def told() -> None:
            self.known_closed = True
            self.listener.ended(self)

        self._reactor.network.after(self.latency, told)

    # The program's.

    def getHandle(self) -> Link:
        return self

    def doRead(self) -> None:
        self.handle()

    def recv(self, size: int, flags: int) -> bytes:
        """Only ever a look."""
        if not self._ready:
            raise BlockingIOError
        first = self._ready[0]
        return first[:size] if isinstance(first, bytes) else b""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def writeSequence(self, data: Sequence[bytes]) -> None:
        self.dataBuffer += b"".join(data)
        self._reactor.unflushed[self] = None

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def abortConnection(self) -> None:
        if not self.aborted and self.open:
            self.aborted = True
            self._reactor.callLater(0, self._lose, LOST)

    def loseConnection(self) -> None:
        if not self.aborted and self.open:
            self.aborted = True
            self._reactor.callLater(0, self._lose, DONE)

    def disconnect(self) -> None:
        """As a connector's."""
        if self.connecting:
            self.connecting = False
            self._ready.clear()
            self.factory.clientConnectionFailed(self, STOPPED)
            self._tell_end()
        else:
            self.loseConnection()


class TurnReactor:
    """`random` draws the order of a turn's sockets; `stall` gives how long the process stands still before
    its next step."""

    def __init__(self, network: Network, random: Random, stall: Callable[[], int] = lambda: 0) -> None:
        self.network, self._random, self._stall = network, random, stall
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.latency: Callable[[], int] = lambda: 100
        self.readable: dict[Any, None] = {}  # sockets with an event, in the order of their arrival
        self.unflushed: dict[Link, None] = {}
        self.wrote: Callable[[Link, bytes], None] = lambda link, data: None
        self.links: list[Link] = []
        self._timers: list[tuple[int, int, Timer]] = []
        self._number = itertools.count()
        self._from_threads: list[Callable[[], object]] = []
        self._polled_at = self._polled_before = network.now

    # As Twisted's.

    def callLater(self, wait: float, what: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(self.network.now + round(wait * SECOND), lambda: what(*args))
        heapq.heappush(self._timers, (timer.at, next(self._number), timer))
        return timer

    def callFromThread(self, what: Callable[[], object]) -> None:
        self._from_threads.append(what)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: Any = None) -> Link:
        listener = self.listeners.get((host, port))
        link = Link(self, listener or Listener(), factory, self.latency())
        self.links.append(link)
        factory.startedConnecting(link)
        if listener is None:
            link.refuse()
        else:
            listener.connect(link)
        return link

    def behind(self) -> int:
        """As `net.reactor.Reactor.behind`."""
        return self.network.now - self._polled_before

    # Turns.

    def run(self, until: int) -> None:
        for _ in range(MAX_TURNS):
            self._turn()
            if self._from_threads or self.readable:
                continue
            soonest = [at for at in (self._next_timer(), self.network.next_at) if at is not None]
            if not soonest or min(soonest) > until:
                self.network.advance(until)
                return
            self.network.advance(max(self.network.now, min(soonest)))
        raise AssertionError("the reactor never rests")

    def _next_timer(self) -> int | None:
        while self._timers and self._timers[0][2].cancelled:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def _stand_still(self) -> None:
        stalled = self._stall()
        if stalled:
            self.network.advance(self.network.now + stalled)

    def _turn(self) -> None:
        calls, self._from_threads = self._from_threads, []
        for call in calls:
            call()
        self._stand_still()
        self._run_timers()
        self._flush()
        self._stand_still()
        self._polled_before, self._polled_at = self._polled_at, self.network.now
        ready = [socket for socket in self.readable if socket.has_event]
        self.readable.clear()
        self._random.shuffle(ready)
        for socket in ready:
            if socket.has_event:
                socket.handle()
                self._flush()
                self._stand_still()

    def _run_timers(self) -> None:
        now, due = self.network.now, []
        while (at := self._next_timer()) is not None and at <= now:
            due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            if not timer.cancelled:
                timer.cancelled = True
                timer.what()

    def _flush(self) -> None:
        while self.unflushed:
            link = next(iter(self.unflushed))
            del self.unflushed[link]
            link.flush()
