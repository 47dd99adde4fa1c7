"""Stand-ins for executors and clients of a node, on real sockets and in one thread each.

Executors take jobs up to their slots, run them for a while and call back; clients send one request after the
other."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import threading
from collections import Counter
from collections.abc import Coroutine, Mapping
from typing import Any

LIMIT = 30.0  # seconds for the thread to do what it is asked


async def message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Head and body of the next message; raises `asyncio.IncompleteReadError` at the end of a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = re.search(r"(?i)content-length: (\d+)", head)
    return head, await reader.readexactly(int(length[1]) if length else 0)


class Loop:
    """An event loop in a thread of its own; `close` ends both."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def do(self, work: Coroutine[Any, Any, Any], limit: float = LIMIT) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(limit)

    def close(self) -> None:
        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.do(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(LIMIT)
        self.loop.close()


class Executors(Loop):
    """One executor at each of these listening sockets; they call back at the node's port."""

    def __init__(self, sockets: Mapping[str, socket.socket], port: int, slots: int, run: float) -> None:
        """`slots`: jobs that an executor runs at once, more are turned away; `run`: seconds for each job."""
        super().__init__()
        self.port, self.slots, self.run = port, slots, run
        self.running: Counter[str] = Counter()  # by executor
        self.ran: Counter[str] = Counter()  # by job: how often it was begun
        self.turned_away = 0
        self.callbacks: Counter[str] = Counter()  # by the node's status
        self.do(self._open(sockets))

    async def _open(self, sockets: Mapping[str, socket.socket]) -> None:
        for name, sock in sockets.items():

            async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter, name: str = name) -> None:
                await self._serve(name, r, w)

            await asyncio.start_server(serve, sock=sock)

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await message(reader)
                writer.write(self._answer(name, head))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer(self, name: str, head: str) -> bytes:
        job = re.search(r"(?i)x-txn: (\S+)", head)
        if job is None or not head.startswith("POST"):
            return b"HTTP/1.1 204 OK\r\nContent-Length: 0\r\n\r\n"
        free = self.slots - self.running[name]
        load = f'X-Pressure: {{"x0":{max(0, free - 1)}}}\r\nContent-Length: 0\r\n\r\n'
        if free <= 0:
            self.turned_away += 1
            return f"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\n{load}".encode()
        self.running[name] += 1
        self.ran[job[1]] += 1
        task = self.loop.create_task(self._work(name, job[1]))
        task.add_done_callback(lambda _: None)
        return f"HTTP/1.1 202 Accepted\r\n{load}".encode()

    async def _work(self, name: str, job: str) -> None:
        await asyncio.sleep(self.run)
        self.running[name] -= 1
        told = {"id": job, "from": name, "state": "done", "result": f"of {job}"}
        body = json.dumps({**told, "load": {"x0": self.slots - self.running[name]}})
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            head = f"POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            self.callbacks[(await message(reader))[0][9:12]] += 1
        finally:
            writer.close()


class Clients(Loop):
    """One connection a tenant, each with one request at a time, from `begin` to `stop`."""

    def __init__(self, port: int, lanes: Mapping[str, str]) -> None:
        """`lanes`: the class that each tenant's requests have."""
        super().__init__()
        self.port, self.lanes = port, lanes
        self.sent: Counter[str] = Counter()  # by tenant
        self.answers: dict[str, list[int]] = {}  # by job: the statuses that came for it
        self.served: Counter[str] = Counter()  # by tenant: answers of 200
        self.strange: list[str] = []  # what no client should see
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        async def start() -> None:
            self._tasks = [self.loop.create_task(self._ask(tenant)) for tenant in self.lanes]

        self.do(start())

    def stop(self) -> None:
        """Waits until every request that is out has its answer."""

        async def end() -> None:
            self._stopping = True
            for result in await asyncio.gather(*self._tasks, return_exceptions=True):
                if isinstance(result, BaseException):
                    self.strange.append(repr(result))

        self.do(end())

    async def _ask(self, tenant: str) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            while not self._stopping:
                self.sent[tenant] += 1
                job = f"{tenant}-{self.sent[tenant]}"
                self.answers[job] = []
                writer.write(
                    f"POST /api HTTP/1.1\r\nHost: node\r\nX-Txn: {job}\r\nX-Lane: {self.lanes[tenant]}\r\n"
                    f"X-Org: {tenant}\r\nX-Remaining: 4000m\r\nContent-Length: 0\r\n\r\n".encode()
                )
                head, body = await message(reader)
                status = int(head[9:12])
                self.answers[job].append(status)
                if status == 200:
                    self.served[tenant] += 1
                    if body != f"of {job}".encode():
                        self.strange.append(f"{job}: {body!r}")
                else:
                    await asyncio.sleep(0.05)  # before it comes again
            if not writer.can_write_eof() or await self._more(reader):
                self.strange.append(f"{tenant}: a second answer")
        finally:
            writer.close()

    async def _more(self, reader: asyncio.StreamReader) -> bytes:
        """What comes though nothing is asked."""
        try:
            return await asyncio.wait_for(reader.read(1), 0.2)
        except TimeoutError:
            return b""
