"""The network between places: how long a piece takes, whether it comes through, what becomes of datagrams.

No I/O: whoever carries the pieces tells the time by `at` and asks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import chain, repeat
from typing import NamedTuple

import numpy as np

from violetsaddle.world.day import Day, Trouble

CLIENTS, ROSTER = -1, -2  # halls of those that stand outside of all halls
BLOCK = 4096


class Place(NamedTuple):
    """Where a machine stands.  `box` and `node` are its index among its kind, or -1."""

    hall: int
    box: int = -1
    node: int = -1


def draws(rng: np.random.Generator) -> Callable[[], float]:
    """Uniform numbers from 0 to 1, drawn in blocks."""
    blocks = (rng.random(BLOCK).tolist() for _ in repeat(None))
    return chain.from_iterable(blocks).__next__


class Links:
    """Clients reach nodes past all cuts, for they come through the front; everybody else must pass between
    halls.  The roster is on the far side of each cut."""

    def __init__(self, day: Day, rng: np.random.Generator) -> None:
        self._spec, self._draw = day.links, draws(rng)
        kinds = ("cut", "oneway", "silence", "hall", "loss", "twice")
        self._troubles = [t for t in day.troubles if t.kind in kinds]
        self.changes: Sequence[int] = sorted({time for t in self._troubles for time in (t.at, t.until)})
        self.troubled = False  # whether `passes` can be False at all now
        self._cut_out: frozenset[int] = frozenset()
        self._cut_in: frozenset[int] = frozenset()
        self._dark: frozenset[int] = frozenset()
        self._silent: frozenset[int] = frozenset()
        self.loss, self.twice = self._spec.datagram_loss, self._spec.datagram_twice
        self._least = day.links.datagram_least
        self._most = day.links.datagram_most - self._least  # on top of it
        self._low, self._spread = 1 - self._spec.jitter, 2 * self._spec.jitter
        self.at(-1)  # before the day

    def at(self, now: int) -> None:
        """Time has come to one of `changes`."""

        def present(*kinds: str) -> list[Trouble]:
            return [t for t in self._troubles if t.kind in kinds and t.at <= now < t.until]

        self._cut_out = frozenset(t.halls[0] for t in present("cut", "oneway"))
        self._cut_in = frozenset(t.halls[0] for t in present("cut"))
        self._dark = frozenset(hall for t in present("hall") for hall in t.halls)
        self._silent = frozenset(box for t in present("silence") for box in t.boxes)
        self.loss = max([self._spec.datagram_loss, *(t.factor for t in present("loss"))])
        self.twice = max([self._spec.datagram_twice, *(t.factor for t in present("twice"))])
        self.troubled = bool(self._cut_out or self._dark or self._silent)

    def silent(self, place: Place) -> bool:
        """Nothing goes in or out there now."""
        return place.box in self._silent or place.hall in self._dark

    def passes(self, source: Place, to: Place) -> bool:
        """Whether what leaves now arrives."""
        if not self.troubled:
            return True
        if self.silent(source) or self.silent(to):
            return False
        if source.hall == to.hall or source.hall == CLIENTS or to.hall == CLIENTS:
            return True
        return source.hall not in self._cut_out and to.hall not in self._cut_in

    def base(self, source: Place, to: Place) -> int:
        """Microseconds one way, without jitter."""
        if source.hall == CLIENTS or to.hall == CLIENTS:
            return self._spec.client
        return self._spec.same if source.hall == to.hall else self._spec.cross

    def delay(self, base: int) -> int:
        """Microseconds that a piece takes, around `base` by the jitter."""
        return int(base * (self._low + self._spread * self._draw()))

    def gap(self, base: int) -> int:
        """Microseconds between two parts of a piece that fell apart."""
        return int(base * self._draw())

    def cuts(self, data: bytes) -> list[int]:
        """Where a write of several bytes falls apart: none, or up to three places in order, a third of them
        within the first line end."""
        draw = self._draw
        size = len(data)
        if size < 2 or draw() >= self._spec.cut_bytes:
            return []
        places = {1 + int(draw() * (size - 1)) for _ in range(1 + int(draw() * 3))}
        if draw() < 1 / 3 and 0 <= (end := data.find(b"\r\n")) < size - 1:
            places.add(end + 1)
        return sorted(places)

    def datagram(self, source: Place, to: Place) -> list[int]:
        """When it arrives, microseconds from now: nothing if it is lost, two times if it comes twice."""
        fate = self._draw()
        if fate < self.loss or (self.troubled and not self.passes(source, to)):
            return []
        first = self._least + int(self._draw() * self._most)
        if fate < 1 - self.twice:
            return [first]
        return [first, self._least + int(self._draw() * self._most)]
