"""What is kept of one played day: figures, broken rules and counters, the same bytes for the same day.

What a machine adds of its own (time taken, memory) is `Cost`, which goes into tables and never into JSON."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import msgspec

DIGITS = 9  # significant ones of a fraction; the last bits of a sum are no result
ROUNDED = 6  # decimals of a fraction


class Broken(msgspec.Struct, frozen=True):
    """A broken rule."""

    rule: str
    at: int  # microseconds since the day's start
    txn: str  # of the try it concerns; "" for none
    text: str  # one line


class Result(msgspec.Struct, frozen=True):
    """One day with one decider.  `figures` and those of the yardsticks are as `score.figures` makes them."""

    scenario: str
    seed: int
    stage: str
    decider: str
    length: int
    nodes: int
    boxes: int
    rate: float
    setting: dict[str, Any] = {}  # what was asked for beyond the scenario
    figures: dict[str, Any] = {}
    yardsticks: dict[str, dict[str, Any]] = {}
    against: dict[str, Any] = {}  # what is lost against the yardsticks, and to whom
    violations: tuple[Broken, ...] = ()
    counters: tuple[dict[str, int], ...] = ()  # of each node
    records: int = 0
    events: int = 0
    void: str = ""  # why it counts for nothing
    error: str = ""  # the exception that ended it

    @property
    def rules(self) -> list[str]:
        """The names of broken rules, each once, in order."""
        return sorted({broken.rule for broken in self.violations})

    @property
    def valid(self) -> bool:
        return not self.void and not self.error


class Cost(msgspec.Struct, frozen=True):
    wall: float = 0.0  # seconds of playing, yardsticks not counted
    peak: float = 0.0  # MB
    judging: float = 0.0  # seconds of judging and counting


class Played(msgspec.Struct, frozen=True):
    """What a job gives back; `report` is the judge's text where a rule was broken, or a traceback."""

    result: Result
    cost: Cost = Cost()
    report: str = ""


def rounded(value: Any) -> Any:
    """Plain JSON values; fractions cut to fixed digits, those that are no numbers become null."""
    if isinstance(value, float):
        if not math.isfinite(value):
            return None
        return round(float(f"{value:.{DIGITS}g}"), ROUNDED) + 0.0  # + 0.0: no negative zero
    if isinstance(value, dict):
        return {str(key): rounded(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [rounded(item) for item in value]
    return value


def plain(value: Any) -> Any:
    """Structs, arrays of numpy and the like as plain rounded values."""
    return rounded(msgspec.to_builtins(value, str_keys=True, enc_hook=number_of))


def number_of(value: Any) -> Any:
    """Numbers and arrays of numpy as Python's, for encoders; other things as text."""
    return value.tolist() if hasattr(value, "tolist") else str(value)


def encode(results: Iterable[Result]) -> bytes:
    """JSON lines, one a result, keys sorted: equal results give equal bytes."""
    return b"".join(msgspec.json.encode(plain(result), order="sorted") + b"\n" for result in results)


def decode(data: bytes) -> list[Result]:
    """What `encode` wrote; raises `msgspec.ValidationError` or `msgspec.DecodeError`."""
    return msgspec.json.Decoder(Result).decode_lines(data)


def numbers(table: Any, path: str = "") -> dict[str, float]:
    """All numbers of nested figures under dotted names, lists by position; truth values are left out."""
    if isinstance(table, bool):
        return {}
    if isinstance(table, (int, float)):
        return {path: float(table)}
    if isinstance(table, (list, tuple)):
        table = {str(index): item for index, item in enumerate(table)}
    found: dict[str, float] = {}
    if isinstance(table, dict):
        for key, item in table.items():
            found.update(numbers(item, f"{path}.{key}" if path else str(key)))
    return found
