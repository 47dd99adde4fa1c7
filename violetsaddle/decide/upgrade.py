"""The life of a hot upgrade: what the old process and its successor are in, and what they do about what
comes.

Whatever moves an upgrade on stands in the two tables here; the rest of the program only tells what happened
and does what it is told.  Between the two lies a pair of sockets whose end says that the other one has gone.
`tests/test_upgrade_life.py` searches all that can happen to both and holds it to this:

- The two never accept at once, nor does the successor before `go`.
- Once nothing is under way between them, one of them accepts, unless the node was told to end or the old one
  died before `go`.  Then no successor stays behind.
- The old one ends by itself only after its successor has said that it serves.
- After its successor's death the old one, unless told to end, accepts again."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import TypeAlias


class Old(enum.Enum):
    """The process that listens when the upgrade begins."""

    SERVING = "serving"
    STARTING = "starting"  # the successor's program was started
    GREETED = "greeted"  # the successor has spoken, and has the sockets and the state
    COMMITTED = "committed"  # `go` is out: it accepts no longer
    RETAKING = "retaking"  # the successor failed after `go`: first its death must be certain
    DRAINING = "draining"  # the successor serves
    LEAVING = "leaving"  # it was told to end
    OVER = "over"


class New(enum.Enum):
    """The successor."""

    BOOTING = "booting"
    ADOPTING = "adopting"
    READY = "ready"
    SERVING = "serving"  # the old one drains
    ALONE = "alone"  # the old one has gone; from here its life is that of `Old.SERVING`
    LEAVING = "leaving"
    OVER = "over"


class Event(enum.Enum):
    """What happens to one side; the messages are those of `net/upgrade.py`."""

    UPGRADE = "SIGUSR2"
    TERM = "SIGTERM"
    BEGUN = "begun"  # the successor's own start is done
    FAILED = "failed"  # what was to be done can't be
    LATE = "late"  # the present state has lasted too long
    EMPTY = "empty"  # nothing is owed any more
    GONE = "gone"  # the successor has ended, as its parent knows
    END = "end"  # of what came from the other side
    NONSENSE = "nonsense"  # came from the other side
    # Messages.
    HELLO = "hello"
    STATE = "state"
    WHOLE = "whole"
    READY = "ready"
    GO = "go"
    SERVES = "serves"
    ENDING = "ending"


MESSAGES = frozenset(
    (Event.HELLO, Event.STATE, Event.WHOLE, Event.READY, Event.GO, Event.SERVES, Event.ENDING)
)


class Do(enum.Enum):
    """What one side is to do; the value says it in words."""

    SPAWN = "start the successor"
    GIVE = "hand the sockets, the state and the ids over, then say whole"
    PAUSE = "accept no more, read no more datagrams, tell peers nothing"
    SAY_GO = "name the requests that are open and say go"
    DRAIN = "end clients' connections with their next answer"
    KILL = "hang up, kill the successor and wait for its end"
    LOOK = "look whether the successor has ended"
    RESUME = "accept, read datagrams, tell peers"
    TELL = "say that the upgrade failed"
    REFUSE = "say that an upgrade is under way"
    STOP = "end as on SIGTERM"
    FINISH = "close what is left and end with status 0"
    SAY_HELLO = "say hello"
    ADOPT = "take the sockets and the state"
    SAY_READY = "say ready"
    SAY_SERVES = "say serves"
    SAY_ENDING = "say ending"
    HANG_UP = "close the pair"
    FORGET = "the other one has gone: its ids are remembered, what was passed on to it is over"
    QUIT = "end with status 1"


Table: TypeAlias = Mapping[tuple[enum.Enum, Event], tuple[enum.Enum, tuple[Do, ...]]]

_FAILS = (Old.SERVING, (Do.KILL, Do.TELL))
_RETAKES = (Old.RETAKING, (Do.KILL,))
_QUITS = (New.OVER, (Do.QUIT,))

OLD: Table = {
    (Old.SERVING, Event.UPGRADE): (Old.STARTING, (Do.SPAWN,)),
    (Old.SERVING, Event.TERM): (Old.LEAVING, (Do.STOP,)),
    (Old.STARTING, Event.FAILED): (Old.SERVING, (Do.TELL,)),
    (Old.STARTING, Event.HELLO): (Old.GREETED, (Do.GIVE,)),
    (Old.GREETED, Event.FAILED): _FAILS,
    (Old.GREETED, Event.READY): (Old.COMMITTED, (Do.PAUSE, Do.SAY_GO)),
    **{
        (state, event): _FAILS
        for state in (Old.STARTING, Old.GREETED)
        for event in (Event.END, Event.NONSENSE, Event.LATE)
    },
    **{(state, Event.TERM): (Old.LEAVING, (Do.KILL, Do.STOP)) for state in (Old.STARTING, Old.GREETED)},
    (Old.COMMITTED, Event.SERVES): (Old.DRAINING, (Do.DRAIN,)),
    (Old.COMMITTED, Event.END): _RETAKES,
    (Old.COMMITTED, Event.NONSENSE): _RETAKES,
    (Old.COMMITTED, Event.LATE): _RETAKES,
    (Old.COMMITTED, Event.TERM): (Old.LEAVING, (Do.STOP,)),
    (Old.RETAKING, Event.GONE): (Old.SERVING, (Do.RESUME, Do.TELL)),
    (Old.RETAKING, Event.TERM): (Old.LEAVING, (Do.STOP,)),
    (Old.DRAINING, Event.END): (Old.DRAINING, (Do.LOOK,)),
    (Old.DRAINING, Event.NONSENSE): (Old.DRAINING, (Do.HANG_UP, Do.LOOK)),
    (Old.DRAINING, Event.GONE): (Old.SERVING, (Do.RESUME, Do.TELL)),
    (Old.DRAINING, Event.ENDING): (Old.LEAVING, (Do.STOP,)),
    (Old.DRAINING, Event.TERM): (Old.LEAVING, (Do.STOP,)),
    (Old.DRAINING, Event.EMPTY): (Old.OVER, (Do.FINISH,)),
    (Old.DRAINING, Event.LATE): (Old.OVER, (Do.FINISH,)),
    (Old.LEAVING, Event.SERVES): (Old.LEAVING, ()),  # `go` and SIGTERM crossed
    (Old.LEAVING, Event.ENDING): (Old.LEAVING, ()),
    (Old.LEAVING, Event.EMPTY): (Old.OVER, (Do.FINISH,)),
    **{(state, Event.UPGRADE): (state, (Do.REFUSE,)) for state in Old if state is not Old.SERVING},
}

NEW: Table = {
    (New.BOOTING, Event.BEGUN): (New.ADOPTING, (Do.SAY_HELLO,)),
    (New.BOOTING, Event.TERM): _QUITS,
    (New.ADOPTING, Event.STATE): (New.ADOPTING, (Do.ADOPT,)),
    (New.ADOPTING, Event.WHOLE): (New.READY, (Do.SAY_READY,)),
    (New.READY, Event.GO): (New.SERVING, (Do.RESUME, Do.SAY_SERVES)),
    **{
        (state, event): _QUITS
        for state in (New.ADOPTING, New.READY)
        for event in (Event.END, Event.NONSENSE, Event.LATE, Event.FAILED, Event.TERM)
    },
    (New.SERVING, Event.END): (New.ALONE, (Do.FORGET,)),
    (New.SERVING, Event.NONSENSE): (New.ALONE, (Do.HANG_UP, Do.FORGET)),
    (New.SERVING, Event.TERM): (New.LEAVING, (Do.SAY_ENDING, Do.STOP)),
    (New.LEAVING, Event.END): (New.LEAVING, (Do.FORGET,)),
    (New.LEAVING, Event.NONSENSE): (New.LEAVING, (Do.HANG_UP, Do.FORGET)),
    **{(state, Event.UPGRADE): (state, (Do.REFUSE,)) for state in New if state is not New.ALONE},
}


class Life:
    """One side's state.  What a table does not hold changes nothing, save for a message: that is nonsense."""

    def __init__(self, table: Table, state: enum.Enum) -> None:
        """`table`: `OLD` or `NEW`."""
        self._table, self.state = table, state

    def take(self, event: Event) -> tuple[Do, ...]:
        """Moves on, and gives what is to be done, in this order."""
        if event in MESSAGES and (self.state, event) not in self._table:
            event = Event.NONSENSE
        self.state, actions = self._table.get((self.state, event), (self.state, ()))
        return actions


def old() -> Life:
    """The life of a process that listens."""
    return Life(OLD, Old.SERVING)


def new() -> Life:
    """The life of a successor."""
    return Life(NEW, New.BOOTING)
