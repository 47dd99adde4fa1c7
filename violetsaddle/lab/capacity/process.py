"""One real node, started as `python -m violetsaddle` and read from outside."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from collections import deque
from pathlib import Path
from typing import Any

import msgspec

from violetsaddle.lab.live import children

START_SECONDS, ANSWER_SECONDS = 60.0, 20.0  # until a node must listen, and must show its counters
NANO = 1e-9
KB = 1024


class NodeDiedError(Exception):
    """A node has ended unasked; the text tells its process id, status and last lines."""


class Usage(msgspec.Struct, frozen=True):
    """What /proc tells of a process."""

    cpu_seconds: float
    memory_kb: int  # resident
    peak_kb: int
    descriptors: int


def usage(pid: int) -> Usage:
    """Raises `OSError` where the process has gone."""
    base = Path(f"/proc/{pid}")
    memory = {}
    for line in (base / "status").read_text().splitlines():
        if line.startswith(("VmRSS:", "VmHWM:")):
            key, value = line.split()[:2]
            memory[key] = int(value)
    return Usage(cpu_seconds(base), memory["VmRSS:"], memory["VmHWM:"], len(list((base / "fd").iterdir())))


def cpu_seconds(base: Path) -> float:
    """Of all threads: to the nanosecond where the kernel tells it so, else in its ticks."""
    try:
        threads = [(task / "schedstat").read_text().split()[0] for task in (base / "task").iterdir()]
        return sum(map(int, threads)) * NANO
    except (OSError, IndexError):
        ticks = (base / "stat").read_text().rpartition(")")[2].split()[11:13]
        return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


class RealNode:
    """A real node as a child process."""

    def __init__(self, number: int, folder: Path, tree: str = "") -> None:
        """`folder` holds its configuration file; `tree`: a checkout whose program is started."""
        self.number, self._folder, self._tree = number, folder, tree
        self.port = 0
        self.log: deque[str] = deque(maxlen=20)
        self._process: asyncio.subprocess.Process | None = None
        self._listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._counters: asyncio.Future[dict[str, int]] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._ending = False

    @property
    def pid(self) -> int:
        """Of the running child."""
        assert self._process is not None
        return self._process.pid

    async def start(self, configuration: dict[str, Any], sockets: int) -> None:
        """Returns once it listens; raises `NodeDiedError`, `TimeoutError`."""
        path = self._folder / f"node{self.number}.json"
        path.write_bytes(msgspec.json.encode(configuration))
        self._process = await children.spawn(
            [sys.executable, "-m", "violetsaddle"],
            self._folder,
            {"RELAY_CONFIG": str(path)},
            tree=self._tree,
            sockets=sockets,
        )
        self._reading = asyncio.create_task(self._read())
        self.port = await asyncio.wait_for(asyncio.shield(self._listening), START_SECONDS)

    async def _read(self) -> None:
        """Takes in its log, until it ends; raises `NodeDiedError` unless that was asked for."""
        assert self._process is not None and self._process.stderr is not None
        while line := await self._process.stderr.readline():
            self._heard(line.decode("utf-8", "replace").rstrip())
        status = await self._process.wait()
        if not self._ending:
            last = " | ".join(list(self.log)[-3:])
            died = NodeDiedError(
                f"node {self.number} (process {self.pid}) ended with status {status}: {last}"
            )
            if not self._listening.done():
                self._listening.set_exception(died)
            raise died

    def _heard(self, line: str) -> None:
        self.log.append(line)
        if found := re.search(r": listening on \S+:(\d+)$", line):
            if not self._listening.done():
                self._listening.set_result(int(found[1]))
        elif ": peer_listen: " in line:
            if not self._listening.done():  # it would serve without its peers
                self._listening.set_exception(
                    NodeDiedError(f"node {self.number} (process {self.pid}): {line}")
                )
        elif ": counters " in line:
            pairs = (word.split("=") for word in line.partition(": counters ")[2].split())
            if self._counters is not None and not self._counters.done():
                self._counters.set_result({name: int(value) for name, value in pairs})

    async def died(self) -> None:
        """Returns never while it runs; raises `NodeDiedError` once it has ended unasked."""
        assert self._reading is not None
        await asyncio.shield(self._reading)

    def usage(self) -> Usage:
        """Raises `NodeDiedError` where it has gone."""
        try:
            return usage(self.pid)
        except (OSError, KeyError) as error:
            raise NodeDiedError(f"node {self.number} (process {self.pid}): {error}") from None

    async def counters(self) -> dict[str, int]:
        """Its own counts, as SIGUSR1 makes it show them; raises `TimeoutError`."""
        self._counters = asyncio.get_running_loop().create_future()
        children.send(self._process, signal.SIGUSR1)
        return await asyncio.wait_for(self._counters, ANSWER_SECONDS)

    async def end(self) -> None:
        """Kills it, if it still runs, and waits for it."""
        self._ending = True
        if self._process is not None:
            await children.end([self._process])
        if self._reading is not None:
            await asyncio.gather(self._reading, return_exceptions=True)
        if self._listening.done() and not self._listening.cancelled():
            self._listening.exception()  # seen
