"""Snapshots of what a node has learned: one file, versioned and checksummed, replaced atomically.

    magic 8 bytes | version u16 | length of the body u32 | digest of the settings 16 | body | checksum 16

All numbers are big-endian.  The body is a `LearnedState` in MessagePack; the checksum is the BLAKE2b of all
bytes before it.  Whatever is wrong with a file raises `DamagedError`: a node can always start without one."""

from __future__ import annotations

from hashlib import blake2b
from struct import Struct, error

import msgspec

from violetsaddle.decide.memory import LearnedState, most_informative
from violetsaddle.store.files import MAX_FILE_SIZE, DamagedError

MAGIC = b"vsaddle\n"
VERSION = 1
HEADER = Struct(">8sHI16s")
DIGEST_SIZE = 16  # bytes


def digest(settings: object) -> bytes:
    """Returns the digest of the settings for which a snapshot is valid.

    It is the same at every start, also for sets, whose order depends on the hash seed."""
    return blake2b(msgspec.json.encode(settings, order="deterministic"), digest_size=DIGEST_SIZE).digest()


def encode(state: LearnedState, settings_digest: bytes, max_size: int = MAX_FILE_SIZE) -> bytes:
    """Returns a snapshot of at most `max_size` bytes.

    What does not fit is left out, in this order: boxes, the least informative first; the server list, if it
    would push out half of the boxes or more; the older ids.  Ids go last, because a job whose id is forgotten
    may run twice."""
    data = _pack(state, settings_digest)
    if len(data) <= max_size:
        return data
    boxes, fits = state.boxes, 0
    box_size = len(msgspec.msgpack.encode(boxes)) / max(1, len(boxes))
    for listing in (state.listing, None):
        state = msgspec.structs.replace(state, boxes={}, listing=listing)
        fits = int(0.9 * (max_size - len(_pack(state, settings_digest))) / box_size)
        if fits > len(boxes) // 2:
            break
    state = msgspec.structs.replace(state, boxes=most_informative(boxes, max(0, fits)))
    data = _pack(state, settings_digest)
    while len(data) > max_size and state.ids:
        state = msgspec.structs.replace(state, ids=state.ids[len(state.ids) // 2 + 1 :])
        data = _pack(state, settings_digest)
    return data


def _pack(state: LearnedState, settings_digest: bytes) -> bytes:
    body = msgspec.msgpack.encode(state)
    data = HEADER.pack(MAGIC, VERSION, len(body), settings_digest) + body
    return data + blake2b(data, digest_size=DIGEST_SIZE).digest()


def decode(data: bytes, settings_digest: bytes) -> LearnedState:
    """Returns the state in a snapshot.

    Raises `DamagedError` if the snapshot is damaged, has another version or belongs to other settings."""
    try:
        magic, version, length, stored_digest = HEADER.unpack_from(data)
    except error:
        raise DamagedError(f"it is truncated: {len(data)} bytes") from None
    if magic != MAGIC:
        raise DamagedError("it is not a snapshot")
    if version != VERSION:
        raise DamagedError(f"it has version {version}, expected {VERSION}")
    if len(data) != HEADER.size + length + DIGEST_SIZE:
        raise DamagedError(f"it holds {len(data)} bytes, expected {HEADER.size + length + DIGEST_SIZE}")
    if blake2b(data[:-DIGEST_SIZE], digest_size=DIGEST_SIZE).digest() != data[-DIGEST_SIZE:]:
        raise DamagedError("its checksum is wrong")
    if stored_digest != settings_digest:
        raise DamagedError("it was made under other settings")
    try:
        return msgspec.msgpack.decode(data[HEADER.size : -DIGEST_SIZE], type=LearnedState)
    except (msgspec.DecodeError, ValueError, RecursionError) as failure:
        raise DamagedError(" ".join(f"its body can't be read: {failure}".split())[:200]) from None
