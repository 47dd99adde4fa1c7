"""Stand-ins for executors, discovery and clients of one small deployment, and the start of real nodes.

All of them live in the one event loop of a case; a node is a process, started with the `run` command of the
deploy file.  They follow PROTOCOL and WIRE: an executor answers 202, tells of start, progress and end by
callbacks on connections of their own and repeats each call up to ten times until it is answered; discovery
gives the whole list, or waits for a change; a client writes one request and reads one answer."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
SLACK = 0.05  # seconds by which each time limit is longer on sockets (PROTOCOL, "The rules on sockets")
LATEST = 0.5  # seconds after its time from which on an unanswered request is lost (STANDING)

SETTINGS: dict[str, Any] = {
    "callers": {"marksRetry": False},
    "discovery": "ask",
    "domainType": "jobs",
    "failureDomains": ["hall-a", "hall-b"],
    "familyInfo": {
        "classKind": [-1, -1, -1],
        "classPriority": [0, 1, 0],
        "classStretch": [2.5, 2.0, 2.0],
        "progress": 1_000_000,
        "queueOrder": "fifo",
        "reportX0": "free slots",
        "tellsStart": True,
    },
    "kinds": ["fast-2", "slow-2"],
    "ordinal": 0,
    "overShareWorth": 0.05,
    "period": 4000,
    "permissions": {
        "cancel": True,
        "cpuUsPerS": 400_000,
        "dialTimeout": 200_000,
        "keepalive": 5_000_000,
        "maxRetryAfter": 2_000_000,
        "mayProbe": True,
        "mayTell": True,
        "mostTries": 3,
        "openCap": 20_000,
        "retryAfter": True,
        "secondCopies": False,
        "streamsPerConn": 1,
    },
    "report": {"names": ["errors_per_s", "utilization", "x0"], "via": "pull"},
    "requestClasses": [
        {"deadline": 5_000_000, "group": "all", "idempotency": "retryable", "name": "trip-quote",
         "target": 200_000, "value": 5.0},
        {"deadline": 5_000_000, "dedupWindow": 7_500_000, "group": "zone", "idempotency": "dedup",
         "name": "trip-charge", "target": 120_000, "value": 10.0},
        {"deadline": 15_000_000, "group": "all", "idempotency": "fragile", "name": "fleet-settle",
         "target": 750_000, "value": 8.0},
    ],
    "safety": {
        "askEvery": 10_000_000,
        "cold": 23_000_000,
        "coldFrom": 0.14,
        "drainGrace": 500_000,
        "fallMultiple": 4.0,
        "graceToAnswer": 16_000,
        "tipAfter": 2_000_000,
    },
    "siblings": 1,
    "stage": 0,
    "stages": ["ride-workers"],
    "tenants": [
        {"allowancePerS": 49.0, "name": "austin", "share": 0.52},
        {"allowancePerS": 35.0, "name": "san-antonio", "share": 0.37},
        {"allowancePerS": 10.0, "name": "waco", "share": 0.11},
    ],
    "weights": "rough",
    "worthBy": "work",
    "zone": 0,
}


class Record:
    """What was sent, answered and run: lines with the seconds since the case began, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.begun = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, *words: object) -> None:
        line = f"{time.monotonic() - self.begun:9.4f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        self._file.flush()

    def aloud(self, *words: object) -> None:
        """The same, and on standard output."""
        self(*words)
        print(*words, flush=True)


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


async def message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Head and body of the next message; raises `asyncio.IncompleteReadError` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = re.search(r"(?i)\r\ncontent-length: *(\d+)", head)
    return head, await reader.readexactly(int(length[1]) if length else 0)


def field(head: str, name: str) -> str:
    """A header's value; empty where it is missing."""
    found = re.search(rf"(?i)\r\n{name}: *([^\r]*)", head)
    return found[1] if found else ""


class Executor:
    """One job box: two slots, a queue, and jobs that run as long as X-Estimate says."""

    def __init__(self, name: str, record: Record, back: Callable[[], tuple[str, int]], slots: int = 2,
                 queue: int = 12) -> None:
        self.name, self.record, self.back, self.slots, self.queue = name, record, back, slots, queue
        self.port = 0
        self.jobs: dict[str, asyncio.Task[None]] = {}  # in work or waiting
        self.begun: list[str] = []  # ids, each time one was begun
        self.running = 0
        self._free = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.heard: Callable[[str, str], None] = lambda name, job: None  # told of each job as it comes

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port or self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in [*self.jobs.values(), *self.tasks]:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head, _ = await message(reader)
                writer.write(await self.answer(head))
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def load(self) -> dict[str, float]:
        return {"errors_per_s": 0.0, "utilization": self.running / self.slots,
                "x0": float(max(0, self.slots - len(self.jobs)))}

    async def answer(self, head: str) -> bytes:
        method, target, _ = head.split(" ", 2)
        if method == "GET":
            body = json.dumps(self.load()).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if method == "DELETE":
            job = target.rpartition("/")[2]
            task = self.jobs.pop(job, None)
            self.record("executor", self.name, "delete", job, "had" if task else "unknown")
            if task is not None:
                task.cancel()
            return b"HTTP/1.1 204 No Content\r\n\r\n"
        job = field(head, "X-Txn")
        self.heard(self.name, job)
        if not job:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        if len(self.jobs) >= self.slots + self.queue:
            self.record("executor", self.name, "full", job)
            return b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
        self.record("executor", self.name, "takes", job, "X-Remaining", field(head, "X-Remaining"))
        self.jobs[job] = asyncio.create_task(self._run(job, int(field(head, "X-Estimate") or 50_000) / 1e6))
        return b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

    async def _run(self, job: str, takes: float) -> None:
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.running < self.slots)
                self.running += 1
            try:
                self.begun.append(job)
                self.record("executor", self.name, "begins", job)
                self.call({"id": job, "from": self.name, "state": "started"})
                while takes > 1.0:
                    await asyncio.sleep(1.0)
                    takes -= 1.0
                    self.call({"id": job, "from": self.name, "state": "running", "share": 0.5})
                await asyncio.sleep(takes)
            finally:
                self.running -= 1
                self.tasks.add(waker := asyncio.ensure_future(self._wake()))
                waker.add_done_callback(self.tasks.discard)
            self.record("executor", self.name, "done", job)
            self.call({"id": job, "from": self.name, "state": "done", "result": f"of {job}"})
        finally:
            if self.jobs.get(job) is asyncio.current_task():
                del self.jobs[job]

    async def _wake(self) -> None:
        async with self._free:
            self._free.notify_all()

    def call(self, told: dict[str, Any]) -> None:
        """A callback, on a connection of its own; tried ten times at most."""
        task = asyncio.ensure_future(self._call(told))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, told: dict[str, Any]) -> None:
        body = json.dumps(told).encode()
        for attempt in range(10):
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*self.back())
                writer.write(b"POST /callback HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
                head, _ = await asyncio.wait_for(message(reader), 2.0)
                if head[9:12] in ("200", "204"):
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.1 * (attempt + 1))
        self.record("executor", self.name, "gave up calling", told)


class Discovery:
    """The list: whole, or what has changed since a version."""

    def __init__(self, record: Record) -> None:
        self.record, self.port, self.version = record, 0, 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # the version of each entry's last change
        self.told: dict[int, float] = {}  # when a version, or a later one, was first written to a node
        self.calls = 0
        self.slow = 0.0  # seconds that a call waits for its turn
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def whole(self) -> dict[str, Any]:
        listed = [e for e in self.entries.values() if e["state"] != "removed"]
        return {"version": self.version, "full": True, "servers": listed}

    async def set(self, name: str, **entry: Any) -> None:
        async with self._news:
            self.version += 1
            self.entries[name] = {**self.entries.get(name, {"id": name}), **entry}
            self.changed[name] = self.version
            self._news.notify_all()

    def add(self, executor: Executor, zone: str = "hall-a", kind: str = "fast-2", cell: int = 0) -> None:
        self.entries[executor.name] = {
            "id": executor.name, "addr": f"{HOST}:{executor.port}", "zone": zone, "kind": kind, "cell": cell,
            "state": "up", "weight": 1.0, "started_ms": 0}
        self.changed[executor.name] = self.version

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port or self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Takes no new connection; the open ones stay."""
        if self._server is not None:
            self._server.close()

    async def reset(self) -> None:
        """Ends all open calls; new ones may come."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        await self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head, _ = await message(reader)
                self.calls += 1
                self.record("discovery", self.port, "is asked", head.split(" ", 2)[1])
                await asyncio.sleep(self.slow)
                after = re.search(r"[?&]after=(\d+)", head.split(" ", 2)[1])
                wait = re.search(r"[?&]wait_ms=(\d+)", head.split(" ", 2)[1])
                if after is None:
                    told = self.whole()
                else:
                    since = int(after[1])
                    async with self._news:
                        try:
                            await asyncio.wait_for(
                                self._news.wait_for(lambda: self.version > since),
                                int(wait[1]) / 1e3 if wait else 0.001)
                        except TimeoutError:
                            pass
                    changes = [self.entries[n] for n, version in self.changed.items() if version > since]
                    told = {"version": self.version, "full": False, "servers": changes}
                if writer.transport.is_closing():
                    self.record("discovery", self.port, "finds that the caller has gone")
                    return
                body = json.dumps(told).encode()
                if told["servers"]:
                    self.record("discovery", self.port, "tells", told["version"],
                                [(e["id"], e["state"]) for e in told["servers"]])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                for version in range(told["version"], 0, -1):
                    if self.told.setdefault(version, time.monotonic()) < time.monotonic() - 1e-3:
                        break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def run_command() -> str:
    """`run` of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"])


class Node:
    """One real node: its configuration, its process and its log."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def write(self, discovery: Discovery, sockets: int, memory_mb: int, settings: dict[str, Any],
              **more: Any) -> None:
        self.config.write_text(json.dumps({
            "name": self.name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(), "settings": settings, **more}), encoding="utf-8")

    def start(self, descriptors: int = 0) -> None:
        """`descriptors`: the platform's limit of the process; 0: this one's own."""
        limit = f"ulimit -n {descriptors} && " if descriptors else ""
        tmp = self.folder / f"tmp-{self.name}"
        tmp.mkdir(exist_ok=True)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", limit + run_command()], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(tmp),
                     "RELAY_NAME": self.name, "RELAY_CONFIG": str(self.config)})
        self.record("node", self.name, "started as", self.process.pid)

    async def ready(self, within: float = 30.0) -> None:
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                head, _ = await asyncio.wait_for(message(reader), 2.0)
                writer.close()
                if head[9:12] == "200":
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record("node", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    @property
    def status(self) -> int | None:
        """The status of its end; None: it runs."""
        return self.process.poll() if self.process is not None else None

    def memory(self) -> tuple[int, int]:
        """KiB that it occupies now and has occupied at most; zeros once it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0, 0
        now, most = (re.search(rf"{key}:\s*(\d+) kB", text) for key in ("VmRSS", "VmHWM"))
        return int(now[1]) if now else 0, int(most[1]) if most else 0

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def counters(self) -> dict[str, int]:
        """The last line of counters in its log."""
        lines = [line for line in (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
                 if " counters " in line]
        return {k: int(v) for k, v in re.findall(r"(\w+)=(-?\d+)", lines[-1])} if lines else {}


class CannotRunError(Exception):
    """The case can't run here."""


def request(job: str, lane: str, remaining: float, work_us: int, tenant: str = "austin") -> bytes:
    """The bytes of a client's request."""
    body = b'{"ride":"%s"}' % job.encode()
    key = f"Idempotency-Key: key-{job}\r\n" if lane == "trip-charge" else ""
    return (f"POST /api?sid={job} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {job}\r\nX-Lane: {lane}\r\n"
            f"X-Org: {tenant}\r\nX-Remaining: {int(remaining * 1000)}m\r\nX-Estimate: {work_us}\r\n{key}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Ended(Exception):
    """The node has closed or reset the connection."""


async def answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Status and body of the next answer; raises `Ended`."""
    try:
        head, body = await message(reader)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Ended(type(error).__name__) from None
    return int(head[9:12]), body


def play(folder: str, case: Callable[[Record, Path], Awaitable[bool]], limit: float = 115.0) -> None:
    """Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `case` returns whether the rule held."""
    record = Record(Path(folder))
    status = 2

    async def bounded(scratch: Path) -> bool:
        return await asyncio.wait_for(case(record, scratch), limit)

    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = 0 if asyncio.run(bounded(Path(scratch))) else 1
        except Exception as error:  # whatever it is, it is no verdict on the rule
            record.aloud("could not run:", type(error).__name__, error)
        for log in sorted(Path(scratch).glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            for line in lines[-12:]:
                record("log of", log.stem, line[:2000])
    record.aloud({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    sys.exit(status)
