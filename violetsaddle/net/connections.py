"""Outgoing connections, to real servers and to discovery. Each carries one exchange at a time."""

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
from violetsaddle.net.transports import errno_name, loss_reason, peek, unsent

MAX_READS_AT_ONCE = 128  # of 64 KiB each, outside of the reactor's turns


class NotConnectedError(Exception):
    """The connection could not be opened, so nothing was sent."""

    def __init__(self, why: str) -> None:
        """`why`: the symbol of the error, such as `ECONNREFUSED`, or a few words, for the log."""
        super().__init__(why)
        self.why = why


class BrokenError(Exception):
    """The connection ended before the answer was complete."""

    def __init__(self, written: bool, begun: bool, why: str) -> None:
        """`written`: the kernel had taken the whole message; `begun`: a part of the answer, or a malformed
        answer, had arrived; `why`: what ended the connection, in a few words for the log."""
        super().__init__(why)
        self.written, self.begun, self.why = written, begun, why


class RealServer:
    """A real server that discovery lists, with the idle connections to it."""

    __slots__ = ("name", "number", "host", "port", "idle", "listed", "draining")

    def __init__(self, name: str, number: int) -> None:
        """Has no address until the list gives one. `number`: from `Servers.number_of`."""
        self.name, self.number, self.host, self.port = name, number, "", 0
        self.idle: list[int] = []  # connection numbers, the most recently used last
        self.listed = False
        self.draining = False  # accepts no new jobs

    @property
    def address(self) -> str:
        """`host:port`, as in a `Host` header."""
        return f"{self.host}:{self.port}"


@implementer(IPullProducer)
class ServerConnection(Protocol):
    """A connection to a real server or to discovery. It carries one exchange at a time."""

    transport: Transport

    def __init__(
        self, limits: Limits, on_closed: Callable[[ServerConnection], None], max_body: int = 0
    ) -> None:
        """`on_closed`: called once the connection has ended; `max_body`: largest body of an answer, bytes; 0:
        the limit for answers of real servers."""
        self._limits, self._on_closed = limits, on_closed
        self.parse_error = ""  # why the answer is malformed; empty: it is not
        self.on_call_failed: Callable[[str, str], None] | None = None  # (system call, error symbol)
        self.number = -1
        self.server: RealServer | None = None
        self.idle_timer: Patience | None = None  # None: it was never idle
        self._parser = http.Parser(limits, max_body or limits.answer_body, answers=True)
        self._answer: Deferred[http.Message] | None = None
        self._message: Sequence[bytes] | None = None
        self._written = False
        self._on_written: Callable[[], None] | None = None
        self.open = False
        self.on_open: Callable[[], None] | None = None
        self.fresh = False  # no request was sent on it yet
        self.quiet_from = 0  # when no second answer to the previous request is expected any more
        self.stray_answer_until = 0  # until then, an unread answer to an earlier request may arrive

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        on_open, self.on_open = self.on_open, None
        if on_open is not None:
            on_open()

    def exchange(
        self,
        message: Sequence[bytes],
        on_written: Callable[[], None] | None = None,
        kept_body: int = 0,
    ) -> Deferred[http.Message]:
        """Sends a message and gives the answer; fails with `BrokenError`.

        `on_written`: called once the kernel has taken the whole message; `kept_body`: bytes of the answer's
        body that the caller reads: what exceeds them is dropped. Cancelling closes the connection."""
        self._parser.kept_body = kept_body
        answer: Deferred[http.Message] = Deferred(self._cancel_exchange)
        self._answer, self._message, self._written, self._on_written = answer, message, False, on_written
        if not self.open:
            self._fail_exchange("closed")
        else:
            # A pull producer is asked for more once the kernel has taken the last byte.
            self.transport.registerProducer(self, False)
        return answer

    def _cancel_exchange(self, _: object) -> None:
        self._answer = None  # else `connectionLost` would fail it again and never free the connection's slot
        self.open = False
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Twisted: called first to write the message, and again once the kernel has taken all of it."""
        if self._message is not None:
            message, self._message = self._message, None
            self.transport.writeSequence(message)
            return
        self.transport.unregisterProducer()
        self._written = True
        on_written, self._on_written = self._on_written, None  # an idle connection must not keep it alive
        if on_written is not None:
            on_written()

    def stopProducing(self) -> None:
        """Twisted: the connection is lost. `connectionLost` handles it."""

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have arrived. Bytes that belong to no request close the connection."""
        if self._answer is not None and not self._written:
            # A second answer to the previous request would be matched to this one while the rest of this one
            # is still sent. Aborting stops the sending.
            self.open = False
            self.transport.abortConnection()
            return
        try:
            self._parser.feed(data)
            message = self._parser.next() if self._answer is not None else None
            if message is None:
                if self._answer is None:
                    self.open = False  # it closes in a later reactor turn; nothing may be sent until then
                    self.transport.abortConnection()  # no request is outstanding
                return
            if not message.keeps_alive or self._parser.held:
                self.open = False
                self.transport.loseConnection()
            self._deliver_answer(message)
        except http.MalformedError as error:
            self.parse_error = error.text
            self.transport.abortConnection()

    def read_arrived(self) -> None:
        """Reads what has arrived and lies unread, without waiting for the reactor's turn."""
        for _ in range(MAX_READS_AT_ONCE):
            unread = peek(self.transport) if self.open else None
            if unread is None:
                return
            if not unread:
                self._finish_answer()  # the reactor meets the end again, and closes the connection
                return
            if self.transport.doRead() is not None:
                return

    def _finish_answer(self) -> None:
        """The other side has ended the connection: that completes an answer without a length."""
        answer = self._parser.finish()
        if answer is not None:
            self.open = False
            self._deliver_answer(answer)

    def _deliver_answer(self, message: http.Message) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.callback(message)

    def call_failed(self, call: str, error: str) -> None:
        """Reports a failed system call on this connection; `error`: the symbol of the error."""
        if self.on_call_failed is not None:
            self.on_call_failed(call, error)

    def _fail_exchange(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            # If a system call fails after the last byte was taken, the connection ends before Twisted calls
            # `resumeProducing` again.
            self._written = self._written or (self._message is None and not unsent(self.transport))
            answer.errback(BrokenError(self._written, bool(self.parse_error) or self._parser.begun, why))

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        """Twisted: the connection has ended. An exchange in progress fails with `BrokenError`, unless the end
        of the connection completes its answer."""
        self.open = False
        self._finish_answer()
        self._fail_exchange(loss_reason(reason, self.transport))
        self._on_closed(self)


class _Dial(ClientFactory):
    """A connection being opened. `done` fires with the connection or fails with `NotConnectedError`."""

    noisy = False

    def __init__(self, build: Callable[[], ServerConnection]) -> None:
        self._build = build
        self._connection: ServerConnection | None = None
        self._connector: Any = None  # Twisted has no types for connectors and their transports
        self._transport: Any = None
        self.done: Deferred[ServerConnection] | None = Deferred(self._cancel)  # None: it has fired

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

    def time_out(self) -> None:
        self.failed("late")
        self._disconnect()

    def _cancel(self, _: object) -> None:
        self.done = None  # it fails with `CancelledError`, not with `NotConnectedError`
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connector is not None:
            self._connector.disconnect()

    def clientConnectionFailed(self, connector: Any, reason: Reason) -> None:
        # While connecting, Twisted replaces both methods by a bound method, so the transport references
        # itself. The reactor may still call either of them in this turn.
        self._transport.doRead = self._transport.doWrite = nothing
        self.clientConnectionLost(connector, reason)
        self.failed(errno_name(getattr(reason.value, "osError", None) or 0))

    def clientConnectionLost(self, connector: Any, reason: Reason) -> None:
        # A connector and its transport reference each other: without this, only the garbage collector could
        # free them.
        self._transport = self._connector = connector.transport = None


def dial(
    reactor: Reactor,
    deadlines: Deadlines,
    max_wait: int,
    host: str,
    port: int,
    build: Callable[[], ServerConnection],
) -> Deferred[ServerConnection]:
    """Opens a connection; fails with `NotConnectedError` after `max_wait` microseconds at the latest.

    `build`: makes the protocol. Can be cancelled."""
    connecting = _Dial(build)
    done = connecting.done
    assert done is not None
    deadline = deadlines.after(max_wait, connecting.time_out)

    def drop_deadline(result: Any) -> Any:
        deadlines.drop(deadline)
        return result

    done.addBoth(drop_deadline)
    try:
        # Twisted's own timeout is off: the deadline above is kept with all others.
        reactor.connectTCP(host, port, connecting, timeout=None)
    except Exception:
        connecting.failed("no address")
    return done
