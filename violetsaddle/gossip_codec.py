"""Datagrams in which schedulers tell each other their jobs in flight: encoding and decoding.

    head   1 byte: bit 0 wide words; in a large tier bit 1 asks for an answer, bits 2 to 5 zone, bit 7 set
    words  each 2 bytes: mark of the worker 11 bits, ill 1 bit, jobs in flight 4 bits; wide ones 3 bytes with
           a mark of 16 bits

Numbers are big-endian.  A datagram holds 256 bytes at most."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

MOST_WORDS = 85  # in one datagram, wide ones too
NARROW_MARK, WIDE_MARK = 0x7FF, 0xFFFF  # bits of a mark
MOST_JOBS = 15  # of one worker; more are told as so many


class Telling(NamedTuple):
    """What one datagram says."""

    zone: int | None  # of the sender, modulo 16; None: not told (a small tier)
    asks: bool  # whether the receiver's zone is asked for
    words: Sequence[tuple[int, int, bool]]  # mark, jobs in flight, whether the worker is ill


def head(wide: bool, zone: int | None, asks: bool) -> bytes:
    """The first byte; `zone` None: of a small tier."""
    return bytes((wide if zone is None else wide | asks << 1 | (zone & 0xF) << 2 | 0x80,))


def word(mark: int, jobs: int, ill: bool, wide: bool) -> bytes:
    """One word; more jobs than `MOST_JOBS` are told as so many."""
    value = (mark if wide else mark & NARROW_MARK) << 5 | ill << 4 | min(jobs, MOST_JOBS)
    return value.to_bytes(3 if wide else 2, "big")


def decode(data: bytes, wide: bool, zones: bool) -> Telling | None:
    """None: no datagram of these.  `wide`: marks have 16 bits here, and narrow words say nothing; `zones`:
    whether the tier is a large one, whose datagrams tell zones."""
    if not data or not (data[0] < 2 or data[0] & 0x80 and zones):
        return None
    size = 2 + (data[0] & 1)
    if len(data) % size != 1:
        return None
    mask, end = (WIDE_MARK if wide else NARROW_MARK), len(data) if size >= 2 + wide else 0
    values = [int.from_bytes(data[at : at + size], "big") for at in range(1, end, size)]
    words = [((value >> 5) & mask, value & 0xF, bool(value & 0x10)) for value in values]
    told = bool(data[0] & 0x80)
    return Telling(data[0] >> 2 & 0xF if told else None, told and bool(data[0] & 2), words)
