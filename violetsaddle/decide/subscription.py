"""State machine of a node's subscription: when it polls which replica for a newer configuration version.

`step(state, rules, event_type, now, random, number)` is a pure function.  It returns the next state and the
actions to take, and does no I/O.  At most one poll is in flight.  `TRANSITIONS` holds every transition; an
event without an entry for the current phase changes nothing.

- A node polls one replica at a time.  The replica may hold the poll until there is a newer version.  After an
  error, a timeout or an answer that is older than what the node has, the node polls the next replica at once.
  If that fails too, it backs off from 0.1 to 1 s.  A replica that failed is skipped for a while, unless all
  others failed too.  Once all have failed, they get more time to answer: they may be slow.
- After a poll that brought no new version, the node polls the next replica.  A replica that is partitioned
  from the others does not know that it is behind, and would keep its nodes behind as well.
- When another node advertises a newer version, the node polls the next replica after a random delay, so that
  the nodes of a large tier do not poll at the same moment.  These polls ask each replica in turn for an
  immediate answer.
- A version is applied only if its number is above every number seen before.  A version that this node can't
  use counts as seen.  Later polls still ask for versions after the one in force, and tell the replica about
  the refused one.

Times are in microseconds.  The datagrams in which nodes advertise their version are encoded here too."""

from __future__ import annotations

import enum
from collections.abc import Callable
from struct import Struct
from typing import NamedTuple, TypeAlias

MS = 1_000
SECOND = 1_000 * MS
MAX_PAUSE = 100 * MS  # after an answer; the pause is random
INITIAL_BACKOFF = 100 * MS  # after the second failure in a row; doubles with each further one
MAX_BACKOFF = SECOND
EARLY_ANSWER_PAUSE = SECOND  # after a poll that a replica did not hold, for example because it has no room
REFUSED_VERSION_PAUSE = 2 * SECOND  # after an answer with a version that was refused before
FAILED_REPLICA_COOLDOWN = 20 * SECOND  # how long a failed replica is skipped while another is available
ADVERTISED_DELAY_PER_NODE = 8 * MS  # times the nodes of the tier: the longest delay after an advertisement
MAX_ADVERTISED_DELAY = 2 * SECOND
MAX_FAILURES = 8  # where counting stops: more failures change nothing
MAX_DOUBLINGS = 2  # of the time for an answer
MAX_VERSION_NUMBER = 0xFFFFFFFF

# Older releases ignore datagrams with this first byte: their own start with 0, 1 or a set bit 7.
MAGIC = 0x43
# Magic, number, first bytes of the digest: 13 bytes, 1 modulo 3.  Datagrams with 0xD7 have 2 modulo 3.
DATAGRAM = Struct(">BI8s")


class Phase(enum.Enum):
    """What a subscription waits for."""

    IDLE = "resting"  # no poll is in flight
    LONG_POLL = "watching"  # a poll is in flight, and the replica may hold it
    SHORT_POLL = "asking"  # a poll is in flight that the replica answers immediately
    STOPPED = "stopped"


class EventType(enum.Enum):
    """The events of a subscription."""

    WAKE = "`State.due` has passed"
    NEW_VERSION = "an answer with a version that this node can use"
    UNUSABLE_VERSION = "an answer with a version that this node can't use"
    NO_VERSION = "an answer without a version; the number is the replica's newest"
    FAILED = "an error, a timeout or an invalid answer"
    ADVERTISED = "another node advertises its version"
    STOP = "the node ends"


class Rules(NamedTuple):
    """The number of replicas, the number of nodes in the tier, and how long a replica may hold a poll."""

    replicas: int
    nodes: int
    hold: int


class State(NamedTuple):
    """Immutable state of one node's subscription."""

    phase: Phase
    number: int  # of the version in force
    seen: int  # the highest number that was applied or refused
    replica: int  # polled now, or next
    due: int  # when the event `WAKE` is wanted; 0: never
    failures: int = 0  # polls in a row that brought no answer, or an older version
    advertised: int = 0  # the highest number that another node has advertised
    skipped_until: tuple[int, ...] = ()  # by replica
    polled_at: int = 0  # when the poll in flight was sent


class Poll(NamedTuple):
    """A request for a version above `after`, the one in force.

    With `hold` the replica may hold the request until there is one.  The time for the connection and for the
    answer is to be doubled `doublings` times."""

    replica: int
    after: int
    hold: bool
    doublings: int = 0


class Step(NamedTuple):
    """The next state and the actions to take.

    Their order: cancel the poll in flight, apply the version of the answer, send a poll."""

    state: State
    cancel_poll: bool = False
    apply: bool = False
    poll: Poll | None = None


class EventData(NamedTuple):
    """The data of an event."""

    now: int
    random: float  # at least 0 and below 1
    number: int  # version number of `NEW_VERSION`, `UNUSABLE_VERSION`, `NO_VERSION` and `ADVERTISED`


Transition: TypeAlias = Callable[[State, Rules, EventData], Step]


def initial_state(rules: Rules, ordinal: int, number: int, now: int) -> State:
    """Returns the state of a node that starts with version `number`.  Its first poll is due immediately."""
    return State(
        Phase.IDLE,
        number,
        number,
        ordinal % rules.replicas,
        max(1, now),
        skipped_until=(0,) * rules.replicas,
    )


def step(state: State, rules: Rules, event_type: EventType, now: int, random: float, number: int = 0) -> Step:
    """Returns the next state and the actions to take."""
    transition = TRANSITIONS[state.phase].get(event_type)
    return Step(state) if transition is None else transition(state, rules, EventData(now, random, number))


def _next_replica(state: State, rules: Rules, now: int) -> int:
    """Returns the next replica in turn, skipping recently failed ones unless all of them are."""
    candidates = [(state.replica + i) % rules.replicas for i in range(1, rules.replicas + 1)]
    return next((replica for replica in candidates if state.skipped_until[replica] <= now), candidates[0])


def _poll(state: State, rules: Rules, event: EventData) -> Step:
    # If no replica has the version that another node advertised, the next polls may be held again.  The first
    # replica that gets the version answers, and a false advertisement causes no extra load.
    hold = not (state.advertised > state.seen and state.failures < rules.replicas)
    phase = Phase.LONG_POLL if hold else Phase.SHORT_POLL
    poll = Poll(state.replica, state.number, hold, _doublings(state, rules))
    return Step(state._replace(phase=phase, due=0, polled_at=event.now), poll=poll)


def _doublings(state: State, rules: Rules) -> int:
    """One for each round of failed polls, of all replicas or four: they may all be slow instead of silent."""
    round_length = min(rules.replicas, MAX_FAILURES // MAX_DOUBLINGS)
    return min(state.failures // round_length, MAX_DOUBLINGS)


def _on_wake(state: State, rules: Rules, event: EventData) -> Step:
    if not 0 < state.due <= event.now:
        return Step(state)
    if state.phase is Phase.IDLE:
        return _poll(state, rules, event)
    # Another node has a newer version, and the polled replica has not sent it.
    if state.advertised <= state.seen:
        return Step(state._replace(due=0))
    state = state._replace(replica=_next_replica(state, rules, event.now))
    return _poll(state, rules, event)._replace(cancel_poll=True)


def _pause(state: State, wait: int, event: EventData) -> Step:
    return Step(state._replace(phase=Phase.IDLE, due=max(1, event.now + wait)))


def _on_failure(state: State, rules: Rules, event: EventData) -> Step:
    """Moves on to the next replica, without a wait after the first failure."""
    failures = min(MAX_FAILURES, state.failures + 1)
    until = (*state.skipped_until,)
    until = (*until[: state.replica], event.now + FAILED_REPLICA_COOLDOWN, *until[state.replica + 1 :])
    state = state._replace(failures=failures, skipped_until=until)
    state = state._replace(replica=_next_replica(state, rules, event.now))
    wait = 0
    if failures > 1:
        wait = int(min(MAX_BACKOFF, INITIAL_BACKOFF << (failures - 2)) * (0.5 + event.random))
    return _pause(state, wait, event)


def _on_no_version(state: State, rules: Rules, event: EventData) -> Step:
    # A higher number without its version is an invalid answer.  A number that is lower, or lower than another
    # node's, comes from a replica that is behind.
    if event.number != state.seen or state.advertised > state.seen:
        return _on_failure(state, rules, event)
    until = (*state.skipped_until[: state.replica], 0, *state.skipped_until[state.replica + 1 :])
    wait = int(MAX_PAUSE * event.random)
    if state.phase is Phase.LONG_POLL and event.now - state.polled_at < rules.hold // 2:
        wait = int(EARLY_ANSWER_PAUSE * (0.5 + event.random))
    state = state._replace(failures=0, skipped_until=until)
    return _pause(state._replace(replica=_next_replica(state, rules, event.now)), wait, event)


def _on_new_version(state: State, rules: Rules, event: EventData) -> Step:
    if event.number <= state.seen:
        return _on_failure(state, rules, event)
    state = state._replace(number=event.number, seen=event.number, failures=0)
    return _pause(state, int(MAX_PAUSE * event.random), event)._replace(apply=True)


def _on_unusable_version(state: State, rules: Rules, event: EventData) -> Step:
    if event.number < state.seen or event.number == state.number:
        return _on_failure(state, rules, event)
    if event.number > state.seen:
        return _pause(state._replace(seen=event.number, failures=0), int(MAX_PAUSE * event.random), event)
    # Refused before: this replica answers immediately with its newest version, even if this node refused it.
    state = state._replace(failures=0, replica=_next_replica(state, rules, event.now))
    return _pause(state, int(REFUSED_VERSION_PAUSE * (0.5 + event.random)), event)


def _on_advertised(state: State, rules: Rules, event: EventData) -> Step:
    if event.number <= max(state.seen, state.advertised):
        return Step(state)
    wait = int(min(MAX_ADVERTISED_DELAY, rules.nodes * ADVERTISED_DELAY_PER_NODE) * event.random)
    due = max(1, event.now + wait)
    if state.phase is Phase.SHORT_POLL:
        due = 0  # the poll in flight may bring it
    elif state.due:
        due = min(due, state.due)
    # Earlier failures do not count for the advertised version.
    return Step(state._replace(advertised=event.number, due=due, failures=0))


def _on_stop(state: State, rules: Rules, event: EventData) -> Step:
    return Step(state._replace(phase=Phase.STOPPED, due=0), cancel_poll=True)


_POLL_TRANSITIONS: dict[EventType, Transition] = {
    EventType.NEW_VERSION: _on_new_version,
    EventType.UNUSABLE_VERSION: _on_unusable_version,
    EventType.NO_VERSION: _on_no_version,
    EventType.FAILED: _on_failure,
    EventType.ADVERTISED: _on_advertised,
    EventType.STOP: _on_stop,
}
TRANSITIONS: dict[Phase, dict[EventType, Transition]] = {
    Phase.IDLE: {EventType.WAKE: _on_wake, EventType.ADVERTISED: _on_advertised, EventType.STOP: _on_stop},
    Phase.LONG_POLL: {**_POLL_TRANSITIONS, EventType.WAKE: _on_wake},
    Phase.SHORT_POLL: _POLL_TRANSITIONS,
    Phase.STOPPED: {},
}


# Datagrams between nodes.


def neighbours(me: int, nodes: int, count: int) -> tuple[int, ...]:
    """Returns the nodes to which node `me` advertises its version, at most `count` of `nodes`.

    Their distances grow geometrically, so that an advertisement reaches a tier of N nodes within about
    `count` x N ** (1 / `count`) rounds."""
    distances: list[int] = []
    for power in range(count):
        distance = max(round(nodes ** (power / count)), distances[-1] + 1 if distances else 1)
        if distance < nodes:
            distances.append(distance)
    return tuple((me + distance) % nodes for distance in distances)


def encode(number: int, digest: str) -> bytes:
    """Encodes an advertisement.  `digest` has 32 hexadecimal digits, or is "" for version 0."""
    return DATAGRAM.pack(MAGIC, number, bytes.fromhex(digest[:16]).ljust(8, b"\0"))


def decode(data: bytes) -> tuple[int, str] | None:
    """Returns the number and the digest's first 16 hexadecimal digits, or None for any other datagram."""
    if len(data) != DATAGRAM.size or data[0] != MAGIC:
        return None
    _, number, digest = DATAGRAM.unpack(data)
    return number, digest.hex()
