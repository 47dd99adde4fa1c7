"""Datagrams between the nodes of the tier, where the settings allow them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Reactor, Transport
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Requests


class Peers(DatagramProtocol):
    """Implements `requests.PeerSender`; what comes late or never is the module's to bear."""

    noisy = False
    transport: Transport

    def __init__(
        self,
        reactor: Reactor,
        limits: Limits,
        counters: Counters,
        requests: Requests,
        peers: Sequence[tuple[str, int]],
        everyone: tuple[str, int] | None,
    ) -> None:
        """`peers`: addresses by the peers' numbers; `everyone`: where one datagram reaches all, if there is
        such an address."""
        self._reactor, self._limits, self._counters, self._requests = reactor, limits, counters, requests
        self._addresses = list(peers)
        self.aside: Callable[[int, bytes], bool] | None = None  # takes a datagram that is not the module's
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._to = [everyone] if everyone is not None else list(peers)

    def listen(self, at: tuple[str, int]) -> None:
        """Binds a UDP socket; one that can't be bound is a line in the log, and no peers are heard."""
        try:
            self._reactor.listenUDP(at[1], self, at[0], self._limits.datagram + 1)
        except CannotListenError as error:
            # Peers' words help to choose well; a node serves without them too.
            self._counters.say(f"peer_listen: {error}")

    def adopt(self, fd: int, family: int) -> None:
        """Listens on a copy of a socket that is bound already."""
        self._reactor.adoptDatagramPort(fd, family, self, self._limits.datagram + 1)

    def fd(self) -> int | None:
        """Its socket's descriptor; None where it could not listen."""
        return None if self.transport is None else int(self.transport.fileno())

    def pause(self) -> None:
        """What comes is another process's to read."""
        if self.transport is not None:
            self.transport.stopReading()

    def resume(self) -> None:
        """Reads again after `pause`."""
        if self.transport is not None:
            self.transport.startReading()

    def call_failed(self, call: str, error: str) -> None:
        """A system call on its socket failed; `error`: its symbol."""
        self._counters.add(f"calls_failed_{call}_{error.lower()}")

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Twisted: a datagram; one from no peer or beyond the limit counts as bad."""
        number = self._numbers.get(addr)
        if number is None or len(data) > self._limits.datagram:
            self._counters.add("bad_datagrams")
            return
        self._counters.add("heard")
        if self.aside is None or not self.aside(number, data):
            self._requests.heard(number, data)

    def tell(self, data: bytes, to: int | None = None) -> None:
        """To one node by its number, or to all."""
        if self.transport is None or len(data) > self._limits.datagram:
            return
        self._counters.add("told")
        for address in self._to if to is None else self._addresses[to : to + 1]:
            self._send(data, address)

    def say(self, number: int, data: bytes) -> None:
        """To one peer alone."""
        fits = number < len(self._addresses) and len(data) <= self._limits.datagram
        if self.transport is not None and fits:
            self._send(data, self._addresses[number])

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self.transport.write(data, address)
        except OSError:
            self._counters.add("untold")  # no room in the kernel, or no way there: as good as lost
