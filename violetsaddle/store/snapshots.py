"""Snapshots of what a node has learned: one file, versioned and checksummed, replaced as a whole.

    magic 8 bytes | version u16 | length of the body u32 | digest of the settings 16 | body | checksum 16

All numbers are big-endian; the body is MessagePack of `Memory`, the checksum BLAKE2b of all before it.
Whatever is wrong with a file is `DamagedError`: a fresh start does no harm."""

from __future__ import annotations

from hashlib import blake2b
from struct import Struct, error

import msgspec

from violetsaddle.decide.memory import Memory, foremost
from violetsaddle.store.files import MAX_FILE_SIZE, DamagedError

MAGIC = b"vsaddle\n"
VERSION = 1
HEAD = Struct(">8sHI16s")
DIGEST = 16  # bytes


def digest(settings: object) -> bytes:
    """Of whatever the snapshot only holds under; the same at every start, sets included."""
    return blake2b(msgspec.json.encode(settings, order="deterministic"), digest_size=DIGEST).digest()


def encode(memory: Memory, settings: bytes, most: int = MAX_FILE_SIZE) -> bytes:
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
    """Raises `DamagedError`."""
    try:
        magic, version, length, under = HEAD.unpack_from(data)
    except error:
        raise DamagedError(f"it is cut off: {len(data)} bytes") from None
    if magic != MAGIC:
        raise DamagedError("it is no snapshot")
    if version != VERSION:
        raise DamagedError(f"it is of version {version}, not {VERSION}")
    if len(data) != HEAD.size + length + DIGEST:
        raise DamagedError(f"it holds {len(data)} bytes, not {HEAD.size + length + DIGEST}")
    if blake2b(data[:-DIGEST], digest_size=DIGEST).digest() != data[-DIGEST:]:
        raise DamagedError("its checksum is wrong")
    if under != settings:
        raise DamagedError("it was made under other settings")
    try:
        return msgspec.msgpack.decode(data[HEAD.size : -DIGEST], type=Memory)
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:
        raise DamagedError(" ".join(f"its body can't be read: {wrong}".split())[:200]) from None
