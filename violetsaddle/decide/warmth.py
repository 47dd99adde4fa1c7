"""Warm starts: which peers a starting node asks, whether a node answers, and what is adopted of the answers.

A datagram holds at most 256 bytes.  These begin with `MAGIC` and have a length of 2 modulo 3, by which they
differ from the decision module's own (`gossip_codec`); a node that does not know them ignores them.  All
numbers are big-endian.

    question  magic, kind, nonce u16, numbers u16 of the nodes that are asked
    answer    magic, kind, nonce u16, age u16 (10 ms), then the values of the fleet (`FLEET`) and of the kinds
    boxes     magic, kind, nonce u16, age u16 (10 ms), then boxes by their marks (`BOX_ENTRY`)

Values of the fleet and of the kinds are 32-bit floats; those of a box are one byte each, its speed on a
logarithmic scale.  Each value is checked against `memory.AGING_RULES` before it is adopted."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from random import Random
from struct import Struct, error
from typing import Any, NamedTuple

from violetsaddle.decide.memory import (
    Adopted,
    BoxState,
    LearnedState,
    adopt_box,
    adopt_fleet,
    attribute,
    is_valid,
)

MS = 1_000  # microseconds
SECOND = 1_000 * MS
MAGIC = 0xD7
VERSION = 2
QUESTION, ANSWER, BOXES = VERSION << 4 | 1, VERSION << 4 | 2, VERSION << 4 | 3
MAX_DATAGRAM = 254  # bytes: the longest allowed one whose length is 2 modulo 3

# Asking.
PEERS_PER_ROUND = 2
MAX_ROUNDS = 3
ROUND_DURATION = 60 * MS  # drawn from half to one and a half of it, so that nodes started together spread out
LISTEN_DURATION = SECOND
ENOUGH_ANSWERS = 2  # one is enough once a round is over
# Answering.
ANSWERS_PER_SECOND = 10.0
ANSWER_BURST = 5.0
MAX_BOX_DATAGRAMS = 26  # in one answer, the most informative boxes first; a thousand boxes take 25
MIN_UPTIME = 2 * SECOND  # a node that has run for less knows no more than the one that asks
MIN_RUN_SLOTS = 5.0  # of recent own runs that an answer must rest on
MAX_NONCES = 4096  # kept to detect duplicate questions
# Adopting.
PEER_WEIGHT = 0.7  # beside the weight by age: a peer's zone and clients are not those of this node
MIN_PEER_TRUST = 0.5  # a peer's word lowers trust no further: its path to a box may be cut, not the box down
MAX_RUN_SLOTS = 10.0  # of own runs, as which all answers together count at most

HEADER = Struct(">BBH")
ANSWER_HEADER = Struct(">BBHH")
FLEET = ("slot_time", "slots", "pace", "mean_hint", "pressure", "crowd", "own_rate")
FLEET_VALUES = Struct(f">{len(FLEET)}f")
KIND_ENTRY = Struct(">Bff")  # number, most free slots (below 0: unknown), mean speed (0: unknown)
BOX_ENTRY = Struct(">HBBBB")  # mark, speed over that of its kind, errors, unhealthy for (100 ms), trust
MAX_KINDS = 16


def is_warm_start_datagram(data: bytes) -> bool:
    """Whether a datagram belongs to the warm start, judged by its length and its first byte."""
    return len(data) % 3 == 2 and HEADER.size <= len(data) <= MAX_DATAGRAM and data[0] == MAGIC


def padded(data: bytes) -> bytes:
    """Returns a datagram with up to two zero bytes appended, so that its length is 2 modulo 3.

    In a large tier the first byte of the decision module's datagrams may be `MAGIC` as well, but these have a
    length of 1 modulo 3."""
    return data + bytes((2 - len(data)) % 3)


class PeerAnswer(NamedTuple):
    """What one peer has answered."""

    age: int  # microseconds
    fleet: LearnedState  # holds only values of the fleet and of the kinds
    boxes: dict[int, BoxState]  # by mark


# Asking.


class WarmStartQuery:
    """The questions of a starting node and the answers to them.  All times are microseconds."""

    def __init__(self, me: int, schedulers: int, seed: int, now: int) -> None:
        """`me`: this node's number, below `schedulers`; `seed`: decides which peers are asked first."""
        self._random = Random(seed)
        self._peers = [n for n in range(schedulers) if n != me]
        self._nonce, self._rounds = self._random.getrandbits(16), 0
        self._first_asked: dict[int, int] = {}  # when each peer was first asked
        # By peer: when its state was collected, the values of the fleet if they have come, and its boxes.
        self._answers: dict[int, tuple[int, LearnedState | None, dict[int, BoxState]]] = {}
        self._deadline = now + LISTEN_DURATION
        self.next_at = now  # when `next_round` is to be called again; of no meaning once `finished`
        self.finished = not self._peers

    @property
    def answer_count(self) -> int:
        """How many peers have answered with the values of the fleet."""
        return sum(fleet is not None for _, fleet, _ in self._answers.values())

    def next_round(self, now: int) -> list[tuple[int, bytes]]:
        """Returns the questions of the next round, each as (number of the peer, datagram).

        Empty after the last round and once a peer has answered."""
        if self.finished or self._rounds >= MAX_ROUNDS or self.answer_count:
            return []
        self._rounds += 1
        candidates = [n for n in self._peers if n not in self._first_asked] or self._peers
        self._random.shuffle(candidates)
        chosen = candidates[:PEERS_PER_ROUND]
        for n in chosen:
            self._first_asked.setdefault(n, now)
        wait = int(ROUND_DURATION * (0.5 + self._random.random()))
        self.next_at = min(self._deadline, now + wait) if self._rounds < MAX_ROUNDS else self._deadline
        asked = (chosen * PEERS_PER_ROUND)[:PEERS_PER_ROUND]
        data = HEADER.pack(MAGIC, QUESTION, self._nonce) + b"".join(n.to_bytes(2, "big") for n in asked)
        return [(n, padded(data)) for n in chosen]

    def receive(self, now: int, origin: int, data: bytes) -> None:
        """Takes a datagram from the peer `origin`; ignores one that does not answer this node's question."""
        if self.finished or origin not in self._first_asked:
            return
        answer = _parse_answer(data, self._nonce)
        if answer is None:
            return
        age, fleet, boxes = answer
        # The transit time is unknown.  The age counts from the question, so the state is never taken to be
        # younger than it is.
        collected_at = self._first_asked[origin] - age
        _, known_fleet, known_boxes = self._answers.get(origin, (collected_at, None, {}))
        self._answers[origin] = (
            collected_at,
            known_fleet if fleet is None else fleet,
            {**boxes, **known_boxes},
        )

    def ready(self, now: int) -> bool:
        """Whether enough peers have answered to call `finish` now."""
        round_over = self._rounds > 0 and now >= self.next_at
        return not self.finished and self.answer_count >= (
            1 if round_over else min(ENOUGH_ANSWERS, len(self._peers))
        )

    def timed_out(self, now: int) -> bool:
        """Whether `LISTEN_DURATION` has passed before `finish` was called."""
        return not self.finished and now >= self._deadline

    def finish(self, now: int) -> list[PeerAnswer]:
        """Ends the query and returns the answers, the newest first."""
        self.finished = True
        answers = [
            PeerAnswer(now - at, fleet, boxes)
            for at, fleet, boxes in self._answers.values()
            if fleet is not None
        ]
        return sorted(answers, key=lambda answer: answer.age)


# Answering.


class WarmStartResponder:
    """Answers the questions of starting nodes, at a limited rate.  All times are microseconds."""

    def __init__(self, me: int, now: int) -> None:
        """`me`: this node's number; `now`: when it started."""
        self._me, self._started_at = me, now
        self._tokens, self._refilled_at = ANSWER_BURST, now
        # Questions answered, by origin and nonce: a duplicate is not answered again.
        self._answered: OrderedDict[tuple[int, int], None] = OrderedDict()
        self.throttled = 0  # questions left unanswered because of the rate limit

    def answer(self, balancer: Any, now: int, origin: int, data: bytes) -> list[bytes]:
        """Returns the datagrams that answer a question.

        Empty where the datagram is not a question to this node or is a duplicate, where this node has seen
        too little itself, and beyond the rate limit."""
        question = _parse_question(data)
        if question is None or self._me not in question[1] or origin == self._me:
            return []
        if (
            (origin, question[0]) in self._answered
            or now - self._started_at < MIN_UPTIME
            or balancer.fleet.slots < MIN_RUN_SLOTS
        ):
            return []
        self._tokens = min(
            ANSWER_BURST, self._tokens + (now - self._refilled_at) * ANSWERS_PER_SECOND / SECOND
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self.throttled += 1
            return []
        self._tokens -= 1.0
        self._answered[origin, question[0]] = None
        if len(self._answered) > MAX_NONCES:
            self._answered.popitem(last=False)
        return encode_answer(balancer, now, question[0])


def _parse_question(data: bytes) -> tuple[int, Sequence[int]] | None:
    """Returns the nonce of a question and the numbers of the nodes asked, or None if it is not a question."""
    if not is_warm_start_datagram(data) or data[1] != QUESTION:
        return None
    numbers = [int.from_bytes(data[at : at + 2], "big") for at in range(HEADER.size, len(data) - 1, 2)]
    return HEADER.unpack_from(data)[2], numbers[:PEERS_PER_ROUND]


def encode_answer(balancer: Any, now: int, nonce: int) -> list[bytes]:
    """Returns what a node knows as datagrams: first the values of the fleet, then the boxes."""
    fleet = balancer.fleet
    last = max((worker.last_seen for worker in balancer.workers.values()), default=0)
    age = max(0, min(0xFFFF, (now - last) // (10 * MS))) if last else 0xFFFF
    values = [
        getattr(fleet if name in ("slot_time", "slots", "pace") else balancer, attribute(name))
        for name in FLEET
    ]
    data = ANSWER_HEADER.pack(MAGIC, ANSWER, nonce, age) + FLEET_VALUES.pack(*(_float32(v) for v in values))
    kinds = sorted({*fleet.most_free, *balancer.speeds})[:MAX_KINDS]
    for kind in kinds:
        if kind < 256:
            data += KIND_ENTRY.pack(
                kind, _float32(fleet.most_free.get(kind, -1.0)), _float32(balancer.speeds.get(kind, 0.0))
            )
    datagrams = [padded(data)]
    boxes_per_datagram = (MAX_DATAGRAM - 2 - ANSWER_HEADER.size) // BOX_ENTRY.size
    boxes = sorted(_informative_boxes(balancer, now), key=lambda pair: -pair[0])[
        : MAX_BOX_DATAGRAMS * boxes_per_datagram
    ]
    for at in range(0, len(boxes), boxes_per_datagram):
        part = ANSWER_HEADER.pack(MAGIC, BOXES, nonce, age) + b"".join(
            box for _, box in boxes[at : at + boxes_per_datagram]
        )
        datagrams.append(padded(part))
    return datagrams


def _float32(value: float) -> float:
    """Returns the value, or 0 if a 32-bit float can't hold it."""
    return value if abs(value) < 3e38 else 0.0


def _informative_boxes(balancer: Any, now: int) -> Iterator[tuple[float, bytes]]:
    """Yields encoded boxes, each after a score of how far it differs from a usual box of its kind.

    Boxes that hardly differ are left out."""
    for worker in balancer.workers.values():
        kind = balancer.speeds.get(worker.kind, 0.0)
        ratio = worker.speed / kind if worker.speed and kind else 1.0
        unhealthy_left = max(0, worker.unhealthy_until - now)
        score = (
            abs(math.log(max(ratio, 1e-3))) + 4.0 * (unhealthy_left > 0) + worker.errors + 1.0 - worker.trust
        )
        if score > 0.1:
            speed = min(255, max(1, round(128 + 32 * math.log2(max(ratio, 1e-3)))))
            yield (
                score,
                BOX_ENTRY.pack(
                    worker.mark,
                    speed,
                    round(255 * min(1.0, worker.errors)),
                    min(255, unhealthy_left // (100 * MS)),
                    round(255 * min(1.0, worker.trust)),
                ),
            )


def _parse_answer(data: bytes, nonce: int) -> tuple[int, LearnedState | None, dict[int, BoxState]] | None:
    """Returns the age (microseconds), the values of the fleet if it holds them, and the boxes by mark.

    None if the datagram does not answer the question with this nonce."""
    try:
        magic, kind, answered_nonce, age = ANSWER_HEADER.unpack_from(data)
        if not is_warm_start_datagram(data) or answered_nonce != nonce:
            return None
        if kind == ANSWER:
            values = dict(zip(FLEET, FLEET_VALUES.unpack_from(data, ANSWER_HEADER.size)))
            fleet = LearnedState(0, values=values)
            for at in range(
                ANSWER_HEADER.size + FLEET_VALUES.size, len(data) - KIND_ENTRY.size + 1, KIND_ENTRY.size
            ):
                number, free, speed = KIND_ENTRY.unpack_from(data, at)
                if is_valid(free, "most_free"):
                    fleet.most_free[number] = free
                if is_valid(speed, "speeds"):
                    fleet.speeds[number] = speed
            return age * 10 * MS, fleet, {}
        if kind == BOXES:
            boxes = {}
            for at in range(ANSWER_HEADER.size, len(data) - BOX_ENTRY.size + 1, BOX_ENTRY.size):
                mark, speed, errors, unhealthy, trust = BOX_ENTRY.unpack_from(data, at)
                boxes[mark] = BoxState(
                    0, 2.0 ** ((speed - 128) / 32), errors / 255, unhealthy * 100 * MS, 0, trust / 255
                )
            return age * 10 * MS, None, boxes
    except error:
        pass
    return None


# Adopting.


def adopt(
    balancer: Any, answers: Sequence[PeerAnswer], now: int, started_at: int, own_runs: bool = False
) -> Adopted:
    """Adopts what peers have answered, for boxes on the node's own server list.

    `answers`: the newest first; `started_at`: when the node started, on the monotonic clock, microseconds;
    `own_runs`: since then the node has seen runs end, so it has an estimate of the fleet itself.

    Of each value of the fleet the median is adopted (of two the lower), so that one wrong peer does no harm;
    of each box the newest answer.  Boxes that share a mark are left out, and so are boxes that have given
    this node a sign of life."""
    adopted = Adopted(min((answer.age for answer in answers), default=0))
    if not answers:
        adopted.reason = "no peer answered"
        return adopted
    age = max(0, sorted(answer.age for answer in answers)[len(answers) // 2])
    if not own_runs:
        adopt_fleet(balancer, _median_state(answers), age, adopted, PEER_WEIGHT)
    marks = Counter(worker.mark for worker in balancer.workers.values())
    for worker in balancer.workers.values():
        if marks[worker.mark] > 1:
            continue
        newest = next(
            ((one.age, one.boxes[worker.mark]) for one in answers if worker.mark in one.boxes), None
        )
        if newest is None or worker.last_seen > started_at:
            continue
        _adopt_box(balancer, worker, newest[1], now, max(0, newest[0]))
        adopted.boxes += 1
    return adopted


def _adopt_box(balancer: Any, worker: Any, box: BoxState, now: int, age: int) -> None:
    kind = balancer.speeds.get(worker.kind, 0.0)
    limited = BoxState(
        box.started, box.speed * kind, box.errors, box.unhealthy_left, 0, max(MIN_PEER_TRUST, box.trust)
    )
    adopt_box(balancer, worker, limited, now, age, False, PEER_WEIGHT)


def median_low(values: Iterable[float]) -> float:
    """Returns the median; of an even number of values the lower of the two in the middle.

    Importing the `statistics` module instead would cost a node a megabyte of memory."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def _median_state(answers: Sequence[PeerAnswer]) -> LearnedState:
    """Returns the medians of all valid values of the fleet and of the kinds.

    Run times are compared by their mean, so the sums behind it are scaled to the median number of slots."""
    median = LearnedState(0)
    for name in FLEET:
        valid = [one.fleet.values[name] for one in answers if is_valid(one.fleet.values[name], name)]
        if valid and name not in ("slot_time", "slots"):
            median.values[name] = median_low(valid)
    runs = [
        (fleet.values["slot_time"] / fleet.values["slots"], fleet.values["slots"])
        for fleet in (one.fleet for one in answers)
        if is_valid(fleet.values["slot_time"], "slot_time")
        and is_valid(fleet.values["slots"], "slots")
        and fleet.values["slots"] >= 1.0
    ]
    if runs:
        mean, slots = median_low(time for time, _ in runs), min(MAX_RUN_SLOTS, median_low(s for _, s in runs))
        median.values["slot_time"], median.values["slots"] = mean * slots, slots
    for name, table in (("most_free", median.most_free), ("speeds", median.speeds)):
        tables = [getattr(one.fleet, name) for one in answers]
        for kind in sorted({kind for one in tables for kind in one}):
            table[kind] = median_low(one[kind] for one in tables if kind in one)
    return median
