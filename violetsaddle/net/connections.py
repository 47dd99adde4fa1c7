"""Connections that the node makes, to real servers and to discovery, each with one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure as Reason
from zope.interface import implementer  # type: ignore[import-untyped]

from violetsaddle.net import http
from violetsaddle.net.deadlines import Deadlines, Patience, Reactor, Transport, nothing
from violetsaddle.net.limits import Limits
from violetsaddle.net.transports import name_of, unsent, why_lost


class NotConnectedError(Exception):
    """No connection came up: nothing was sent."""

    def __init__(self, why: str) -> None:
        """`why`: the error's symbol as `ECONNREFUSED`, or a few words, for the log."""
        super().__init__(why)
        self.why = why


class BrokenError(Exception):
    """The connection ended before a whole answer."""

    def __init__(self, written: bool, begun: bool, why: str) -> None:
        """`written`: the message's last byte had gone out; `begun`: a part of the answer, or one that can't
        be read, had come; `why`: what ended it, in a few words for the log."""
        super().__init__(why)
        self.written, self.begun, self.why = written, begun, why


class RealServer:
    """A real server as discovery names it."""

    __slots__ = ("name", "number", "host", "port", "idle", "listed", "draining")

    def __init__(self, name: str, number: int) -> None:
        """Without an address until the list gives one; `number`: the one that `Servers.number_of` chose."""
        self.name, self.number, self.host, self.port = name, number, "", 0
        self.idle: list[int] = []  # numbers of connections, the one used last at the end
        self.listed = False
        self.draining = False  # the list says that it wants nothing new

    @property
    def address(self) -> str:
        """Host and port as a `Host` header bears them."""
        return f"{self.host}:{self.port}"


@implementer(IPullProducer)
class ServerConnection(Protocol):
    """One connection to a real server or to discovery; it carries one exchange at a time."""

    transport: Transport

    def __init__(self, limits: Limits, ended: Callable[[ServerConnection], None], most_body: int = 0) -> None:
        """`most_body`: bytes of an answer's body; 0: as real servers' answers."""
        self._limits, self._ended = limits, ended
        self.wrong = ""  # what was wrong with an answer that could not be taken
        self.on_call_failed: Callable[[str, str], None] | None = None  # told of a system call and its error
        self.number = -1
        self.server: RealServer | None = None
        self.idle_timer: Patience | None = None  # None: never idle yet
        self._parser = http.Parser(limits, most_body or limits.answer_body, answers=True)
        self._answer: Deferred[http.Message] | None = None
        self._message: Sequence[bytes] | None = None
        self._written = False
        self._on_written: Callable[[], None] | None = None
        self.open = False
        self.on_open: Callable[[], None] | None = None
        self.fresh = False  # nothing was sent on it before
        self.quiet_from = 0  # when no second answer to the previous request is expected any more
        self.stray_answer_until = 0  # until then, an unread answer to an earlier request may arrive

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        on_open, self.on_open = self.on_open, None
        if on_open is not None:
            on_open()

    def exchange(
        self, message: Sequence[bytes], on_written: Callable[[], None] | None = None
    ) -> Deferred[http.Message]:
        """Sends a message and gives its answer; fails with `BrokenError`.  Cancelled, it closes the
        connection."""
        answer: Deferred[http.Message] = Deferred(self._cancelled)
        self._answer, self._message, self._written, self._on_written = answer, message, False, on_written
        if not self.open:
            self._fail("closed")
        else:
            # As a pull producer we are asked for more once the kernel has taken the last byte.
            self.transport.registerProducer(self, False)
        return answer

    def _cancelled(self, _: object) -> None:
        self._answer = None  # else `connectionLost` would fail it again and never give its slot back
        self.open = False
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Twisted, as a pull producer: first to write the message, then once the kernel has taken all of
        it."""
        if self._message is not None:
            message, self._message = self._message, None
            self.transport.writeSequence(message)
            return
        self.transport.unregisterProducer()
        self._written = True
        on_written, self._on_written = self._on_written, None  # an idle connection holds nothing of its last
        if on_written is not None:
            on_written()

    def stopProducing(self) -> None:
        """The connection is lost: `connectionLost` tells of it."""

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes of an answer have come, or some that nobody asked for, which end the connection."""
        if self._answer is not None and not self._written:
            # Guards against a second answer to the request before, which would be taken for one to this, and
            # this would still go out: it does not, and nobody is misled.
            self.open = False
            self.transport.abortConnection()
            return
        try:
            self._parser.feed(data)
            message = self._parser.next() if self._answer is not None else None
            if message is None:
                if self._answer is None:
                    self.open = False  # it closes in a later turn: till then nothing may be sent
                    self.transport.abortConnection()  # nothing was asked
                return
            if not message.keeps_alive or self._parser.held:
                self.open = False
                self.transport.loseConnection()
            self._give(message)
        except http.MalformedError as error:
            self.wrong = error.text
            self.transport.abortConnection()

    def _give(self, message: http.Message) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.callback(message)

    def call_failed(self, call: str, error: str) -> None:
        """A system call on it failed; `error`: its symbol."""
        if self.on_call_failed is not None:
            self.on_call_failed(call, error)

    def _fail(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            # A call that fails after the last byte has left ends the connection before we are told of that.
            self._written = self._written or (self._message is None and not unsent(self.transport))
            answer.errback(BrokenError(self._written, bool(self.wrong) or self._parser.begun, why))

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        """Twisted: the connection has ended; an exchange that still runs fails with `BrokenError`, unless its
        answer is whole by that."""
        self.open = False
        whole = self._parser.finish()
        if whole is not None:
            self._give(whole)
        self._fail(why_lost(reason, self.transport))
        self._ended(self)


class _Dial(ClientFactory):
    """One try to connect; `done` fires with the connection or fails with `NotConnectedError`."""

    noisy = False

    def __init__(self, build: Callable[[], ServerConnection]) -> None:
        self._build = build
        self._connection: ServerConnection | None = None
        self._connector: Any = None  # Twisted types neither its connectors nor their transports
        self._transport: Any = None
        self.done: Deferred[ServerConnection] | None = Deferred(self._cancelled)  # None: it has fired

    def startedConnecting(self, connector: Any) -> None:
        self._connector, self._transport = connector, connector.transport

    def buildProtocol(self, addr: IAddress | None) -> ServerConnection:
        self._connection = self._build()
        self._connection.on_open = self._opened
        return self._connection

    def _opened(self) -> None:
        connection, self._connection = self._connection, None
        done, self.done = self.done, None
        if done is not None and connection is not None:
            done.callback(connection)

    def failed(self, why: str) -> None:
        done, self.done = self.done, None
        if done is not None:
            done.errback(NotConnectedError(why))

    def too_late(self) -> None:
        self.failed("late")
        self._hang_up()

    def _cancelled(self, _: object) -> None:
        self.done = None  # whoever cancels hears of that, not of a dial that failed
        self._hang_up()

    def _hang_up(self) -> None:
        if self._connector is not None:
            self._connector.disconnect()

    def clientConnectionFailed(self, connector: Any, reason: Reason) -> None:
        # Twisted puts the method that connects in place of both, so that the transport holds itself; it may
        # still be asked for the other one in this very turn.
        self._transport.doRead = self._transport.doWrite = nothing
        self.clientConnectionLost(connector, reason)
        self.failed(name_of(getattr(reason.value, "osError", None) or 0))

    def clientConnectionLost(self, connector: Any, reason: Reason) -> None:
        # Guards against a cycle that only the collector could free: a connector and its transport hold each
        # other for good.
        self._transport = self._connector = connector.transport = None


def dial(
    reactor: Reactor,
    deadlines: Deadlines,
    wait: int,
    host: str,
    port: int,
    build: Callable[[], ServerConnection],
) -> Deferred[ServerConnection]:
    """A new connection; fails with `NotConnectedError` if it does not come up in time.  Can be cancelled."""
    dialling = _Dial(build)
    done = dialling.done
    assert done is not None
    late = deadlines.after(wait, dialling.too_late)

    def over(result: Any) -> Any:
        deadlines.drop(late)
        return result

    done.addBoth(over)
    try:
        # No time-out of its own: the deadline above is in the one structure with all others.
        reactor.connectTCP(host, port, dialling, timeout=None)
    except Exception:
        dialling.failed("no address")
    return done
