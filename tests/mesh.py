"""Many balancers that hear each other, on one clock: who tells whom, what a cold worker is sent by all."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from tests.helpers import CLASSES, MS, SECOND
from violetsaddle import Balancer, Entry, Settings

Lost = Callable[[int, int], bool]


class Seat:
    """One balancer's place: carries out its actions."""

    def __init__(self, mesh: Mesh, me: int, **values: Any) -> None:
        self.mesh, self.me, self.life = mesh, me, 0
        self.told, self.heard = 0, 0  # datagrams
        self.told_of: list[tuple[int | None, int]] = []  # receiver and size of each
        self.values = {
            "classes": CLASSES,
            "schedulers": mesh.n,
            "me": me,
            "zones": 4,
            "zone": me % 4,
            "may_tell": True,
            "may_cancel": True,
            "cold_for": 23 * SECOND,
            "cold_from": 0.14,
            "fall_multiple": 4.0,
            **values,
        }
        self.up = False
        self.balancer: Balancer

    def start(self, entries: Iterable[Entry]) -> None:
        self.up, self.life = True, self.life + 1
        self.balancer = Balancer(Settings(**self.values), 7919 * self.life + self.me, self.mesh.now, self)
        self.balancer.members(self.mesh.now, "disk", list(entries))

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        self.mesh.sent.append((self.mesh.now, self.me, job, worker))

    def refuse(self, job: str, retry_after: int) -> None:
        self.mesh.refused.append(job)

    def fail(self, job: str) -> None:
        raise AssertionError(f"{job} failed")

    def cancel(self, job: str, attempt: int) -> None: ...

    def probe(self, worker: int) -> None: ...

    def watch(self) -> None: ...

    def arm(self, time: int) -> None:
        self.mesh.at(time, self._wake, self.life)

    def _wake(self, life: int) -> None:
        if self.up and life == self.life:
            self.balancer.wake(self.mesh.now)

    def tell(self, data: bytes, to: int | None = None) -> None:
        assert len(data) <= 256
        self.told_of.append((to, len(data)))
        for number in range(self.mesh.n) if to is None else (to,):
            if number != self.me:
                self.told += 1
                late = int((2 + 18 * self.mesh.random()) * MS)
                self.mesh.at(self.mesh.now + late, self._arrive, number, data)

    def _arrive(self, number: int, data: bytes) -> None:
        seat = self.mesh.seats[number]
        if seat.up and not self.mesh.lost(self.me, number):
            seat.heard += 1
            seat.balancer.heard(self.mesh.now, self.me, data)


class Mesh:
    def __init__(self, n: int, entries: list[Entry], seed: int = 1, **values: Any) -> None:
        self.n, self.now, self.number, self.random = n, 0, 0, Random(seed).random
        self.entries = entries
        self.due: list[tuple[int, int, Any, Any]] = []
        self.sent: list[tuple[int, int, str, int]] = []  # time, balancer, job, worker
        self.refused: list[str] = []
        self.lost: Lost = lambda origin, to: False
        self.seats = [Seat(self, me, **values) for me in range(n)]
        for seat in self.seats:
            seat.start(entries)

    def at(self, time: int, what: Callable[..., None], *about: Any) -> None:
        self.number += 1
        heapq.heappush(self.due, (time, self.number, what, about))

    def run(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.due)
            what(*about)
        self.now = until

    def job(self, me: int, cls: int = 0, takes: int = 300 * MS) -> None:
        """A job comes at a balancer; each of its workers starts it at once and runs it for so long."""
        job, balancer = f"j{self.number}", self.seats[me].balancer
        self.number += 1
        balancer.request(self.now, job, cls, 4 * SECOND, hint=takes)
        if self.sent and self.sent[-1][2] == job:
            self.at(self.now + MS, self._note, balancer, job)
            self.at(self.now + takes, self._over, balancer, job, takes)

    def _note(self, balancer: Balancer, job: str) -> None:
        if job in balancer.requests:
            balancer.note(self.now, job, 0, 1, 0.0)

    def _over(self, balancer: Balancer, job: str, takes: int) -> None:
        if job in balancer.requests:
            balancer.answer(self.now, job, 0, "ok", takes, True, None)
