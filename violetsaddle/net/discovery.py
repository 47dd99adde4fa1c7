"""Watches the server list of the discovery service by HTTP long polling."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.net import http
from violetsaddle.net.connections import BrokenError, NotConnectedError, ServerConnection, dial
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Clock, Deadlines, Reactor
from violetsaddle.net.limits import MS, Limits
from violetsaddle.net.requests import Requests
from violetsaddle.net.server_list import BadListError, ServerListReader
from violetsaddle.net.servers import Servers

MAX_LATE_CALLS = 2  # that have timed out and are still open; each may hold a whole list
MAX_TIMEOUT_DOUBLINGS = 2  # after calls that timed out the response timeout grows: 1.1 s, 2.2 s, 4.4 s


class CallTimedOutError(Exception):
    """A call was not answered in time.  It stays open for a while, as its answer may still arrive."""


class _Call:
    """A call to discovery."""

    __slots__ = ("connection", "base", "generation", "exchange", "outcome")

    def __init__(self, connection: ServerConnection, base: int | None, generation: int) -> None:
        """`base`: the version that the answer builds on, None: the whole list was asked for; `generation`:
        that of the watch that makes the call."""
        self.connection, self.base, self.generation = connection, base, generation
        self.exchange: Deferred[http.Message] | None = None
        # The answer, for the watch.  Fails with `CallTimedOutError` if the answer does not come in time.
        self.outcome: Deferred[http.Message] = Deferred(lambda _: self.abandon())

    def abandon(self) -> None:
        """Closes the connection; an answer is not taken any more."""
        if self.exchange is not None:
            self.exchange.cancel()


class Discovery:
    """Client of the discovery service: polls for changes of the server list and applies them.

    Implements `requests.DiscoveryPoller`."""

    def __init__(
        self,
        reactor: Reactor,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
        servers: Servers,
        at: tuple[str, int],
        zones: Sequence[str],
        kinds: Sequence[str],
        clock: Clock,
    ) -> None:
        """`at`: host and port of discovery; `zones`, `kinds`: names, each at the index that the decision
        module uses for it."""
        self._reactor = reactor
        self._limits = limits
        self._deadlines = deadlines
        self._counters = counters
        self._requests = requests
        self._host, self._port = at
        self._reader = ServerListReader(requests, servers, zones, kinds, clock)
        self._version: int | None = None  # of the current list; None: no list yet
        self._connection: ServerConnection | None = None
        self._watching = False
        self._watch_task: Deferred[None] | None = None
        self._generation = 0  # raised by `move`: a cancelled watch must not change the state of the new one
        self._stopped = False
        self._last_call_failed = False
        self._timeouts = 0  # consecutive calls that timed out, after a call that failed
        # Calls that timed out and may still be answered, the earliest first.  Each keeps its place in the
        # queue of a slow discovery, while another call is made in case this one was lost.
        self._late_calls: list[_Call] = []
        self._last_success = deadlines.now()  # when the current list was last confirmed
        # Called with each list that is applied and the `host:port` that it came from.
        self.observers: list[Callable[[Any, str], object]] = []

    def take(self, message: Any, kind: str | None = None) -> None:
        """Applies `message`, a decoded server list or a list of changes.

        `kind`: event kind for the decision module; None: a snapshot or a diff, as the message says.
        Raises `BadListError` if the message is not valid.  Then only its drained and removed servers are
        applied."""
        update = self._reader.read(message)
        self._version = update.version
        if kind is None:
            self._counters.most("list_age_most_ms", (self._deadlines.now() - self._last_success) // MS)
        for observer in self.observers:
            observer(message, f"{self._host}:{self._port}")
        self._reader.apply(update, kind)

    def watch(self) -> None:
        """Starts to poll for the list and its changes, unless it already polls or was stopped."""
        if self._watching or self._stopped:
            return
        self._watching = True
        self._watch_task = Deferred.fromCoroutine(self._watch(self._generation))
        self._watch_task.addErrback(self._on_watch_error, self._generation)

    def move(self, at: tuple[str, int]) -> None:
        """Switches to discovery at another address and requests the full list there, because its versions
        may differ."""
        if at == (self._host, self._port):
            return
        self._host, self._port = at
        self._version, self._timeouts = None, 0
        self._restart(None)

    def _restart(self, connection: ServerConnection | None) -> None:
        """Gives up all calls and starts the watch again.

        `connection`: an open connection to discovery to use; None: opens a new one."""
        self._generation += 1
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._abandon_late_calls()
        self._close_connection()
        self._connection, self._watching = connection, False
        self.watch()

    def stop(self) -> None:
        """Closes the connections and sends no further calls."""
        self._stopped = True
        self._abandon_late_calls()
        self._close_connection()

    def _abandon_late_calls(self) -> None:
        late_calls, self._late_calls = self._late_calls, []
        for call in late_calls:
            call.abandon()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
            self._connection = None

    def _on_watch_error(self, reason: Reason, generation: int) -> None:
        """Handles an unexpected exception like a failed call: the module starts the watch again."""
        self._counters.fault("the watch failed", reason.value)
        self._on_watch_end(generation)

    def _on_watch_end(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._watching, self._last_call_failed = False, True
        self._close_connection()
        if not self._stopped:
            self._requests.listed(api.LIST_ERROR, ())

    async def _watch(self, generation: int) -> None:
        """Sends the next call as soon as the response to the last is applied, until a call fails."""
        try:
            while not self._stopped:
                response = await self._call()
                if response.status != 200:
                    self._counters.add("watch_refused")
                    self._counters.event("watch refused", "warning", status=response.status)
                    break
                previous_version = self._version
                self.take(json.loads(bytes(response.body)))
                self._note_success()
                if self._version == previous_version:
                    # Avoids a busy loop if discovery answers at once without changes.
                    await self._pause()
        except (NotConnectedError, BrokenError, CancelledError, CallTimedOutError):
            error_text = self._connection.parse_error if self._connection is not None else ""
            if generation == self._generation and error_text:
                # The current list stays in use.
                self._counters.add("watch_bad")
                self._counters.say(
                    f"discovery's answer can't be taken: {error_text}"
                    f" (a list may hold {self._limits.list_body} bytes)"
                )
            elif generation == self._generation:
                self._counters.add("watch_broken")
                self._counters.event("watch broken", "warning", at=f"{self._host}:{self._port}")
        except (BadListError, ValueError, RecursionError) as error:
            self._report_bad_list(error)
        self._on_watch_end(generation)

    def _pause(self) -> Deferred[None]:
        elapsed: Deferred[None] = Deferred()
        self._deadlines.after(self._limits.watch_pause, lambda: elapsed.callback(None))
        return elapsed

    async def _call(self) -> http.Message:
        if self._connection is None or not self._connection.open:
            self._connection = await dial(
                self._reactor,
                self._deadlines,
                self._limits.dial,
                self._host,
                self._port,
                lambda: ServerConnection(self._limits, lambda _: None, self._limits.list_body),
            )
        target = "/discovery/hosts"
        # Version 0 is a valid version: without `after`, each call would return the full list at once.
        # After a failure the wait is short: missed changes may be due soon, and discovery may stop answering
        # again.  But a node that has a list never requests the full one: its size costs discovery more than
        # the call, and forty nodes that request it keep discovery overloaded.
        # An overloaded discovery queues calls for an unknown time.  So the timeout grows, or the calls of
        # many nodes would keep it overloaded.
        timeout = response_timeout = self._limits.ask << min(self._timeouts, MAX_TIMEOUT_DOUBLINGS)
        if self._version is not None:
            wait = self._limits.doubt_wait if self._last_call_failed else self._limits.watch_wait
            timeout = wait + (response_timeout if self._last_call_failed else self._limits.watch_grace)
            target += f"?after={self._version}&wait_ms={wait // MS}"
        self._counters.add("watch_calls")
        call = _Call(self._connection, self._version, self._generation)
        call.exchange = self._connection.exchange(
            [http.request("GET", target, f"{self._host}:{self._port}")], kept_body=self._limits.list_body
        )
        call.exchange.addCallbacks(
            self._on_answer, self._on_call_failed, callbackArgs=(call,), errbackArgs=(call,)
        ).addErrback(lambda reason: self._counters.fault("a late answer failed", reason.value))
        timer = self._deadlines.after(timeout, lambda: self._on_timeout(call))
        try:
            return await call.outcome
        finally:
            self._deadlines.drop(timer)

    def _on_answer(self, answer: http.Message, call: _Call) -> None:
        if call in self._late_calls:
            self._late_calls.remove(call)
            self._take_late(answer, call)
        elif not call.outcome.called:
            call.outcome.callback(answer)

    def _on_call_failed(self, reason: Reason, call: _Call) -> None:
        if call in self._late_calls:
            self._late_calls.remove(call)
        elif not call.outcome.called:
            call.outcome.errback(reason)

    def _on_timeout(self, call: _Call) -> None:
        """Ends the wait of the watch for an answer; the answer is still taken if it comes soon after.

        The first timeout only shows that the watch stopped working.  Each one that follows a failed call
        makes the timeout of the next call longer."""
        self._timeouts += self._last_call_failed
        if len(self._late_calls) >= MAX_LATE_CALLS:
            call.abandon()
            return
        self._late_calls.append(call)
        self._connection = None  # the next call goes on another one
        self._deadlines.after(self._limits.late_answer, lambda: self._on_late_timeout(call))
        call.outcome.errback(CallTimedOutError())

    def _on_late_timeout(self, call: _Call) -> None:
        if call in self._late_calls:
            self._late_calls.remove(call)
            call.abandon()

    def _take_late(self, answer: http.Message, call: _Call) -> None:
        """Takes the answer to a call that has timed out, unless another list was taken meanwhile."""
        if answer.status != 200 or call.base != self._version or call.generation != self._generation:
            self._counters.add("watch_late_unused")
            call.connection.transport.loseConnection()
            return
        self._counters.add("watch_late")
        try:
            self.take(json.loads(bytes(answer.body)))
        except (BadListError, ValueError, RecursionError) as error:
            self._report_bad_list(error)
            call.connection.transport.loseConnection()
            return
        self._note_success()
        # The calls that are out would bring the same again.
        self._restart(call.connection if call.connection.open else None)

    def _note_success(self) -> None:
        self._abandon_late_calls()  # their answers bring nothing newer
        self._last_call_failed, self._timeouts, self._last_success = False, 0, self._deadlines.now()

    def _report_bad_list(self, error: Exception) -> None:
        self._counters.add("watch_bad")
        self._counters.say(f"discovery gave a bad list: {error}"[:300])
