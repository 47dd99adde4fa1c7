"""Watches the server list of the discovery service by HTTP long polling."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.net import http
from violetsaddle.net.connections import BrokenError, NotConnectedError, ServerConnection, dial
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Clock, Deadline, Deadlines, Reactor
from violetsaddle.net.discovery_call import Call, CallEnd, CallEvent
from violetsaddle.net.limits import MS, Limits
from violetsaddle.net.requests import Requests
from violetsaddle.net.server_list import BadListError, ServerListReader
from violetsaddle.net.servers import Servers

MAX_LATE_CALLS = 2  # that have timed out and are still open; each may hold a whole list
MAX_TIMEOUT_DOUBLINGS = 2  # after calls that timed out the response timeout grows: 1.1 s, 2.2 s, 4.4 s
MAX_LOGGED_CALLS = 12  # lines of the log about the calls after a move


class Discovery:
    """Client of the discovery service: polls for changes of the server list and applies them.

    At most one call is awaited at a time.  One that is not answered in time becomes late: it stays open for
    a while, as it keeps its place in the queue of a slow discovery, and the module has another one made.
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
        self._at = at
        self._epoch = 0  # counts the addresses that discovery has had
        self._reader = ServerListReader(requests, servers, zones, kinds, clock)
        self._version: int | None = None  # of the list in force; None: none of this address yet
        self._connection: ServerConnection | None = None  # idle
        self._calls: list[Call] = []  # that are open, the earliest first
        self._awaited: Call | None = None  # the one of these that is not late
        self._pause: Deadline | None = None  # before the next call
        self._call_number = 0
        self._stopped = False
        self._last_call_failed = False
        self._timeouts = 0  # consecutive calls that timed out, after a call that failed
        self._last_success = deadlines.now()  # when the current list was last confirmed
        self._moved_at = 0  # when discovery has moved last; 0: never
        self._lines_left = 0  # of the log, for the calls after a move
        # Called with each list that is applied and the `host:port` that it came from.
        self.observers: list[Callable[[Any, str], object]] = []

    # Lists.

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
            observer(message, "{}:{}".format(*self._at))
        self._reader.apply(update, kind)

    # What the node and the module ask for.

    def watch(self) -> None:
        """Starts to poll for the list and its changes, unless it already polls or was stopped."""
        if self._awaited is None and self._pause is None and not self._stopped:
            self._begin_call()

    def move(self, at: tuple[str, int]) -> None:
        """Switches to discovery at another address and requests the full list there, because its versions
        may differ."""
        if at == self._at:
            return
        self._at, self._epoch = at, self._epoch + 1
        self._version, self._timeouts = None, 0
        self._moved_at, self._lines_left = self._deadlines.now(), MAX_LOGGED_CALLS
        self._end_calls(CallEnd.MOVED)
        self._close_connection()
        self.watch()

    def stop(self) -> None:
        """Closes the connections and sends no further calls."""
        self._stopped = True
        self._end_calls(CallEnd.STOPPED)
        self._close_connection()

    # Calls.

    def _begin_call(self) -> None:
        """Makes a call, on the idle connection if there is one."""
        self._call_number += 1
        call = Call(self._call_number, self._at, self._epoch, self._deadlines.now())
        self._calls.append(call)
        self._awaited = call
        connection, self._connection = self._connection, None
        if connection is not None and connection.open:
            self._send(connection, call)
            return
        # The settings' time is meant for servers.  A connection to discovery that takes longer is late, as an
        # answer may be: it goes on beside the next one.
        call.timer = self._deadlines.after(self._limits.dial, lambda: self._on_timeout(call))
        call.dialling = dial(
            self._reactor,
            self._deadlines,
            self._limits.dial + self._limits.late_answer,
            *call.at,
            lambda: ServerConnection(self._limits, lambda _: None, self._limits.list_body),
        )
        call.dialling.addCallbacks(
            self._send, self._on_dial_failed, callbackArgs=(call,), errbackArgs=(call,)
        ).addErrback(self._on_unexpected, call)

    def _send(self, connection: ServerConnection, call: Call) -> None:
        """Sends a call once its connection is up."""
        call.step(CallEvent.CONNECTED)
        call.dialling, call.connection, call.sent = None, connection, self._deadlines.now()
        call.base = self._version
        target, timeout = self._target()
        self._counters.add("watch_calls")
        self._deadlines.drop(call.timer)
        if call.is_late:
            self._await_late_answer(call, timeout)
        else:
            call.timer = self._deadlines.after(timeout, lambda: self._on_timeout(call))
        call.exchange = connection.exchange(
            [http.request("GET", target, "{}:{}".format(*call.at))], kept_body=self._limits.list_body
        )
        call.exchange.addCallbacks(
            self._on_answer, self._on_broken, callbackArgs=(call,), errbackArgs=(call,)
        ).addErrback(self._on_unexpected, call)

    def _target(self) -> tuple[str, int]:
        """The target of the next call, and for how long its answer is awaited."""
        # An overloaded discovery queues calls for an unknown time.  So the timeout grows, or the calls of
        # many nodes would keep it overloaded.
        response_timeout = self._limits.ask << min(self._timeouts, MAX_TIMEOUT_DOUBLINGS)
        # Version 0 is a valid version: without `after`, each call would return the full list at once.
        if self._version is None:
            return "/discovery/hosts", response_timeout
        # After a failure the wait is short: missed changes may be due soon, and discovery may stop answering
        # again.  But a node that has a list never requests the full one: its size costs discovery more than
        # the call, and forty nodes that request it keep discovery overloaded.
        wait = self._limits.doubt_wait if self._last_call_failed else self._limits.watch_wait
        grace = response_timeout if self._last_call_failed else self._limits.watch_grace
        return f"/discovery/hosts?after={self._version}&wait_ms={wait // MS}", wait + grace

    def _on_timeout(self, call: Call) -> None:
        """Ends the wait for an answer; it is still taken if it comes soon after.

        The first timeout only shows that the watch stopped working.  Each one that follows a failed call
        makes the timeout of the next call longer."""
        if call.sent:
            self._timeouts += self._last_call_failed
        if sum(other.is_late for other in self._calls) >= MAX_LATE_CALLS:
            self._end(call, CallEnd.TIMED_OUT)
        else:
            call.step(CallEvent.TIMED_OUT)
            call.late = self._deadlines.now()
            self._await_late_answer(call)
        self._note_broken()
        self._call_failed()

    def _await_late_answer(self, call: Call, longer: int = 0) -> None:
        """`longer`: microseconds beyond the time for a late answer, for a call that was only just sent."""
        wait = self._limits.late_answer + longer
        call.timer = self._deadlines.after(wait, lambda: self._on_late_timeout(call))

    def _on_late_timeout(self, call: Call) -> None:
        self._end(call, CallEnd.TIMED_OUT)

    def _on_answer(self, answer: http.Message, call: Call) -> None:
        self._deadlines.drop(call.timer)
        connection = call.connection
        assert connection is not None
        if answer.status != 200:
            self._on_refused(answer.status, call)
        elif call.is_late and call.base != self._version:
            self._counters.add("watch_late_unused")
            self._end(call, CallEnd.OUTDATED)
        elif self._take_answer(answer, call):
            self._connection = connection if connection.open else None
            self._go_on(call)
            return
        connection.transport.loseConnection()

    def _on_refused(self, status: int, call: Call) -> None:
        late = call.is_late
        self._end(call, CallEnd.REFUSED, str(status))
        if late:
            self._counters.add("watch_late_unused")
            return
        self._counters.add("watch_refused")
        self._counters.event("watch refused", "warning", status=status)
        self._call_failed()

    def _take_answer(self, answer: http.Message, call: Call) -> bool:
        """Whether the list in an answer was taken; ends the call."""
        previous, late = self._version, call.is_late
        try:
            self.take(json.loads(bytes(answer.body)))
        except (BadListError, ValueError, RecursionError) as error:
            self._counters.add("watch_bad")
            self._counters.say(f"discovery gave a bad list: {error}"[:300])
            self._end(call, CallEnd.UNUSABLE)
            if not late:
                self._call_failed()
            return False
        if late:
            self._counters.add("watch_late")
        self._end(call, CallEnd.UNCHANGED if previous == self._version else CallEnd.TAKEN)
        self._last_call_failed, self._timeouts, self._last_success = False, 0, self._deadlines.now()
        self._lines_left = 0
        return True

    def _go_on(self, answered: Call) -> None:
        """Makes the next call after one that brought a list."""
        self._end_calls(CallEnd.SUPERSEDED)  # their answers bring nothing newer
        if answered.end is CallEnd.UNCHANGED and not answered.late:
            # Avoids a busy loop if discovery answers at once without changes.
            self._pause = self._deadlines.after(self._limits.watch_pause, self._end_pause)
        else:
            self.watch()

    def _end_pause(self) -> None:
        self._pause = None
        self.watch()

    def _on_broken(self, reason: Reason, call: Call) -> None:
        """The connection of a call has ended before the answer was complete."""
        if isinstance(reason.value, CancelledError):
            return  # the call was given up
        if not isinstance(reason.value, BrokenError):
            self._on_unexpected(reason, call)
            return
        late, connection = call.is_late, call.connection
        self._end(call, CallEnd.BROKEN, str(reason.value))
        malformed = connection.parse_error if connection is not None else ""
        if malformed:
            # The list in force stays in use.
            self._counters.add("watch_bad")
            self._counters.say(
                f"discovery's answer can't be taken: {malformed}"
                f" (a list may hold {self._limits.list_body} bytes)"
            )
        if not late:
            if not malformed:
                self._note_broken()
            self._call_failed()

    def _on_dial_failed(self, reason: Reason, call: Call) -> None:
        if isinstance(reason.value, CancelledError):
            return  # the call was given up
        if not isinstance(reason.value, NotConnectedError):
            self._on_unexpected(reason, call)
            return
        late = call.is_late
        self._end(call, CallEnd.NOT_CONNECTED, str(reason.value))
        if not late:
            self._note_broken()
            self._call_failed()

    def _on_unexpected(self, reason: Reason, call: Call) -> None:
        """Handles an unexpected exception like a failed call: the module starts the watch again."""
        self._counters.fault("a call to discovery failed", reason.value)
        awaited = not call.is_late
        self._end(call, CallEnd.BROKEN, type(reason.value).__name__)
        if awaited or (self._awaited is None and self._pause is None):
            self._call_failed()

    def _note_broken(self) -> None:
        self._counters.add("watch_broken")
        self._counters.event("watch broken", "warning", at="{}:{}".format(*self._at))

    def _call_failed(self) -> None:
        """The awaited call has ended or is late: the module decides when the next one is made."""
        self._awaited = None
        self._last_call_failed = True
        if not self._stopped:
            self._requests.listed(api.LIST_ERROR, ())

    # The ends of calls.

    def _end(self, call: Call, end: CallEnd, detail: str = "") -> None:
        if not call.is_open:
            return
        call.step(CallEvent.ENDED)
        call.end, call.detail, call.ended = end, detail, self._deadlines.now()
        self._deadlines.drop(call.timer)
        self._calls.remove(call)
        if self._awaited is call:
            self._awaited = None
        call.close()
        call.connection = None
        self._log_call(call)

    def _end_calls(self, end: CallEnd) -> None:
        """Gives up all open calls, and ends a pause between two."""
        self._deadlines.drop(self._pause)
        self._pause = None
        for call in list(self._calls):
            self._end(call, end)

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
            self._connection = None

    def _log_call(self, call: Call) -> None:
        """After a move, until a list of the new address is in force, each call is a line of the log."""
        since, after = self._moved_at, "the start"
        if since:
            after = "discovery moved"
        text = call.describe(lambda at: f"{(at - since) // MS} ms after {after}")
        self._counters.event("discovery call ended", "debug", call=text)
        if self._lines_left:
            self._lines_left -= 1
            self._counters.say(f"discovery: {text}")
