"""A TCP relay between two processes that can cut, delay or drop what passes, each way by itself.

All relays of a `Relays` live in one thread; its methods are called from the test's."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

LIMIT = 10.0  # seconds for the relay's thread to do what it is asked


@dataclass
class Way:
    """What becomes of bytes that go one way.  `drop`: they vanish, and the connection stays up; `delay`:
    seconds until they go on, in order."""

    drop: bool = False
    delay: float = 0.0


class _End(asyncio.Protocol):
    """One side of a relayed connection; `other` gets what comes here."""

    def __init__(self, relay: Relay, way: Way) -> None:
        self.relay, self.way = relay, way
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None
        self.held: list[bytes] = []  # come before the other side is up
        self.lossy = False  # bytes have vanished: it can't go on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.relay.ends.add(self)

    def data_received(self, data: bytes) -> None:
        self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        if self.way.drop:
            self.lossy = True
        elif self.other is None or self.other.transport is None or self.held:
            self.held.append(data)
        elif self.way.delay:
            asyncio.get_running_loop().call_later(self.way.delay, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.way.drop:
            self.lossy = True
        elif self.other is not None and self.other.transport is not None:
            self.relay.passed += len(data)
            self.other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.relay.ends.discard(self)
        if self.other is not None and self.other.transport is not None and not self.way.drop:
            self.other.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Relay:
    """Listens at `port`, and passes on to `target` while that is not 0.

    `forward` is the way of bytes from who connects, `back` that of the answers; `cut`: connections are reset
    as they come."""

    def __init__(self, relays: Relays) -> None:
        self._relays = relays
        self.target = self.port = 0
        self.cut = False
        self.forward, self.back = Way(), Way()
        self.ends: set[_End] = set()
        self.passed = 0  # bytes
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()

        def accepted() -> _End:
            end = _End(self, self.forward)
            loop.call_soon(lambda: self._relays.spawn(self._connect(end)))
            return end

        self._server = await loop.create_server(accepted, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connect(self, near: _End) -> None:
        far = _End(self, self.back)
        near.other, far.other = far, near
        if self.cut or not self.target:
            near.abort()
            return
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, "127.0.0.1", self.target)
        except OSError:
            near.abort()
            return
        while near.held:
            near._write(near.held.pop(0))

    def set(self, cut: bool = False, drop: bool = False, drop_back: bool = False, delay: float = 0.0) -> None:
        """From now on; connections whose bytes have vanished are reset, and all of them by `cut`."""

        async def change() -> None:
            self.cut = cut
            self.forward.drop, self.back.drop = drop, drop_back
            self.forward.delay = delay
            for end in list(self.ends):
                if cut or ((end.lossy or (end.other is not None and end.other.lossy)) and not end.way.drop):
                    end.abort()

        self._relays.do(change())

    def reset(self) -> None:
        """Ends all connections; new ones may follow."""

        async def change() -> None:
            for end in list(self.ends):
                end.abort()

        self._relays.do(change())

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for end in list(self.ends):
            end.abort()


class Relays:
    """The thread of all relays of a test; `close` ends it."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._all: list[Relay] = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def do(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(LIMIT)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def relay(self) -> Relay:
        made = Relay(self)
        self.do(made.open())
        self._all.append(made)
        return made

    def close(self) -> None:
        async def end() -> None:
            for relay in self._all:
                await relay.close()
            for task in self._tasks:
                task.cancel()

        self.do(end())
        stop: Callable[[], None] = self._loop.stop
        self._loop.call_soon_threadsafe(stop)
        self._thread.join(LIMIT)
        self._loop.close()
