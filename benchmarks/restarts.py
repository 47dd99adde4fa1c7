"""What a restart of nodes costs and where it is lost, cold and warm, over paired days.

    python -m benchmarks.restarts reload --seeds 24 --kept disk=disk.toml --kept peers=peers.toml

Plays each day without an operator file (`cold`) and with each one named.  Prints the worth served within 10 s
of a start, with bootstrap intervals of the differences, then the loss around restarts by where it arose."""

from __future__ import annotations

import argparse
import json
import sys
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from multiprocessing import get_context
from typing import NamedTuple

import numpy as np

from violetsaddle.lab import experiment, judge, score
from violetsaddle.lab.book import Book, Try
from violetsaddle.lab.compare import interval
from violetsaddle.world.day import SECOND

COLD = "cold"
FIRST, AFTER = 2 * SECOND, 10 * SECOND
PLACES = (
    "same node again",
    "no listener",
    "cut at the end",
    "starting: refused",
    "starting: else",
    "later: refused",
    "later: else",
    "other nodes: refused",
    "other nodes: else",
)


class Absence(NamedTuple):
    """A node told to end at `since`, gone from `gone` to `ready`; times of the day."""

    node: int
    hall: int
    since: int
    gone: int
    ready: int


class Told(NamedTuple):
    """What one day gives.  Worth is as `lab.score` has it."""

    worths: dict[str, float]
    lost: dict[str, float]  # worth, by `PLACES`
    asked: float  # in the halls and times of absences and after them
    base: float  # share lost at all other times and places
    absent: float  # node-seconds without a listener
    violations: int
    counters: dict[str, int]


def absences(book: Book) -> Iterator[Absence]:
    for node, lives in sorted(book.nodes.items()):
        since = gone = -1
        for life in lives:
            if life.what == "term":
                since = life.at
            elif life.what in ("kill", "ended", "crashed"):
                gone = life.at
                since = life.at if since < 0 else since
            elif life.what == "ready" and life.life and gone >= 0:
                yield Absence(node, book.day.nodes[node], since, gone, life.at)
                since = gone = -1


def place(book: Book, tries: Sequence[Try], at: int, spans: Sequence[Absence]) -> str:
    """Where a lost item was lost: by its tries, the likeliest first."""
    missed = [one.node for one in tries if one.sent < 0]
    if len(missed) > len(set(missed)):
        return PLACES[0]
    last = tries[-1] if tries else None
    if last is None or last.sent < 0:
        return PLACES[1]
    ending = [s for s in spans if last.node == s.node and last.sent <= s.gone]
    if any(last.final is None or last.final.at >= s.since for s in ending):
        return PLACES[2]
    refused = last.final is not None and last.final.status in (429, 503)
    for span in spans:
        if last.node == span.node and 0 <= last.sent - span.ready < AFTER:
            return PLACES[(3 if last.sent - span.ready < FIRST else 5) + (not refused)]
    return PLACES[7 + (not refused)]


def day(job: tuple[str, int, str, int, int, float]) -> Told:
    scenario, seed, operator, nodes, boxes, seconds = job
    case = experiment.Case(
        scenario=scenario, seed=seed, operator=operator, nodes=nodes, boxes=boxes, seconds=seconds
    )
    outcome = experiment.play(case)
    if outcome.void:
        raise SystemExit(f"{job}: {outcome.void}")
    figures = score.figures(outcome)
    book = Book(outcome)
    counted = score._Counted(outcome, None)
    spans = list(absences(book))
    lost: dict[str, float] = defaultdict(float)
    asked = other = other_lost = 0.0
    for item, worth, good in zip(counted.items, counted.worth, counted.good):
        near = [s for s in spans if s.hall == item.hall and s.since <= item.at < s.ready + AFTER]
        if not near:
            other += worth
            other_lost += 0.0 if good else worth
            continue
        asked += worth
        if not good:
            lost[place(book, book.by_item.get(item.number, ()), item.at, near)] += worth
    total: dict[str, int] = defaultdict(int)
    for counters in outcome.counters:
        for name, count in counters.items():
            total[name] += count
    worths = {
        "after starts": figures.after_starts,
        "goodput": figures.goodput,
        "whole": figures.whole,
        "window": figures.window,
        "starts": float(figures.starts),
    }
    broken = len(judge.judge(outcome).violations)
    return Told(
        worths,
        dict(lost),
        asked,
        other_lost / other if other else 0.0,
        sum(s.ready - s.gone for s in spans) / SECOND,
        broken,
        dict(total),
    )


def spread(values: Sequence[float]) -> str:
    low, high = interval(np.array(values, dtype=np.float64))
    return f"{np.mean(values):+.4f} ({low:+.4f} .. {high:+.4f}){' *' if low > 0 or high < 0 else ''}"


def report(kept: dict[str, list[Told]], say: Callable[[str], object]) -> None:
    cold = kept[COLD]
    chosen = [n for n, one in enumerate(cold) if one.worths["starts"]]
    say(
        f"{len(chosen)} of {len(cold)} days have starts, {sum(o.worths['starts'] for o in cold):.0f} in all; "
        f"nobody listened at a node for {np.mean([cold[n].absent for n in chosen]):.2f} s a day"
    )
    for name, days in kept.items():
        say(f"{name}: violations {sum(one.violations for one in days)}")
        for figure in ("after starts", "goodput", "window"):
            values = [days[n].worths[figure] for n in chosen]
            beside = [v - cold[n].worths[figure] for v, n in zip(values, chosen)]
            more = "" if name == COLD else f"   less cold: {spread(beside)}"
            say(f"  {figure:13s} {np.mean(values):.4f}{more}")
        asked = sum(days[n].asked for n in chosen)
        say(
            f"  lost around restarts {sum(sum(days[n].lost.values()) for n in chosen) / asked:.4f} of "
            f"what was asked there, elsewhere {np.mean([days[n].base for n in chosen]):.4f}"
        )
        for what in PLACES:
            share = [days[n].lost.get(what, 0.0) / (days[n].asked or 1.0) for n in chosen]
            low, high = interval(np.array(share))
            say(f"    {what:22s} {np.mean(share):.4f} ({low:.4f} .. {high:.4f})")
        counts = {
            k: sum(one.counters.get(k, 0) for one in days)
            for k in sorted({k for one in days for k in one.counters if k.startswith(("warm_", "snapshot"))})
        }
        say(f"  {counts}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario")
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--kept", action="append", default=[], help="NAME=OPERATOR FILE")
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--boxes", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--json", default="")
    told = parser.parse_args()
    sides = {COLD: "", **dict(word.split("=", 1) for word in told.kept)}
    seeds = range(told.first, told.first + told.seeds)
    jobs = [
        (told.scenario, seed, file, told.nodes, told.boxes, told.seconds)
        for seed in seeds
        for file in sides.values()
    ]
    played = []
    with get_context("spawn").Pool(told.processes, maxtasksperchild=4) as pool:
        for number, one in enumerate(pool.imap(day, jobs)):
            played.append(one)
            print(f"{number + 1} of {len(jobs)}", end="\r", file=sys.stderr, flush=True)
    kept = {name: played[at :: len(sides)] for at, name in enumerate(sides)}
    report(kept, print)
    if told.json:
        with open(told.json, "w") as file:
            json.dump({name: [one._asdict() for one in days] for name, days in kept.items()}, file)
    return 0


if __name__ == "__main__":
    sys.exit(main())
