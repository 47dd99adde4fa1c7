"""How long a pushed configuration takes to be in force: `python -m violetsaddle.lab.changes`.

Three real replicas and a number of real nodes on loopback.  Datagrams between nodes pass through this
process, which loses a share of them; what goes to a replica passes through it too and is counted.  In the
second part of the run one replica is dead for a while and some nodes are restarted.  Nodes have no servers
and no clients.

Times are from the writer's answer until the line of the node's log that says the version is in force, as read
here; nodes that were not up at the answer count from when they listen."""

from __future__ import annotations

import argparse
import asyncio
import copy
import json
import math
import random
import re
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from violetsaddle.control import client
from violetsaddle.decide.document import baseline_of
from violetsaddle.lab.capacity.discovery import HollowDiscovery
from violetsaddle.lab.capacity.hollow import Traffic
from violetsaddle.lab.capacity.process import cpu_seconds
from violetsaddle.lab.live import children
from violetsaddle.lab.live.places import LivePlaces, reserve

REPLICAS = ("c0", "c1", "c2")
STARTS = 60.0  # seconds within which a process has to listen, or a replica to vote
AT_ONCE = 8  # nodes that start at the same time
BOUND = 8.0  # seconds within which a version has to be in force
SOCKETS = 512  # of a node
GOSSIP = 0x43  # first byte of a node's word on the newest number
DEAD, BACK = 0.5, 0.75  # parts of the run between which a replica is dead
DOWN = 1.0  # seconds from a node's end to its next start
LOOK_EVERY = 0.05  # seconds
WRITE = 20.0  # seconds for a push, tries included
SETTINGS: dict[str, Any] = {
    "requestClasses": [
        {"name": "quote", "target": 200_000, "deadline": 5_000_000, "idempotency": "retryable"},
        {"name": "settle", "target": 200_000, "deadline": 5_000_000, "idempotency": "fragile"},
    ],
    "tenants": [{"name": "acme", "share": 0.75}, {"name": "beta", "share": 0.25}],
    "failureDomains": ["east"],
    "kinds": ["box"],
    "discovery": "push",
    "period": 1000,
    "familyInfo": {"reportX0": "free slots"},
    "permissions": {"cancel": True, "retryAfter": True, "mostTries": 3, "mayTell": True},
}


class ChangesError(Exception):
    """The run can't go on; the text says why."""


class Plan(msgspec.Struct, frozen=True):
    """`seconds`: of each of the two parts, one without changes and one with them; `lossy`: the share of
    datagrams between nodes that are lost; `restarts`: of nodes, in the second part; `silent`: the replica is
    stopped and keeps its connections, instead of being killed."""

    nodes: int = 4
    changes: int = 8
    seconds: float = 30.0
    lossy: float = 0.05
    restarts: int = 2
    seed: int = 1
    silent: bool = False


class Change(msgspec.Struct):
    """One version.  `lags`: seconds until it, or a newer one, was in force, of each node that ever had it;
    `missing`: the other nodes."""

    number: int
    write_seconds: float  # from the request until its answer
    by: str
    at: float  # of the answer, seconds since the run began
    replica_dead: bool
    lags: dict[str, float] = msgspec.field(default_factory=dict)
    missing: list[str] = msgspec.field(default_factory=list)


class Cost(msgspec.Struct):
    """Of one part of a run.  CPU: milliseconds a second; bytes: payloads a second."""

    node_cpu_ms: float | None  # mean of the nodes that ran all the time, None: there were none
    replica_cpu_ms: float | None  # mean of the replicas that ran all the time
    nodes_replica_bytes: float  # TCP, both ways, all nodes and replicas together
    replicas_bytes: float  # TCP, both ways, among the replicas
    gossip_bytes: float  # UDP, words on the newest number, all nodes together


class Outcome(msgspec.Struct):
    """Of a run."""

    plan: Plan
    changes: list[Change]
    idle: Cost
    changing: Cost
    datagrams_lost: int
    datagrams_passed: int
    faults: list[str]

    @property
    def lags(self) -> list[float]:
        """Of all changes and nodes, in order of size."""
        return sorted(lag for change in self.changes for lag in change.lags.values())


class Way:
    """A way to a replica: passes bytes on and counts them."""

    def __init__(self, target: tuple[str, int]) -> None:
        """`target`: where the replica listens."""
        self._target = target
        self.bytes = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, at: tuple[str, int]) -> None:
        """Listens there."""
        self._server = await asyncio.start_server(self._take, *at)

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            onward = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()  # as if nobody listened here
            return
        for source, to in ((reader, onward[1]), (onward[0], writer)):
            task = asyncio.create_task(self._pump(source, to))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source: asyncio.StreamReader, to: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(65536):
                self.bytes += len(data)
                to.write(data)
        except OSError:
            pass
        finally:
            to.close()

    def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class Air(asyncio.DatagramProtocol):
    """Where all other nodes reach one node.

    One socket a node, not one a pair: 240 nodes would need 57,360.  The sender is known by its own address,
    and what it sends goes on from the socket at which it is reached itself, as nodes know their peers."""

    transport: asyncio.DatagramTransport

    def __init__(self, run: Run, to: int) -> None:
        """To node `to`."""
        self._run, self._to = run, to

    def connection_made(self, transport: Any) -> None:
        """It is bound."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """From another node; or a stranger's, which goes nowhere."""
        run = self._run
        source = run.senders.get(addr)
        if source is None or source == self._to:
            return
        if data[:1] == bytes([GOSSIP]):
            run.gossip += len(data)
        if run.chance.random() < run.plan.lossy:
            run.lost += 1
            return
        run.passed += 1
        run.air[source].transport.sendto(data, run.places.peer(self._to))


class Child:
    """A real process, through all its lives, and what its log tells."""

    def __init__(self, run: Run, name: str, args: Sequence[str], env: dict[str, str]) -> None:
        """`args`: after the interpreter."""
        self.name, self._run, self._args, self._env = name, run, args, env
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0
        self.lived: list[list[float]] = []  # from when until when it listened, for each life that did
        self.numbers: list[tuple[float, int]] = []  # when which version was in force
        self.lines: list[str] = []
        self._asked = False  # the present life is to end
        self._reading: asyncio.Task[None] | None = None
        self._more = asyncio.Event()

    async def start(self) -> None:
        """Returns at once."""
        run = self._run
        self._asked, self.lives = False, self.lives + 1
        del self.lines[:]
        self.process = await children.spawn(
            [sys.executable, *self._args], run.folder, self._env, sockets=SOCKETS
        )
        self._reading = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._heard(line.decode("utf-8", "replace").rstrip())
        status = await process.wait()
        if self.lived and self.lived[-1][1] == math.inf:
            self.lived[-1][1] = self._run.now()
        if not self._asked:
            self._run.faults.append(f"{self.name} ended by itself with {status}: {self.lines[-3:]}")
        self._more.set()

    def _heard(self, line: str) -> None:
        now = self._run.now()
        self.lines = [*self.lines[-200:], line]
        if found := re.search(r"configuration (\d+) by .* is in force", line):
            self.numbers.append((now, int(found[1])))
        if re.search(r": listening on ", line):
            self.lived.append([now, math.inf])
        if re.search(r"Traceback|faults=[1-9]|failed:|refused:", line):
            self._run.faults.append(f"{self.name}: {line}")
        self._more.set()

    async def says(self, pattern: str) -> None:
        """Waits for a line of the present life; raises `ChangesError`."""
        until = time.monotonic() + STARTS
        while not any(re.search(pattern, line) for line in self.lines):
            left = until - time.monotonic()
            if left <= 0 or self.process is None or self.process.returncode is not None:
                raise ChangesError(f"{self.name} did not say {pattern!r}: {self.lines[-3:]}")
            self._more.clear()
            try:
                await asyncio.wait_for(self._more.wait(), min(left, 1.0))
            except TimeoutError:
                pass

    async def end(self, number: signal.Signals) -> None:
        """Sends a signal and waits for the end."""
        self._asked = True
        children.send(self.process, number)
        if self.process is not None:
            await self.process.wait()
        if self._reading is not None:
            await self._reading

    def cpu(self) -> tuple[int, float]:
        """Which life this is and its CPU seconds so far; 0 where it is not up."""
        if self.process is None or self.process.returncode is not None:
            return self.lives, 0.0
        return self.lives, cpu_seconds(Path(f"/proc/{self.process.pid}"))

    def lag(self, change: Change) -> float | None:
        """Seconds until a change was in force here, None: it never was.  A life that did not listen yet when
        the change was made counts from when it was."""
        taken = next((at for at, number in self.numbers if number >= change.number), None)
        since = next((since for since, until in self.lived if taken is not None and until > taken), None)
        return None if taken is None or since is None else max(0.0, taken - max(since, change.at))


class Run:
    """One run."""

    def __init__(self, plan: Plan, places: LivePlaces, folder: Path) -> None:
        """`folder`: for all files, of the run alone."""
        self.plan, self.places, self.folder = plan, places, folder
        self.chance = random.Random(plan.seed)
        self.begun = time.monotonic()
        self.air: list[Air] = []  # by the node that is reached there
        self.senders: dict[tuple[str | Any, int], int] = {}  # nodes by the address that they send from
        self.gossip = self.lost = self.passed = 0
        self.faults: list[str] = []
        self.changes: list[Change] = []
        # Each replica is reached by nodes and by replicas on ways of their own.
        self._to_nodes = [Way(self.replica(n)) for n in range(3)]
        self._to_replicas = [Way(self.replica(n)) for n in range(3)]
        self.replicas: list[Child] = []
        self.nodes: list[Child] = []
        self._dead = False  # the last replica

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.begun

    def replica(self, number: int) -> tuple[str, int]:
        """Where a replica listens."""
        return self.places.box(0, number)

    def _reached(self, number: int) -> tuple[str, int]:
        """Where all other nodes reach a node."""
        return self.places.relay(0, number)

    def _way(self, kind: int, number: int) -> tuple[str, int]:
        return self.places.box(0, 3 + 3 * kind + number)

    # The parties.

    async def start(self) -> None:
        """Returns once the replicas vote and the nodes listen; raises `ChangesError`."""
        loop = asyncio.get_running_loop()
        for number in range(3):
            await self._to_nodes[number].start(self._way(0, number))
            await self._to_replicas[number].start(self._way(1, number))
        count = self.plan.nodes
        self.senders = {self.places.peer(number): number for number in range(count)}
        for number in range(count):
            _, air = await loop.create_datagram_endpoint(
                lambda number=number: Air(self, number),  # type: ignore[misc]
                self._reached(number),
            )
            self.air.append(air)
        self.discovery = HollowDiscovery(Traffic(), [])
        self._discovery_port = await self.discovery.start()
        self._settings = {**SETTINGS, "siblings": count}
        self._write("site", {"name": "site", "settings": self._settings})
        for number, name in enumerate(REPLICAS):
            self.replicas.append(self._replica(number, name))
        for replica in self.replicas:
            await replica.start()
        for replica in self.replicas:
            await replica.says(": voting, version")
        self.nodes = [self._node(number) for number in range(count)]
        for first in range(0, count, AT_ONCE):
            some = self.nodes[first : first + AT_ONCE]
            for node in some:
                await node.start()
            for node in some:
                await node.says(": listening on ")

    def _write(self, name: str, table: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(table))
        return path

    def _replica(self, number: int, name: str) -> Child:
        peers = [f"--peer={REPLICAS[n]}={_text(self._way(1, n))}" for n in range(3) if n != number]
        args = [
            *("-m", "violetsaddle.cli", "control", f"--name={name}"),
            *(f"--listen={_text(self.replica(number))}", *peers),
            *(f"--store={self.folder / name}.db", f"--settings={self.folder / 'site.json'}", "--new"),
        ]
        return Child(self, name, args, {})

    def _node(self, number: int) -> Child:
        name, count, places = f"n{number}", self.plan.nodes, self.places
        own = places.peer(number)
        table = {
            "name": name,
            "listen": _text(places.node(number)),
            "limits": {"sockets": SOCKETS},
            "discovery": f"127.0.0.1:{self._discovery_port}",
            "known": {"version": 1, "full": True, "servers": []},
            "peer_listen": _text(own),
            "peers": [_text(own if n == number else self._reached(n)) for n in range(count)],
            "settings": {**self._settings, "ordinal": number},
        }
        ways = ", ".join(f'"{_text(self._way(0, n))}"' for n in range(3))
        operator = self.folder / f"{name}.toml"
        operator.write_text(
            f'[configuration]\nreplicas = [{ways}]\nsnapshot = "{self.folder / name}.configuration"\n'
        )
        env = {"RELAY_CONFIG": str(self._write(name, table)), "RELAY_OPERATOR": str(operator)}
        return Child(self, name, ["-m", "violetsaddle"], env)

    async def close(self) -> None:
        """Ends every process that this run has started."""
        for child in (*self.nodes, *self.replicas):
            if child.process is not None:
                await child.end(signal.SIGKILL)
        for way in (*self._to_nodes, *self._to_replicas):
            way.close()
        for air in self.air:
            air.transport.close()
        if hasattr(self, "discovery"):
            self.discovery.close()

    # The run.

    async def measured(self, work: Callable[[], Awaitable[None]]) -> Cost:
        """What goes on while `work` lasts costs so much."""
        began, before = self.now(), self._spent()
        cpus = {child.name: child.cpu() for child in (*self.nodes, *self.replicas)}
        await work()
        spent, seconds = [b - a for a, b in zip(before, self._spent())], self.now() - began

        def mean(some: Sequence[Child]) -> float | None:
            now = {child.name: child.cpu() for child in some}
            used = [
                (cpu - cpus[name][1]) * 1000 / seconds
                for name, (life, cpu) in now.items()
                if life == cpus[name][0] and cpu
            ]
            return statistics.fmean(used) if used else None

        rates = [bytes_ / seconds for bytes_ in spent]
        return Cost(mean(self.nodes), mean(self.replicas), rates[0], rates[1], rates[2])

    def _spent(self) -> list[int]:
        nodes, replicas = (sum(way.bytes for way in ways) for ways in (self._to_nodes, self._to_replicas))
        return [nodes, replicas, self.gossip]

    async def idle(self) -> None:
        """The first part: nothing changes."""
        await asyncio.sleep(self.plan.seconds)

    async def changing(self) -> None:
        """The second part; ends once every change has had its time."""
        began, seconds = self.now(), self.plan.seconds
        troubles = [asyncio.create_task(self._outage(began))]
        for number in range(self.plan.restarts):
            node = self.nodes[(number * 3 + 1) % len(self.nodes)]
            at = began + seconds * (number + 0.5) / self.plan.restarts
            troubles.append(asyncio.create_task(self._restart(node, at)))
        for number in range(self.plan.changes):
            await self._until(began + seconds * (number + self.chance.random()) / self.plan.changes)
            await self._push(number)
        await asyncio.gather(*troubles)
        await self._until(began + seconds)
        for change in self.changes[-1:]:
            while self.now() < change.at + BOUND and any(node.lag(change) is None for node in self.nodes):
                await asyncio.sleep(LOOK_EVERY)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()))

    async def _outage(self, began: float) -> None:
        replica = self.replicas[2]
        await self._until(began + DEAD * self.plan.seconds)
        self._dead = True
        if self.plan.silent:
            children.send(replica.process, signal.SIGSTOP)
        else:
            await replica.end(signal.SIGKILL)
        await self._until(began + BACK * self.plan.seconds)
        if self.plan.silent:
            children.send(replica.process, signal.SIGCONT)
        else:
            await replica.start()
            await replica.says(": voting, version")
        self._dead = False

    async def _restart(self, node: Child, at: float) -> None:
        await self._until(at)
        await node.end(signal.SIGTERM)
        await asyncio.sleep(DOWN)
        await node.start()
        await node.says(": listening on ")

    async def _push(self, number: int) -> None:
        """By each replica in turn, as long as it is up."""
        document = copy.deepcopy(baseline_of(self._settings))
        document["tenants"][0]["share"] = 0.1 + number / 1000
        began, dead = self.now(), self._dead
        order = [n for n in (number % 3, (number + 1) % 3, (number + 2) % 3) if n != 2 or not dead]
        try:
            accepted = await asyncio.to_thread(
                client.write,
                [_text(self.replica(n)) for n in order],
                json.dumps(document),
                "lab",
                None,
                WRITE,
                time.monotonic,
            )
        except (client.FailedError, client.InputError) as error:
            self.faults.append(f"change {number + 1} was not accepted: {error}")
            return
        now = self.now()
        self.changes.append(Change(accepted.number, now - began, accepted.replica, now, dead))

    def judge(self) -> None:
        """Fills in when each change was in force at each node."""
        for change in self.changes:
            for node in self.nodes:
                lag = node.lag(change)
                if lag is None:
                    change.missing.append(node.name)
                else:
                    change.lags[node.name] = lag


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def play(plan: Plan) -> Outcome:
    """Raises `ChangesError`."""
    with reserve(plan.nodes) as places, tempfile.TemporaryDirectory() as folder:
        run = Run(plan, places, Path(folder))
        try:
            await run.start()
            idle = await run.measured(run.idle)
            changing = await run.measured(run.changing)
            run.judge()
        finally:
            await run.close()
        return Outcome(plan, run.changes, idle, changing, run.lost, run.passed, run.faults)


def shown(outcome: Outcome) -> list[Table]:
    """As tables."""
    changes = Table(
        "version", "by", "answered s", "median s", "worst s", "worst node", "nodes", "", title="in force"
    )
    for change in outcome.changes:
        lags = sorted((lag, name) for name, lag in change.lags.items())
        worst = lags[-1] if lags else (float("nan"), "")
        changes.add_row(
            str(change.number),
            change.by,
            f"{change.write_seconds:.3f}",
            f"{statistics.median(change.lags.values()):.3f}" if lags else "-",
            f"{worst[0]:.3f}",
            worst[1],
            f"{len(lags)} of {outcome.plan.nodes}",
            "replica dead" if change.replica_dead else "",
        )
    lags_all = outcome.lags
    if lags_all:
        changes.add_row(
            "all",
            "",
            "",
            f"{statistics.median(lags_all):.3f}",
            f"{lags_all[-1]:.3f}",
            "",
            str(len(lags_all)),
            "",
        )
    costs = Table("", "idle", "changing", title="cost, a second")
    for name, words in (
        ("node_cpu_ms", "CPU of a node, ms"),
        ("replica_cpu_ms", "CPU of a replica, ms"),
        ("nodes_replica_bytes", "bytes, nodes and replicas"),
        ("replicas_bytes", "bytes, among replicas"),
        ("gossip_bytes", "bytes, gossip of the number"),
    ):
        figures = [getattr(cost, name) for cost in (outcome.idle, outcome.changing)]
        costs.add_row(words, *("-" if figure is None else f"{figure:.1f}" for figure in figures))
    return [changes, costs]


def main() -> None:
    """The command; ends with 1 where a change was not in force in time, or something failed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=30.0, help="of each of the two parts")
    parser.add_argument("--lossy", type=float, default=0.05, help="share of datagrams between nodes")
    parser.add_argument("--restarts", type=int, default=2, help="of nodes")
    parser.add_argument("--silent", action="store_true", help="the replica is stopped, not killed")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="file for the outcome")
    args = parser.parse_args()
    plan = Plan(args.nodes, args.changes, args.seconds, args.lossy, args.restarts, args.seed, args.silent)
    outcome = asyncio.run(play(plan))
    console = Console()
    for table in shown(outcome):
        console.print(table)
    console.print(f"datagrams: {outcome.datagrams_passed} passed, {outcome.datagrams_lost} lost")
    for fault in outcome.faults:
        console.print(f"FAULT {fault}", markup=False)
    if args.json is not None:
        args.json.write_bytes(msgspec.json.format(msgspec.json.encode(outcome), indent=1))
    late = not outcome.lags or outcome.lags[-1] > BOUND or any(c.missing for c in outcome.changes)
    sys.exit(1 if late or outcome.faults or len(outcome.changes) < plan.changes else 0)


if __name__ == "__main__":
    main()
