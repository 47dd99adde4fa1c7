"""Clients for `benchmarks.ordinary`: a child process that reads one `Task` a line and says what came of it.

Open loop (`rate` above 0): each request has a time drawn before, and its latency counts from that time,
whatever the clients do too slowly included.  Closed loop: each client asks again once it has its answer."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from benchmarks.standins import HOST, Framed, Told, say

MOST = 512  # connections of an open loop
UP = b"GET /up HTTP/1.1\r\nHost: node\r\n\r\n"


class Task(msgspec.Struct):
    """`rate` is a second, sizes are bytes, `spacing` is seconds between single bytes or kilobytes."""

    port: int
    name: str = "t"  # ids begin with it
    requests: int = 1000
    clients: int = 16
    rate: float = 0.0
    body: int = 212
    idle: int = 0  # connections that have been answered once and ask no more; 0 closes them
    held: int = 0  # requests kept open; more than are open now opens the rest
    cut: bool = False  # each request in single bytes
    slow: int = 0  # clients whose 64 KiB body comes at 1 KiB a second meanwhile
    burst: bool = False  # all requests at once, each on a new connection
    seed: int = 1


class Figures(msgspec.Struct):
    """Microseconds; `seconds` from the first request to the last answer."""

    seconds: float
    statuses: dict[str, int]
    p50: int
    p99: int
    p999: int
    longest: int
    connections: int
    slow: dict[str, int]
    late: int  # 99 % of the requests were written at most so long after their time


def request(job: str, body: bytes, number: int, wait: int = 3000) -> bytes:
    return (
        f"POST /api?sid={number:016x} HTTP/1.1\r\nHost: backend.local\r\n"
        f"X-Txn: {job}\r\nX-Lane: quote\r\nX-Org: acme\r\nX-Remaining: {wait}m\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Client(Framed):
    def __init__(self, run: Run) -> None:
        super().__init__()
        self.run, self.due = run, 0.0

    def ask(self, data: bytes, due: float) -> None:
        self.due = due
        self.run.late.record_value(max(1, int((self.run.loop.time() - due) * 1e6)))
        self.transport.write(data)

    def message(self, head: bytes, body: bytes) -> None:
        due, self.due = self.due, 0.0
        self.run.answered(self, head[9:12].decode(), due)

    def connection_lost(self, error: Exception | None) -> None:
        self.run.lost(self)
        if self.due:
            self.due = 0.0
            self.run.answered(None, "closed", 0.0)


class Quiet(Framed):
    """Idle clients, those whose requests are held, and slow ones: the first answer is noted."""

    def __init__(self, seen: Counter[str]) -> None:
        super().__init__()
        self.seen = seen
        self.first: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def message(self, head: bytes, body: bytes) -> None:
        self.seen[head[9:12].decode()] += 1
        if not self.first.done():
            self.first.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.first.done():
            self.seen["closed"] += 1
            self.first.set_result(None)


class Run:
    def __init__(self, task: Task, loop: asyncio.AbstractEventLoop) -> None:
        self.task, self.loop = task, loop
        self.took, self.late = HdrHistogram(1, 600_000_000, 3), HdrHistogram(1, 600_000_000, 3)
        self.statuses: Counter[str] = Counter()
        self.slow: Counter[str] = Counter()
        self.free: list[Client] = []
        self.waiting: list[tuple[bytes, float]] = []
        self.made, self.sent, self.ended = 0, 0, 0
        self.over = asyncio.Event()
        self.body = b"x" * task.body
        self.tasks: set[asyncio.Task[None]] = set()
        self.lines: list[Client] = []

    def answered(self, client: Client | None, status: str, due: float) -> None:
        self.statuses[status] += 1
        self.ended += 1
        if due:
            self.took.record_value(max(1, int((self.loop.time() - due) * 1e6)))
        if self.ended >= self.task.requests:
            self.over.set()
            return
        if client is None or self.task.burst:
            return
        if self.task.cut:
            self.spawn(self.pieces(client))
        elif not self.task.rate:
            if self.sent < self.task.requests:
                client.ask(self.next(), self.loop.time())
        elif self.waiting:
            client.ask(*self.waiting.pop(0))
        else:
            self.free.append(client)

    def lost(self, client: Client) -> None:
        """Nothing more is asked on it, and another may be opened in its place."""
        self.lines.remove(client)
        if client in self.free:
            self.free.remove(client)
        self.made -= 1

    def next(self) -> bytes:
        self.sent += 1
        return request(f"a{self.task.name}{self.sent:07x}", self.body, self.sent)

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self) -> Client:
        self.made += 1
        try:
            _, line = await self.loop.create_connection(lambda: Client(self), HOST, self.task.port)
        except OSError:
            self.made -= 1
            raise
        self.lines.append(line)
        return line

    async def extra(self) -> None:
        try:
            line = await self.connect()
        except OSError:
            return  # the next one due tries again
        if self.waiting:
            line.ask(*self.waiting.pop(0))
        else:
            self.free.append(line)

    async def alone(self) -> None:
        due = self.loop.time()
        try:
            (await self.connect()).ask(self.next(), due)
        except OSError:
            self.answered(None, "refused", 0.0)

    async def pieces(self, client: Client) -> None:
        if self.sent >= self.task.requests:
            return
        data, due = self.next(), self.loop.time()
        for at in range(len(data) - 1):
            client.transport.write(data[at : at + 1])
            await asyncio.sleep(0.0002)
        client.ask(data[-1:], due)

    async def trickle(self, number: int) -> None:
        _, line = await self.loop.create_connection(lambda: Quiet(self.slow), HOST, self.task.port)
        data = request(f"a{self.task.name}s{number:x}", b"x" * 65536, number, 120_000)
        for at in range(0, len(data), 1024):
            if line.first.done() or self.over.is_set():
                break
            line.transport.write(data[at : at + 1024])
            await asyncio.sleep(1.0)
        line.transport.abort()

    def tick(self) -> None:
        now = self.loop.time()
        while self.times and self.start + self.times[-1] <= now:
            due = self.start + self.times.pop()
            if self.free:
                self.free.pop().ask(self.next(), due)
            else:
                self.waiting.append((self.next(), due))
                if self.made < MOST:
                    self.spawn(self.extra())
        if self.times:
            self.loop.call_at(self.start + self.times[-1], self.tick)

    async def go(self) -> Figures:
        task = self.task
        for number in range(task.slow):
            self.spawn(self.trickle(number))
        if task.burst:
            self.start = self.loop.time()
            for _ in range(task.requests):
                self.spawn(self.alone())
        else:
            lines = [await self.connect() for _ in range(task.clients)]
            await asyncio.sleep(0.05)
            self.start = self.loop.time()
            if task.rate:
                self.free = lines
                draws = np.random.default_rng(np.random.SeedSequence(task.seed))
                self.times = np.cumsum(draws.exponential(1 / task.rate, task.requests))[::-1].tolist()
                self.tick()
            else:
                for line in lines[: task.requests]:
                    if task.cut:
                        self.spawn(self.pieces(line))
                    else:
                        line.ask(self.next(), self.loop.time())
        try:
            await asyncio.wait_for(self.over.wait(), 60 + (task.requests / task.rate if task.rate else 60))
        except TimeoutError:
            self.statuses["silent"] += task.requests - self.ended
        took = self.loop.time() - self.start
        opened = self.made
        for line in self.lines:
            line.due = 0.0
            line.transport.abort()
        for left in list(self.tasks):
            left.cancel()
        await asyncio.sleep(0.02)
        at = self.took.get_value_at_percentile
        return Figures(
            took,
            dict(self.statuses),
            at(50),
            at(99),
            at(99.9),
            self.took.get_max_value(),
            opened,
            dict(self.slow),
            self.late.get_value_at_percentile(99),
        )


class Loader:
    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.idle: list[Quiet] = []
        self.kept: list[Quiet] = []
        self.seen: Counter[str] = Counter()
        self.held_ids = 0

    async def quiet(self, count: int, kept: list[Quiet], port: int, held: bool) -> None:
        loop = asyncio.get_running_loop()
        while len(kept) > count:
            kept.pop().transport.abort()
        while len(kept) < count:
            _, line = await loop.create_connection(lambda: Quiet(self.seen), HOST, port)
            kept.append(line)
            if held:
                self.held_ids += 1
                line.transport.write(request(f"z{self.held_ids:08x}", b"hello", self.held_ids, 600_000))
                if self.held_ids % 8 == 0:
                    await asyncio.sleep(0.01)
            else:
                line.transport.write(UP)
                await line.first

    async def run(self) -> None:
        loop, number = asyncio.get_running_loop(), 0
        while True:
            task = msgspec.json.decode(await self.queue.get(), type=Task)
            number += 1
            await self.quiet(task.idle, self.idle, task.port, False)
            await self.quiet(task.held, self.kept, task.port, True)
            say(
                ready=number,
                idle=sum(not line.transport.is_closing() for line in self.idle),
                held=sum(not line.first.done() for line in self.kept),
            )
            if task.requests:
                await self.queue.get()  # the word to begin
                found = await Run(task, loop).go()
                say(figures=msgspec.structs.asdict(found), done=number)
            else:
                say(done=number)

    def heard(self, data: bytes) -> None:
        for line in data.splitlines():
            self.queue.put_nowait(line)


async def main() -> None:
    loop, over, loader = asyncio.get_running_loop(), asyncio.Event(), Loader()
    await loop.connect_read_pipe(lambda: Told(loader.heard, over.set), sys.stdin)
    running = loop.create_task(loader.run())
    say(up=True)
    over_task = loop.create_task(over.wait())
    await asyncio.wait({running, over_task}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        running.result()


if __name__ == "__main__":
    asyncio.run(main())
    sys.stdout.flush()
    os._exit(0)  # thousands of connections need no farewell each
