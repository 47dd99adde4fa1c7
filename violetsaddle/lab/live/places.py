"""Addresses of a day that is played on loopback sockets.

Every stage holds a block 127.B.0.0/16 of its own, and in it each party has an address for itself; the port
tells which node a place is kept for.  All ports lie below the kernel's own range, so that no outgoing
connection can sit on one, and a box that comes back finds its port free."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from violetsaddle.lab.scene import Address

BLOCKS = range(1, 255)
PORTS = range(10_000, 30_000)
ROW = 200  # hosts of a row 127.B.ROW.0/24
NODES, BOXES, ROSTERS, RELAYS, LAST = 0, 10, 200, 240, 250  # rows at which each begins


class NoPlace(Exception):
    """The day is too large for a block, or none is free."""


class LivePlaces(msgspec.Struct, frozen=True):
    """`scene.Places`, the same in every process that knows block and port."""

    block: int
    port: int  # of what is kept for node 0

    def _host(self, first: int, end: int, number: int) -> str:
        row = first + number // ROW
        if not first <= row < end:
            raise NoPlace(f"number {number} is beyond the {(end - first) * ROW} places there are")
        return f"127.{self.block}.{row}.{1 + number % ROW}"

    def node(self, node: int) -> Address:
        return self._host(NODES, BOXES, node), self.port

    def peer(self, node: int) -> Address:
        return self._host(NODES, BOXES, node), self.port  # datagrams have ports of their own

    def box(self, node: int, box: int) -> Address:
        return self._host(BOXES, ROSTERS, box), self.port + node

    def roster(self, node: int, move: int) -> Address:
        return self._host(ROSTERS, RELAYS, move), self.port + node

    def relay(self, node: int, other: int) -> Address:
        return self._host(RELAYS, LAST, other), self.port + node


@contextmanager
def reserve(nodes: int) -> Iterator[LivePlaces]:
    """Places that no other stage of this machine has while this lasts; raises `NoPlace`."""
    # An abstract name goes with its process, however that ends.
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as lock:
        for step in range(len(BLOCKS)):
            block = BLOCKS[(os.getpid() + step) % len(BLOCKS)]
            try:
                lock.bind(f"\0violetsaddle-lab-{block}")
            except OSError:
                continue
            yield LivePlaces(block, _ports(f"127.{block}.{LAST}.1", nodes))
            return
        raise NoPlace("every block of loopback addresses is taken")


def _ports(host: str, count: int) -> int:
    """The first of so many ports that nobody holds at every address."""
    count = max(1, count)
    first = PORTS.start
    while first + count <= PORTS.stop:
        taken = next((port for port in range(first, first + count) if not _free(host, port)), None)
        if taken is None:
            return first
        first = taken + 1
    raise NoPlace(f"no {count} ports in a row are free")


def _free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
