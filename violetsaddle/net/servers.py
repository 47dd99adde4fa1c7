"""Sends attempts, probes and the DELETEs that cancel attempts to real servers, over pooled connections."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import partial
from typing import Any
from zlib import crc32

from twisted.internet.defer import CancelledError, Deferred, fail, succeed
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.decide.proof import AttemptState, Evidence, Release, classify_answer
from violetsaddle.net import http
from violetsaddle.net.connections import BrokenError, NotConnectedError, RealServer, ServerConnection, dial
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadline, Deadlines, Patience, Reactor, nothing
from violetsaddle.net.limits import SPARE_DESCRIPTORS, Limits
from violetsaddle.net.release import Releases
from violetsaddle.net.requests import Attempt, Order, Requests
from violetsaddle.net.slots import SlotTable
from violetsaddle.net.transports import peek

# Statuses after which a connection is reused.
REUSABLE_STATUSES = (200, 202, 204, 404)
# After any other answer to a DELETE, the answer that belongs to it may still arrive.
DELETE_REUSABLE_STATUSES = (200, 204, 404)


class WithheldError(Exception):
    """The message was cancelled before its first byte was sent; the connection is intact."""


class Servers:
    """The known real servers and the connections to them; implements `requests.AttemptSender`."""

    def __init__(
        self,
        reactor: Reactor,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
        settings: api.Settings,
        load_fields: Mapping[str, str],
        read_lag: Callable[[], int],
    ) -> None:
        """`settings`: how real servers report their load; `load_fields`: the standard name for each
        name that this site's load reports use; `read_lag`: microseconds for which received bytes may have
        been unread (`Reactor.behind`)."""
        self._reactor, self._limits, self._deadlines = reactor, limits, deadlines
        self._counters, self._requests, self._load_fields = counters, requests, load_fields
        self._by_name: dict[str, RealServer] = {}
        self._by_number: dict[int, RealServer] = {}
        self._connections: SlotTable[ServerConnection] = SlotTable()
        self._dialling = 0
        self._reuse_suspended_until, self._read_lag = 0, read_lag
        # Takes the lists that have arrived and are not read yet; see `Discovery.read_arrived`.
        self.read_lists: Callable[[], object] = nothing
        self._releases: Releases[RealServer] = Releases(self, limits, deadlines, counters, requests)
        self._probe_path = "/metrics/load" if settings.report_by_probe else "/alive"

    @property
    def connection_count(self) -> int:
        """Connections to real servers, including those that are being opened."""
        return len(self._connections) + self._dialling

    # Addresses from discovery.

    def number_of(self, name: str) -> int:
        """The number of a real server: a hash of its name, so that it is the same on every node and after a
        restart, unless two names collide."""
        server = self._by_name.get(name)
        if server is None:
            number = crc32(name.encode())
            while number in self._by_number:
                number = (number + 1) & 0xFFFFFFFF
            server = self._by_name[name] = self._by_number[number] = RealServer(name, number)
        return server.number

    def update_addresses(
        self,
        addresses: Mapping[str, tuple[str, int]],
        removed: Sequence[str],
        complete: bool,
        draining: Collection[str] = (),
    ) -> None:
        """Updates the (host, port) of real servers.

        `removed`: names to remove; `complete`: names missing from `addresses` are removed too; `draining`:
        servers that accept no new jobs."""
        for name, (host, port) in addresses.items():
            server = self._by_number[self.number_of(name)]
            if server.listed and (server.host, server.port) != (host, port):
                # Attempts in flight, and their DELETEs, keep using the old address.
                server.listed = False
                self._close_idle(server)
                server = RealServer(name, server.number)
                self._by_name[name] = self._by_number[server.number] = server
            server.host, server.port, server.listed, server.draining = host, port, True, name in draining
        missing = [n for n in (*removed, *(self._by_name if complete else ())) if n not in addresses]
        for name in missing:
            if name in self._by_name:
                # Names that come and go would otherwise use memory without limit. Attempts in flight keep
                # their own reference.
                server = self._by_name.pop(name)
                del self._by_number[server.number]
                server.listed = False
                self._close_idle(server)

    def drain(self, names: Collection[str]) -> None:
        """Marks real servers that accept no new jobs."""
        for name in names:
            if name in self._by_name:
                self._by_name[name].draining = True

    def prune(self) -> None:
        """Removes names that got a number from a list that was then rejected."""
        for server in [s for s in self._by_name.values() if not s.listed]:
            del self._by_name[server.name], self._by_number[server.number]

    def _close_idle(self, server: RealServer) -> None:
        for number in server.idle:
            connection = self._connections.get(number)
            if connection is not None:
                self._close(connection)
        server.idle.clear()

    # Connection pool.

    def _close(self, connection: ServerConnection) -> None:
        connection.open = False
        if connection.idle_timer is not None:
            connection.idle_timer.end()
        connection.transport.loseConnection()

    def _connection_lost(self, connection: ServerConnection) -> None:
        if connection.idle_timer is not None:
            connection.idle_timer.end()
        self._connections.free(connection.number)
        if connection.server is not None and connection.number in connection.server.idle:
            connection.server.idle.remove(connection.number)

    def _take_idle(self, server: RealServer, unambiguous: bool = False) -> ServerConnection | None:
        """Takes the most recently used idle connection, preferring those whose quiet period has passed.

        `unambiguous`: takes only a connection on which no answer to an earlier request can still arrive, and
        closes those on which one can, to make room for a new one. None: a new connection is needed."""
        now, idle, found = self._deadlines.now(), server.idle, -1
        for position in reversed(range(len(idle))):
            connection = self._connections.get(idle[position])
            if connection is None or not connection.open:
                del idle[position]
                found -= found > position
            elif unambiguous and connection.stray_answer_until > now:
                del idle[position]
                self._close(connection)
            elif connection.quiet_from <= now or not (unambiguous or found >= 0):
                found = position
                if connection.quiet_from <= now:
                    break
        taken = self._connections.get(idle.pop(found)) if found >= 0 else None
        if taken is None:
            return None
        if self._read_lag() > self._limits.unseen:
            # The node was busy: a list that drains this server may have arrived, a second answer, or the end
            # of the connection.
            self.read_lists()
            if peek(taken.transport) is not None:
                self._close(taken)
                return self._take_idle(server, unambiguous)
        if taken.idle_timer is not None:
            taken.idle_timer.rest()
        return taken

    def _connect(self, server: RealServer, spare: int = 0) -> Deferred[ServerConnection]:
        if not server.port or not self._make_room(spare):
            return fail(NotConnectedError("no room" if server.port else "no address"))
        self._dialling += 1
        dialled = dial(
            self._reactor,
            self._deadlines,
            self._limits.dial,
            server.host,
            server.port,
            lambda: ServerConnection(self._limits, self._connection_lost),
        )

        def count_finished(result: Any) -> Any:
            self._dialling -= 1
            return result

        def connected(connection: ServerConnection) -> ServerConnection:
            connection.number, connection.server = self._connections.put(connection), server
            connection.fresh = True
            if self._read_lag() > self._limits.unseen:
                self.read_lists()  # as for an idle connection that is taken
            connection.on_call_failed = partial(self._call_failed, server)
            self._counters.add("server_connections")
            return connection

        def failed(reason: Reason) -> Reason:
            if isinstance(reason.value, NotConnectedError):
                self._requests.audit.not_connected(server.name, reason.value.why)
            return reason

        return dialled.addBoth(count_finished).addCallbacks(connected, failed)

    def _call_failed(self, server: RealServer, call: str, error: str) -> None:
        self._requests.audit.call_failed(call, error, server=server.name)

    def _make_room(self, spare: int = 0) -> bool:
        """Whether a connection may be opened. At the limit plus `spare` connections, closes the one that has
        been idle longest; False where none is idle."""
        if self.connection_count < self._limits.server_connections + spare:
            return True
        idle_longest = [
            c
            for s in self._by_name.values()
            if s.idle and (c := self._connections.get(s.idle[0])) is not None
        ]
        if not idle_longest:
            return False
        oldest = min(idle_longest, key=lambda c: c.idle_timer.until if c.idle_timer is not None else 0)
        if oldest.server is not None:
            oldest.server.idle.remove(oldest.number)
        self._close(oldest)
        return True

    def _return_to_idle(self, connection: ServerConnection) -> None:
        """Returns a connection to the idle pool, with a timeout below the real server's own."""
        server = connection.server
        if not connection.open or server is None:
            return
        connection.fresh, connection.quiet_from = False, self._deadlines.now() + self._limits.quiet
        # While reuse is suspended, one idle connection is kept for probes: they show when reuse works again.
        if (
            not server.listed
            or server.draining
            or (server.idle and self._deadlines.now() < self._reuse_suspended_until)
        ):
            self._close(connection)
            return
        server.idle.append(connection.number)
        if connection.idle_timer is None:
            number = connection.number

            def close_idle() -> None:
                # A request written just as the real server closes the connection would end in a reset.
                idle = self._connections.get(number)
                if idle is not None and number in server.idle:
                    server.idle.remove(number)
                    self._close(idle)

            connection.idle_timer = Patience(self._deadlines, close_idle)
        connection.idle_timer.set(self._limits.server_idle)

    # Exchanges are chained by Deferreds, not by coroutines: an exception thrown into a coroutine leaves its
    # frames, and everything that they reference, to the garbage collector.

    def _exchange(
        self,
        server: RealServer,
        reused: ServerConnection | None,
        build_message: Callable[[], Sequence[bytes]],
        on_written: Callable[[], None] | None = None,
        reuse_after: Sequence[int] = REUSABLE_STATUSES,
        kept_body: int = 0,
    ) -> Deferred[http.Message]:
        """Sends a message and gives the answer.

        `reused`: a connection from `_take_idle`, None: opens a new one; `build_message`: called once the
        connection is open; `reuse_after`: statuses after which the connection is reused; `kept_body`: as in
        `ServerConnection.exchange`. Fails with `NotConnectedError`, `BrokenError` or `WithheldError`."""
        if reused is not None:
            try:
                return self._exchange_on(reused, build_message, on_written, reuse_after, kept_body)
            except WithheldError:
                return fail()
        dialled: Deferred[Any] = self._connect(server)
        return dialled.addCallback(self._exchange_on, build_message, on_written, reuse_after, kept_body)

    def _exchange_on(
        self,
        connection: ServerConnection,
        build_message: Callable[[], Sequence[bytes]],
        on_written: Callable[[], None] | None = None,
        reuse_after: Sequence[int] = REUSABLE_STATUSES,
        kept_body: int = 0,
    ) -> Deferred[http.Message]:
        quiet_from = connection.quiet_from
        now = self._deadlines.now()
        unambiguous = now >= quiet_from and now >= connection.stray_answer_until
        try:
            parts = build_message()
        except WithheldError:
            self._return_to_idle(connection)
            raise
        answer = connection.exchange(parts, on_written, kept_body)
        return answer.addCallbacks(
            self._exchange_answered,
            self._exchange_failed,
            (connection, unambiguous, quiet_from, reuse_after),
            errbackArgs=(connection,),
        )

    def _exchange_answered(
        self,
        answer: http.Message,
        connection: ServerConnection,
        unambiguous: bool,
        quiet_from: int,
        reuse_after: Sequence[int],
    ) -> http.Message:
        answer.unambiguous = unambiguous
        if (now := self._deadlines.now()) < quiet_from:
            # This may answer the previous request; the answer to this one must not be matched to the next.
            connection.stray_answer_until = now + self._limits.owed
        if answer.status in reuse_after or (
            reuse_after is not DELETE_REUSABLE_STATUSES and answer.header("x-turned-away") == "1"
        ):
            self._return_to_idle(connection)
        else:
            # After an unexpected answer, more data may follow. Where the site allows no DELETE, closing the
            # connection is also what cancels the job.
            self._close(connection)
        return answer

    def _exchange_failed(self, reason: Reason, connection: ServerConnection) -> Reason:
        if connection.parse_error:
            self._counters.add("bad_answers")
        # Real servers, or middleboxes, may drop idle connections silently. Each request written to such a
        # connection ends in a reset, and it is unknown whether the job ran.
        if isinstance(reason.value, BrokenError) and not connection.fresh:
            self._counters.add("kept_broken")
            if connection.server is not None:
                self._counters.event("kept connection broke", "warning", server=connection.server.name)
            self._reuse_suspended_until = self._deadlines.now() + self._limits.doubt
        return reason

    def _report_unexpected(self, reason: Reason) -> None:
        if not isinstance(reason.value, (CancelledError, NotConnectedError, BrokenError, WithheldError)):
            self._counters.fault("work for a real server failed", reason.value)

    # Operations of `requests.AttemptSender` and `release.Sender`.

    def send_attempt(self, attempt: Attempt, order: Order, until: int) -> None:
        """Sends an attempt, on a new connection where no idle one may be used.

        `until`: when the attempt is given up, microseconds. A real server that is draining or was removed
        counts as not connected."""
        server = self._by_number.get(attempt.server)
        if server is None:
            self._requests.apply_evidence(attempt, Evidence.NOT_CONNECTED)
            return
        if attempt.number and self._requests.tried_before(attempt, server.name):
            self._requests.ended(attempt, api.MOOT)
            return
        attempt.server_name, attempt.server_handle = server.name, server

        def report_written() -> None:
            self._requests.apply_evidence(attempt, Evidence.WRITTEN)

        use_new = attempt.effect == api.UNSAFE or self._deadlines.now() < self._reuse_suspended_until
        reused = None if use_new else self._take_idle(server, unambiguous=attempt.effect != api.SAFE)
        attempt.on_new_connection = reused is None
        ticket = attempt.exchange = self._exchange(
            server,
            reused,
            partial(self._build_message, attempt, server, order, until),
            report_written,
            reuse_after=(202,),
        )
        ticket.addCallbacks(self._attempt_answered, self._attempt_failed, (attempt,), errbackArgs=(attempt,))
        ticket.addErrback(self._report_unexpected)

    def _build_message(
        self, attempt: Attempt, server: RealServer, order: Order, until: int
    ) -> Sequence[bytes]:
        """Builds the message of an attempt just before its first byte is sent.

        While the connection was being opened, the server may have been removed or the client may have
        disconnected; then this raises `WithheldError`."""
        now = self._deadlines.now()
        if (
            not server.listed
            or server.draining
            or not self._requests.check_deadlines(attempt)
            or (now > attempt.sent + self._limits.unseen and not self._requests.check_client(attempt))
        ):
            raise WithheldError
        return order.message(server.address, until - now)

    def _attempt_answered(self, answer: http.Message, attempt: Attempt) -> None:
        attempt.exchange = None
        if answer.status == 202:
            self._requests.apply_evidence(attempt, Evidence.ACCEPTED)
            return
        evidence = classify_answer(answer.status, answer.header("x-turned-away"))
        if not answer.unambiguous or (evidence is Evidence.TURNED_AWAY and not answer.delimited):
            # A late second answer to the previous request proves nothing about this one. Neither does an
            # answer without a length, which may be truncated.
            evidence = Evidence.UNEXPECTED
        self._requests.apply_evidence(attempt, evidence, self.report(answer.header("x-pressure")))

    def _attempt_failed(self, reason: Reason, attempt: Attempt) -> Reason | None:
        attempt.exchange = None
        if isinstance(reason.value, (NotConnectedError, WithheldError)):
            self._requests.apply_evidence(attempt, Evidence.NOT_CONNECTED)
        elif isinstance(reason.value, BrokenError):
            self._requests.audit.broken(attempt, reason.value.written, reason.value.why)
            if reason.value.written:
                self._requests.apply_evidence(attempt, Evidence.WRITTEN)
            self._requests.apply_evidence(
                attempt, Evidence.TRUNCATED if reason.value.begun else Evidence.DISCONNECTED
            )
        else:
            return reason
        return None

    def give_up(self, attempt: Attempt, broken: bool = False) -> Deferred[None]:
        """Cancels an attempt: closes its connection if there is no answer yet, and sends a DELETE where the
        site allows it and the real server may have the job.

        `broken`: the connection was reset before an answer. Fires once the attempt counts as cancelled."""
        ticket, attempt.exchange = attempt.exchange, None
        if ticket is not None:
            ticket.cancel()  # no answer yet: closing the connection cancels the job
        server = attempt.server_handle
        if (
            not isinstance(server, RealServer)
            or not attempt.may_cancel
            or attempt.state is AttemptState.UNSENT
        ):
            attempt.release = Release.CLOSED
            self._requests.audit.released(attempt, self._requests.is_awaited(attempt), 0, "")
            return succeed(None)
        # Needed even without a 202: one sent while the connection closed would leave the job running.
        return self._releases.begin(attempt, server, broken)

    def deliver(
        self, server: RealServer, message: Callable[[], Sequence[bytes]], fresh: bool
    ) -> Deferred[http.Message]:
        """Implements `release.Sender.deliver`: sends a DELETE on a connection where no earlier answer can be
        mistaken for its own."""
        if not fresh:
            connection = self._take_idle(server, unambiguous=True)
            if connection is not None:
                return self._exchange_on(connection, message, reuse_after=DELETE_REUSABLE_STATUSES)
            wait = self._until_quiet(server)
            if wait:  # shorter than a connect, and a new connection costs the real server work
                return self._delay(wait).addCallback(lambda _: self.deliver(server, message, fresh))
        # May exceed the limit: a connection that was just aborted is counted until the next reactor turn.
        dialled: Deferred[Any] = self._connect(server, SPARE_DESCRIPTORS // 4)
        return dialled.addCallback(self._exchange_on, message, reuse_after=DELETE_REUSABLE_STATUSES)

    def _until_quiet(self, server: RealServer) -> int:
        """Microseconds until the quiet period of an idle connection ends; 0 where none is idle."""
        idle = [c for n in server.idle if (c := self._connections.get(n)) is not None and c.open]
        return max(1, min(c.quiet_from for c in idle) - self._deadlines.now()) if idle else 0

    def _delay(self, wait: int) -> Deferred[Any]:
        """Fires after `wait` microseconds; can be cancelled."""
        elapsed: Deferred[Any] = Deferred(lambda _: self._deadlines.drop(timer))
        timer = self._deadlines.after(wait, lambda: elapsed.callback(None))
        return elapsed

    def why(self, reason: Reason) -> str:
        """Implements `release.Sender.why`: a short reason for the log; unexpected failures are reported."""
        self._report_unexpected(reason)
        return str(getattr(reason.value, "why", type(reason.value).__name__))

    def probe(self, server: int) -> None:
        """Requests `/alive` or, where probes report the load, `/metrics/load`."""
        real = self._by_number.get(server)
        if real is None:
            self._requests.probed(server, False, None)
            return
        host = real.address
        probing = self._exchange(
            real,
            self._take_idle(real),
            lambda: [http.request("GET", self._probe_path, host)],
            kept_body=self._limits.body,
        )
        timeout = self._deadlines.after(self._limits.probe, probing.cancel)

        def answered(answer: http.Message) -> None:
            ok = answer.status == 200
            text = bytes(answer.body).decode("utf-8", "replace")
            self._requests.probed(server, ok, self.report(text) if ok else None)

        def failed(reason: Reason) -> None:
            self._report_unexpected(reason)
            self._counters.event("probe failed", "debug", server=real.name)
            self._requests.probed(server, False, None)

        probing.addBoth(self._drop_timeout, timeout).addCallbacks(answered, failed).addErrback(
            self._report_unexpected
        )

    def _drop_timeout(self, result: Any, timeout: Deadline) -> Any:
        self._deadlines.drop(timeout)
        return result

    # Load reports.

    def report(self, load: object) -> api.Report | None:
        """Parses a load report, a JSON object or `name=value` pairs, and renames its values to the standard
        names. None: there is no report, or it cannot be parsed. Values that are not finite are skipped."""
        if isinstance(load, str):
            try:
                load = (
                    json.loads(load)
                    if load.lstrip().startswith("{")
                    else dict(pair.split("=", 1) for pair in load.strip().split(","))
                )
            except (ValueError, RecursionError):
                return None
        if not isinstance(load, dict):
            return None
        named = {}
        for name, value in load.items():
            try:
                number = float(value)
            except (TypeError, ValueError, OverflowError):
                number = math.nan
            if math.isfinite(number):
                named[self._load_fields.get(str(name).strip(), str(name).strip())] = number
            else:
                self._counters.add("bad_reports")
        return named or None
