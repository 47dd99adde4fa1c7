"""Addresses of a day that is played on the simulated network: one for each machine, a port for each node."""

from __future__ import annotations

from violetsaddle.lab.scene import Address

CLIENTS, BOXES = "10.254.0.1", "10.254.0.2"  # of the parties' processes; each box has its own besides
NODE_PORT, PEER_PORT, BOX_PORT, ROSTER_PORT = 8081, 7946, 10_000, 30_000


def _host(row: int, number: int) -> str:
    return f"10.{row + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class SimPlaces:
    """`scene.Places`."""

    def node(self, node: int) -> Address:
        return _host(1, node), NODE_PORT

    def peer(self, node: int) -> Address:
        return _host(1, node), PEER_PORT

    def relay(self, node: int, other: int) -> Address:
        return self.peer(other)  # the network itself is between them

    def box(self, node: int, box: int) -> Address:
        return _host(32, box), BOX_PORT + node

    def roster(self, node: int, move: int) -> Address:
        return _host(64, move), ROSTER_PORT + node
