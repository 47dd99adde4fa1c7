"""All that can happen to the two processes of an upgrade, searched to its end."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

from violetsaddle.decide.upgrade import MESSAGES, NEW, OLD, Do, Event, Life, New, Old

SAYS = {
    Do.SAY_HELLO: (Event.HELLO,),
    Do.SAY_READY: (Event.READY,),
    Do.SAY_SERVES: (Event.SERVES,),
    Do.SAY_ENDING: (Event.ENDING,),
    Do.GIVE: (Event.STATE, Event.WHOLE),
    Do.SAY_GO: (Event.GO,),
}
DEAD = None


class World(NamedTuple):
    """Two processes and the pair between them.  `None` as a state: the process is dead, or not yet born."""

    old: Old | None = Old.SERVING
    new: New | None = None
    born: bool = False
    to_old: tuple[Event, ...] = ()  # said and not heard; ends with END once the other side is closed
    to_new: tuple[Event, ...] = ()
    old_open: bool = False  # its end of the pair
    new_open: bool = False
    old_accepts: bool = True
    new_accepts: bool = False
    doomed: bool = False  # the successor has a SIGKILL on its way
    looks: bool = False  # the old one asks for the successor's end
    told_to_end: bool = False  # SIGTERM to either
    killed: bool = False  # the old one, by SIGKILL
    serves: bool = False  # the old one heard that the successor serves
    finished: bool = False  # the old one, by itself
    asked: int = 0  # upgrades
    breaks: int = 0  # nonsense said


def without_old(world: World) -> World:
    """The old process has ended, however."""
    return world._replace(
        old=DEAD,
        old_accepts=False,
        old_open=False,
        to_old=(),
        looks=False,
        to_new=(*world.to_new, Event.END) if world.old_open else world.to_new,
    )


def without_new(world: World) -> World:
    return world._replace(
        new=DEAD,
        new_accepts=False,
        new_open=False,
        to_new=(),
        doomed=False,
        to_old=(*world.to_old, Event.END) if world.new_open else world.to_old,
    )


def old_takes(world: World, event: Event) -> World:
    life = Life(OLD, world.old)  # type: ignore[arg-type]
    actions = life.take(event)
    world = world._replace(old=life.state)  # type: ignore[arg-type]
    for do in actions:
        if do is Do.SPAWN:
            world = world._replace(
                born=True,
                new=New.BOOTING,
                old_open=True,
                new_open=True,
                to_old=(),
                to_new=(),
                asked=world.asked + 1,
                looks=False,
                serves=False,
            )
        elif do in SAYS and world.new_open and world.old_open:
            world = world._replace(to_new=world.to_new + SAYS[do])
        elif do is Do.PAUSE:
            world = world._replace(old_accepts=False)
        elif do is Do.RESUME:
            world = world._replace(old_accepts=True)
        elif do in (Do.KILL, Do.HANG_UP):
            if world.old_open:
                world = world._replace(old_open=False, to_old=(), to_new=(*world.to_new, Event.END))
            if do is Do.KILL:
                world = world._replace(doomed=world.new is not DEAD, looks=world.old is Old.RETAKING)
        elif do is Do.LOOK:
            world = world._replace(looks=True)
        elif do is Do.FINISH:
            world = world._replace(finished=True)
    if event is Event.SERVES:
        world = world._replace(serves=True)
    return without_old(world) if world.old is Old.OVER else world


def new_takes(world: World, event: Event) -> World:
    life = Life(NEW, world.new)  # type: ignore[arg-type]
    actions = life.take(event)
    world = world._replace(new=life.state)  # type: ignore[arg-type]
    for do in actions:
        if do in SAYS and world.old_open and world.new_open:
            world = world._replace(to_old=world.to_old + SAYS[do])
        elif do is Do.RESUME:
            assert event is Event.GO, "the successor accepts at `go` and not before"
            world = world._replace(new_accepts=True)
        elif do is Do.QUIT:
            assert not world.new_accepts, "a successor that serves ends when it is told to, and not before"
        elif do is Do.HANG_UP and world.new_open:
            world = world._replace(new_open=False, to_new=(), to_old=(*world.to_old, Event.END))
    return without_new(world) if world.new is New.OVER else world


def nexts(world: World) -> Iterator[tuple[str, World]]:
    """Whatever may happen next."""
    yield from old_nexts(world)
    yield from new_nexts(world)
    if world.breaks < 1 and world.old_open and world.new_open:
        if world.new is not DEAD:
            yield "new babbles", world._replace(to_old=(*world.to_old, Event.NONSENSE), breaks=1)
        if world.old is not DEAD and world.new is not DEAD:
            yield "old babbles", world._replace(to_new=(*world.to_new, Event.NONSENSE), breaks=1)


def old_nexts(world: World) -> Iterator[tuple[str, World]]:
    if world.old is not DEAD:
        yield "SIGKILL of the old one", without_old(world)._replace(killed=True)
        if not world.told_to_end:
            yield "SIGTERM to the old one", old_takes(world, Event.TERM)._replace(told_to_end=True)
        # A third process is this search again: with the first one gone, the second is the old one.
        if world.asked < 2 and (world.new is DEAD or world.old is not Old.SERVING):
            yield "SIGUSR2 to the old one", old_takes(world, Event.UPGRADE)
        if world.to_old:
            yield "old hears", old_takes(world._replace(to_old=world.to_old[1:]), world.to_old[0])
        if world.old in (Old.STARTING, Old.COMMITTED, Old.GREETED, Old.DRAINING):
            yield "late for the old one", old_takes(world, Event.LATE)
        if world.old in (Old.STARTING, Old.GREETED):
            yield "the old one can't", old_takes(world, Event.FAILED)
        if world.old in (Old.DRAINING, Old.LEAVING):
            yield "nothing owed", old_takes(world, Event.EMPTY)
        if world.looks and world.born and world.new is DEAD:
            yield "reaped", old_takes(world._replace(looks=False), Event.GONE)


def new_nexts(world: World) -> Iterator[tuple[str, World]]:
    if world.new is not DEAD:
        yield "SIGKILL of the new one", without_new(world)
        if not world.told_to_end or world.new in (New.BOOTING, New.ADOPTING, New.READY):
            ends = world.new is New.SERVING or world.new is New.ALONE or world.told_to_end
            moved = new_takes(world, Event.TERM)
            if world.new is New.ALONE:  # its life is that of an old one now: it ends as it does
                moved = without_new(world)
            yield "SIGTERM to the new one", moved._replace(told_to_end=ends)
        if world.new is New.BOOTING:
            yield "begun", new_takes(world, Event.BEGUN)
        if world.to_new and world.new is not New.BOOTING:
            yield "new hears", new_takes(world._replace(to_new=world.to_new[1:]), world.to_new[0])
        if world.new in (New.ADOPTING, New.READY):
            yield "late for the new one", new_takes(world, Event.LATE)
            yield "the new one can't", new_takes(world, Event.FAILED)
        yield "SIGUSR2 to the new one", new_takes(world, Event.UPGRADE)


def settled(world: World) -> bool:
    """Nothing is under way that must come to its end by itself."""
    return (
        not (world.to_old and world.old is not DEAD)
        and not (world.to_new and world.new is not DEAD)
        and not world.doomed
        and not (world.looks and world.new is DEAD)
        and world.new is not New.BOOTING
    )


PLANTED: dict[str, tuple[Any, Event, Any]] = {
    "accepts again before the successor's death is sure": (
        Old.COMMITTED,
        Event.LATE,
        (Old.SERVING, (Do.KILL, Do.RESUME)),
    ),
    "a dead successor is not replaced": (Old.DRAINING, Event.GONE, (Old.DRAINING, ())),
    "goes on accepting": (Old.GREETED, Event.READY, (Old.COMMITTED, (Do.SAY_GO,))),
    "accepts too early": (New.ADOPTING, Event.WHOLE, (New.READY, (Do.RESUME, Do.SAY_READY))),
    "stays without a go": (New.READY, Event.END, (New.READY, ())),
    "drains before the successor serves": (Old.COMMITTED, Event.LATE, (Old.OVER, (Do.FINISH,))),
    "ends with the old one": (New.SERVING, Event.END, (New.OVER, (Do.QUIT,))),
    "looks for no death": (Old.DRAINING, Event.END, (Old.DRAINING, ())),
}


class Search(unittest.TestCase):
    def setUp(self) -> None:
        self.search()

    def search(self) -> None:
        self.came_from: dict[World, tuple[World, str] | None] = {World(): None}
        frontier = [World()]
        while frontier:
            world = frontier.pop()
            for what, after in nexts(world):
                if after not in self.came_from:
                    self.came_from[after] = world, what
                    frontier.append(after)

    def story(self, world: World) -> str:
        steps = [str(world)]
        while (step := self.came_from[world]) is not None:
            world, what = step
            steps.append(what)
        return "\n".join(reversed(steps))

    def test_what_holds_whatever_happens(self) -> None:
        self.assertGreater(len(self.came_from), 1000)
        for world in self.came_from:
            both = world.old_accepts and world.new_accepts
            self.assertFalse(both, self.story(world))
            if world.finished and not world.told_to_end:
                self.assertTrue(world.serves, self.story(world))
            if not settled(world) or world.told_to_end:
                continue
            lives = world.old is not DEAD or world.new is not DEAD
            waits = world.new in (New.ADOPTING, New.READY) and world.old is not DEAD
            accepts = world.old_accepts or world.new_accepts
            if world.old is Old.COMMITTED or world.old is Old.RETAKING:
                continue  # under way: `LATE` or the successor's death comes
            self.assertEqual(lives, accepts, self.story(world))
            if world.old is DEAD and world.new is not DEAD:
                self.assertIs(world.new, New.ALONE, self.story(world))
            if waits:
                self.assertTrue(world.old_accepts, self.story(world))

    def test_what_is_under_way_comes_to_an_end(self) -> None:
        """From every state, what comes by itself leads to one that is settled."""
        by_itself = ("old hears", "new hears", "reaped", "late for the old one", "begun", "nothing owed")
        for world in self.came_from:
            seen = {world}
            frontier = [world]
            while frontier:
                at = frontier.pop()
                moves = [after for what, after in nexts(at) if what in by_itself]
                if at.doomed:
                    moves.append(without_new(at))
                frontier += [after for after in moves if after not in seen]
                seen.update(moves)
            ends = [at for at in seen if settled(at) and at.old not in (Old.COMMITTED, Old.RETAKING)]
            self.assertTrue(ends, self.story(world))

    def test_every_state_and_action_is_reached(self) -> None:
        self.assertEqual({w.old for w in self.came_from}, {*Old, DEAD} - {Old.OVER})
        self.assertEqual({w.new for w in self.came_from}, {*New, DEAD} - {New.OVER})
        self.assertEqual(
            {do for table in (OLD, NEW) for _, actions in table.values() for do in actions}, set(Do)
        )

    def test_faults_planted_in_the_tables_are_found(self) -> None:
        for name, (state, event, entry) in PLANTED.items():
            table: Any = OLD if isinstance(state, Old) else NEW
            with self.subTest(name), mock.patch.dict(table, {(state, event): entry}):
                with self.assertRaises(AssertionError):
                    self.search()
                    self.test_what_holds_whatever_happens()

    def test_a_message_out_of_turn_is_nonsense(self) -> None:
        for event in MESSAGES - {Event.HELLO}:
            life = Life(OLD, Old.STARTING)
            self.assertIn(Do.KILL, life.take(event))
            self.assertIs(life.state, Old.SERVING)


if __name__ == "__main__":
    unittest.main()
