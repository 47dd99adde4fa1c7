"""The interface of violetsaddle: settings, events, actions and outcomes, in the words of the field.

Times are microseconds on one clock that only goes forward.  Events are the public methods of
`violetsaddle.policy.Balancer`; what it decides goes to an object with the methods of `Actions`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import NamedTuple, Protocol

OK, ERROR, FULL, TIMEOUT = "ok", "error", "full", "timeout"
CONNECT_FAILED, RESET, CANCELLED, MOOT = "connect_failed", "reset", "cancelled", "moot"
OUTCOMES = frozenset((OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT))
NEVER_RAN = frozenset((FULL, CONNECT_FAILED, MOOT))  # these prove that the attempt never ran

STARTED, PROGRESS = 1, 2  # what a note about an attempt says
ACTIVE, DRAINING, GONE = "active", "draining", "gone"  # states of a worker on the list
SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"  # what a repeat of a request may do
DIFF, SNAPSHOT, DISK, LIST_ERROR = "diff", "snapshot", "disk", "error"  # kinds of list event


class SettingsError(ValueError):
    """A setting is missing, of the wrong type or out of range; the text names it."""


class EventError(ValueError):
    """An event that cannot be: an unknown class, an id given twice, an attempt never made."""


class Entry(NamedTuple):
    """One worker on the list."""

    worker: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started: int = 0  # clock time of its last start; 0: long ago
    state: str = ACTIVE


@dataclass(frozen=True)
class RequestClass:
    """What the clients expect of one class of requests."""

    aim: int  # an answer within this earns the full worth
    deadline: int
    effect: str = SAFE
    group: str = "all"  # keyed only: which workers drop a repeat: all, zone or cell
    window: int = 0  # keyed only: for how long after the first send
    stretch: float = 0.0  # the aim grows by this many times the job's own work
    stream: bool = False
    worker_kind: int = -1  # the machine kind that runs it; -1: any


@dataclass(frozen=True)
class Tenant:
    """A tenant's told share of the fleet."""

    share: float = 1.0
    allowance_per_s: float = 0.0  # requests a second inside its share, over all schedulers; 0: not told


# What may change while requests are in flight: of classes aim and stretch, of tenants all but their number.
CHANGEABLE = frozenset(
    ("classes", "tenants", "may_probe", "may_cancel", "second_copies", "may_advise", "most_advice")
    + ("most_attempts", "cross_zone_price", "fetch_price")
)


@dataclass(frozen=True)
class Settings:
    """All a scheduler is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    zones: int = 1
    zone: int = 0
    kinds: int = 1
    me: int = 0
    schedulers: int = 1
    tick: int = 1000  # least time between two batches of events
    must_ask: bool = False  # the list comes only when asked for
    live_weights: bool = False  # weights follow the load
    report: frozenset[str] = field(default_factory=frozenset)  # names of the values reported
    report_by_probe: bool = False
    tells_start: bool = False
    progress_every: int = 0  # 0: no progress is told
    may_probe: bool = False
    may_tell: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    may_advise: bool = False  # a refusal may carry a retry-after
    most_advice: int = 1_000_000
    most_attempts: int = 3
    connect_timeout: int = 250_000
    keepalive: int = 10_000_000
    drain_grace: int = 1_000_000
    cold_from: float = 1.0  # a fresh worker's least share of its capacity
    cold_for: int = 0
    fall_multiple: float = 3.0
    fall_after: int = 2_000_000  # that many times its capacity for so long push a cold worker over
    ask_within: int = 10_000_000
    cross_zone_price: float = 0.0
    fetch_price: float = 0.0  # of an origin fetch for each request

    def __post_init__(self) -> None:
        """Raises `SettingsError`, which names the first setting out of range."""
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
        for name, good in checks:
            if not good:
                raise SettingsError(f"setting {name!r} is out of range")

    def check_change(self, told: Settings) -> None:
        """Raises `SettingsError` where `told` differs in what can't change while requests are in flight."""
        for name in (f.name for f in fields(self)):
            if name not in CHANGEABLE and getattr(self, name) != getattr(told, name):
                raise SettingsError(f"setting {name!r} can't be changed at work")
        if len(self.tenants) != len(told.tenants):
            raise SettingsError("setting 'tenants' can't change its number at work")
        after = tuple(
            replace(new, aim=old.aim, stretch=old.stretch) for old, new in zip(self.classes, told.classes)
        )
        if self.classes != after or len(self.classes) != len(told.classes):
            raise SettingsError("setting 'classes' can change aim and stretch alone at work")


Report = Mapping[str, float]


class Actions(Protocol):
    """What a balancer asks its scheduler to do; attempts count from 0 in the order of `send`."""

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        """An attempt; it is given up at `until` (0: at the deadline), and ends as `MOOT` if its last byte has
        not left at `by`, beyond which it might no longer be known for a repeat."""

    def refuse(self, job: str, retry_after: int) -> None:
        """The request's final answer: it is turned down.  `retry_after`: microseconds after which its client
        may ask again, 0 where nothing is advised."""

    def fail(self, job: str) -> None:
        """The request's final answer: no result."""

    def cancel(self, job: str, attempt: int) -> None:
        """Gives up an attempt; its outcome, `CANCELLED` or what came first, is still told."""

    def probe(self, worker: int) -> None:
        """Asks a worker whether it is up and how loaded it is; the answer is an event, once."""

    def tell(self, data: bytes, to: int | None = None) -> None:
        """To one peer by its number, or to every peer; may be lost."""

    def watch(self) -> None:
        """Asks for the list or its changes; the answer is an event."""

    def arm(self, time: int) -> None:
        """The event `wake` is to come at `time`, microseconds on the module's clock, or soon after."""
