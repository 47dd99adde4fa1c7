"""Between the nodes of the live stage: each datagram goes through a process of its own, which delays, loses,
doubles and cuts as the day has it (`world.links`), so that loopback is as bad as the day's network.

Node `a` reaches node `b` at an address that is kept for the two alone, `places.relay(a, b)`.  What comes
there goes on from `places.relay(b, a)`, where `b` reaches `a`: a node knows its peers by their addresses."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from violetsaddle.lab.scene import Scene
from violetsaddle.world.day import SECOND, chance
from violetsaddle.world.links import Links, Place

LARGEST = 2048  # bytes; longer ones than the platform allows pass, so that the judge's bounds see them


class _Way(DatagramProtocol):
    """Where one node reaches another."""

    noisy = False
    transport: Any

    def __init__(self, home: RelayParty, source: int, to: int) -> None:
        self._home, self.source, self.to = home, source, to

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        # A stranger's datagram would be passed on under the node's name.
        if addr == self._home.scene.places.peer(self.source):
            self._home.pass_on(self, data)


class RelayParty:
    """All ways between nodes; `carried`, `lost` and `doubled` count datagrams."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.carried = self.lost = self.doubled = 0
        self._links = Links(scene.day, chance(scene.day.seed, "relay"))
        self._places = [Place(hall, node=node) for node, hall in enumerate(scene.day.nodes)]
        self._ways: dict[tuple[int, int], _Way] = {}
        self._ports: list[Any] = []

    def start(self) -> None:
        scene = self.scene
        for source in range(len(self._places)):
            for to in range(len(self._places)):
                if source != to:
                    way = self._ways[source, to] = _Way(self, source, to)
                    host, port = scene.places.relay(source, to)
                    self._ports.append(scene.reactor.listenUDP(port, way, host, LARGEST))
        for at in self._links.changes:
            scene.reactor.callLater(max(0, at - scene.now()) / SECOND, self._links.at, at)

    def pass_on(self, way: _Way, data: bytes) -> None:
        waits = self._links.datagram(self._places[way.source], self._places[way.to])
        self.carried += len(waits) > 0
        self.lost += not waits
        self.doubled += len(waits) > 1
        for wait in waits:
            if wait <= 0:
                self._out(way, data)
            else:
                self.scene.reactor.callLater(wait / SECOND, self._out, way, data)

    def _out(self, way: _Way, data: bytes) -> None:
        back = self._ways[way.to, way.source].transport
        if back is not None:  # the day may have ended meanwhile
            try:
                back.write(data, self.scene.places.peer(way.to))
            except OSError:
                self.lost += 1  # no room in the kernel, or nobody listens there

    def stop(self) -> None:
        for port in self._ports:
            port.stopListening()
