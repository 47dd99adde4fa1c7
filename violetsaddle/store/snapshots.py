"""Snapshots of what a node has learned: one file, versioned and checksummed, replaced as a whole.

    magic 8 bytes | version u16 | length of the body u32 | digest of the settings 16 | body | checksum 16

All numbers are big-endian; the body is MessagePack of `Memory`, the checksum BLAKE2b of all before it.
Whatever is wrong with a file is `Damaged`: a fresh start does no harm."""

from __future__ import annotations

import os
from collections.abc import Callable
from hashlib import blake2b
from struct import Struct, error

import msgspec

from violetsaddle.decide.memory import Memory, foremost

MAGIC = b"vsaddle\n"
VERSION = 1
HEAD = Struct(">8sHI16s")
DIGEST = 16  # bytes
MOST = 64 << 20  # bytes of a file that is read at all
NEW = ".new"  # beside the file while it is written

Step = Callable[[str], None]


class Damaged(Exception):
    """A snapshot that can't be used; one line says why."""


def no_step(name: str) -> None:
    """Tests pass one that ends the process, or raises, at a step."""


def digest(settings: object) -> bytes:
    """Of whatever the snapshot only holds under; the same at every start, sets included."""
    return blake2b(msgspec.json.encode(settings, order="deterministic"), digest_size=DIGEST).digest()


def encode(memory: Memory, settings: bytes, most: int = MOST) -> bytes:
    """A snapshot of at most so many bytes.  What does not fit is left out: boxes, those that say least first;
    the list, where it would push out half of the boxes or more; and in the end older ids, the last to go, for
    an id that is forgotten may run twice."""
    data = _packed(memory, settings)
    if len(data) <= most:
        return data
    boxes, fits = memory.boxes, 0
    size = len(msgspec.msgpack.encode(boxes)) / max(1, len(boxes))
    for listing in (memory.listing, None):
        memory = msgspec.structs.replace(memory, boxes={}, listing=listing)
        fits = int(0.9 * (most - len(_packed(memory, settings))) / size)
        if fits > len(boxes) // 2:
            break
    memory = msgspec.structs.replace(memory, boxes=foremost(boxes, max(0, fits)))
    data = _packed(memory, settings)
    while len(data) > most and memory.ids:
        memory = msgspec.structs.replace(memory, ids=memory.ids[len(memory.ids) // 2 + 1 :])
        data = _packed(memory, settings)
    return data


def _packed(memory: Memory, settings: bytes) -> bytes:
    body = msgspec.msgpack.encode(memory)
    data = HEAD.pack(MAGIC, VERSION, len(body), settings) + body
    return data + blake2b(data, digest_size=DIGEST).digest()


def decode(data: bytes, settings: bytes) -> Memory:
    """Raises `Damaged`."""
    try:
        magic, version, length, under = HEAD.unpack_from(data)
    except error:
        raise Damaged(f"it is cut off: {len(data)} bytes") from None
    if magic != MAGIC:
        raise Damaged("it is no snapshot")
    if version != VERSION:
        raise Damaged(f"it is of version {version}, not {VERSION}")
    if len(data) != HEAD.size + length + DIGEST:
        raise Damaged(f"it holds {len(data)} bytes, not {HEAD.size + length + DIGEST}")
    if blake2b(data[:-DIGEST], digest_size=DIGEST).digest() != data[-DIGEST:]:
        raise Damaged("its checksum is wrong")
    if under != settings:
        raise Damaged("it was made under other settings")
    try:
        return msgspec.msgpack.decode(data[HEAD.size : -DIGEST], type=Memory)
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:
        raise Damaged(" ".join(f"its body can't be read: {wrong}".split())[:200]) from None


def read(path: str, most: int = MOST) -> bytes | None:
    """A file's bytes; None where there is none.  Raises `Damaged` for one that can't be read."""
    try:
        # Not waiting for whoever might write to a path that is a pipe.
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
            data = file.read(most + 1) or b""
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as wrong:
        raise Damaged(f"it can't be read: {getattr(wrong, 'strerror', None) or wrong}") from None
    if len(data) > most:
        raise Damaged(f"it holds more than {most} bytes")
    return data


def write(path: str, data: bytes, step: Step = no_step) -> None:
    """Puts a snapshot in the place of the last one: at any moment, also after a loss of power, there is the
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
