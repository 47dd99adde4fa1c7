"""Stands in for the nodes where the load tool itself is measured: takes every job and answers it at once."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from violetsaddle.lab import wire
from violetsaddle.lab.records import Strange
from violetsaddle.lab.scene import Scene


class _Echo(Protocol):
    transport: Any

    def __init__(self, home: EchoParty) -> None:
        self._home, self._reader = home, wire.Reader(answers=False)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._home.connections[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._home.connections.pop(self, None)

    def dataReceived(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except wire.Garbled as error:
            self._home.scene.ledger.add(Strange(self._home.scene.now(), "echo", str(error)))
            self.transport.abortConnection()
            return
        for message in messages:
            body = message.headers.get("x-txn", "ready").encode("latin-1")
            self.transport.write(wire.answer(200, body=body))


class _Echoes(Factory):
    noisy = False

    def __init__(self, home: EchoParty) -> None:
        self._home = home

    def buildProtocol(self, addr: object) -> _Echo:
        return _Echo(self._home)


class EchoParty:
    """Listens at every node's address."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.connections: dict[_Echo, None] = {}
        self._ports: list[Any] = []

    def start(self) -> None:
        factory = _Echoes(self)
        for node in range(len(self.scene.day.nodes)):
            host, port = self.scene.places.node(node)
            self._ports.append(self.scene.reactor.listenTCP(port, factory, 1024, host))

    def stop(self) -> None:
        for port in self._ports:
            port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
