"""When a node asks which replica for a newer configuration, and what it makes of the answers.

Pure: `step(state, rules, word, now, random, number)` gives the next state and what is to be done; no I/O, no
clock.  One call is out at most.  `TABLE` holds every transition; what it does not hold changes nothing.

- A node asks one replica at a time, which may hold the call until there is a newer version.  After an error,
  a silence or an answer that is older than what the node holds it asks the next at once, and if that fails
  too backs off from 0.1 to 1 s.  A replica that failed is passed over for a while if another is left.
- After a call that brought nothing the next replica has its turn: one that is cut off from the others does
  not know that it is behind, and would keep its nodes there.
- A node that hears from another node of a newer version asks the next replica, after a random wait so that
  the nodes of a large tier do not ask together; the replicas are asked for an answer at once, each in turn.
- A version is applied only if its number is above every number seen before.  One that this node can't take is
  seen, and calls go on after the one in force: a replica is told of both.

Times are microseconds.  The datagrams in which nodes tell each other their version are encoded here too."""

from __future__ import annotations

import enum
from collections.abc import Callable
from struct import Struct
from typing import NamedTuple, TypeAlias

MS = 1_000
SECOND = 1_000 * MS
PAUSE = 100 * MS  # at most, after an answer; drawn
BACK_OFF, MOST_BACK_OFF = 100 * MS, SECOND  # doubled by each failure in a row after the second
QUICK = SECOND  # after a call that might have been held and was not, as by a replica that has no room
AGAIN = 2 * SECOND  # after an answer with a version that was refused before
PASSED_OVER = 20 * SECOND  # a replica that failed, while another is left
HEAR_EACH, HEAR_MOST = 8 * MS, 2 * SECOND  # wait before asking on another node's word: for each node, at most
MOST_FAILURES = 8  # counted; what more there are changes nothing
MOST_NUMBER = 0xFFFFFFFF

MAGIC = 0x43  # older programs pass such a datagram over: their own begin with 0, 1 or bit 7
DATAGRAM = Struct(">BI8s")  # magic, number, first bytes of the digest: 13 bytes, 1 modulo 3 (0xD7's are 2)


class Phase(enum.Enum):
    """What a node waits for."""

    RESTING = "resting"  # no call is out
    WATCHING = "watching"  # one is out that the replica may hold
    ASKING = "asking"  # one is out that is to be answered at once
    STOPPED = "stopped"


class Word(enum.Enum):
    """What happens to a subscription."""

    WAKE = "the time `State.due` has come"
    NEWER = "an answer with a version that is fit"
    UNFIT = "an answer with a version that this node can't take"
    ANSWERED = "an answer without a version; its number is the replica's"
    FAILED = "an error, a silence, or what is no answer"
    HEARD = "another node's word of its version"
    STOP = "the node ends"


class Rules(NamedTuple):
    """replicas: how many; nodes: of the tier; hold: how long a replica may hold a call."""

    replicas: int
    nodes: int
    hold: int


class State(NamedTuple):
    """Of one node's subscription; a value."""

    phase: Phase
    number: int  # of the version in force
    seen: int  # the highest number that was taken or refused
    replica: int  # asked, or to be asked next
    due: int  # when `WAKE` is to come; 0: never
    failures: int = 0  # calls in a row that brought no answer, or an older one
    hint: int = 0  # the highest number that another node told
    passed_over: tuple[int, ...] = ()  # by replica: until when
    since: int = 0  # when the call that is out was made


class Ask(NamedTuple):
    """A call for a version above `after`, the one in force; `hold`: the replica may hold it until there is
    one."""

    replica: int
    after: int
    hold: bool


class Step(NamedTuple):
    """What is to be done, in that order: the call that is out is abandoned, the version of the answer is put
    in force, a call is made."""

    state: State
    abandon: bool = False
    apply: bool = False
    ask: Ask | None = None


class Event(NamedTuple):
    """What came with a word."""

    now: int
    random: float  # from 0 to below 1
    number: int  # of `NEWER`, `UNFIT`, `ANSWERED` and `HEARD`


Transition: TypeAlias = Callable[[State, Rules, Event], Step]


def begin(rules: Rules, ordinal: int, number: int, now: int) -> State:
    """`number`: of the version that the node begins with; its first call is due at once."""
    return State(
        Phase.RESTING,
        number,
        number,
        ordinal % rules.replicas,
        max(1, now),
        passed_over=(0,) * rules.replicas,
    )


def step(state: State, rules: Rules, word: Word, now: int, random: float, number: int = 0) -> Step:
    """The next state, and what is to be done for it."""
    transition = TABLE[state.phase].get(word)
    return Step(state) if transition is None else transition(state, rules, Event(now, random, number))


def _next(state: State, rules: Rules, now: int) -> int:
    """The replica after the present one, passing over those that failed lately if another is left."""
    ring = [(state.replica + i) % rules.replicas for i in range(1, rules.replicas + 1)]
    return next((replica for replica in ring if state.passed_over[replica] <= now), ring[0])


def _ask(state: State, rules: Rules, event: Event) -> Step:
    # Once each replica was asked in vain for what another node has, they may hold the calls: the first that
    # has it answers, and a word that no replica can follow costs no more than usual.
    hold = not (state.hint > state.seen and state.failures < rules.replicas)
    phase = Phase.WATCHING if hold else Phase.ASKING
    return Step(
        state._replace(phase=phase, due=0, since=event.now), ask=Ask(state.replica, state.number, hold)
    )


def _wake(state: State, rules: Rules, event: Event) -> Step:
    if not 0 < state.due <= event.now:
        return Step(state)
    if state.phase is Phase.RESTING:
        return _ask(state, rules, event)
    # Another node has a newer version, and the replica that is watched does not tell of it.
    if state.hint <= state.seen:
        return Step(state._replace(due=0))
    state = state._replace(replica=_next(state, rules, event.now))
    return _ask(state, rules, event)._replace(abandon=True)


def _rest(state: State, wait: int, event: Event) -> Step:
    return Step(state._replace(phase=Phase.RESTING, due=max(1, event.now + wait)))


def _failed(state: State, rules: Rules, event: Event) -> Step:
    """The next replica, at once after the first failure."""
    failures = min(MOST_FAILURES, state.failures + 1)
    until = (*state.passed_over,)
    until = (*until[: state.replica], event.now + PASSED_OVER, *until[state.replica + 1 :])
    state = state._replace(failures=failures, passed_over=until)
    state = state._replace(replica=_next(state, rules, event.now))
    wait = 0
    if failures > 1:
        wait = int(min(MOST_BACK_OFF, BACK_OFF << (failures - 2)) * (0.5 + event.random))
    return _rest(state, wait, event)


def _answered(state: State, rules: Rules, event: Event) -> Step:
    # A higher number without its version is no answer.  An older one, or less than another node has, is of a
    # replica that is behind.
    if event.number != state.seen or state.hint > state.seen:
        return _failed(state, rules, event)
    until = (*state.passed_over[: state.replica], 0, *state.passed_over[state.replica + 1 :])
    wait = int(PAUSE * event.random)
    if state.phase is Phase.WATCHING and event.now - state.since < rules.hold // 2:
        wait = int(QUICK * (0.5 + event.random))
    state = state._replace(failures=0, passed_over=until)
    return _rest(state._replace(replica=_next(state, rules, event.now)), wait, event)


def _newer(state: State, rules: Rules, event: Event) -> Step:
    if event.number <= state.seen:
        return _failed(state, rules, event)
    state = state._replace(number=event.number, seen=event.number, failures=0)
    return _rest(state, int(PAUSE * event.random), event)._replace(apply=True)


def _unfit(state: State, rules: Rules, event: Event) -> Step:
    if event.number < state.seen or event.number == state.number:
        return _failed(state, rules, event)
    if event.number > state.seen:
        return _rest(state._replace(seen=event.number, failures=0), int(PAUSE * event.random), event)
    # Again: of a replica that answers at once whatever this node refused.
    state = state._replace(failures=0, replica=_next(state, rules, event.now))
    return _rest(state, int(AGAIN * (0.5 + event.random)), event)


def _heard(state: State, rules: Rules, event: Event) -> Step:
    if event.number <= max(state.seen, state.hint):
        return Step(state)
    wait = int(min(HEAR_MOST, rules.nodes * HEAR_EACH) * event.random)
    due = max(1, event.now + wait)
    if state.phase is Phase.ASKING:
        due = 0  # what is asked for now may bring it
    elif state.due:
        due = min(due, state.due)
    # Failures before have no part in what is asked for now.
    return Step(state._replace(hint=event.number, due=due, failures=0))


def _stop(state: State, rules: Rules, event: Event) -> Step:
    return Step(state._replace(phase=Phase.STOPPED, due=0), abandon=True)


_OUT: dict[Word, Transition] = {
    Word.NEWER: _newer,
    Word.UNFIT: _unfit,
    Word.ANSWERED: _answered,
    Word.FAILED: _failed,
    Word.HEARD: _heard,
    Word.STOP: _stop,
}
TABLE: dict[Phase, dict[Word, Transition]] = {
    Phase.RESTING: {Word.WAKE: _wake, Word.HEARD: _heard, Word.STOP: _stop},
    Phase.WATCHING: {**_OUT, Word.WAKE: _wake},
    Phase.ASKING: _OUT,
    Phase.STOPPED: {},
}


# Datagrams between nodes.


def neighbours(me: int, nodes: int, most: int) -> tuple[int, ...]:
    """The nodes that this one tells its version: at most so many, at distances that grow geometrically, so
    that a word reaches all of a tier of N nodes within about `most` x N ** (1 / `most`) steps."""
    steps: list[int] = []
    for power in range(most):
        distance = max(round(nodes ** (power / most)), steps[-1] + 1 if steps else 1)
        if distance < nodes:
            steps.append(distance)
    return tuple((me + distance) % nodes for distance in steps)


def encode(number: int, digest: str) -> bytes:
    """`digest`: 32 hexadecimal digits, "" for none."""
    return DATAGRAM.pack(MAGIC, number, bytes.fromhex(digest[:16]).ljust(8, b"\0"))


def decode(data: bytes) -> tuple[int, str] | None:
    """Number and the digest's first 16 hexadecimal digits; None: no datagram of these."""
    if len(data) != DATAGRAM.size or data[0] != MAGIC:
        return None
    _, number, digest = DATAGRAM.unpack(data)
    return number, digest.hex()
