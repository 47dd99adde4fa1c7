"""Hosts, and the kernel's side of their sockets: streams in order, handshakes, resets and datagrams.

Nothing here calls a protocol: `reactor` does, on top of `Socket`.  What a link does to a piece is drawn by
`world.links`.  Like a kernel's, these sockets go on when their process has ended."""

from __future__ import annotations

from typing import Any, Protocol

from violetsaddle.lab.sim.loop import Loop
from violetsaddle.world.day import MS, SECOND
from violetsaddle.world.links import Links, Place

Address = tuple[str, int]
WINDOW = 128 * 1024  # bytes under way or unread in one direction: both kernels' buffers
RESEND = 200 * MS  # the first wait before a lost piece is sent again, doubled by each
RESEND_MOST = 64  # times the first wait
SYN_AGAIN, SYN_TRIES = SECOND, 7
PORTS = 32768, 60999


class Listener(Protocol):
    """A listening socket, as its host's kernel sees it."""

    @property
    def full(self) -> bool: ...

    def hands(self, client: Socket) -> Socket:
        """The new socket of a connection that a client has just got."""

    def arrived(self, socket: Socket) -> None:
        """The handshake's last piece: the connection may be accepted."""


class Datagrams(Protocol):
    def heard(self, data: bytes, source: Address) -> None: ...


class Host:
    """A machine (or a crowd of them, as the clients are) with addresses of its own."""

    def __init__(self, network: Network, name: str, place: Place, *addresses: str) -> None:
        self.network, self.name, self.place, self.addresses = network, name, place, list(addresses)
        self.silent = False
        self._port = PORTS[0]
        for address in addresses:
            network.hosts[address] = self
        network.machines.append(self)

    @property
    def address(self) -> str:
        return self.addresses[0]

    def add(self, address: str) -> None:
        self.addresses.append(address)
        self.network.hosts[address] = self

    def port(self) -> int:
        """A number for a socket that asks for none."""
        self._port = self._port + 1 if self._port < PORTS[1] else PORTS[0]
        return self._port


class Network:
    """`sockets` are those that a process holds, in the order of their making."""

    def __init__(self, loop: Loop, links: Links) -> None:
        self.loop, self.links = loop, links
        self.hosts: dict[str, Host] = {}
        self.machines: list[Host] = []
        self.sockets: dict[Socket, None] = {}
        self.listeners: dict[Address, Listener] = {}
        self.datagrams: dict[Address, Datagrams] = {}
        self.running: Any = None  # the process whose code runs, or ran last
        for at in links.changes:
            loop.call_at(at, self._change)

    def _change(self) -> None:
        """Something has happened to the links; what was open at a machine that is back is reset."""
        self.links.at(self.loop.now)
        for host in self.machines:
            silent = self.links.silent(host.place)
            if host.silent and not silent:
                self.reset(host)
            host.silent = silent

    def reset(self, host: Host) -> None:
        """Both ends of all its connections learn that they are no more."""
        for socket in list(self.sockets):
            if socket.host is host or (socket.peer is not None and socket.peer.host is host):
                self.loop.call(socket.delay() if socket.host is not host else 0, socket.arrive_reset)

    def connect(self, client: Socket, tries: int = 0) -> None:
        """Sends a connection's first piece, again and again until it comes through or is given up."""
        if client.closed:
            return
        to = self.hosts.get(client.remote[0])
        links, here = self.links, client.host.place
        if (
            to is not None
            and links.troubled
            and not (links.passes(here, to.place) and links.passes(to.place, here))
        ):
            self._again(client, tries)
            return
        self.loop.call(client.delay(), self._asked, client, tries)

    def _again(self, client: Socket, tries: int) -> None:
        if tries < SYN_TRIES:
            self.loop.call(SYN_AGAIN << tries, self.connect, client, tries + 1)
        else:
            client.connected_not(late=True)

    def _asked(self, client: Socket, tries: int) -> None:
        if client.closed:
            return
        listener = self.listeners.get(client.remote)
        if listener is None:
            self.loop.call(client.delay(), client.connected_not, False)
        elif listener.full:
            self._again(client, tries)
        else:
            self.loop.call(client.delay(), self._agreed, client, listener)

    def _agreed(self, client: Socket, listener: Listener) -> None:
        if client.closed:
            return
        server = listener.hands(client)
        client.peer, server.peer = server, client
        self.sockets[server] = None
        client.last_at = self.loop.now + client.delay()
        self.loop.call_at(client.last_at, listener.arrived, server)
        client.connected_now()

    def send_to(self, host: Host, source: Address, data: bytes, to: Address) -> None:
        """A datagram."""
        there = self.hosts.get(to[0])
        if there is not None:
            for wait in self.links.datagram(host.place, there.place):
                self.loop.call(wait, self._heard, data, source, to)

    def _heard(self, data: bytes, source: Address, to: Address) -> None:
        listener = self.datagrams.get(to)
        if listener is not None:
            listener.heard(data, source)


class Socket:
    """One end of a connection.  `arrive*` are what the network brings, `received*` what a process makes of
    it; `unsent` are pieces that did not come through yet, in order, None for the end of the stream."""

    __slots__ = (
        "network",
        "host",
        "here",
        "remote",
        "peer",
        "base",
        "last_at",
        "sent_at",
        "ends_at",
        "under_way",
        "unsent",
        "wait",
        "unread",
        "ended",
        "broken",
        "closed",
        "finished",
    )

    def __init__(self, network: Network, host: Host, here: Address, remote: Address) -> None:
        self.network, self.host, self.here, self.remote = network, host, here, remote
        self.peer: Socket | None = None
        to = network.hosts.get(remote[0], host)
        self.base = network.links.base(host.place, to.place)
        self.last_at = network.loop.now  # when the last piece sent arrives
        self.sent_at: int | None = None  # when it was sent
        self.ends_at: int | None = None  # when the other side's stream ends here, once that is out
        self.under_way = 0  # bytes that the other process has not read
        self.unsent: list[bytes | None] = []
        self.wait = 0
        self.unread: list[bytes] = []
        self.ended = False  # the other side's stream
        self.broken = False  # a reset came
        self.closed = False  # no process holds it
        self.finished = False  # this side's stream

    def delay(self) -> int:
        return self.network.links.delay(self.base)

    # Out.

    def send(self, data: bytes | None) -> None:
        """A piece goes out; None ends the stream."""
        if data is None:
            self.finished = True
        else:
            self.under_way += len(data)
        if self.unsent:
            self.unsent.append(data)
        elif self._passes():
            self._transmit(data)
        else:
            self.unsent.append(data)
            self.wait = RESEND
            self.network.loop.call(RESEND, self._send_again)

    def _passes(self) -> bool:
        links, peer = self.network.links, self.peer
        return not links.troubled or (peer is not None and links.passes(self.host.place, peer.host.place))

    def _send_again(self) -> None:
        if self.broken or not self.unsent:
            return
        if not self._passes():
            self.wait = min(self.wait * 2, RESEND_MOST * RESEND)
            self.network.loop.call(self.wait, self._send_again)
            return
        pieces, self.unsent = self.unsent, []
        for data in pieces:
            self._transmit(data)

    def _transmit(self, data: bytes | None) -> None:
        peer = self.peer
        assert peer is not None
        loop, links = self.network.loop, self.network.links
        at = loop.now + links.delay(self.base)
        if at < self.last_at:
            at = self.last_at
        if data is None:
            if self.sent_at == loop.now:
                at = self.last_at  # the last piece of data bears it
            peer.ends_at = at
            loop.call_at(at, peer.arrive_end)
        else:
            self.sent_at = loop.now
            cuts = links.cuts(data)
            start = 0
            for end in cuts:
                loop.call_at(at, peer.arrive, data[start:end])
                start, at = end, at + links.gap(self.base)
            loop.call_at(at, peer.arrive, data[start:] if start else data)
        self.last_at = at

    def send_reset(self) -> None:
        """Tells the other side at once, if there is a way; it is not sent again."""
        peer = self.peer
        if peer is not None and not peer.closed and self._passes():
            loop = self.network.loop
            at = max(self.last_at, loop.now + self.delay())
            loop.call_at(at, peer.arrive_reset)
            self.last_at = at

    def close(self, orderly: bool = True) -> None:
        """The process lets go of it.  What it has not read is lost, and the other side learns that."""
        if self.closed:
            return
        self.closed = True
        self.network.sockets.pop(self, None)
        if self.peer is None or self.broken:
            return
        if orderly and not self.finished:
            self.send(None)
        if not orderly:
            self.unsent.clear()
        if not orderly or self.unread:
            self.send_reset()

    # In.

    def arrive(self, data: bytes) -> None:
        if self.closed:
            self.send_reset()
        elif not self.broken:
            self.received(data)

    def arrive_end(self) -> None:
        if not self.closed and not self.broken:
            self.ended = True
            self.received_end()
        self._part()

    def arrive_reset(self) -> None:
        if not self.closed and not self.broken:
            self.broken = True
            self.unsent.clear()
            self.received_reset()
        self._part()

    def _part(self) -> None:
        """Both ends are closed: they must not hold each other, or only the collector could free them."""
        peer = self.peer
        if peer is not None and self.closed and peer.closed and not peer.unsent and not self.unsent:
            self.peer = peer.peer = None

    def took(self, size: int) -> None:
        """The process has read so many bytes: there is room for more."""
        peer = self.peer
        assert peer is not None
        peer.under_way -= size
        peer.room()

    def room(self) -> None:
        """Bytes sent have been read at the other end."""

    def received(self, data: bytes) -> None:
        raise NotImplementedError

    def received_end(self) -> None:
        raise NotImplementedError

    def received_reset(self) -> None:
        raise NotImplementedError

    def connected_now(self) -> None:
        raise NotImplementedError

    def connected_not(self, late: bool) -> None:
        """The connection was refused, or nobody answered."""
        raise NotImplementedError
