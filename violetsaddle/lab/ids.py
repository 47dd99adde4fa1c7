"""The ids of tries: every process that knows the day's seed can read which item and try one stands for."""

from __future__ import annotations

from xxhash import xxh64_intdigest

LENGTH = 18
RUDE = "rude-"


def txn(seed: int, item: int, tries: int) -> str:
    """The X-Txn of a try; `item` is below 2**32, `tries` (0 for the first) below 256."""
    check = xxh64_intdigest(b"%d/%d/%d" % (seed, item, tries)) & 0xFFFFFFFF
    return f"{item:08x}{tries:02x}{check:08x}"


def read(seed: int, text: str) -> tuple[int, int] | None:
    """(item, tries) of an id that `txn` made with this seed; None for every other text."""
    if len(text) != LENGTH:
        return None
    try:
        item, tries = int(text[:8], 16), int(text[8:10], 16)
    except ValueError:
        return None
    # Made anew and compared: `int` takes signs, underscores and capitals that `txn` never writes.
    return (item, tries) if item >= 0 and tries >= 0 and txn(seed, item, tries) == text else None


def rude(seed: int, number: int) -> str:
    """An id for a bad client: `read` gives None for it and `is_rude` knows it."""
    return f"{RUDE}{number:x}-{xxh64_intdigest(b'%d/rude/%d' % (seed, number)) & 0xFFFFFFFF:08x}"


def is_rude(text: str) -> bool:
    return text.startswith(RUDE)
