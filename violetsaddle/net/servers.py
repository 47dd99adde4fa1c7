"""Connections to real servers: attempts, probes and the DELETE that ends an attempt early."""

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
from violetsaddle.net.deadlines import Deadline, Deadlines, Patience, Reactor
from violetsaddle.net.limits import SPARE_DESCRIPTORS, Limits
from violetsaddle.net.release import Releases
from violetsaddle.net.requests import Attempt, Order, Requests
from violetsaddle.net.slots import SlotTable
from violetsaddle.net.transports import peek

CLEAN = (200, 202, 204, 404)
DELETED = (200, 204, 404)  # after another answer to a DELETE, its own may still come


class WithheldError(Exception):
    """There is a connection, and nothing is to be sent on it any more."""


class Servers:
    """All real servers known; implements `requests.AttemptSender`."""

    def __init__(
        self,
        reactor: Reactor,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
        told: api.Settings,
        fields: Mapping[str, str],
        behind: Callable[[], int],
    ) -> None:
        """`told`: whether cancels are allowed and how loads are reported; `fields`: the site's names for the
        values of a report; `behind`: microseconds for which something may lie unread (`Reactor.behind`)."""
        self._reactor, self._limits, self._deadlines = reactor, limits, deadlines
        self._counters, self._requests, self._fields = counters, requests, fields
        self._by_name: dict[str, RealServer] = {}
        self._by_number: dict[int, RealServer] = {}
        self._connections: SlotTable[ServerConnection] = SlotTable()
        self._dialling = 0
        self._doubt_until, self._behind = 0, behind
        self._releases: Releases[RealServer] = Releases(self, limits, deadlines, counters, requests)
        self._probe_path = "/metrics/load" if told.report_by_probe else "/alive"

    @property
    def held(self) -> int:
        """Connections to real servers, those that are being made included."""
        return len(self._connections) + self._dialling

    # The list.

    def number_of(self, name: str) -> int:
        """A number for a name, the same at every node and start unless two names collide."""
        server = self._by_name.get(name)
        if server is None:
            number = crc32(name.encode())
            while number in self._by_number:
                number = (number + 1) & 0xFFFFFFFF
            server = self._by_name[name] = self._by_number[number] = RealServer(name, number)
        return server.number

    def listed(
        self,
        addresses: Mapping[str, tuple[str, int]],
        gone: Sequence[str],
        whole: bool,
        drained: Collection[str] = (),
    ) -> None:
        """Takes in where real servers are; `whole`: those not named have gone; `drained`: these want nothing
        new."""
        for name, (host, port) in addresses.items():
            server = self._by_number[self.number_of(name)]
            if server.listed and (server.host, server.port) != (host, port):
                # What is still out belongs to the old place: its connections, and a DELETE.
                server.listed = False
                self._drop_idle(server)
                server = RealServer(name, server.number)
                self._by_name[name] = self._by_number[server.number] = server
            server.host, server.port, server.listed, server.drains = host, port, True, name in drained
        left = [n for n in (*gone, *(self._by_name if whole else ())) if n not in addresses]
        for name in left:
            if name in self._by_name:
                # Forgotten, or a day's churn of names would stay for good; what is still out keeps it alive.
                server = self._by_name.pop(name)
                del self._by_number[server.number]
                server.listed = False
                self._drop_idle(server)

    def drain(self, names: Collection[str]) -> None:
        """These want nothing new."""
        for name in names:
            if name in self._by_name:
                self._by_name[name].drains = True

    def prune(self) -> None:
        """Forgets names that were numbered for a list that then could not be taken."""
        for server in [s for s in self._by_name.values() if not s.listed]:
            del self._by_name[server.name], self._by_number[server.number]

    def _drop_idle(self, server: RealServer) -> None:
        for number in server.idle:
            connection = self._connections.get(number)
            if connection is not None:
                self._close(connection)
        server.idle.clear()

    # Connections.

    def _close(self, connection: ServerConnection) -> None:
        connection.open = False
        if connection.patience is not None:
            connection.patience.end()
        connection.transport.loseConnection()

    def _lost(self, connection: ServerConnection) -> None:
        if connection.patience is not None:
            connection.patience.end()
        self._connections.free(connection.number)
        if connection.server is not None and connection.number in connection.server.idle:
            connection.server.idle.remove(connection.number)

    def _idle(self, server: RealServer, sure: bool = False) -> ServerConnection | None:
        """The connection used last, of those that are quiet if there are any; `sure`: of those alone on which
        no answer is owed, and one on which there is makes room for the new one."""
        now, idle, found = self._deadlines.now(), server.idle, -1
        for at in reversed(range(len(idle))):
            connection = self._connections.get(idle[at])
            if connection is None or not connection.open:
                del idle[at]
                found -= found > at
            elif sure and connection.owed_until > now:
                del idle[at]
                self._close(connection)
            elif connection.quiet <= now or not (sure or found >= 0):
                found = at
                if connection.quiet <= now:
                    break
        taken = self._connections.get(idle.pop(found)) if found >= 0 else None
        if taken is None:
            return None
        if self._behind() > self._limits.unseen and peek(taken.transport) is not None:
            # Guards against a second answer, or the connection's end, that came while the node was held up.
            self._close(taken)
            return self._idle(server, sure)
        if taken.patience is not None:
            taken.patience.rest()
        return taken

    def _connect(self, server: RealServer, spare: int = 0) -> Deferred[ServerConnection]:
        if not server.port or not self._room(spare):
            return fail(NotConnectedError("no room" if server.port else "no address"))
        self._dialling += 1
        dialled = dial(
            self._reactor,
            self._deadlines,
            self._limits.dial,
            server.host,
            server.port,
            lambda: ServerConnection(self._limits, self._lost),
        )

        def over(result: Any) -> Any:
            self._dialling -= 1
            return result

        def up(connection: ServerConnection) -> ServerConnection:
            connection.number, connection.server = self._connections.put(connection), server
            connection.fresh = True
            connection.on_call_failed = partial(self._call_failed, server)
            self._counters.add("server_connections")
            return connection

        def failed(reason: Reason) -> Reason:
            if isinstance(reason.value, NotConnectedError):
                self._requests.audit.not_connected(server.name, reason.value.why)
            return reason

        return dialled.addBoth(over).addCallbacks(up, failed)

    def _call_failed(self, server: RealServer, call: str, error: str) -> None:
        self._requests.audit.call_failed(call, error, server=server.name)

    def _room(self, spare: int = 0) -> bool:
        """Whether a descriptor may be used, `spare` above the limit included; at it the longest idle
        connection makes room."""
        if self.held < self._limits.server_connections + spare:
            return True
        longest = [
            c
            for s in self._by_name.values()
            if s.idle and (c := self._connections.get(s.idle[0])) is not None
        ]
        if not longest:
            return False
        oldest = min(longest, key=lambda c: c.patience.until if c.patience is not None else 0)
        if oldest.server is not None:
            oldest.server.idle.remove(oldest.number)
        self._close(oldest)
        return True

    def _keep(self, connection: ServerConnection) -> None:
        """Back among the idle, dropped before the real server would drop it."""
        server = connection.server
        if not connection.open or server is None:
            return
        connection.fresh, connection.quiet = False, self._deadlines.now() + self._limits.quiet
        # In doubt, one is enough: probes use it, and so show when kept connections can be trusted again.
        if not server.listed or server.drains or (server.idle and self._deadlines.now() < self._doubt_until):
            self._close(connection)
            return
        server.idle.append(connection.number)
        if connection.patience is None:
            number = connection.number

            def idled() -> None:
                # Guards against a request written just as the real server closes: that ends as a reset.
                idle = self._connections.get(number)
                if idle is not None and number in server.idle:
                    server.idle.remove(number)
                    self._close(idle)

            connection.patience = Patience(self._deadlines, idled)
        connection.patience.set(self._limits.server_idle)

    # Work for real servers is chained by Deferreds, not by coroutines: an exception thrown into a coroutine
    # leaves its frames, and all that they hold, to the collector.

    def _exchange(
        self,
        server: RealServer,
        kept: ServerConnection | None,
        message: Callable[[], Sequence[bytes]],
        on_written: Callable[[], None] | None = None,
        clean: Sequence[int] = CLEAN,
    ) -> Deferred[http.Message]:
        """Sends a message made once there is a connection; fails with `NotConnectedError` or `BrokenError`.
        `kept`: the connection from `_idle` to use, None: a new one; `clean`: after which answers the
        connection is kept."""
        if kept is not None:
            try:
                return self._on(kept, message, on_written, clean)
            except WithheldError:
                return fail()
        dialled: Deferred[Any] = self._connect(server)
        return dialled.addCallback(self._on, message, on_written, clean)

    def _on(
        self,
        connection: ServerConnection,
        message: Callable[[], Sequence[bytes]],
        on_written: Callable[[], None] | None = None,
        clean: Sequence[int] = CLEAN,
    ) -> Deferred[http.Message]:
        quiet = connection.quiet
        now = self._deadlines.now()
        sure = now >= quiet and now >= connection.owed_until
        try:
            parts = message()
        except WithheldError:
            self._keep(connection)
            raise
        answer = connection.exchange(parts, on_written)
        return answer.addCallbacks(
            self._whole, self._broke, (connection, sure, quiet, clean), errbackArgs=(connection,)
        )

    def _whole(
        self,
        answer: http.Message,
        connection: ServerConnection,
        sure: bool,
        quiet: int,
        clean: Sequence[int],
    ) -> http.Message:
        answer.unambiguous = sure
        if (now := self._deadlines.now()) < quiet:
            # It may be to the request before: this one's own would be taken for the next one's.
            connection.owed_until = now + self._limits.owed
        turned_away = clean is not DELETED and answer.header("x-turned-away") == "1"
        if answer.status in clean or turned_away:
            self._keep(connection)
        else:
            # Whoever answers what nobody understands may send more of it; and where no DELETE is allowed,
            # this is how a job is given up.
            self._close(connection)
        return answer

    def _broke(self, reason: Reason, connection: ServerConnection) -> Reason:
        # Guards against real servers (or boxes between) that drop kept connections without a word: each
        # request written to one ends as a reset, of which nobody knows whether it ran.
        if isinstance(reason.value, BrokenError) and not connection.fresh:
            self._counters.add("kept_broken")
            if connection.server is not None:
                self._counters.event("kept connection broke", "warning", server=connection.server.name)
            self._doubt_until = self._deadlines.now() + self._limits.doubt
        return reason

    def _failed(self, reason: Reason) -> None:
        if not isinstance(reason.value, (CancelledError, NotConnectedError, BrokenError, WithheldError)):
            self._counters.fault("work for a real server failed", reason.value)

    # What the requests ask for.

    def send_attempt(self, attempt: Attempt, order: Order, until: int) -> None:
        """Dials if no kept connection may bear the attempt; a real server that drains or has gone counts as
        unreached."""
        server = self._by_number.get(attempt.server)
        if server is None:
            self._requests.apply_evidence(attempt, Evidence.NOT_CONNECTED)
            return
        if attempt.number and self._requests.tried_before(attempt, server.name):
            self._requests.ended(attempt, api.MOOT)
            return
        attempt.server_name, attempt.server_handle = server.name, server

        def written() -> None:
            self._requests.apply_evidence(attempt, Evidence.WRITTEN)

        fresh = attempt.effect == api.UNSAFE or self._deadlines.now() < self._doubt_until
        kept = None if fresh else self._idle(server, sure=attempt.effect != api.SAFE)
        attempt.on_new_connection = kept is None
        ticket = attempt.exchange = self._exchange(
            server, kept, partial(self._message, attempt, server, order, until), written, clean=(202,)
        )
        ticket.addCallbacks(self._answered, self._not_carried, (attempt,), errbackArgs=(attempt,))
        ticket.addErrback(self._failed)

    def _message(self, attempt: Attempt, server: RealServer, order: Order, until: int) -> Sequence[bytes]:
        """What is to be sent; raises `WithheldError`.  Asked as the first byte is to leave: a list, or the
        end of the client, may have come during the dial."""
        now = self._deadlines.now()
        if (
            not server.listed
            or server.drains
            or not self._requests.check_deadlines(attempt)
            or (now > attempt.sent + self._limits.unseen and not self._requests.check_client(attempt))
        ):
            raise WithheldError
        return order.message(server.address, until - now)

    def _answered(self, answer: http.Message, attempt: Attempt) -> None:
        attempt.exchange = None
        if answer.status == 202:
            self._requests.apply_evidence(attempt, Evidence.ACCEPTED)
            return
        word = classify_answer(answer.status, answer.header("x-turned-away"))
        if not answer.unambiguous or (word is Evidence.TURNED_AWAY and not answer.delimited):
            # Guards against a late second answer to the request before, which says nothing of this one, and
            # against one that was cut where nothing tells its length.
            word = Evidence.UNEXPECTED
        self._requests.apply_evidence(attempt, word, self.report(answer.header("x-pressure")))

    def _not_carried(self, reason: Reason, attempt: Attempt) -> Reason | None:
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
        """Closes the connection if no answer has come, and sends a DELETE where the site allows it and the
        job may be there.  `broken`: the connection was reset before an answer."""
        ticket, attempt.exchange = attempt.exchange, None
        if ticket is not None:
            ticket.cancel()  # no answer has come: the end of the connection gives the job up
        server = attempt.server_handle
        if (
            not isinstance(server, RealServer)
            or not attempt.may_cancel
            or attempt.state is AttemptState.UNSENT
        ):
            attempt.release = Release.CLOSED
            self._requests.audit.released(attempt, self._requests.is_awaited(attempt), 0, "")
            return succeed(None)
        # Also before a 202: one that has crossed the closing would leave the job running.
        return self._releases.begin(attempt, server, broken)

    def deliver(
        self, server: RealServer, message: Callable[[], Sequence[bytes]], fresh: bool
    ) -> Deferred[http.Message]:
        """As `release.Sender.deliver`."""
        if not fresh:
            connection = self._idle(server, sure=True)
            if connection is not None:
                return self._on(connection, message, clean=DELETED)
            wait = self._until_quiet(server)
            if wait:  # shorter than a dial, and a new connection would cost the real server work
                return self._after(wait).addCallback(lambda _: self.deliver(server, message, fresh))
        # At the limit too: the connection just aborted is counted until the next turn.
        dialled: Deferred[Any] = self._connect(server, SPARE_DESCRIPTORS // 4)
        return dialled.addCallback(self._on, message, clean=DELETED)

    def _until_quiet(self, server: RealServer) -> int:
        """Microseconds until a kept connection is quiet; 0 where there is none."""
        kept = [c for n in server.idle if (c := self._connections.get(n)) is not None and c.open]
        return max(1, min(c.quiet for c in kept) - self._deadlines.now()) if kept else 0

    def _after(self, wait: int) -> Deferred[Any]:
        """Fires after so many microseconds; can be cancelled."""
        passed: Deferred[Any] = Deferred(lambda _: self._deadlines.drop(timer))
        timer = self._deadlines.after(wait, lambda: passed.callback(None))
        return passed

    def why(self, reason: Reason) -> str:
        """As `release.Sender.why`."""
        self._failed(reason)
        return str(getattr(reason.value, "why", type(reason.value).__name__))

    def probe(self, server: int) -> None:
        """Asks for `/alive` or, where the load is told by probes, for `/metrics/load`."""
        real = self._by_number.get(server)
        if real is None:
            self._requests.probed(server, False, None)
            return
        host = real.address
        probing = self._exchange(
            real, self._idle(real), lambda: [http.request("GET", self._probe_path, host)]
        )
        late = self._deadlines.after(self._limits.probe, probing.cancel)

        def told(answer: http.Message) -> None:
            ok = answer.status == 200
            text = bytes(answer.body).decode("utf-8", "replace")
            self._requests.probed(server, ok, self.report(text) if ok else None)

        def silent(reason: Reason) -> None:
            self._failed(reason)
            self._counters.event("probe failed", "debug", server=real.name)
            self._requests.probed(server, False, None)

        probing.addBoth(self._passed, late).addCallbacks(told, silent).addErrback(self._failed)

    def _passed(self, result: Any, late: Deadline) -> Any:
        self._deadlines.drop(late)
        return result

    # Load reports.

    def report(self, load: object) -> api.Report | None:
        """A load report by what its values mean; None where there is none that can be read."""
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
                named[self._fields.get(str(name).strip(), str(name).strip())] = number
            else:
                self._counters.add("bad_reports")
        return named or None
