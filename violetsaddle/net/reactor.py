"""Twisted's epoll reactor with two things less to do for each event.

Twisted asks epoll for leave before it writes, and takes the wish back afterwards: two system calls and one
more turn for each piece that a socket would have taken at once.  Here what an event or the timers have
written goes out after them, gathered, and epoll is asked only where the kernel did not take all of it.  And
events are handed on without the context of a logger, which nothing here reads."""

from __future__ import annotations

from time import monotonic, monotonic_ns
from typing import Any

from twisted.internet import epollreactor, main
from twisted.python import log

from violetsaddle.net.early import STARTED
from violetsaddle.net.poller import Poller
from violetsaddle.net.transports import Connector, DatagramPort, ListeningPort

_EPoll: Any = epollreactor.EPollReactor  # Twisted has no types for these
_main: Any = main
_log: Any = log


class Reactor(_EPoll):  # type: ignore[misc]
    """`EPollReactor` that writes at the end of a turn; see the module."""

    seconds = staticmethod(monotonic)  # Twisted's own is the wall clock, whose steps would move every timer

    def __init__(self) -> None:
        """Opens the epoll descriptor, as Twisted's does."""
        # Writers that wait for the turn's end, in the order in which they asked.
        self._eager: dict[Any, None] = {}
        self._polled = self._polled_before = STARTED
        super().__init__()
        self._poller = Poller(vars(self)["_poller"])

    def behind(self) -> int:
        """Microseconds for which something may lie unread, at most, on a socket that was looked at before."""
        return (monotonic_ns() - self._polled_before) // 1000

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Twisted: accepts connections; raises `CannotListenError`."""
        listening = ListeningPort(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def adoptStreamPort(self, descriptor: int, family: int, factory: Any) -> Any:
        """Twisted: accepts connections at a copy of a TCP socket that is bound already."""
        listening = ListeningPort._fromListeningDescriptor(self, descriptor, family, factory)
        listening.startListening()
        return listening

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float | None = 30, bindAddress: Any = None
    ) -> Any:
        """Twisted: makes a connection."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Twisted: sends and takes datagrams; raises `CannotListenError`."""
        bound = DatagramPort(port, protocol, interface, maxPacketSize, self)
        bound.startListening()
        return bound

    def adoptDatagramPort(
        self, descriptor: int, family: int, protocol: Any, maxPacketSize: int = 8192
    ) -> Any:
        """Twisted: sends and takes datagrams at a copy of a UDP socket that is bound already."""
        bound = DatagramPort._fromListeningDescriptor(
            self, descriptor, family, protocol, maxPacketSize=maxPacketSize
        )
        bound.startListening()
        return bound

    def addWriter(self, writer: Any) -> None:
        """Twisted: it has something to write; that goes out when the turn ends."""
        # One that still connects has nothing to write: it waits for the kernel.
        if getattr(writer, "connected", False) and writer.fileno() not in self._writes:
            self._eager[writer] = None
        else:
            super().addWriter(writer)

    def removeWriter(self, writer: Any) -> None:
        """Twisted: it has nothing to write any more."""
        if writer in self._eager:
            del self._eager[writer]
        else:
            super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Twisted: those that wait for epoll and those that wait for the turn's end."""
        return [*super().getWriters(), *self._eager]

    def removeAll(self) -> list[Any]:
        """Twisted: forgets all but its own and gives what it forgot."""
        eager, self._eager = self._eager, {}
        return list(dict.fromkeys([*super().removeAll(), *eager]))

    def runUntilCurrent(self) -> None:
        """Runs the timers that are due; then what they have written goes out."""
        super().runUntilCurrent()
        if self._eager:
            self._flush()

    def timeout(self) -> float | None:
        """Seconds until a timer is due; 0 while something waits to be written."""
        soonest: float | None = super().timeout()
        return 0.0 if self._eager else soonest

    def _flush(self) -> None:
        # Those that ask meanwhile wait for the next turn: a producer without end must not hold this one.
        for writer in list(self._eager):
            if writer not in self._eager:
                continue
            try:
                self._doReadOrWrite(writer, writer.fileno(), self._POLL_OUT)
            except Exception:
                _log.err()
                self._eager.pop(writer, None)
            if writer in self._eager:
                # It has more than the kernel takes now.
                del self._eager[writer]
                super().addWriter(writer)

    def doPoll(self, timeout: float | None) -> None:
        """Twisted: waits up to so many seconds (None: without end) and hands on what has come."""
        began = monotonic_ns()
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, max(1, len(self._selectables)))
        except InterruptedError:
            return
        # Python looks no more where a signal, as SIGCONT, ends a wait whose time is up.
        self._polled_before, self._polled = self._polled, monotonic_ns() if events else began
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                try:
                    self._doReadOrWrite(selectable, descriptor, event)
                except Exception:
                    _log.err()
                if self._eager:
                    self._flush()  # in a burst it would wait for the work of all

    doIteration = doPoll


def install() -> None:
    """Makes it the program's; raises `twisted.internet.error.ReactorAlreadyInstalledError`."""
    _main.installReactor(Reactor())
