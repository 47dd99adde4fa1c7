"""Gives attempts up: sends DELETEs to a real server until it confirms that the job is not wanted.

While a client waits for the request, another attempt may follow as soon as this one counts as given up.  So
only an answer to the DELETE, or a callback that reports the job's end, makes it count.  Silence, lost
connections, failed connects and a DELETE that was written prove nothing: a 202 may have been on the way while
the connection closed, and a call that fails may have failed in this node.  `Servers` calls this module and
provides its connections."""

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
    """The properties of a real server that this module reads."""

    @property
    def address(self) -> str:
        """Host and port, in the form of a `Host` header."""


class Sender(Protocol[S_contra]):
    """Sends DELETEs to real servers."""

    def deliver(
        self, server: S_contra, message: Callable[[], Sequence[bytes]], fresh: bool
    ) -> Deferred[http.Message]:
        """Sends a message; the Deferred fires with its answer, never with the answer to an earlier message.

        `message`: makes the bytes to send; `fresh`: use a new connection.
        """

    def why(self, reason: Reason) -> str:
        """Describes in a few words for the log why there was no answer; reports an unexpected failure."""


class _PendingRelease(Generic[S]):
    """An attempt that is being given up; `done` fires once it counts as given up or no client waits."""

    __slots__ = ("attempt", "server", "broken", "tries", "done")

    def __init__(self, attempt: Attempt, server: S, broken: bool) -> None:
        """`broken`: the attempt's connection was reset before an answer."""
        self.attempt, self.server, self.broken, self.tries = attempt, server, broken, 0
        self.done: Deferred[None] = Deferred()


class Releases(Generic[S]):
    """Gives up the attempts of a node."""

    def __init__(
        self,
        sender: Sender[S],
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
    ) -> None:
        """`sender`: sends DELETEs to real servers."""
        self._sender, self._limits, self._deadlines = sender, limits, deadlines
        self._counters, self._requests = counters, requests

    def begin(self, attempt: Attempt, server: S, broken: bool) -> Deferred[None]:
        """Sends DELETEs until one is confirmed; returns a Deferred that fires when no more will be sent.

        Once no client waits or the attempt has ended in another way, it stops after `delete_tries` DELETEs,
        or at the first one that times out.  `broken`: the connection was reset before an answer.
        """
        self._counters.add("deletes")
        releasing = _PendingRelease(attempt, server, broken)
        self._delete(releasing)
        return releasing.done

    def _delete(self, releasing: _PendingRelease[S]) -> None:
        releasing.tries += 1
        server, job = releasing.server, releasing.attempt.job
        fresh = releasing.tries > 1 or self._overtakes(releasing.attempt)
        deleting = self._sender.deliver(
            server, lambda: [http.request("DELETE", f"/jobs/{job}", server.address)], fresh
        )
        # A reused connection may be dead: the first DELETE on it has a short timeout.
        short_wait = releasing.broken or (not fresh and self._requests.is_awaited(releasing.attempt))
        wait = self._limits.delete_first if short_wait else self._limits.give_up
        timeout = self._deadlines.after(wait, deleting.cancel)

        def completed(result: Any) -> None:
            self._deadlines.drop(timeout)
            self._delete_completed(releasing, result)

        deleting.addBoth(completed)

    def _overtakes(self, attempt: Attempt) -> bool:
        """Whether a DELETE on a reused connection may be read before the job and another attempt may follow.

        A real server that has not answered may not have accepted the job's own connection yet.  A connection
        that is opened later is accepted later.
        """
        return (
            attempt.on_new_connection
            and attempt.state is AttemptState.SENT
            and self._requests.is_awaited(attempt)
        )

    def _delete_completed(self, releasing: _PendingRelease[S], result: Any) -> None:
        """A DELETE has ended; `result`: its answer, or a `Reason` if there is none."""
        detail = self._sender.why(result) if isinstance(result, Reason) else str(result.status)
        if not isinstance(result, Reason) and confirms_release(result.status, releasing.tries > 1):
            self._finish(releasing, Release.CONFIRMED, detail)
        elif self._sends_again(releasing, result):
            self._counters.add("deletes_again")
            pause = self._limits.delete_pause * min(releasing.tries - 1, self._limits.delete_tries) + 1
            self._deadlines.after(pause, lambda: self._delete(releasing))
        else:
            self._finish(releasing, Release.UNCONFIRMED, detail)

    def _sends_again(self, releasing: _PendingRelease[S], result: Any) -> bool:
        """Whether another DELETE follows one that was not confirmed."""
        # A real server that accepted the job still has it while it is unreachable: another attempt now would
        # make a second copy.
        if self._requests.is_awaited(releasing.attempt):
            return True
        timed_out = isinstance(result, Reason) and isinstance(result.value, CancelledError)
        return releasing.tries < self._limits.delete_tries and not timed_out

    def _finish(self, releasing: _PendingRelease[S], release: Release, detail: str) -> None:
        attempt = releasing.attempt
        attempt.release = release
        self._requests.audit.released(attempt, self._requests.is_awaited(attempt), releasing.tries, detail)
        releasing.done.callback(None)
