"""Transports that report system calls that failed and, where a failure may pass, make the call again.

`Reactor` makes every TCP and UDP transport of the node of these classes.  Linux reports an error of a
connection once; if that has ended, the next read gives its end or one of `ENDED`.  Any other error says
nothing about the other side, so that no request may be given up for it."""

from __future__ import annotations

import errno
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
LOST: ConnectionLost = main.CONNECTION_LOST  # what Twisted tells apart by its class

# Errors after which a connection has surely ended.
ENDED = frozenset(
    (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ESHUTDOWN, errno.EBADF, errno.ENOTSOCK)
)
MOMENT = 3.0  # seconds for which a call may fail before its connection counts as ended
LAST_DATA_RECEIVED = 52  # where `struct tcp_info` holds tcpi_last_data_recv, milliseconds
PAUSE = 0.005  # seconds until a call that failed is made again


def name_of(number: int) -> str:
    """The symbol of an error number, as `ETIMEDOUT`."""
    return errno.errorcode.get(number, str(number))


def unsent(transport: Any) -> int:
    """Bytes written to a stream transport that the kernel has not taken; Twisted tells it no other way."""
    return len(transport.dataBuffer) - int(transport.offset) + int(transport._tempDataLen)


def peek(transport: Any) -> bytes | None:
    """A byte that lies in the kernel unread; empty: the other side has ended; None: nothing has come, or the
    look has failed."""
    try:
        handle: socket.socket = transport.getHandle()
        return handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError as error:
        return b"" if error.errno in ENDED else None


def unread_for(transport: Any) -> int:
    """Microseconds since bytes last came in at the kernel, by its own clock of some milliseconds a tick; 0
    where it does not tell."""
    try:
        told = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        return int(struct.unpack_from("=I", told, LAST_DATA_RECEIVED)[0]) * MS
    except (OSError, struct.error):
        return 0


def end_writing(transport: Any) -> None:
    """Ends our side of a stream transport at once where all that was written has left.

    Twisted does so a turn later; until then what the other side sends would be lost."""
    if not unsent(transport):
        try:
            transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            return  # the connection is closed a turn later


def why_lost(reason: Reason, transport: Any) -> str:
    """Why a connection ended, in a few words for the log; `reason` is that of `connectionLost`."""
    ended_by = getattr(transport, "ended_by", "")
    if ended_by and isinstance(reason.value, ConnectionLost):
        return str(ended_by)
    if isinstance(reason.value, ConnectionAborted):
        return "aborted_here"
    return "closed" if isinstance(reason.value, ConnectionDone) else type(reason.value).__name__


class _Reader:
    """Can leave off reading for a pause; mixed in before Twisted's class."""

    connected: int
    reactor: Any
    _wants_reading = False

    def startReading(self) -> None:
        """Twisted: what comes is to be read from now on."""
        self._wants_reading = True
        self.reactor.addReader(self)

    def stopReading(self) -> None:
        """Twisted: what comes stays unread."""
        self._wants_reading = False
        self.reactor.removeReader(self)

    def read_later(self) -> None:
        """A read failed: it is made again after `PAUSE`, unless reading is stopped until then."""
        self.reactor.removeReader(self)
        self.reactor.callLater(PAUSE, self._read_again)

    def _read_again(self) -> None:
        if self.connected and self._wants_reading:
            self.reactor.addReader(self)


class _StreamTransport(_Reader):
    """What both kinds of stream transports share; mixed in before Twisted's class.

    Each failed call is told to the protocol's `call_failed(call, error)`, if it has such a method."""

    SEND_LIMIT: int
    bufferSize: int
    socket: Any
    protocol: Any
    _dataReceived: Callable[[bytes], Any]
    _failing_since = 0.0  # of the monotonic clock; 0: calls work
    ended_by = ""  # the call and its error that ended the connection

    def doRead(self) -> Any:
        """Twisted: something can be read.  Gives the reason for which the connection has ended, or None."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            ended = self._failed("recv", error)
            if ended is None:
                self.read_later()
            return ended
        self._failing_since = 0.0
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Twisted: gives how many bytes the kernel took, or the reason for which the connection has ended."""
        if not data:
            return 0  # Twisted asks so before it closes
        try:
            sent = self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            ended = self._failed("send", error)
            if ended is None:
                self.reactor.removeWriter(self)
                self.reactor.callLater(PAUSE, self._write_again)
            return ended or 0
        self._failing_since = 0.0
        return sent

    def _write_again(self) -> None:
        if self.connected and unsent(self):
            self.reactor.addWriter(self)

    def _failed(self, call: str, error: OSError) -> ConnectionLost | None:
        """Reports a call that failed; None where it is to be made again."""
        number, now = error.errno or 0, monotonic()
        self._failing_since = self._failing_since or now
        told = getattr(self.protocol, "call_failed", None)
        if told is not None:
            told(call, name_of(number))
        if number in ENDED or now - self._failing_since > MOMENT:
            self.ended_by = f"{call}:{name_of(number)}"
            return LOST
        return None


class ServerTransport(_StreamTransport, _Server):  # type: ignore[misc]
    """A connection that was accepted."""


class ClientTransport(_StreamTransport, _Client):  # type: ignore[misc]
    """A connection that was made here."""


class ListeningPort(_Port):  # type: ignore[misc]
    """Accepts connections as `ServerTransport`."""

    transport = ServerTransport


class Connector(_Connector):  # type: ignore[misc]
    """Makes connections as `ClientTransport`."""

    def _makeTransport(self) -> Any:
        return ClientTransport(self.host, self.port, self.bindAddress, self, self.reactor)


class DatagramPort(_Reader, _DatagramPort):  # type: ignore[misc]
    """Sends and takes datagrams; a read that fails does not close it."""

    def doRead(self) -> None:
        """Twisted: datagrams can be read."""
        try:
            super().doRead()
        except OSError as error:
            told = getattr(self.protocol, "call_failed", None)
            if told is not None:
                told("recvfrom", name_of(error.errno or 0))
            self.read_later()
