"""The life of each request, from its arrival to its one final answer.

`Requests` implements the decision module's `Actions` and is the only caller of its `Balancer`.  It is
independent of the protocol: the code that accepts a request passes an `Order` and a `Client`, and the same
decisions and rules apply to all requests."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeAlias, TypeVar

from twisted.internet.defer import Deferred

from violetsaddle import interface as api
from violetsaddle.decide.proof import TRANSITIONS, AttemptState, Evidence, Release
from violetsaddle.net.audit import Audit
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadline, Deadlines
from violetsaddle.net.limits import Limits
from violetsaddle.net.slots import SlotTable
from violetsaddle.net.tally import LateStartCounter
from violetsaddle.policy import Balancer

T = TypeVar("T")


class InvalidRequestError(Exception):
    """A request that cannot be accepted; the text gives the reason."""


class Failure(enum.Enum):
    """Why a request failed, as far as its client distinguishes."""

    BROKEN = "broken"  # a real server reported an error, or nothing proves that the job ran
    LATE = "late"  # the time limit passed


class Order(Protocol):
    """The job that a request sends to a real server."""

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        """The bytes to send, in pieces.

        `host`: the real server's host and port, for the `Host` header; `wait`: how long the node waits for
        the outcome, microseconds.
        """


class Client(Protocol):
    """Waits for the final answer of a request.

    Exactly one of `served`, `refused` and `failed` is called, once, unless the client has gone.
    """

    def served(self, result: bytes) -> None:
        """The request succeeded; `result`: as the real server sent it."""

    def refused(self, retry_after: int, before_sending: bool) -> None:
        """The request is refused.

        `retry_after`: microseconds after which the client may try again, 0: no advice; `before_sending`: no
        attempt was made.
        """

    def failed(self, why: Failure) -> None:
        """The request ended without a result; `why`: the reason."""

    def is_gone(self) -> bool:
        """Whether the client has closed its connection, even if that was not reported yet.

        Called just before an attempt is sent.
        """
        ...


class Attempt:
    """One attempt of a request at a real server."""

    __slots__ = (
        "request",
        "job",
        "number",
        "server",
        "sent",
        "state",
        "timeout",
        "send_deadline",
        "exchange",
        "server_name",
        "effect",
        "may_cancel",
        "server_handle",
        "on_new_connection",
        "late_cause",
        "last_state",
        "outcome",
        "release",
    )

    def __init__(
        self, request: int, job: str, number: int, server: int, sent: int, effect: str, may_cancel: bool
    ) -> None:
        """`request`: the request's number; `job`: the request's id; `number`: counts the request's attempts
        from 0; `server`: the real server's number; `sent`: when it was sent, microseconds; `effect`: the
        class's effect; `may_cancel`: whether a DELETE may give the attempt up.
        """
        self.effect, self.may_cancel = effect, may_cancel
        self.request, self.job, self.number, self.server, self.sent = request, job, number, server, sent
        self.state = AttemptState.UNSENT
        self.timeout: Deadline | None = None  # the attempt is given up then
        self.send_deadline: Deadline | None = None  # the last byte must have left by then
        self.exchange: Deferred[Any] | None = None  # the HTTP exchange, while it is open
        self.server_name = ""  # the real server's name, as in its callbacks
        # The sender's own object for the real server, which may have left the list since.
        self.server_handle: object = None
        self.on_new_connection = False  # a connection was opened for this attempt
        self.last_state, self.outcome = AttemptState.UNSENT, ""  # the state before `ENDED`, and the outcome
        self.release = Release.NONE
        self.late_cause = ""  # the cause to count if it starts late, see `LateStartCounter`

    @property
    def ended(self) -> bool:
        """Whether the outcome is final."""
        return self.state is AttemptState.ENDED


class AttemptSender(Protocol):
    """Sends attempts and probes to real servers."""

    def send_attempt(self, attempt: Attempt, order: Order, until: int) -> None:
        """Sends an attempt.

        What becomes of it is reported to `Requests.apply_evidence` and `Requests.report_progress`.  `until`:
        when the attempt is given up, microseconds.
        """

    def give_up(self, attempt: Attempt, broken: bool = False) -> Deferred[None]:
        """Gives an attempt up.

        The Deferred fires once the real server has confirmed the DELETE, or once the confirmation no longer
        matters.  `broken`: the attempt's connection was reset before an answer.
        """

    def probe(self, server: int) -> None:
        """Probes a real server; `Requests.probed` is called once with the result."""


class PeerSender(Protocol):
    """Sends datagrams to the other nodes of the tier."""

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Sends a datagram to the peer with the number `to`, or to all peers; it may be lost unnoticed."""


class RecoveryMonitor(Protocol):
    """Corrects the start times of real servers in the list; implemented by `decide.recovery.Recovery`.

    The entries that it returns go to the decision module and replace those of the list.
    """

    def listed(self, now: int, kind: str, entries: Sequence[api.Entry]) -> Sequence[api.Entry]:
        """Discovery has sent a list or changes to one."""

    def refused(self, now: int, worker: int) -> None:
        """A connection to a real server failed."""

    def alive(self, now: int, worker: int) -> Sequence[api.Entry]:
        """A real server has answered or sent a callback."""


class DiscoveryPoller(Protocol):
    """Polls discovery."""

    def watch(self) -> None:
        """Requests the list or its changes once, unless a call is in progress.

        The answer is passed to `Requests.listed`.
        """


# Makes an object with the event methods of `Balancer` from settings, seed, time (microseconds) and actions.
Decider: TypeAlias = Callable[[api.Settings, int, int, api.Actions], Any]


class Request:
    """A request, with the settings that were in force when it was accepted.

    These settings apply until the request ends, even if the node is reconfigured.
    """

    __slots__ = (
        "number",
        "job",
        "order",
        "client",
        "deadline",
        "attempts",
        "final_deadline",
        "timed_out",
        "effect",
        "aim",
        "most_attempts",
        "may_cancel",
    )

    def __init__(
        self, job: str, order: Order, client: Client, deadline: int, settings: api.Settings, cls: int
    ) -> None:
        """`job`: the request's id; `deadline`: the decision module's deadline on the node's clock,
        microseconds; `cls`: the number of its class.
        """
        self.effect, self.aim = settings.classes[cls].effect, settings.classes[cls].aim
        self.most_attempts, self.may_cancel = settings.most_attempts, settings.may_cancel
        self.number, self.job, self.deadline = -1, job, deadline
        # Both are None once the client has its final answer, or has gone.
        self.client: Client | None = client
        self.order: Order | None = order
        self.attempts: list[Attempt] = []
        self.final_deadline: Deadline | None = None
        self.timed_out = False  # the last attempt that ended has timed out


class Requests:
    """All open requests of a node; implements `interface.Actions` for its decision module."""

    def __init__(
        self,
        settings: api.Settings,
        classes: Sequence[str],
        tenants: Sequence[str],
        seed: int,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        decider: Decider = Balancer,
    ) -> None:
        """`decider`: makes the decision module; experiments replace it."""
        self._settings, self._limits, self._deadlines, self._counters = settings, limits, deadlines, counters
        self._classes = {name: index for index, name in enumerate(classes)}
        self._tenants = {name: index for index, name in enumerate(tenants)}
        self._table: SlotTable[Request] = SlotTable()
        self._by_job: dict[str, int] = {}
        self._events: deque[Callable[[], None]] = deque()
        self._dispatching = False
        self.attempt_sender: AttemptSender
        self.discovery: DiscoveryPoller
        self.recovery: RecoveryMonitor | None = None  # None: the list is used as it is
        self.shutting_down = False  # new requests must be answered by `shutdown_deadline`
        self.shutdown_deadline = 0  # microseconds
        self.peer_sender: PeerSender | None = None  # None: no peers, or none can be reached
        # Ids of ended requests, the latest last: those that real servers may have run, and those of which
        # nothing has left.  Apart, since a client can make very many of the latter.
        self._finished_ids: OrderedDict[str, None] = OrderedDict()
        self._unsent_ids: OrderedDict[str, None] = OrderedDict()
        self.when_idle: Callable[[], None] | None = None  # called when the last request has ended
        self.open_elsewhere: set[str] = set()  # ids that are open in another process of this node
        # Called with each id when its request is accepted (False) and when it has ended (True).
        self.on_id_change: Callable[[str, bool], None] | None = None
        self._balancer = decider(settings, seed, deadlines.now(), self)
        self.audit = Audit(counters, deadlines)
        self._late_starts = (
            LateStartCounter(self._balancer, counters) if isinstance(self._balancer, Balancer) else None
        )

    def __len__(self) -> int:
        """The number of open requests."""
        return len(self._table)

    @property
    def module_count(self) -> int:
        """The number of requests that the decision module keeps; never more than are open."""
        return len(self._balancer.requests) if isinstance(self._balancer, Balancer) else 0

    # Ids of requests, for another process of the same node.

    def holds(self, job: str) -> bool:
        """Whether a request with this id is open in this process."""
        return job in self._by_job

    def open_ids(self) -> list[str]:
        """Ids of the requests that are open in this process, oldest first."""
        return list(self._by_job)

    # Events.  They are passed to the decision module one at a time: an action of the module that causes
    # another event must not call the module again before it has returned.

    def _dispatch(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                try:
                    self._events.popleft()()
                except Exception as error:
                    # An exception on one event must not stop the events of other requests.
                    self._counters.fault("the module failed", error)
        finally:
            self._dispatching = False
        self._deadlines.sweep()

    def arrive(
        self,
        job: str,
        cls: str,
        tenant: str | None,
        remaining: int,
        repeat_key: bool,
        slots: float,
        key: int | None,
        hint: int,
        order: Order,
        client: Client,
    ) -> int:
        """Accepts a request and returns its number.

        `job`: the request's id; `cls`, `tenant`: names; `remaining`: time until the client's deadline,
        microseconds; `repeat_key`: whether the request has a key by which real servers recognise repeats;
        `slots`, `key`, `hint` (microseconds): as in `Balancer.request`.  Raises `InvalidRequestError` if the
        request cannot be accepted.
        """
        class_index = self._classes.get(cls)
        if class_index is None:
            raise InvalidRequestError("unknown class")
        tenant_index = self._tenants.get(tenant or "") if self._tenants else 0
        if tenant_index is None:
            raise InvalidRequestError("unknown tenant")
        if remaining <= 0:
            raise InvalidRequestError("no time remains")
        if self._settings.classes[class_index].effect == api.KEYED and not repeat_key:
            raise InvalidRequestError("this class needs a key against repeats")
        # Ids of requests that have ended are rejected too: real servers may already have run the job.
        if (
            job in self._by_job
            or job in self._finished_ids
            or job in self._unsent_ids
            or job in self.open_elsewhere
        ):
            raise InvalidRequestError("the id is in use")
        now = self._deadlines.now()
        if self.shutting_down:
            remaining = max(1, min(remaining, self.shutdown_deadline - now))
        # The module's deadline is earlier than the client's: the answer takes time to arrive.
        given = remaining - min(self._limits.answer_margin, remaining // 10)
        request = Request(job, order, client, now + given, self._settings, class_index)
        number = request.number = self._table.put(request)
        self._by_job[job] = number
        if self.on_id_change is not None:
            self.on_id_change(job, False)
        # Answers the client even if the decision module has lost the request or keeps it past its deadline.
        request.final_deadline = self._deadlines.add(now + remaining, lambda: self._overdue(number))
        self._counters.add("requests")
        self._dispatch(lambda: self._submit(number, class_index, tenant_index, given, slots, key, hint))
        return number

    def _submit(
        self, number: int, cls: int, tenant: int, remaining: int, slots: float, key: int | None, hint: int
    ) -> None:
        request = self._table.get(number)
        if request is None:
            return
        try:
            # A hint above the class's deadline is not plausible and would distort the module's averages.
            hint = min(hint, self._settings.classes[cls].deadline)
            self._balancer.request(
                request.deadline - remaining, request.job, cls, remaining, tenant, slots, key, hint
            )
        except Exception as error:
            self._counters.fault("the module failed on a flow", error)
            self._fail_untold(request, Failure.BROKEN)

    def leave(self, number: int) -> None:
        """The client has gone: the request needs no answer any more."""
        request = self._table.get(number)
        if request is None or request.client is None:
            return
        self._counters.add("clients_gone")
        request.client = request.order = None
        self._tell_gone(request)
        for attempt in request.attempts:
            if attempt.state is AttemptState.UNSENT:
                # Without permission to cancel, an attempt that waits for a connection would still be sent.
                self.attempt_sender.give_up(attempt)
                self.ended(attempt, api.MOOT)
        self._remove_if_done(request)

    def _tell_gone(self, request: Request) -> None:
        """Reports to the decision module that a request needs no answer any more."""
        job = request.job
        self._dispatch(lambda: self._balancer.gone(self._deadlines.now(), job))

    def closed_unanswered(self, number: int, why: str) -> None:
        """This node closes the client's connection before the answer was sent; `why`: for the log."""
        self.audit.closed_unanswered(self.job_of(number), why)

    def job_of(self, number: int) -> str:
        """The id of the open request with this number; `-` if there is none."""
        request = self._table.get(number)
        return request.job if request is not None else "-"

    def check_client(self, attempt: Attempt) -> bool:
        """Whether an unsent attempt's client still waits, called just before the first byte is sent.

        Ends the request if the client has closed its connection.
        """
        request = self._table.get(attempt.request)
        if request is None or request.client is None or attempt.state is not AttemptState.UNSENT:
            return False
        if request.client.is_gone():
            self.leave(request.number)
            return False
        return True

    def check_deadlines(self, attempt: Attempt) -> bool:
        """Whether an unsent attempt may still be sent, called just before the first byte is sent.

        Ends the attempt if a deadline has passed.  The timers are not enough: after a pause, the node may
        serve its sockets before its timers.
        """
        now = self._deadlines.now()
        if attempt.send_deadline is not None and now >= attempt.send_deadline.at:
            self._send_deadline_passed(attempt)
        if attempt.timeout is not None and now >= attempt.timeout.at:
            self._expired(attempt)
        return attempt.state is AttemptState.UNSENT

    def listed(self, kind: str, entries: Sequence[api.Entry]) -> None:
        """Discovery has sent a list (`kind` is `api.SNAPSHOT`), changes (`api.DIFF`), an error
        (`api.LIST_ERROR`), or what counts of a list that is not valid (`api.CORRECTION`).
        """
        self._counters.add("lists_" + kind)
        self._counters.event("list applied", "debug", kind=kind, entries=len(entries))
        self._dispatch(lambda: self._balancer.members(self._deadlines.now(), kind, entries))
        if self.recovery is not None:
            self._apply_corrections(self.recovery.listed(self._deadlines.now(), kind, entries))

    def _report_contact(self, server: int, outcome: str) -> None:
        """Reports to `recovery` that a real server answered, or that no connection to it could be made."""
        if self.recovery is None:
            return
        if outcome == api.CONNECT_FAILED:
            self.recovery.refused(self._deadlines.now(), server)
        elif outcome in (api.OK, api.FULL, api.ERROR):
            self._apply_corrections(self.recovery.alive(self._deadlines.now(), server))

    def _apply_corrections(self, entries: Sequence[api.Entry]) -> None:
        if entries:
            self._counters.add("lists_doubted")
            self._dispatch(lambda: self._balancer.members(self._deadlines.now(), api.CORRECTION, entries))

    def probed(self, server: int, ok: bool, report: api.Report | None) -> None:
        """A probe has ended; `ok`: the real server is up; `report`: the load that it reported, None if it
        reported none.
        """
        self._counters.add("probes_ok" if ok else "probes_failed")
        self._dispatch(lambda: self._balancer.probed(self._deadlines.now(), server, ok, report))

    def heard(self, peer: int, data: bytes) -> None:
        """A datagram has arrived from the peer with this number."""
        self._dispatch(lambda: self._balancer.heard(self._deadlines.now(), peer, data))

    def reconfigure(self, settings: api.Settings) -> None:
        """Applies new settings to requests that arrive from now on.

        Raises `SettingsError`, and changes nothing, if a setting differs that cannot change while the node
        runs.
        """
        self._settings.check_change(settings)
        self._settings = settings
        self._dispatch(lambda: self._balancer.reconfigure(self._deadlines.now(), settings))

    # State that is kept across restarts.

    def with_balancer(self, what: Callable[[Any, int], T]) -> T:
        """Calls `what` with the decision module and the time (microseconds), and returns its result.

        `what` must not pass events to the module or cause actions.
        """
        return what(self._balancer, self._deadlines.now())

    def known_ids(self) -> list[str]:
        """Ids that must not be accepted again, of ended and open requests, the latest last."""
        return [*self._unsent_ids, *self._finished_ids, *self._by_job][-self._limits.remembered :]

    def remember_ids(self, ids: Sequence[str]) -> None:
        """Adds ids of requests that another process of the node accepted earlier, the latest last."""
        for job in ids[-self._limits.remembered :]:
            if len(job) <= self._limits.identity:
                self._finished_ids[job] = None
        while len(self._finished_ids) > self._limits.remembered:
            self._finished_ids.popitem(last=False)

    def find_attempt(self, job: str, name: str) -> Attempt | None:
        """The open attempt of the request `job` at the real server `name`; None if there is none."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is None or not request.attempts:
            return None
        last = request.attempts[-1]
        # A late callback about an earlier attempt must not end the current one.
        return last if last.server_name == name and last.state is not AttemptState.ENDED else None

    def tried_before(self, attempt: Attempt, name: str) -> bool:
        """Whether another attempt of the same request went to the real server `name`.

        A callback could then be about either attempt.
        """
        request = self._table.get(attempt.request)
        return request is not None and any(
            other.server_name == name for other in request.attempts if other is not attempt
        )

    def apply_evidence(
        self,
        attempt: Attempt,
        evidence: Evidence,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> bool:
        """Applies what a connection, an answer or a callback shows about an attempt.

        `report`: the real server's load; `result`: the job's result.  Returns False if the evidence has no
        meaning in the attempt's state and was ignored.
        """
        transition = TRANSITIONS[attempt.state].get(evidence)
        if transition is None:
            return False
        if transition.state is not AttemptState.ENDED:
            attempt.state = transition.state
            if attempt.send_deadline is not None:
                self._deadlines.drop(attempt.send_deadline)
        if transition.give_up:
            self._counters.add("odd_words")
            # The job may still run: another attempt now could make a second copy of it.
            self.attempt_sender.give_up(attempt).addBoth(
                lambda _: self.ended(attempt, transition.outcome, report)
            )
        elif transition.give_up_before_repeat and self._may_repeat(attempt):
            self.attempt_sender.give_up(attempt, broken=True).addBoth(
                lambda _: self.ended(attempt, transition.outcome, report)
            )
        elif transition.outcome:
            self.ended(attempt, transition.outcome, report, result)
        return True

    def _may_repeat(self, attempt: Attempt) -> bool:
        """Whether another attempt may follow one that may have run."""
        request = self._table.get(attempt.request)
        return (
            attempt.effect != api.UNSAFE
            and request is not None
            and request.client is not None
            and len(request.attempts) < request.most_attempts
        )

    def report_progress(self, attempt: Attempt, what: int, amount: float) -> None:
        """A real server has reported a start or progress; `what` and `amount`: as in `Balancer.note`."""
        if attempt.state is not AttemptState.ENDED:
            self._report_contact(attempt.server, api.OK)
            request = self._table.get(attempt.request)
            if self._late_starts is not None and request is not None and what == api.STARTED:
                self._late_starts.finished(attempt, request.aim, self._deadlines.now())
            self._dispatch(
                lambda: self._balancer.note(self._deadlines.now(), attempt.job, attempt.number, what, amount)
            )

    def is_awaited(self, attempt: Attempt) -> bool:
        """Whether a client still waits for this open attempt: another one may follow when it ends."""
        request = self._table.get(attempt.request)
        return request is not None and request.client is not None and not attempt.ended

    def ended(
        self,
        attempt: Attempt,
        outcome: str,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> None:
        """Ends an attempt with its outcome; a second outcome is ignored.

        `outcome`: one of the interface's; `report`: the real server's load; `result`: the job's result.
        """
        if attempt.state is AttemptState.ENDED:
            return
        attempt.last_state, attempt.outcome = attempt.state, outcome
        attempt.state = AttemptState.ENDED
        self._deadlines.drop(attempt.timeout)
        if attempt.send_deadline is not None:
            self._deadlines.drop(attempt.send_deadline)
        if attempt.exchange is not None:
            # A callback arrived before the 202.  If the real server now dies silently, the connection would
            # wait for the 202 forever.
            self._deadlines.after(self._limits.give_up, attempt.exchange.cancel)
        self._counters.add("outcome_" + outcome)
        self._report_contact(attempt.server, outcome)
        request = self._table.get(attempt.request)
        if request is None:
            return
        request.timed_out = outcome == api.TIMEOUT
        if self._late_starts is not None:
            self._late_starts.finished(attempt, request.aim, self._deadlines.now())
        if outcome != api.OK:
            self._counters.event(
                "scheduling ended badly",
                flow=attempt.job,
                scheduling=attempt.number,
                server=attempt.server_name,
                outcome=outcome,
                after_us=self._deadlines.now() - attempt.sent,
            )
        if outcome == api.OK and request.client is not None:
            client, request.client, request.order = request.client, None, None
            self._counters.add("answered_served")
            client.served(result or b"")
        done = request.client is None
        now = self._deadlines.now()
        self._dispatch(
            lambda: self._balancer.answer(
                now, attempt.job, attempt.number, outcome, now - attempt.sent, done, report
            )
        )
        self._remove_if_done(request)

    def _overdue(self, number: int) -> None:
        request = self._table.get(number)
        if request is None or request.client is None:
            return
        self._counters.add("overdue")
        self._counters.event("flow overdue", "warning", flow=request.job)
        self._fail_untold(request, Failure.LATE)

    def _expired(self, attempt: Attempt) -> None:
        """The attempt has timed out."""
        request = self._table.get(attempt.request)
        if attempt.ended or request is None:
            return
        given_up = self.attempt_sender.give_up(attempt)
        if self._deadlines.now() >= request.deadline:
            self.ended(attempt, api.TIMEOUT)
        else:
            # Another attempt may follow, but not before this one is known to be given up.
            given_up.addBoth(lambda _: self.ended(attempt, api.TIMEOUT))

    def _send_deadline_passed(self, attempt: Attempt) -> None:
        """Ends an attempt whose last byte has not left by its send deadline: it will not be sent."""
        if attempt.state is AttemptState.UNSENT:
            self._counters.add("left_unsent")
            self.attempt_sender.give_up(attempt)
            self.ended(attempt, api.MOOT)

    def _fail(self, request: Request, why: Failure) -> None:
        self._send_failure(request, why)
        self._remove_if_done(request)

    def _fail_untold(self, request: Request, why: Failure) -> None:
        """As `_fail`, for a request that the decision module has not ended itself."""
        self._send_failure(request, why)
        self._tell_gone(request)
        self._remove_if_done(request)

    def _send_failure(self, request: Request, why: Failure) -> None:
        if request.client is not None:
            client, request.client, request.order = request.client, None, None
            self._counters.add("answered_failed")
            client.failed(why)

    def _remove_if_done(self, request: Request, queued: bool = False) -> None:
        """Removes a request once its client has the answer or has gone, and all attempts have ended.

        While events wait for the decision module, the removal waits behind them.  Until the module knows of
        the request's end, it may make another attempt, and must be told what becomes of it.  `queued`: it
        has waited."""
        number, job = request.number, request.job
        if request.client is not None or self._by_job.get(job) != number:
            return
        ids = self._unsent_ids
        for attempt in request.attempts:
            if attempt.state is not AttemptState.ENDED:
                return
            if attempt.last_state is not AttemptState.UNSENT:
                ids = self._finished_ids
        if self._dispatching and not queued:
            self._events.append(lambda: self._remove_if_done(request, True))
            return
        self._deadlines.drop(request.final_deadline)
        self._table.free(number)
        del self._by_job[job]
        ids[job] = None
        if len(ids) > self._limits.remembered:
            ids.popitem(last=False)
        if self.on_id_change is not None:
            self.on_id_change(job, True)
        if not len(self._table) and self.when_idle is not None:
            self.when_idle()

    # Actions of the decision module.

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        """Sends the next attempt of a request; one that may no longer be sent ends as `api.MOOT` at once.

        `until`, `by`: as in `interface.Actions`, microseconds.
        """
        request = self._table.get(self._by_job.get(job, -1))
        if request is None:
            return
        if request.client is not None and request.client.is_gone():
            # The client may have closed its connection while the node was busy, and the end is not read yet.
            self.leave(request.number)
        now = self._deadlines.now()
        until = min(until, request.deadline) if until else request.deadline
        attempt = Attempt(
            request.number, job, len(request.attempts), worker, now, request.effect, request.may_cancel
        )
        request.attempts.append(attempt)
        order = request.order
        if (
            request.client is None
            or order is None
            or now >= until
            or 0 < by <= now
            or len(request.attempts) > request.most_attempts
        ):
            self.ended(attempt, api.MOOT)
            return
        attempt.timeout = self._deadlines.add(until, lambda: self._expired(attempt))
        if 0 < by < until:
            # A repeat on a slow connection may arrive after its group has forgotten the first attempt.
            attempt.send_deadline = self._deadlines.add(by, lambda: self._send_deadline_passed(attempt))
        self._counters.add("attempts")
        if attempt.number:
            self.audit.repeated(request.effect, request.attempts)
        if self._late_starts is not None:
            self._late_starts.sent(attempt)
        self.attempt_sender.send_attempt(attempt, order, until)

    def refuse(self, job: str, retry_after: int) -> None:
        """Ends a request with a refusal; `retry_after`: microseconds, 0: no advice."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is not None and request.client is not None:
            client, request.client, request.order = request.client, None, None
            self._counters.add("answered_turned_down")
            if request.attempts:
                self.audit.refused(request.effect, request.attempts)
            client.refused(retry_after, not request.attempts)
            self._remove_if_done(request)

    def fail(self, job: str) -> None:
        """Ends a request without a result."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is not None:
            self._fail(request, Failure.LATE if request.timed_out else Failure.BROKEN)

    def cancel(self, job: str, attempt: int) -> None:
        """Gives up an attempt by its number; it ends as `api.CANCELLED` once that is done."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is None or attempt >= len(request.attempts) or request.attempts[attempt].ended:
            return
        chosen = request.attempts[attempt]
        self.attempt_sender.give_up(chosen).addBoth(lambda _: self.ended(chosen, api.CANCELLED))

    def probe(self, worker: int) -> None:
        """Probes a real server by its number."""
        self._counters.add("probes")
        self.attempt_sender.probe(worker)

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Sends a datagram to one peer or to all; does nothing without a `peer_sender`."""
        if self.peer_sender is not None:
            self.peer_sender.tell(data, to)

    def watch(self) -> None:
        """Polls discovery once."""
        self.discovery.watch()

    def arm(self, time: int) -> None:
        """Wakes the decision module at `time`, microseconds on the node's clock."""
        self._deadlines.add(time, lambda: self._dispatch(lambda: self._balancer.wake(self._deadlines.now())))
