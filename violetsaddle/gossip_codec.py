"""Encodes and decodes the gossip datagrams in which schedulers report their jobs in flight to each other.

    header   1 byte: bit 0 wide records; with gossip groups also bit 1 asks for a reply, bits 2 to 5 the
             sender's zone, bit 7 set
    records  2 bytes each: mark of the worker 11 bits, unhealthy 1 bit, jobs in flight 4 bits; wide records
             have 3 bytes and a mark of 16 bits

A mark is a short hash of the worker's id.  Numbers are big-endian.  A datagram has 256 bytes at most."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

MAX_RECORDS = 85  # in one datagram, wide ones too
NARROW_MARK_MASK = 0x7FF  # 11 bits
WIDE_MARK_MASK = 0xFFFF  # 16 bits
MAX_JOBS = 15  # of one worker; larger numbers are encoded as this one


class GossipMessage(NamedTuple):
    """The decoded content of one datagram."""

    zone: int | None  # of the sender, modulo 16; None: not included, as in a small tier
    wants_reply: bool  # whether the sender asks for the receiver's zone
    records: Sequence[tuple[int, int, bool]]  # mark, jobs in flight, whether the worker is unhealthy


def encode_header(wide: bool, zone: int | None, wants_reply: bool) -> bytes:
    """Returns the first byte of a datagram; `zone` None: a small tier, which sends no zone."""
    return bytes((wide if zone is None else wide | wants_reply << 1 | (zone & 0xF) << 2 | 0x80,))


def encode_record(mark: int, jobs: int, unhealthy: bool, wide: bool) -> bytes:
    """Returns one record; more jobs than `MAX_JOBS` are encoded as `MAX_JOBS`."""
    value = (mark if wide else mark & NARROW_MARK_MASK) << 5 | unhealthy << 4 | min(jobs, MAX_JOBS)
    return value.to_bytes(3 if wide else 2, "big")


def decode(data: bytes, wide: bool, zones: bool) -> GossipMessage | None:
    """Returns the message, or None if `data` is not a gossip datagram.

    `wide`: this scheduler uses marks of 16 bits and ignores narrow records.  `zones`: the tier is large
    enough that datagrams carry the sender's zone."""
    if not data or not (data[0] < 2 or data[0] & 0x80 and zones):
        return None
    size = 2 + (data[0] & 1)
    if len(data) % size != 1:
        return None
    mask, end = (WIDE_MARK_MASK if wide else NARROW_MARK_MASK), len(data) if size >= 2 + wide else 0
    values = [int.from_bytes(data[at : at + size], "big") for at in range(1, end, size)]
    records = [((value >> 5) & mask, value & 0xF, bool(value & 0x10)) for value in values]
    has_zone = bool(data[0] & 0x80)
    return GossipMessage(data[0] >> 2 & 0xF if has_zone else None, has_zone and bool(data[0] & 2), records)
