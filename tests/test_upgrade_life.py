"""Exhaustive search of all events that can happen to the two processes of an upgrade."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

from violetsaddle.decide.upgrade import (
    MESSAGES,
    OLD_TRANSITIONS,
    SUCCESSOR_TRANSITIONS,
    Action,
    Event,
    OldState,
    StateMachine,
    SuccessorState,
)

MESSAGES_SENT = {
    Action.SAY_HELLO: (Event.HELLO,),
    Action.SAY_READY: (Event.READY,),
    Action.SAY_SERVES: (Event.SERVES,),
    Action.SAY_ENDING: (Event.ENDING,),
    Action.GIVE: (Event.STATE, Event.WHOLE),
    Action.SAY_GO: (Event.GO,),
}
DEAD = None  # the state of a process that has ended or was not started


class World(NamedTuple):
    """Two processes and the pair of sockets between them.  `None` as a state: the process does not exist."""

    old: OldState | None = OldState.SERVING
    new: SuccessorState | None = None
    successor_started: bool = False
    to_old: tuple[Event, ...] = ()  # sent, not received; ends with LINK_CLOSED once the other end is closed
    to_new: tuple[Event, ...] = ()
    old_open: bool = False  # the old process's end of the pair
    new_open: bool = False
    old_accepts: bool = True
    new_accepts: bool = False
    kill_pending: bool = False  # a SIGKILL to the successor has not taken effect yet
    awaits_exit: bool = False  # the old process waits for the successor's exit status
    told_to_stop: bool = False  # SIGTERM to either process
    killed: bool = False  # the old process, by SIGKILL
    serves: bool = False  # the old process has received SERVES
    finished: bool = False  # the old process has ended by itself
    upgrades: int = 0  # started so far
    invalid_messages: int = 0  # sent so far


def without_old(world: World) -> World:
    """The old process has ended, for any reason."""
    return world._replace(
        old=DEAD,
        old_accepts=False,
        old_open=False,
        to_old=(),
        awaits_exit=False,
        to_new=(*world.to_new, Event.LINK_CLOSED) if world.old_open else world.to_new,
    )


def without_new(world: World) -> World:
    return world._replace(
        new=DEAD,
        new_accepts=False,
        new_open=False,
        to_new=(),
        kill_pending=False,
        to_old=(*world.to_old, Event.LINK_CLOSED) if world.new_open else world.to_old,
    )


def old_process_handles(world: World, event: Event) -> World:
    machine = StateMachine(OLD_TRANSITIONS, world.old)  # type: ignore[arg-type]
    actions = machine.handle(event)
    world = world._replace(old=machine.state)  # type: ignore[arg-type]
    for action in actions:
        if action is Action.SPAWN:
            world = world._replace(
                successor_started=True,
                new=SuccessorState.BOOTING,
                old_open=True,
                new_open=True,
                to_old=(),
                to_new=(),
                upgrades=world.upgrades + 1,
                awaits_exit=False,
                serves=False,
            )
        elif action in MESSAGES_SENT and world.new_open and world.old_open:
            world = world._replace(to_new=world.to_new + MESSAGES_SENT[action])
        elif action is Action.PAUSE:
            world = world._replace(old_accepts=False)
        elif action is Action.RESUME:
            world = world._replace(old_accepts=True)
        elif action in (Action.KILL, Action.HANG_UP):
            if world.old_open:
                world = world._replace(old_open=False, to_old=(), to_new=(*world.to_new, Event.LINK_CLOSED))
            if action is Action.KILL:
                world = world._replace(
                    kill_pending=world.new is not DEAD, awaits_exit=world.old is OldState.RETAKING
                )
        elif action is Action.LOOK:
            world = world._replace(awaits_exit=True)
        elif action is Action.FINISH:
            world = world._replace(finished=True)
    if event is Event.SERVES:
        world = world._replace(serves=True)
    return without_old(world) if world.old is OldState.ENDED else world


def successor_handles(world: World, event: Event) -> World:
    machine = StateMachine(SUCCESSOR_TRANSITIONS, world.new)  # type: ignore[arg-type]
    actions = machine.handle(event)
    world = world._replace(new=machine.state)  # type: ignore[arg-type]
    for action in actions:
        if action in MESSAGES_SENT and world.old_open and world.new_open:
            world = world._replace(to_old=world.to_old + MESSAGES_SENT[action])
        elif action is Action.RESUME:
            assert event is Event.GO, "the successor must not accept before `go`"
            world = world._replace(new_accepts=True)
        elif action is Action.QUIT:
            assert not world.new_accepts, "a successor that serves must not end by itself"
        elif action is Action.HANG_UP and world.new_open:
            world = world._replace(new_open=False, to_new=(), to_old=(*world.to_old, Event.LINK_CLOSED))
    return without_new(world) if world.new is SuccessorState.ENDED else world


def next_worlds(world: World) -> Iterator[tuple[str, World]]:
    """Every event that can happen next, and the world after it."""
    yield from next_worlds_by_old_process(world)
    yield from next_worlds_by_successor(world)
    if world.invalid_messages < 1 and world.old_open and world.new_open:
        if world.new is not DEAD:
            yield (
                "the successor sends an invalid message",
                world._replace(to_old=(*world.to_old, Event.INVALID_MESSAGE), invalid_messages=1),
            )
        if world.old is not DEAD and world.new is not DEAD:
            yield (
                "the old process sends an invalid message",
                world._replace(to_new=(*world.to_new, Event.INVALID_MESSAGE), invalid_messages=1),
            )


def next_worlds_by_old_process(world: World) -> Iterator[tuple[str, World]]:
    if world.old is not DEAD:
        yield "SIGKILL to the old process", without_old(world)._replace(killed=True)
        if not world.told_to_stop:
            yield (
                "SIGTERM to the old process",
                old_process_handles(world, Event.TERM)._replace(told_to_stop=True),
            )
        # A third process needs no search: once the first has ended, the second is the old process.
        if world.upgrades < 2 and (world.new is DEAD or world.old is not OldState.SERVING):
            yield "SIGUSR2 to the old process", old_process_handles(world, Event.UPGRADE)
        if world.to_old:
            yield (
                "the old process receives a message",
                old_process_handles(world._replace(to_old=world.to_old[1:]), world.to_old[0]),
            )
        if world.old in (OldState.STARTING, OldState.COMMITTED, OldState.GREETED, OldState.DRAINING):
            yield "timeout of the old process", old_process_handles(world, Event.TIMEOUT)
        if world.old in (OldState.STARTING, OldState.GREETED):
            yield "an action of the old process fails", old_process_handles(world, Event.FAILED)
        if world.old in (OldState.DRAINING, OldState.STOPPING):
            yield "drained", old_process_handles(world, Event.DRAINED)
        if world.awaits_exit and world.successor_started and world.new is DEAD:
            yield (
                "exit status read",
                old_process_handles(world._replace(awaits_exit=False), Event.SUCCESSOR_ENDED),
            )


def next_worlds_by_successor(world: World) -> Iterator[tuple[str, World]]:
    if world.new is not DEAD:
        yield "SIGKILL to the successor", without_new(world)
        if not world.told_to_stop or world.new in (
            SuccessorState.BOOTING,
            SuccessorState.ADOPTING,
            SuccessorState.READY,
        ):
            ends = (
                world.new is SuccessorState.SERVING or world.new is SuccessorState.ALONE or world.told_to_stop
            )
            moved = successor_handles(world, Event.TERM)
            if (
                world.new is SuccessorState.ALONE
            ):  # now the state machine is that of an old process, which ends on SIGTERM
                moved = without_new(world)
            yield "SIGTERM to the successor", moved._replace(told_to_stop=ends)
        if world.new is SuccessorState.BOOTING:
            yield "the successor has started up", successor_handles(world, Event.INITIALIZED)
        if world.to_new and world.new is not SuccessorState.BOOTING:
            yield (
                "the successor receives a message",
                successor_handles(world._replace(to_new=world.to_new[1:]), world.to_new[0]),
            )
        if world.new in (SuccessorState.ADOPTING, SuccessorState.READY):
            yield "timeout of the successor", successor_handles(world, Event.TIMEOUT)
            yield "an action of the successor fails", successor_handles(world, Event.FAILED)
        yield "SIGUSR2 to the successor", successor_handles(world, Event.UPGRADE)


def settled(world: World) -> bool:
    """Whether no event is pending."""
    return (
        not (world.to_old and world.old is not DEAD)
        and not (world.to_new and world.new is not DEAD)
        and not world.kill_pending
        and not (world.awaits_exit and world.new is DEAD)
        and world.new is not SuccessorState.BOOTING
    )


PLANTED_FAULTS: dict[str, tuple[Any, Event, Any]] = {
    "accepts again before the successor has ended": (
        OldState.COMMITTED,
        Event.TIMEOUT,
        (OldState.SERVING, (Action.KILL, Action.RESUME)),
    ),
    "a dead successor is not replaced": (OldState.DRAINING, Event.SUCCESSOR_ENDED, (OldState.DRAINING, ())),
    "accepts after go": (OldState.GREETED, Event.READY, (OldState.COMMITTED, (Action.SAY_GO,))),
    "the successor accepts before go": (
        SuccessorState.ADOPTING,
        Event.WHOLE,
        (SuccessorState.READY, (Action.RESUME, Action.SAY_READY)),
    ),
    "the successor remains without go": (SuccessorState.READY, Event.LINK_CLOSED, (SuccessorState.READY, ())),
    "drains before the successor serves": (
        OldState.COMMITTED,
        Event.TIMEOUT,
        (OldState.ENDED, (Action.FINISH,)),
    ),
    "the successor ends with the old process": (
        SuccessorState.SERVING,
        Event.LINK_CLOSED,
        (SuccessorState.ENDED, (Action.QUIT,)),
    ),
    "does not check whether the successor has ended": (
        OldState.DRAINING,
        Event.LINK_CLOSED,
        (OldState.DRAINING, ()),
    ),
}


class UpgradeSearch(unittest.TestCase):
    def setUp(self) -> None:
        self.search()

    def search(self) -> None:
        self.predecessors: dict[World, tuple[World, str] | None] = {World(): None}
        frontier = [World()]
        while frontier:
            world = frontier.pop()
            for what, after in next_worlds(world):
                if after not in self.predecessors:
                    self.predecessors[after] = world, what
                    frontier.append(after)

    def trace(self, world: World) -> str:
        steps = [str(world)]
        while (step := self.predecessors[world]) is not None:
            world, what = step
            steps.append(what)
        return "\n".join(reversed(steps))

    def test_invariants_hold_in_every_world(self) -> None:
        self.assertGreater(len(self.predecessors), 1000)
        for world in self.predecessors:
            both = world.old_accepts and world.new_accepts
            self.assertFalse(both, self.trace(world))
            if world.finished and not world.told_to_stop:
                self.assertTrue(world.serves, self.trace(world))
            if not settled(world) or world.told_to_stop:
                continue
            lives = world.old is not DEAD or world.new is not DEAD
            waits = world.new in (SuccessorState.ADOPTING, SuccessorState.READY) and world.old is not DEAD
            accepts = world.old_accepts or world.new_accepts
            if world.old is OldState.COMMITTED or world.old is OldState.RETAKING:
                continue  # not final: a timeout or the successor's end follows
            self.assertEqual(lives, accepts, self.trace(world))
            if world.old is DEAD and world.new is not DEAD:
                self.assertIs(world.new, SuccessorState.ALONE, self.trace(world))
            if waits:
                self.assertTrue(world.old_accepts, self.trace(world))

    def test_every_world_settles(self) -> None:
        """From every world, events that need no signal lead to a settled one."""
        without_signal = (
            "the old process receives a message",
            "the successor receives a message",
            "exit status read",
            "timeout of the old process",
            "the successor has started up",
            "drained",
        )
        for world in self.predecessors:
            seen = {world}
            frontier = [world]
            while frontier:
                at = frontier.pop()
                moves = [after for what, after in next_worlds(at) if what in without_signal]
                if at.kill_pending:
                    moves.append(without_new(at))
                frontier += [after for after in moves if after not in seen]
                seen.update(moves)
            ends = [
                at for at in seen if settled(at) and at.old not in (OldState.COMMITTED, OldState.RETAKING)
            ]
            self.assertTrue(ends, self.trace(world))

    def test_every_state_and_action_is_reached(self) -> None:
        self.assertEqual({w.old for w in self.predecessors}, {*OldState, DEAD} - {OldState.ENDED})
        self.assertEqual({w.new for w in self.predecessors}, {*SuccessorState, DEAD} - {SuccessorState.ENDED})
        self.assertEqual(
            {
                action
                for table in (OLD_TRANSITIONS, SUCCESSOR_TRANSITIONS)
                for _, actions in table.values()
                for action in actions
            },
            set(Action),
        )

    def test_faults_in_the_tables_are_found(self) -> None:
        for name, (state, event, entry) in PLANTED_FAULTS.items():
            table: Any = OLD_TRANSITIONS if isinstance(state, OldState) else SUCCESSOR_TRANSITIONS
            with self.subTest(name), mock.patch.dict(table, {(state, event): entry}):
                with self.assertRaises(AssertionError):
                    self.search()
                    self.test_invariants_hold_in_every_world()

    def test_an_unexpected_message_is_invalid(self) -> None:
        for event in MESSAGES - {Event.HELLO}:
            machine = StateMachine(OLD_TRANSITIONS, OldState.STARTING)
            self.assertIn(Action.KILL, machine.handle(event))
            self.assertIs(machine.state, OldState.SERVING)


if __name__ == "__main__":
    unittest.main()
