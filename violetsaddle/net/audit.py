"""Records why attempts are given up and repeated, and why requests are refused after one, by request id.

`Requests`, `Servers` and the client connections call it; it decides nothing.  With an operator file each is
an event of that log.  Without one it is a line on standard error, at most `LINES_PER_SECOND`; the rest is
counted as `records_left_out`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from violetsaddle.decide.proof import AttemptState, Release
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.limits import MS, SECOND

LINES_PER_SECOND = 20


class Recorded(Protocol):
    """What is read of an attempt."""

    job: str
    number: int
    server_name: str
    sent: int
    state: AttemptState
    last_state: AttemptState
    outcome: str
    release: Release


class Audit:
    """The records of one node."""

    def __init__(self, counters: Counters, deadlines: Deadlines) -> None:
        """`deadlines`: gives the time."""
        self._counters, self._deadlines = counters, deadlines
        self._second, self._written = 0, 0

    def repeated(self, effect: str, attempts: Sequence[Recorded]) -> None:
        """Another attempt of a request is about to leave; it is the last of `attempts`."""
        attempt = attempts[-1]
        self._counters.add(f"repeats_{effect}_after_{attempts[-2].outcome}")
        self._record(
            "attempt repeated",
            request=attempt.job,
            effect=effect,
            attempt=attempt.number,
            earlier=self._summary(attempts[:-1]),
        )

    def released(self, attempt: Recorded, wanted: bool, tries: int, detail: str) -> None:
        """An attempt was given up.  `wanted`: its request still waits for an answer; `tries`: DELETEs sent;
        `detail`: the last one's status, or why it has none."""
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
                after_ms=self._since(attempt),
            )

    def refused(self, effect: str, attempts: Sequence[Recorded]) -> None:
        """A request is refused after these attempts, of which there is one at least."""
        self._counters.add(f"refusals_{effect}_after_{attempts[-1].outcome}")
        self._record(
            "refused after an attempt",
            request=attempts[-1].job,
            effect=effect,
            earlier=self._summary(attempts),
        )

    def closed_unanswered(self, job: str, why: str) -> None:
        """A client's connection is closed by this node although an answer is owed on it."""
        self._counters.add("closed_unanswered")
        self._record("closed unanswered", request=job, why=why)

    def broken(self, attempt: Recorded, written: bool, why: str) -> None:
        """An attempt's connection has ended before a whole answer.  `written`: its last byte had left;
        `why`: `transports.why_lost`."""
        self._counters.add("attempts_broken")
        self._record(
            "attempt's connection ended",
            request=attempt.job,
            attempt=attempt.number,
            server=attempt.server_name,
            written=written,
            why=why,
            after_ms=self._since(attempt),
        )

    def not_connected(self, server: str, why: str) -> None:
        """No connection to a server came up; `why`: the error's symbol, or a few words."""
        self._counters.add(f"dials_failed_{why.replace(' ', '_').lower()}")

    def call_failed(self, call: str, error: str, **about: object) -> None:
        """A system call on a connection failed; `error`: its symbol; `about`: whose connection it is."""
        self._counters.add(f"calls_failed_{call}_{error.lower()}")
        self._record("system call failed", call=call, error=error, **about)

    def _since(self, attempt: Recorded) -> int:
        return (self._deadlines.now() - attempt.sent) // MS

    def _summary(self, attempts: Sequence[Recorded]) -> str:
        """`number:server:life>outcome:release:ms since it was sent`, divided by commas."""
        return ",".join(
            f"{a.number}:{a.server_name or '-'}:{a.last_state}>{a.outcome}:{a.release}:{self._since(a)}"
            for a in attempts
        )

    def _record(self, event: str, **fields: object) -> None:
        if self._counters.has_log:
            self._counters.event(event, "info", **fields)
            return
        second = self._deadlines.now() // SECOND
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= LINES_PER_SECOND:
            self._counters.add("records_left_out")
            return
        self._written += 1
        self._counters.say(" ".join([event + ":", *(f"{key}={value}" for key, value in fields.items())]))
