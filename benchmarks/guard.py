"""The guard of the ordinary path: what one plain request may cost, in counts that no machine changes.

    python -m benchmarks.guard            judges against benchmarks/bounds.json
    python -m benchmarks.guard --write    takes what it has found as the bounds

One node runs in this process, with the real reactor and real sockets but a clock of the script's own.  A
script plays clients and job boxes in lock step: it sends one message, turns the reactor until nothing is left
to do and reads what came of it, so that each run does the same.  Three passes:

- a profile counts calls: system calls by kind, the reactor's turns and events, deadlines, all calls;
- a trace of each instruction counts instructions, and memory blocks and objects that the collector tracks as
  they are made (not what is made and freed within one instruction, nor what comes from the free lists);
- with a body and a result of 64 KiB, the same trace counts memory taken in steps of 2 KiB and more: copies of
  a body.  The kernel's are not among them, nor what a buffer moves as it grows, nor what is freed at once.

A count may lie 5 % above its bound.  Beside them stands the ratio to the bare forwarder, which is measured in
time and so has a wide bound."""

from __future__ import annotations

import array
import cProfile
import fcntl
import gc
import os
import platform
import re
import select
import socket
import sys
import tempfile
import termios
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

import click
import msgspec
import twisted

from benchmarks.counting import counts
from benchmarks.load import request
from benchmarks.soak import configuration
from benchmarks.standins import HOST, Spec
from violetsaddle import __main__ as program
from violetsaddle.net.node import Node
from violetsaddle.net.reactor import Reactor

BOUNDS = Path(__file__).with_name("bounds.json")
RISE, FALL = 1.05, 0.90
BOXES, WARM, PROFILED, TRACED, LARGE = 12, 120, 100, 4, 3
BODY, RESULT, PIECE, STEP = 65_536, 64_000, 16_384, 2048  # bytes
EACH = 10_000  # microseconds between requests
PATIENCE = 10.0
EVERYWHERE = ("system", "reactor", "work")  # groups that no version of Python changes


class Bounds(msgspec.Struct):
    """Counts a request by group and name; those outside `EVERYWHERE` are judged under these versions only."""

    python: str
    twisted: str
    ratio: float
    counts: dict[str, dict[str, float]]


class Time:
    def __init__(self) -> None:
        self.now = 1_000_000_000_000

    def monotonic(self) -> int:
        return self.now

    def unix(self) -> int:
        return self.now

    def seconds(self) -> float:
        return self.now / 1e6


class End:
    """The script's end of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.held = sock, b""
        sock.settimeout(PATIENCE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def message(self) -> bytes:
        while True:
            head, mark, rest = self.held.partition(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            need = int(length[1]) if length else 0
            if mark and len(rest) >= need:
                self.held = rest[need:]
                return head + mark + rest[:need]
            data = self.sock.recv(1 << 20)
            if not data:
                raise AssertionError("the node has closed a connection")
            self.held += data


class Stage:
    """One node and everybody round it; `watch` is put round the node's every turn."""

    def __init__(self, folder: str) -> None:
        self.time = Time()
        self.reactor: Any = Reactor()
        self.reactor.seconds = self.time.seconds
        self.epoll = self.reactor._poller.fileno()
        self.watch: Callable[[Callable[[], None]], None] = lambda turn: turn()
        self.listeners = [socket.create_server((HOST, 0)) for _ in range(BOXES)]
        self.discovery = socket.create_server((HOST, 0))  # never answers: the node knows its list
        spec = Spec()
        table = configuration(spec, self.discovery.getsockname()[1], 1, 1024)
        table["settings"]["discovery"] = "push"
        table["known"] = {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": f"s-{n}",
                    "addr": f"{HOST}:{sock.getsockname()[1]}",
                    "zone": "east",
                    "kind": "box",
                    "cell": 0,
                    "state": "up",
                    "weight": 1.0,
                    "started_ms": 0,
                }
                for n, sock in enumerate(self.listeners)
            ],
        }
        path = os.path.join(folder, "guard.json")
        Path(path).write_bytes(msgspec.json.encode(table))
        os.environ["RELAY_CONFIG"] = path
        for name in ("RELAY_LISTEN", "RELAY_NAME", "RELAY_DISCOVERY"):
            os.environ.pop(name, None)
        self.node = Node(self.reactor, program.read(), program.reread, clock=self.time)
        self.node.counters.say = lambda text: None  # type: ignore[method-assign]
        self.node.start()
        self.port = self.node._port.getHost().port
        self.boxes: list[End | None] = [None] * BOXES
        self.calls: list[End | None] = [None] * BOXES
        self.sent = 0
        self.settle(wait=False)
        self.client = self.dial()

    def dial(self) -> End:
        made = End(socket.create_connection((HOST, self.port), PATIENCE))
        self.settle()
        return made

    def settle(self, wait: bool = True) -> None:
        """Turns the reactor until it has nothing to do; `wait`: something is on its way to it."""
        if wait and not select.select([self.epoll], [], [], PATIENCE)[0]:
            raise AssertionError("nothing reached the node")
        while select.select([self.epoll], [], [], 0)[0] or self.reactor.timeout() == 0:
            self.watch(self.turn)

    def turn(self) -> None:
        self.reactor.runUntilCurrent()
        self.reactor.timeout()
        self.reactor.doIteration(0)

    def send(self, end: End, data: bytes) -> None:
        """In pieces, each of which has arrived as a whole before the node looks."""
        for at in range(0, len(data), PIECE):
            piece = data[at : at + PIECE]
            end.sock.sendall(piece)
            if len(data) > PIECE:
                self.arrived(end, len(piece))
            self.settle()

    def arrived(self, end: End, size: int) -> None:
        here = end.sock.getsockname()
        there = next(
            t
            for t in self.reactor.getReaders()
            if hasattr(t, "client") and t.getHandle().getpeername() == here
        )
        count = array.array("i", [0])
        while count[0] < size:
            fcntl.ioctl(there.getHandle().fileno(), termios.FIONREAD, count)

    def heard(self) -> tuple[int, End]:
        """The box that hears of a job, and its connection; a new one is taken in."""
        sources = {sock: n for n, sock in enumerate(self.listeners)}
        lines = {box.sock: n for n, box in enumerate(self.boxes) if box is not None}
        while True:
            ready, _, _ = select.select([*sources, *lines], [], [], PATIENCE)
            assert ready, "no box heard of the job"
            for sock in ready:
                if sock in lines:
                    box = self.boxes[lines[sock]]
                    assert box is not None
                    return lines[sock], box
                number = sources[sock]
                box = self.boxes[number] = End(sock.accept()[0])
                lines[box.sock] = number

    def play(self, body: bytes, result: str, between: Callable[[], None] = lambda: None) -> None:
        """One request from its first byte to its answer's last; `between`: its job was taken."""
        self.time.now += EACH
        self.sent += 1
        job = f"a{self.sent:08x}"
        self.send(self.client, request(job, body, self.sent))
        number, box = self.heard()
        taken = box.message()
        assert taken.endswith(body) and job.encode() in taken, taken[:300]
        between()
        self.send(box, b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        call = self.calls[number]
        if call is None:
            call = self.calls[number] = self.dial()
        for state in ("started", "done"):
            said = msgspec.json.encode(
                {
                    "id": job,
                    "from": f"s-{number}",
                    "state": state,
                    **({"result": result} if state == "done" else {}),
                }
            )
            self.send(
                call,
                b"POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s" % (len(said), said),
            )
            assert call.message().startswith(b"HTTP/1.1 204 ")
        answer = self.client.message()
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(result.encode()), answer[:300]


class Trace:
    """Counts each instruction of the node's turns, and what memory grows by with it."""

    def __init__(self, size: Callable[[], int], least: int) -> None:
        self.size = size
        self.instructions = self.made = last = 0

        # Closures, not methods: a method would be made anew for each frame, and be counted with the rest.
        def enter(frame: FrameType, event: str, arg: object) -> Any:
            nonlocal last
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
            last = size()  # the frame object that tracing makes is not the program's
            return step

        def step(frame: FrameType, event: str, arg: object) -> Any:
            nonlocal last
            now = size()
            if event == "opcode":
                self.instructions += 1
            if now - last >= least:
                self.made += now - last
            last = now
            return step

        self.enter = enter

    def __call__(self, turn: Callable[[], None]) -> None:
        sys.settrace(self.enter)
        try:
            turn()
        finally:
            sys.settrace(None)


def profiled(stage: Stage) -> dict[str, dict[str, float]]:
    profile = cProfile.Profile()

    def watch(turn: Callable[[], None]) -> None:
        profile.enable()
        turn()
        profile.disable()

    stage.watch = watch
    for _ in range(PROFILED):
        stage.play(b"x" * 212, "ok")
    stage.watch = lambda turn: turn()
    found = counts(profile.getstats())
    reactor = (
        "reactor turns",
        "reactor events",
        "doRead",
        "doWrite",
        "callLater",
        "callWithLogger",
        "Deferreds run",
    )
    work = ("deadlines added",)

    def each(values: dict[str, int], names: tuple[str, ...] | None = None) -> dict[str, float]:
        return {name: values.get(name, 0) / PROFILED for name in (names or values)}

    return {
        "system": {**each(found.system), "all": sum(found.system.values()) / PROFILED},
        "reactor": each(found.marks, reactor),
        "work": each(found.marks, work),
        "interpreter": {"Python calls": found.python_calls / PROFILED, "C calls": found.c_calls / PROFILED},
    }


def traced(stage: Stage) -> dict[str, float]:
    made = {}
    sizes: dict[str, Callable[[], int]] = {
        "blocks made": sys.getallocatedblocks,
        "tracked objects made": lambda: gc.get_count()[0],
    }
    for name, size in sizes.items():
        trace = stage.watch = Trace(size, 1)
        for _ in range(TRACED):
            stage.play(b"x" * 212, "ok")
        made[name] = trace.made / TRACED
        made["instructions"] = trace.instructions / TRACED
    stage.watch = lambda turn: turn()
    return made


def left(stage: Stage) -> dict[str, float]:
    """Objects that the collector tracks: of a request in flight, and of one that is over."""
    held: list[int] = []
    before = len(gc.get_objects())
    stage.play(b"x" * 212, "ok", lambda: held.append(len(gc.get_objects())))
    held.append(len(gc.get_objects()))
    return {"tracked objects in flight": held[0] - before}


def copies(stage: Stage) -> dict[str, float]:
    body, result = b"x" * BODY, "r" * RESULT
    for _ in range(4):
        stage.play(body, result)
    tracemalloc.start()
    trace = stage.watch = Trace(lambda: tracemalloc.get_traced_memory()[0], STEP)
    to_box = 0
    for _ in range(LARGE):
        start = trace.made

        def taken(start: int = start) -> None:
            nonlocal to_box
            to_box += trace.made - start

        stage.play(body, result, taken)
    tracemalloc.stop()
    stage.watch = lambda turn: turn()
    return {
        "of a request's body": to_box / BODY / LARGE,
        "of a result": (trace.made - to_box) / RESULT / LARGE,
    }


def measure() -> dict[str, dict[str, float]]:
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(folder)
        for _ in range(WARM):
            stage.play(b"x" * 212, "ok")
        gc.collect()
        gc.disable()
        gc.freeze()
        found = profiled(stage)
        found["interpreter"] |= traced(stage)
        found["memory"] = left(stage)
        found["copies"] = copies(stage)
        gc.enable()
    return {group: {name: round(count, 3) for name, count in names.items()} for group, names in found.items()}


def judge(found: dict[str, dict[str, float]], bounds: Bounds) -> tuple[list[str], list[str]]:
    """What rose too far, and which bounds should be lowered."""
    same = bounds.python == platform.python_version()[:4] and bounds.twisted == twisted.__version__
    bad, low = [], []
    for group, names in found.items():
        if not same and group not in EVERYWHERE:
            continue
        for name in dict.fromkeys([*names, *bounds.counts.get(group, {})]):
            count, bound = names.get(name, 0.0), bounds.counts.get(group, {}).get(name, 0.0)
            if count > bound * RISE + 0.02:
                bad.append(f"{group}, {name}: {count:g} a request, above the bound {bound:g}")
            elif count < bound * FALL - 0.02:
                low.append(f"{group}, {name}: {count:g} a request; the bound {bound:g} should be lowered")
    return bad, low


def ratio() -> float:
    """Node to forwarder, CPU a request: the lowest of three short rounds, for what else the machine does only
    adds."""
    from benchmarks.load import Task
    from benchmarks.ordinary import Bench, paired

    with Bench([None, None, None], str(BOUNDS.parent.parent), sys.executable) as bench:
        return paired(bench, bench.side("node"), bench.side("forwarder"), Task(0, requests=200), 3).lowest


@click.command()
@click.option("--write", is_flag=True, help="What is found becomes the bounds.")
@click.option("--no-ratio", is_flag=True, help="Counts alone.")
@click.option("--bounds", "path", default=str(BOUNDS), type=click.Path(dir_okay=False))
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Where the counts go.")
def main(write: bool, no_ratio: bool, path: str, out: str | None) -> None:
    """Fails where a request costs more than its bounds allow."""
    found = measure()
    told = msgspec.json.decode(Path(path).read_bytes(), type=Bounds) if os.path.exists(path) else None
    if out is not None:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(found)))
    if write or told is None:
        told = Bounds(platform.python_version()[:4], twisted.__version__, told.ratio if told else 10.0, found)
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(told)) + b"\n")
    for group, names in found.items():
        click.echo(f"{group}: " + ", ".join(f"{name} {count:g}" for name, count in names.items()))
    bad, low = judge(found, told)
    if not no_ratio:
        times = ratio()
        click.echo(f"ratio to the bare forwarder: {times:.1f}")
        if times > told.ratio:
            bad.append(f"the ratio to the bare forwarder is {times:.1f}, above the bound {told.ratio:g}")
    for line in low:
        click.echo("lower: " + line)
    for line in bad:
        click.echo("FAIL: " + line, err=True)
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
