"""Warm starts: whom a starting node asks, whether a node answers, and what is believed of the answers.

Datagrams hold 256 bytes at most.  The module's tellings begin with 0 or 1, these with the magic: a node that
does not know them passes over them.  All numbers are big-endian.

    question  magic, kind, nonce u16, numbers u16 of those asked
    answer    magic, kind, nonce u16, age u16 (10 ms), then the fleet's values (`FLEET`) and the kinds'
    boxes     magic, kind, nonce u16, age u16 (10 ms), then boxes by their marks (`BOX`)

Values are floats of 16 bits or logarithms; each is checked against `memory.AGING_RULES` before it counts."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from random import Random
from struct import Struct, error
from typing import Any, NamedTuple

from violetsaddle.decide.memory import Adopted, BoxState, LearnedState, adopt_box, adopt_fleet, is_valid

MS = 1_000  # microseconds
SECOND = 1_000 * MS
MAGIC = 0xD7
VERSION = 2
QUESTION, ANSWER, BOXES = VERSION << 4 | 1, VERSION << 4 | 2, VERSION << 4 | 3
MOST = 254  # bytes: the longest with a length of 2 modulo 3 that a datagram may have

# Asking.
AT_ONCE = 2  # peers asked in a round
ROUNDS = 3
ROUND_FOR = 60 * MS  # drawn from half to one and a half of it: nodes started together must not ask together
LISTEN_FOR = SECOND
ENOUGH = 2  # answers; fewer count when a round is over
# Answering.
ANSWERS_A_SECOND, ANSWERS_SAVED = 10.0, 5.0
MOST_PARTS = 26  # datagrams of boxes in an answer, by need: a thousand boxes take 25
GROWN = 2 * SECOND  # who has run for less knows no more than who asks
RUNS = 5.0  # slots' worth of own runs behind an answer
KEPT_NONCES = 4096
# Believing.
OTHERS = 0.7  # how far a peer's word counts beside its age: its halls and clients are not this node's
FAIR = 0.5  # the least trust that a peer's word leaves: its way to a box may be cut, not the box
MOST_RUNS = 10.0  # slots' worth of own runs that all answers together count for

HEAD = Struct(">BBH")
AGED = Struct(">BBHH")
FLEET = ("slot_time", "slots", "pace", "mean_hint", "pressure", "crowd", "own_rate")
VALUES = Struct(f">{len(FLEET)}f")
KIND = Struct(">Bff")  # number, most free slots (below 0: unknown), mean speed (0: unknown)
BOX = Struct(">HBBBB")  # mark, speed over its kind's, errors, ill (100 ms left), trust
MOST_KINDS = 16


def shaped(data: bytes) -> bool:
    """Whether a datagram is one of these."""
    return len(data) % 3 == 2 and HEAD.size <= len(data) <= MOST and data[0] == MAGIC


def padded(data: bytes) -> bytes:
    """The datagram with up to two zero bytes behind it, so that its length tells it from the module's."""
    return data + bytes((2 - len(data)) % 3)


class Heard(NamedTuple):
    """What one peer has told: the fleet's values, and boxes by their marks."""

    age: int
    fleet: LearnedState
    boxes: dict[int, BoxState]


# Asking.


class Asking:
    """A node's questions at its start.  Calls give datagrams to send, as (peer's number, bytes)."""

    def __init__(self, me: int, schedulers: int, seed: int, now: int) -> None:
        """`me`: this node's number of `schedulers`; `seed`: whom it asks first; `now`: microseconds."""
        self._random = Random(seed)
        self._others = [n for n in range(schedulers) if n != me]
        self._nonce, self._rounds = self._random.getrandbits(16), 0
        self._asked: dict[int, int] = {}  # and when, the first time
        self._heard: dict[int, tuple[int, LearnedState | None, dict[int, BoxState]]] = {}
        self._until = now + LISTEN_FOR
        self.next = now  # when `due` is to be called again; after the end it means nothing
        self.over = not self._others

    @property
    def answered(self) -> int:
        """How many peers have told the fleet's values."""
        return sum(fleet is not None for _, fleet, _ in self._heard.values())

    def due(self, now: int) -> list[tuple[int, bytes]]:
        """The next round, if there is to be one.  Once enough is heard, `take` is to be called instead."""
        if self.over or self._rounds >= ROUNDS or self.answered:
            return []
        self._rounds += 1
        left = [n for n in self._others if n not in self._asked] or self._others
        self._random.shuffle(left)
        chosen = left[:AT_ONCE]
        for n in chosen:
            self._asked.setdefault(n, now)
        wait = int(ROUND_FOR * (0.5 + self._random.random()))
        self.next = min(self._until, now + wait) if self._rounds < ROUNDS else self._until
        named = (chosen * AT_ONCE)[:AT_ONCE]
        data = HEAD.pack(MAGIC, QUESTION, self._nonce) + b"".join(n.to_bytes(2, "big") for n in named)
        return [(n, padded(data)) for n in chosen]

    def hear(self, now: int, origin: int, data: bytes) -> None:
        """A datagram from a peer; whatever is none of the answers asked for is passed over."""
        if self.over or origin not in self._asked:
            return
        answer = _read(data, self._nonce)
        if answer is None:
            return
        age, fleet, boxes = answer
        # How long it was on its way is not known: it counts from the question, so that it is never older
        # than it is taken to be.
        at = self._asked[origin] - age
        _, told, known = self._heard.get(origin, (at, None, {}))
        self._heard[origin] = (at, told if fleet is None else fleet, {**boxes, **known})

    def ready(self, now: int) -> bool:
        """Whether to believe now what was heard; it is done once."""
        last = self._rounds > 0 and now >= self.next
        return not self.over and self.answered >= (1 if last else min(ENOUGH, len(self._others)))

    def late(self, now: int) -> bool:
        """The time for asking is up."""
        return not self.over and now >= self._until

    def take(self, now: int) -> list[Heard]:
        """Ends the asking; what was heard, the newest first."""
        self.over = True
        heard = [
            Heard(now - at, fleet, boxes) for at, fleet, boxes in self._heard.values() if fleet is not None
        ]
        return sorted(heard, key=lambda one: one.age)


# Answering.


class Answering:
    """Whether and what a node answers."""

    def __init__(self, me: int, now: int) -> None:
        """`me`: this node's number; `now`: when it started, microseconds."""
        self._me, self._began = me, now
        self._tokens, self._at = ANSWERS_SAVED, now
        self._done: OrderedDict[tuple[int, int], None] = OrderedDict()  # answered: a doubled question is one
        self.held_back = 0

    def answer(self, balancer: Any, now: int, origin: int, data: bytes) -> list[bytes]:
        """The datagrams for a question; none where it is no question to this node, where this node knows too
        little of its own, or where it has answered enough."""
        asked = _asked(data)
        if asked is None or self._me not in asked[1] or origin == self._me:
            return []
        if (origin, asked[0]) in self._done or now - self._began < GROWN or balancer.fleet.slots < RUNS:
            return []
        self._tokens = min(ANSWERS_SAVED, self._tokens + (now - self._at) * ANSWERS_A_SECOND / SECOND)
        self._at = now
        if self._tokens < 1.0:
            self.held_back += 1
            return []
        self._tokens -= 1.0
        self._done[origin, asked[0]] = None
        if len(self._done) > KEPT_NONCES:
            self._done.popitem(last=False)
        return told(balancer, now, asked[0])


def _asked(data: bytes) -> tuple[int, Sequence[int]] | None:
    if not shaped(data) or data[1] != QUESTION:
        return None
    numbers = [int.from_bytes(data[at : at + 2], "big") for at in range(HEAD.size, len(data) - 1, 2)]
    return HEAD.unpack_from(data)[2], numbers[:AT_ONCE]


def told(balancer: Any, now: int, nonce: int) -> list[bytes]:
    """What a node knows, in datagrams."""
    fleet = balancer.fleet
    last = max((worker.life for worker in balancer.workers.values()), default=0)
    age = max(0, min(0xFFFF, (now - last) // (10 * MS))) if last else 0xFFFF
    values = [getattr(fleet if name in ("slot_time", "slots", "pace") else balancer, name) for name in FLEET]
    data = AGED.pack(MAGIC, ANSWER, nonce, age) + VALUES.pack(*(_single(v) for v in values))
    kinds = sorted({*fleet.most_free, *balancer.speeds})[:MOST_KINDS]
    for kind in kinds:
        if kind < 256:
            data += KIND.pack(
                kind, _single(fleet.most_free.get(kind, -1.0)), _single(balancer.speeds.get(kind, 0.0))
            )
    found = [padded(data)]
    most = (MOST - 2 - AGED.size) // BOX.size
    boxes = sorted(_worth_telling(balancer, now), key=lambda pair: -pair[0])[: MOST_PARTS * most]
    for at in range(0, len(boxes), most):
        part = AGED.pack(MAGIC, BOXES, nonce, age) + b"".join(box for _, box in boxes[at : at + most])
        found.append(padded(part))
    return found


def _single(value: float) -> float:
    return value if abs(value) < 3e38 else 0.0


def _worth_telling(balancer: Any, now: int) -> Iterator[tuple[float, bytes]]:
    """Boxes with how much there is to say of each; those that are as all are left out."""
    for worker in balancer.workers.values():
        kind = balancer.speeds.get(worker.kind, 0.0)
        ratio = worker.speed / kind if worker.speed and kind else 1.0
        ill = max(0, worker.ill_until - now)
        much = abs(math.log(max(ratio, 1e-3))) + 4.0 * (ill > 0) + worker.errors + 1.0 - worker.trust
        if much > 0.1:
            speed = min(255, max(1, round(128 + 32 * math.log2(max(ratio, 1e-3)))))
            yield (
                much,
                BOX.pack(
                    worker.mark,
                    speed,
                    round(255 * min(1.0, worker.errors)),
                    min(255, ill // (100 * MS)),
                    round(255 * min(1.0, worker.trust)),
                ),
            )


def _read(data: bytes, nonce: int) -> tuple[int, LearnedState | None, dict[int, BoxState]] | None:
    """An answer to this question: its age, the fleet's values where it holds them, and its boxes."""
    try:
        magic, kind, number, age = AGED.unpack_from(data)
        if not shaped(data) or number != nonce:
            return None
        if kind == ANSWER:
            values = dict(zip(FLEET, VALUES.unpack_from(data, AGED.size)))
            fleet = LearnedState(0, values=values)
            for at in range(AGED.size + VALUES.size, len(data) - KIND.size + 1, KIND.size):
                one, free, speed = KIND.unpack_from(data, at)
                if is_valid(free, "most_free"):
                    fleet.most_free[one] = free
                if is_valid(speed, "speeds"):
                    fleet.speeds[one] = speed
            return age * 10 * MS, fleet, {}
        if kind == BOXES:
            boxes = {}
            for at in range(AGED.size, len(data) - BOX.size + 1, BOX.size):
                mark, speed, errors, ill, trust = BOX.unpack_from(data, at)
                boxes[mark] = BoxState(
                    0, 2.0 ** ((speed - 128) / 32), errors / 255, ill * 100 * MS, 0, trust / 255
                )
            return age * 10 * MS, None, boxes
    except error:
        pass
    return None


# Believing.


def believe(balancer: Any, heard: Sequence[Heard], now: int, began: int, own_runs: bool = False) -> Adopted:
    """Takes over what peers have told, for boxes that the node's own list names.  `began`: when the node
    started, on the module's clock; `own_runs`: it has seen runs end since, and knows the fleet itself.

    Of the fleet's values the median counts, so that one peer that lies does not (of two the lower); of boxes
    the newest word.  Boxes that share a mark are left out, and so is what this node has seen itself."""
    found = Adopted(min((one.age for one in heard), default=0))
    if not heard:
        found.reason = "no peer answered"
        return found
    age = max(0, sorted(one.age for one in heard)[len(heard) // 2])
    if not own_runs:
        adopt_fleet(balancer, _middle(heard), age, found, OTHERS)
    marks = Counter(worker.mark for worker in balancer.workers.values())
    for worker in balancer.workers.values():
        if marks[worker.mark] > 1:
            continue
        told = next(((one.age, one.boxes[worker.mark]) for one in heard if worker.mark in one.boxes), None)
        if told is None or worker.life > began:
            continue
        _believe_box(balancer, worker, told[1], now, max(0, told[0]))
        found.boxes += 1
    return found


def _believe_box(balancer: Any, worker: Any, box: BoxState, now: int, age: int) -> None:
    kind = balancer.speeds.get(worker.kind, 0.0)
    fair = BoxState(box.started, box.speed * kind, box.errors, box.unhealthy_left, 0, max(FAIR, box.trust))
    adopt_box(balancer, worker, fair, now, age, False, OTHERS)


def median_low(values: Iterable[float]) -> float:
    """The median; of two in the middle the lower.  The library's own would cost a node a megabyte."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def _middle(heard: Sequence[Heard]) -> LearnedState:
    whole = LearnedState(0)
    for name in FLEET:
        told = [one.fleet.values[name] for one in heard if is_valid(one.fleet.values[name], name)]
        if told and name not in ("slot_time", "slots"):
            whole.values[name] = median_low(told)
    runs = [
        (m.values["slot_time"] / m.values["slots"], m.values["slots"])
        for m in (h.fleet for h in heard)
        if is_valid(m.values["slot_time"], "slot_time")
        and is_valid(m.values["slots"], "slots")
        and m.values["slots"] >= 1.0
    ]
    if runs:
        mean, slots = median_low(time for time, _ in runs), min(MOST_RUNS, median_low(s for _, s in runs))
        whole.values["slot_time"], whole.values["slots"] = mean * slots, slots
    for name, table in (("most_free", whole.most_free), ("speeds", whole.speeds)):
        every = [getattr(one.fleet, name) for one in heard]
        for kind in sorted({kind for one in every for kind in one}):
            table[kind] = median_low(one[kind] for one in every if kind in one)
    return whole
