"""Counts late starts of attempts by cause, and attempts that are sent to cold real servers.

An attempt is late if it has not started within `LATE_START_SHARE` of its class's aim.  The cause is what the
decision module could see when it chose the real server.  These counts do not influence any decision."""

from __future__ import annotations

from typing import Protocol

from violetsaddle.net.counters import Counters
from violetsaddle.policy import BUSY_SHARE_HIGH, LATE_START_SHARE, Balancer


class SentAttempt(Protocol):
    """The properties of an attempt that are used here; `sent`: microseconds.

    `late_cause` is the cause to count if it starts late, and empty once it has started or ended.
    """

    server: int
    sent: int
    late_cause: str


class LateStartCounter:
    """Notes the likely cause when an attempt is sent, and counts it if the attempt starts late."""

    def __init__(self, balancer: Balancer, counters: Counters) -> None:
        """`balancer`: only read, never changed."""
        self._balancer, self._counters = balancer, counters

    def sent(self, attempt: SentAttempt) -> None:
        """The decision module is sending an attempt, which its state already includes."""
        balancer = self._balancer
        worker = balancer.workers.get(attempt.server)
        if worker is None:
            attempt.late_cause = "stale"
            return
        if worker.cold_until > attempt.sent:
            attempt.late_cause = "cold"
            self._counters.add("sent_cold")
            if worker.cold_budget.tokens < 0.0:
                self._counters.add("sent_cold_over")
        elif not worker.tracked:
            attempt.late_cause = "blind"
        elif balancer.busy_share > BUSY_SHARE_HIGH and balancer.fleet.most_free:  # meaningless without sizes
            attempt.late_cause = "crowded"
        elif worker.zone != balancer.settings.zone:
            attempt.late_cause = "abroad"
        else:
            attempt.late_cause = "stale"

    def finished(self, attempt: SentAttempt, aim: int, now: int) -> None:
        """The attempt has started, or ended without a start; only the first call counts.

        `aim`: its class's aim, microseconds; `now`: microseconds.
        """
        if attempt.late_cause and now - attempt.sent > LATE_START_SHARE * aim:
            self._counters.add("late_" + attempt.late_cause)
        attempt.late_cause = ""
