"""The public interface of the decision module: settings, event values, actions and outcomes.

All times are whole microseconds on one monotonic clock.  Events are the public methods of
`violetsaddle.policy.Balancer`.  The balancer calls the methods of `Actions` with its decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import NamedTuple, Protocol

# Outcomes of an attempt.
OK = "ok"  # the worker sent a result
ERROR = "error"  # the attempt failed, or its answer was not valid; it may have run
FULL = "full"  # the worker turned the attempt away before it started
TIMEOUT = "timeout"  # no outcome in time; the attempt may have run
CONNECT_FAILED = "connect_failed"
RESET = "reset"  # the connection or the job was lost; the attempt may have run
CANCELLED = "cancelled"
MOOT = "moot"  # the last byte had not left in time (see `Actions.send`)
OUTCOMES = frozenset((OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT))
NEVER_RAN = frozenset((FULL, CONNECT_FAILED, MOOT))  # outcomes that prove that the attempt never ran

# Kinds of note about an attempt.
STARTED = 1
PROGRESS = 2

# States of a worker on the list.
ACTIVE = "active"
DRAINING = "draining"
GONE = "gone"

# Whether a request may be repeated after an attempt that may have run.
SAFE = "safe"  # a repeat does no harm
KEYED = "keyed"  # workers of one group drop a repeat within a time window
UNSAFE = "unsafe"  # it must not run twice

# Kinds of list event.
DIFF = "diff"  # only the workers that changed
SNAPSHOT = "snapshot"  # all workers
CORRECTION = "correction"  # some workers, not as the answer to a watch
DISK = "disk"  # all workers, from a stored list that may be out of date
LIST_ERROR = "error"  # discovery gave no list


class SettingsError(ValueError):
    """A setting is missing, has the wrong type or is out of range; the message names the setting."""


class EventError(ValueError):
    """An event is not valid, for example an unknown class, a duplicate request id or an unknown attempt."""


class Entry(NamedTuple):
    """One worker on the list."""

    worker: int  # the worker's id
    zone: int = 0  # index of its failure domain
    cell: int = 0  # number of its cell, a group of workers inside a zone
    kind: int = 0  # index of its machine kind
    weight: float = 1.0  # its share of the load relative to other workers
    started: int = 0  # time of its last start in microseconds; 0: long ago
    state: str = ACTIVE  # `ACTIVE`, `DRAINING` or `GONE`


@dataclass(frozen=True)
class RequestClass:
    """Latency goals and repeat rules of one class of requests; times are microseconds."""

    aim: int  # target latency: an answer within it has its full value
    deadline: int  # an answer that takes longer is of no use
    effect: str = SAFE  # `SAFE`, `KEYED` or `UNSAFE`
    group: str = "all"  # `KEYED` only: which workers drop a repeat: "all", or those of one "zone" or "cell"
    window: int = 0  # `KEYED` only: how long after the first send they drop a repeat
    stretch: float = 0.0  # `aim` grows by this factor times the job's own running time
    stream: bool = False  # whether answers may stream
    worker_kind: int = -1  # index of the only machine kind that runs this class; -1: any kind


@dataclass(frozen=True)
class Tenant:
    """A tenant's configured share of the fleet."""

    share: float = 1.0  # relative to the sum of all tenants' shares
    allowance_per_s: float = 0.0  # requests per second within its share, over all schedulers; 0: not set


# Settings that may change while requests are in flight.  Of a class only `aim` and `stretch` may change, and
# the number of tenants may not.
CHANGEABLE = frozenset(
    ("classes", "tenants", "may_probe", "may_cancel", "second_copies", "may_advise", "most_advice")
    + ("most_attempts", "cross_zone_price", "fetch_price")
)


@dataclass(frozen=True)
class Settings:
    """The configuration of one scheduler; times are microseconds."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    zones: int = 1  # number of zones
    zone: int = 0  # index of the scheduler's own zone
    kinds: int = 1  # number of machine kinds
    me: int = 0  # the scheduler's own number, from 0
    schedulers: int = 1  # number of schedulers
    tick: int = 1000  # shortest interval between two batches of events
    must_ask: bool = False  # whether the list comes only after `Actions.watch`
    live_weights: bool = False  # whether the weights on the list follow the load
    report: frozenset[str] = field(default_factory=frozenset)  # names of the values that workers report
    report_by_probe: bool = False  # whether a probe returns the report
    tells_start: bool = False  # whether workers tell when an attempt starts
    progress_every: int = 0  # interval between progress notes of a running attempt; 0: none are sent
    may_probe: bool = False  # whether `Actions.probe` is allowed
    may_tell: bool = False  # whether `Actions.tell` is allowed
    may_cancel: bool = False  # whether `Actions.cancel` is allowed
    second_copies: bool = False  # whether a request may have two attempts at a time
    may_advise: bool = False  # whether a refusal may have a retry-after
    most_advice: int = 1_000_000  # upper limit of a retry-after
    most_attempts: int = 3  # attempts per request
    connect_timeout: int = 250_000  # for a connection to a worker
    keepalive: int = 10_000_000  # how long a worker keeps an idle connection open
    drain_grace: int = 1_000_000  # how long a draining worker still accepts attempts
    cold_from: float = 1.0  # part of its capacity that a worker has right after its start, above 0, at most 1
    cold_for: int = 0  # time from a worker's start to its full capacity
    fall_multiple: float = 3.0  # load that makes a cold worker fail, in multiples of its capacity
    fall_after: int = 2_000_000  # how long that load must last to make it fail
    ask_within: int = 10_000_000  # `must_ask` only: longest interval between two requests for the list
    cross_zone_price: float = 0.0  # cost of an attempt in another zone
    fetch_price: float = 0.0  # cost of a fetch from the origin, per request

    def __post_init__(self) -> None:
        """Raises `SettingsError` that names the first setting out of range."""
        checks = (
            ("classes", len(self.classes) > 0),
            ("tenants", len(self.tenants) > 0 and all(t.share >= 0 for t in self.tenants)),
            ("schedulers", self.schedulers >= 1),
            ("zone", 0 <= self.zone < max(1, self.zones)),
            ("most_attempts", self.most_attempts >= 1),
            ("cold_from", 0 < self.cold_from <= 1),
            ("fall_multiple", self.fall_multiple > 0),
            ("fall_after", self.fall_after > 0),
            ("classes.aim", all(c.aim > 0 for c in self.classes)),
            ("classes.deadline", all(c.deadline > 0 for c in self.classes)),
            ("classes.effect", all(c.effect in (SAFE, KEYED, UNSAFE) for c in self.classes)),
            ("classes.group", all(c.group in ("all", "zone", "cell") for c in self.classes)),
        )
        for name, valid in checks:
            if not valid:
                raise SettingsError(f"setting {name!r} is out of range")

    def check_change(self, changed: Settings) -> None:
        """Raises `SettingsError` if `changed` differs in a setting that is not in `CHANGEABLE`."""
        for name in (f.name for f in fields(self)):
            if name not in CHANGEABLE and getattr(self, name) != getattr(changed, name):
                raise SettingsError(f"setting {name!r} can't be changed while the scheduler runs")
        if len(self.tenants) != len(changed.tenants):
            raise SettingsError("the number of 'tenants' can't be changed while the scheduler runs")
        without_changeable = tuple(
            replace(new, aim=old.aim, stretch=old.stretch) for old, new in zip(self.classes, changed.classes)
        )
        if self.classes != without_changeable or len(self.classes) != len(changed.classes):
            raise SettingsError("only aim and stretch of 'classes' can be changed while the scheduler runs")


Report = Mapping[str, float]  # values that a worker reports about itself, by name


class Actions(Protocol):
    """The calls that a balancer makes on its scheduler.

    A request's attempts are numbered from 0 in the order of `send`.  Times are microseconds.
    """

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        """Sends an attempt of the request `job` to a worker.

        The scheduler gives the attempt up at the time `until` (0: at the request's deadline).  If the last
        byte has not left at the time `by` (0: no limit), the attempt ends as `MOOT`: a worker might no longer
        recognise it as a repeat.
        """

    def refuse(self, job: str, retry_after: int) -> None:
        """Ends the request with a refusal.

        `retry_after`: microseconds after which the client may try again; 0: no advice.
        """

    def fail(self, job: str) -> None:
        """Ends the request without a result."""

    def cancel(self, job: str, attempt: int) -> None:
        """Gives up an attempt.  Its outcome still follows: `CANCELLED`, or whatever came first."""

    def probe(self, worker: int) -> None:
        """Asks a worker for its health and load.  Exactly one event answers."""

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Sends a message to the scheduler with number `to`, or to all others.  Messages may be lost."""

    def watch(self) -> None:
        """Requests the list of workers or its changes.  An event answers."""

    def arm(self, time: int) -> None:
        """Schedules the event `wake` for `time` or soon after."""
