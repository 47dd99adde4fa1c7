"""Hollow clients: requests that stay in flight, and short ones at a steady rate."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from violetsaddle.lab import wire
from violetsaddle.lab.capacity.executors import HELD
from violetsaddle.lab.capacity.hollow import HOST, Line, Traffic

SHORT = "s"
HOLD_MS, SHORT_MS = 3_600_000, 60_000  # what a client will wait
WARM_RATE = 40.0  # short requests a second before the rest
OPEN_RATE = 250.0  # held requests that are sent in a second
TICK = 0.005


class _Client(Line):
    def __init__(self, home: HollowClients) -> None:
        super().__init__(answers=True)
        self._home, self.waits = home, False

    def ask(self, data: bytes) -> None:
        self.waits = True
        self.transport.write(data)

    def message(self, message: wire.Message) -> None:
        self.waits = False
        self._home.answered(message.status)
        if message.closes:
            self.transport.close()
        else:
            self._home.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self in self._home.idle:
            self._home.idle.remove(self)
        if self.waits and not self._home.closing:
            self._home.answered(0)
        self._home.lines.discard(self)


class HollowClients:
    """Clients of one node.  Requests take classes and tenants in turn."""

    def __init__(
        self, traffic: Traffic, node: int, port: int, classes: Sequence[str], tenants: Sequence[str]
    ) -> None:
        """`port` is the node's; requests take `classes` and `tenants` in turn."""
        self._traffic, self._node, self._port = traffic, node, port
        self._classes, self._tenants = classes, tenants
        self._loop = asyncio.get_running_loop()
        self.idle: list[_Client] = []
        self.lines: set[_Client] = set()
        self.held = 0  # requests sent that stay in flight
        self.closing = False
        self._sent = 0

    def answered(self, status: int) -> None:
        """Counts an answer; status 0: the connection ended without one."""
        if status == 200:
            self._traffic.served += 1
        elif status in (429, 503):
            self._traffic.refused += 1
        else:
            self._traffic.failed += 1

    def _request(self, kind: str, wait: int) -> bytes:
        number = self._sent = self._sent + 1
        headers = {
            "X-Txn": f"{kind}{self._node}-{number:x}",
            "X-Lane": self._classes[number % len(self._classes)],
            "X-Org": self._tenants[number % len(self._tenants)],
            "X-Remaining": f"{wait}m",
            "Idempotency-Key": f"k{self._node}-{number:x}",
        }
        return wire.request("POST", f"/api?sid={number:016x}", "node", headers, b"hello world")

    async def _connect(self) -> _Client:
        _, client = await self._loop.create_connection(lambda: _Client(self), HOST, self._port)
        self.lines.add(client)
        return client

    async def hold(self, count: int) -> None:
        """Sends requests that stay in flight, each on a connection of its own."""
        begun = self._loop.time()
        for number in range(count):
            client = await self._connect()
            client.ask(self._request(HELD, HOLD_MS))
            self.held += 1
            ahead = begun + number / OPEN_RATE - self._loop.time()
            if ahead > 0:
                await asyncio.sleep(ahead)

    async def run(self, rate: float, most: float = math.inf) -> None:
        """Sends short requests at a rate, at most so many, until it is cancelled."""
        begun, sent = self._loop.time(), 0
        while rate and sent < most:
            due = int(min(most, (self._loop.time() - begun) * rate))
            while sent < due:
                sent += 1
                client = self.idle.pop() if self.idle else await self._connect()
                if not client.transport.is_closing():
                    client.ask(self._request(SHORT, SHORT_MS))
            await asyncio.sleep(TICK)

    def close(self) -> None:
        """Ends all connections."""
        self.closing = True
        for line in list(self.lines):
            line.transport.abort()
