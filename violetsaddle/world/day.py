"""A day: one draw from a scenario, with everything fixed that the world will do of itself.

All times are integer microseconds since the day's start, all work is in microseconds on a core of speed 1,
all lists are indexed by position.  `scenario.draw` makes days; stages, judge and score read them."""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np
from xxhash import xxh64_intdigest

MS = 1_000
SECOND = 1_000 * MS

SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"  # what a repeat of a job may do


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine kind."""

    name: str
    cores: int
    speed: float  # work done in a microsecond by one core


class BoxSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One job box as it is when nothing troubles it."""

    name: str  # as the roster names it
    hall: int
    kind: int
    cell: int
    cores: int
    speed: float  # of each core; its own draw around its kind's
    slots: int  # jobs (by width) that run at once
    queue: int  # slots that may wait; more is turned away
    connections: int  # held at once; more are refused
    handshake: int  # work that a new connection costs the box
    handshake_delay: int  # by which a new connection's first request is late
    probe: int  # work that a probe costs the box
    report_every: int  # how old its load report may get
    keepalive: int  # an idle connection is closed after this
    started: int = 0  # time of its last start, below 0 before the day; 0: long ago
    joins: int = 0  # not there before this time
    leaves: int = 0  # drained at this time; 0: stays


class ClassSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs and what its clients want."""

    name: str
    effect: str  # SAFE, KEYED or UNSAFE
    share: float  # of the jobs
    mean_work: int
    sigma: float  # of the lognormal distribution of work
    aim: int  # an answer by aim + stretch * own running time earns the worth
    stretch: float
    deadline: int  # clients give a try up after this
    worth: float  # for each second of work
    group: str = "zone"  # KEYED: which boxes drop a repeat: all, zone (a hall's) or cell
    window: int = 0  # KEYED: for how long after the first send
    slots: int = 1


class TenantSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    share: float
    traffic: float  # its part of the jobs, which may exceed its share
    allowance_per_s: float = 0.0  # jobs a second within its share, over all nodes; 0: not limited


class LinkSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The network: one way delays."""

    same: int  # within a hall
    cross: int  # between halls
    client: int  # between clients and nodes
    jitter: float  # share of a delay drawn anew for each piece
    datagram_least: int
    datagram_most: int
    datagram_loss: float
    datagram_twice: float
    cut_bytes: float  # share of writes that arrive in several pieces, cut at any byte


class LoadSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What clients do."""

    rate: float  # jobs a second, first tries, on average
    swing: float  # share by which the rate goes up and down
    period: int
    halls: tuple[float, ...]  # each hall's part of the traffic
    tries: int  # at most, the first included
    backoff: int  # wait before another try; 0: at once
    heeds: float  # share of clients that wait as long as Retry-After says
    most_wait: int  # the longest advice heeded
    leaves: float  # share of tries that the client gives up early
    hint_sigma: float  # of the lognormal error of the hint; below 0: no hints
    keys: int  # different subjects (sid); 0: none is named
    connections: int = 0  # that each hall's clients may hold; 0: as many as they need
    notice: int = SECOND  # the front notices a dead node so late
    keeps: int = 0  # clients close a connection that was not used for so long; 0: never
    shuns: bool = False  # once a client finds no node for a new connection, the kept ones are not used either


class RosterSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Discovery."""

    notice: int  # until it lists a change it was told of (drain, planned restart)
    silent_notice: int  # until it notices a death
    add: int  # until it lists a box that has started
    period: int  # it looks for changes this often
    capacity: float  # calls it works on a second
    call_lines: int  # list lines that cost as much as a call
    timeout: int  # a call that waited so long in its queue ends with 503


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong from `at` to `until`; kinds and their figures are in `troubles`."""

    kind: str
    at: int
    until: int
    boxes: tuple[int, ...] = ()
    nodes: tuple[int, ...] = ()
    halls: tuple[int, ...] = ()
    factor: float = 1.0


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the rules."""

    drain_grace: int = 500 * MS
    grace_to_answer: int = 100 * MS
    cold_from: float = 0.14
    cold_for: int = 23 * SECOND
    fall_multiple: float = 4.0
    fall_after: int = 2 * SECOND
    ask_within: int = 10 * SECOND
    most_attempts: int = 3
    dial: int = 250 * MS
    slack: int = 50 * MS  # added to every time limit
    advice: bool = True  # a turn-down may carry Retry-After
    probes: bool = True
    tellings: bool = True
    cancel: bool = True
    progress_every: int = SECOND


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One drawn day.  Two days that are equal are played alike."""

    scenario: str
    seed: int
    length: int
    halls: tuple[str, ...]
    nodes: tuple[int, ...]  # the hall of each node; its name is n0, n1, ...
    kinds: tuple[Kind, ...]
    boxes: tuple[BoxSpec, ...]
    classes: tuple[ClassSpec, ...]
    tenants: tuple[TenantSpec, ...]
    links: LinkSpec
    load: LoadSpec
    roster: RosterSpec
    rules: Rules = Rules()
    troubles: tuple[Trouble, ...] = ()
    over_share_worth: float = 0.05
    sockets: int = 1024  # descriptors of a node


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One job that a client wants done; its tries carry ids of their own."""

    number: int
    at: int  # of its first try
    cls: int
    tenant: int
    hall: int
    work: int
    hint: int  # 0: none
    slots: int
    key: str  # the Idempotency-Key, new for each item; "" where the class has none
    subject: str  # sid; "" for none
    heeds: bool  # its client waits as Retry-After says
    patience: int  # the client leaves after so long on each try; 0: only at the deadline
    body: bytes


def chance(seed: int, *path: str | int) -> np.random.Generator:
    """A random source of its own for each party: `chance(day.seed, "box", 3)`.

    The same for the same arguments on every machine and run; drawing from one never moves another."""
    words = [xxh64_intdigest(str(part).encode()) & 0xFFFFFFFF for part in path]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=words)))


def encode(day: Day) -> bytes:
    """JSON of a day, the same bytes for equal days."""
    return msgspec.json.encode(day)


def decode(data: bytes) -> Day:
    """The day that `encode` wrote; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(data, type=Day)


def settings(day: Day, node: int) -> dict[str, Any]:
    """The settings object of a node on this day, in the platform's form."""
    rules = day.rules
    effects = {SAFE: "retryable", KEYED: "dedup", UNSAFE: "fragile"}
    return {
        "requestClasses": [
            {
                "name": c.name,
                "target": c.aim,
                "deadline": c.deadline,
                "idempotency": effects[c.effect],
                "group": c.group,
                "dedupWindow": c.window,
            }
            for c in day.classes
        ],
        "tenants": [
            {"name": t.name, "share": t.share, "allowancePerS": t.allowance_per_s} for t in day.tenants
        ],
        "failureDomains": list(day.halls),
        "zone": day.nodes[node],
        "kinds": [k.name for k in day.kinds],
        "ordinal": node,
        "siblings": len(day.nodes),
        "period": 1000,
        "discovery": "ask",
        "weights": "silent",
        "report": {"names": ["x0", "utilization", "errors_per_s"], "via": "pull"},
        "familyInfo": {
            "reportX0": "free slots",
            "tellsStart": True,
            "progress": rules.progress_every,
            "classStretch": [c.stretch for c in day.classes],
        },
        "permissions": {
            "mayProbe": rules.probes,
            "mayTell": rules.tellings,
            "cancel": rules.cancel,
            "secondCopies": False,
            "retryAfter": rules.advice,
            "maxRetryAfter": day.load.most_wait,
            "mostTries": rules.most_attempts,
            "dialTimeout": rules.dial,
            "keepalive": min((b.keepalive for b in day.boxes), default=10 * SECOND),
        },
        "safety": {
            "drainGrace": rules.drain_grace,
            "coldFrom": rules.cold_from,
            "cold": rules.cold_for,
            "fallMultiple": rules.fall_multiple,
            "tipAfter": rules.fall_after,
            "askEvery": rules.ask_within,
            "graceToAnswer": rules.grace_to_answer,
        },
    }
