"""A scenario played over values of one or more keys."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import product

import msgspec
import numpy as np

from violetsaddle.lab.experiment import Case, CaseError, change
from violetsaddle.lab.pool import run_many
from violetsaddle.lab.result import Played


class Point(msgspec.Struct, frozen=True):
    """One place of a sweep: its keys with their values, and the case."""

    values: tuple[tuple[str, str], ...]
    case: Case

    @property
    def name(self) -> str:
        return " ".join(f"{key}={value}" for key, value in self.values)


def axis(text: str) -> list[tuple[tuple[str, str], ...]]:
    """`key=v1,v2,...`; keys that go together are joined by colons: `nodes:boxes=4:12,16:100`.

    Raises `CaseError`."""
    names, equals, rest = text.partition("=")
    keys, values = names.split(":"), [value.strip() for value in rest.split(",")]
    if not equals or not all(keys) or not all(values):
        raise CaseError(f"{text}: expected key=value,value,...")
    places = []
    for value in values:
        parts = value.split(":") if len(keys) > 1 else [value]
        if len(parts) != len(keys):
            raise CaseError(f"{text}: {value} gives {len(parts)} values to {len(keys)} keys")
        places.append(tuple(zip(keys, parts)))
    return places


def points(case: Case, axes: Sequence[str]) -> list[Point]:
    """Every combination of the axes' values.  Raises `CaseError`."""
    found = []
    for combination in product(*map(axis, axes)):
        values = tuple(pair for place in combination for pair in place)
        changed = case
        for key, value in values:
            changed = change(changed, key, value)
        found.append(Point(values, changed))
    return found


def sweep(places: Sequence[Point], seeds: Sequence[int], processes: int) -> Iterator[tuple[Point, Played]]:
    """Every point on every seed, in this order; each day in a process of its own, so that its memory is its
    own."""
    every = [(point, msgspec.structs.replace(point.case, seed=seed)) for point in places for seed in seeds]
    played = run_many((case for _, case in every), processes, fresh=True)
    for (point, _), one in zip(every, played):
        yield point, one


def mean(values: Sequence[float]) -> float:
    """Of what there is; not a number where there is nothing."""
    return float(np.mean(values)) if values else float("nan")
