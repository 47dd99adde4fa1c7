"""Counts of what the node takes in, sends and answers."""

from __future__ import annotations

import sys
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from violetsaddle.net.outlet import Outlet

# Counters that were renamed, with the names they had before.  Operators' tools may read the old ones, so the
# line of counters shows each under both names with the same value.
FORMER_NAMES = {
    "requests": "flows",
    "attempts": "schedulings",
    "clients_gone": "askers_gone",
    "held_requests": "held_flows",
}


class Sink(Protocol):
    """Where an operator file sends the log; none of its methods raises."""

    timer: Callable[[int, Callable[[], object]], object] | None  # runs something after so many microseconds

    def say(self, text: str) -> None:
        """A line that operators are to see."""

    def fault(self, text: str, error: BaseException | None) -> None:
        """An exception that was caught where none should be; `text`: what failed by it."""

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """Something that happened to a request, an attempt or a real server; `fields` are its details."""


class Counters:
    """Counts by name since the start, and the node's way to its log."""

    def __init__(self, name: str, log: Sink | None = None) -> None:
        """`log`: takes the lines and events instead of standard error."""
        self.name, self._log, self._outlet = name, log, Outlet(sys.stderr)
        self._counts: Counter[str] = Counter()
        self.held: Callable[[], dict[str, int]] = dict  # what is held at this moment, shown with the counts

    @property
    def has_log(self) -> bool:
        """Whether events go to a log that an operator file asks for."""
        return self._log is not None

    def add(self, what: str) -> None:
        """Counts one more."""
        self._counts[what] += 1

    def most(self, what: str, value: int) -> None:
        """Keeps the largest of the values told."""
        self._counts[what] = max(self._counts[what], value)

    def get(self, what: str) -> int:
        """0 for what was never counted."""
        return self._counts[what]

    def fault(self, text: str, error: BaseException | None) -> None:
        """Counts and tells of an exception that was caught where none should be."""
        self.add("faults")
        if self._log is not None:
            self._log.fault(text, error)
            return
        self.say(text + ": " + "".join(traceback.format_exception(error)))

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """Something that happened to a request, attempt or real server; without a log of its own, nothing."""
        if self._log is not None:
            self._log.event(name, level, **fields)

    def say(self, text: str) -> None:
        """Writes a line to the log; one that can't be written is lost without a word."""
        if self._log is not None:
            self._log.say(text)
            return
        try:
            print(f"{self.name}: {text}", file=self._outlet, flush=True)
        except OSError:
            pass  # a log that has gone away is no reason to stop serving

    def show(self) -> None:
        """Writes all counts and what is held now as one line, sorted by name."""
        shown = {**self._counts, **{f"held_{what}": count for what, count in self.held().items()}}
        shown.update((old, shown[new]) for new, old in FORMER_NAMES.items() if new in shown)
        self.say("counters " + " ".join(f"{k}={v}" for k, v in sorted(shown.items())))
