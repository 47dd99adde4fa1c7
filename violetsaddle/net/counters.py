"""Counters of the node, and its access to the log."""

from __future__ import annotations

import sys
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from violetsaddle.net.outlet import LogStream

# Maps each renamed counter to its former name.  Operators' tools may read the former names, so the counters
# line shows the value under both.
FORMER_NAMES = {
    "requests": "flows",
    "attempts": "schedulings",
    "clients_gone": "askers_gone",
    "held_requests": "held_flows",
}


class Sink(Protocol):
    """Log that an operator file configures; its methods do not raise."""

    timer: Callable[[int, Callable[[], object]], object] | None  # calls a function after a delay in µs

    def say(self, text: str) -> None:
        """Logs a line for operators."""

    def fault(self, text: str, error: BaseException | None) -> None:
        """Logs an unexpected exception that was caught; `text`: what failed because of it."""

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """Logs an event of a request, an attempt or a real server; `fields`: its details."""


class Counters:
    """Counts by name since the start of the process, and writes to the log of the node."""

    def __init__(self, name: str, log: Sink | None = None) -> None:
        """`name`: prefix of the lines on standard error; `log`: used instead of standard error."""
        self.name = name
        self._log = log
        self._stderr = LogStream(sys.stderr)
        self._counts: Counter[str] = Counter()
        self.held: Callable[[], dict[str, int]] = dict  # current gauges, shown with the counts

    @property
    def has_log(self) -> bool:
        """Whether an operator file configures a log, which also gets the events."""
        return self._log is not None

    def add(self, counter: str) -> None:
        """Adds 1 to a counter."""
        self._counts[counter] += 1

    def most(self, counter: str, value: int) -> None:
        """Sets a counter to `value` if that is larger."""
        self._counts[counter] = max(self._counts[counter], value)

    def get(self, counter: str) -> int:
        """Value of a counter, 0 if it was never counted."""
        return self._counts[counter]

    def fault(self, text: str, error: BaseException | None) -> None:
        """Counts and logs an unexpected exception that was caught."""
        self.add("faults")
        if self._log is not None:
            self._log.fault(text, error)
            return
        self.say(text + ": " + "".join(traceback.format_exception(error)))

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """Logs an event of a request, an attempt or a real server; does nothing without a configured log."""
        if self._log is not None:
            self._log.event(name, level, **fields)

    def say(self, text: str) -> None:
        """Writes a line to the log; a line that can't be written is dropped."""
        if self._log is not None:
            self._log.say(text)
            return
        try:
            print(f"{self.name}: {text}", file=self._stderr, flush=True)
        except OSError:
            pass  # the node keeps serving without a log

    def show(self) -> None:
        """Logs all counters and gauges as one line, sorted by name."""
        shown = {**self._counts, **{f"held_{gauge}": value for gauge, value in self.held().items()}}
        shown.update((former, shown[name]) for name, former in FORMER_NAMES.items() if name in shown)
        self.say("counters " + " ".join(f"{name}={value}" for name, value in sorted(shown.items())))
