"""Records, by request id, why attempts are given up or repeated, and why requests are refused after one.

`Requests`, `Servers` and the client connections call it; it makes no decisions.  With an operator file, each
record is an event of that log.  Without one, it is a line on standard error, at most
`MAX_LINES_PER_SECOND`; the rest is counted as `records_left_out`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from violetsaddle.decide.proof import AttemptState, Release
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.limits import MS, SECOND

MAX_LINES_PER_SECOND = 20


class RecordedAttempt(Protocol):
    """The properties of an attempt that are recorded."""

    job: str
    number: int
    server_name: str
    sent: int  # microseconds
    state: AttemptState
    last_state: AttemptState
    outcome: str
    release: Release


class Audit:
    """Writes the records of one node."""

    def __init__(self, counters: Counters, deadlines: Deadlines) -> None:
        """`deadlines`: provides the time."""
        self._counters, self._deadlines = counters, deadlines
        self._second, self._lines_written = 0, 0

    def repeated(self, effect: str, attempts: Sequence[RecordedAttempt]) -> None:
        """Another attempt of a request is about to be sent; it is the last of `attempts`."""
        attempt = attempts[-1]
        self._counters.add(f"repeats_{effect}_after_{attempts[-2].outcome}")
        self._record(
            "attempt repeated",
            request=attempt.job,
            effect=effect,
            attempt=attempt.number,
            earlier=self._summary(attempts[:-1]),
        )

    def released(self, attempt: RecordedAttempt, wanted: bool, tries: int, detail: str) -> None:
        """An attempt was given up.

        `wanted`: a client still waits for its request; `tries`: the number of DELETEs sent; `detail`: the
        status of the last one, or why it has none.
        """
        self._counters.add(f"releases_{attempt.release}")
        if wanted:
            self._record(
                "attempt given up",
                request=attempt.job,
                attempt=attempt.number,
                server=attempt.server_name,
                life=attempt.state,
                release=attempt.release,
                tries=tries,
                detail=detail,
                after_ms=self._ms_since_sent(attempt),
            )

    def refused(self, effect: str, attempts: Sequence[RecordedAttempt]) -> None:
        """A request is refused after `attempts`; there is at least one."""
        self._counters.add(f"refusals_{effect}_after_{attempts[-1].outcome}")
        self._record(
            "refused after an attempt",
            request=attempts[-1].job,
            effect=effect,
            earlier=self._summary(attempts),
        )

    def closed_unanswered(self, job: str, why: str) -> None:
        """This node closes a client's connection before the answer was sent; `why`: for the log."""
        self._counters.add("closed_unanswered")
        self._record("closed unanswered", request=job, why=why)

    def broken(self, attempt: RecordedAttempt, written: bool, why: str) -> None:
        """An attempt's connection has ended before a complete answer.

        `written`: the request's last byte had been sent; `why`: the result of `transports.why_lost`.
        """
        self._counters.add("attempts_broken")
        self._record(
            "attempt's connection ended",
            request=attempt.job,
            attempt=attempt.number,
            server=attempt.server_name,
            written=written,
            why=why,
            after_ms=self._ms_since_sent(attempt),
        )

    def not_connected(self, server: str, why: str) -> None:
        """A connection to a real server failed; `why`: the symbol of the error, or a few words."""
        self._counters.add(f"dials_failed_{why.replace(' ', '_').lower()}")

    def call_failed(self, call: str, error: str, **about: object) -> None:
        """A system call on a connection failed; `error`: its symbol; `about`: tells which connection."""
        self._counters.add(f"calls_failed_{call}_{error.lower()}")
        self._record("system call failed", call=call, error=error, **about)

    def _ms_since_sent(self, attempt: RecordedAttempt) -> int:
        return (self._deadlines.now() - attempt.sent) // MS

    def _summary(self, attempts: Sequence[RecordedAttempt]) -> str:
        """The attempts as `number:server:state>outcome:release:ms since sent`, separated by commas."""
        return ",".join(
            f"{attempt.number}:{attempt.server_name or '-'}:{attempt.last_state}>{attempt.outcome}"
            f":{attempt.release}:{self._ms_since_sent(attempt)}"
            for attempt in attempts
        )

    def _record(self, event: str, **fields: object) -> None:
        if self._counters.has_log:
            self._counters.event(event, "info", **fields)
            return
        second = self._deadlines.now() // SECOND
        if second != self._second:
            self._second, self._lines_written = second, 0
        if self._lines_written >= MAX_LINES_PER_SECOND:
            self._counters.add("records_left_out")
            return
        self._lines_written += 1
        self._counters.say(" ".join([event + ":", *(f"{key}={value}" for key, value in fields.items())]))
