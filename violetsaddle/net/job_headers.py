"""Parses the parts of a client's request head that describe its job, except class and tenant names."""

from __future__ import annotations

import re
from urllib.parse import parse_qsl

from violetsaddle.net.limits import MS
from violetsaddle.net.requests import InvalidRequestError

try:
    from _blake2 import blake2b  # the same function as hashlib's, but hashlib loads OpenSSL first
except ImportError:
    from hashlib import blake2b

UNITS = {"m": MS, "u": 1}  # microseconds
ID = re.compile("[!-~]+")


def parse_remaining(text: str | None) -> int:
    """Returns the microseconds in an X-Remaining value, as `480m` or `9000u`.

    Raises `InvalidRequestError` if it is missing or malformed."""
    number, unit = (text or "")[:-1], (text or "")[-1:]
    if unit not in UNITS or not number.isascii() or not number.isdigit() or len(number) > 12:
        raise InvalidRequestError("X-Remaining is missing or no time")
    return int(number) * UNITS[unit]


def parse_estimate(text: str | None) -> int:
    """Returns the client's estimate of the work in microseconds; 0 if it is missing or malformed."""
    number = text or ""
    return int(number) if number.isascii() and number.isdigit() and len(number) <= 12 else 0


def parse_label(text: str | None, name: str, default: float) -> float:
    """Returns the number of the label `name` in a list as `name=number,other=text`, or `default`.

    Raises `InvalidRequestError` if the value is not a number, is not above 0, or is above 1024."""
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


def hash_subject(query: str) -> int | None:
    """Returns a 53-bit hash of the query's `sid`, or None without one; it is the same at every node."""
    for name, value in parse_qsl(query) if "sid=" in query else ():
        if name == "sid":
            return int.from_bytes(blake2b(value.encode(), digest_size=8).digest(), "big") >> 11
    return None
