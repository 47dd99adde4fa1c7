"""Counts what the fleet's losses are made of: late starts by cause, and what cold real servers are sent.

An attempt is late if it has not started within the module's patience with its class.  The cause is what the
module could see as it chose: nothing here changes a decision."""

from __future__ import annotations

from typing import Protocol

from violetsaddle.net.counters import Counters
from violetsaddle.policy import BUSY_SHARE_HIGH, LATE_START_SHARE, Balancer


class SentAttempt(Protocol):
    """Of an attempt: its real server, when it was sent (microseconds), and what is kept here about it."""

    server: int
    sent: int
    late_cause: str


class LateStartCounter:
    """Judges each attempt as it is sent and counts it if it starts late."""

    def __init__(self, view: Balancer, counters: Counters) -> None:
        """`view`: read, never changed."""
        self._view, self._counters = view, counters

    def sent(self, attempt: SentAttempt) -> None:
        """Called as the module sends it: its own books have the attempt already."""
        view = self._view
        worker = view.workers.get(attempt.server)
        if worker is None:
            attempt.late_cause = "stale"
            return
        if worker.cold_until > attempt.sent:
            attempt.late_cause = "cold"
            self._counters.add("sent_cold")
            if worker.cold.tokens < 0.0:
                self._counters.add("sent_cold_over")
        elif not worker.tracked:
            attempt.late_cause = "blind"
        elif view.busy_share > BUSY_SHARE_HIGH and view.fleet.most_free:  # without sizes it says nothing
            attempt.late_cause = "crowded"
        elif worker.zone != view.settings.zone:
            attempt.late_cause = "abroad"
        else:
            attempt.late_cause = "stale"

    def finished(self, attempt: SentAttempt, aim: int, now: int) -> None:
        """It has started, or ended without; the first call counts.  `aim`: its class's, microseconds."""
        if attempt.late_cause and now - attempt.sent > LATE_START_SHARE * aim:
            self._counters.add("late_" + attempt.late_cause)
        attempt.late_cause = ""
