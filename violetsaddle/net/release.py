"""Gives attempts up: tells a server by DELETE that a job is not wanted, until it confirms that.

While somebody waits for the request, another attempt may follow as soon as this one counts as given up.  So
nothing but an answer to the DELETE, or a callback that tells the job's end, makes it count.  Silence, lost
connections, connects that fail and a DELETE that was written prove nothing: a 202 may have crossed the
closing, and a call that fails may have failed here.  `Servers` calls this and lends it connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as Reason

from violetsaddle.decide.proof import AttemptState, Release, confirms_release
from violetsaddle.net import http
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Attempt, Requests

S = TypeVar("S", bound="Server")


S_contra = TypeVar("S_contra", contravariant=True)


class Server(Protocol):
    """What is read of a server."""

    @property
    def address(self) -> str:
        """Host and port as a `Host` header bears them."""


class Sender(Protocol[S_contra]):
    """Brings a DELETE to a server."""

    def deliver(
        self, server: S_contra, message: Callable[[], Sequence[bytes]], fresh: bool
    ) -> Deferred[http.Message]:
        """Sends a message; no older answer is taken for its own.  `fresh`: on a new connection."""

    def why(self, reason: Reason) -> str:
        """Why there was no answer, in a few words for the log; a failure that nobody foresaw is reported."""


class _Releasing(Generic[S]):
    """One attempt that is being given up; `done` fires once it counts as such, or nobody waits any more."""

    __slots__ = ("attempt", "server", "broken", "tries", "done")

    def __init__(self, attempt: Attempt, server: S, broken: bool) -> None:
        """`broken`: its connection was reset before an answer."""
        self.attempt, self.server, self.broken, self.tries = attempt, server, broken, 0
        self.done: Deferred[None] = Deferred()


class Releases(Generic[S]):
    """All attempts of a node that are being given up."""

    def __init__(
        self,
        sender: Sender[S],
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
    ) -> None:
        """`sender`: brings DELETEs to servers."""
        self._sender, self._limits, self._deadlines = sender, limits, deadlines
        self._counters, self._requests = counters, requests

    def begin(self, attempt: Attempt, server: S, broken: bool) -> Deferred[None]:
        """Sends DELETEs until one is confirmed, the attempt has ended otherwise, or nobody waits and
        `delete_tries` were lost."""
        self._counters.add("deletes")
        releasing = _Releasing(attempt, server, broken)
        self._delete(releasing)
        return releasing.done

    def _delete(self, releasing: _Releasing[S]) -> None:
        releasing.tries += 1
        server, job = releasing.server, releasing.attempt.job
        fresh = releasing.tries > 1 or self._overtakes(releasing.attempt)
        deleting = self._sender.deliver(
            server, lambda: [http.request("DELETE", f"/jobs/{job}", server.address)], fresh
        )
        # A kept connection may have fallen silent.
        soon = releasing.broken or (not fresh and self._requests.is_awaited(releasing.attempt))
        wait = self._limits.delete_first if soon else self._limits.give_up
        late = self._deadlines.after(wait, deleting.cancel)

        def over(result: Any) -> None:
            self._deadlines.drop(late)
            self._over(releasing, result)

        deleting.addBoth(over)

    def _overtakes(self, attempt: Attempt) -> bool:
        """Whether a DELETE on a kept connection may be read before the job and another attempt may follow.

        A server that has not answered may not have accepted the job's own connection.  One that is made after
        it is accepted after it."""
        return (
            attempt.on_new_connection
            and attempt.state is AttemptState.SENT
            and self._requests.is_awaited(attempt)
        )

    def _over(self, releasing: _Releasing[S], result: Any) -> None:
        """A DELETE has its answer, or a `Reason` why there is none."""
        detail = self._sender.why(result) if isinstance(result, Reason) else str(result.status)
        if not isinstance(result, Reason) and confirms_release(result.status, releasing.tries > 1):
            self._finish(releasing, Release.CONFIRMED, detail)
        elif self._goes_on(releasing, result):
            self._counters.add("deletes_again")
            pause = self._limits.delete_pause * min(releasing.tries - 1, self._limits.delete_tries) + 1
            self._deadlines.after(pause, lambda: self._delete(releasing))
        else:
            self._finish(releasing, Release.UNCONFIRMED, detail)

    def _goes_on(self, releasing: _Releasing[S], result: Any) -> bool:
        """Whether another DELETE follows one that was not confirmed."""
        # Guards against a second copy: a server that took the job still has it, though it can't be reached.
        if self._requests.is_awaited(releasing.attempt):
            return True
        silent = isinstance(result, Reason) and isinstance(result.value, CancelledError)
        return releasing.tries < self._limits.delete_tries and not silent

    def _finish(self, releasing: _Releasing[S], release: Release, detail: str) -> None:
        attempt = releasing.attempt
        attempt.release = release
        self._requests.audit.released(attempt, self._requests.is_awaited(attempt), releasing.tries, detail)
        releasing.done.callback(None)
