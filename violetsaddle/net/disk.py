"""Storage of a node's snapshots, written outside the reactor thread."""

from __future__ import annotations

from collections.abc import Callable
from threading import Thread
from typing import Protocol, TypeAlias

from violetsaddle.net.deadlines import Reactor
from violetsaddle.store import files
from violetsaddle.store.files import Step, no_step


class Disk(Protocol):
    """Storage of one snapshot."""

    def read(self) -> bytes | None:
        """Returns the snapshot, or None where there is none.  Raises `DamagedError`."""

    def write(self, data: bytes) -> None:
        """Replaces the snapshot atomically.  Raises `OSError`.

        May block for long, so it is never called on the reactor thread."""


class File:
    """A `Disk` that keeps the snapshot in one file."""

    def __init__(self, path: str, step: Step = no_step) -> None:
        """`step`: called with the name of each step of a write, for tests."""
        self._path, self._step = path, step

    def read(self) -> bytes | None:
        """Returns the content of the file, or None where it does not exist.  Raises `DamagedError`."""
        return files.read(self._path)

    def write(self, data: bytes) -> None:
        """Replaces the file atomically.  Raises `OSError`."""
        files.write(self._path, data, self._step)


# Runs the first function outside the reactor thread, then calls the second on the reactor thread with the
# exception that the first raised, or None.
BackgroundRunner: TypeAlias = Callable[[Callable[[], object], Callable[[Exception | None], None]], None]


def in_thread(reactor: Reactor) -> BackgroundRunner:
    """Returns a runner that starts a daemon thread for each call, so that a write that blocks for ever does
    not keep the program from ending."""

    def run(work: Callable[[], object], done: Callable[[Exception | None], None]) -> None:
        def run_work() -> None:
            failure = None
            try:
                work()
            except Exception as error:
                failure = error
            reactor.callFromThread(done, failure)

        try:
            Thread(target=run_work, daemon=True).start()
        except RuntimeError as error:  # the system has no more threads
            reactor.callFromThread(done, error)

    return run
