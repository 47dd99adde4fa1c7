"""What a client's head tells of its job, beside the names of classes and tenants."""

from __future__ import annotations

import re
from urllib.parse import parse_qsl

from violetsaddle.net.limits import MS
from violetsaddle.net.requests import InvalidRequestError

try:
    from _blake2 import blake2b  # as hashlib would give it, which loads OpenSSL first
except ImportError:
    from hashlib import blake2b

UNITS = {"m": MS, "u": 1}
ID = re.compile("[!-~]+")


def remaining(text: str | None) -> int:
    """Microseconds of `480m` or `9000u`; raises `InvalidRequestError`."""
    number, unit = (text or "")[:-1], (text or "")[-1:]
    if unit not in UNITS or not number.isascii() or not number.isdigit() or len(number) > 12:
        raise InvalidRequestError("X-Remaining is missing or no time")
    return int(number) * UNITS[unit]


def estimate(text: str | None) -> int:
    """Microseconds of work that the client guesses; 0 where it gives none that can be read."""
    number = text or ""
    return int(number) if number.isascii() and number.isdigit() and len(number) <= 12 else 0


def labelled(text: str | None, name: str, default: float) -> float:
    """The number of `name=number` in a list of labels, else `default`; raises `InvalidRequestError` for
    one that is no number, or is outside 0 to 1024."""
    for pair in (text or "").split(","):
        key, _, value = pair.partition("=")
        if key.strip() == name:
            try:
                number = float(value)
            except ValueError:
                raise InvalidRequestError(f"the label {name} is no number") from None
            if not 0 < number <= 1024:
                raise InvalidRequestError(f"the label {name} is out of range")
            return number
    return default


def subject(query: str) -> int | None:
    """The number that stands for what the request is about, the same at every node."""
    for name, value in parse_qsl(query) if "sid=" in query else ():
        if name == "sid":
            return int.from_bytes(blake2b(value.encode(), digest_size=8).digest(), "big") >> 11
    return None
