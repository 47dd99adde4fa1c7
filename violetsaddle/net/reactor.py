"""An epoll reactor that does less work for each event than Twisted's own.

Before each write, Twisted registers the descriptor with epoll, and unregisters it afterwards: two system
calls and one more reactor turn, even where the socket could have taken the data at once. Here the data that
an event or a timer has written is collected and sent right after it. Epoll is used only where the kernel did
not take everything. Events are dispatched without Twisted's logging context, which nothing here reads."""

from __future__ import annotations

import signal
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
    """An `EPollReactor` that writes without waiting for epoll; see the module."""

    seconds = staticmethod(
        monotonic
    )  # Twisted's default is the wall clock, whose steps would shift every timer

    def __init__(self) -> None:
        """Opens the epoll descriptor and wraps it in a `Poller`."""
        # Writers to be flushed without epoll, in the order in which they were added.
        self._unflushed: dict[Any, None] = {}
        self._last_poll_ns = self._previous_poll_ns = STARTED
        super().__init__()
        self._poller = Poller(vars(self)["_poller"])

    def wake_on_signals(self) -> None:
        """Has each signal end the reactor's wait.

        Python runs signal handlers between two instructions.  A signal that arrives after the last of these
        and before the wait, or in another thread, would only be handled once something else ends the wait."""
        signal.set_wakeup_fd(self.waker.o, warn_on_full_buffer=False)

    def behind(self) -> int:
        """The longest time, in microseconds, for which data on a polled socket may have been unread."""
        return (monotonic_ns() - self._previous_poll_ns) // 1000

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Twisted: listens for TCP connections; raises `CannotListenError`."""
        listening = ListeningPort(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def adoptStreamPort(self, descriptor: int, family: int, factory: Any) -> Any:
        """Twisted: listens on a duplicate of a TCP socket that is already bound."""
        listening = ListeningPort._fromListeningDescriptor(self, descriptor, family, factory)
        listening.startListening()
        return listening

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float | None = 30, bindAddress: Any = None
    ) -> Any:
        """Twisted: opens a TCP connection."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Twisted: sends and receives datagrams; raises `CannotListenError`."""
        bound = DatagramPort(port, protocol, interface, maxPacketSize, self)
        bound.startListening()
        return bound

    def adoptDatagramPort(
        self, descriptor: int, family: int, protocol: Any, maxPacketSize: int = 8192
    ) -> Any:
        """Twisted: sends and receives datagrams on a duplicate of a UDP socket that is already bound."""
        bound = DatagramPort._fromListeningDescriptor(
            self, descriptor, family, protocol, maxPacketSize=maxPacketSize
        )
        bound.startListening()
        return bound

    def addWriter(self, writer: Any) -> None:
        """Twisted: `writer` has data to write. It is flushed after the current event or the timers."""
        # A transport that is still connecting has no data: it waits for the kernel.
        if getattr(writer, "connected", False) and writer.fileno() not in self._writes:
            self._unflushed[writer] = None
        else:
            super().addWriter(writer)

    def removeWriter(self, writer: Any) -> None:
        """Twisted: `writer` has no more data to write."""
        if writer in self._unflushed:
            del self._unflushed[writer]
        else:
            super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Twisted: the writers that wait for epoll and those that are not flushed yet."""
        return [*super().getWriters(), *self._unflushed]

    def removeAll(self) -> list[Any]:
        """Twisted: removes and returns all readers and writers but the reactor's own."""
        unflushed, self._unflushed = self._unflushed, {}
        return list(dict.fromkeys([*super().removeAll(), *unflushed]))

    def runUntilCurrent(self) -> None:
        """Twisted: runs the timers that are due, then flushes what they have written."""
        super().runUntilCurrent()
        if self._unflushed:
            self._flush()

    def timeout(self) -> float | None:
        """Twisted: seconds until the next timer is due; 0 while a writer is not flushed yet."""
        until_timer: float | None = super().timeout()
        return 0.0 if self._unflushed else until_timer

    def _flush(self) -> None:
        # Writers added meanwhile wait for the next flush: an endless producer must not block this one.
        for writer in list(self._unflushed):
            if writer not in self._unflushed:
                continue
            try:
                self._doReadOrWrite(writer, writer.fileno(), self._POLL_OUT)
            except Exception:
                _log.err()
                self._unflushed.pop(writer, None)
            if writer in self._unflushed:
                # The kernel did not take everything.
                del self._unflushed[writer]
                super().addWriter(writer)

    def doPoll(self, timeout: float | None) -> None:
        """Twisted: waits up to `timeout` seconds (None: without limit) and dispatches the events."""
        started_ns = monotonic_ns()
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, max(1, len(self._selectables)))
        except InterruptedError:
            return
        # If a signal such as SIGCONT ends a wait whose timeout has passed, Python does not poll again. So
        # without events, the sockets are only known to be polled as of the start of the wait.
        self._previous_poll_ns, self._last_poll_ns = (
            self._last_poll_ns,
            monotonic_ns() if events else started_ns,
        )
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                try:
                    self._doReadOrWrite(selectable, descriptor, event)
                except Exception:
                    _log.err()
                if self._unflushed:
                    self._flush()  # not after the whole batch, which may take long

    doIteration = doPoll


def install() -> None:
    """Installs the reactor for the process; raises `ReactorAlreadyInstalledError`."""
    _main.installReactor(Reactor())
