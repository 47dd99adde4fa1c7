"""The disk of a simulated machine: it outlives the program, not the machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from violetsaddle.lab.sim.reactor import SimReactor

TAKES = 0.005  # seconds until a write has come to the disk


class SimDisk:
    """`net.warmth.Disk`."""

    def __init__(self) -> None:
        self.data: bytes | None = None

    def read(self) -> bytes | None:
        return self.data

    def write(self, data: bytes) -> None:
        self.data = data


def later(process: SimReactor) -> Any:
    """`net.disk.BackgroundRunner`: a program that is killed meanwhile has written nothing."""

    def run(work: Callable[[], object], done: Callable[[Exception | None], None]) -> None:
        def there() -> None:
            failed = None
            try:
                work()
            except Exception as error:
                failed = error
            done(failed)

        process.callLater(TAKES, there)

    return run
