"""What one plain request costs the real program, beside a bare forwarder that moves the same messages.

    python -m benchmarks.ordinary --cpus 3,4,5 --json out.json

Both programs are started at once, each with job boxes of its own, and measured in turns on one core with the
same clients: what else the machine does meets both.  CPU is what the kernel has counted for the program's
process, the least noisy figure on a machine that is shared; the ratio is that of two neighbours in time, and
its spread is told.  Nothing here is part of CI: `benchmarks.guard` is."""

from __future__ import annotations

import contextlib
import os
import re
import resource
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from benchmarks.counting import Counts, part, per
from benchmarks.load import Figures, Task
from benchmarks.soak import ROOT, Child, configuration, free_port
from benchmarks.standins import HOST, Spec

SOCKETS = 17_000  # three eighths are not for clients: 10,000 idle ones fit
LARGE = 65_536
TOWN_LARGE = 64_000  # a result whose callback, names included, is just below 64 KiB


def cpu(pid: int) -> float:
    """Seconds on a core so far."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


def memory(pid: int, what: str = "VmRSS") -> int:
    """kB."""
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(what))


class Measured(msgspec.Struct):
    """One run: CPU is milliseconds for each answered request."""

    cpu_ms: float
    a_second: float
    figures: Figures
    busy: float  # share of a core


class Town(msgspec.Struct):
    """What a program has round it."""

    boxes: int = 12
    peers: int = 0
    result: int = 0
    held: bool = False  # requests are to be held: no word of their start is waited for


class Side:
    """One program with its job boxes; `kind` is `node` or `forwarder`."""

    def __init__(
        self,
        kind: str,
        town: Town,
        folder: str,
        cores: Sequence[int | None],
        counted: bool = False,
        tree: str = str(ROOT),
        python: str = sys.executable,
    ) -> None:
        self.kind, self.counts_at = kind, os.path.join(folder, f"{kind}-counts.json")
        self.children: list[Child] = []
        spec = Spec(boxes=town.boxes, result=town.result, peers=max(1, town.peers), in_flight=int(town.held))
        told = msgspec.json.encode(spec).decode()
        self.town = Child(
            [sys.executable, "-m", "benchmarks.standins", "town", told], dict(os.environ), str(ROOT), cores[1]
        )
        self.children.append(self.town)
        try:
            env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
            discovery = self.town.wait_for("discovery", 60)
            if kind == "node":
                path = os.path.join(folder, "node.json")
                Path(path).write_bytes(msgspec.json.encode(self.configured(spec, town, discovery)))
                env |= {
                    "RELAY_CONFIG": path,
                    "COUNTED_TREE": tree,
                    "PYTHONPATH": tree + os.pathsep + str(ROOT),
                }
                what = ["violetsaddle"]
            else:
                env |= {"PYTHONPATH": str(ROOT), "COUNTED_TREE": str(ROOT)}
                what = ["benchmarks.forwarder", "0", str(discovery)]
            run = ["-m", "benchmarks.counting", self.counts_at, *what] if counted else ["-m", *what]
            self.program = Child([python, *run], env, folder, cores[0], errors=True)
            self.children.append(self.program)
            spec.node = self.port = int(self.program.wait_line("listening on", 60).rpartition(":")[2])
            if kind == "node":
                self.town.wait_for("asked", 60)
            self.town.tell(spec)
        except BaseException:
            self.end()
            raise
        self.pid = self.program.process.pid

    def configured(self, spec: Spec, town: Town, discovery: int) -> dict[str, Any]:
        table = configuration(spec, discovery, self.town.wait_for("peer"), SOCKETS)
        if town.peers:
            own = f"{HOST}:{free_port()}"
            table["settings"]["siblings"] = town.peers + 1
            table["settings"]["permissions"]["mayTell"] = True
            table |= {
                "peer_listen": own,
                "peers": [own, *(f"{HOST}:{port}" for port in self.town.wait_for("peers"))],
            }
        return table

    def end(self) -> None:
        for child in reversed(self.children):
            child.end()


class Bench:
    """Load, and whatever runs under it."""

    def __init__(self, cores: Sequence[int | None], tree: str, python: str) -> None:
        self.cores, self.tree, self.python = cores, tree, python
        self.folder = tempfile.TemporaryDirectory()
        self.load = Child([sys.executable, "-m", "benchmarks.load"], dict(os.environ), str(ROOT), cores[2])
        self.load.wait_for("up")
        self.tasks = 0
        self.sides: list[Side] = []

    def side(self, kind: str, town: Town | None = None, counted: bool = False) -> Side:
        made = Side(kind, town or Town(), self.folder.name, self.cores, counted, self.tree, self.python)
        self.sides.append(made)
        return made

    def close(self) -> None:
        self.load.end()
        for side in self.sides:
            side.end()
        self.folder.cleanup()

    def __enter__(self) -> Bench:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def ready(self, side: Side, task: Task) -> None:
        """Idle clients and held requests are there afterwards."""
        self.tasks += 1
        task.port, task.name = side.port, f"{self.tasks:04x}"
        self.send(msgspec.json.encode(task))
        self.wait("ready", 120 + task.held / 100)

    def send(self, line: bytes) -> None:
        assert self.load.process.stdin is not None
        self.load.process.stdin.write(line + b"\n")
        self.load.process.stdin.flush()

    def wait(self, key: str, patience: float) -> None:
        until = time.monotonic() + patience
        while self.load.said.get(key) != self.tasks:
            if time.monotonic() > until or self.load.process.poll() is not None:
                raise click.ClickException(f"the clients never told {key!r}")
            time.sleep(0.002)

    def measure(self, side: Side, task: Task) -> Measured:
        self.ready(side, task)
        if not task.requests:
            self.wait("done", 10)
            return Measured(0, 0, Figures(0, {}, 0, 0, 0, 0, 0, {}, 0), 0)
        before = cpu(side.pid)
        self.send(b"begin")
        self.wait("done", 200 + (task.requests / task.rate if task.rate else 0))
        took = cpu(side.pid) - before
        figures = msgspec.convert(self.load.said["figures"], Figures)
        served = max(1, figures.statuses.get("200", 0))
        return Measured(
            round(1e3 * took / served, 4),
            round(served / figures.seconds, 1),
            figures,
            round(took / figures.seconds, 3),
        )


class Ratio(msgspec.Struct):
    """Over the rounds: medians, and the least and the highest ratio of two neighbours."""

    node_ms: float
    forwarder_ms: float
    ratio: float
    lowest: float
    highest: float
    node_a_second: float
    forwarder_a_second: float
    node_p99_us: float
    wrong: dict[str, int]  # answers that were not 200


def paired(bench: Bench, node: Side, forwarder: Side, task: Task, rounds: int) -> Ratio:
    """The same load on both, in turns; the first round warms up and does not count."""
    kept = []
    wrong: dict[str, int] = {}
    for number in range(rounds + 1):
        pair = [
            bench.measure(side, msgspec.structs.replace(task))
            for side in ((node, forwarder) if number % 2 else (forwarder, node))
        ]
        if number % 2 == 0:
            pair.reverse()
        for side, found in zip("nf", pair):
            for status, count in found.figures.statuses.items():
                if status != "200":
                    wrong[f"{side}{status}"] = wrong.get(f"{side}{status}", 0) + count
        if number:
            kept.append(pair)
    ratios = [n.cpu_ms / f.cpu_ms for n, f in kept]
    middle = statistics.median
    lowest, median, highest = (round(of(ratios), 2) for of in (min, middle, max))
    return Ratio(
        middle(n.cpu_ms for n, _ in kept),
        middle(f.cpu_ms for _, f in kept),
        median,
        lowest,
        highest,
        middle(n.a_second for n, _ in kept),
        middle(f.a_second for _, f in kept),
        middle(n.figures.p99 for n, _ in kept),
        wrong,
    )


def counted(bench: Bench, kind: str, requests: int, town: Town, task: Task) -> Counts:
    """The counts of a run in which one client asks after the other."""
    side = bench.side(kind, town, counted=True)
    bench.measure(side, msgspec.structs.replace(task, requests=50, clients=1))
    side.program.process.send_signal(signal.SIGRTMIN)
    time.sleep(0.2)
    bench.measure(side, msgspec.structs.replace(task, requests=requests, clients=1))
    side.program.process.send_signal(signal.SIGRTMIN)
    until = time.monotonic() + 10
    while not os.path.exists(side.counts_at):
        if time.monotonic() > until:
            raise click.ClickException("the counts never came")
        time.sleep(0.02)
    found = msgspec.json.decode(Path(side.counts_at).read_bytes(), type=Counts)
    os.unlink(side.counts_at)
    side.end()
    return found


def traced(bench: Bench, side: Side, task: Task) -> dict[str, float]:
    """System calls a request by strace; empty where there is none."""
    if shutil.which("strace") is None:
        return {}
    path = os.path.join(bench.folder.name, "strace.txt")
    tracer = subprocess.Popen(
        ["strace", "-c", "-f", "-o", path, "-p", str(side.pid)], stderr=subprocess.DEVNULL
    )
    time.sleep(0.5)
    found = bench.measure(side, msgspec.structs.replace(task))
    tracer.send_signal(signal.SIGINT)
    tracer.wait(10)
    calls = {}
    with contextlib.suppress(OSError):
        for line in Path(path).read_text().splitlines():
            fields = line.split()
            if len(fields) >= 5 and fields[0].replace(".", "").isdigit() and fields[-1] != "total":
                calls[fields[-1]] = int(fields[3]) / max(1, found.figures.statuses.get("200", 0))
    often = sorted((call for call in calls.items() if call[1] > 0.005), key=lambda call: -call[1])
    return {name: round(count, 2) for name, count in often}


def sampled(bench: Bench, side: Side, task: Task, seconds: float) -> dict[str, float]:
    """Shares of the time on the core by part, by py-spy; empty where there is none."""
    spy = shutil.which("py-spy") or str(Path(sys.executable).with_name("py-spy"))
    if not os.path.exists(spy):
        return {}
    path = os.path.join(bench.folder.name, "spy.txt")
    watching = subprocess.Popen(
        [
            spy,
            "record",
            "-r",
            "400",
            "-d",
            str(int(seconds)),
            "-f",
            "raw",
            "-F",
            "-o",
            path,
            "-p",
            str(side.pid),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        bench.measure(side, msgspec.structs.replace(task))
    watching.wait(30)
    return shares(Path(path).read_text().splitlines())


# Innermost frames of samples that are a system call, but for a few instructions.
INNERMOST = {
    "doRead (twisted/internet/tcp": "recv",
    "doRead (violetsaddle/net/transports": "recv",
    "writeSomeData (violetsaddle/net/transports": "send",
    "writeSomeData (twisted/internet/tcp": "send",
    "_add (twisted/internet/epollreactor": "epoll_ctl",
    "_remove (twisted/internet/epollreactor": "epoll_ctl",
    "doPoll (twisted/internet/epollreactor": "epoll_wait",
}


def shares(stacks: Iterable[str]) -> dict[str, float]:
    """Of collapsed stacks, by the innermost frame that belongs to a part with a name."""
    seen: dict[str, int] = {}
    for line in stacks:
        stack, _, count = line.rpartition(" ")
        frames = stack.split(";")
        of = INNERMOST.get(frames[-1].partition(":")[0].rpartition(".py")[0].split(".")[-1], "")
        for frame in () if of else reversed(frames):
            found = re.search(r"\((.+?):\d+\)", frame)
            if found is not None and (of := part(found[1])) != "rest of Python":
                break
            of = ""
        seen[of or "rest of Python"] = seen.get(of or "rest of Python", 0) + int(count)
    total = max(1, sum(seen.values()))
    return {name: round(count / total, 4) for name, count in sorted(seen.items(), key=lambda s: -s[1])}


def capacity(bench: Bench, side: Side, seconds: float) -> float:
    """The highest of rising open-loop rates that the program still keeps up with, answers a second."""
    rate, held = 250.0, 0.0
    while rate < 20_000:
        found = bench.measure(side, Task(0, requests=int(rate * seconds), rate=rate))
        if found.figures.p99 > 250_000 or found.figures.statuses.get("200", 0) < 0.99 * int(rate * seconds):
            return held or rate
        held = rate
        rate *= 1.15
    return held


MODES = {
    "plain, 212 bytes": (Town(), Task(0)),
    "64 KiB bodies and results": (Town(result=TOWN_LARGE), Task(0, body=LARGE)),
    "1 client": (Town(), Task(0, clients=1)),
    "64 clients": (Town(), Task(0, clients=64)),
    "1,000 idle clients": (Town(), Task(0, idle=1000)),
    "5,000 idle clients": (Town(), Task(0, idle=5000)),
    "10,000 idle clients": (Town(), Task(0, idle=10_000)),
    "single bytes": (Town(), Task(0, requests=100, clients=4, cut=True)),
    "burst of 1,000 connections": (Town(), Task(0, requests=1000, burst=True)),
    "16 slow 64 KiB bodies beside": (Town(), Task(0, slow=16, rate=200.0, requests=600)),
}
GROWTH: dict[str, list[tuple[str, Town, Task]]] = {
    "boxes": [(str(n), Town(boxes=n), Task(0)) for n in (12, 200, 2000)],
    "peers": [(str(n), Town(peers=n), Task(0)) for n in (4, 16, 64)],
    "in flight": [(str(n), Town(held=True), Task(0, held=n)) for n in (10, 1000, 10_000)],
}


class Options(msgspec.Struct):
    rounds: int
    requests: int
    only: str
    seconds: float


def fit(task: Task, options: Options) -> Task:
    return msgspec.structs.replace(
        task,
        requests=min(task.requests, options.requests)
        if task.requests < 1000
        else options.requests
        if not task.burst
        else task.requests,
    )


def run_modes(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    table = Table(title="CPU a request, ms")
    for name in ("mode", "node", "forwarder", "ratio", "spread", "node p99 ms", "idle KB each", "not 200"):
        table.add_column(name)
    out: dict[str, Any] = {}
    for name, (town, task) in MODES.items():
        if options.only and options.only not in name:
            continue
        if task.idle > resource.getrlimit(resource.RLIMIT_NOFILE)[1] - 2000:
            continue
        node, forwarder = bench.side("node", town), bench.side("forwarder", town)
        each = ""
        try:
            if task.idle:
                found, kb = idle_pair(bench, node, task, options)
                each = f"{kb:.2f}"
                out[name] = {"plain": found[0], "idle": found[1], "kb_each": kb}
                bare, full = found
                table.add_row(
                    name,
                    f"{full.cpu_ms:.3f}",
                    f"none idle: {bare.cpu_ms:.3f}",
                    f"{full.cpu_ms / bare.cpu_ms:.2f}",
                    "",
                    f"{full.figures.p99 / 1e3:.1f}",
                    each,
                )
                continue
            ratio = paired(bench, node, forwarder, fit(task, options), options.rounds if not task.cut else 2)
            out[name] = ratio
            table.add_row(
                name,
                f"{ratio.node_ms:.3f}",
                f"{ratio.forwarder_ms:.3f}",
                f"{ratio.ratio:.1f}",
                f"{ratio.lowest:.1f}-{ratio.highest:.1f}",
                f"{ratio.node_p99_us / 1e3:.1f}",
                each,
                str(ratio.wrong or ""),
            )
            out[name + ", peak kB"] = {side.kind: memory(side.pid, "VmHWM") for side in (node, forwarder)}
        finally:
            node.end()
            forwarder.end()
    console.print(table)
    return out


def idle_pair(bench: Bench, node: Side, task: Task, options: Options) -> tuple[list[Measured], float]:
    """Without and with idle clients, in turns; medians, and the memory that each of them takes."""
    bare, full, sizes = [], [], []
    bench.measure(node, Task(0, requests=300))
    for _ in range(max(1, options.rounds // 2)):
        bare.append(bench.measure(node, Task(0, requests=options.requests)))
        before = memory(node.pid)
        bench.measure(node, Task(0, requests=0, idle=task.idle))
        sizes.append((memory(node.pid) - before) / task.idle)
        full.append(bench.measure(node, Task(0, requests=options.requests, idle=task.idle)))
        bench.measure(node, Task(0, requests=0))
        time.sleep(0.5)
    return [sorted(found, key=lambda m: m.cpu_ms)[len(found) // 2] for found in (bare, full)], sizes[0]


def run_counts(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    requests = 400
    out: dict[str, Any] = {}
    for kind in ("node", "forwarder"):
        found = counted(bench, kind, requests, Town(), Task(0))
        out[kind] = {
            "system": per(found.system, requests),
            "marks": per(found.marks, requests),
            **{
                name: getattr(found, name) / requests
                for name in ("python_calls", "c_calls", "blocks_left", "objects_left")
            },
            "parts": per({k: 1e6 * v for k, v in found.parts.items()}, requests),
            "functions": [
                (n, round(c / requests, 2), round(1e6 * t / requests, 2)) for n, c, t in found.functions
            ],
        }
        side = bench.side(kind)
        bench.measure(side, Task(0, requests=100))
        out[kind]["strace, 1 client"] = traced(bench, side, Task(0, requests=400, clients=1))
        out[kind]["strace, 16 clients"] = traced(bench, side, Task(0, requests=1000))
        side.end()
    for what in ("system", "marks", "strace, 1 client", "strace, 16 clients"):
        table = Table(title=f"{what}, a request")
        for name in ("", "node", "forwarder"):
            table.add_column(name)
        for name in dict.fromkeys([*out["node"][what], *out["forwarder"][what]]):
            table.add_row(name, *(f"{out[kind][what].get(name, 0):.2f}" for kind in ("node", "forwarder")))
        console.print(table)
    for kind in ("node", "forwarder"):
        console.print(kind, {k: v for k, v in out[kind].items() if isinstance(v, float)})
    return out


def run_profile(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    node = bench.side("node")
    plain = [bench.measure(node, Task(0, requests=options.requests)) for _ in range(3)][-1]
    by_samples = sampled(bench, node, Task(0, requests=options.requests), max(6.0, 2 * options.seconds))
    node.end()
    found = counted(bench, "node", 400, Town(), Task(0))
    total = sum(found.parts.values())
    table = Table(title=f"shares of {plain.cpu_ms:.3f} ms by part")
    for name in ("part", "sampled (16 clients)", "ms", "cProfile (1 client)"):
        table.add_column(name)
    for name in dict.fromkeys([*by_samples, *found.parts]):
        share = by_samples.get(name, 0)
        table.add_row(
            name,
            f"{100 * share:.1f} %",
            f"{plain.cpu_ms * share:.3f}",
            f"{100 * found.parts.get(name, 0) / total:.1f} %",
        )
    console.print(table)
    for name, calls, took in found.functions[:25]:
        console.print(f"{took / 400 * 1e6:8.1f} us {calls / 400:8.2f} calls  {name}")
    return {
        "cpu_ms": plain.cpu_ms,
        "sampled": by_samples,
        "functions": found.functions,
        "profiled": {name: took / total for name, took in found.parts.items()},
    }


def run_rates(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    out: dict[str, Any] = {}
    table = Table(title="open loop")
    for name in (
        "program",
        "takes",
        "share",
        "rate",
        "CPU ms",
        "busy",
        "p50 ms",
        "p99",
        "p99.9",
        "late p99",
        "peak MB",
    ):
        table.add_column(name)
    for kind in ("node", "forwarder"):
        side = bench.side(kind)
        bench.measure(side, Task(0, requests=300))
        most = capacity(bench, side, options.seconds)
        out[kind] = {"takes": most}
        for share in (0.25, 0.5, 0.75):
            rate = most * share
            found = bench.measure(side, Task(0, requests=int(rate * 4 * options.seconds), rate=rate))
            out[kind][str(share)] = found
            figures = found.figures
            times = (figures.p50, figures.p99, figures.p999, figures.late)
            table.add_row(
                kind,
                f"{most:.0f}",
                f"{share:.0%}",
                f"{rate:.0f}",
                f"{found.cpu_ms:.3f}",
                f"{found.busy:.2f}",
                *(f"{us / 1e3:.2f}" for us in times),
                f"{memory(side.pid, 'VmHWM') / 1024:.1f}",
            )
        side.end()
    console.print(table)
    return out


def run_growth(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    """Each size beside the smallest, in turns."""
    out: dict[str, Any] = {}
    table = Table(title="CPU ms a request as things grow")
    for name in ("what", "size", "smallest, same run", "this size", "times", "idle CPU, share of a core"):
        table.add_column(name)
    for what, sizes in GROWTH.items():
        if options.only and options.only not in what:
            continue
        _, least, first = sizes[0]
        for name, town, task in sizes:
            small, large = bench.side("node", least), bench.side("node", town)
            pairs = []
            for number in range(options.rounds + 1):
                a = bench.measure(small, msgspec.structs.replace(first, requests=options.requests, held=0))
                b = bench.measure(large, msgspec.structs.replace(task, requests=options.requests))
                if number:
                    pairs.append((a.cpu_ms, b.cpu_ms))
            before = cpu(large.pid)
            time.sleep(1.0)
            rest = cpu(large.pid) - before
            small_ms, large_ms = (statistics.median(p[i] for p in pairs) for i in (0, 1))
            out[f"{what} {name}"] = {
                "small_ms": small_ms,
                "ms": large_ms,
                "rest": rest,
                "times": statistics.median(b / a for a, b in pairs),
            }
            table.add_row(
                what,
                name,
                f"{small_ms:.3f}",
                f"{large_ms:.3f}",
                f"{out[f'{what} {name}']['times']:.2f}",
                f"{rest:.3f}",
            )
            bench.measure(small, Task(0, requests=0))
            small.end()
            large.end()
    console.print(table)
    return out


def run_instructions(bench: Bench, options: Options, console: Console) -> dict[str, Any]:
    """The processor's instructions a request in user space, by valgrind: nearly the same on each machine, the
    kernel's part left out.  Two runs are compared, so that what start and end take does not count."""
    valgrind = shutil.which("valgrind")
    if valgrind is None:
        console.print("no valgrind: instructions were not counted")
        return {}
    log, wrapper = (os.path.join(bench.folder.name, name) for name in ("valgrind.txt", "python"))
    Path(wrapper).write_text(
        f"#!/bin/sh\nexec {valgrind} --tool=callgrind --callgrind-out-file=/dev/null "
        f'--log-file={log} {bench.python} "$@"\n'
    )
    os.chmod(wrapper, 0o755)
    bench.python, plain = wrapper, bench.python
    out: dict[str, Any] = {}
    for kind in ("node", "forwarder"):
        totals = []
        for requests in (100, 400):
            side = bench.side(kind)
            # One client: more of them would wait too long for so slow a program.
            served = bench.measure(side, Task(0, requests=requests, clients=1)).figures.statuses.get("200", 0)
            side.program.process.send_signal(signal.SIGTERM)
            side.program.process.wait(60)
            side.end()
            found = re.search(r"Collected : (\d+)", Path(log).read_text())
            totals.append((served, int(found[1]) if found else 0))
        (few, less), (many, more) = totals
        out[kind] = (more - less) / (many - few)
        console.print(f"{kind}: {out[kind] / 1e3:.0f} thousand instructions a request")
    bench.python = plain
    console.print(f"ratio {out['node'] / out['forwarder']:.2f}")
    return out


RUNS = {
    "modes": run_modes,
    "counts": run_counts,
    "profile": run_profile,
    "rates": run_rates,
    "growth": run_growth,
    "instructions": run_instructions,
}


@click.command()
@click.option("--modes", "wanted", flag_value="modes", help="CPU and ratio under each kind of load.")
@click.option("--counts", "wanted", flag_value="counts", help="System calls, calls, reactor.")
@click.option("--profile", "wanted", flag_value="profile", help="Shares by part.")
@click.option("--rates", "wanted", flag_value="rates", help="Latency at 25, 50, 75 % of what it takes.")
@click.option("--growth", "wanted", flag_value="growth", help="Boxes, peers and requests in flight.")
@click.option("--instructions", "wanted", flag_value="instructions", help="The processor's, by valgrind.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--requests", default=1500, show_default=True, help="For each round and program.")
@click.option("--seconds", default=3.0, show_default=True, help="For each step of the rising rates.")
@click.option("--only", default="", help="Modes (or growths) with this in their names.")
@click.option("--cpus", default="", help="Cores for the programs, the boxes and the clients: 3,4,5.")
@click.option("--tree", default=str(ROOT), help="Where the node's package lies.")
@click.option("--python", default=sys.executable, help="Runs the programs.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Where the figures go.")
def main(
    wanted: str | None,
    rounds: int,
    requests: int,
    seconds: float,
    only: str,
    cpus: str,
    tree: str,
    python: str,
    path: str | None,
) -> None:
    """Without one of the first six, all of them."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    cores: list[int | None] = [int(c) for c in cpus.split(",")] if cpus else [None, None, None]
    console, out = Console(width=150), {}
    for name in [wanted] if wanted else RUNS:
        with Bench(cores, tree, python) as bench:
            out[name] = RUNS[name](bench, Options(rounds, requests, only, seconds), console)
    if path is not None:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(out)))


if __name__ == "__main__":
    main()
