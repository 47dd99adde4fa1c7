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
MAX_OLD_CALLS = 3  # to an address of before a move that stay open
MAX_TIMEOUT_DOUBLINGS = 2  # after calls that timed out the response timeout grows: 1.1 s, 2.2 s, 4.4 s
MAX_LOGGED_CALLS = 12  # lines of the log about the calls after a move


class Discovery:
    """Client of the discovery service: polls for changes of the server list and applies them.

    At most one call is awaited at a time.  One that is not answered in time becomes late: it stays open for
    a while, as it keeps its place in the queue of a slow discovery, and the module has another one made.
    What discovery has written to the node counts as told, on whichever call: so no call is given up while it
    may be the first to be answered, nor before what has come on it is read, and each list is taken that is
    not older than the one in force.
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
        self._version: int | None = None  # of the list in force; None: there is none yet
        self._list_epoch = 0  # of the address that this list came from
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
        self._take(message, kind, self._at, self._epoch)

    def _take(self, message: Any, kind: str | None, at: tuple[str, int], epoch: int) -> None:
        update = self._reader.read(message)
        self._version, self._list_epoch = update.version, epoch
        if kind is None:
            self._counters.most("list_age_most_ms", (self._deadlines.now() - self._last_success) // MS)
        for observer in self.observers:
            observer(message, "{}:{}".format(*at))
        self._reader.apply(update, kind)

    @property
    def _base(self) -> int | None:
        """The version that the next call builds on; None: no list of this address is in force yet."""
        return self._version if self._list_epoch == self._epoch else None

    # What the node and the module ask for.

    def watch(self) -> None:
        """Starts to poll for the list and its changes, unless it already polls or was stopped."""
        if self._awaited is None and self._pause is None and not self._stopped:
            self._begin_call()

    def read_arrived(self) -> None:
        """Takes the lists that have arrived and lie unread, as they do where the node was held up.

        Called before an attempt is sent: what has arrived counts as told."""
        for call in list(self._calls):
            call.read_arrived()

    def move(self, at: tuple[str, int]) -> None:
        """Switches to discovery at another address and requests the full list there, because its versions
        may differ."""
        if at == self._at:
            return
        self._at, self._epoch = at, self._epoch + 1
        self._timeouts = 0
        self._moved_at, self._lines_left = self._deadlines.now(), MAX_LOGGED_CALLS
        self._drop_pause()
        self._leave_to_old_address()
        self._close_connection()
        self.watch()

    def _leave_to_old_address(self) -> None:
        """The old address may have told changes that are on their way: its calls may still be answered until
        the new one has, or for a while."""
        if self._awaited is not None and self._awaited.sent:
            self._make_late(self._awaited)
        self._awaited = None
        for call in [call for call in self._calls if not call.sent]:
            self._end(call, CallEnd.MOVED)
        for call in self._calls[:-MAX_OLD_CALLS]:
            self._end(call, CallEnd.MOVED)
        for call in self._calls:
            self._deadlines.drop(call.timer)
            self._await_late_answer(call, self._limits.moved_wait)

    def stop(self) -> None:
        """Closes the connections and sends no further calls."""
        self._stopped = True
        self._drop_pause()
        for call in list(self._calls):
            self._end(call, CallEnd.STOPPED)
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
        call.dialling, call.connection = None, connection
        call.step(CallEvent.CONNECTED)
        call.sent = self._deadlines.now()
        call.base = self._base
        target, timeout = self._target()
        self._counters.add("watch_calls")
        self._deadlines.drop(call.timer)
        if call.is_late:
            self._await_late_answer(call, timeout + self._limits.late_answer)
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
        if self._base is None:
            return "/discovery/hosts", response_timeout
        # After a failure the wait is short: missed changes may be due soon, and discovery may stop answering
        # again.  But a node that has a list never requests the full one: its size costs discovery more than
        # the call, and forty nodes that request it keep discovery overloaded.
        wait = self._limits.doubt_wait if self._last_call_failed else self._limits.watch_wait
        grace = response_timeout if self._last_call_failed else self._limits.watch_grace
        return f"/discovery/hosts?after={self._base}&wait_ms={wait // MS}", wait + grace

    def _on_timeout(self, call: Call) -> None:
        """Ends the wait for an answer; it is still taken if it comes soon after.

        The first timeout only shows that the watch stopped working.  Each one that follows a failed call
        makes the timeout of the next call longer."""
        self.read_arrived()  # timers run before sockets are read: the answer may have come in time
        if call is not self._awaited:
            return
        room_in = self._until_room()
        if room_in:
            call.timer = self._deadlines.after(room_in, lambda: self._on_timeout(call))
            return
        if call.sent:
            self._timeouts += self._last_call_failed
        self._make_late(call)
        self._note_broken()
        self._call_failed()

    def _make_late(self, call: Call) -> None:
        call.step(CallEvent.TIMED_OUT)
        call.late = self._deadlines.now()
        self._deadlines.drop(call.timer)
        self._await_late_answer(call, self._limits.late_answer)

    def _until_room(self) -> int:
        """Makes room for one more late call, by the end of one that will hardly be answered any more.

        Returns 0, or for how many microseconds there is none: each late call may still be answered."""
        late = [call for call in self._calls if call.is_late and call.epoch == self._epoch]
        if len(late) < MAX_LATE_CALLS:
            return 0
        first = min(late, key=self._given_up_at)
        wait = self._given_up_at(first) - self._deadlines.now()
        if wait <= 0:
            self._end(first, CallEnd.DISPLACED)
        return max(0, wait)

    def _given_up_at(self, call: Call) -> int:
        """From when on a late call may be given up for a newer one."""
        return call.sent + self._limits.call_wait if call.sent else call.began + self._limits.dial_wait

    def _await_late_answer(self, call: Call, wait: int) -> None:
        call.timer = self._deadlines.after(wait, lambda: self._on_late_timeout(call))

    def _on_late_timeout(self, call: Call) -> None:
        call.read_arrived()
        self._end(call, CallEnd.TIMED_OUT)

    def _on_answer(self, answer: http.Message, call: Call) -> None:
        self._deadlines.drop(call.timer)
        self._calls.remove(call)  # timers that come due as its list is applied must not count it
        connection = call.connection
        assert connection is not None
        if answer.status != 200:
            self._on_refused(answer.status, call)
        elif self._take_answer(answer, call):
            self._go_on(call, connection)
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
        late, before = call.is_late, (self._list_epoch, self._version)
        try:
            message = json.loads(bytes(answer.body))
            if late and not self._is_news(message, call):
                self._counters.add("watch_late_unused")
                self._end(call, CallEnd.OUTDATED)
                return False
            self._take(message, None, call.at, call.epoch)
        except (BadListError, ValueError, RecursionError) as error:
            self._counters.add("watch_bad")
            self._counters.say(f"discovery gave a bad list: {error}"[:300])
            self._end(call, CallEnd.UNUSABLE)
            if not late:
                self._call_failed()
            return False
        if late:
            self._counters.add("watch_late")
        unchanged = before == (self._list_epoch, self._version)
        self._end(call, CallEnd.UNCHANGED if unchanged else CallEnd.TAKEN)
        return True

    def _is_news(self, message: Any, call: Call) -> bool:
        """Whether the list in the answer to a late call is not older than the one in force."""
        if call.epoch != self._list_epoch:
            return call.epoch > self._list_epoch
        if call.base == self._version or not isinstance(message, dict):
            return True  # no other list was taken since; what is no list is refused as it is read
        # Changes since an earlier version than the one in force hold all changes since that one, too.
        version = message.get("version")
        return self._version is None or not isinstance(version, int) or version >= self._version

    def _go_on(self, answered: Call, connection: ServerConnection) -> None:
        """Makes the next call after one that brought a list, on the same connection."""
        if answered.epoch != self._epoch:
            connection.transport.loseConnection()
            self.watch()  # the module takes the list for watched
            return
        self._last_call_failed, self._timeouts, self._last_success = False, 0, self._deadlines.now()
        self._lines_left = 0
        self._end_superseded()
        self._close_connection()  # another one may be idle in a pause
        self._connection = connection if connection.open else None
        if answered.end is CallEnd.UNCHANGED and not answered.late:
            # Avoids a busy loop if discovery answers at once without changes.
            self._pause = self._deadlines.after(self._limits.watch_pause, self._end_pause)
        else:
            self.watch()

    def _end_superseded(self) -> None:
        """Ends all other calls, which would bring the same list again.

        A list that has already come on one of them counts as told: it is taken first, which ends the others
        in its turn."""
        if self._awaited is not None:
            self._make_late(self._awaited)
            self._awaited = None
        self.read_arrived()
        self._drop_pause()
        for call in list(self._calls):
            self._end(call, CallEnd.SUPERSEDED)

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
        if call in self._calls:
            self._calls.remove(call)
        if self._awaited is call:
            self._awaited = None
        call.close()
        call.connection = None
        self._log_call(call)

    def _drop_pause(self) -> None:
        self._deadlines.drop(self._pause)
        self._pause = None

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
