"""Flows: each from its arrival to its one final answer.

Implements the module's `Actions` and is the only caller of its `Balancer`.  Knows no protocol: whoever takes
flows in hands over an `Order` and an `Asker`, and all go through the same decisions under the same rules."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeAlias, TypeVar

from twisted.internet.defer import Deferred

from violetsaddle import interface as api
from violetsaddle.decide.proof import TABLE, Life, Word
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadline, Deadlines
from violetsaddle.net.limits import Limits
from violetsaddle.net.slots import SlotTable
from violetsaddle.net.tally import Tally
from violetsaddle.policy import Balancer

T = TypeVar("T")


class Unfit(Exception):
    """A flow that cannot be taken in; the text says why."""


class Failure(enum.Enum):
    """Why a flow failed, as far as its asker may want to tell."""

    BROKEN = "broken"  # a real server's error, or no word that it ran
    LATE = "late"  # time ran out


class Order(Protocol):
    """What a flow asks of a real server."""

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        """The bytes to send; the node waits for the outcome for so many microseconds."""


class Asker(Protocol):
    """Who waits for the flow's final answer; exactly one of these is called, once."""

    def served(self, result: bytes) -> None: ...

    def turned_down(self, come_back: int, before_sending: bool) -> None: ...

    def failed(self, why: Failure) -> None: ...

    def left(self) -> bool:
        """Whether it has gone, also if nobody was told yet: asked just before a scheduling leaves."""
        ...


class Scheduling:
    """One attempt of a flow at a real server."""

    __slots__ = (
        "flow",
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
        "real",
        "doubt",
    )

    def __init__(self, flow: int, job: str, number: int, server: int, sent: int, effect: str) -> None:
        self.effect = effect  # of its flow's class
        self.flow, self.job, self.number, self.server, self.sent = flow, job, number, server, sent
        self.life = Life.UNSENT
        self.late: Deadline | None = None
        self.unsent: Deadline | None = None  # its last byte must have left by then
        self.ticket: Deferred[Any] | None = None  # what carries it, while it does
        self.name = ""  # the real server's, as in its callbacks
        self.real: object = None  # what its carrier knows it by: the list may have dropped it meanwhile
        self.doubt = ""  # why it would start late, as far as could be seen (`Tally`)

    @property
    def ended(self) -> bool:
        """Its one outcome is known."""
        return self.life is Life.ENDED

    @property
    def held(self) -> bool:
        """The real server has the job, as far as is known."""
        return self.life in (Life.TAKEN, Life.RUNS)


class Carrier(Protocol):
    """What brings schedulings to real servers."""

    def carry(self, scheduling: Scheduling, order: Order, until: int) -> None: ...

    def give_up(self, scheduling: Scheduling) -> Deferred[None]:
        """Fires once the real server has been told, or can't be."""

    def probe(self, server: int) -> None: ...


class Teller(Protocol):
    """What brings words to the other nodes of the tier."""

    def tell(self, data: bytes, to: int | None = None) -> None: ...


class Doubter(Protocol):
    """What may know better than the list since when real servers run: `decide.recovery`.  Entries that it
    gives go to the module in place of the list's."""

    def listed(self, now: int, kind: str, entries: Sequence[api.Entry]) -> Sequence[api.Entry]: ...

    def refused(self, now: int, worker: int) -> None: ...

    def alive(self, now: int, worker: int) -> Sequence[api.Entry]: ...


class Watcher(Protocol):
    """What asks discovery."""

    def watch(self) -> None: ...


# Settings, seed, time and actions to something with the events of `Balancer`.
Decider: TypeAlias = Callable[[api.Settings, int, int, api.Actions], Any]


class Flow:
    __slots__ = (
        "number",
        "job",
        "order",
        "asker",
        "deadline",
        "schedulings",
        "guard",
        "late",
        "effect",
        "aim",
    )

    def __init__(self, job: str, order: Order, asker: Asker, deadline: int, spec: api.RequestClass) -> None:
        self.effect, self.aim = spec.effect, spec.aim
        self.number, self.job, self.order, self.deadline = -1, job, order, deadline
        self.asker: Asker | None = asker  # None: the final answer is given
        self.schedulings: list[Scheduling] = []
        self.guard: Deadline | None = None
        self.late = False  # time ran out on the last scheduling


class Flows:
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
        self._table: SlotTable[Flow] = SlotTable()
        self._by_job: dict[str, int] = {}
        self._events: deque[Callable[[], None]] = deque()
        self._telling = False
        self.carrier: Carrier
        self.watcher: Watcher
        self.doubter: Doubter | None = None  # None: the list is believed
        self.ending = False  # the program is to end: flows that come now have their answer by `last_word`
        self.last_word = 0
        self.teller: Teller | None = None  # None: there are no peers, or no way to them
        self._over: OrderedDict[str, None] = OrderedDict()  # ids of the last flows that are over
        self.when_idle: Callable[[], None] | None = None  # called when the last flow has ended
        self.elsewhere: set[str] = set()  # ids of flows that are open in another process of this node
        self.on_id: Callable[[str, bool], None] | None = None  # told of each id taken in, and when it is over
        self._balancer = decider(told, seed, deadlines.now(), self)
        self._tally = Tally(self._balancer, counters) if isinstance(self._balancer, Balancer) else None

    def __len__(self) -> int:
        return len(self._table)

    # Ids, for another process of the same node.

    def holds(self, job: str) -> bool:
        """Whether a flow with this id is open here."""
        return job in self._by_job

    def open_ids(self) -> list[str]:
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
        asker: Asker,
    ) -> int:
        """Takes a flow in and gives its number; raises `Unfit` if it can't be."""
        index = self._classes.get(cls)
        if index is None:
            raise Unfit("unknown class")
        place = self._tenants.get(tenant or "") if self._tenants else 0
        if place is None:
            raise Unfit("unknown tenant")
        if remaining <= 0:
            raise Unfit("no time remains")
        if self._told.classes[index].effect == api.KEYED and not repeat_key:
            raise Unfit("this class needs a key against repeats")
        # Guards against an id sent again once its flow is over: real servers may have run it already.
        if job in self._by_job or job in self._over or job in self.elsewhere:
            raise Unfit("the id is in use")
        now = self._deadlines.now()
        if self.ending:
            remaining = max(1, min(remaining, self.last_word - now))
        # The module's time ends a little before the client's: the answer needs some to arrive.
        given = remaining - min(self._limits.answer_margin, remaining // 10)
        flow = Flow(job, order, asker, now + given, self._told.classes[index])
        number = flow.number = self._table.put(flow)
        self._by_job[job] = number
        if self.on_id is not None:
            self.on_id(job, False)
        # Guards against a flow the module holds or lost past its deadline.
        flow.guard = self._deadlines.add(now + remaining, lambda: self._overdue(number))
        self._counters.add("flows")
        self._tell(lambda: self._request(number, index, place, given, slots, key, hint))
        return number

    def _request(
        self, number: int, cls: int, tenant: int, remaining: int, slots: float, key: int | None, hint: int
    ) -> None:
        flow = self._table.get(number)
        if flow is None:
            return
        try:
            # A guess beyond the class's whole time is none, and would spoil the module's means.
            hint = min(hint, self._told.classes[cls].deadline)
            self._balancer.request(
                flow.deadline - remaining, flow.job, cls, remaining, tenant, slots, key, hint
            )
        except Exception as error:
            self._counters.fault("the module failed on a flow", error)
            self._fail(flow, Failure.BROKEN)

    def leave(self, number: int) -> None:
        """The asker has gone: nothing more is owed."""
        flow = self._table.get(number)
        if flow is None or flow.asker is None:
            return
        self._counters.add("askers_gone")
        flow.asker = None
        job = flow.job
        self._tell(lambda: self._balancer.gone(self._deadlines.now(), job))
        for scheduling in flow.schedulings:
            if scheduling.life is Life.UNSENT:
                # It would still leave where it waits for a connection and cancels are not allowed.
                self.carrier.give_up(scheduling)
                self.ended(scheduling, api.MOOT)
        self._tidy(flow)

    def wanted(self, scheduling: Scheduling) -> bool:
        """Whether somebody waits for a scheduling whose first byte is to leave now."""
        flow = self._table.get(scheduling.flow)
        if flow is None or flow.asker is None or scheduling.life is not Life.UNSENT:
            return False
        if flow.asker.left():
            self.leave(flow.number)
            return False
        return True

    def listed(self, kind: str, entries: Sequence[api.Entry]) -> None:
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
        self._counters.add("probes_ok" if ok else "probes_failed")
        self._tell(lambda: self._balancer.probed(self._deadlines.now(), server, ok, report))

    def heard(self, peer: int, data: bytes) -> None:
        self._tell(lambda: self._balancer.heard(self._deadlines.now(), peer, data))

    # What outlives the program.

    def consult(self, what: Callable[[Any, int], T]) -> T:
        """Gives the module and the time to something that is no event and sends nothing."""
        return what(self._balancer, self._deadlines.now())

    def ids(self) -> list[str]:
        """Those that must not be taken again: of the flows that are over, and of those that are open."""
        return [*self._over, *self._by_job][-self._limits.remembered :]

    def remember(self, ids: Sequence[str]) -> None:
        """Ids of an earlier life of the program, the latest last."""
        for job in ids[-self._limits.remembered :]:
            if len(job) <= self._limits.identity:
                self._over[job] = None

    def find(self, job: str, name: str) -> Scheduling | None:
        """The scheduling that a real server, known by its name, may still speak of."""
        flow = self._table.get(self._by_job.get(job, -1))
        if flow is None or not flow.schedulings:
            return None
        last = flow.schedulings[-1]
        # Guards against a late word on an old scheduling: it must not end the present one.
        return last if last.name == name and last.life is not Life.ENDED else None

    def met(self, scheduling: Scheduling, name: str) -> bool:
        """Whether an earlier scheduling of its flow went to a real server of that name: which of the two a
        word is about could not be told."""
        flow = self._table.get(scheduling.flow)
        return flow is not None and any(s.name == name for s in flow.schedulings if s is not scheduling)

    def word(
        self,
        scheduling: Scheduling,
        word: Word,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> bool:
        """Takes in what is heard of a scheduling; False if it proves nothing and was passed over."""
        step = TABLE[scheduling.life].get(word)
        if step is None:
            return False
        if step.life is not Life.ENDED:
            scheduling.life = step.life
            if scheduling.unsent is not None:
                self._deadlines.drop(scheduling.unsent)
        if step.give_up:
            self._counters.add("odd_words")
            # Guards against a second copy: nobody has said for sure that the job does not run.
            self.carrier.give_up(scheduling).addBoth(lambda _: self.ended(scheduling, step.outcome, report))
        elif step.outcome:
            self.ended(scheduling, step.outcome, report, result)
        return True

    def noted(self, scheduling: Scheduling, what: int, amount: float) -> None:
        if scheduling.life is not Life.ENDED:
            self._met(scheduling.server, api.OK)
            flow = self._table.get(scheduling.flow)
            if self._tally is not None and flow is not None and what == api.STARTED:
                self._tally.over(scheduling, flow.aim, self._deadlines.now())
            self._tell(
                lambda: self._balancer.note(
                    self._deadlines.now(), scheduling.job, scheduling.number, what, amount
                )
            )

    def waits(self, scheduling: Scheduling) -> bool:
        """Whether somebody still waits for what becomes of it: once it ends, another may follow."""
        flow = self._table.get(scheduling.flow)
        return flow is not None and flow.asker is not None and not scheduling.ended

    def ended(
        self,
        scheduling: Scheduling,
        outcome: str,
        report: api.Report | None = None,
        result: bytes | None = None,
    ) -> None:
        """The one outcome of a scheduling; a second one is passed over."""
        if scheduling.life is Life.ENDED:
            return
        scheduling.life = Life.ENDED
        self._deadlines.drop(scheduling.late)
        if scheduling.unsent is not None:
            self._deadlines.drop(scheduling.unsent)
        if scheduling.ticket is not None:
            # Ended by a callback that overtook its 202.  Guards against a real server that dies before the
            # 202 comes through, without a word: the connection would wait for good.
            self._deadlines.after(self._limits.give_up, scheduling.ticket.cancel)
        self._counters.add("outcome_" + outcome)
        self._met(scheduling.server, outcome)
        flow = self._table.get(scheduling.flow)
        if flow is None:
            return
        flow.late = outcome == api.TIMEOUT
        if self._tally is not None:
            self._tally.over(scheduling, flow.aim, self._deadlines.now())
        if outcome != api.OK:
            self._counters.event(
                "scheduling ended badly",
                flow=scheduling.job,
                scheduling=scheduling.number,
                server=scheduling.name,
                outcome=outcome,
                after_us=self._deadlines.now() - scheduling.sent,
            )
        if outcome == api.OK and flow.asker is not None:
            asker, flow.asker = flow.asker, None
            self._counters.add("answered_served")
            asker.served(result or b"")
        over = flow.asker is None
        now = self._deadlines.now()
        self._tell(
            lambda: self._balancer.answer(
                now, scheduling.job, scheduling.number, outcome, now - scheduling.sent, over, report
            )
        )
        self._tidy(flow)

    def _overdue(self, number: int) -> None:
        flow = self._table.get(number)
        if flow is None or flow.asker is None:
            return
        self._counters.add("overdue")
        job = flow.job
        self._counters.event("flow overdue", "warning", flow=job)
        self._fail(flow, Failure.LATE)
        self._tell(lambda: self._balancer.gone(self._deadlines.now(), job))

    def _expired(self, scheduling: Scheduling) -> None:
        """Time ran out on a scheduling."""
        flow = self._table.get(scheduling.flow)
        if scheduling.ended or flow is None:
            return
        told = self.carrier.give_up(scheduling)
        if self._deadlines.now() >= flow.deadline:
            self.ended(scheduling, api.TIMEOUT)
        else:
            # Another scheduling may follow: it must not leave before the old one's end is out.
            told.addBoth(lambda _: self.ended(scheduling, api.TIMEOUT))

    def _too_late(self, scheduling: Scheduling) -> None:
        """Its last byte has not left by the time that is allowed: it never will."""
        if scheduling.life is Life.UNSENT:
            self._counters.add("left_unsent")
            self.carrier.give_up(scheduling)
            self.ended(scheduling, api.MOOT)

    def _fail(self, flow: Flow, why: Failure) -> None:
        if flow.asker is not None:
            asker, flow.asker = flow.asker, None
            self._counters.add("answered_failed")
            asker.failed(why)
        self._tidy(flow)

    def _tidy(self, flow: Flow) -> None:
        """A flow's slot is free once its answer is given and no scheduling is out."""
        if (
            flow.asker is None
            and all(s.life is Life.ENDED for s in flow.schedulings)
            and self._table.get(flow.number)
        ):
            self._deadlines.drop(flow.guard)
            self._table.free(flow.number)
            del self._by_job[flow.job]
            self._over[flow.job] = None
            while len(self._over) > self._limits.remembered:
                self._over.popitem(last=False)
            if self.on_id is not None:
                self.on_id(flow.job, True)
            if not len(self._table) and self.when_idle is not None:
                self.when_idle()

    # The module's actions.

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        flow = self._table.get(self._by_job.get(job, -1))
        if flow is None:
            return
        if flow.asker is not None and flow.asker.left():
            # Guards against one that has closed while we were busy: its end is still to be read.
            self.leave(flow.number)
        now = self._deadlines.now()
        until = min(until, flow.deadline) if until else flow.deadline
        scheduling = Scheduling(flow.number, job, len(flow.schedulings), worker, now, flow.effect)
        flow.schedulings.append(scheduling)
        if (
            flow.asker is None
            or now >= until
            or 0 < by <= now
            or len(flow.schedulings) > self._told.most_attempts
        ):
            self.ended(scheduling, api.MOOT)
            return
        scheduling.late = self._deadlines.add(until, lambda: self._expired(scheduling))
        if 0 < by < until:
            # Guards against a repeat that a slow connection brings when its group has forgotten the first.
            scheduling.unsent = self._deadlines.add(by, lambda: self._too_late(scheduling))
        self._counters.add("schedulings")
        if self._tally is not None:
            self._tally.sent(scheduling)
        self.carrier.carry(scheduling, flow.order, until)

    def refuse(self, job: str, retry_after: int) -> None:
        flow = self._table.get(self._by_job.get(job, -1))
        if flow is not None and flow.asker is not None:
            asker, flow.asker = flow.asker, None
            self._counters.add("answered_turned_down")
            asker.turned_down(retry_after, not flow.schedulings)
            self._tidy(flow)

    def fail(self, job: str) -> None:
        flow = self._table.get(self._by_job.get(job, -1))
        if flow is not None:
            self._fail(flow, Failure.LATE if flow.late else Failure.BROKEN)

    def cancel(self, job: str, attempt: int) -> None:
        flow = self._table.get(self._by_job.get(job, -1))
        if flow is None or attempt >= len(flow.schedulings) or flow.schedulings[attempt].ended:
            return
        scheduling = flow.schedulings[attempt]
        self.carrier.give_up(scheduling).addBoth(lambda _: self.ended(scheduling, api.CANCELLED))

    def probe(self, worker: int) -> None:
        self._counters.add("probes")
        self.carrier.probe(worker)

    def tell(self, data: bytes, to: int | None = None) -> None:
        if self.teller is not None:
            self.teller.tell(data, to)

    def watch(self) -> None:
        self.watcher.watch()

    def arm(self, time: int) -> None:
        self._deadlines.add(time, lambda: self._tell(lambda: self._balancer.wake(self._deadlines.now())))
