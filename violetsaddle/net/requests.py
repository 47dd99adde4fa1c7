"""Requests: each from its arrival to its one final answer.

Implements the module's `Actions` and is the only caller of its `Balancer`.  Knows no protocol: whoever takes
requests in hands over an `Order` and a `Client`; all go through the same decisions under the same rules."""

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
from violetsaddle.net.tally import Tally
from violetsaddle.policy import Balancer

T = TypeVar("T")


class UnfitError(Exception):
    """A request that cannot be taken in; the text says why."""


class Failure(enum.Enum):
    """Why a request failed, as far as its client may want to tell."""

    BROKEN = "broken"  # a real server's error, or no word that it ran
    LATE = "late"  # time ran out


class Order(Protocol):
    """What a request asks of a real server."""

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        """The bytes to send; the node waits for the outcome for so many microseconds."""


class Client(Protocol):
    """Who waits for the request's final answer: one of the first three methods is called, once."""

    def served(self, result: bytes) -> None:
        """The result, as the real server gave it."""

    def turned_down(self, come_back: int, before_sending: bool) -> None:
        """A refusal.  `come_back`: microseconds until a repeat may do better, 0 where nothing is advised;
        `before_sending`: no attempt was made."""

    def failed(self, why: Failure) -> None:
        """No result: `why` says whether time ran out."""

    def left(self) -> bool:
        """Whether it has gone, also if nobody was told yet: asked just before an attempt leaves."""
        ...


class Attempt:
    """One attempt of a request at a real server."""

    __slots__ = (
        "request",
        "job",
        "number",
        "server",
        "sent",
        "life",
        "late",
        "unsent",
        "ticket",
        "name",
        "effect",
        "may_cancel",
        "real",
        "dialled",
        "doubt",
        "last_life",
        "outcome",
        "release",
    )

    def __init__(
        self, request: int, job: str, number: int, server: int, sent: int, effect: str, may_cancel: bool
    ) -> None:
        """`request`: the request's number; `job`: its id; `number`: which attempt of it, from 0; `server`:
        the real server's number; `sent`: when, microseconds.  `effect` and `may_cancel` (whether a DELETE may
        give it up): of its request."""
        self.effect, self.may_cancel = effect, may_cancel
        self.request, self.job, self.number, self.server, self.sent = request, job, number, server, sent
        self.life = AttemptState.UNSENT
        self.late: Deadline | None = None
        self.unsent: Deadline | None = None  # its last byte must have left by then
        self.ticket: Deferred[Any] | None = None  # what carries it, while it does
        self.name = ""  # the real server's, as in its callbacks
        self.real: object = None  # what its carrier knows it by: the list may have dropped it meanwhile
        self.dialled = False  # a connection was made for it
        self.last_life, self.outcome = AttemptState.UNSENT, ""  # the state before its end, and its outcome
        self.release = Release.NONE
        self.doubt = ""  # why it would start late, as far as could be seen (`Tally`)

    @property
    def ended(self) -> bool:
        """Its one outcome is known."""
        return self.life is AttemptState.ENDED


class Carrier(Protocol):
    """What brings attempts to real servers."""

    def carry(self, attempt: Attempt, order: Order, until: int) -> None:
        """Sends an attempt's message; what is heard of it comes back through `Requests.word` and
        `Requests.noted`.  `until`: when it is given up, microseconds."""

    def give_up(self, attempt: Attempt, broken: bool = False) -> Deferred[None]:
        """Fires once the real server has confirmed that the job is not wanted, or that matters no more.
        `broken`: the attempt's connection was reset before an answer."""

    def probe(self, server: int) -> None:
        """Asks a real server whether it is up; the answer comes back through `Requests.probed`, once."""


class Teller(Protocol):
    """What brings words to the other nodes of the tier."""

    def tell(self, data: bytes, to: int | None = None) -> None:
        """To one peer by its number, or to all; may be lost without a word."""


class Doubter(Protocol):
    """What may know better than the list since when real servers run: `decide.recovery`.  Entries that it
    gives go to the module in place of the list's."""

    def listed(self, now: int, kind: str, entries: Sequence[api.Entry]) -> Sequence[api.Entry]:
        """Discovery has told a list or a change of one."""

    def refused(self, now: int, worker: int) -> None:
        """No connection came up to a real server."""

    def alive(self, now: int, worker: int) -> Sequence[api.Entry]:
        """A real server has answered or called back."""


class Watcher(Protocol):
    """What asks discovery."""

    def watch(self) -> None:
        """Asks once for the list or its changes, unless a call is under way; the answer comes back through
        `Requests.listed`."""


# Settings, seed, time and actions to something with the events of `Balancer`.
Decider: TypeAlias = Callable[[api.Settings, int, int, api.Actions], Any]


class Request:
    """A request, with what the settings under which it was taken say of it: it goes by these for its whole
    life."""

    __slots__ = (
        "number",
        "job",
        "order",
        "client",
        "deadline",
        "attempts",
        "guard",
        "late",
        "effect",
        "aim",
        "most_attempts",
        "may_cancel",
    )

    def __init__(
        self, job: str, order: Order, client: Client, deadline: int, told: api.Settings, cls: int
    ) -> None:
        """`job`: its id; `deadline`: the module's, on the node's clock, microseconds; `cls`: its class's
        number."""
        self.effect, self.aim = told.classes[cls].effect, told.classes[cls].aim
        self.most_attempts, self.may_cancel = told.most_attempts, told.may_cancel
        self.number, self.job, self.order, self.deadline = -1, job, order, deadline
        self.client: Client | None = client  # None: the final answer is given
        self.attempts: list[Attempt] = []
        self.guard: Deadline | None = None
        self.late = False  # time ran out on the last attempt


class Requests:
    """All open requests; implements `interface.Actions` for the one decision module of the node."""

    def __init__(
        self,
        told: api.Settings,
        classes: Sequence[str],
        tenants: Sequence[str],
        seed: int,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        decider: Decider = Balancer,
    ) -> None:
        """`decider` makes the decision module; experiments put another one in its place."""
        self._told, self._limits, self._deadlines, self._counters = told, limits, deadlines, counters
        self._classes = {name: index for index, name in enumerate(classes)}
        self._tenants = {name: index for index, name in enumerate(tenants)}
        self._table: SlotTable[Request] = SlotTable()
        self._by_job: dict[str, int] = {}
        self._events: deque[Callable[[], None]] = deque()
        self._telling = False
        self.carrier: Carrier
        self.watcher: Watcher
        self.doubter: Doubter | None = None  # None: the list is believed
        self.ending = False  # the program is to end: requests that come now have their answer by `last_word`
        self.last_word = 0
        self.teller: Teller | None = None  # None: there are no peers, or no way to them
        self._over: OrderedDict[str, None] = OrderedDict()  # ids of the last requests that are over
        self.when_idle: Callable[[], None] | None = None  # called when the last request has ended
        self.elsewhere: set[str] = set()  # ids of requests that are open in another process of this node
        self.on_id: Callable[[str, bool], None] | None = None  # told of each id taken in, and when it is over
        self._balancer = decider(told, seed, deadlines.now(), self)
        self.audit = Audit(counters, deadlines)
        self._tally = Tally(self._balancer, counters) if isinstance(self._balancer, Balancer) else None

    def __len__(self) -> int:
        """How many requests are open."""
        return len(self._table)

    # Ids, for another process of the same node.

    def holds(self, job: str) -> bool:
        """Whether a request with this id is open here."""
        return job in self._by_job

    def open_ids(self) -> list[str]:
        """Ids of the requests that are open here, oldest first."""
        return list(self._by_job)

    # What comes in.  Events are told one after the other: the module is never entered from its own actions.

    def _tell(self, event: Callable[[], None]) -> None:
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                try:
                    self._events.popleft()()
                except Exception as error:
                    # The module failed on one event: the others must still have their answers.
                    self._counters.fault("the module failed", error)
        finally:
            self._telling = False
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
        """Takes a request in and gives its number; raises `UnfitError` if it can't be."""
        index = self._classes.get(cls)
        if index is None:
            raise UnfitError("unknown class")
        place = self._tenants.get(tenant or "") if self._tenants else 0
        if place is None:
            raise UnfitError("unknown tenant")
        if remaining <= 0:
            raise UnfitError("no time remains")
        if self._told.classes[index].effect == api.KEYED and not repeat_key:
            raise UnfitError("this class needs a key against repeats")
        # Guards against an id sent again once its request is over: real servers may have run it already.
        if job in self._by_job or job in self._over or job in self.elsewhere:
            raise UnfitError("the id is in use")
        now = self._deadlines.now()
        if self.ending:
            remaining = max(1, min(remaining, self.last_word - now))
        # The module's time ends a little before the client's: the answer needs some to arrive.
        given = remaining - min(self._limits.answer_margin, remaining // 10)
        request = Request(job, order, client, now + given, self._told, index)
        number = request.number = self._table.put(request)
        self._by_job[job] = number
        if self.on_id is not None:
            self.on_id(job, False)
        # Guards against a request the module holds or lost past its deadline.
        request.guard = self._deadlines.add(now + remaining, lambda: self._overdue(number))
        self._counters.add("requests")
        self._tell(lambda: self._submit(number, index, place, given, slots, key, hint))
        return number

    def _submit(
        self, number: int, cls: int, tenant: int, remaining: int, slots: float, key: int | None, hint: int
    ) -> None:
        request = self._table.get(number)
        if request is None:
            return
        try:
            # A guess beyond the class's whole time is none, and would spoil the module's means.
            hint = min(hint, self._told.classes[cls].deadline)
            self._balancer.request(
                request.deadline - remaining, request.job, cls, remaining, tenant, slots, key, hint
            )
        except Exception as error:
            self._counters.fault("the module failed on a flow", error)
            self._fail(request, Failure.BROKEN)

    def leave(self, number: int) -> None:
        """The client has gone: nothing more is owed."""
        request = self._table.get(number)
        if request is None or request.client is None:
            return
        self._counters.add("clients_gone")
        request.client = None
        job = request.job
        self._tell(lambda: self._balancer.gone(self._deadlines.now(), job))
        for attempt in request.attempts:
            if attempt.life is AttemptState.UNSENT:
                # It would still leave where it waits for a connection and cancels are not allowed.
                self.carrier.give_up(attempt)
                self.ended(attempt, api.MOOT)
        self._tidy(request)

    def closed_unanswered(self, number: int, why: str) -> None:
        """The client's connection is closed by this node although its answer is owed."""
        self.audit.closed_unanswered(self.job_of(number), why)

    def job_of(self, number: int) -> str:
        """The id of an open request; `-` where there is none of that number."""
        request = self._table.get(number)
        return request.job if request is not None else "-"

    def wanted(self, attempt: Attempt) -> bool:
        """Whether somebody waits for an attempt whose first byte is to leave now."""
        request = self._table.get(attempt.request)
        if request is None or request.client is None or attempt.life is not AttemptState.UNSENT:
            return False
        if request.client.left():
            self.leave(request.number)
            return False
        return True

    def in_time(self, attempt: Attempt) -> bool:
        """Whether an attempt whose first byte is to leave now still may; ends it where its time has passed.
        Its deadlines alone do not do: a node that was held up comes to its sockets first."""
        now = self._deadlines.now()
        if attempt.unsent is not None and now >= attempt.unsent.at:
            self._too_late(attempt)
        if attempt.late is not None and now >= attempt.late.at:
            self._expired(attempt)
        return attempt.life is AttemptState.UNSENT

    def listed(self, kind: str, entries: Sequence[api.Entry]) -> None:
        """Discovery gave a list (`api.SNAPSHOT`), changes (`api.DIFF`) or none (`api.LIST_ERROR`)."""
        self._counters.add("lists_" + kind)
        self._counters.event("list applied", "debug", kind=kind, entries=len(entries))
        self._tell(lambda: self._balancer.members(self._deadlines.now(), kind, entries))
        if self.doubter is not None:
            self._restate(self.doubter.listed(self._deadlines.now(), kind, entries))

    def _met(self, server: int, outcome: str) -> None:
        """A real server has shown that it runs, or that no connection comes up there."""
        if self.doubter is None:
            return
        if outcome == api.CONNECT_FAILED:
            self.doubter.refused(self._deadlines.now(), server)
        elif outcome in (api.OK, api.FULL, api.ERROR):
            self._restate(self.doubter.alive(self._deadlines.now(), server))

    def _restate(self, entries: Sequence[api.Entry]) -> None:
        if entries:
            self._counters.add("lists_doubted")
            self._tell(lambda: self._balancer.members(self._deadlines.now(), api.DIFF, entries))

    def probed(self, server: int, ok: bool, report: api.Report | None) -> None:
        """A probe's answer; `report`: what the real server tells of its load, None where it tells nothing."""
        self._counters.add("probes_ok" if ok else "probes_failed")
        self._tell(lambda: self._balancer.probed(self._deadlines.now(), server, ok, report))

    def heard(self, peer: int, data: bytes) -> None:
        """A datagram of the peer with this number."""
        self._tell(lambda: self._balancer.heard(self._deadlines.now(), peer, data))

    def reconfigure(self, told: api.Settings) -> None:
        """Other settings for requests that come from now on; raises `SettingsError` and changes nothing where
        they differ in what can't change at work."""
        self._told.check_change(told)
        self._told = told
        self._tell(lambda: self._balancer.reconfigure(self._deadlines.now(), told))

    # What outlives the program.

    def consult(self, what: Callable[[Any, int], T]) -> T:
        """Gives the module and the time to something that is no event and sends nothing."""
        return what(self._balancer, self._deadlines.now())

    def ids(self) -> list[str]:
        """Those that must not be taken again: of the requests that are over, and of those that are open."""
        return [*self._over, *self._by_job][-self._limits.remembered :]

    def remember(self, ids: Sequence[str]) -> None:
        """Ids of an earlier life of the program, the latest last."""
        for job in ids[-self._limits.remembered :]:
            if len(job) <= self._limits.identity:
                self._over[job] = None

    def find(self, job: str, name: str) -> Attempt | None:
        """The attempt that a real server, known by its name, may still speak of."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is None or not request.attempts:
            return None
        last = request.attempts[-1]
        # Guards against a late word on an old attempt: it must not end the present one.
        return last if last.name == name and last.life is not AttemptState.ENDED else None

    def met(self, attempt: Attempt, name: str) -> bool:
        """Whether an earlier attempt of its request went to a real server of that name: which of the two a
        word is about could not be told."""
        request = self._table.get(attempt.request)
        return request is not None and any(s.name == name for s in request.attempts if s is not attempt)

    def word(
        self,
        attempt: Attempt,
        word: Evidence,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> bool:
        """Takes in what is heard of an attempt; False if it proves nothing and was passed over."""
        step = TRANSITIONS[attempt.life].get(word)
        if step is None:
            return False
        if step.state is not AttemptState.ENDED:
            attempt.life = step.state
            if attempt.unsent is not None:
                self._deadlines.drop(attempt.unsent)
        if step.give_up:
            self._counters.add("odd_words")
            # Guards against a second copy: nobody has said for sure that the job does not run.
            self.carrier.give_up(attempt).addBoth(lambda _: self.ended(attempt, step.outcome, report))
        elif step.give_up_before_repeat and self._may_repeat(attempt):
            self.carrier.give_up(attempt, broken=True).addBoth(
                lambda _: self.ended(attempt, step.outcome, report)
            )
        elif step.outcome:
            self.ended(attempt, step.outcome, report, result)
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

    def noted(self, attempt: Attempt, what: int, amount: float) -> None:
        """A real server told of a start or of progress; `what` and `amount` are those of `Balancer.note`."""
        if attempt.life is not AttemptState.ENDED:
            self._met(attempt.server, api.OK)
            request = self._table.get(attempt.request)
            if self._tally is not None and request is not None and what == api.STARTED:
                self._tally.over(attempt, request.aim, self._deadlines.now())
            self._tell(
                lambda: self._balancer.note(self._deadlines.now(), attempt.job, attempt.number, what, amount)
            )

    def waits(self, attempt: Attempt) -> bool:
        """Whether somebody still waits for what becomes of it: once it ends, another may follow."""
        request = self._table.get(attempt.request)
        return request is not None and request.client is not None and not attempt.ended

    def ended(
        self,
        attempt: Attempt,
        outcome: str,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> None:
        """The one outcome of an attempt; a second one is passed over."""
        if attempt.life is AttemptState.ENDED:
            return
        attempt.last_life, attempt.outcome = attempt.life, outcome
        attempt.life = AttemptState.ENDED
        self._deadlines.drop(attempt.late)
        if attempt.unsent is not None:
            self._deadlines.drop(attempt.unsent)
        if attempt.ticket is not None:
            # Ended by a callback that overtook its 202.  Guards against a real server that dies before the
            # 202 comes through, without a word: the connection would wait for good.
            self._deadlines.after(self._limits.give_up, attempt.ticket.cancel)
        self._counters.add("outcome_" + outcome)
        self._met(attempt.server, outcome)
        request = self._table.get(attempt.request)
        if request is None:
            return
        request.late = outcome == api.TIMEOUT
        if self._tally is not None:
            self._tally.over(attempt, request.aim, self._deadlines.now())
        if outcome != api.OK:
            self._counters.event(
                "scheduling ended badly",
                flow=attempt.job,
                scheduling=attempt.number,
                server=attempt.name,
                outcome=outcome,
                after_us=self._deadlines.now() - attempt.sent,
            )
        if outcome == api.OK and request.client is not None:
            client, request.client = request.client, None
            self._counters.add("answered_served")
            client.served(result or b"")
        over = request.client is None
        now = self._deadlines.now()
        self._tell(
            lambda: self._balancer.answer(
                now, attempt.job, attempt.number, outcome, now - attempt.sent, over, report
            )
        )
        self._tidy(request)

    def _overdue(self, number: int) -> None:
        request = self._table.get(number)
        if request is None or request.client is None:
            return
        self._counters.add("overdue")
        job = request.job
        self._counters.event("flow overdue", "warning", flow=job)
        self._fail(request, Failure.LATE)
        self._tell(lambda: self._balancer.gone(self._deadlines.now(), job))

    def _expired(self, attempt: Attempt) -> None:
        """Time ran out on an attempt."""
        request = self._table.get(attempt.request)
        if attempt.ended or request is None:
            return
        told = self.carrier.give_up(attempt)
        if self._deadlines.now() >= request.deadline:
            self.ended(attempt, api.TIMEOUT)
        else:
            # Another attempt may follow: it must not leave before the old one's end is out.
            told.addBoth(lambda _: self.ended(attempt, api.TIMEOUT))

    def _too_late(self, attempt: Attempt) -> None:
        """Its last byte has not left by the time that is allowed: it never will."""
        if attempt.life is AttemptState.UNSENT:
            self._counters.add("left_unsent")
            self.carrier.give_up(attempt)
            self.ended(attempt, api.MOOT)

    def _fail(self, request: Request, why: Failure) -> None:
        if request.client is not None:
            client, request.client = request.client, None
            self._counters.add("answered_failed")
            client.failed(why)
        self._tidy(request)

    def _tidy(self, request: Request) -> None:
        """A request's slot is free once its answer is given and no attempt is out."""
        if (
            request.client is None
            and all(s.life is AttemptState.ENDED for s in request.attempts)
            and self._table.get(request.number)
        ):
            self._deadlines.drop(request.guard)
            self._table.free(request.number)
            del self._by_job[request.job]
            self._over[request.job] = None
            while len(self._over) > self._limits.remembered:
                self._over.popitem(last=False)
            if self.on_id is not None:
                self.on_id(request.job, True)
            if not len(self._table) and self.when_idle is not None:
                self.when_idle()

    # The module's actions.

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        """Makes the next attempt of a request; one that may not leave any more ends as `api.MOOT` at once.
        `until`, `by`: as in `interface.Actions`, microseconds."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is None:
            return
        if request.client is not None and request.client.left():
            # Guards against one that has closed while we were busy: its end is still to be read.
            self.leave(request.number)
        now = self._deadlines.now()
        until = min(until, request.deadline) if until else request.deadline
        attempt = Attempt(
            request.number, job, len(request.attempts), worker, now, request.effect, request.may_cancel
        )
        request.attempts.append(attempt)
        if (
            request.client is None
            or now >= until
            or 0 < by <= now
            or len(request.attempts) > request.most_attempts
        ):
            self.ended(attempt, api.MOOT)
            return
        attempt.late = self._deadlines.add(until, lambda: self._expired(attempt))
        if 0 < by < until:
            # Guards against a repeat that a slow connection brings when its group has forgotten the first.
            attempt.unsent = self._deadlines.add(by, lambda: self._too_late(attempt))
        self._counters.add("attempts")
        if attempt.number:
            self.audit.repeated(request.effect, request.attempts)
        if self._tally is not None:
            self._tally.sent(attempt)
        self.carrier.carry(attempt, request.order, until)

    def refuse(self, job: str, retry_after: int) -> None:
        """Ends a request with a refusal; `retry_after`: microseconds, 0 where nothing is advised."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is not None and request.client is not None:
            client, request.client = request.client, None
            self._counters.add("answered_turned_down")
            if request.attempts:
                self.audit.refused(request.effect, request.attempts)
            client.turned_down(retry_after, not request.attempts)
            self._tidy(request)

    def fail(self, job: str) -> None:
        """Ends a request without a result."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is not None:
            self._fail(request, Failure.LATE if request.late else Failure.BROKEN)

    def cancel(self, job: str, attempt: int) -> None:
        """Gives up an attempt by its number; it ends as `api.CANCELLED` once the real server was told."""
        request = self._table.get(self._by_job.get(job, -1))
        if request is None or attempt >= len(request.attempts) or request.attempts[attempt].ended:
            return
        chosen = request.attempts[attempt]
        self.carrier.give_up(chosen).addBoth(lambda _: self.ended(chosen, api.CANCELLED))

    def probe(self, worker: int) -> None:
        """Probes a real server by its number."""
        self._counters.add("probes")
        self.carrier.probe(worker)

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Hands a datagram to the teller; without one nothing goes out."""
        if self.teller is not None:
            self.teller.tell(data, to)

    def watch(self) -> None:
        """Has discovery asked."""
        self.watcher.watch()

    def arm(self, time: int) -> None:
        """Wakes the module at `time`, microseconds on the node's clock."""
        self._deadlines.add(time, lambda: self._tell(lambda: self._balancer.wake(self._deadlines.now())))
