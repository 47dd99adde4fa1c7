"""Files that the node writes beside the reactor's way."""

from __future__ import annotations

from collections.abc import Callable
from threading import Thread
from typing import Protocol, TypeAlias

from violetsaddle.net.deadlines import Reactor
from violetsaddle.store import files
from violetsaddle.store.files import Step, no_step


class Disk(Protocol):
    """Where a snapshot lies."""

    def read(self) -> bytes | None:
        """None: there is none.  Raises `DamagedError`."""

    def write(self, data: bytes) -> None:
        """Replaces it as a whole; raises `OSError`.  May take long: never called on the reactor's way."""


class File:
    """`Disk`: a file."""

    def __init__(self, path: str, step: Step = no_step) -> None:
        """`step`: told of each step of a write, for tests."""
        self._path, self._step = path, step

    def read(self) -> bytes | None:
        """The file's bytes, None where there is none; raises `DamagedError`."""
        return files.read(self._path)

    def write(self, data: bytes) -> None:
        """Replaces the file; raises `OSError`."""
        files.write(self._path, data, self._step)


# Does the first beside the reactor's way, then calls the second on it, with what the first raised.
Elsewhere: TypeAlias = Callable[[Callable[[], object], Callable[[Exception | None], None]], None]


def in_thread(reactor: Reactor) -> Elsewhere:
    """A thread for each piece of work: one that a disk holds for good holds up no end of the program."""

    def run(work: Callable[[], object], done: Callable[[Exception | None], None]) -> None:
        def there() -> None:
            failed = None
            try:
                work()
            except Exception as error:
                failed = error
            reactor.callFromThread(done, failed)

        try:
            Thread(target=there, daemon=True).start()
        except RuntimeError as error:  # no more threads
            reactor.callFromThread(done, error)

    return run
