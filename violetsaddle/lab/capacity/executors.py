"""Hollow executors: each takes every job at once and tells its start, its progress and its end."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from violetsaddle.lab import wire
from violetsaddle.lab.capacity.hollow import HOST, Line, Traffic

HELD = "h"  # first letter of the id of a job that runs until it is given up
ACCEPTED, WELL = wire.answer(202), wire.answer(200)


class Call(msgspec.Struct, omit_defaults=True):
    """A callback's body."""

    id: str
    from_: str = msgspec.field(name="from")
    state: str = ""
    share: float = 0.0
    result: str | None = None


class _Caller(Line):
    """An executor's connection to a node for its calls, one at a time."""

    def __init__(self, waiting: deque[bytes]) -> None:
        super().__init__(answers=True)
        self._waiting, self._out = waiting, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.send()

    def send(self) -> None:
        if self._waiting and not self._out:
            self._out = True
            self.transport.write(self._waiting[0])

    def message(self, message: wire.Message) -> None:
        self._waiting.popleft()
        self._out = False
        self.send()


class Executor:
    """One hollow executor; `node` is the node at which its jobs came, by the id's node number."""

    def __init__(self, home: HollowExecutors, name: str) -> None:
        """`name`: the executor's id on the list."""
        self.home, self.name = home, name
        self._waiting: dict[int, deque[bytes]] = {}
        self._callers: dict[int, _Caller | None] = {}
        self.running: dict[str, asyncio.TimerHandle] = {}

    def take(self, job: str) -> None:
        """Starts a job; the 202 is out."""
        self.call(job, Call(job, self.name, "started"))
        self._later(job, self.home.progress if job.startswith(HELD) else self.home.runs)

    def _later(self, job: str, seconds: float) -> None:
        step = self._progress if job.startswith(HELD) else self._done
        self.running[job] = self.home.loop.call_later(seconds, step, job)

    def _progress(self, job: str) -> None:
        self.call(job, Call(job, self.name, "running", share=0.5))
        self._later(job, self.home.progress)

    def _done(self, job: str) -> None:
        self.running.pop(job, None)
        self.call(job, Call(job, self.name, "done", result="ok"))

    def give_up(self, job: str) -> None:
        """Stops a job, if it runs; nothing is told of it."""
        timer = self.running.pop(job, None)
        if timer is not None:
            timer.cancel()

    def call(self, job: str, call: Call) -> None:
        """To the node that the job's id names: `h3-...` is node 3's."""
        node = int(job[1 : job.index("-")])
        body = msgspec.json.encode(call)
        self.home.traffic.calls += 1
        waiting = self._waiting.setdefault(node, deque())
        waiting.append(wire.request("POST", "/callback", "node", body=body))
        if node not in self._callers:
            self._callers[node] = None
            self.home.spawn(self._connect(node))
        elif (caller := self._callers[node]) is not None:
            caller.send()

    async def _connect(self, node: int) -> None:
        waiting = self._waiting[node]
        _, caller = await self.home.loop.create_connection(
            lambda: _Caller(waiting), HOST, self.home.ports[node]
        )
        self._callers[node] = caller

    def close(self) -> None:
        """Ends its jobs and its connections to nodes."""
        for timer in self.running.values():
            timer.cancel()
        self.running.clear()
        for caller in self._callers.values():
            if caller is not None:
                caller.transport.abort()


class _Taker(Line):
    """A node's connection to an executor."""

    def __init__(self, executor: Executor) -> None:
        super().__init__(answers=False)
        self._executor = executor
        self._traffic = executor.home.traffic

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._traffic.connections += 1
        self._executor.home.lines.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._executor.home.lines.discard(self)

    def message(self, message: wire.Message) -> None:
        method, target, _ = message.first
        if method == "POST":
            self._traffic.attempts += 1
            self.transport.write(ACCEPTED)
            self._executor.take(message.headers["x-txn"])
        elif method == "DELETE":
            self._traffic.deletes += 1
            self._traffic.delete_bytes += self.size + len(WELL)
            self._executor.give_up(target.rpartition("/")[2])
            self.transport.write(WELL)
        else:
            answer = wire.answer(200, body=self._executor.home.report)
            self._traffic.probes += 1
            self._traffic.probe_out_bytes += self.size
            self._traffic.probe_in_bytes += len(answer)
            self.transport.write(answer)


class HollowExecutors:
    """`ports` are the nodes', by number; `runs`, `progress`: seconds."""

    def __init__(
        self,
        traffic: Traffic,
        slots: int,
        runs: float,
        progress: float,
        spawn: Callable[[Any], None],
    ) -> None:
        """`spawn` runs a coroutine; `slots` is what load reports show."""
        self.traffic, self.runs, self.progress, self.spawn = traffic, runs, progress, spawn
        self.loop = asyncio.get_running_loop()
        self.report = b"x0=%d" % slots
        self.ports: dict[int, int] = {}
        self.lines: set[_Taker] = set()
        self.executors: list[Executor] = []
        self._servers: list[Any] = []

    async def start(self, count: int) -> list[tuple[str, int]]:
        """Listens at so many ports; names and ports."""
        found = []
        for number in range(count):
            executor = Executor(self, f"e-{number:08x}")
            self.executors.append(executor)
            server = await self.loop.create_server(
                lambda executor=executor: _Taker(executor),  # type: ignore[misc]
                HOST,
                0,
                backlog=64,
            )
            self._servers.append(server)
            found.append((executor.name, int(server.sockets[0].getsockname()[1])))
        return found

    def close(self) -> None:
        """Ends all executors and the connections to them."""
        for server in self._servers:
            server.close()
        for executor in self.executors:
            executor.close()
        for line in list(self.lines):
            line.transport.abort()
