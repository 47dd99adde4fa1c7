"""Two sides played on the same days, and whether the difference is more than chance."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from pathlib import Path

import msgspec
import numpy as np
from numpy.typing import NDArray

from violetsaddle.lab.experiment import Case, CaseError, change
from violetsaddle.lab.pool import run_many
from violetsaddle.lab.result import Played, Result, numbers

RESAMPLES = 10_000
BLOCK = 1_000  # resamples at a time, to bound memory
BROKEN = "violations"


class Difference(msgspec.Struct, frozen=True):
    """A figure on both sides over the same days; `low` and `high` bound B - A with the given confidence."""

    name: str
    pairs: int
    a: float  # mean
    b: float
    difference: float  # mean of B - A
    low: float
    high: float

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out 0."""
        return self.low > 0 or self.high < 0


def side(case: Case, word: str, sets: Iterable[str] = ()) -> Case:
    """A case as one side plays it.  `word`: `this`; a directory, the checkout whose node is played; an
    operator file (.toml); or `key=value[,key=value]` for `experiment.change`.  Raises `CaseError`."""
    if "=" in word:
        sets = [*word.split(","), *sets]
    elif Path(word).is_dir():
        if not (Path(word) / "violetsaddle" / "policy.py").is_file():
            raise CaseError(f"{word}: is no checkout: it has no violetsaddle/policy.py")
        case = msgspec.structs.replace(case, tree=str(Path(word).resolve()))
    elif word.endswith(".toml") and Path(word).is_file():
        case = change(case, "operator", word)
    elif word != "this":
        raise CaseError(f"{word}: expected a checkout, an operator file (.toml), key=value or `this`")
    return changed(case, sets)


def changed(case: Case, sets: Iterable[str]) -> Case:
    """The case with every `key=value` set.  Raises `CaseError`."""
    for text in sets:
        key, equals, value = text.partition("=")
        if not equals:
            raise CaseError(f"{text}: expected key=value")
        case = change(case, key.strip(), value.strip())
    return case


def pairs(a: Case, b: Case, seeds: Iterable[int], processes: int) -> Iterator[tuple[Played, Played]]:
    """Both sides on each seed, in the order of seeds."""
    cases = (msgspec.structs.replace(case, seed=seed) for seed in seeds for case in (a, b))
    played = run_many(cases, processes)
    while len(pair := tuple(islice(played, 2))) == 2:
        yield pair[0], pair[1]


def figures(result: Result) -> dict[str, float]:
    """All numbers that two results can be compared by."""
    broken = float(len(result.violations))
    return {**numbers(result.figures), **numbers(result.against, "against"), BROKEN: broken}


def differences(results: Sequence[tuple[Result, Result]], confidence: float = 0.95) -> list[Difference]:
    """Each figure that both sides of some pair have; pairs with a void or broken-off run don't count.

    The interval is the percentile bootstrap's (Efron 1979) over days, drawn by a fixed seed: the same results
    give the same interval."""
    valid = [(figures(a), figures(b)) for a, b in results if a.valid and b.valid]
    names = sorted({name for pair in valid for name in pair[0] if name in pair[1]})
    found = []
    for name in names:
        values = np.array([(a[name], b[name]) for a, b in valid if name in a and name in b], dtype=float)
        change = values[:, 1] - values[:, 0]
        low, high = interval(change, confidence)
        a, b = values.mean(axis=0)
        found.append(Difference(name, len(values), float(a), float(b), float(change.mean()), low, high))
    return found


def interval(values: NDArray[np.float64], confidence: float = 0.95) -> tuple[float, float]:
    """Bounds of the mean.  A single value bounds nothing: it gives minus and plus infinity."""
    if len(values) < 2:
        return -np.inf, np.inf
    source = np.random.Generator(np.random.PCG64(np.random.SeedSequence(1979)))
    means = [
        values[source.integers(0, len(values), (BLOCK, len(values)))].mean(axis=1)
        for _ in range(RESAMPLES // BLOCK)
    ]
    tail = (1 - confidence) / 2
    low, high = np.quantile(np.concatenate(means), [tail, 1 - tail])
    return float(low), float(high)
