"""Shows what the judge's word is worth: the program as it is keeps every rule on many drawn days, and each
planted fault breaks its own on one of few.  To be run in a checkout: the faults are data of its tests.

    python -m violetsaddle.lab.soundness [--days 500] [--fault-days 200] [--processes 4] [--only FAULT]

It takes some ten minutes of four cores."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import count, islice
from typing import NamedTuple

import click
from rich.console import Console

from violetsaddle.lab import tables
from violetsaddle.lab.experiment import Case, repeat
from violetsaddle.lab.pool import Pool, cores, run_many
from violetsaddle.lab.result import Played

SECONDS = 10.0  # of each day
REST = ("reload", "split", "roster", "lies", "rude", "slow", "crash-burst")
See = Callable[[Played], None]


class Found(NamedTuple):
    """What the hunt for a planted fault came to."""

    rule: str
    seed: int  # 0: no day broke the rule
    days: int  # played until then
    first: tuple[str, ...]  # the rules that the first broken day breaks


def mixture(tree: str = "") -> Iterator[Case]:
    """Days without end: every second one a storm, of the others each second one a city."""
    for number in count(1):
        turn, place = divmod(number - 1, len(REST))
        for name, seed in (
            ("storm", 2 * number - 1),
            ("city", number),
            ("storm", 2 * number),
            (REST[place], turn + 1),
        ):
            yield Case(name, seed, seconds=SECONDS, tree=tree)


def broken(cases: Iterable[Case], processes: int, see: See) -> list[Played]:
    """Plays all days; gives those that broke a rule or could not be played."""
    bad = []
    for played in run_many(cases, processes):
        see(played)
        if played.result.violations or not played.result.valid:
            bad.append(played)
    return bad


def hunted(pool: Pool, rule: str, scenario: str, tree: str, days: int) -> Found:
    """The first day on which the checkout `tree` breaks the rule."""
    first: tuple[str, ...] = ()
    cases = (Case(scenario, seed, seconds=SECONDS, tree=tree) for seed in range(1, days + 1))
    for played in pool.play(cases):
        rules = played.result.rules
        first = first or tuple(rules)
        if rule in rules:
            return Found(rule, played.result.seed, played.result.seed, first)
    return Found(rule, 0, days, first)


def _kept(console: Console, days: int, processes: int, tree: str) -> bool:
    asked: Counter[str] = Counter()
    told: Counter[str] = Counter()

    def see(played: Played) -> None:
        one = played.result
        asked[one.scenario] += 1
        if one.violations or not one.valid:
            told[one.scenario] += 1
            text = ", ".join(one.rules) or one.error or one.void.strip().splitlines()[-1]
            again = repeat(Case(one.scenario, one.seed, seconds=SECONDS, tree=tree))
            console.print(f"{again}: {text}", soft_wrap=True, markup=False, highlight=False)

    bad = broken(islice(mixture(tree), days), processes, see)
    rows = [[name, count, count - told[name]] for name, count in asked.items()]
    console.print(
        tables.grid(
            "The program as it is",
            ["scenario", "days", "kept all rules"],
            [*rows, ["all", days, days - len(bad)]],
        )
    )
    return not bad


def _named(console: Console, days: int, processes: int, only: tuple[str, ...]) -> bool:
    from tests.faults import apply

    rows, fine = [], True
    for name in only or apply.names():
        # A pool each: one process can be turned to one checkout only.
        with tempfile.TemporaryDirectory() as tree, Pool(processes) as pool:
            fault = apply.plant(name, tree)
            found = hunted(pool, fault.rule, fault.scenario, tree, days)
        fine = fine and bool(found.seed)
        rows.append(
            [name, found.rule, fault.scenario, found.seed or None, found.days, ", ".join(found.first) or None]
        )
        console.print(
            f"{name}: "
            + (
                f"{found.rule} on day {found.seed} of {fault.scenario}"
                if found.seed
                else f"no {found.rule} on {days} days of {fault.scenario}"
            ),
            markup=False,
            highlight=False,
        )
    console.print(
        tables.grid(
            "Planted faults",
            ["fault", "rule", "scenario", "seed", "days", "broken on the first bad day"],
            rows,
        )
    )
    return fine


@click.command()
@click.option("--days", default=500, show_default=True, help="Days for the program as it is; 0: none.")
@click.option("--fault-days", default=200, show_default=True, help="Days for each fault; 0: none.")
@click.option("--processes", default=min(4, cores()), show_default=True)
@click.option("--tree", default="", metavar="DIRECTORY", help="Another checkout's program as it is.")
@click.option("--only", multiple=True, metavar="FAULT", help="These faults only.")
def main(days: int, fault_days: int, processes: int, tree: str, only: tuple[str, ...]) -> None:
    """Ends with status 1 if a rule was broken by the program as it is, or a fault not found."""
    console, fine = Console(), True
    if days:
        fine = _kept(console, days, processes, tree)
    if fault_days:
        fine = _named(console, fault_days, processes, only) and fine
    raise SystemExit(0 if fine else 1)


if __name__ == "__main__":
    main()
