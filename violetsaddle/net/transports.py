"""Transports that report failed system calls and retry those that may have failed only temporarily.

`Reactor` uses these classes for every TCP and UDP transport of the node. Linux reports an error of a
connection once; if the connection has ended, the next read returns the end of the stream or one of
`CONNECTION_ENDED_ERRORS`. Any other error says nothing about the other side, so no request may be given up
because of it."""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Callable
from time import monotonic
from typing import Any

from twisted.internet import main, tcp, udp
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.python.failure import Failure as Reason

from violetsaddle.net.limits import MS

_Server: Any = tcp.Server  # Twisted's classes are not typed
_Client: Any = tcp.Client
_Port: Any = tcp.Port
_Connector: Any = tcp.Connector
_DatagramPort: Any = udp.Port
LOST: ConnectionLost = main.CONNECTION_LOST  # Twisted recognizes it by its class

# Errors that prove that a connection has ended.
CONNECTION_ENDED_ERRORS = frozenset(
    (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ESHUTDOWN, errno.EBADF, errno.ENOTSOCK)
)
# `tcpi_state`, the first byte of `struct tcp_info`, once the other side's end or reset has come: TIME_WAIT,
# CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
CLOSED_STATES = frozenset((6, 7, 8, 9, 11))
MAX_FAILING_S = 3.0  # a connection whose calls fail for longer counts as ended
LAST_DATA_RECEIVED_OFFSET = 52  # bytes into `struct tcp_info`, of tcpi_last_data_recv (32 bits, milliseconds)
DROP_SIZE = 256 * 1024  # bytes dropped by one call
MAX_ACCEPTS = 16  # connections accepted in one reactor turn
RETRY_DELAY_S = 0.005  # until a failed call is repeated


def errno_name(number: int) -> str:
    """The symbol of an error number, such as `ETIMEDOUT`; the number itself where it has none."""
    return errno.errorcode.get(number, str(number))


def unsent(transport: Any) -> int:
    """Bytes written to a stream transport that the kernel has not taken; Twisted has no public API for it."""
    return len(transport.dataBuffer) - int(transport.offset) + int(transport._tempDataLen)


def peek(transport: Any) -> bytes | None:
    """The next unread byte in the kernel, which stays there. Empty: the other side has ended the connection;
    None: nothing has arrived, or the call failed."""
    try:
        handle: socket.socket = transport.getHandle()
        return handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError as error:
        return b"" if error.errno in CONNECTION_ENDED_ERRORS else None


def has_closed(transport: Any) -> bool:
    """Whether the other side has ended the connection, also where unread bytes lie before its end."""
    unread = peek(transport)
    if not unread:
        return unread is not None
    try:
        state = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    return state in CLOSED_STATES


def drop_unread(transport: Any, most: int) -> int:
    """Drops about `most` unread bytes of a TCP connection at most, and returns how many.

    The kernel copies none of them, so that this costs far less than to read them."""
    handle, dropped = transport.getHandle(), 0
    try:
        while dropped < most and (
            size := len(handle.recv(DROP_SIZE, socket.MSG_TRUNC | socket.MSG_DONTWAIT))
        ):
            dropped += size
    except OSError:
        pass  # nothing is left, or the next read of the transport meets what ended the connection
    return dropped


def unread_for(transport: Any) -> int:
    """Microseconds since the kernel last received bytes, with a resolution of a few milliseconds; 0 where the
    kernel does not say."""
    try:
        tcp_info = transport.getHandle().getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED_OFFSET + 4
        )
        return int(struct.unpack_from("=I", tcp_info, LAST_DATA_RECEIVED_OFFSET)[0]) * MS
    except (OSError, struct.error):
        return 0


def end_writing(transport: Any) -> None:
    """Ends our side of a stream transport at once if the kernel has taken everything that was written.

    Twisted would do so one reactor turn later, and data that arrives until then would be lost."""
    if not unsent(transport):
        try:
            transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            return  # Twisted closes the connection in the next turn


def loss_reason(reason: Reason, transport: Any) -> str:
    """Why a connection ended, in a few words for the log. `reason`: as passed to `connectionLost`."""
    ended_by = getattr(transport, "ended_by", "")
    if ended_by and isinstance(reason.value, ConnectionLost):
        return str(ended_by)
    if isinstance(reason.value, ConnectionAborted):
        return "aborted_here"
    return "closed" if isinstance(reason.value, ConnectionDone) else type(reason.value).__name__


class _Reader:
    """A mixin that can pause reading. It must come before Twisted's class."""

    connected: int
    reactor: Any
    _wants_reading = False

    def startReading(self) -> None:
        """Twisted: starts or resumes reading."""
        self._wants_reading = True
        self.reactor.addReader(self)

    def stopReading(self) -> None:
        """Twisted: stops reading; received data stays in the kernel."""
        self._wants_reading = False
        self.reactor.removeReader(self)

    def retry_read(self) -> None:
        """Repeats a failed read after `RETRY_DELAY_S`, unless reading has been stopped by then."""
        self.reactor.removeReader(self)
        self.reactor.callLater(RETRY_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.connected and self._wants_reading:
            self.reactor.addReader(self)


class _StreamTransport(_Reader):
    """A mixin for both kinds of stream transports. It must come before Twisted's class.

    Each failed call is reported to the protocol's `call_failed(call, error)`, if it has such a method."""

    SEND_LIMIT: int
    bufferSize: int
    socket: Any
    protocol: Any
    _dataReceived: Callable[[bytes], Any]
    _failing_since = 0.0  # seconds of the monotonic clock; 0: the last call succeeded
    ended_by = ""  # `call:error` that ended the connection

    def doRead(self) -> Any:
        """Twisted: data can be read. Returns why the connection has ended, or None."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            ended = self._handle_failure("recv", error)
            if ended is None:
                self.retry_read()
            return ended
        self._failing_since = 0.0
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Twisted: returns how many bytes the kernel took, or why the connection has ended."""
        if not data:
            return 0  # Twisted calls it without data before it closes the connection
        try:
            sent = self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            ended = self._handle_failure("send", error)
            if ended is None:
                self.reactor.removeWriter(self)
                self.reactor.callLater(RETRY_DELAY_S, self._resume_writing)
            return ended or 0
        self._failing_since = 0.0
        return sent

    def _resume_writing(self) -> None:
        if self.connected and unsent(self):
            self.reactor.addWriter(self)

    def _handle_failure(self, call: str, error: OSError) -> ConnectionLost | None:
        """Reports a failed call. Returns why the connection has ended; None: the call is to be repeated."""
        number, now = error.errno or 0, monotonic()
        self._failing_since = self._failing_since or now
        report = getattr(self.protocol, "call_failed", None)
        if report is not None:
            report(call, errno_name(number))
        if number in CONNECTION_ENDED_ERRORS or now - self._failing_since > MAX_FAILING_S:
            self.ended_by = f"{call}:{errno_name(number)}"
            return LOST
        return None


class ServerTransport(_StreamTransport, _Server):  # type: ignore[misc]
    """An accepted connection."""


class ClientTransport(_StreamTransport, _Client):  # type: ignore[misc]
    """An outgoing connection."""


class ListeningPort(_Port):  # type: ignore[misc]
    """A listening socket whose connections are `ServerTransport`s.

    It accepts few connections in a turn, and none after `stopReading`: the owner of the port counts those
    that it closes for new ones only once their turn has ended."""

    transport = ServerTransport
    factory: Any
    socket: Any
    sessionno: int
    _accepts = False

    def startReading(self) -> None:
        """Twisted: starts or resumes accepting."""
        self._accepts = True
        super().startReading()

    def stopReading(self) -> None:
        """Twisted: stops accepting; connections wait in the backlog."""
        self._accepts = False
        super().stopReading()

    def doRead(self) -> None:
        """Twisted: connections wait in the backlog."""
        self._report_backlog(self._accept_some())

    def _accept_some(self) -> bool:
        """Accepts up to `MAX_ACCEPTS` connections; returns whether none is left."""
        for _ in range(MAX_ACCEPTS):
            if not self._accepts:
                return False
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError:
                self.numberAccepts = 1
                super().doRead()  # logs the error; without descriptors it closes who waits
                return False
            self._begin(accepted, address)
        return self.is_backlog_empty()

    def is_backlog_empty(self) -> bool:
        """Whether no connection waits to be accepted."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return not poll.poll(0)

    def _report_backlog(self, empty: bool) -> None:
        report = getattr(self.factory, "backlog_checked", None)
        if report is not None:
            report(empty)

    def _begin(self, accepted: socket.socket, address: Any) -> None:
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return
        session = self.sessionno = self.sessionno + 1
        transport = self.transport(accepted, protocol, address, self, session, self.reactor)
        protocol.makeConnection(transport)


class Connector(_Connector):  # type: ignore[misc]
    """Opens connections that are `ClientTransport`s."""

    def _makeTransport(self) -> Any:
        return ClientTransport(self.host, self.port, self.bindAddress, self, self.reactor)


class DatagramPort(_Reader, _DatagramPort):  # type: ignore[misc]
    """Sends and receives datagrams. A failed read does not close it."""

    def doRead(self) -> None:
        """Twisted: datagrams can be read."""
        try:
            super().doRead()
        except OSError as error:
            report = getattr(self.protocol, "call_failed", None)
            if report is not None:
                report("recvfrom", errno_name(error.errno or 0))
            self.retry_read()
