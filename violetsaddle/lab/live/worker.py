"""A process of the live stage that plays a part of the world: `python -m violetsaddle.lab.live.worker PLAN`.

It is told when the day starts and stops by lines of JSON on its input, answers by such lines, and writes what
happened to a file of its own as it goes, so that a kill loses little.  It ends when its input ends."""

from __future__ import annotations

import gc
import os
import resource
import sys
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import IO, Any

import msgspec
import numpy as np

from violetsaddle.lab.live.places import LivePlaces
from violetsaddle.lab.records import Late, Ledger, Record, decode
from violetsaddle.lab.scene import Party, Scene
from violetsaddle.world import clients
from violetsaddle.world.day import MS, SECOND, Day

TICK = 20 * MS
FLUSH = 5  # ticks
STALL = 20 * MS  # a stall shorter than this is not worth telling
LATE = 50 * MS
MOST_STALLS = 2000
SIZE = 4  # bytes before each frame of records


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a worker is told before it starts."""

    role: str  # a key of `CASTS`
    name: str
    index: int  # among those of its role
    of: int
    day: Day
    places: LivePlaces
    records: str  # path

    def halls(self) -> list[int]:
        """The halls that are this worker's; with more workers than halls the last ones have none."""
        return list(range(self.index, len(self.day.halls), self.of))

    def boxes(self) -> list[int]:
        halls = self.halls()
        return [number for number, box in enumerate(self.day.boxes) if box.hall in halls]


class Order(msgspec.Struct, frozen=True):
    """To a worker."""

    what: str  # start, stop; to the one with the roster: life of a node, box of another worker
    start: int = 0  # monotonic microseconds at which the day starts
    unix0: int = 0  # the same moment in Unix time
    number: int = 0  # of the node or box
    life: int = 0
    text: str = ""  # what became of the box


class Word(msgspec.Struct, frozen=True):
    """From a worker."""

    what: str  # hello, drawn, ready, done, box, or fault: a stand-in has failed
    text: str = ""
    number: int = 0  # of a box
    stalls: list[tuple[int, int]] = []  # of a done: (at, by) of what kept the loop from turning
    cpu: float = 0.0  # of a done: seconds of work since the day was drawn
    waited: float = 0.0  # of a done: seconds in which another program had its core


def monotonic() -> int:
    """Microseconds; the same clock in all processes of the machine."""
    return time.monotonic_ns() // 1000


def world(worker: Worker, scene: Scene, unix0: int) -> list[Party]:
    """Boxes of the worker's halls and, in the first process, discovery."""
    from violetsaddle.lab.parties.boxes import BoxesParty
    from violetsaddle.lab.parties.roster import RosterParty

    plan = worker.plan
    boxes = BoxesParty(scene, None if plan.of == 1 else plan.boxes())
    if plan.index:
        boxes.on_life = lambda box, what: worker.say(Word("box", what, box))
        return [boxes]
    roster = RosterParty(scene, unix0, boxes)
    worker.hearers["life"] = lambda order: roster.life(order.number, order.life)
    worker.hearers["box"] = lambda order: roster.heard(order.number, order.text)
    return [boxes, roster]


def load(worker: Worker, scene: Scene, unix0: int) -> list[Party]:
    """Clients of the worker's halls and, in the first process, bad clients."""
    from violetsaddle.lab.parties.clients import CrowdParty
    from violetsaddle.lab.parties.rude import RudeParty

    parties: list[Party] = [CrowdParty(scene, worker.plan.halls())]
    return parties if worker.plan.index else [*parties, RudeParty(scene)]


def echo(worker: Worker, scene: Scene, unix0: int) -> list[Party]:
    """In the place of nodes: answers at once (`drive`)."""
    from violetsaddle.lab.live.echo import EchoParty

    return [EchoParty(scene)]


def relay(worker: Worker, scene: Scene, unix0: int) -> list[Party]:
    """What lies between the nodes."""
    from violetsaddle.lab.live.relay import RelayParty

    return [RelayParty(scene)]


class Worker:
    def __init__(self, reactor: Any, plan: Plan, out: IO[bytes]) -> None:
        self._reactor, self.plan, self._out = reactor, plan, out
        self.hearers: dict[str, Callable[[Order], None]] = {}
        self._worked = self._waited = 0.0  # until the day was drawn
        self._ledger = Ledger()
        self._file = open(plan.records, "ab", buffering=0)
        self._parties: Sequence[Party] = ()
        self._start = 0
        self._due = 0  # the next tick
        self._ticks = 0
        self._stalls: list[tuple[int, int]] = []
        self._stopping = False

    def now(self) -> int:
        return monotonic() - self._start

    def say(self, word: Word) -> None:
        try:
            self._out.write(msgspec.json.encode(word) + b"\n")
            self._out.flush()
        except OSError:
            self._reactor.stop()  # the stage has gone

    def greet(self) -> None:
        self.say(Word("hello"))
        clients.items(self.plan.day)  # parties ask for it again; large days take some seconds
        self._worked, self._waited = time.process_time(), waited()
        self.say(Word("drawn"))

    def hear(self, line: bytes) -> None:
        order = msgspec.json.decode(line, type=Order)
        if order.what == "start":
            self._begin(order)
        elif order.what != "stop":
            self.hearers[order.what](order)
        elif not self._stopping:
            self._stopping = True
            for party in self._parties:
                party.stop()
            self._reactor.callLater(0.05, self._end)

    def _begin(self, order: Order) -> None:
        self._start = order.start
        scene = Scene(self.plan.day, self._reactor, self.now, self._ledger, self.plan.places, links=False)
        try:
            self._parties = CASTS[self.plan.role](self, scene, order.unix0)
            for party in self._parties:
                party.start()
        except Exception:
            self.say(Word("fault", traceback.format_exc()))
            return
        # What lives as long as the day is no work for the collector, whose pauses would make clients late.
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 100)
        self.say(Word("ready"))
        self._due = self.now() + TICK
        self._reactor.callLater(TICK / SECOND, self._tick)

    def _tick(self) -> None:
        now = self.now()
        late = now - self._due
        if late > STALL and now > 0 and len(self._stalls) < MOST_STALLS:
            self._stalls.append((now, late))
        if late > LATE and now > 0:
            self._ledger.add(Late(now, self.plan.name, late))
        self._ticks += 1
        if self._ticks % FLUSH == 0:
            self._flush()
        self._due = now + TICK
        self._reactor.callLater(TICK / SECOND, self._tick)

    def _flush(self) -> None:
        records = self._ledger.records
        if records:
            frame = msgspec.msgpack.encode(records, enc_hook=plain)
            records.clear()  # in place: parties hold the list's own `append`
            self._file.write(len(frame).to_bytes(SIZE, "big") + frame)

    def _end(self) -> None:
        self._flush()
        self.say(
            Word(
                "done",
                stalls=self._stalls,
                cpu=time.process_time() - self._worked,
                waited=waited() - self._waited,
            )
        )
        self._reactor.stop()

    def observe(self, event: dict[str, Any]) -> None:
        """A stand-in's own exception would pass in silence and look like a fault of the node."""
        failure = event.get("log_failure")
        if failure is not None:
            self.say(Word("fault", failure.getTraceback()))


CASTS: dict[str, Callable[[Worker, Scene, int], Sequence[Party]]] = {
    "world": world,
    "load": load,
    "echo": echo,
    "relay": relay,
}


def waited() -> float:
    """Seconds for which this process was ready to run and another one had the core; 0 where nobody counts."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


def plain(value: Any) -> Any:
    """A number that was drawn, as Python's own kind; raises `NotImplementedError` for anything else."""
    if isinstance(value, np.generic):
        return value.item()
    raise NotImplementedError(type(value).__name__)


def frames(data: bytes) -> Iterator[tuple[list[Record], int]]:
    """The records of a worker's file and the bytes each frame takes; one cut short at the end is passed
    over."""
    at = 0
    while at + SIZE <= len(data):
        end = at + SIZE + int.from_bytes(data[at : at + SIZE], "big")
        if end > len(data):
            return
        yield decode(data[at + SIZE : end]), end - at
        at = end


class Orders:
    """Standard input, read by the reactor; a stage that has gone ends the worker."""

    def __init__(self, reactor: Any, hear: Callable[[bytes], None]) -> None:
        self._reactor, self._hear, self._held = reactor, hear, b""
        os.set_blocking(0, False)
        reactor.addReader(self)

    def fileno(self) -> int:
        return 0

    def logPrefix(self) -> str:
        return "orders"

    def doRead(self) -> None:
        try:
            data = os.read(0, 65536)
        except BlockingIOError:
            return
        if not data:
            self._reactor.removeReader(self)
            self._reactor.stop()
            return
        *lines, self._held = (self._held + data).split(b"\n")
        for line in lines:
            self._hear(line)

    def connectionLost(self, reason: object) -> None:
        """The reactor has ended."""


def main(path: str) -> int:
    from violetsaddle.lab.live import fine

    reactor: Any = fine.install()
    # What follows imports the reactor.
    from twisted.logger import globalLogBeginner

    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    worker = Worker(reactor, msgspec.json.decode(Path(path).read_bytes(), type=Plan), sys.stdout.buffer)
    observer: Any = worker.observe
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    Orders(reactor, worker.hear)
    reactor.callWhenRunning(worker.greet)
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
