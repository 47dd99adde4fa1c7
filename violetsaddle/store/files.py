"""Reads files whole and replaces them atomically: a reader finds the old content or the new content."""

from __future__ import annotations

import os
from collections.abc import Callable

MAX_FILE_SIZE = 64 << 20  # bytes
TEMPORARY_SUFFIX = ".new"  # of the file that is written and then renamed

Step = Callable[[str], None]


class DamagedError(Exception):
    """The file can't be used; the message gives the reason in one line."""


def no_step(name: str) -> None:
    """Does nothing.  Tests pass a function that kills the process, or raises, at the step `name`."""


def read(path: str, max_size: int = MAX_FILE_SIZE) -> bytes | None:
    """Returns the content of a file, or None where the file does not exist.

    Raises `DamagedError` if the file can't be read or holds more than `max_size` bytes."""
    try:
        # O_NONBLOCK: where the path is a pipe, opening it must not wait for a writer.
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
            data = file.read(max_size + 1) or b""
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise DamagedError(f"it can't be read: {getattr(error, 'strerror', None) or error}") from None
    if len(data) > max_size:
        raise DamagedError(f"it holds more than {max_size} bytes")
    return data


def write(path: str, data: bytes, step: Step = no_step) -> None:
    """Replaces a file atomically: at any moment, also after a loss of power, the path holds all of the old
    content or all of the new content.

    `step` is called with the name of each step.  Raises `OSError`, and whatever `step` raises; before the
    rename the old file then stays."""
    temporary = path + TEMPORARY_SUFFIX
    step("open")
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        try:
            step("write")
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(file, remaining) :]
                step("written")
            os.fsync(file)
            step("synced")
        finally:
            os.close(file)
        os.rename(temporary, path)
    except BaseException:
        _remove(temporary)
        raise
    step("renamed")
    _sync_directory(os.path.dirname(os.path.abspath(path)))
    step("done")


def _remove(path: str) -> None:
    try:
        os.unlink(path)
    except OSError:
        pass  # the next write truncates it


def _sync_directory(path: str) -> None:
    """Makes a rename inside the directory durable."""
    directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
