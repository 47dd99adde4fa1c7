"""One node of the simulated stage: the real program's code through all its lives."""

from __future__ import annotations

import re
import traceback
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from violetsaddle import interface as api
from violetsaddle.lab.records import Fault, GaveUp, LeftOver, NodeLife, Record
from violetsaddle.lab.sim.loop import Loop
from violetsaddle.lab.sim.network import Host
from violetsaddle.lab.sim.reactor import SimReactor
from violetsaddle.lab.sim.stream import Stream
from violetsaddle.net.limits import Limits
from violetsaddle.net.node import Config, Node, unchanged
from violetsaddle.world.day import MS, SECOND, Day, Trouble

Decider = Callable[[api.Settings, int, int, api.Actions], Any]
LAUNCH = 300 * MS  # from a program's start until it listens
GRAIN = MS  # epoll's
MOST_ARMS = 1000  # kept before those that are over are swept out
MOST_LINES = 4000  # of all logs
MOST_TEXT = 4000  # characters of a fault
ROOT = str(Path(__file__).resolve().parents[3])
WHERE = re.compile(r" at 0x[0-9a-f]+")  # an object's place in memory differs from run to run


def tidy(text: str) -> str:
    """A text that is the same on every machine and run."""
    return WHERE.sub("", text.replace(ROOT + "/", ""))[:MOST_TEXT]


class NodeClock:
    """The clocks of a node's machine, in microseconds; they stand still while they are held."""

    def __init__(self, loop: Loop, boot: int, unix0: int) -> None:
        """`boot`: what the monotonic one shows at the day's start, `unix0` the other one."""
        self._loop, self._ahead, self._unix = loop, boot, unix0 - boot
        self._held = 0
        self._stood: int | None = None  # what the monotonic one shows while they stand

    def monotonic(self) -> int:
        return self._loop.now + self._ahead if self._stood is None else self._stood

    def unix(self) -> int:
        return self.monotonic() + self._unix

    def hold(self) -> None:
        self._stood = self.monotonic()
        self._held += 1

    def go_on(self) -> None:
        """From where they stood, so that they stay behind."""
        self._held -= 1
        if not self._held and self._stood is not None:
            self._ahead, self._stood = self._stood - self._loop.now, None


class Tap:
    """The module's actions, some of them seen on their way."""

    def __init__(self, actions: Any, ended: Callable[[str, str], None], now: Callable[[], int]) -> None:
        self._actions, self._ended, self._now = actions, ended, now
        self.arms: list[int] = []  # times for which it wants to be woken
        # The others go straight through.
        self.send, self.cancel, self.probe = actions.send, actions.cancel, actions.probe
        self.tell, self.watch = actions.tell, actions.watch

    def __getattr__(self, name: str) -> Any:
        return getattr(self._actions, name)

    def refuse(self, job: str, retry_after: int) -> None:
        self._ended(job, "refuse")
        self._actions.refuse(job, retry_after)

    def fail(self, job: str) -> None:
        self._ended(job, "fail")
        self._actions.fail(job)

    def arm(self, time: int) -> None:
        self.arms.append(time)
        if len(self.arms) > MOST_ARMS:
            self.awaited()
        self._actions.arm(time)

    def awaited(self) -> int:
        """Wakes that are still to come."""
        now = self._now()
        self.arms = [at for at in self.arms if at >= now]
        return len(self.arms)


@dataclass(frozen=True)
class Ground:
    """What all nodes of a play share."""

    day: Day
    loop: Loop
    add: Callable[[Record], None]
    decider: Decider
    config: Callable[[int, int, int], Config]  # of a node, in its life so and so, after so many moves
    lives: Callable[[int, int], None]  # told of each new life
    adjust: Callable[[Limits], Limits] = unchanged  # an operator's
    restart: Any = None  # the `Restart` of an operator file that keeps something
    log: list[str] = field(default_factory=list)

    @property
    def grace(self) -> int:
        """From SIGTERM until SIGKILL may come."""
        return min(max(c.deadline for c in self.day.classes), 3 * SECOND) + 700 * MS

    def say(self, text: str) -> None:
        if len(self.log) < MOST_LINES:
            self.log.append(f"{self.loop.now / SECOND:9.3f} {tidy(text)}")


class NodeLog:
    """Takes a node's log: `counters.Sink`."""

    timer: Any = None

    def __init__(self, home: SimNode) -> None:
        self._home = home

    def say(self, text: str) -> None:
        self._home.say(text)

    def fault(self, text: str, error: BaseException | None) -> None:
        self._home.fault_text(f"{text}: " + "".join(traceback.format_exception(error)))

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """The records tell what happens to flows."""


class SimNode:
    """A machine and the program on it.  What troubles do to it is called at their times."""

    def __init__(self, ground: Ground, number: int, host: Host, clock: NodeClock) -> None:
        self._ground, self._number, self._host, self._clock = ground, number, host, clock
        self._life, self._move, self._holds, self._pauses = -1, 0, 0, 0
        self._closed = False  # the day is over
        self.disk: Any = None  # of its machine, where something is kept
        self.process: SimReactor | None = None
        self.node: Node | None = None
        self._tap: Tap | None = None
        self._counts: Counter[str] = Counter()

    def _note(self, what: str) -> None:
        self._ground.add(NodeLife(self._ground.loop.now, self._number, self._life, what))

    def fault(self, error: BaseException) -> None:
        self.fault_text("".join(traceback.format_exception(error)))

    def fault_text(self, text: str) -> None:
        self.say(text)
        self._ground.add(Fault(self._ground.loop.now, self._number, tidy(text)))

    # Its life.

    def launch(self) -> None:
        """Starts its program, which listens a while later."""
        self._life += 1
        self._note("start")
        self._ground.lives(self._number, self._life)
        process = self.process = SimReactor(self._host.network, self._host, GRAIN)
        process.on_fault, process.on_stop = self.fault, self._ended
        process.callLater(LAUNCH / SECOND, self._begin, process)

    def _begin(self, process: SimReactor) -> None:
        ground, number = self._ground, self._number
        taps: list[Tap] = []

        def decider(told: api.Settings, seed: int, now: int, actions: api.Actions) -> Any:
            tap: Any = Tap(actions, self._gave_up, self._clock.monotonic)
            taps.append(tap)
            return ground.decider(told, seed, now, tap)

        try:
            node = self.node = Node(
                process,
                ground.config(number, self._life, self._move),
                lambda: ground.config(number, self._life, self._move),
                ground.adjust,
                NodeLog(self),
                self._clock,
                decider,
                **self._keep(process),
            )
            self._tap = taps[0]
            node.start()
        except Exception as error:
            self.fault(error)
            self._note("crashed")
            self._end(process.kill)
            return
        self._note("ready")

    def _keep(self, process: SimReactor) -> dict[str, Any]:
        """What keeps its memory: a node of another checkout may know of no such thing."""
        told = self._ground.restart
        if told is None:
            return {}
        from violetsaddle.lab.sim.disk import SimDisk, later
        from violetsaddle.net.warmth import Warmth

        if self.disk is None and told.snapshot:
            self.disk = SimDisk()
        return {"keep": lambda node: Warmth(node, told, self.disk, later(process))}

    def say(self, text: str) -> None:
        self._ground.say(f"n{self._number}: {text}")

    def _gave_up(self, job: str, how: str) -> None:
        self._ground.add(GaveUp(self._ground.loop.now, self._number, job, how))

    def _ended(self) -> None:
        """The program has stopped its reactor."""
        if self.process is not None:
            self._note("ended")
            self._end(self.process.exit)

    def _end(self, how: Callable[[], None]) -> None:
        if self.node is not None:
            self._counts.update(counts(self.node))
        how()
        self.process = self.node = self._tap = None
        self._pauses = 0

    def counters(self) -> Mapping[str, int]:
        """Summed over its lives."""
        total = self._counts + Counter(counts(self.node) if self.node is not None else {})
        return dict(sorted(total.items()))

    # What the day does to it.

    def _kill(self, how: str = "kill") -> None:
        if self.process is not None:
            self._note("kill")
            self._end(self.process.vanish if how == "vanish" else self.process.kill)

    def _release(self) -> None:
        self._holds -= 1
        if not self._holds and not self._closed and self.process is None:
            self.launch()

    def term(self) -> None:
        """SIGTERM."""
        process = self.process
        if process is not None:
            self._note("term")
            if self.node is not None:
                process.callFromThread(self.node.stop)
            else:
                process.callLater(0, process.stop)  # nothing handles the signal yet

    def restart(self, trouble: Trouble) -> None:
        loop, life = self._ground.loop, self._life
        self._holds += 1
        self.term()

        def overdue() -> None:
            if self._life == life:
                self._kill()

        loop.call_at(trouble.at + self._ground.grace, overdue)
        # Also where it is killed it starts again only then.
        loop.call_at(trouble.until, self._when_ended, life)

    def _when_ended(self, life: int) -> None:
        if self.process is not None and self._life == life:
            self._ground.loop.call(MS, self._when_ended, life)
        else:
            self._release()

    def kill(self, trouble: Trouble, how: str = "kill") -> None:
        self._holds += 1
        self._kill(how)
        self._ground.loop.call_at(trouble.until, self._release)

    def vanish(self, trouble: Trouble) -> None:
        """Its machine is gone, without a word to anybody; the next one has an empty disk."""
        self.disk = None
        self.kill(trouble, "vanish")

    def pause(self, trouble: Trouble) -> None:
        process = self.process
        if process is None:
            return
        self._pauses += 1
        if self._pauses == 1:
            self._note("pause")
            process.pause()

        def over() -> None:
            if self.process is process:
                self._pauses -= 1
                if not self._pauses:
                    self._note("resume")
                    process.resume()

        self._ground.loop.call_at(trouble.until, over)

    def freeze(self, trouble: Trouble) -> None:
        self._clock.hold()
        self._ground.loop.call_at(trouble.until, self._clock.go_on)

    def move(self, trouble: Trouble) -> None:
        """Its configuration is replaced, and SIGHUP."""
        self._move += 1
        if self.process is not None and self.node is not None:
            self.process.callFromThread(self.node.reload)

    # The end of the day.

    def close(self) -> None:
        self._closed = True

    def left(self, alone: bool) -> None:
        """Tells what it still holds though nobody asks any more; `alone`: the boxes have gone too.

        Allowed are: connections on which boxes call back or which wait for the next scheduling, unless it is
        alone; then only those whose other end has gone without a word that could come through; a deadline for
        each connection; the wakes that the module has asked for; two deadlines for each probe that is out;
        four for the watch; one for the next snapshot, and a timer for
        the one that is on its way to the disk."""
        node, tap, process = self.node, self._tap, self.process
        if node is None or tap is None or process is None:
            return
        held = holdings(node)
        edge = node.edge.shared.connections
        calls_back = sum(1 for c in edge if c.sends_callbacks and (not alone or orphaned(c.transport)))
        get = node.counters.get
        kept = int(self._ground.restart is not None)
        probes = get("probes") - get("probes_ok") - get("probes_failed")
        allowed = {
            "edge connections": calls_back,
            "server connections": held["server connections"],
            "deadlines": held["edge connections"]
            + held["server connections"]
            + tap.awaited()
            + 2 * probes
            + 4
            + kept,
            "sockets": held["edge connections"] + held["server connections"] + held["dials"] + 1,
            "timers": 1 + kept,
            "dials": probes,
        }
        if alone:
            allowed["server connections"] = 0
        held["sockets"], held["timers"] = len(process.sockets()), process.timers
        for what, count in held.items():
            over = count - allowed.get(what, 0)
            if over > 0:
                self._ground.add(LeftOver(self._ground.loop.now, self._number, what, over))

    def finish(self) -> None:
        """After SIGTERM and the grace: it must have ended."""
        if self.process is not None:
            self.fault_text(f"it did not end within {self._ground.grace / SECOND} s of SIGTERM")
            self._kill()


def orphaned(end: Stream) -> bool:
    """Its other end is gone, and nothing that says so will come."""
    return (end.peer is None or end.peer.closed) and not end.ended and not end.broken


def counts(node: Node) -> dict[str, int]:
    return dict(node.counters._counts)


def holdings(node: Node) -> dict[str, int]:
    """What a node has in its tables."""
    requests: Any = getattr(node, "requests", None)
    if requests is None:  # a checkout of before the name changed, played by `--tree`
        requests = vars(node)["flows"]
    balancer: Any = requests._balancer
    return {
        "flows": len(requests),
        "requests": len(getattr(balancer, "requests", ())),
        "edge connections": len(node.edge.shared.connections),
        "server connections": len(node.servers._connections),
        "dials": node.servers._dialling,
        "deadlines": len(node.deadlines),
    }
