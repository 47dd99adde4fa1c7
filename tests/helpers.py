"""A recorder for actions, and balancers under settings of the tests' own."""

from __future__ import annotations

from typing import Any

from violetsaddle import Balancer, Entry, RequestClass, Settings
from violetsaddle.interface import KEYED, SAFE, UNSAFE
from violetsaddle.state import Worker

MS = 1_000
SECOND = 1_000_000
SAFE_CLASS = RequestClass(aim=200 * MS, deadline=4 * SECOND)
CELL_CLASS = RequestClass(aim=200 * MS, deadline=9 * SECOND, effect=KEYED, group="cell", window=6 * SECOND)
ALL_CLASS = RequestClass(aim=200 * MS, deadline=9 * SECOND, effect=KEYED, group="all", window=6 * SECOND)
UNSAFE_CLASS = RequestClass(aim=200 * MS, deadline=9 * SECOND, effect=UNSAFE)
CLASSES = (SAFE_CLASS, CELL_CLASS, ALL_CLASS, UNSAFE_CLASS)
assert SAFE_CLASS.effect == SAFE


class Recorder:
    """Keeps what the balancer did, as tuples."""

    def __init__(self) -> None:
        self.done: list[tuple[Any, ...]] = []

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        self.done.append(("send", job, worker, until))

    def refuse(self, job: str, retry_after: int) -> None:
        self.done.append(("refuse", job, retry_after))

    def fail(self, job: str) -> None:
        self.done.append(("fail", job))

    def cancel(self, job: str, attempt: int) -> None:
        self.done.append(("cancel", job, attempt))

    def probe(self, worker: int) -> None:
        self.done.append(("probe", worker))

    def tell(self, data: bytes, to: int | None = None) -> None:
        self.done.append(("tell", data, to))

    def watch(self) -> None:
        self.done.append(("watch",))

    def arm(self, time: int) -> None:
        self.done.append(("arm", time))

    def named(self, *names: str) -> list[tuple[Any, ...]]:
        return [d for d in self.done if d[0] in names]

    def sent_to(self, job: str) -> list[int]:
        return [d[2] for d in self.done if d[0] == "send" and d[1] == job]

    def armed(self) -> int:
        return int(self.named("arm")[-1][1])


def make(workers: int = 6, seed: int = 1, cells: int = 2, **changes: Any) -> tuple[Balancer, Recorder]:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "most_attempts": 4,
        "second_copies": True,
        "may_cancel": True,
        "may_advise": True,
    }
    values.update(changes)
    recorder = Recorder()
    balancer = Balancer(Settings(**values), seed, 0, recorder)
    balancer.members(0, "disk", [Entry(n, cell=n % cells) for n in range(1, workers + 1)])
    return balancer, recorder


def word(worker: Worker, jobs: int, ill: bool = False) -> bytes:
    """What a peer tells of a worker where the list is short."""
    return b"\0" + ((worker.mark & 0x7FF) << 5 | ill << 4 | jobs).to_bytes(2, "big")


def run_until(balancer: Balancer, recorder: Recorder, now: int, end: int) -> int:
    """Delivers the wakes that the balancer asked for, up to a time."""
    while True:
        due = [d[1] for d in recorder.named("arm") if now < d[1] <= end]
        if not due:
            return end
        now = min(due)
        balancer.wake(now)
