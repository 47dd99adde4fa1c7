"""UDP datagrams between the nodes of the tier, if the settings enable them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Reactor, Transport
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Requests


class Peers(DatagramProtocol):
    """Sends and receives the decision module's datagrams.  Implements `requests.PeerSender`.

    Delivery is not guaranteed: the module tolerates late and lost datagrams."""

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
        me: int = -1,
    ) -> None:
        """`peers`: addresses, each at the index that is the peer's number; `everyone`: multicast or broadcast
        address of all peers, or None; `me`: this node's own number."""
        self._me = me
        self._reactor = reactor
        self._limits = limits
        self._counters = counters
        self._requests = requests
        self._addresses = list(peers)
        # Gets the peer's number and each datagram first; true: it is handled and does not go to the module.
        self.datagram_handler: Callable[[int, bytes], bool] | None = None
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._broadcast_addresses = [everyone] if everyone is not None else list(peers)

    def listen(self, at: tuple[str, int]) -> None:
        """Binds a UDP socket.  A failure is logged, and the node runs without peer datagrams."""
        try:
            self._reactor.listenUDP(at[1], self, at[0], self._limits.datagram + 1)
        except CannotListenError as error:
            # Datagrams from peers only improve the choice of servers; the node also works without them.
            self._counters.say(f"peer_listen: {error}")

    def adopt(self, fd: int, family: int) -> None:
        """Listens on a duplicate of the bound socket `fd`; `family`: its address family."""
        self._reactor.adoptDatagramPort(fd, family, self, self._limits.datagram + 1)

    def fd(self) -> int | None:
        """File descriptor of the socket, or None if `listen` failed."""
        return None if self.transport is None else int(self.transport.fileno())

    def pause(self) -> None:
        """Stops reading, so that another process can read from the shared socket."""
        if self.transport is not None:
            self.transport.stopReading()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        if self.transport is not None:
            self.transport.startReading()

    def call_failed(self, call: str, error: str) -> None:
        """Counts a failed system call on the socket; `error`: symbolic errno, for example `ENOBUFS`."""
        self._counters.add(f"calls_failed_{call}_{error.lower()}")

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram on; one from an unknown sender or above the size limit is dropped and counted."""
        number = self._numbers.get(addr)
        if number is None or len(data) > self._limits.datagram:
            self._counters.add("bad_datagrams")
            return
        self._counters.add("heard")
        if number == self._me:
            self._counters.add("heard_own")
        if self.datagram_handler is None or not self.datagram_handler(number, data):
            self._requests.heard(number, data)

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Sends a datagram of the decision module to peer `to`, or to all peers if it is None.

        A datagram above the size limit is dropped."""
        if self.transport is None or len(data) > self._limits.datagram:
            return
        self._counters.add("told")
        for address in self._broadcast_addresses if to is None else self._addresses[to : to + 1]:
            self._send(data, address)

    def send(self, number: int, data: bytes) -> None:
        """Sends a datagram of the node itself to one peer; drops it if it is too long or the peer unknown."""
        fits = number < len(self._addresses) and len(data) <= self._limits.datagram
        if self.transport is not None and fits:
            self._send(data, self._addresses[number])

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self.transport.write(data, address)
        except OSError:
            self._counters.add("untold")  # send buffer full or no route: treated as lost
