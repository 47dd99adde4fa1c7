"""One node's requests, module and way to real servers, between a network and a clock that the test holds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.net.callbacks import apply_callback
from violetsaddle.net.connections import ServerConnection
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.edge_shared import FOREVER, Shared
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Failure, Requests
from violetsaddle.net.servers import Servers

ANSWERS = {
    "202": b"202 Accepted",
    "204": b"204 None",
    "500": b"500 Oops",
    "404": b"404 What",
    "503": b"503 No",
    "turned away": b"503 No\r\nX-Turned-Away: 1",
}

ENDED: Any = Reason(ConnectionDone())  # type: ignore[no-untyped-call]


class Wire:
    """The transport of one connection: what is written goes out when the test says so."""

    def __init__(self, net: Net, at: tuple[str, int], factory: Any) -> None:
        self.net, self.at, self.factory = net, at, factory
        self.protocol: ServerConnection | None = None
        self.pending, self.over, self.aborted = b"", False, False
        self.producer: Any = None
        self.transport: Any = self  # as a connector's
        self.message = b""  # the one whose last byte went out last
        self.begun = 0
        self.unread = b""  # lies in the kernel
        self.offset = self._tempDataLen = 0  # with `dataBuffer`: what the kernel has not taken, as in Twisted

    @property
    def dataBuffer(self) -> bytes:
        return self.pending

    def up(self) -> None:
        self.protocol = self.factory.buildProtocol(None)
        assert self.protocol is not None
        self.protocol.makeConnection(self)

    def fail(self) -> None:
        self.over = True
        self.factory.clientConnectionFailed(self, ENDED)

    def flush(self, part: int = 1 << 30) -> None:
        """The kernel takes so many bytes more."""
        if self.over or self.aborted or not self.pending:
            return
        if not self.message.endswith(b"..."):
            self.message, self.begun = b"...", self.net.now
        self.message, self.pending = self.message[:-3] + self.pending[:part] + b"...", self.pending[part:]
        if not self.pending:
            self.message = self.message[:-3]
            if self.producer is not None:
                self.producer.resumeProducing()
            self.net.heard(self)

    def tell(self, data: bytes) -> None:
        if not self.over and self.protocol is not None:
            self.protocol.dataReceived(data)

    def answer(self, what: str) -> None:
        if not self.over and self.protocol is not None:
            self.protocol.dataReceived(b"HTTP/1.1 " + ANSWERS[what] + b"\r\nContent-Length: 0\r\n\r\n")

    def lose(self) -> None:
        if not self.over:
            self.over = True
            if self.protocol is not None:
                self.net.closed(self)
                self.protocol.connectionLost(ENDED)
                self.factory.clientConnectionLost(self, ENDED)
            self.pending = b""

    # What the program calls.

    def getHandle(self) -> Wire:
        return self

    def recv(self, size: int, flags: int) -> bytes:
        """Only ever a look."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def writeSequence(self, data: Sequence[bytes]) -> None:
        self.pending += b"".join(data)

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = True
        self.net.closed(self)
        self.net.clock.callLater(0, self.lose)

    def loseConnection(self) -> None:
        self.flush()  # as the kernel would
        self.net.closed(self)  # it leaves at the turn's end, before what is written after it
        self.net.clock.callLater(0, self.lose)

    def disconnect(self) -> None:
        self.over, self.pending = True, b""


class Client:
    def __init__(self) -> None:
        self.answers: list[str] = []
        self.gone = False

    def is_gone(self) -> bool:
        return self.gone

    def served(self, result: bytes) -> None:
        self.answers.append("served")

    def refused(self, retry_after: int, before_sending: bool) -> None:
        self.answers.append("turned down")

    def failed(self, why: Failure) -> None:
        self.answers.append("failed")


class Job:
    def __init__(self, name: str) -> None:
        self.name = name

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        return f"POST /api {self.name} {host} ".encode(), b"body"


class Net:
    def __init__(self, told: api.Settings, seed: int = 1) -> None:
        self.clock = Clock()
        self.wires: list[Wire] = []
        self.counters = Counters("n")
        self.faults: list[BaseException | None] = []
        self.counters.fault = lambda text, error: self.faults.append(error)  # type: ignore[method-assign]
        deadlines = self.deadlines = Deadlines(self, self, self.counters.fault)
        limits = self.limits = Limits.of(told, 1024)
        names = [str(n) for n in range(len(told.classes))]
        self.requests = Requests(told, names, (), seed, limits, deadlines, self.counters)
        self.servers = Servers(
            self, limits, deadlines, self.counters, self.requests, told, {}, lambda: FOREVER
        )
        self.requests.attempt_sender = self.servers
        self.shared = Shared(self.requests, limits, deadlines, self.counters, self.servers.report)

    @property
    def now(self) -> int:
        return self.monotonic()

    def monotonic(self) -> int:
        return round(self.clock.seconds() * 1_000_000) + 1_000_000

    unix = monotonic

    def callLater(self, wait: float, what: Any, *more: Any) -> Any:
        return self.clock.callLater(wait, what, *more)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: Any) -> None:
        wire = Wire(self, (host, port), factory)
        self.wires.append(wire)
        factory.startedConnecting(wire)

    def listed(self, kind: str, **places: tuple[str, int, int]) -> None:
        """Real servers by name: state, zone, and the last part of the address."""
        gone = [name for name, (state, _, _) in places.items() if state == api.GONE]
        entries = [
            api.Entry(self.servers.number_of(name), zone=zone, cell=zone, state=state)
            for name, (state, zone, _) in places.items()
        ]
        at = {name: ("box", port) for name, (_, _, port) in places.items() if name not in gone}
        self.servers.update_addresses(at, gone, kind != api.DIFF)
        self.requests.listed(kind, entries)

    def ask(self, job: str, cls: int, remaining: int, gone: bool = False) -> Client:
        """`gone`: the client has closed its connection, and the node has not read that yet."""
        client = Client()
        client.gone = gone
        self.requests.arrive(job, str(cls), None, remaining, True, 1.0, None, 0, Job(job), client)
        return client

    def leave(self, job: str) -> None:
        """The client closes its connection, and the node reads that at once."""
        self.requests.leave(self.requests._by_job[job])

    def call(self, job: str, name: str, state: str) -> None:
        apply_callback(self.shared, {"id": job, "from": name, "state": state, "result": "r"})

    def live(self) -> list[Wire]:
        return [w for w in self.wires if not w.over]

    def heard(self, wire: Wire) -> None:
        """A message's last byte has gone out."""

    def closed(self, wire: Wire) -> None:
        """A connection has ended, on either side."""
