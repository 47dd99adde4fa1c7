"""A process's turns, and its streams, which behave as Twisted's transports do.

A turn is one call from the loop: what a protocol writes in it goes out together at its end.  Where Twisted
puts something off to the next turn, it happens at the end of this one."""

from __future__ import annotations

import errno
import os
import socket as kernel
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from violetsaddle.lab.sim.network import WINDOW, Address, Host, Network, Socket

Make: Any = Failure  # Twisted has no types for these
DONE, LOST = Make(error.ConnectionDone()), Make(error.ConnectionLost())
READ = 64 * 1024  # bytes that one read takes at most
BUFFER = 64 * 1024  # bytes held back in the process above which a streaming producer is paused


class Dialler(Protocol):
    """Who brings a connection up, and hears how that ends and when it is over."""

    def made(self) -> None: ...

    def failed(self, why: Exception) -> None: ...

    def lost(self, reason: Failure) -> None: ...


class Process:
    """`on_fault` hears of exceptions that its code let through."""

    def __init__(self, network: Network) -> None:
        self.network, self.loop = network, network.loop
        self.on_fault: Callable[[BaseException], object] = self._raise
        self.paused = self.ended = False
        self.inside = False  # its code runs
        self.dirty: list[Stream] = []
        self.soon: list[Callable[[], object]] = []
        self._late: list[tuple[Callable[..., object], tuple[Any, ...]]] = []  # due while it is paused
        self._roused = False

    @staticmethod
    def _raise(fault: BaseException) -> None:
        raise fault

    def enter(self, what: Callable[..., object], *args: Any) -> None:
        """One turn."""
        self.network.running, self.inside = self, True
        try:
            what(*args)
        except Exception as fault:
            self.on_fault(fault)
        if self.dirty or self.soon:
            self.leave()
        self.inside = False

    def leave(self) -> None:
        """The end of a turn: what was put off to it."""
        while self.dirty or self.soon:
            dirty, self.dirty = self.dirty, []
            for stream in dirty:
                try:
                    stream.flush()
                except Exception as fault:
                    self.on_fault(fault)
            soon, self.soon = self.soon, []
            for what in soon:
                try:
                    what()
                except Exception as fault:
                    self.on_fault(fault)
        self.inside = False

    def rouse(self) -> None:
        """There is something for a turn's end: makes a turn if none runs."""
        if not self.inside and not self._roused:
            self._roused = True
            self.loop.call(0, self._turn)

    def _turn(self) -> None:
        if self.paused:
            self.put_off(self._turn)
            return
        self._roused = False
        if not self.ended:
            self.leave()

    def put_off(self, what: Callable[..., object], *args: Any) -> None:
        """It is due, but the process is paused."""
        self._late.append((what, args))


class Handle:
    """Of a socket's methods, those that a node calls itself."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Peeks; raises `BlockingIOError` where nothing has come, `OSError` where a reset has.

        With MSG_TRUNC nothing is dropped: the protocol reads it later."""
        if flags & kernel.MSG_TRUNC:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        if not flags & kernel.MSG_PEEK:
            raise ValueError("what is read here would be lost to the protocol")
        stream = self._stream
        if stream.unread:
            return b"".join(stream.unread)[:size]
        if stream.broken:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        if stream.ended:
            return b""
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Nothing but zeros: what comes counts as having come just now."""
        return bytes(size)

    def shutdown(self, how: int) -> None:
        """Always raises `OSError`: an end leaves with its turn."""
        raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))


class Stream(Socket):
    """A connection's transport."""

    __slots__ = (
        "reactor",
        "protocol",
        "connector",
        "connected",
        "disconnected",
        "disconnecting",
        "reading",
        "producer",
        "streaming",
        "producer_paused",
        "_out",
        "_size",
        "_dirty",
        "_aborting",
        "_half_closing",
        "_half_closed",
        "_noted",
        "_end_read",
        "__dict__",
    )  # Twisted's have one

    def __init__(
        self, reactor: Process, host: Host, here: Address, remote: Address, connector: Dialler | None = None
    ) -> None:
        super().__init__(reactor.network, host, here, remote)
        self.reactor, self.connector = reactor, connector
        self.protocol: Any = None
        self.connected = self.disconnected = self.disconnecting = self.reading = False
        self.producer: Any = None
        self.streaming = self.producer_paused = False
        self._out: list[bytes] = []  # what the process has not handed to the kernel
        self._size = 0
        self._dirty = False  # a flush is due at the turn's end
        self._aborting = self._half_closing = self._half_closed = False
        self._noted = False  # a read is due
        self._end_read = False

    # What protocols call, or look at: bytes that wait in the process, as Twisted's transports hold them.

    dataBuffer, offset = b"", 0

    @property
    def _tempDataLen(self) -> int:
        return self._size

    def write(self, data: bytes) -> None:
        if not isinstance(data, bytes):
            raise TypeError("Data must be bytes")
        if data and self.connected and not self._half_closed:
            self._out.append(data)
            self._size += len(data)
            if self.streaming and self._size > BUFFER and self.producer is not None:
                self.producer_paused = True
                self.producer.pauseProducing()
            if not self._dirty:
                self._touch()

    def writeSequence(self, data: Any) -> None:
        self.write(b"".join(data))

    def _touch(self) -> None:
        if not self._dirty:
            self._dirty = True
            self.reactor.dirty.append(self)
            self.reactor.rouse()

    def loseConnection(self) -> None:
        if self.connected and not self.disconnecting:
            self.reading = False
            if self._half_closed:
                self.lose(DONE)
            else:
                self.disconnecting = True
                self._touch()

    def loseWriteConnection(self) -> None:
        self._half_closing = True
        self._touch()

    def abortConnection(self) -> None:
        if not self.disconnected and not self._aborting:
            self._aborting = True
            self.reading = False
            self.reactor.soon.append(lambda: self.lose(Make(error.ConnectionAborted())))
            self.reactor.rouse()

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        if self.connected and not self.disconnecting and not self._aborting and not self.reading:
            self.reading = True
            self.look()

    def stopProducing(self) -> None:
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        if self.producer is not None:
            raise RuntimeError(f"{producer!r} can't be registered: {self.producer!r} was not unregistered")
        if self.disconnected:
            producer.stopProducing()
            return
        self.producer, self.streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None
        if self.connected and self.disconnecting:
            self._touch()

    def getHandle(self) -> Handle:
        return Handle(self)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Streams here never wait to fill a segment."""

    def getTcpNoDelay(self) -> bool:
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Not played."""

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", *self.here)

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", *self.remote)

    # What comes in.

    def begin(self, protocol: Any) -> None:
        """The connection is up and has its protocol."""
        self.protocol, self.connected, self.reading = protocol, True, True
        protocol.makeConnection(self)
        self.look()

    def look(self) -> None:
        """Reads later what waits already."""
        if (self.unread or self.ended or self.broken) and not self._noted:
            self._noted = True
            self.reactor.soon.append(self._read)
            self.reactor.rouse()

    def received(self, data: bytes) -> None:
        reactor = self.reactor
        if not self.reading or self._noted or reactor.paused:
            self.unread.append(data)
            if self.reading:
                self._read_later()
            return
        self.took(len(data))
        reactor.network.running, reactor.inside = reactor, True
        try:
            self.protocol.dataReceived(data)
        except Exception as fault:
            self._fell(fault)
        reactor.leave()

    def received_end(self) -> None:
        if self.reading and not self._noted:
            if self.reactor.paused:
                self._read_later()
            else:
                self.reactor.enter(self._read_end)

    def received_reset(self) -> None:
        if self.reactor.paused:
            self._read_later()
        elif (self.reading and not self._noted) or self._out or self._dirty:
            self.reactor.enter(self.lose, LOST)

    def _read_later(self) -> None:
        if not self._noted:
            self._noted = True
            self.reactor.put_off(self._read_entered)

    def _read_entered(self) -> None:
        if self.reactor.paused:
            self.reactor.put_off(self._read_entered)
        else:
            self.reactor.enter(self._read)

    def _read(self) -> None:
        """Takes in what waits, as much as one read gives; the rest has a turn of its own."""
        self._noted = False
        if self.disconnected or not self.reading:
            if self.broken and self._out:
                self.lose(LOST)
            return
        if self.unread:
            data = b"".join(self.unread)
            self.unread = [data[READ:]] if len(data) > READ else []
            data = data[:READ]
            self.took(len(data))
            try:
                self.protocol.dataReceived(data)
            except Exception as fault:
                self._fell(fault)
            if self.reading:
                self.look()
        elif self.broken:
            self.lose(LOST)
        elif self.ended:
            self._read_end()

    def _read_end(self) -> None:
        if self._end_read:
            return
        self._end_read = True
        self.reading = False
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self._half(self.protocol.readConnectionLost)
        else:
            self.lose(DONE)

    def _half(self, what: Callable[[], object]) -> None:
        try:
            what()
        except Exception as fault:
            self._fell(fault)

    def _fell(self, fault: Exception) -> None:
        """The protocol failed: its connection goes."""
        self.reactor.on_fault(fault)
        self.lose(Make(fault))

    def lose(self, reason: Failure) -> None:
        """The connection is over for the process."""
        if self.disconnected:
            return
        self.disconnected, self.connected, self.reading = True, False, False
        self._out.clear()
        producer, self.producer = self.producer, None
        protocol, self.protocol = self.protocol, None
        if producer is not None:
            producer.stopProducing()
        self.close(not isinstance(reason.value, error.ConnectionAborted))
        try:
            protocol.connectionLost(reason)
        except Exception as fault:
            self.reactor.on_fault(fault)
        connector, self.connector = self.connector, None
        if connector is not None:
            connector.lost(reason)

    # What goes out.

    def flush(self) -> None:
        """A turn is over: what was written goes to the kernel, as far as there is room."""
        self._dirty = False
        if self.disconnected or self._aborting or not self.connected:
            return
        if self.broken:
            self.lose(LOST)
            return
        if self.ends_at == self.network.loop.now and self.reading and not self.unread:
            # Reactors read before they write, so an end that came with the data takes the answer with it.
            self._read_end()
            if self.disconnected:
                return
        if self._out and not self._push():
            return
        producer = self.producer
        if producer is not None and (not self.streaming or self.producer_paused):
            self.producer_paused = False
            try:
                producer.resumeProducing()
            except Exception as fault:
                self._fell(fault)
        elif self.disconnecting:
            if producer is None:
                self.lose(DONE)
        elif self._half_closing and not self._half_closed:
            self._half_closed = True
            self.send(None)
            if IHalfCloseableProtocol.providedBy(self.protocol):
                self._half(self.protocol.writeConnectionLost)

    def _push(self) -> bool:
        """Whether the kernel has taken all."""
        room = WINDOW - self.under_way
        if room <= 0:
            return False
        out = self._out
        data = out[0] if len(out) == 1 else b"".join(out)
        if len(data) > room:
            self._out = [data[room:]]
            self._size = len(data) - room
            self.send(data[:room])
            return False
        out.clear()
        self._size = 0
        self.send(data)
        return True

    def room(self) -> None:
        if self._out and not self._dirty and not self.closed:
            self._dirty = True
            self.network.loop.call(self.delay(), self._writable)

    def _writable(self) -> None:
        if self.reactor.paused:
            self.reactor.put_off(self._writable)
        elif not self.reactor.ended:
            self.reactor.enter(self.flush)

    # The connection's start, at the client's side.

    def connected_now(self) -> None:
        if self.reactor.paused:
            self.reactor.put_off(self.connected_now)
        elif not self.closed:
            assert self.connector is not None
            self.reactor.enter(self.connector.made)

    def connected_not(self, late: bool) -> None:
        if self.reactor.paused:
            self.reactor.put_off(self.connected_not, late)
        elif not self.closed:
            assert self.connector is not None
            number = errno.ETIMEDOUT if late else errno.ECONNREFUSED
            why: Any = error.getConnectError
            self.reactor.enter(self.connector.failed, why((number, os.strerror(number))))
