"""Transports that report system calls that failed and, where a failure may pass, make the call again.

`Reactor` makes every TCP and UDP transport of the node of these classes.  Linux reports an error of a
connection once; if that has ended, the next read gives its end or one of `ENDED`.  Any other error says
nothing about the other side, so that no request may be given up for it."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.python.failure import Failure as Reason

_Server: Any = tcp.Server  # Twisted's classes are not typed
_Client: Any = tcp.Client
_Port: Any = tcp.Port
_Connector: Any = tcp.Connector

# Errors after which a connection has surely ended.
ENDED = frozenset(
    (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN, errno.ESHUTDOWN, errno.EBADF, errno.ENOTSOCK)
)


def name_of(number: int) -> str:
    """The symbol of an error number, as `ETIMEDOUT`."""
    return errno.errorcode.get(number, str(number))


class CallFailedError(ConnectionLost):
    """A connection that counts as ended because a system call on it failed."""

    def __init__(self, call: str, number: int) -> None:
        """`call`: the system call; `number`: its error number."""
        super().__init__()
        self.call, self.number = call, number


def unsent(transport: Any) -> int:
    """Bytes written to a stream transport that the kernel has not taken; Twisted tells it no other way."""
    return len(transport.dataBuffer) - int(transport.offset) + int(transport._tempDataLen)


def why_lost(reason: Reason) -> str:
    """Why a connection ended, in a few words for the log; `reason` is that of `connectionLost`."""
    error = reason.value
    if isinstance(error, CallFailedError):
        return f"{error.call}:{name_of(error.number)}"
    if isinstance(error, ConnectionAborted):
        return "aborted_here"
    return "closed" if isinstance(error, ConnectionDone) else type(error).__name__


class _Reporting:
    """What both kinds of stream transports share; mixed in before Twisted's class.

    Each failed call is told to the protocol's `call_failed(call, error)`, if it has such a method."""

    SEND_LIMIT: int
    bufferSize: int
    socket: Any
    protocol: Any
    _dataReceived: Callable[[bytes], Any]

    def doRead(self) -> Any:
        """Twisted: something can be read.  Gives the reason for which the connection has ended, or None."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            return self._failed("recv", error)
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        """Twisted: gives how many bytes the kernel took, or the reason for which the connection has ended."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno == errno.ENOBUFS:
                return 0
            return self._failed("send", error)

    def _failed(self, call: str, error: OSError) -> CallFailedError:
        number = error.errno or 0
        told = getattr(self.protocol, "call_failed", None)
        if told is not None:
            told(call, name_of(number))
        return CallFailedError(call, number)


class ServerTransport(_Reporting, _Server):  # type: ignore[misc]
    """A connection that was accepted."""


class ClientTransport(_Reporting, _Client):  # type: ignore[misc]
    """A connection that was made here."""


class ListeningPort(_Port):  # type: ignore[misc]
    """Accepts connections as `ServerTransport`."""

    transport = ServerTransport


class Connector(_Connector):  # type: ignore[misc]
    """Makes connections as `ClientTransport`."""

    def _makeTransport(self) -> Any:
        return ClientTransport(self.host, self.port, self.bindAddress, self, self.reactor)
