"""Executors and clients that misbehave by a seed, and what they saw; `tests/test_soak.py` plays them.

Executors take jobs and keep a record of what is out.  They lose a 202, also with its connection, answer
twice, cut an answer, reset, hang for a while, turn jobs away or lose a DELETE.  Clients use their connections
until the node ends."""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass

from tests.executor import Loop, message

EMPTY = b"Content-Length: 0\r\n\r\n"
ACCEPTED = b"HTTP/1.1 202 Accepted\r\n" + EMPTY
FULL = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\n" + EMPTY
DELETED = b"HTTP/1.1 204 No Content\r\n" + EMPTY
UNSAFE = "settle"
TURN = 0.01  # seconds between two looks at the executors' loop
LAG = 0.03  # seconds by which a loop of ours may be late without spoiling what it measures
LAG_SPOILS = 0.5  # seconds for which nothing measured counts then
SLACK = 0.15  # seconds that the time told to an executor may be beyond what the client has left
ANSWER_SLACK = 0.5  # seconds after its time within which an answer still counts


@dataclass
class Copy:
    """A job as one executor holds it."""

    job: str
    executor: str
    accepted: bool = False  # a 202 was sent: closing the connection does not end it
    over: bool = False
    never_ran: bool = False


@dataclass
class Asked:
    """A request as its client sees it; times are of the monotonic clock."""

    lane: str
    at: float
    wait: float
    first: bool  # on its connection
    answer: int = 0
    answered_at: float = 0.0
    left: bool = False
    closed: bool = False
    written: float = 0.0  # when its last byte had been handed to the kernel or its buffer


class Record:
    """All requests and copies of a run, and the rules that were broken."""

    def __init__(self) -> None:
        self.copies: dict[str, list[Copy]] = {}
        self.asked: dict[str, Asked] = {}
        self.broken: list[str] = []
        self.lagged_until = 0.0  # the machine was busy: times of arrival are not to be trusted
        self.looked_at = math.inf  # when the executors' loop was last seen to turn

    async def watch_lag(self) -> None:
        """Notices that the executors' loop turns late; to be run on it."""
        while True:
            self.looked_at = time.monotonic()
            await asyncio.sleep(TURN)
            self.look()

    def look(self) -> None:
        """Notes whether the loop has turned late since it was last seen to turn."""
        now = time.monotonic()
        if now - self.looked_at > TURN + LAG:
            self.lagged_until = now + LAG_SPOILS

    def begin(self, job: str, executor: str, told: float) -> Copy:
        """An executor has got a job and is told to be done within so many seconds."""
        self.look()  # what lay unread while the loop was held up may be read before `watch_lag` goes on
        earlier, now = self.copies.setdefault(job, []), time.monotonic()
        asked = self.asked[job]
        for copy in earlier:
            if not copy.over:
                self.broken.append(f"{job} is at {executor} and still at {copy.executor}")
            if asked.lane == UNSAFE and not copy.never_ran:
                self.broken.append(f"{job} must not run twice and is at {executor} after {copy.executor}")
        if now >= self.lagged_until and told > asked.at + asked.wait - now + SLACK:
            self.broken.append(
                f"{job}: {executor} was told {told:.3f} s, too much; wait {asked.wait:.3f} s, asked "
                f"{now - asked.at:.3f} s ago, written {now - asked.written:.3f} s ago, first {asked.first}"
            )
        earlier.append(Copy(job, executor))
        return earlier[-1]


class Executors(Loop):
    """One at each of these sockets."""

    def __init__(self, sockets: Mapping[str, socket.socket], port: int, seed: int, record: Record) -> None:
        super().__init__()
        self.port, self.record, self.random = port, record, random.Random(seed)
        self.hung_until = dict.fromkeys(sockets, 0.0)
        self.tasks: set[asyncio.Task[None]] = set()
        self.do(self.open(sockets))

    async def open(self, sockets: Mapping[str, socket.socket]) -> None:
        self.tasks.add(self.loop.create_task(self.record.watch_lag()))
        for name, sock in sockets.items():

            async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter, name: str = name) -> None:
                await self.serve(name, r, w)

            await asyncio.start_server(serve, sock=sock)

    async def serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy = None
        try:
            while True:
                head, _ = await message(reader)
                if self.random.random() < 0.01:
                    self.hung_until[name] = time.monotonic() + self.random.uniform(0.3, 1.5)
                copy = self.arrived(name, head) if head.startswith("POST") else None
                while time.monotonic() < self.hung_until[name]:
                    await asyncio.sleep(0.005)
                    if reader.at_eof() or reader.exception() is not None:
                        raise ConnectionError
                if copy is not None:
                    await self.take(copy, head, writer)
                elif head.startswith("DELETE"):
                    self.delete(name, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            if copy is not None and not copy.accepted:
                copy.over = True
        finally:
            writer.close()

    def delete(self, name: str, head: str, writer: asyncio.StreamWriter) -> None:
        fate = self.random.random()
        if fate < 0.1:
            return  # lost: silence
        if fate < 0.2:
            writer.transport.abort()
            return
        if fate < 0.25:
            writer.write(b"HTTP/1.1 503 No\r\n" + EMPTY)
            return
        job = head.split(" ")[1].rpartition("/")[2]
        for copy in self.record.copies.get(job, []):
            copy.over |= copy.executor == name
        writer.write(DELETED)

    def arrived(self, name: str, head: str) -> Copy:
        """A job's last byte has come."""
        job, told = re.search(r"(?i)x-txn: (\S+)", head), re.search(r"(?i)x-remaining: (\d+)u", head)
        assert job is not None and told is not None
        return self.record.begin(job[1], name, int(told[1]) / 1e6)

    async def take(self, copy: Copy, head: str, writer: asyncio.StreamWriter) -> None:
        """Answers a job, one way or another."""
        fate = self.random.random()
        if fate < 0.08:
            copy.over = copy.never_ran = True
            writer.write(FULL)
            return
        if fate < 0.12:  # reset before an answer: by the protocol that ends it
            copy.over = True
            writer.transport.abort()
            return
        copy.accepted = True
        task = self.loop.create_task(self.work(copy))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if fate < 0.2:
            return  # its 202 is lost, and the connection is silent
        if fate < 0.24:
            writer.write(ACCEPTED[: self.random.randrange(1, len(ACCEPTED) - 1)])
            await writer.drain()
            writer.close()
            return
        if fate < 0.27:  # its 202 is lost with the connection, and the job runs
            writer.transport.abort()
            return
        writer.write(ACCEPTED)
        if fate < 0.33:  # a second answer comes some milliseconds late
            await asyncio.sleep(0.003)
            writer.write(ACCEPTED)

    async def work(self, copy: Copy) -> None:
        await asyncio.sleep(self.random.choice((0.0, 0.01, 0.03, 0.2)))
        if not copy.over:
            await self.call(copy, "started")
        await asyncio.sleep(self.random.choice((0.0, 0.01, 0.05, 0.4)))
        if copy.over:
            return
        copy.over = True
        await self.call(copy, self.random.choice(("done", "done", "done", "failed")))

    async def call(self, copy: Copy, state: str) -> None:
        told = {"id": copy.job, "from": copy.executor, "state": state, "result": f"of {copy.job}"}
        body = json.dumps(told)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            head = f"POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            await message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the node has ended


class Clients(Loop):
    """Each has one connection with one request at a time, and a new one where the node closed it."""

    def __init__(self, port: int, seed: int, record: Record, many: int, longest: float) -> None:
        """`many`: clients; `longest`: seconds that one waits at most."""
        super().__init__()
        self.port, self.record, self.longest = port, record, longest
        self.random, self.number, self.stopping = random.Random(seed), 0, False
        self.tasks: list[asyncio.Task[None]] = []
        self.do(self.begin(many))

    async def begin(self, many: int) -> None:
        self.tasks = [self.loop.create_task(self.ask()) for _ in range(many)]

    def stop(self) -> None:
        """The node has ended."""

        async def end() -> None:
            self.stopping = True
            for result in await asyncio.gather(*self.tasks, return_exceptions=True):
                if isinstance(result, BaseException):
                    self.record.broken.append(f"a client failed: {result!r}")

        self.do(end())

    async def ask(self) -> None:
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                return  # the node has ended
            first = True
            while not self.stopping and await self.one(reader, writer, first):
                first = False
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
            writer.close()

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bool) -> bool:
        """One request; whether the connection goes on."""
        self.number += 1
        job, lane = f"j{self.number}", self.random.choice(("quote", "charge", UNSAFE))
        wait = self.random.uniform(0.2, self.longest)
        asked = self.record.asked[job] = Asked(lane, time.monotonic(), wait, first)
        patience = self.random.uniform(0.02, 0.2) if self.random.random() < 0.05 else wait + ANSWER_SLACK
        try:
            writer.write(
                f"POST /api HTTP/1.1\r\nHost: node\r\nX-Txn: {job}\r\nX-Lane: {lane}\r\nX-Org: acme\r\n"
                f"Idempotency-Key: k\r\nX-Remaining: {int(wait * 1000)}m\r\n".encode()
                + EMPTY
            )
            asked.written = time.monotonic()
            head, body = await asyncio.wait_for(message(reader), patience)
        except TimeoutError:
            asked.left = patience < wait
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            asked.closed = True
            return False
        asked.answer, asked.answered_at = int(head[9:12]), time.monotonic()
        if asked.answer == 200 and body != f"of {job}".encode():
            self.record.broken.append(f"{job} got {body!r}")
        return "connection: close" not in head.lower()
