"""Upgrades a real node again and again under load: `python -m violetsaddle.lab.live.upgrades --count 1000`.

Round the node stand job boxes, discovery, clients and a probe, all in this process.  What counts: each
request gets one answer, the result that a box made for it; what must not run twice runs once; no connection
is refused; and how long the probe, which connects every 5 ms, waits for its answer."""

from __future__ import annotations

import asyncio
import ctypes
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any, ClassVar
from weakref import WeakSet

import click
import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

HOST = "127.0.0.1"
PR_SET_CHILD_SUBREAPER = 36
PROBE_EVERY = 0.005
PATIENCE = 15.0  # seconds
CALLS = 10  # of a box that gets no answer
SETTINGS: dict[str, Any] = {
    "requestClasses": [
        {"name": "quote", "target": 200_000, "deadline": 5_000_000, "idempotency": "retryable"},
        {"name": "settle", "target": 200_000, "deadline": 5_000_000, "idempotency": "fragile"},
    ],
    "tenants": [{"name": "acme", "share": 1.0}],
    "failureDomains": ["east"],
    "kinds": ["box"],
    "discovery": "push",
    "period": 1000,
    "permissions": {"cancel": True, "retryAfter": True, "mostTries": 3, "keepalive": 60_000_000},
}
OPERATOR = "[restart]\nupgrade = true\n"


class Ended(Exception):
    """A connection ended before a whole answer; `args[0]`: bytes of it had come."""


class Line:
    """A connection that carries one message and its answer at a time.

    Whoever opens it closes it, also where its task is cancelled: a writer that is still open as its loop
    closes raises in some versions of Python."""

    opened: ClassVar[WeakSet[Line]] = WeakSet()

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False
        self.port = 0  # where it was opened to

    @classmethod
    async def open(cls, port: int) -> Line:
        line = cls(*await asyncio.open_connection(HOST, port))
        line.port = port
        cls.opened.add(line)
        return line

    @classmethod
    def close_all(cls, port: int) -> None:
        """Closes what is still open to that port."""
        for line in [line for line in cls.opened if line.port == port]:
            line.close()

    async def ask(self, data: bytes) -> tuple[int, bytes, bool]:
        """Status, body, and whether the connection stays; raises `Ended`."""
        head = b""
        try:
            self.writer.write(data)
            head = await self.reader.readuntil(b"\r\n\r\n")
            found = re.search(rb"(?i)content-length: (\d+)", head)
            body = await self.reader.readexactly(int(found[1]) if found else 0)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Ended(bool(head or getattr(error, "partial", b""))) from None
        except asyncio.CancelledError:
            self.close()  # its answer may still come: it is no use for another message
            raise
        self.used = True
        return int(head[9:12]), body, b"Connection: close" not in head

    @property
    def spoke(self) -> bool:
        """Whether something came that nobody asked for."""
        return bool(self.reader._buffer)  # type: ignore[attr-defined]  # there is no public way to look

    def close(self) -> None:
        self.opened.discard(self)
        self.writer.close()


class Ground:
    """Everybody round the node, what they saw, and the node's processes."""

    def __init__(
        self, folder: str, seed: int = 1, boxes: int = 4, operator: str = OPERATOR, resends: bool = True
    ) -> None:
        """`resends`: whether clients send once more what a closing connection crossed."""
        self.resends = resends
        self.folder, self.random = Path(folder), np.random.default_rng(seed)
        self.operator = operator
        self.counts: Counter[str] = Counter()
        self.strange: list[str] = []
        self.runs: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.waits = HdrHistogram(1, 60_000_000, 3)  # of the probe, microseconds
        self.pid, self.port, self.ids = 0, 0, itertools.count()
        self.children: list[int] = []
        self.log: list[str] = []
        self._new_line = asyncio.Event()
        self._boxes, self._servers, self._tasks = boxes, [], set()  # type: ignore[var-annotated]
        self._listing: dict[str, Any] = {}
        self._accepted: set[asyncio.StreamWriter] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def odd(self, kind: str, text: str = "") -> None:
        self.counts[kind] += 1
        if len(self.strange) < 50:
            self.strange.append(f"{kind}: {text}")

    # Job boxes and discovery.

    async def _listen(
        self, take: Callable[[bytes, bytes, asyncio.StreamWriter], Coroutine[Any, Any, None]]
    ) -> str:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._accepted.add(writer)
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    found = re.search(rb"(?i)content-length: (\d+)", head)
                    await take(head, await reader.readexactly(int(found[1]) if found else 0), writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                self._accepted.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def _discovery(self, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        answer = self._listing
        if found := re.search(rb"wait_ms=(\d+)", head):
            await asyncio.sleep(int(found[1]) / 1000)
            answer = {**answer, "full": False, "servers": []}
        self._reply(writer, json.dumps(answer).encode())

    @staticmethod
    def _reply(writer: asyncio.StreamWriter, body: bytes = b"", status: str = "200 OK") -> None:
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def _box(self, name: str) -> Callable[[bytes, bytes, asyncio.StreamWriter], Coroutine[Any, Any, None]]:
        async def take(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            found = re.search(rb"X-Txn: (\S+)", head)
            if not head.startswith(b"POST") or found is None:
                self._reply(writer)
                return
            job = found[1].decode()
            self.runs[job] += 1
            self._reply(writer, status="202 Accepted")
            work = float(body or b"0")
            self.spawn(self._work(name, job, work))

        return take

    async def _work(self, name: str, job: str, work: float) -> None:
        await asyncio.sleep(work)
        await self.call(name, job, "done", result=f"of-{job}")

    async def call(self, name: str, job: str, state: str, **more: str) -> int:
        """A callback, tried until there is an answer; its status, or 0."""
        body = json.dumps({"id": job, "from": name, "state": state, **more}).encode()
        for _ in range(CALLS):
            line = None
            try:
                line = await Line.open(self.port)
                status, _, _ = await asyncio.wait_for(
                    line.ask(
                        b"POST /callback HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s"
                        % (len(body), body)
                    ),
                    PATIENCE,
                )
                self.counts[f"callback {status}"] += 1
                return status
            except (OSError, Ended, TimeoutError):
                self.counts["callback again"] += 1
                await asyncio.sleep(0.05)
            finally:
                if line is not None:
                    line.close()
        self.odd("callback lost", job)
        return 0

    # Clients.

    def request(self, job: str, lane: str, work: float) -> bytes:
        body = f"{work:.4f}".encode()
        return (
            f"POST /api HTTP/1.1\r\nHost: n\r\nX-Txn: {job}\r\nX-Lane: {lane}\r\nX-Org: acme\r\n"
            f"X-Remaining: 5000m\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def ask(self, line: Line | None, work: float, lane: str = "settle", job: str = "") -> Line | None:
        """One request, on a kept connection if one is given; gives the connection if it stays."""
        job = job or f"{lane}-{next(self.ids)}"
        data = self.request(job, lane, work)
        if line is not None and line.spoke:
            self.odd("answered twice", job)
        if line is not None and line.reader.at_eof():
            line.close()
            line = None
        for _ in range(2):
            fresh = line is None
            try:
                line = line or await Line.open(self.port)
            except OSError as error:
                self.odd("refused", f"{job} {error}")
                return None
            try:
                status, body, stays = await asyncio.wait_for(line.ask(data), PATIENCE)
            except (Ended, TimeoutError) as error:
                line.close()
                line = None
                if fresh or not self.resends or isinstance(error, TimeoutError) or error.args[0]:
                    self.odd("no answer", f"{job} {error!r}")
                    return None
                # The node closed a kept connection as the request was on its way: it may be sent once more.
                self.counts["crossed"] += 1
                continue
            self.answered[job] += 1
            if status == 200 and body == f"of-{job}".encode():
                self.counts["served"] += 1
            else:
                self.odd(f"answer {status}", f"{job} {body[:60]!r}")
            if stays:
                return line
            line.close()
            return None
        self.odd("no answer", f"{job} twice")
        return None

    async def client(self, rate: float) -> None:
        """Asks so often a second, on one kept connection while it stays, and leaves it now and then."""
        line: Line | None = None
        try:
            while True:
                await asyncio.sleep(self.random.exponential(1 / rate))
                lane = "quote" if self.random.random() < 0.5 else "settle"
                line = await self.ask(line, float(self.random.uniform(0.002, 0.06)), lane)
                if line is not None and self.random.random() < 0.02:
                    line.close()
                    line = None
        finally:
            if line is not None:
                line.close()

    async def probe(self) -> None:
        """Connects every 5 ms, whether the last one has been answered or not."""
        due = time.monotonic()
        while True:
            due = max(due + PROBE_EVERY, time.monotonic() - 1)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.spawn(self._probe())

    async def _probe(self) -> None:
        began, line = time.monotonic(), None
        try:
            line = await Line.open(self.port)
            status, _, _ = await line.ask(b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
        except (OSError, Ended) as error:
            self.odd("probe unanswered", repr(error))
            return
        finally:
            if line is not None:
                line.close()
        if status != 200:
            self.odd("probe unanswered", str(status))
        self.waits.record_value(max(1, int((time.monotonic() - began) * 1e6)))

    # The node.

    async def start(
        self, command: Sequence[str] = ("-m", "violetsaddle"), env: Mapping[str, str] | None = None
    ) -> None:
        """Starts the stand-ins, and the node; returns when it listens."""
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1)
        where = {f"s-{n}": await self._listen(self._box(f"s-{n}")) for n in range(self._boxes)}
        self._listing = {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": name,
                    "addr": at,
                    "zone": "east",
                    "kind": "box",
                    "cell": 0,
                    "state": "up",
                    "weight": 1.0,
                    "started_ms": 0,
                }
                for name, at in where.items()
            ],
        }
        discovery = await self._listen(self._discovery)
        with socket.create_server((HOST, 0)) as sock:
            self.port = sock.getsockname()[1]
        (self.folder / "operator.toml").write_text(self.operator)
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": discovery,
                    "seed": "5",
                    "limits": {"sockets": 1024},
                    "known": self._listing,
                    "settings": SETTINGS,
                }
            )
        )
        self._command, self._env = (
            command,
            {
                **{k: v for k, v in os.environ.items() if not k.startswith("RELAY_")},
                **(env or {}),
                "RELAY_CONFIG": str(self.folder / "config.json"),
                "RELAY_OPERATOR": str(self.folder / "operator.toml"),
            },
        )
        await self.launch()

    async def launch(self, **env: str) -> bool:
        """Starts the program; False: it ended before it listened."""
        begun = len(self.log)
        # Not asyncio's: that would wait for its end itself, and `alive` does.
        process = subprocess.Popen(
            [sys.executable, *self._command],
            env={**self._env, **env},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        self.pid = process.pid
        self.children.append(process.pid)
        log = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(log), process.stderr
        )
        reading = self.spawn(self._read(log))
        return await self.said(r"listening on", begun, reading) is not None

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.log.append(line.decode().rstrip())
            if found := re.search(r"upgrade: (\d+) is to follow", self.log[-1]):
                self.children.append(int(found[1]))
            self._new_line.set()

    async def said(
        self, pattern: str, begun: int, reading: asyncio.Task[Any] | None = None
    ) -> re.Match[str] | None:
        """The first line from there on that fits; None: none came in time, or the log has ended."""
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            for line in self.log[begun:]:
                if found := re.search(pattern, line):
                    return found
            if reading is not None and reading.done():
                return None
            self._new_line.clear()
            try:
                await asyncio.wait_for(self._new_line.wait(), 0.2)
            except TimeoutError:
                pass
        return None

    async def gone(self, pid: int) -> bool:
        """Waits until the process has ended."""
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            if not alive(pid):
                return True
            await asyncio.sleep(0.002)
        return False

    async def upgrade(self) -> bool:
        """One upgrade, up to the old process's end; whether it succeeded."""
        begun, old = len(self.log), self.pid
        while True:
            os.kill(old, signal.SIGUSR2)
            found = await self.said(r"upgraded: (\d+) serves|upgrade failed|upgrade refused", begun)
            if found is None or found[0] != "upgrade refused":
                break
            begun = len(self.log)  # it has not seen yet that its predecessor has gone
            await asyncio.sleep(0.05)
        if found is None or not found[1]:
            self.odd("upgrade failed", "; ".join(self.log[begun:][-3:]))
            return False
        self.pid = int(found[1])
        if not await self.gone(old):
            self.odd("old process stays", str(old))
        return True

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for server in self._servers:
            server.close()
        for pid in self.children:
            if alive(pid):
                os.kill(pid, signal.SIGKILL)
        for pid in self.children:
            await self.gone(pid)
        # Some tasks go on although they were cancelled, so that this can't be left to them alone.
        Line.close_all(self.port)
        for writer in list(self._accepted):
            writer.close()

    def faults(self) -> list[str]:
        """What must never be, whatever befell the node: second answers, second runs, faults in its log."""
        found = [f"{job} answered {count} times" for job, count in self.answered.items() if count > 1]
        found += [
            f"{job} ran {count} times"
            for job, count in self.runs.items()
            if count > 1 and job.startswith("settle")
        ]
        found += [line for line in self.log if "Traceback" in line]
        found += [text for text in self.strange if text.startswith("answered twice")]
        return found


def alive(pid: int) -> bool:
    """Whether a process runs; one that has ended is reaped, if it is ours."""
    try:
        os.waitpid(pid, os.WNOHANG)
    except ChildProcessError:
        pass
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(") ")[2][:1] not in "ZX"
    except OSError:
        return False


async def soak(
    count: int, seconds: float, clients: int, rate: float, told: Callable[[Ground, int], None]
) -> tuple[Ground, int, float]:
    """The ground as it is then, upgrades done, and seconds they took."""
    with tempfile.TemporaryDirectory() as folder:
        ground = Ground(folder)
        await ground.start()
        done = 0
        try:
            for _ in range(clients):
                ground.spawn(ground.client(rate / clients))
            ground.spawn(ground.probe())
            await asyncio.sleep(1)
            began = time.monotonic()
            while done < count and time.monotonic() - began < seconds:
                if await ground.upgrade():
                    done += 1
                told(ground, done)
            took = time.monotonic() - began
            await asyncio.sleep(1)
        finally:
            await ground.close()
        return ground, done, took


@click.command()
@click.option("--count", default=1000, show_default=True, type=click.IntRange(0, 100_000))
@click.option("--seconds", default=3600.0, show_default=True, help="No upgrade begins later than that.")
@click.option("--clients", default=24, show_default=True, type=click.IntRange(1, 500))
@click.option("--rate", default=150.0, show_default=True, help="Requests a second, of all clients together.")
def main(count: int, seconds: float, clients: int, rate: float) -> None:
    """Upgrades a node under load and counts what it costs.  Status 1: something was lost."""
    console = Console(stderr=True)
    with Progress(console=console, transient=True, disable=not console.is_terminal) as progress:
        task = progress.add_task("upgrades", total=count)
        ground, done, took = asyncio.run(
            soak(count, seconds, clients, rate, lambda ground, done: progress.update(task, completed=done))
        )
    table = Table(title=f"{done} upgrades in {took:.0f} s")
    table.add_column("")
    table.add_column("", justify="right")
    for key, value in sorted(ground.counts.items()):
        table.add_row(key, str(value))
    for percentile in (50, 99, 99.9, 100):
        table.add_row(
            f"probe, ms, p{percentile:g}", f"{ground.waits.get_value_at_percentile(percentile) / 1000:.1f}"
        )
    faults = ground.faults()
    table.add_row("rules broken", str(len(faults)))
    Console().print(table)
    for line in [*ground.strange, *faults][:20]:
        click.echo(line)
    if ground.strange or faults:
        sys.exit(1)


if __name__ == "__main__":
    main()
