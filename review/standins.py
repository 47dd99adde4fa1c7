"""Stand-ins for the platform, executors and clients of one node, and the start of the node itself.

Everything runs on loopback addresses, the real clock and the standard library alone.  Times are seconds of
the monotonic clock, counted from the start of the test."""

from __future__ import annotations

import asyncio
import json
import os
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
HOST = "127.0.0.1"
BEGUN = time.monotonic()
MS = 1_000  # microseconds


def now() -> float:
    return time.monotonic() - BEGUN


class Record:
    """`record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)

    def say(self, text: str, at: float | None = None) -> None:
        self._file.write(f"{now() if at is None else at:9.4f} {text}\n")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment: three classes of the three effects, as the brief describes them."""
    table: dict[str, Any] = {
        "domainType": "jobs",
        "discovery": "ask",
        "failureDomains": ["hall-a"],
        "zone": 0,
        "kinds": ["fast-2"],
        "ordinal": 0,
        "siblings": 1,
        "period": 4 * MS,
        "stage": 0,
        "stages": ["ride-workers"],
        "weights": "rough",
        "worthBy": "work",
        "tenants": [{"name": "austin", "share": 1.0, "allowancePerS": 100.0}],
        "familyInfo": {
            "classKind": [-1, -1, -1],
            "classStretch": [2.5, 2.0, 2.0],
            "progress": 1_000 * MS,
            "queueOrder": "fifo",
            "reportX0": "free slots",
            "tellsStart": True,
        },
        "requestClasses": [
            {"name": "trip-quote", "target": 200 * MS, "deadline": 5_000 * MS, "idempotency": "retryable",
             "group": "all", "dedupWindow": 5_000 * MS, "value": 5.0},
            {"name": "trip-charge", "target": 120 * MS, "deadline": 5_000 * MS, "idempotency": "dedup",
             "group": "zone", "dedupWindow": 7_500 * MS, "value": 10.0},
            {"name": "fleet-settle", "target": 750 * MS, "deadline": 15_000 * MS, "idempotency": "fragile",
             "group": "all", "dedupWindow": 5_000 * MS, "value": 8.0},
        ],
        "permissions": {
            "cancel": True, "dialTimeout": 200 * MS, "keepalive": 5_000 * MS, "maxRetryAfter": 2_000 * MS,
            "mayProbe": True, "mayTell": False, "mostTries": 3, "openCap": 20_000, "retryAfter": True,
            "secondCopies": False, "streamsPerConn": 1,
        },
        "report": {"names": ["errors_per_s", "utilization", "x0"], "via": "pull"},
        "safety": {
            "askEvery": 10_000 * MS, "cold": 23_000 * MS, "coldFrom": 0.14, "drainGrace": 500 * MS,
            "fallMultiple": 4.0, "graceToAnswer": 16 * MS, "tipAfter": 2_000 * MS,
        },
    }
    table.update(changes)
    return table


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes, float]:
    """First line, headers by lower-case name, body, and when its first bytes came."""
    first = await reader.readexactly(1)
    at = now()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (field.partition(":") for field in fields)}
    return line, headers, await reader.readexactly(int(headers.get("content-length") or 0)), at


def message(first: str, body: bytes = b"", *fields: str) -> bytes:
    return "\r\n".join([first, *fields, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class Discovery:
    """The list of executors, asked for by long polls.  `zone`: of those that are put next."""

    def __init__(self, record: Record) -> None:
        self.record, self.zone = record, "hall-a"
        self.version, self.entries = 1, {}  # type: int, dict[str, dict[str, Any]]
        self._changed: dict[str, int] = {}
        self._news: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, name: str, port: int, state: str = "up", started_ms: int = 0) -> None:
        self.version += 1
        self.entries[name] = {
            "id": name, "addr": f"{HOST}:{port}", "zone": self.zone, "kind": "fast-2", "cell": 0,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }
        self._changed[name] = self.version
        self.record.say(f"discovery: {name} is {state}, version {self.version}")
        self._news.set_result(None)
        self._news = asyncio.get_running_loop().create_future()

    def listing(self, after: int = -1) -> dict[str, Any]:
        chosen = [entry for name, entry in self.entries.items() if self._changed[name] > after]
        if after < 0:
            chosen = [entry for entry in chosen if entry["state"] != "removed"]
        return {"version": self.version, "full": after < 0, "servers": chosen}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, _, _, _ = await read_message(reader)
                query = dict(p.partition("=")[::2] for p in line.split(" ")[1].partition("?")[2].split("&"))
                after = int(query.get("after") or -1)
                came = now()
                until = now() + int(query.get("wait_ms") or 0) / 1000
                while 0 <= after and self.version <= after and now() < until:
                    await asyncio.wait([self._news], timeout=max(0.001, until - now()))
                body = json.dumps(self.listing(after)).encode()
                writer.write(message("HTTP/1.1 200 OK", body))
                self.record.say(f"discovery: call after={after} that came at {came:.4f} is answered")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Job:
    """One attempt as an executor saw it."""

    def __init__(self, executor: str, headers: dict[str, str], at: float) -> None:
        self.executor, self.id, self.at = executor, headers.get("x-txn", ""), at
        self.remaining, self.lane = headers.get("x-remaining", ""), headers.get("x-lane", "")
        self.ended = ""


class Executor:
    """Takes jobs, answers 202, reports the start and, after `run` seconds, the end on one kept connection."""

    def __init__(self, name: str, record: Record, jobs: list[Job], node_port: int, run: float) -> None:
        self.name, self.record, self.jobs, self.node_port, self.run = name, record, jobs, node_port, run
        self.open: dict[str, asyncio.Task[None]] = {}
        self._calls: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._caller: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self.port = 0
        # Seconds of running and the state that is reported at the end; None: nothing is.
        self.plan: Callable[[Job], tuple[float, str | None]] = lambda job: (self.run, "done")

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._caller = asyncio.create_task(self._call())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers, _, at = await read_message(reader)
                writer.write(self._answer(line, headers, at))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, line: str, headers: dict[str, str], at: float) -> bytes:
        method, target, _ = line.split(" ")
        if method == "GET":
            report = f"errors_per_s=0,utilization=0.1,x0={max(0, 4 - len(self.open))}"
            return message("HTTP/1.1 200 OK", report.encode())
        if method == "DELETE":
            task = self.open.pop(target.rpartition("/")[2], None)
            self.record.say(f"{self.name}: {line[:-9]}, {'given up' if task else 'not here'}")
            if task is None:
                return message("HTTP/1.1 404 Not Found")
            task.cancel()
            return message("HTTP/1.1 200 OK")
        job = Job(self.name, headers, at)
        self.jobs.append(job)
        self.record.say(f"{self.name}: job {job.id} ({job.lane}) comes, X-Remaining {job.remaining}", at)
        self.open[job.id] = asyncio.create_task(self._work(job))
        return message("HTTP/1.1 202 Accepted")

    async def _work(self, job: Job) -> None:
        try:
            run, state = self.plan(job)
            if state != "returned":
                self._calls.put_nowait({"id": job.id, "from": self.name, "state": "started"})
            spent = 0.0
            while run - spent > 1.0:
                await asyncio.sleep(1.0)
                spent += 1.0
                if state != "returned":
                    self._calls.put_nowait(
                        {"id": job.id, "from": self.name, "state": "running", "share": spent / run}
                    )
            await asyncio.sleep(run - spent)
            job.ended = state or "silent"
            self.open.pop(job.id, None)
            self.record.say(f"{self.name}: job {job.id} ({job.lane}) is {job.ended}")
            if state is not None:
                call: dict[str, Any] = {"id": job.id, "from": self.name, "state": state}
                if state == "done":
                    call["result"] = f"result of {job.id}"
                self._calls.put_nowait(call)
        except asyncio.CancelledError:
            job.ended = job.ended or "given up"
            raise

    async def _call(self) -> None:
        """Calls back, each call until it is answered, ten times at most; the connection is kept."""
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while True:
            body = json.dumps(await self._calls.get()).encode()
            for _ in range(10):
                try:
                    if reader is None or writer is None:
                        reader, writer = await asyncio.open_connection(HOST, self.node_port)
                    writer.write(message("POST /callback HTTP/1.1", body, "Host: node"))
                    line, headers, _, _ = await read_message(reader)
                    if headers.get("connection", "").lower() == "close":
                        writer.close()
                        reader = writer = None
                    if line.split(" ")[1] in ("200", "204"):
                        break
                except (OSError, asyncio.IncompleteReadError):
                    if writer is not None:
                        writer.close()
                    reader = writer = None
                await asyncio.sleep(0.1)


def request(job: str, lane: str, remaining_ms: int, body: bytes = b"trip") -> bytes:
    return message(
        f"POST /api?sid={job} HTTP/1.1", body, "Host: backend.local", f"X-Txn: {job}", f"X-Lane: {lane}",
        "X-Org: austin", f"X-Remaining: {remaining_ms}m", f"Idempotency-Key: key-{job}",
        "X-Estimate: 50000",
    )


async def ask(
    record: Record, port: int, job: str, lane: str, remaining_ms: int, patience: float = 1.0
) -> tuple[int, bytes, float, float]:
    """One request on a new connection: status (0: closed, -1: no answer), body, when it left and ended."""
    left = now()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        left = now()
        writer.write(request(job, lane, remaining_ms))
        line, _, body, _ = await asyncio.wait_for(read_message(reader), remaining_ms / 1000 + patience)
        status = int(line.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError):
        status, body = 0, b""
    except TimeoutError:
        status, body = -1, b""
    finally:
        if writer is not None:
            writer.close()
    record.say(f"client: {job} ({lane}), sent at {left:.4f}, gets {status or 'no answer'} {body[:40]!r}")
    return status, body, left, now()


class Node:
    """The program, started by the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self.record, self.config, self.folder = record, config, folder
        self.path = folder / f"{config['name']}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.started = 0.0

    @property
    def port(self) -> int:
        return int(self.config["listen"].rpartition(":")[2])

    def start(self) -> None:
        self.path.write_text(json.dumps(self.config), encoding="utf-8")
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env.update(
            RELAY_CONFIG=str(self.path), RELAY_NAME=self.config["name"], RELAY_LISTEN=self.config["listen"],
            RELAY_DISCOVERY=self.config["discovery"], TMPDIR=str(self.folder),
        )
        with open(self.folder / f"{self.config['name']}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )
        self.started = now()
        self.record.say(f"node {self.config['name']}: starts as process {self.process.pid}")

    def ended(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def kill(self) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.record.say(f"node {self.config['name']}: SIGKILL")
                self.process.kill()
            self.process.wait()

    async def ready(self, within: float = 30.0) -> None:
        """Until `/up` has answered 200, as the front asks."""
        until = now() + within
        while now() < until and not self.ended():
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\n\r\n")
                line, _, _, _ = await asyncio.wait_for(read_message(reader), 5)
                writer.close()
                if " 200 " in line:
                    self.record.say(f"node {self.config['name']}: ready")
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.01)
        raise CannotRun("the node did not become ready")


class CannotRun(Exception):
    """The case could not run."""


def main(folder: Path, play: Callable[[Record, Path, bool], Awaitable[list[str]]]) -> None:
    """Plays a case and ends with its status.  `play` gets whether there is trouble, and returns breaks."""
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'on' if trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as place:
            breaks = asyncio.run(asyncio.wait_for(play(record, Path(place), trouble), 110))
    except Exception as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in breaks:
        record.say("BROKEN: " + line)
        print("BROKEN: " + line)
    print("broken" if breaks else "held")
    record.say("broken" if breaks else "held")
    sys.exit(1 if breaks else 0)
