"""One node of the live stage: its process through all its lives, its log and what the day does to it."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from violetsaddle.lab.live import children
from violetsaddle.lab.live.places import LivePlaces
from violetsaddle.lab.records import Fault, Ledger, LeftOver, NodeLife
from violetsaddle.lab.scene import Address
from violetsaddle.lab.stage import Options, merged
from violetsaddle.world.day import MS, SECOND, Day, Trouble, chance, settings

MOST_LINES = 4000  # of all logs
MOST_TEXT = 4000  # characters of a fault
MEMORY_MB = 192
UP_EVERY = 0.02  # seconds between looks whether a node has started
COUNTERS = re.compile(r"\bcounters((?: [a-z0-9_]+=-?\d+)*)(?:\W|$)")
STAMP = re.compile(r"\d{4}-\d\d-\d\dT")  # a console's next line
TRACEBACK = "Traceback (most recent call last)"
END = 3700 * MS  # a node has at least so long to end when the day is over
ASK_BEFORE = 100 * MS  # a node that is to be killed is asked for its counters so long before


@dataclass
class Log:
    """Lines of all nodes with their times, up to a number."""

    now: Callable[[], int]
    lines: list[str] = field(default_factory=list)
    left_out: int = 0

    def add(self, text: str) -> None:
        if len(self.lines) < MOST_LINES:
            self.lines.append(f"{self.now() / SECOND:9.3f} {text[:MOST_TEXT]}")
        else:
            self.left_out += 1


@dataclass(frozen=True)
class Ground:
    """What all nodes of a run share."""

    day: Day
    options: Options
    places: LivePlaces
    folder: Path
    ledger: Ledger
    log: Log
    now: Callable[[], int]
    known: Callable[[int], Any]  # the list that a node holds at its start, in discovery's form
    lives: Callable[[int, int], None]  # told of each new life
    cpus: Collection[int]

    @property
    def grace(self) -> int:
        """From SIGTERM until SIGKILL may come."""
        return min(max(c.deadline for c in self.day.classes), 3 * SECOND) + 700 * MS

    async def until(self, at: int) -> None:
        """A moment of the day."""
        await asyncio.sleep(max(0, at - self.now()) / SECOND)


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def config(ground: Ground, node: int, life: int, move: int) -> dict[str, Any]:
    """A node's configuration in the platform's form; `move`: discovery has moved so many times."""
    day, places = ground.day, ground.places
    seed = int(chance(day.seed, "node", node, life).integers(1 << 63))
    return {
        "name": f"n{node}",
        "listen": text(places.node(node)),
        "discovery": text(places.roster(node, move)),
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": day.sockets},
        "peer_listen": text(places.peer(node)),
        "peers": [
            text(places.peer(node) if other == node else places.relay(node, other))
            for other in range(len(day.nodes))
        ],
        "known": ground.known(node),
        "settings": merged(settings(day, node), ground.options.settings),
    }


class LiveNode:
    def __init__(self, ground: Ground, number: int) -> None:
        self._ground, self._number, self._name = ground, number, f"n{number}"
        self._path = ground.folder / f"{self._name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.peak = 0.0  # MB
        self._life, self._move, self._holds, self._pauses = -1, 0, 0, 0
        self._sign = ""  # what was sent to end the present life: term, kill or nothing
        self._ready = False  # the present life has answered
        self._moved = False  # discovery has moved before that
        self._closed = False  # the day is over
        self._counts: dict[int, dict[str, int]] = {}  # of each life, as last told
        self._told = asyncio.Event()  # counters came
        self._faults: Counter[int] = Counter()
        self._trace: list[str] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._gone: asyncio.Task[None] | None = None

    def _note(self, what: str, code: int = 0, life: int | None = None) -> None:
        life = self._life if life is None else life
        self._ground.ledger.add(NodeLife(self._ground.now(), self._number, life, what, code))

    def _fault(self, words: str) -> None:
        self._faults[self._life] += 1
        self._ground.ledger.add(Fault(self._ground.now(), self._number, words[:MOST_TEXT]))

    # Its life.

    async def launch(self) -> None:
        """Starts its program; returns at once."""
        ground = self._ground
        self._life, self._sign, self._trace = self._life + 1, "", None
        self._ready = self._moved = False
        self._write()
        told = {
            "RELAY_NAME": self._name,
            "RELAY_CONFIG": str(self._path),
            "RELAY_LISTEN": text(ground.places.node(self._number)),
            "RELAY_DISCOVERY": text(ground.places.roster(self._number, self._move)),
        }
        if ground.options.operator:
            told["RELAY_OPERATOR"] = str(Path(ground.options.operator).resolve())
        ground.lives(self._number, self._life)
        self._note("start")
        self.process = await children.spawn(
            [sys.executable, "-m", "violetsaddle"],
            ground.folder / "tmp",
            told,
            tree=ground.options.tree,
            cpus=ground.cpus,
            sockets=ground.day.sockets,
        )
        reading = asyncio.create_task(self._read(self.process))
        self._gone = asyncio.create_task(self._watch(self.process, reading))
        self._tasks += [self._gone, asyncio.create_task(self._look(self.process))]

    def _write(self) -> None:
        """Puts a new configuration in the place of the old one, never half of one."""
        fresh = self._path.with_suffix(".new")
        fresh.write_bytes(msgspec.json.encode(config(self._ground, self._number, self._life, self._move)))
        fresh.replace(self._path)

    async def _watch(self, process: asyncio.subprocess.Process, reading: asyncio.Task[None]) -> None:
        code = await process.wait()
        self.process = None
        await reading
        if self._sign == "":
            self._note("crashed", code)
            self._fault(f"the program ended by itself with {code}")
        elif self._sign == "term":
            if code == -signal.SIGTERM and not self._ready:
                code = 0  # its program had not got to where it listens for signals
            self._note("ended", code)
            if code:
                self._fault(f"the program ended with {code} after SIGTERM")

    async def _look(self, process: asyncio.subprocess.Process) -> None:
        """Until the node answers; what the platform does before it sends clients."""
        host, port = self._ground.places.node(self._number)
        asking = f"GET /up HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode()
        while process.returncode is None and not self._sign:
            try:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(asking)
                answer = await asyncio.wait_for(reader.read(64), 2)
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    self._ready = True
                    self._note("ready")
                    if self._moved:
                        children.send(process, signal.SIGHUP)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(UP_EVERY)

    async def ready(self) -> bool:
        """False: it ended before it was."""
        await self._tasks[-1]
        return self.process is not None

    # Its log.

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        held = b""
        while data := await process.stderr.read(65536):
            *lines, held = (held + data).split(b"\n")
            held = held[-65536:]
            for line in lines:
                self._line(line.decode("utf-8", "replace").rstrip())
        if held:
            self._line(held.decode("utf-8", "replace"))
        self._end_trace()

    def _line(self, line: str) -> None:
        found = COUNTERS.search(line)
        if found:
            pairs = (pair.partition("=") for pair in found[1].split())
            self._counts[self._life] = {key: int(value) for key, _, value in pairs}
            self._told.set()
            return
        self._ground.log.add(line if line.startswith(self._name) else f"{self._name}| {line}")
        if TRACEBACK in line and line.startswith("{"):
            self._fault(line)  # a JSON line holds the whole
        elif TRACEBACK in line and self._trace is None:
            self._trace = [line]
        elif line.startswith("Fatal Python error"):
            self._fault(line)
        elif self._trace is not None:
            if not line or line.startswith(f"{self._name}: ") or STAMP.match(line):
                self._end_trace()
            elif len(self._trace) < 200:
                self._trace.append(line)

    def _end_trace(self) -> None:
        if self._trace is not None:
            lines, self._trace = "\n".join(self._trace), None
            if len(lines) > MOST_TEXT:
                lines = lines[:200] + "\n...\n" + lines[210 - MOST_TEXT :]  # the end names the exception
            self._fault(lines)

    def ask(self) -> bool:
        """Has it tell its counters; False: it can't."""
        return self._ready and not self._pauses and children.send(self.process, signal.SIGUSR1)

    def look_at_memory(self) -> None:
        self.peak = max(self.peak, children.peak(self.process))

    # What the day does to it.

    async def _release(self) -> None:
        self._holds -= 1
        if not self._holds and not self._closed and self.process is None:
            await self.launch()

    def _term(self) -> None:
        if not self._sign and children.send(self.process, signal.SIGTERM):
            self._sign = "term"
            self._note("term")

    def _kill(self) -> None:
        self.look_at_memory()
        if children.send(self.process, signal.SIGKILL):
            self._sign = "kill"
            self._note("kill")

    async def _is_gone(self, within: int) -> bool:
        """Whether the present life ends within so many microseconds."""
        if self._gone is not None:
            await asyncio.wait([self._gone], timeout=max(0, within) / SECOND)
        return self._gone is None or self._gone.done()

    async def restart(self, trouble: Trouble) -> None:
        await self._ground.until(trouble.at)
        self._holds += 1
        self._term()
        if not await self._is_gone(trouble.at + self._ground.grace - self._ground.now()):
            self._kill()
            await self._is_gone(10 * SECOND)
        await self._ground.until(trouble.until)
        await self._release()

    async def kill(self, trouble: Trouble) -> None:
        """Also for a hall lost: a process that is gone can't be silent on loopback, so it resets."""
        await self._ground.until(trouble.at - ASK_BEFORE)
        self.ask()
        await self._ground.until(trouble.at)
        self._holds += 1
        self._kill()
        await self._is_gone(10 * SECOND)
        await self._ground.until(trouble.until)
        await self._release()

    async def pause(self, trouble: Trouble) -> None:
        await self._ground.until(trouble.at)
        paused = self.process
        self._pauses += 1
        if self._pauses == 1 and children.send(paused, signal.SIGSTOP):
            self._note("pause")
        try:
            await self._ground.until(trouble.until)
        finally:
            self._pauses -= 1
            if not self._pauses and paused is self.process and children.send(paused, signal.SIGCONT):
                self._note("resume")

    async def move(self, trouble: Trouble) -> None:
        await self._ground.until(trouble.at)
        self._move += 1
        self._write()
        if self._ready:
            children.send(self.process, signal.SIGHUP)
        else:
            self._moved = True  # a program that does not listen for the signal yet would end by it

    # The end of the day.

    async def close(self) -> None:
        """Asks for its counters before clients go."""
        self._closed = True
        self.look_at_memory()
        self._told.clear()
        if self.ask():
            try:
                await asyncio.wait_for(self._told.wait(), 2)
            except TimeoutError:
                self._fault("it did not tell its counters")

    async def finish(self) -> None:
        """SIGTERM, and the end in time."""
        self.look_at_memory()
        self._term()
        within = max(self._ground.grace, END) + self._ground.day.rules.slack
        if not await self._is_gone(within):
            self._fault(f"it did not end within {within / SECOND} s of SIGTERM")
            self._kill()
            await self._is_gone(10 * SECOND)
        await asyncio.gather(*self._tasks)
        counts = self._counts.get(self._life, {})
        for key, value in sorted(counts.items()):
            if key.startswith("held_") and value:
                self._ground.ledger.add(LeftOver(self._ground.now(), self._number, key, value))
        for life, told in sorted(self._counts.items()):
            if told.get("faults", 0) > self._faults[life]:
                self._fault(
                    f"life {life} counts {told['faults']} faults, of which its log shows {self._faults[life]}"
                )

    def counters(self) -> dict[str, int]:
        """Summed over its lives, as far as these told them."""
        total: Counter[str] = Counter()
        for told in self._counts.values():
            total.update(told)
        return dict(sorted(total.items()))

    def drop(self) -> list[asyncio.subprocess.Process]:
        """Ends all that goes on here; the processes are the caller's to end."""
        for task in self._tasks:
            task.cancel()
        return [self.process] if self.process is not None else []
