"""The state machines of a hot upgrade: one for the old process and one for its successor.

The two tables here have all transitions.  The rest of the program only reports events and carries out
actions.  The processes are connected by a pair of sockets, which closes when one of them ends.
`tests/test_upgrade_life.py` searches all events that can happen to both and checks these properties:

- The two processes never accept connections at the same time, and the successor not before `go`.
- Once no event is pending, one of them accepts, unless the node was told to stop, or the old process died
  before `go`.  In that case no successor remains.
- The old process ends by itself only after the successor has reported that it serves.
- If the successor dies, the old process accepts again, unless it was told to stop."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import TypeAlias


class OldState(enum.Enum):
    """States of the process that listens when the upgrade begins."""

    SERVING = "serving"
    STARTING = "starting"  # the successor's process was started
    GREETED = "greeted"  # the successor has said hello and was given the sockets and the state
    COMMITTED = "committed"  # `go` was sent: this process no longer accepts
    RETAKING = "retaking"  # the successor failed after `go` and must end before this process accepts again
    DRAINING = "draining"  # the successor serves; open requests are finished
    STOPPING = "leaving"  # it was told to stop
    ENDED = "over"


class SuccessorState(enum.Enum):
    """States of the successor."""

    BOOTING = "booting"
    ADOPTING = "adopting"
    READY = "ready"
    SERVING = "serving"  # the old process drains
    ALONE = "alone"  # the old process has ended; from here on the state is `OldState.SERVING`
    STOPPING = "leaving"
    ENDED = "over"


class Event(enum.Enum):
    """Events of one process; the messages are those of `net/upgrade.py`."""

    UPGRADE = "SIGUSR2"
    TERM = "SIGTERM"
    INITIALIZED = "begun"  # the successor has started up
    FAILED = "failed"  # an action failed
    TIMEOUT = "late"  # the current state has lasted too long
    DRAINED = "empty"  # no request is open any more
    SUCCESSOR_ENDED = "gone"  # the successor's process has ended, and its exit status was read
    LINK_CLOSED = "end"  # the other process closed the pair of sockets, or has ended
    INVALID_MESSAGE = "nonsense"  # the other process sent an unreadable or unexpected message
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


class Action(enum.Enum):
    """What a process must do on an event."""

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


TransitionTable: TypeAlias = Mapping[tuple[enum.Enum, Event], tuple[enum.Enum, tuple[Action, ...]]]

_UPGRADE_FAILS = (OldState.SERVING, (Action.KILL, Action.TELL))
_SUCCESSOR_FAILS_AFTER_GO = (OldState.RETAKING, (Action.KILL,))
_SUCCESSOR_QUITS = (SuccessorState.ENDED, (Action.QUIT,))

OLD_TRANSITIONS: TransitionTable = {
    (OldState.SERVING, Event.UPGRADE): (OldState.STARTING, (Action.SPAWN,)),
    (OldState.SERVING, Event.TERM): (OldState.STOPPING, (Action.STOP,)),
    (OldState.STARTING, Event.FAILED): (OldState.SERVING, (Action.TELL,)),
    (OldState.STARTING, Event.HELLO): (OldState.GREETED, (Action.GIVE,)),
    (OldState.GREETED, Event.FAILED): _UPGRADE_FAILS,
    (OldState.GREETED, Event.READY): (OldState.COMMITTED, (Action.PAUSE, Action.SAY_GO)),
    **{
        (state, event): _UPGRADE_FAILS
        for state in (OldState.STARTING, OldState.GREETED)
        for event in (Event.LINK_CLOSED, Event.INVALID_MESSAGE, Event.TIMEOUT)
    },
    **{
        (state, Event.TERM): (OldState.STOPPING, (Action.KILL, Action.STOP))
        for state in (OldState.STARTING, OldState.GREETED)
    },
    (OldState.COMMITTED, Event.SERVES): (OldState.DRAINING, (Action.DRAIN,)),
    (OldState.COMMITTED, Event.LINK_CLOSED): _SUCCESSOR_FAILS_AFTER_GO,
    (OldState.COMMITTED, Event.INVALID_MESSAGE): _SUCCESSOR_FAILS_AFTER_GO,
    (OldState.COMMITTED, Event.TIMEOUT): _SUCCESSOR_FAILS_AFTER_GO,
    (OldState.COMMITTED, Event.TERM): (OldState.STOPPING, (Action.STOP,)),
    (OldState.RETAKING, Event.SUCCESSOR_ENDED): (OldState.SERVING, (Action.RESUME, Action.TELL)),
    (OldState.RETAKING, Event.TERM): (OldState.STOPPING, (Action.STOP,)),
    (OldState.DRAINING, Event.LINK_CLOSED): (OldState.DRAINING, (Action.LOOK,)),
    (OldState.DRAINING, Event.INVALID_MESSAGE): (OldState.DRAINING, (Action.HANG_UP, Action.LOOK)),
    (OldState.DRAINING, Event.SUCCESSOR_ENDED): (OldState.SERVING, (Action.RESUME, Action.TELL)),
    (OldState.DRAINING, Event.ENDING): (OldState.STOPPING, (Action.STOP,)),
    (OldState.DRAINING, Event.TERM): (OldState.STOPPING, (Action.STOP,)),
    (OldState.DRAINING, Event.DRAINED): (OldState.ENDED, (Action.FINISH,)),
    (OldState.DRAINING, Event.TIMEOUT): (OldState.ENDED, (Action.FINISH,)),
    (OldState.STOPPING, Event.SERVES): (OldState.STOPPING, ()),  # `go` and SIGTERM crossed
    (OldState.STOPPING, Event.ENDING): (OldState.STOPPING, ()),
    (OldState.STOPPING, Event.DRAINED): (OldState.ENDED, (Action.FINISH,)),
    **{
        (state, Event.UPGRADE): (state, (Action.REFUSE,))
        for state in OldState
        if state is not OldState.SERVING
    },
}

SUCCESSOR_TRANSITIONS: TransitionTable = {
    (SuccessorState.BOOTING, Event.INITIALIZED): (SuccessorState.ADOPTING, (Action.SAY_HELLO,)),
    (SuccessorState.BOOTING, Event.TERM): _SUCCESSOR_QUITS,
    (SuccessorState.ADOPTING, Event.STATE): (SuccessorState.ADOPTING, (Action.ADOPT,)),
    (SuccessorState.ADOPTING, Event.WHOLE): (SuccessorState.READY, (Action.SAY_READY,)),
    (SuccessorState.READY, Event.GO): (SuccessorState.SERVING, (Action.RESUME, Action.SAY_SERVES)),
    **{
        (state, event): _SUCCESSOR_QUITS
        for state in (SuccessorState.ADOPTING, SuccessorState.READY)
        for event in (Event.LINK_CLOSED, Event.INVALID_MESSAGE, Event.TIMEOUT, Event.FAILED, Event.TERM)
    },
    (SuccessorState.SERVING, Event.LINK_CLOSED): (SuccessorState.ALONE, (Action.FORGET,)),
    (SuccessorState.SERVING, Event.INVALID_MESSAGE): (SuccessorState.ALONE, (Action.HANG_UP, Action.FORGET)),
    (SuccessorState.SERVING, Event.TERM): (SuccessorState.STOPPING, (Action.SAY_ENDING, Action.STOP)),
    (SuccessorState.STOPPING, Event.LINK_CLOSED): (SuccessorState.STOPPING, (Action.FORGET,)),
    (SuccessorState.STOPPING, Event.INVALID_MESSAGE): (
        SuccessorState.STOPPING,
        (Action.HANG_UP, Action.FORGET),
    ),
    **{
        (state, Event.UPGRADE): (state, (Action.REFUSE,))
        for state in SuccessorState
        if state is not SuccessorState.ALONE
    },
}


class StateMachine:
    """The state of one process.

    An event that the table does not have for the state is ignored.  A message that it does not have counts as
    `Event.INVALID_MESSAGE`."""

    def __init__(self, table: TransitionTable, state: enum.Enum) -> None:
        """`table`: `OLD_TRANSITIONS` or `SUCCESSOR_TRANSITIONS`; `state`: the first state."""
        self._table, self.state = table, state

    def handle(self, event: Event) -> tuple[Action, ...]:
        """Changes the state; returns the actions in the order in which they must be carried out."""
        if event in MESSAGES and (self.state, event) not in self._table:
            event = Event.INVALID_MESSAGE
        self.state, actions = self._table.get((self.state, event), (self.state, ()))
        return actions


def old_process() -> StateMachine:
    """The state machine of a process that listens."""
    return StateMachine(OLD_TRANSITIONS, OldState.SERVING)


def successor() -> StateMachine:
    """The state machine of a successor."""
    return StateMachine(SUCCESSOR_TRANSITIONS, SuccessorState.BOOTING)
