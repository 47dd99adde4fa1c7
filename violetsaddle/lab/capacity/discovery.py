"""Hollow discovery: one list, whole or as changes, and its watchers."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from violetsaddle.lab import wire
from violetsaddle.lab.capacity.hollow import HOST, Line, Traffic


class Entry(msgspec.Struct):
    """One executor as discovery lists it."""

    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str = "up"
    weight: float = 1.0
    started_ms: int = 0


class _Watch(Line):
    def __init__(self, home: HollowDiscovery) -> None:
        super().__init__(answers=False)
        self._home = home
        self.after = -1
        self._timer: asyncio.TimerHandle | None = None

    def message(self, message: wire.Message) -> None:
        query = parse_qs(urlsplit(message.first[1]).query)
        self.after = int(query.get("after", ["-1"])[0])
        self._home.called(self)
        if self.after < self._home.version:
            self.reply()
        else:
            wait = int(query.get("wait_ms", ["0"])[0]) / 1000
            self._timer = self._home.loop.call_later(wait, self.reply)
            self._home.watches.append(self)

    def reply(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self in self._home.watches:
            self._home.watches.remove(self)
        if self.transport.is_closing():
            return
        answer = wire.answer(200, body=self._home.listing(self))
        self._home.traffic.watch_in_bytes += len(answer)
        self.transport.write(answer)

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self in self._home.watches:
            self._home.watches.remove(self)
        self._home.gone(self)


class HollowDiscovery:
    """`list_seconds`: for each whole list, from its answer to the node's next call, which comes once the list
    has been taken in."""

    def __init__(self, traffic: Traffic, entries: Sequence[Entry]) -> None:
        """`entries`: the list as version 1."""
        self.traffic, self.entries = traffic, list(entries)
        self.loop = asyncio.get_running_loop()
        self.version = 1
        self.watches: list[_Watch] = []
        self.whole_lists = 0
        self.list_seconds: list[float] = []
        self._listed: dict[_Watch, float] = {}  # when a connection's whole list went out
        self.list_bytes = 0  # of the last list given, whole or not
        self.caught_up = asyncio.Event()  # each node holds the newest version
        self._changes: list[tuple[int, Entry]] = []
        self._held: dict[_Watch, int] = {}  # by connection: the version its node holds
        self._server: Any = None
        self.nodes = 1  # that have to hold a version until all are caught up

    async def start(self) -> int:
        """Listens and gives the port."""
        self._server = await self.loop.create_server(lambda: _Watch(self), HOST, 0, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def called(self, watch: _Watch) -> None:
        """A call has come on this connection."""
        self.traffic.watch_calls += 1
        self.traffic.watch_out_bytes += watch.size
        self._held[watch] = watch.after
        if (listed := self._listed.pop(watch, None)) is not None:
            self.list_seconds.append(self.loop.time() - listed)
        if sum(version == self.version for version in self._held.values()) >= self.nodes:
            self.caught_up.set()

    def gone(self, watch: _Watch) -> None:
        """A node's connection has ended."""
        self._held.pop(watch, None)
        self._listed.pop(watch, None)

    def listing(self, watch: _Watch) -> bytes:
        """The body of an answer: the whole list, or what has changed since the node's version."""
        whole = watch.after < 0
        if whole:
            self.whole_lists += 1
            self._listed[watch] = self.loop.time()
            servers = self.entries
        else:
            servers = [entry for version, entry in self._changes if version > watch.after]
        body = msgspec.json.encode({"version": self.version, "full": whole, "servers": servers})
        if whole or servers:
            self.list_bytes = len(body)
        return body

    def change(self, numbers: Collection[int], state: str) -> None:
        """These entries have another state from now on; all watchers are told at once."""
        self.version += 1
        self.caught_up.clear()
        for number in numbers:
            entry = self.entries[number] = msgspec.structs.replace(self.entries[number], state=state)
            self._changes.append((self.version, entry))
        for watch in list(self.watches):
            watch.reply()
