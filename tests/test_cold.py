"""The load that all nodes together put on a cold server stays within its limit.

The limit is N calls of mean work within the time of the settings (`fall_after`), exceeded by at most
2 sqrt(N) + 2 calls."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest

from tests.helpers import MS, SECOND
from violetsaddle import Balancer, Entry, RequestClass, Settings

SLOTS = 2  # of each server
MEAN_WORK = 150 * MS  # run time of a job on a warm server
COLD_FROM = 0.14  # share of its capacity that a server has at its start
COLD_FOR = 20 * SECOND
OVERLOAD_MULTIPLE = 4.0  # of its capacity, for `within`, overloads a cold server
SAFE_CLASS = RequestClass(aim=200 * MS, deadline=5 * SECOND, stretch=2.0)


class Tier:
    """Simulates balancers and servers on one clock; a server starts each job as it arrives."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        within: int,
        loss_rate: float = 0.0,
        heavy_tailed: bool = False,
        seed: int = 1,
        configured_nodes: int | None = None,
        busy: float = 0.6,
        gossip: bool = True,
        reports: bool = True,
    ) -> None:
        self.random, self.loss_rate, self.heavy_tailed = Random(seed), loss_rate, heavy_tailed
        self.now, self.number = 0, 0  # `number`: the last number given to an event or a job
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.servers, self.within, self.busy = servers, within, busy
        self.reports = reports
        self.started_at: dict[int, int] = {}  # of cold servers
        self.sent: dict[int, list[tuple[int, float]]] = {n: [] for n in range(servers)}
        self.work: dict[str, int] = {}
        self.balancers = [
            Balancer(
                Settings(
                    classes=(SAFE_CLASS,),
                    me=n,
                    schedulers=configured_nodes or nodes,
                    may_tell=gossip,
                    may_cancel=True,
                    tells_start=True,
                    report=frozenset({"free_slots"} if reports else ()),
                    cold_from=COLD_FROM,
                    cold_for=COLD_FOR,
                    fall_multiple=OVERLOAD_MULTIPLE,
                    fall_after=within,
                ),
                seed * 1000 + n,
                0,
                Node(self, n),
            )
            for n in range(nodes)
        ]

    def at(self, time: int, callback: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (time, self.number, callback))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = until

    def members(self, cold: set[int], nodes: list[int] | None = None) -> None:
        self.started_at = {server: self.now for server in cold}
        entries = [Entry(n, started=self.now if n in cold else 0) for n in range(self.servers)]
        for number in range(len(self.balancers)) if nodes is None else nodes:
            self.balancers[number].members(self.now, "snapshot", entries)

    def share(self, server: int) -> float:
        """Returns the share of its capacity that a server has now."""
        start = self.started_at.get(server)
        return 1.0 if start is None else min(1.0, COLD_FROM + (1 - COLD_FROM) * (self.now - start) / COLD_FOR)

    def load(self, until: int) -> None:
        """Schedules requests up to `until`, at random times and nodes."""
        rate = self.busy * self.servers * SLOTS / MEAN_WORK
        time = float(self.now)
        while (time := time + self.random.expovariate(rate)) < until:
            self.at(int(time), self.arrive)

    def arrive(self) -> None:
        self.number += 1
        job = f"j{self.number}"
        sigma = 1.2 if self.heavy_tailed else 0.3
        work = int(MEAN_WORK * self.random.lognormvariate(-sigma * sigma / 2, sigma))
        self.work[job] = work
        self.random.choice(self.balancers).request(self.now, job, 0, 5 * SECOND, hint=work)

    def excess(self, server: int) -> float:
        """Returns by how many calls of mean work the most loaded period exceeds its limit."""
        sent, worst, first, window_work = self.sent[server], -1e9, 0, 0.0
        for time, work in sent:
            window_work += work
            while sent[first][0] < time - self.within:
                window_work -= sent[first][1]
                first += 1
            share = COLD_FROM + (1 - COLD_FROM) * sent[first][0] / COLD_FOR
            limit = OVERLOAD_MULTIPLE * share * SLOTS / MEAN_WORK * self.within
            worst = max(worst, window_work / MEAN_WORK - limit - 2 * math.sqrt(limit) - 2)
        return worst


class Node:
    """Carries out the actions of one balancer."""

    def __init__(self, tier: Tier, number: int) -> None:
        self.tier, self.number = tier, number
        self.attempts: dict[str, int] = {}

    @property
    def balancer(self) -> Balancer:
        return self.tier.balancers[self.number]

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        tier, attempt = self.tier, self.attempts.get(job, 0)
        self.attempts[job] = attempt + 1
        tier.sent[worker].append((tier.now, tier.work[job]))
        tier.at(tier.now + MS, lambda: self.balancer.note(tier.now, job, attempt, 1, 0.0))
        takes = 2 * MS + int(tier.work[job] / tier.share(worker))
        tier.at(
            tier.now + takes,
            lambda: self.balancer.answer(
                tier.now, job, attempt, "ok", takes, True, {"free_slots": SLOTS} if tier.reports else None
            ),
        )

    def tell(self, data: bytes, to: int | None = None) -> None:
        tier = self.tier
        for number in range(len(tier.balancers)) if to is None else (to,):
            if (
                number != self.number
                and number < len(tier.balancers)
                and tier.random.random() >= tier.loss_rate
            ):
                tier.at(tier.now + 5 * MS, partial(self.deliver, number, data))

    def deliver(self, number: int, data: bytes) -> None:
        self.tier.balancers[number].heard(self.tier.now, self.number, data)

    def arm(self, time: int) -> None:
        self.tier.at(max(time, self.tier.now + 1), lambda: self.balancer.wake(self.tier.now))

    def refuse(self, job: str, retry_after: int) -> None: ...

    def fail(self, job: str) -> None: ...

    def cancel(self, job: str, attempt: int) -> None: ...

    def probe(self, worker: int) -> None: ...

    def watch(self) -> None: ...


def highest_excess(
    nodes: int,
    cold: int,
    warm_up: int = 6 * SECOND,
    gossip_cut: bool = False,
    burst_after_quiet: bool = False,
    **more: Any,
) -> float:
    """Returns the highest excess of all servers that start cold, in calls; above 0 the limit is broken.

    They start while the tier serves requests, or with all nodes if `warm_up` is 0.  `gossip_cut`: all
    gossip is lost after the nodes have heard each other; `burst_after_quiet`: there are few requests at
    the start, and a burst later."""
    tier = Tier(nodes, more.pop("servers", max(12, nodes // 2)), more.pop("within", 2 * SECOND), **more)
    fresh = set(range(cold))
    if warm_up:
        tier.members(set())
        tier.load(warm_up)
        tier.run(warm_up)
    if gossip_cut:
        tier.loss_rate = 1.0
        tier.load(tier.now + 4 * SECOND)
        tier.run(tier.now + 4 * SECOND)
    for sent in tier.sent.values():
        sent.clear()
    base, busy = tier.now, tier.busy
    tier.members(fresh)
    if burst_after_quiet:
        tier.busy = 0.02
        tier.load(base + 10 * SECOND)
        tier.run(base + 10 * SECOND)
        tier.busy = 2.0 * busy
    tier.load(tier.now + 6 * SECOND)
    tier.run(tier.now + 6 * SECOND)
    for server in fresh:
        tier.sent[server] = [(time - base, work) for time, work in tier.sent[server]]
    return max(tier.excess(server) for server in fresh)


SIZES = [1, 4, 12, 17, 20, 30, 200]


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_after_gossip_stops(nodes: int) -> None:
    # Each node then believed that it was the only one and used the whole budget.
    assert highest_excess(nodes, 2, gossip_cut=True) <= 0.0


@pytest.mark.parametrize("within", [SECOND // 2, SECOND, 2 * SECOND, 4 * SECOND])
@pytest.mark.parametrize("nodes", [1, 4, 17])
def test_limit_holds_in_a_burst_after_quiet(nodes: int, within: int) -> None:
    # The saved budget was two seconds' worth, whatever time the settings gave.
    assert highest_excess(nodes, 2, burst_after_quiet=True, within=within) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_when_a_few_servers_start_under_load(nodes: int) -> None:
    assert highest_excess(nodes, 2) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_without_any_gossip_received(nodes: int) -> None:
    assert highest_excess(nodes, 2, loss_rate=1.0) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_with_half_of_the_messages_lost(nodes: int) -> None:
    assert highest_excess(nodes, 2, loss_rate=0.5) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_with_heavy_tailed_work(nodes: int) -> None:
    # The limit holds for the mean: a few jobs are ten times as heavy.
    assert highest_excess(nodes, 2, heavy_tailed=True) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_limit_holds_when_all_servers_start_with_the_nodes(nodes: int) -> None:
    servers = max(12, nodes // 2)
    assert highest_excess(nodes, servers, warm_up=0, servers=servers) <= 0.0


@pytest.mark.parametrize("nodes", [4, 12, 17, 20, 30])
def test_limit_holds_with_half_of_the_configured_nodes(nodes: int) -> None:
    assert highest_excess(nodes, 2, configured_nodes=2 * nodes) <= 0.0


@pytest.mark.parametrize("within", [SECOND, 4 * SECOND])
def test_limit_holds_for_the_configured_time(within: int) -> None:
    assert highest_excess(4, 2, within=within) <= 0.0


@pytest.mark.parametrize("nodes", [4, 12, 20])
def test_limit_holds_where_gossip_is_not_permitted(nodes: int) -> None:
    assert highest_excess(nodes, 2, gossip=False) <= 0.0
