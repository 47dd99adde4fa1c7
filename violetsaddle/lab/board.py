"""What somebody who watches a day being played wants to know at a moment."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from violetsaddle.lab import ids, series
from violetsaddle.lab.records import Answer, BoxLife, BoxLoad, Record, Sent
from violetsaddle.lab.score import limit
from violetsaddle.world import troubles
from violetsaddle.world.clients import items
from violetsaddle.world.day import SECOND, Day, Item

WINDOW = 2 * SECOND  # rates and latencies are of so long
KINDS = ("asked", "served", "late", "refused", "failed")  # late: served, but after its client's aim
STATES = {
    "up": "up",
    "normal": "up",
    "warm": "up",
    "back": "up",
    "cold": "cold",
    "down": "down",
    "fell": "down",
    "draining": "draining",
    "removed": "gone",
    "silent": "silent",
    "slow": "slow",
}


@dataclass
class BoxNow:
    name: str
    hall: str
    slots: int
    state: str = "up"
    running: int = 0
    waiting: int = 0


class Board:
    """Sees records, which may come a little out of order."""

    def __init__(self, day: Day) -> None:
        self.day, self.now = day, 0
        self.boxes = [
            BoxNow(
                box.name,
                day.halls[box.hall],
                box.slots,
                "away" if box.joins else "cold" if box.started < 0 else "up",
            )
            for box in day.boxes
        ]
        self.sums: Counter[str] = Counter()
        self._items: Sequence[Item] = items(day)
        self._recent: deque[tuple[int, str, int]] = deque()  # time, kind, latency or 0

    def see(self, record: Record) -> None:
        self.now = max(self.now, record.at)
        if isinstance(record, BoxLoad):
            box = self.boxes[record.box]
            box.running, box.waiting = record.running, record.waiting
        elif isinstance(record, BoxLife):
            box = self.boxes[record.box]
            box.state = STATES.get(record.what, record.what)
            if box.state in ("down", "gone"):
                box.running = box.waiting = 0
        elif isinstance(record, Sent):
            self._count(record.at, "asked")
        elif kind := series.ended(record):
            self._end(record, kind)

    def _end(self, record: Any, kind: str) -> None:
        latency = 0
        if kind == "served" and isinstance(record, Answer):
            found = ids.read(self.day.seed, record.txn)
            if found is not None and found[0] < len(self._items):
                item = self._items[found[0]]
                latency = max(1, record.at - item.at)
                kind = "late" if record.at > limit(self.day, item) else kind
        self._count(record.at, "failed" if kind == "lost" else kind, latency)

    def _count(self, at: int, kind: str, latency: int = 0) -> None:
        self.sums[kind] += 1
        self._recent.append((at, kind, latency))
        while self._recent[0][0] < self.now - WINDOW:
            self._recent.popleft()

    def rates(self) -> dict[str, float]:
        """Of each kind how many a second there are at present."""
        counts = Counter(kind for at, kind, _ in self._recent if at >= self.now - WINDOW)
        seconds = min(WINDOW, max(self.now, SECOND)) / SECOND
        return {kind: counts[kind] / seconds for kind in KINDS}

    def latencies(self) -> tuple[float, float]:
        """p50 and p99 of what was served lately, milliseconds; not numbers where nothing was."""
        histogram = series.histogram()
        for at, _, latency in self._recent:
            if latency and at >= self.now - WINDOW:
                histogram.record_value(min(latency, series.LONGEST))
        found = series.percentiles(histogram)
        return found[0], found[2]

    def on(self) -> list[str]:
        """The troubles that are on, in words."""
        return [
            troubles.text(one, self.day).partition(": ")[2]
            for one in self.day.troubles
            if one.at <= self.now < one.until
        ]
