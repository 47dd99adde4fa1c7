"""Files that are read and replaced as a whole: at any moment there is the old one or the new one."""

from __future__ import annotations

import os
from collections.abc import Callable

MOST = 64 << 20  # bytes of a file that is read at all
NEW = ".new"  # beside the file while it is written

Step = Callable[[str], None]


class DamagedError(Exception):
    """A file that can't be used; one line says why."""


def no_step(name: str) -> None:
    """Tests pass one that ends the process, or raises, at a step."""


def read(path: str, most: int = MOST) -> bytes | None:
    """A file's bytes; None where there is none.  Raises `DamagedError` for one that can't be read."""
    try:
        # Not waiting for whoever might write to a path that is a pipe.
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
            data = file.read(most + 1) or b""
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as wrong:
        raise DamagedError(f"it can't be read: {getattr(wrong, 'strerror', None) or wrong}") from None
    if len(data) > most:
        raise DamagedError(f"it holds more than {most} bytes")
    return data


def write(path: str, data: bytes, step: Step = no_step) -> None:
    """Puts a file in the place of the last one: at any moment, also after a loss of power, there is the
    old one or the new one, whole.  Raises `OSError`, and what `step` raises; then the old one stays."""
    new = path + NEW
    step("open")
    file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        try:
            step("write")
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
                step("written")
            os.fsync(file)
            step("synced")
        finally:
            os.close(file)
        os.rename(new, path)
    except BaseException:
        _drop(new)
        raise
    step("renamed")
    _sync_folder(os.path.dirname(os.path.abspath(path)))
    step("done")


def _drop(new: str) -> None:
    try:
        os.unlink(new)
    except OSError:
        pass  # the next one writes over it


def _sync_folder(folder: str) -> None:
    place = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(place)
    finally:
        os.close(place)
