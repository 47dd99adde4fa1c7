"""The simulated stage: a day with real nodes on virtual time, in one process and thread.

The same day gives the same records, whatever the machine does."""

from __future__ import annotations

import gc
import resource
import time
import traceback
from collections.abc import Callable
from typing import Any

from twisted.logger import LogEvent, globalLogPublisher

from violetsaddle import settings as given
from violetsaddle.lab.records import Ledger, Mark, Record
from violetsaddle.lab.scene import Party, Scene
from violetsaddle.lab.sim.loop import Loop
from violetsaddle.lab.sim.network import Host, Network
from violetsaddle.lab.sim.node import Ground, NodeClock, SimNode
from violetsaddle.lab.sim.places import BOXES, CLIENTS, SimPlaces
from violetsaddle.lab.sim.reactor import SimReactor
from violetsaddle.lab.stage import Options, Outcome, merged
from violetsaddle.net.limits import Limits
from violetsaddle.net.node import Config, unchanged
from violetsaddle.world import links, troubles
from violetsaddle.world.day import SECOND, Day, Trouble, chance, settings

Watch = Callable[[Record], None]
UNIX0 = 1_750_000_000 * SECOND  # of each day's start
AHEAD = 2 * SECOND  # the world and the nodes are there so long before the day
AFTER = SECOND  # what is owed at the day's end has its deadline and so much more
SETTLE = 3 * SECOND  # until what went with the clients is tidied away
FOREVER = 1 << 60
BEFALLS: dict[str, Callable[[SimNode, Trouble], None]] = {
    "restart": SimNode.restart,
    "kill": SimNode.kill,
    "pause": SimNode.pause,
    "clock": SimNode.freeze,
    "hall": SimNode.vanish,
    "roster_move": SimNode.move,
}
PLAIN = Options()


class Watched(Ledger):
    """A ledger that somebody looks at.  What the watcher raises ends the play, past all handlers of programs
    that are on the way."""

    def __init__(self, loop: Loop, watch: Watch | None) -> None:
        super().__init__()
        if watch is None:
            return
        keep = self.records.append

        def end(error: BaseException) -> None:
            raise error

        def add(record: Record) -> None:
            keep(record)
            try:
                watch(record)
            except BaseException as error:
                loop.call_at(-FOREVER, end, error)

        self.add = add


class Play:
    """One play of one day."""

    def __init__(self, day: Day, options: Options, watch: Watch | None) -> None:
        from violetsaddle.lab.parties.boxes import BoxesParty
        from violetsaddle.lab.parties.clients import CrowdParty
        from violetsaddle.lab.parties.roster import RosterParty
        from violetsaddle.lab.parties.rude import RudeParty
        from violetsaddle.lab.yardsticks import deciders

        self.loop = Loop(-AHEAD)
        self.day, self._options, self._void = day, options, ""
        self.ledger = Watched(self.loop, watch)
        self._places = SimPlaces()
        self.network = Network(self.loop, links.Links(day, chance(day.seed, "net")))
        machines = [
            Host(self.network, f"n{n}", links.Place(hall, node=n), self._places.node(n)[0])
            for n, hall in enumerate(day.nodes)
        ]
        for number, box in enumerate(day.boxes):
            Host(self.network, box.name, links.Place(box.hall, box=number), self._places.box(0, number)[0])
        moves = sum(t.kind == "roster_move" for t in day.troubles)
        roster = Host(
            self.network,
            "roster",
            links.Place(links.ROSTER),
            *(self._places.roster(0, move)[0] for move in range(moves + 1)),
        )
        crowd = Host(self.network, "clients", links.Place(links.CLIENTS), CLIENTS)
        agents = Host(self.network, "boxes", links.Place(links.ROSTER), BOXES)

        boxes = BoxesParty(self._scene(SimReactor(self.network, agents)))
        told = RosterParty(self._scene(SimReactor(self.network, roster)), UNIX0, boxes)
        reactor = SimReactor(self.network, crowd)
        self._boxes, self._roster = boxes, told
        self._load: list[Party] = [CrowdParty(self._scene(reactor)), RudeParty(self._scene(reactor))]
        adjust, restart = self._operated()
        ground = Ground(
            day,
            self.loop,
            self.ledger.add,
            deciders(day, boxes)[options.decider],
            self._config,
            told.life,
            adjust,
            restart,
        )
        self.log, self._grace = ground.log, ground.grace
        self.nodes = [
            SimNode(
                ground,
                n,
                host,
                NodeClock(
                    self.loop, int(chance(day.seed, "boot", n).integers(SECOND, 10**6 * SECOND)), UNIX0
                ),
            )
            for n, host in enumerate(machines)
        ]

    def _scene(self, reactor: SimReactor) -> Scene:
        reactor.on_fault = self._failed
        return Scene(self.day, reactor, lambda: self.loop.now, self.ledger, self._places, links=True)

    def _operated(self) -> tuple[Callable[[Limits], Limits], Any]:
        """The limits of the operator file, and its section on restarts if something is kept.  Its log is not
        played; any path of a snapshot stands for a disk in memory."""
        if not self._options.operator:
            return unchanged, None
        from violetsaddle import operator

        told = operator.load(self._options.operator)
        restart = getattr(told, "restart", None)  # another checkout's may have none
        return told.limits_for, restart if restart is not None and restart.keeps else None

    def _config(self, node: int, life: int, move: int) -> Config:
        from violetsaddle.lab.parties.roster import listing

        day, places = self.day, self._places
        env = merged(settings(day, node), self._options.settings)
        fields, told = given.read(env)
        return Config(
            name=f"n{node}",
            listen=places.node(node),
            discovery=places.roster(node, move),
            seed=int(chance(day.seed, "node", node, life).integers(1 << 63)),
            sockets=day.sockets,
            peer_listen=places.peer(node),
            peers_all=None,
            peers=[places.peer(other) for other in range(len(day.nodes))],
            known=listing(day, places, node, UNIX0),
            told=told,
            fields=fields,
            classes=given.names(env, "requestClasses"),
            tenants=given.names(env, "tenants"),
            zones=given.names(env, "failureDomains"),
            kinds=given.names(env, "kinds"),
        )

    # What goes wrong with the stage itself, or is only seen in Twisted's log.

    def _failed(self, error: BaseException) -> None:
        self._void = self._void or "a stand-in failed: " + "".join(traceback.format_exception(error))

    def observe(self, event: LogEvent) -> None:
        failure = event.get("log_failure")
        if failure is None:
            return
        text = "caught by Twisted: " + "".join(
            traceback.format_exception(failure.type, failure.value, failure.getTracebackObject())
        )
        for node in self.nodes:
            if node.process is not None and node.process is self.network.running:
                node.fault_text(text)
                return
        self._void = self._void or text

    # The day.

    def run(self) -> None:
        day, loop = self.day, self.loop
        parties: list[Party] = [self._boxes, self._roster, *self._load]
        for party in parties:
            party.start()
        for node in self.nodes:
            node.launch()
        for trouble in day.troubles:
            loop.call_at(trouble.at, self._trouble, trouble)
        after = self._options.after or max(c.deadline for c in day.classes) + AFTER
        self._pass(day.length + after)
        self._finish()

    def _pass(self, until: int) -> None:
        """Time goes on.  Young garbage is collected at fixed times of the day, so that what the collector
        brings about comes at the same times too."""
        loop, number = self.loop, 0
        while loop.now < until and not self._void:
            loop.run(min(until, loop.now + SECOND))
            number += 1
            gc.collect(0 if number % 8 else 1)

    def _trouble(self, trouble: Trouble) -> None:
        kind, day = trouble.kind, self.day
        self.ledger.add(Mark(self.loop.now, trouble.until, kind, troubles.text(trouble, day)))
        befalls = BEFALLS.get(kind)  # all others are the parties' or the links'
        for number, node in enumerate(self.nodes):
            if befalls and (
                kind == "roster_move" or number in trouble.nodes or day.nodes[number] in trouble.halls
            ):
                befalls(node, trouble)

    def _finish(self) -> None:
        """Clients go, then boxes, then the nodes; each time something less may be held.  The roster outlives
        them: a node must not count calls that fail only because the day is over."""
        loop = self.loop
        steps: list[tuple[list[Party], bool]] = [(self._load, False), ([self._boxes], True)]
        for node in self.nodes:
            node.close()
        for parties, alone in steps:
            for party in parties:
                party.stop()
            self._pass(loop.now + SETTLE)
            for node in self.nodes:
                node.left(alone)
        for node in self.nodes:
            node.term()
        self._pass(loop.now + self._grace)
        for node in self.nodes:
            node.finish()
        self._roster.stop()
        gc.collect()

    def outcome(self, wall: float) -> Outcome:
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        counters = [node.counters() for node in self.nodes]
        return Outcome(
            self.day, self.ledger.records, counters, self.log, wall, self.loop.events, peak, self._void
        )


class SimStage:
    """Plays days on virtual time: `stage.Stage`."""

    def play(self, day: Day, options: Options = PLAIN, watch: Watch | None = None) -> Outcome:
        """`watch` sees each record as it is made; what it raises ends the play."""
        began = time.monotonic()
        gc.collect()
        gc.freeze()
        gc.disable()
        observers: list[Any] = []
        try:
            play = Play(day, options, watch)
            observers.append(play.observe)
            globalLogPublisher.addObserver(observers[0])
            play.run()
            return play.outcome(time.monotonic() - began)
        finally:
            for observer in observers:
                globalLogPublisher.removeObserver(observer)
            gc.enable()
            gc.unfreeze()
