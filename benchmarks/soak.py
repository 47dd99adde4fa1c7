"""A long run of one real node on loopback: what each request leaves behind in memory, and how long it stalls.

    python -m benchmarks.soak --requests 10000,100000,300000 --mix plain --json out.json

Milestones count requests that have ended in any way; in the mix `churn` they count boxes replaced."""

from __future__ import annotations

import contextlib
import ctypes
import os
import queue
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import click
import msgspec

from benchmarks.standins import HOST, LANES, TENANTS, Spec

ROOT = Path(__file__).resolve().parent.parent
TICK = os.sysconf("SC_CLK_TCK")
SECOND = 1_000_000  # microseconds
RATES = {"plain": 800.0, "endings": 400.0, "churn": 200.0}
CLIENTS = {"plain": 16, "endings": 96, "churn": 16}
DEATH = 1  # PR_SET_PDEATHSIG
# Runs the node and tells at its end what the collector did, by generation.
GC_WRAPPER = """
import atexit, gc, json, runpy, sys, time
seen, start = [[0, 0, 0, 0] for _ in range(3)], 0
def collected(phase, info):
    global start
    if phase == "start":
        start = time.perf_counter_ns()
        return
    took, of = (time.perf_counter_ns() - start) // 1000, seen[info["generation"]]
    of[:] = of[0] + 1, of[1] + took, max(of[2], took), of[3] + info["collected"]
gc.callbacks.append(collected)
atexit.register(lambda: print("collector", json.dumps(
    [dict(zip(("runs", "us", "longest_us", "freed"), of)) for of in seen]), file=sys.stderr, flush=True))
sys.argv[0] = "violetsaddle"
runpy.run_module("violetsaddle", run_name="__main__")
"""


class Child:
    """A child process whose lines are read as they come; it dies with this one."""

    def __init__(
        self, command: list[str], env: dict[str, str], cwd: str, core: int | None, errors: bool = False
    ) -> None:
        def before() -> None:
            ctypes.CDLL(None).prctl(DEATH, signal.SIGKILL)
            if core is not None:
                os.sched_setaffinity(0, {core})

        self.process = subprocess.Popen(
            command,
            env=env,
            cwd=cwd,
            stdin=subprocess.PIPE,
            stdout=None if errors else subprocess.PIPE,
            stderr=subprocess.PIPE if errors else None,
            preexec_fn=before,
        )
        stream = self.process.stderr if errors else self.process.stdout
        assert stream is not None
        self.lines: queue.Queue[bytes] = queue.Queue()
        self.said: dict[str, Any] = {}  # the last value of each name, of what tells JSON
        self.reader = threading.Thread(target=self._read, args=(stream,), daemon=True)
        self.reader.start()

    def _read(self, stream: IO[bytes]) -> None:
        for line in stream:
            if line.startswith(b"{"):
                self.said.update(msgspec.json.decode(line))
            else:
                self.lines.put(line)

    def wait_for(self, key: str, patience: float = 30.0) -> Any:
        """A value that a stand-in tells."""
        until = time.monotonic() + patience
        while key not in self.said:
            if time.monotonic() > until or self.process.poll() is not None:
                raise click.ClickException(f"a stand-in never told {key!r}")
            time.sleep(0.01)
        return self.said[key]

    def wait_line(self, mark: str, patience: float = 10.0) -> str:
        """The next line that holds a text; the others are shown."""
        until = time.monotonic() + patience
        while True:
            try:
                line = self.lines.get(timeout=max(0.01, until - time.monotonic())).decode().rstrip()
            except queue.Empty:
                raise click.ClickException(f"the node never told {mark!r}") from None
            if mark in line:
                return line
            click.echo("  node: " + line[:300], err=True)

    def tell(self, spec: Spec) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(spec) + b"\n")
        self.process.stdin.flush()

    def end(self, patience: float = 0.0) -> None:
        """Ends it: by the end of its input first, by force after `patience` seconds."""
        assert self.process.stdin is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(patience or 1.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.reader.join(1.0)


class Sample(msgspec.Struct):
    """What /proc says of the node at one moment; times are seconds, sizes kB."""

    seconds: float
    ended: int
    rss_kb: int
    peak_kb: int
    cpu_s: float
    mark: int = 0  # the milestone that was reached


def sample(pid: int, start: float, ended: int, mark: int = 0) -> Sample:
    with open(f"/proc/{pid}/status") as file:
        sizes = {line[:5]: int(line.split()[1]) for line in file if line.startswith(("VmRSS", "VmHWM"))}
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return Sample(
        round(time.monotonic() - start, 2),
        ended,
        sizes["VmRSS"],
        sizes["VmHWM"],
        (int(fields[11]) + int(fields[12])) / TICK,
        mark,
    )


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def configuration(spec: Spec, discovery: int, peer: int, sockets: int) -> dict[str, Any]:
    """A node's configuration; the mix `endings` has probes and a peer too."""
    full = spec.mix == "endings"
    effects = {"quote": "retryable", "charge": "dedup", "settle": "fragile"}
    own = f"{HOST}:{free_port()}"
    settings = {
        "requestClasses": [
            {
                "name": lane,
                "target": SECOND // 5,
                "deadline": 5 * SECOND,
                "group": "all",
                "dedupWindow": 5 * SECOND,
                "idempotency": effects[lane],
            }
            for lane in LANES
        ],
        "tenants": [{"name": name, "share": share} for name, share in TENANTS.items()],
        "failureDomains": ["east"],
        "kinds": ["box"],
        "discovery": "ask",
        "period": 1000,
        "siblings": 2 if full else 1,
        # Boxes here tell no progress: where requests are held, none may be waited for.
        "familyInfo": {
            "reportX0": "free slots",
            "tellsStart": not spec.in_flight,
            "progress": 0 if spec.in_flight else SECOND,
        },
        "permissions": {
            "cancel": True,
            "retryAfter": True,
            "mostTries": 3,
            "keepalive": 5 * SECOND,
            "dialTimeout": SECOND // 5,
            "mayProbe": full,
            "mayTell": full,
        },
    }
    if full:
        settings["report"] = {"names": ["x0", "utilization"], "via": "pull"}
    return {
        "name": "soaked",
        "listen": f"{HOST}:0",
        "seed": "5",
        "limits": {"sockets": sockets},
        "discovery": f"{HOST}:{discovery}",
        "settings": settings,
        **({"peer_listen": own, "peers": [own, f"{HOST}:{peer}"]} if full else {}),
    }


class Run:
    """One run; `result` holds its figures once it is over."""

    def __init__(
        self,
        spec: Spec,
        marks: list[int],
        most_seconds: float,
        every: float,
        python: str,
        tree: str,
        gc_stats: bool,
        stall: bool,
        cores: list[int | None],
    ) -> None:
        self.spec, self.marks, self.most_seconds, self.every = spec, marks, most_seconds, every
        self.python, self.tree, self.gc_stats, self.stall, self.cores = python, tree, gc_stats, stall, cores
        self.samples: list[Sample] = []
        self.stalls: dict[str, Any] = {}
        self.children: list[Child] = []
        self.result: dict[str, Any] = {}

    def stand_in(self, role: str, core: int | None) -> Child:
        spec = msgspec.json.encode(self.spec).decode()
        made = Child(
            [sys.executable, "-m", "benchmarks.standins", role, spec], dict(os.environ), str(ROOT), core
        )
        self.children.append(made)
        return made

    def node(self, town: Child, folder: str) -> Child:
        sockets = max(1024, 2 * self.spec.in_flight + 1024)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 2 * sockets + 1024), hard))
        path = os.path.join(folder, "node.json")
        table = configuration(self.spec, town.wait_for("discovery"), town.wait_for("peer"), sockets)
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(table))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": path, "PYTHONPATH": self.tree}
        what = ["-c", GC_WRAPPER] if self.gc_stats else ["-m", "violetsaddle"]
        # In a folder of its own: from the root, Python would take the package there, whatever the path says.
        made = Child([self.python, *what], env, folder, self.cores[0], errors=True)
        self.children.append(made)
        return made

    def run(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._run(folder)
            finally:
                for child in reversed(self.children):
                    child.end()

    def _run(self, folder: str) -> None:
        churn = self.spec.mix == "churn"
        town = self.stand_in("town", self.cores[1])
        node = self.node(town, folder)
        self.spec.node = int(node.wait_line("listening on").rpartition(":")[2])
        town.wait_for("asked")  # until it has a list, the node holds what comes
        crowd = self.stand_in("crowd", self.cores[2])
        crowd.wait_for("held", 60.0 + self.spec.in_flight / 200)
        town.tell(self.spec)
        ping = self.stand_in("ping", self.cores[2]) if self.stall else None
        self._watch(node, crowd, town if churn else crowd, "replaced" if churn else "ended", ping)
        node.process.send_signal(signal.SIGUSR1)
        counters = node.wait_line("counters").partition("counters ")[2]
        crowd.end()
        node.process.send_signal(signal.SIGTERM)
        if self.gc_stats:
            collector = msgspec.json.decode(node.wait_line("collector").partition("collector ")[2])
        else:
            collector = None
        first, last = self.samples[0], self.samples[-1]
        self.result = {
            "mix": self.spec.mix,
            "rate_wanted": self.spec.rate,
            "seconds": last.seconds,
            "ended": last.ended,
            "rate_reached": round(last.ended / max(0.01, last.seconds), 1),
            "statuses": crowd.said.get("statuses", {}),
            "held": crowd.said.get("held", 0),
            "cpu_ms_per_request": round(1e3 * (last.cpu_s - first.cpu_s) / max(1, last.ended), 3),
            "peak_kb": last.peak_kb,
            "samples": self.samples,
            "counters": {k: int(v) for k, _, v in (c.partition("=") for c in counters.split())},
            "stall": self.stalls,
            "collector": collector,
        }

    def _watch(self, node: Child, crowd: Child, told: Child, key: str, ping: Child | None) -> None:
        """Takes samples until the last milestone or the end of the time."""
        start, marks = time.monotonic(), list(self.marks)
        self.samples.append(sample(node.process.pid, start, 0))
        due = start + self.every
        show(self.samples[-1], None)
        while marks:
            time.sleep(0.05)
            now = time.monotonic()
            for child in self.children:
                if child.process.poll() is not None:
                    raise click.ClickException(f"{child.process.args!r}"[:80] + " has ended")
            reached = marks.pop(0) if told.said.get(key, 0) >= marks[0] else 0
            if reached or now >= due or now - start > self.most_seconds:
                before = self.samples[-1]
                self.samples.append(sample(node.process.pid, start, crowd.said.get("ended", 0), reached))
                show(self.samples[-1], before)
                due = now + self.every
            if reached and ping is not None:
                self.stalls[str(reached)] = dict(ping.said)
            if now - start > self.most_seconds:
                click.echo("the time is over")
                break
        if ping is not None:
            self.stalls["end"] = dict(ping.said)


def show(now: Sample, before: Sample | None) -> None:
    if before is None:
        click.echo("seconds    ended     rss_kb  change    peak_kb   ms/req")
        click.echo(f"{now.seconds:7.1f} {now.ended:8d} {now.rss_kb:10d} {'':7} {now.peak_kb:10d}")
        return
    each = 1e3 * (now.cpu_s - before.cpu_s) / max(1, now.ended - before.ended)
    click.echo(
        f"{now.seconds:7.1f} {now.ended:8d} {now.rss_kb:10d} {now.rss_kb - before.rss_kb:+7d}"
        f" {now.peak_kb:10d} {each:8.3f}" + (f"   milestone {now.mark}" if now.mark else "")
    )


def report(result: dict[str, Any]) -> Iterator[str]:
    for key in (
        "mix",
        "ended",
        "held",
        "seconds",
        "rate_wanted",
        "rate_reached",
        "cpu_ms_per_request",
        "peak_kb",
    ):
        yield f"{key}: {result[key]}"
    yield "statuses: " + " ".join(f"{k}={v}" for k, v in sorted(result["statuses"].items()))
    yield "counters: " + " ".join(f"{k}={v}" for k, v in result["counters"].items())
    for at, stall in result["stall"].items():
        yield f"round trips up to {at}: " + " ".join(
            f"{k}={v}" for k, v in stall.items() if k == "pings" or k.endswith("_us")
        )
    for generation, what in enumerate(result["collector"] or ()):
        yield f"collector {generation}: " + " ".join(f"{k}={v}" for k, v in what.items())


@click.command(help=__doc__)
@click.option("--requests", default="", help="Milestones, rising; boxes replaced in the mix churn.")
@click.option("--rate", type=float, help="Requests a second; 800, endings 400, churn 200.")
@click.option("--mix", type=click.Choice(list(RATES)), default="plain")
@click.option("--clients", type=int, help="Connections of clients that are kept.")
@click.option("--boxes", default=12)
@click.option("--churn-rate", default=100.0, help="Boxes replaced a second in the mix churn.")
@click.option("--in-flight", default=0, help="Requests held open during the whole run.")
@click.option("--fresh-calls", is_flag=True, help="A new connection for each callback in every mix.")
@click.option("--stall", is_flag=True, help="GET /up every 5 ms: the longest round trip is told.")
@click.option("--gc-stats", is_flag=True, help="What the node's collector did, by generation.")
@click.option("--most-seconds", default=900.0)
@click.option("--every", default=5.0, help="Seconds between samples.")
@click.option("--seed", default=1, help="Of the mixture.")
@click.option("--cpus", default="", help="Cores for node, boxes and clients: 3,4,5.")
@click.option("--python", default=sys.executable, help="Runs the node.")
@click.option("--tree", default=str(ROOT), help="Where the node's package lies.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Where the figures go.")
def main(
    requests: str,
    rate: float | None,
    mix: str,
    clients: int | None,
    boxes: int,
    churn_rate: float,
    in_flight: int,
    fresh_calls: bool,
    stall: bool,
    gc_stats: bool,
    most_seconds: float,
    every: float,
    seed: int,
    cpus: str,
    python: str,
    tree: str,
    path: str | None,
) -> None:
    marks = [int(n) for n in (requests or ("10000" if mix == "churn" else "10000,100000")).split(",")]
    churn = mix == "churn"
    spec = Spec(
        mix=mix,
        rate=rate or RATES[mix],
        total=0 if churn else marks[-1],
        boxes=boxes,
        seed=seed,
        clients=clients or CLIENTS[mix],
        ids=marks[-1] if churn else 0,
        churn_rate=churn_rate,
        in_flight=in_flight,
        fresh_calls=fresh_calls,
    )
    cores: list[int | None] = [int(c) for c in cpus.split(",")] if cpus else [None, None, None]
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    run = Run(spec, sorted(marks), most_seconds, every, python, tree, gc_stats, stall, cores)
    run.run()
    for line in report(run.result):
        click.echo(line)
    if path is not None:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(run.result)))


if __name__ == "__main__":
    main()
