"""Draws days until one breaks a rule or loses most, then makes that day as small as it can."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import TypeAlias

from msgspec.structs import replace

from violetsaddle.lab.experiment import Case, fixed
from violetsaddle.lab.pool import Pool
from violetsaddle.lab.result import Played
from violetsaddle.world import troubles
from violetsaddle.world.day import SECOND, Day, Trouble

KEEPS = 0.8  # of what was lost on the found day must a smaller one lose
LEAST_LENGTH = SECOND
Wanted: TypeAlias = Callable[[Played], bool]
Step: TypeAlias = tuple[str, Day]  # what was made smaller, and the day


def breaks(rule: str = "") -> Wanted:
    """Whether a day breaks this rule, or any."""

    def wanted(played: Played) -> bool:
        rules = played.result.rules
        return not played.result.void and (rule in rules if rule else bool(rules))

    return wanted


def lost(played: Played) -> float:
    """Worth lost against the top, as a share of it; 0 for a day that counts for nothing."""
    value = played.result.against.get("lost", 0.0) if played.result.valid else 0.0
    return float(value) if isinstance(value, (int, float)) else 0.0


def loses(least: float) -> Wanted:
    return lambda played: lost(played) >= least > 0


def cases(case: Case, first: int, days: int) -> Iterator[Case]:
    return (replace(case, seed=seed) for seed in range(first, first + days))


def first_broken(played: Iterator[Played], see: Callable[[Played], None], rule: str = "") -> Played | None:
    """The first of the days, in their order, that breaks this rule, or any; `see` is shown each."""
    wanted = breaks(rule)
    for one in played:
        see(one)
        if wanted(one):
            return one
    return None


def worst(played: Iterator[Played], see: Callable[[Played], None]) -> Played | None:
    """The day that loses most against the top, if any loses."""
    found: Played | None = None
    for one in played:
        see(one)
        if lost(one) > (lost(found) if found else 0.0):
            found = one
    return found


class Shrinker:
    """Takes away from a day while it stays `wanted`, one step at a time, until nothing more can go.

    Steps are tried in a fixed order and the first that keeps the day wanted is taken, so that the small day
    is the same whatever the number of processes.  `best` always holds the smallest so far, for whoever is
    interrupted."""

    def __init__(self, pool: Pool, case: Case, wanted: Wanted, most: int = 300) -> None:
        """`case` is what the found day was; `most` bounds the days played."""
        self.case = fixed(case)
        self.best: Played | None = None
        self.played, self.taken = 0, list[str]()
        self._pool, self._wanted, self._most = pool, wanted, most

    @property
    def day(self) -> Day:
        assert self.case.day is not None
        return self.case.day

    def run(self, see: Callable[[str, bool], None] = lambda name, kept: None) -> None:
        """`see` is told each step tried and whether it was kept."""
        again = True
        while again and self.played < self._most:
            again = False
            for round_of in (fewer_troubles, shorter, smaller, shorter_troubles, calmer):
                while self.played < self._most and self._round(list(round_of(self.day)), see):
                    again = True

    def _round(self, steps: Sequence[Step], see: Callable[[str, bool], None]) -> bool:
        """Whether one of the steps was taken."""
        steps = [step for step in steps if step[1] != self.day and _can_be(step[1])]
        steps = steps[: self._most - self.played]
        results = self._pool.play(replace(self.case, day=day) for _, day in steps)
        for (name, day), played in zip(steps, results):
            self.played += 1
            kept = self._wanted(played)
            see(name, kept)
            if kept:
                self.case, self.best = replace(self.case, day=day), played
                self.taken.append(name)
                return True
        return False


def _can_be(day: Day) -> bool:
    try:
        troubles.check(day)
    except troubles.TroubleError:
        return False
    return True


def fewer_troubles(day: Day) -> Iterator[Step]:
    """Without all of them, without a half, without one."""
    count, size = len(day.troubles), len(day.troubles)
    while size:
        for start in range(0, count, size):
            left = day.troubles[:start] + day.troubles[start + size :]
            gone = ", ".join(t.kind for t in day.troubles[start : start + size])
            yield f"without {gone}", replace(day, troubles=left)
        size //= 2


def shorter(day: Day) -> Iterator[Step]:
    """The first half or three quarters of the day, or begun later with its troubles moved."""
    for part in (0.5, 0.75, 0.9):
        length = int(day.length * part) // 1000 * 1000
        if length >= LEAST_LENGTH:
            left = tuple(t for t in day.troubles if t.at < length)
            yield f"{length / SECOND:.3g} s long", replace(day, length=length, troubles=left)
    first = min((t.at for t in day.troubles), default=0) // 2
    if first > SECOND // 2 and day.length - first >= LEAST_LENGTH:
        left = tuple(replace(t, at=t.at - first, until=t.until - first) for t in day.troubles)
        later = replace(day, length=day.length - first, troubles=left)
        yield f"begun {first / SECOND:.3g} s later", later


def shorter_troubles(day: Day) -> Iterator[Step]:
    """Each trouble for half its time, then for fewer boxes, nodes or halls."""
    for index, trouble in enumerate(day.troubles):
        changes: list[tuple[str, Trouble]] = []
        half = (trouble.until - trouble.at) // 2 // 1000 * 1000
        if half >= SECOND // 20:
            changes.append(
                (f"{trouble.kind} for {half / SECOND:.3g} s", replace(trouble, until=trouble.at + half))
            )
        if len(trouble.boxes) > 1:
            few = trouble.boxes[: len(trouble.boxes) // 2]
            changes.append((f"{trouble.kind} of {len(few)} boxes", replace(trouble, boxes=few)))
        if len(trouble.nodes) > 1:
            few = trouble.nodes[: len(trouble.nodes) // 2]
            changes.append((f"{trouble.kind} of {len(few)} nodes", replace(trouble, nodes=few)))
        for name, changed in changes:
            left = day.troubles[:index] + (changed,) + day.troubles[index + 1 :]
            yield name, replace(day, troubles=left)


def smaller(day: Day) -> Iterator[Step]:
    """Fewer nodes, fewer boxes, less load."""
    nodes, boxes = len(day.nodes), len(day.boxes)
    for count in dict.fromkeys((1, nodes // 2, nodes - 1)):
        if 0 < count < nodes:
            yield f"{count} nodes", with_nodes(day, count)
    for count in dict.fromkeys((boxes // 4, boxes // 2, boxes - 1)):
        if 0 < count < boxes:
            yield f"{count} boxes", with_boxes(day, tuple(range(count)))
            yield f"the last {count} boxes", with_boxes(day, tuple(range(boxes - count, boxes)))
    for part in (0.25, 0.5, 0.8):
        rate = round(day.load.rate * part, 2)
        if rate >= 1:
            yield f"{rate:g} jobs a second", replace(day, load=replace(day.load, rate=rate))


def calmer(day: Day) -> Iterator[Step]:
    """Without what the world does at all times: swings, lost datagrams, streams cut into pieces, ..."""
    links, load = day.links, day.load
    yield "steady load", replace(day, load=replace(load, swing=0.0))
    yield "patient clients", replace(day, load=replace(load, leaves=0.0))
    yield "one try for each job", replace(day, load=replace(load, tries=1))
    yield "whole streams", replace(day, links=replace(links, cut_bytes=0.0))
    yield "no datagram lost", replace(day, links=replace(links, datagram_loss=0.0))
    yield "no datagram twice", replace(day, links=replace(links, datagram_twice=0.0))
    yield "even delays", replace(day, links=replace(links, jitter=0.0))
    yield "boxes that stay", replace(day, boxes=tuple(replace(b, joins=0, leaves=0) for b in day.boxes))


def with_nodes(day: Day, count: int) -> Day:
    """The first nodes only, with the troubles that concern them."""
    kept_troubles = []
    for trouble in day.troubles:
        left = tuple(node for node in trouble.nodes if node < count)
        if left or not trouble.nodes:
            kept_troubles.append(replace(trouble, nodes=left))
    nodes = day.nodes[:count]
    halls = [part if hall in nodes else 0.0 for hall, part in enumerate(day.load.halls)]
    if not sum(halls):
        halls[nodes[0]] = 1.0
    load = replace(day.load, halls=tuple(part / sum(halls) for part in halls))
    return replace(day, nodes=nodes, load=load, troubles=tuple(kept_troubles))


def with_boxes(day: Day, kept: Sequence[int]) -> Day:
    """Those boxes only, under new numbers, with the troubles that concern them."""
    place = {box: index for index, box in enumerate(kept)}
    kept_troubles = []
    for trouble in day.troubles:
        left = tuple(place[box] for box in trouble.boxes if box in place)
        if left or not trouble.boxes:
            kept_troubles.append(replace(trouble, boxes=left))
    return replace(day, boxes=tuple(day.boxes[box] for box in kept), troubles=tuple(kept_troubles))
