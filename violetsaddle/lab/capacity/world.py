"""One run: real nodes among hollow parties, read twice."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import tempfile
from collections.abc import Awaitable, Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from violetsaddle.lab.capacity.clients import WARM_RATE, HollowClients
from violetsaddle.lab.capacity.discovery import Entry, HollowDiscovery
from violetsaddle.lab.capacity.executors import HollowExecutors
from violetsaddle.lab.capacity.hollow import HOST, Traffic
from violetsaddle.lab.capacity.peers import CIRCLE, HollowPeers
from violetsaddle.lab.capacity.process import RealNode, Usage
from violetsaddle.lab.capacity.sizes import Plan, Sizes

T = TypeVar("T")
SECOND = 1_000_000  # microseconds, as settings have them
DATAGRAM_HEADERS = 28  # bytes of IPv4 and UDP
PORTS = (61_000, 65_500)  # beyond those that the kernel gives to connections
READ_TRIES, READ_WAIT = 5, 0.02  # seconds for what was sent to be read
LIST_SECONDS, CHANGE_SECONDS, AFTER_CHANGE = 30.0, 20.0, 0.3
PER_KIND = 8  # executors of one cell
CLASSES: list[dict[str, Any]] = [
    {"name": "urgent", "target": 1_400_000, "deadline": 60 * SECOND, "idempotency": "retryable"},
    {
        "name": "batch",
        "target": 10 * SECOND,
        "deadline": 600 * SECOND,
        "idempotency": "dedup",
        "group": "zone",
        "dedupWindow": 60 * SECOND,
    },
    {"name": "once", "target": 10 * SECOND, "deadline": 600 * SECOND, "idempotency": "fragile"},
]
# What a node counts, by the names that it may have, and what stands for it outside.
COUNTED: dict[str, tuple[str, ...]] = {
    "told": ("told",),
    "heard": ("heard",),
    "watch_calls": ("watch_calls",),
    "probes": ("probes",),
    "deletes": ("deletes",),
    "attempts": ("attempts", "schedulings"),
    "connections": ("server_connections",),
    "served": ("answered_served",),
}
HELD = ("held_requests", "held_flows")
SLACK_COUNT, SLACK_SHARE = 4, 0.03  # what passes while both sides are read
ON_ITS_WAY = 0.25  # seconds, of a probe at most


class Check(msgspec.Struct, frozen=True):
    """A count seen from outside and the node's own."""

    what: str
    outside: int
    own: int
    away: int = 0  # by how much more they may differ

    @property
    def agrees(self) -> bool:
        """Whether they differ by no more than what may be on its way."""
        slack = self.away + max(SLACK_COUNT, SLACK_SHARE * self.outside)
        return abs(self.outside - self.own) <= slack


class Row(msgspec.Struct, frozen=True):
    """One run of a point: what was read of one node.  Figures are named with their units."""

    key: str
    value: float
    run: int
    sizes: Sizes
    figures: dict[str, float]
    checks: list[Check]
    machine_load: float  # processes that were ready to run on the machine, 1 minute's mean
    node: int = 0

    @property
    def agrees(self) -> bool:
        """Whether all checks do."""
        return all(check.agrees for check in self.checks)


class _Reading(msgspec.Struct, frozen=True):
    time: float
    usage: Usage
    traffic: Traffic
    counters: dict[str, int]
    waits: int  # clients with a request out


def settings(sizes: Sizes, number: int, progress: float) -> dict[str, Any]:
    """The settings of one node, made up; `progress`: seconds between two tellings of a running request."""
    return {
        "requestClasses": CLASSES,
        "tenants": [{"name": f"t{n}", "share": 1.0 / sizes.tenants} for n in range(sizes.tenants)],
        "failureDomains": [f"z{n}" for n in range(sizes.zones)],
        "zone": number % sizes.zones,
        "kinds": ["machine"],
        "discovery": "ask",
        "siblings": sizes.nodes,
        "ordinal": number,
        "report": {"via": "pull", "names": ["x0"]},
        "familyInfo": {
            "reportX0": "free slots",
            "tellsStart": True,
            "progress": int(progress * SECOND),
        },
        "permissions": {
            "mayTell": bool(sizes.control),
            "mayProbe": bool(sizes.control),
            "cancel": True,
            "keepalive": 10 * SECOND,
            "dialTimeout": SECOND,
            "mostTries": 3,
        },
    }


_given: set[int] = set()  # ports that this process has given to nodes


def free_port() -> int:
    """A UDP port that a node can take over; none is given twice."""
    for _ in range(1000):
        port = random.randrange(*PORTS)
        if port in _given:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
            try:
                made.bind((HOST, port))
            except OSError:
                continue
        _given.add(port)
        return port
    raise OSError(f"no free port from {PORTS[0]} to {PORTS[1]}")


async def guarded(work: Coroutine[Any, Any, T], guards: Sequence[Awaitable[Any]]) -> T:
    """The work's result, or the error of the first guard that fails before."""
    task = asyncio.create_task(work)
    watching = [asyncio.ensure_future(guard) for guard in guards]
    try:
        done, _ = await asyncio.wait([task, *watching], return_when=asyncio.FIRST_COMPLETED)
        for one in done:
            if one is not task:
                one.result()
        return await task
    finally:
        for one in [task, *watching]:
            one.cancel()
        await asyncio.gather(task, *watching, return_exceptions=True)


class World:
    """Nodes 0 up to `real` are real ones, the rest of the tier is hollow; with more than one real node the
    whole tier must be."""

    def __init__(self, plan: Plan, sizes: Sizes, seed: int, tree: str = "", real: int = 1) -> None:
        """`tree`: a checkout whose program the real nodes run, "" for this one."""
        assert real in (1, sizes.nodes)
        self.plan, self.sizes, self._seed, self._tree, self._real = plan, sizes, seed, tree, real
        self.traffic = Traffic()
        self.nodes: list[RealNode] = []
        self._clients: list[HollowClients] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._folder = tempfile.TemporaryDirectory(prefix="capacity")
        self._executors: HollowExecutors | None = None
        self._discovery: HollowDiscovery | None = None
        self._peers: HollowPeers | None = None

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, ConnectionError):
            context = {"message": "a hollow party failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    async def play(self, key: str, value: float, run: int) -> list[Row]:
        """Plays one run and ends all that it started.

        Raises `NodeDiedError`, `HollowError`, `TimeoutError`."""
        try:
            await self._start_parties()
            await self._start_nodes()
            deaths = [node.died() for node in self.nodes]
            return await guarded(self._measure(key, value, run), deaths)
        finally:
            await self._close()

    async def _start_parties(self) -> None:
        sizes, plan = self.sizes, self.plan
        self._executors = HollowExecutors(
            self.traffic, sizes.slots, plan.run_seconds, plan.progress_seconds, self._spawn
        )
        listed = await self._executors.start(sizes.executors)
        entries = [
            Entry(name, f"{HOST}:{port}", f"z{n % sizes.zones}", "machine", n // PER_KIND)
            for n, (name, port) in enumerate(listed)
        ]
        self._discovery = HollowDiscovery(self.traffic, entries)
        self._discovery.nodes = self._real

    async def _start_nodes(self) -> None:
        assert self._discovery is not None and self._executors is not None
        sizes = self.sizes
        discovery = await self._discovery.start()
        ports = [free_port() for _ in range(self._real)]
        if self._real == 1:
            self._peers = HollowPeers(self.traffic, sizes.nodes, sizes.executors, sizes.zones, self._seed)
            ports += self._peers.start()
        addresses = [f"{HOST}:{port}" for port in ports]
        starting = []
        for number in range(self._real):
            node = RealNode(number, Path(self._folder.name), self._tree)
            self.nodes.append(node)
            configuration = {
                "name": f"n{number}",
                "listen": f"{HOST}:0",
                "discovery": f"{HOST}:{discovery}",
                "seed": f"{self._seed * 1000 + number:x}",
                "limits": {"sockets": self.plan.sockets},
                "peer_listen": addresses[number],
                "peers": addresses,
                "settings": settings(sizes, number, self.plan.progress_seconds),
            }
            starting.append(node.start(configuration, self.plan.sockets))
        for group in range(0, len(starting), 8):  # not all at once: they share the cores
            await asyncio.gather(*starting[group : group + 8])
        classes, tenants = [c["name"] for c in CLASSES], [f"t{n}" for n in range(sizes.tenants)]
        for node in self.nodes:
            self._executors.ports[node.number] = node.port
            self._clients.append(HollowClients(self.traffic, node.number, node.port, classes, tenants))
        if self._peers is not None and sizes.control:
            self._peers.speak((HOST, ports[0]), sizes.elsewhere)

    async def _measure(self, key: str, value: float, run: int) -> list[Row]:
        assert self._discovery is not None
        await asyncio.wait_for(self._discovery.caught_up.wait(), LIST_SECONDS)
        listed: dict[str, float] = {"list_bytes": self._discovery.list_bytes}
        listed["whole_lists"] = self._discovery.whole_lists
        listed["list_known_ms"] = max(self._discovery.list_seconds, default=0.0) * 1000
        listed["start_cpu_s"] = self.nodes[0].usage().cpu_seconds
        await asyncio.gather(*(clients.hold(self.sizes.in_flight) for clients in self._clients))
        if self.sizes.starts:
            await asyncio.gather(*(clients.run(WARM_RATE, self.plan.warm) for clients in self._clients))
        for clients in self._clients:
            self._spawn(clients.run(self.sizes.starts))
        await asyncio.sleep(self.plan.settle)
        before = [await self._read(node) for node in self.nodes]
        await asyncio.sleep(self.plan.seconds)
        load = os.getloadavg()[0]
        after = [await self._read(node) for node in self.nodes]
        listed |= await self._change()
        rows = []
        for node, one, other in zip(self.nodes, before, after):
            alone = self._real == 1
            figures = self._figures(one, other, alone) | (listed if alone or not node.number else {})
            checks = self._checks(one, other) if alone else []
            rows.append(Row(key, value, run, self.sizes, figures, checks, load, node.number))
        return rows

    async def _read(self, node: RealNode) -> _Reading:
        """Both sides at a moment when nothing passes, if there is one."""
        loop = asyncio.get_running_loop()
        for _ in range(READ_TRIES):
            before, now = self.traffic.copy(), loop.time()
            usage, counters = node.usage(), await node.counters()
            waits = sum(line.waits for clients in self._clients for line in clients.lines)
            await asyncio.sleep(READ_WAIT)
            if self.traffic == before:
                break
        return _Reading(now, usage, before, counters, waits)

    async def _change(self) -> dict[str, float]:
        """Drains a share of the executors at once: what that costs, and how long until all nodes know."""
        assert self._discovery is not None
        count = int(self.plan.change_share * self.sizes.executors)
        if not count:
            return {}
        loop, node = asyncio.get_running_loop(), self.nodes[0]
        usual, begun = node.usage().cpu_seconds, loop.time()
        await asyncio.sleep(AFTER_CHANGE)
        spent, now = node.usage().cpu_seconds, loop.time()
        usual = (spent - usual) / (now - begun)  # of a core, without the change
        begun = loop.time()
        self._discovery.change(range(count), "draining")
        await asyncio.wait_for(self._discovery.caught_up.wait(), CHANGE_SECONDS)
        known = loop.time() - begun
        await asyncio.sleep(AFTER_CHANGE)
        cpu = node.usage().cpu_seconds - spent - usual * (loop.time() - now)
        return {
            "change_entries": count,
            "change_bytes": self._discovery.list_bytes,
            "change_known_ms": known * 1000,
            "change_cpu_ms": max(0.0, cpu * 1000),
        }

    def _figures(self, one: _Reading, other: _Reading, alone: bool) -> dict[str, float]:
        seconds = other.time - one.time
        own = {key: count - one.counters.get(key, 0) for key, count in other.counters.items()}
        figures = {
            "cpu_percent": 100 * (other.usage.cpu_seconds - one.usage.cpu_seconds) / seconds,
            "memory_mb": other.usage.memory_kb / 1024,
            "peak_mb": other.usage.peak_kb / 1024,
            "descriptors": float(other.usage.descriptors),
        }
        if not alone:  # what passes between real nodes is seen by them alone
            return figures | {
                f"own_{what}_per_s": _first(own, names) / seconds for what, names in COUNTED.items()
            }
        passed = other.traffic.since(one.traffic)
        for what in passed.__struct_fields__:
            figures[f"{what}_per_s"] = getattr(passed, what) / seconds
        control = passed.control_bytes
        headers = DATAGRAM_HEADERS * (passed.told + passed.heard)
        figures["control_bytes_per_s"] = control / seconds
        figures["control_bytes_with_headers_per_s"] = (control + headers) / seconds
        figures["connections_an_attempt"] = passed.connections / passed.attempts if passed.attempts else 0.0
        figures["held"] = float(other.waits)
        return figures

    def _checks(self, one: _Reading, other: _Reading) -> list[Check]:
        passed = other.traffic.since(one.traffic)
        own = {key: count - one.counters.get(key, 0) for key, count in other.counters.items()}
        found = {what: (getattr(passed, what), _first(own, names)) for what, names in COUNTED.items()}
        if self.sizes.nodes <= CIRCLE + 1 and self.sizes.control:
            # Said to all counts once at the node, which then hears itself too.
            told = found["told"][1]
            found["told"] = (found["told"][0], told * (self.sizes.nodes - 1))
            found["heard"] = (found["heard"][0] + told, found["heard"][1])
        found["held"] = (other.waits, _first(other.counters, HELD))
        # Of short requests some are on their way, and a probe that does not get there in time is given up.
        away = int(ON_ITS_WAY * 2 * self.sizes.starts)
        gossip = ("told", "heard", "watch_calls")
        return [Check(what, *pair, 0 if what in gossip else away) for what, pair in found.items()]

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for clients in self._clients:
            clients.closing = True
        await asyncio.gather(*(node.end() for node in self.nodes))
        await asyncio.gather(*list(self._tasks), return_exceptions=True)
        for party in (*self._clients, self._peers, self._executors, self._discovery):
            if party is not None:
                party.close()
        self._folder.cleanup()


def _first(counts: Mapping[str, int], names: Sequence[str]) -> int:
    """The count under the first of its names that is there."""
    return next((counts[name] for name in names if name in counts), 0)
