"""Counts of what the node takes in, sends and answers."""

from __future__ import annotations

import sys
import traceback
from collections import Counter


class Counters:
    def __init__(self, name: str) -> None:
        self.name = name
        self._counts: Counter[str] = Counter()

    def add(self, what: str) -> None:
        self._counts[what] += 1

    def get(self, what: str) -> int:
        return self._counts[what]

    def fault(self, text: str, error: BaseException | None) -> None:
        """Counts and tells of an exception that was caught where none should be."""
        self.add("faults")
        self.say(text + ": " + "".join(traceback.format_exception(error)))

    def say(self, text: str) -> None:
        try:
            print(f"{self.name}: {text}", file=sys.stderr, flush=True)
        except OSError:
            pass  # a log that has gone away is no reason to stop serving

    def show(self) -> None:
        self.say("counters " + " ".join(f"{k}={v}" for k, v in sorted(self._counts.items())))
