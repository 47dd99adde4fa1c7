"""Cold servers bear so much from all nodes together: N calls of mean work within the settings' time may be
passed by 2 root N + 2 and no more."""

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

SLOTS, WORK = 2, 150 * MS  # of each server; mean, on a warm one
COLD_FROM, COLD_FOR, MULTIPLE = 0.14, 20 * SECOND, 4.0
QUOTE = RequestClass(aim=200 * MS, deadline=5 * SECOND, stretch=2.0)


class Tier:
    """Balancers and servers on one clock; every server starts what it gets at once."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        within: int,
        lost: float = 0.0,
        heavy: bool = False,
        seed: int = 1,
        told: int | None = None,
        busy: float = 0.6,
        peers: bool = True,
        reports: bool = True,
    ) -> None:
        self.random, self.lost, self.heavy = Random(seed), lost, heavy
        self.now, self.number = 0, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.servers, self.within, self.busy = servers, within, busy
        self.reports = reports
        self.begun: dict[int, int] = {}  # when cold ones started
        self.sent: dict[int, list[tuple[int, float]]] = {n: [] for n in range(servers)}
        self.work: dict[str, int] = {}
        self.balancers = [
            Balancer(
                Settings(
                    classes=(QUOTE,),
                    me=n,
                    schedulers=told or nodes,
                    may_tell=peers,
                    may_cancel=True,
                    tells_start=True,
                    report=frozenset({"free_slots"} if reports else ()),
                    cold_from=COLD_FROM,
                    cold_for=COLD_FOR,
                    fall_multiple=MULTIPLE,
                    fall_after=within,
                ),
                seed * 1000 + n,
                0,
                Node(self, n),
            )
            for n in range(nodes)
        ]

    def at(self, time: int, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (time, self.number, what))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def members(self, cold: set[int], nodes: list[int] | None = None) -> None:
        self.begun = {server: self.now for server in cold}
        entries = [Entry(n, started=self.now if n in cold else 0) for n in range(self.servers)]
        for number in range(len(self.balancers)) if nodes is None else nodes:
            self.balancers[number].members(self.now, "snapshot", entries)

    def share(self, server: int) -> float:
        """Of its capacity that a server has by now."""
        begun = self.begun.get(server)
        return 1.0 if begun is None else min(1.0, COLD_FROM + (1 - COLD_FROM) * (self.now - begun) / COLD_FOR)

    def load(self, until: int) -> None:
        """Requests come at random times, at nodes drawn at random."""
        rate = self.busy * self.servers * SLOTS / WORK
        time = float(self.now)
        while (time := time + self.random.expovariate(rate)) < until:
            self.at(int(time), self.arrive)

    def arrive(self) -> None:
        self.number += 1
        job = f"j{self.number}"
        sigma = 1.2 if self.heavy else 0.3
        work = int(WORK * self.random.lognormvariate(-sigma * sigma / 2, sigma))
        self.work[job] = work
        self.random.choice(self.balancers).request(self.now, job, 0, 5 * SECOND, hint=work)

    def over(self, server: int) -> float:
        """The most that fell within the time, in calls of mean work, over what may fall there."""
        sent, worst, first, held = self.sent[server], -1e9, 0, 0.0
        for time, work in sent:
            held += work
            while sent[first][0] < time - self.within:
                held -= sent[first][1]
                first += 1
            share = COLD_FROM + (1 - COLD_FROM) * sent[first][0] / COLD_FOR
            calls = MULTIPLE * share * SLOTS / WORK * self.within
            worst = max(worst, held / WORK - calls - 2 * math.sqrt(calls) - 2)
        return worst


class Node:
    """A balancer's way to the others."""

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
            if number != self.number and number < len(tier.balancers) and tier.random.random() >= tier.lost:
                tier.at(tier.now + 5 * MS, partial(self.reach, number, data))

    def reach(self, number: int, data: bytes) -> None:
        self.tier.balancers[number].heard(self.tier.now, self.number, data)

    def arm(self, time: int) -> None:
        self.tier.at(max(time, self.tier.now + 1), lambda: self.balancer.wake(self.tier.now))

    def refuse(self, job: str, retry_after: int) -> None: ...

    def fail(self, job: str) -> None: ...

    def cancel(self, job: str, attempt: int) -> None: ...

    def probe(self, worker: int) -> None: ...

    def watch(self) -> None: ...


def played(
    nodes: int, cold: int, warm_up: int = 6 * SECOND, cut: bool = False, quiet: bool = False, **more: Any
) -> float:
    """Some servers start while the tier serves, or (`warm_up` 0) with all nodes; the worst of them.  `cut`:
    the nodes have heard each other and do so no longer; `quiet`: as they start next to nothing comes, and
    later a burst."""
    tier = Tier(nodes, more.pop("servers", max(12, nodes // 2)), more.pop("within", 2 * SECOND), **more)
    fresh = set(range(cold))
    if warm_up:
        tier.members(set())
        tier.load(warm_up)
        tier.run(warm_up)
    if cut:
        tier.lost = 1.0
        tier.load(tier.now + 4 * SECOND)
        tier.run(tier.now + 4 * SECOND)
    for sent in tier.sent.values():
        sent.clear()
    base, busy = tier.now, tier.busy
    tier.members(fresh)
    if quiet:
        tier.busy = 0.02
        tier.load(base + 10 * SECOND)
        tier.run(base + 10 * SECOND)
        tier.busy = 2.0 * busy
    tier.load(tier.now + 6 * SECOND)
    tier.run(tier.now + 6 * SECOND)
    for server in fresh:
        tier.sent[server] = [(time - base, work) for time, work in tier.sent[server]]
    return max(tier.over(server) for server in fresh)


SIZES = [1, 4, 12, 17, 20, 30, 200]


@pytest.mark.parametrize("nodes", SIZES)
def test_nodes_that_hear_each_other_no_longer(nodes: int) -> None:
    # Each then took itself for the only one, and the whole budget for its own.
    assert played(nodes, 2, cut=True) <= 0.0


@pytest.mark.parametrize("within", [SECOND // 2, SECOND, 2 * SECOND, 4 * SECOND])
@pytest.mark.parametrize("nodes", [1, 4, 17])
def test_a_burst_after_quiet(nodes: int, within: int) -> None:
    # What may be saved up was two seconds' worth, whatever time the settings tell.
    assert played(nodes, 2, quiet=True, within=within) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_a_few_start_in_a_tier_that_serves(nodes: int) -> None:
    assert played(nodes, 2) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_nodes_that_hear_nothing_of_each_other(nodes: int) -> None:
    assert played(nodes, 2, lost=1.0) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_half_of_all_messages_are_lost(nodes: int) -> None:
    assert played(nodes, 2, lost=0.5) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_heavy_jobs(nodes: int) -> None:
    # The mean is what counts: a few jobs are ten times as heavy.
    assert played(nodes, 2, heavy=True) <= 0.0


@pytest.mark.parametrize("nodes", SIZES)
def test_all_start_with_the_nodes(nodes: int) -> None:
    servers = max(12, nodes // 2)
    assert played(nodes, servers, warm_up=0, servers=servers) <= 0.0


@pytest.mark.parametrize("nodes", [4, 12, 17, 20, 30])
def test_half_of_the_nodes_that_the_settings_tell(nodes: int) -> None:
    assert played(nodes, 2, told=2 * nodes) <= 0.0


@pytest.mark.parametrize("within", [SECOND, 4 * SECOND])
def test_the_settings_tell_the_time(within: int) -> None:
    assert played(4, 2, within=within) <= 0.0


@pytest.mark.parametrize("nodes", [4, 12, 20])
def test_nodes_that_may_not_tell(nodes: int) -> None:
    assert played(nodes, 2, peers=False) <= 0.0
