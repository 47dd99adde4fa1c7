"""The live stage: node processes on loopback sockets, the world in processes of its own, real time."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Collection, Coroutine, Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from violetsaddle.lab.live import children
from violetsaddle.lab.live.nodes import Ground, LiveNode, Log
from violetsaddle.lab.live.places import LivePlaces, reserve
from violetsaddle.lab.live.worker import LATE, STALL, TICK, Order, Plan, Word, frames, monotonic
from violetsaddle.lab.parties.roster import listing
from violetsaddle.lab.records import Late, Ledger, Mark, Record, merge
from violetsaddle.lab.stage import Options, Outcome
from violetsaddle.world import troubles
from violetsaddle.world.day import KEYED, MS, SECOND, Day, Trouble

Watch = Callable[[Record], None]
Stalls = Mapping[str, Sequence[tuple[int, int]]]  # of each ticker, (at, by)

PATIENCE = (1, 3, 9)  # times the usual wait until nodes are ready
HELLO = 60.0  # seconds for a worker's program to start
PARTING = 30.0  # seconds for a worker to stop
LOOK_EVERY = 0.25  # seconds, at memory and fresh records
SPARE = 120  # seconds beyond the day's own length after which all is killed
STOOD = 250 * MS  # a stall of the whole machine up to here does not void
AFTER = SECOND  # what is owed at the day's end has its deadline and so much more
HEADROOM = 300 * MS  # from all being ready to the day's start, at the least
LISTENER = 100  # microseconds that a world needs for each listener
UNPLAYED = {"clock": "a node's clock can't be stopped from outside"}
PLAIN = Options()


class NotReady(Exception):
    """The day could not begin in time."""


class Broken(Exception):
    """A part of the stage itself has failed: the run counts for nothing."""


@dataclass
class Member:
    """A worker process."""

    plan: Plan
    folder: Path
    process: asyncio.subprocess.Process
    words: asyncio.Queue[Word] = field(default_factory=asyncio.Queue)
    done: Word | None = None
    read: int = 0  # bytes of its records taken in

    async def listen(self, broken: Callable[[str], None], box: Callable[[Word], None]) -> None:
        """Takes its words in until it ends."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            word = msgspec.json.decode(line, type=Word)
            if word.what == "fault":
                broken(f"{self.plan.name} failed: {word.text}")
            elif word.what == "done":
                self.done = word
            elif word.what == "box":
                box(word)
                continue
            self.words.put_nowait(word)
        code = await self.process.wait()
        if self.done is None:
            error = (self.folder / f"{self.plan.name}.err").read_text(errors="replace")
            broken(f"{self.plan.name} ended early with {code}: {error[-2000:]}")
        self.words.put_nowait(Word("ended"))

    async def heard(self, what: str, within: float) -> None:
        """Waits for a word; raises `Broken`."""
        try:
            async with asyncio.timeout(within):
                while (word := await self.words.get()).what != what:
                    if word.what in ("ended", "fault"):
                        raise Broken(f"{self.plan.name}: {word.what} {word.text}")
        except TimeoutError:
            raise Broken(f"{self.plan.name} did not say {what} within {within} s") from None

    def tell(self, order: Order) -> None:
        if self.process.stdin is not None and self.process.returncode is None:
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    def fresh(self) -> list[Record]:
        """What it has written since the last call."""
        records: list[Record] = []
        with suppress(FileNotFoundError):
            with open(self.plan.records, "rb") as file:
                file.seek(self.read)
                for part, size in frames(file.read()):
                    records += part
                    self.read += size
        return records


class Run:
    """One attempt to play one day."""

    def __init__(
        self,
        stage: LiveStage,
        day: Day,
        options: Options,
        watch: Watch | None,
        patience: int,
        folder: Path,
        places: LivePlaces,
    ) -> None:
        self._stage, self._day, self._options, self._watch, self._patience, self._folder, self._places = (
            stage,
            day,
            options,
            watch,
            patience,
            folder,
            places,
        )
        self._cast = dict(stage.cast)
        self._ledger, self._log = Ledger(), Log(self._now)
        self._start = monotonic()  # a guess until it is set
        self._members: list[Member] = []
        self._nodes: list[LiveNode] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._broken: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._stalls: list[tuple[int, int]] = []
        self._parts: list[list[Record]] = []  # of each member
        self._told = 0  # records of the stage's own that the watcher has

    def _now(self) -> int:
        return monotonic() - self._start

    @property
    def _after(self) -> int:
        return self._options.after or max(c.deadline for c in self._day.classes) + AFTER

    def _go(self, task: Coroutine[Any, Any, None]) -> None:
        """Runs something beside the rest; its exception breaks the run."""

        def over(done: asyncio.Task[None]) -> None:
            if not done.cancelled() and (error := done.exception()) is not None:
                self._break(f"the stage failed: {type(error).__name__}: {error}")

        self._tasks.append(asyncio.create_task(task))
        self._tasks[-1].add_done_callback(over)

    def _box(self, word: Word) -> None:
        """The roster hears what becomes of boxes in other processes."""
        self._members[0].tell(Order("box", number=word.number, text=word.text))

    def _life(self, node: int, life: int) -> None:
        self._members[0].tell(Order("life", number=node, life=life))

    def _break(self, why: str) -> None:
        if not self._broken.done():
            self._broken.set_result(why)

    async def play(self) -> Outcome:
        """Raises `NotReady`."""
        began, void = time.monotonic(), ""
        try:
            async with asyncio.timeout((self._day.length + self._after) / SECOND + SPARE):
                await self._prepare()
                await self._pass()
                await self._finish()
        except Broken as error:
            void = str(error)
        except TimeoutError:
            void = "the stage did not come to its end in time"
        finally:
            await self._drop()
        self._collect()
        return self._outcome(void, time.monotonic() - began)

    # The beginning.

    async def _prepare(self) -> None:
        stage, day = self._stage, self._day
        (self._folder / "tmp").mkdir()
        asked = time.monotonic()
        if any(c.effect == KEYED and c.group == "all" for c in day.classes):
            self._cast["world"] = min(1, self._cast.get("world", 0))  # boxes that share keys share a process
        if not stage.echo and len(day.nodes) > 1:
            self._cast["relay"] = 1
        for role, count in self._cast.items():
            for index in range(count):
                await self._hire(role, index, count)
        for member in self._members:
            await member.heard("hello", HELLO)
        took = int((time.monotonic() - asked) * SECOND)
        for member in self._members:
            await member.heard("drawn", HELLO)
        # How long a Python program takes to start here and now tells how long nodes will.
        nodes = 0 if stage.echo else len(day.nodes)
        rounds = -(-nodes // max(1, len(stage.cpus or os.sched_getaffinity(0)) - 1))
        wait = HEADROOM + took * rounds + LISTENER * nodes * len(day.boxes) // self._cast.get("world", 1)
        self._start = monotonic() + wait * self._patience
        unix0 = time.time_ns() // 1000 - self._now()
        for member in self._members:
            member.tell(Order("start", self._start, unix0))
        for member in self._members:
            await member.heard("ready", HELLO)
        ground = Ground(
            day,
            self._options,
            self._places,
            self._folder,
            self._ledger,
            self._log,
            self._now,
            lambda node: listing(day, self._places, node, unix0),
            self._life,
            stage.node_cpus(),
        )
        self._nodes = [LiveNode(ground, number) for number in range(nodes)]
        for node in self._nodes:
            await node.launch()
        try:
            async with asyncio.timeout(max(0.001, -self._now() / SECOND)):
                if not all(await asyncio.gather(*(node.ready() for node in self._nodes))):
                    raise Broken("a node ended before it was ready: " + " / ".join(self._log.lines)[-2000:])
        except TimeoutError:
            raise NotReady(f"nodes were not ready within {wait * self._patience / SECOND:.1f} s") from None
        if self._now() > 0:
            raise NotReady("the world was not ready in time")

    async def _hire(self, role: str, index: int, count: int) -> None:
        name = f"{role}{index}"
        plan = Plan(role, name, index, count, self._day, self._places, str(self._folder / f"{name}.records"))
        path = self._folder / f"{name}.plan"
        path.write_bytes(msgspec.json.encode(plan))
        with open(self._folder / f"{name}.err", "wb") as error:
            process = await children.spawn(
                [sys.executable, "-m", "violetsaddle.lab.live.worker", str(path)],
                self._folder / "tmp",
                {},
                cpus=self._stage.worker_cpus(role, len(self._members)),
                speaks=True,
                stderr=error,
            )
        self._members.append(Member(plan, self._folder, process))
        self._parts.append([])
        self._go(self._members[-1].listen(self._break, self._box))

    # The day.

    async def _pass(self) -> None:
        self._go(self._tick())
        self._go(self._look())
        for trouble in self._day.troubles:
            for task in self._play(trouble):
                self._go(task)
        left = (self._day.length + self._after - self._now()) / SECOND
        await asyncio.wait([self._broken], timeout=left)
        if self._broken.done():
            raise Broken(self._broken.result())

    def _play(self, trouble: Trouble) -> Iterable[Coroutine[Any, Any, None]]:
        yield self._mark(trouble)
        kind, nodes = trouble.kind, self._nodes
        if kind in ("restart", "kill", "pause"):
            for number in trouble.nodes:
                if number < len(nodes):
                    yield {
                        "restart": nodes[number].restart,
                        "kill": nodes[number].kill,
                        "pause": nodes[number].pause,
                    }[kind](trouble)
        elif kind == "hall":
            for node, hall in zip(nodes, self._day.nodes):
                if hall in trouble.halls:
                    yield node.kill(trouble)
        elif kind == "roster_move":
            for node in nodes:
                yield node.move(trouble)

    async def _mark(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0, trouble.at - self._now()) / SECOND)
        words = troubles.text(trouble, self._day)
        if trouble.kind in UNPLAYED:
            words += f" (not played: {UNPLAYED[trouble.kind]})"
        self._ledger.add(Mark(self._now(), trouble.until, trouble.kind, words))

    async def _tick(self) -> None:
        """Knows of stalls of the machine, as every worker does."""
        while True:
            due = self._now() + TICK
            await asyncio.sleep(TICK / SECOND)
            late = self._now() - due
            if late > STALL:
                self._stalls.append((self._now(), late))

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            for node in self._nodes:
                node.look_at_memory()
            if self._watch is not None:
                self._collect()

    def _collect(self) -> None:
        fresh: list[Record] = list(self._ledger.records[self._told :])
        self._told += len(fresh)
        for part, member in zip(self._parts, self._members):
            new = member.fresh()
            part += new
            fresh += new
        if self._watch is not None and fresh:
            for record in sorted(fresh, key=lambda record: record.at):
                self._watch(record)

    # The end.

    async def _finish(self) -> None:
        await asyncio.gather(*(node.close() for node in self._nodes))
        await self._dismiss("load")
        await asyncio.gather(*(node.finish() for node in self._nodes))
        await self._dismiss("world", "echo", "relay")

    async def _dismiss(self, *roles: str) -> None:
        leaving = [member for member in self._members if member.plan.role in roles]
        for member in leaving:
            member.tell(Order("stop"))
        for member in leaving:
            await member.heard("done", PARTING)

    async def _drop(self) -> None:
        """Nothing of the run is left, however it came to its end."""
        for task in self._tasks:
            task.cancel()
        running = [member.process for member in self._members]
        for node in self._nodes:
            running += node.drop()
        await children.end(running)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _outcome(self, void: str, wall: float) -> Outcome:
        records = merge([self._ledger.records, *self._parts])
        lates = [record for record in records if isinstance(record, Late)]
        log = self._log.lines
        self._stage.workers = {m.plan.name: m.done for m in self._members if m.done is not None}
        log += [
            f"{name}: {done.cpu:.2f} s of CPU, {done.waited:.2f} s waiting for a core"
            for name, done in self._stage.workers.items()
        ]
        if self._log.left_out:
            log.append(f"{self._log.left_out} more lines were left out")
        stalls = {"stage": self._stalls, **{name: done.stalls for name, done in self._stage.workers.items()}}
        void = void or behind(lates, stalls, self._stage.late)
        return Outcome(
            self._day,
            records,
            [node.counters() for node in self._nodes],
            log,
            wall,
            0,
            max((node.peak for node in self._nodes), default=0.0),
            void,
        )


def behind(lates: Sequence[Late], stalls: Stalls, most: int) -> str:
    """Why a run is void: somebody was later than `most` while others were not, or the whole machine stood
    still for long.  A stall that every ticker shows is the machine's."""
    stood = 0
    for late in lates:
        if late.by <= most:
            continue
        begun = late.at - late.by
        if not all(any(at - by <= late.at and begun <= at for at, by in seen) for seen in stalls.values()):
            return f"{late.who} fell behind by {late.by / MS:.0f} ms at {late.at / SECOND:.3f} s"
        stood = max(stood, late.by)
    if stood > max(most, STOOD):
        return f"the machine stood still for {stood / MS:.0f} ms"
    return ""


class LiveStage:
    """Plays days in real time: `stage.Stage`.

    `cpus`: the cores to run on, None for all; with enough of them each worker has one and nodes share the
    rest.  `worlds`, `loads`: processes for boxes and for clients, split by hall.  `late`: microseconds
    by which a stand-in may fall behind before the run is void.  `echo`: a stand-in that answers at once takes
    the nodes' place, for measuring the load tool."""

    def __init__(
        self,
        cpus: Collection[int] | None = None,
        worlds: int = 1,
        loads: int = 1,
        late: int = LATE,
        echo: bool = False,
    ) -> None:
        self.cpus = sorted(cpus) if cpus else []
        self.cast = {"echo": 1, "load": loads} if echo else {"world": worlds, "load": loads}
        self.late, self.echo = late, echo
        self.workers: dict[str, Word] = {}  # what each worker said at the end of the last day

    @property
    def _apart(self) -> int:
        """Cores that workers have for themselves."""
        workers = sum(self.cast.values())
        return workers if len(self.cpus) > workers else 0

    def worker_cpus(self, role: str, number: int) -> Collection[int]:
        if role == "relay":
            return self.node_cpus()  # its work is small, and a part of theirs
        return [self.cpus[number]] if self._apart else self.cpus

    def node_cpus(self) -> Collection[int]:
        return self.cpus[self._apart :]

    def play(self, day: Day, options: Options = PLAIN, watch: Watch | None = None) -> Outcome:
        """Takes the day's length and some seconds.  `watch` gets records as they come, not always in order.

        What went wrong with the stage itself makes the outcome void.  Raises `KeyboardInterrupt`, or
        `SystemExit` at SIGTERM; no process is left then either."""
        why = ""
        for patience in PATIENCE:
            try:
                return asyncio.run(self._play(day, options, watch, patience))
            except NotReady as error:
                why = str(error)
        return Outcome(day, [], [{} for _ in day.nodes], [], 0.0, 0, 0.0, why)

    async def _play(self, day: Day, options: Options, watch: Watch | None, patience: int) -> Outcome:
        loop, me = asyncio.get_running_loop(), asyncio.current_task()
        assert me is not None
        ended = False

        def end() -> None:
            nonlocal ended
            ended = True
            me.cancel()

        handled = threading.current_thread() is threading.main_thread()
        if handled:
            loop.add_signal_handler(signal.SIGTERM, end)
        try:
            with (
                tempfile.TemporaryDirectory(prefix=f"violetsaddle-lab-{os.getpid()}-") as folder,
                reserve(len(day.nodes)) as places,
            ):
                return await Run(self, day, options, watch, patience, Path(folder), places).play()
        except asyncio.CancelledError:
            if ended:
                raise SystemExit(128 + signal.SIGTERM) from None
            raise
        finally:
            if handled:
                loop.remove_signal_handler(signal.SIGTERM)
