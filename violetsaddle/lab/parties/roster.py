"""Discovery on connections: the list for nodes, whole or by watches."""

from __future__ import annotations

from collections import deque
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from violetsaddle.lab import records as rec
from violetsaddle.lab import wire
from violetsaddle.lab.parties.boxes import BoxesParty
from violetsaddle.lab.scene import Address, Places, Scene
from violetsaddle.world import boxes as model
from violetsaddle.world import roster
from violetsaddle.world.day import MS, SECOND, Day, Trouble
from violetsaddle.world.roster import Call, Listed, Roster

MOVED = 1_500 * MS  # the old address closes what is open so long after a move
UNKNOWN = wire.answer(404)
BUSY = wire.answer(503)


class _Entry(msgspec.Struct):
    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_ms: int


class _List(msgspec.Struct):
    version: int
    full: bool
    servers: list[_Entry]


def _list(
    day: Day, places: Places, node: int, unix0: int, version: int, full: bool, entries: tuple[Listed, ...]
) -> _List:
    rows = []
    for entry in entries:
        box = day.boxes[entry.box]
        host, port = places.box(node, entry.box)
        started = ((unix0 + entry.started) // MS or 1) if entry.started else 0
        rows.append(
            _Entry(
                box.name,
                f"{host}:{port}",
                day.halls[box.hall],
                day.kinds[box.kind].name,
                box.cell,
                entry.state,
                1.0,
                started,
            )
        )
    return _List(version, full, rows)


def listing(day: Day, places: Places, node: int, unix0: int = 0) -> dict[str, Any]:
    """The list in discovery's form that a node starts with (`known`), on some nodes a bit out of date.

    `unix0`: Unix microseconds of the day's start."""
    version, entries = roster.held(day, node)
    told: dict[str, Any] = msgspec.to_builtins(_list(day, places, node, unix0, version, True, entries))
    return told


class RosterConnection(Protocol):
    """A node's connection; calls are answered one after the other."""

    transport: Any

    def __init__(self, place: Place) -> None:
        self.place = place
        self._reader = wire.Reader(answers=False)
        self._waiting: deque[wire.Message] = deque()
        self._call: Call | None = None
        self._closes = self._within = False
        self._held: list[bytes] = []

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.place.connections[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.place.connections.pop(self, None)
        call, self._call = self._call, None
        if call is not None:
            self.place.party.hang_up(call)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._waiting += self._reader.feed(data)
        except wire.Garbled as error:
            self.place.party.strange(str(error))
            self.transport.abortConnection()
            return
        self._next()

    def _next(self) -> None:
        if self._within:
            return
        self._within = True
        while self._waiting and self._call is None and not self._closes:
            message = self._waiting.popleft()
            self._closes = message.closes
            self._serve(message)
        self._within = False

    def _serve(self, message: wire.Message) -> None:
        method, target, _ = message.first
        path, _, query = target.partition("?")
        if method != "GET" or path != "/discovery/hosts":
            self.write(UNKNOWN)
            return
        given = dict(parse_qsl(query))
        try:
            after = int(given["after"]) if "after" in given else None
            wait = max(0, int(given.get("wait_ms", 0))) * MS
        except ValueError:
            self.place.party.strange(f"a call that is none: {target[:80]!r}")
            self.write(wire.answer(400))
            return
        self._call = self.place.party.call(self, after, wait)

    def write(self, data: bytes) -> None:
        """A whole answer."""
        self._call = None
        if self.place.dumb:
            self._held.append(data)
        else:
            self.transport.write(data)
        if self._closes:
            self.transport.loseConnection()

    def answered(self, data: bytes) -> None:
        self.write(data)
        self._next()

    def speak(self) -> None:
        held, self._held = self._held, []
        if held:
            self.transport.writeSequence(held)


class Place(Factory):
    """Where one node reaches the roster after so many moves."""

    noisy = False

    def __init__(self, party: RosterParty, node: int, move: int) -> None:
        self.party, self.node = party, node
        self.address: Address = party.scene.places.roster(node, move)
        self.connections: dict[RosterConnection, None] = {}
        self.port: Any = None
        self.deaf = self.dumb = False

    def buildProtocol(self, addr: object) -> RosterConnection:
        return RosterConnection(self)

    def listen(self) -> None:
        if self.port is None:
            host, port = self.address
            self.port = self.party.scene.reactor.listenTCP(port, self, 128, host)
            if self.deaf or self.dumb:
                self.port.stopReading()

    def unlisten(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def mute(self, deaf: bool, dumb: bool) -> None:
        """`live`: the network does not carry what comes from the node, or what goes there."""
        if self.port is not None and (deaf or dumb) != (self.deaf or self.dumb):
            (self.port.stopReading if deaf or dumb else self.port.startReading)()
        if deaf != self.deaf:
            for connection in self.connections:
                transport = connection.transport
                (transport.pauseProducing if deaf else transport.resumeProducing)()
        was, self.deaf, self.dumb = self.dumb, deaf, dumb
        if was and not dumb:
            for connection in list(self.connections):
                connection.speak()


class RosterParty:
    """Serves the roster to every node.

    `unix0`: Unix microseconds of the day's start.  `boxes`: from which it hears what becomes of boxes, falls
    included; without it, it knows what the day plans for them."""

    def __init__(self, scene: Scene, unix0: int = 0, boxes: BoxesParty | None = None) -> None:
        self.scene, self._unix0 = scene, unix0
        self._day, self._now = scene.day, scene.now
        self._out: list[roster.Effect] = []
        self.model = Roster(scene.day, self._out)
        self._flushing = self._stopped = False
        self._timers: dict[Any, None] = {}
        self._armed: tuple[int, Any] | None = None
        self._move = 0
        self._places: list[Place] = []
        self._cuts: list[Trouble] = []
        self._lives = [0] * len(scene.day.nodes)
        self._told_lives = False
        self._wired = boxes is not None
        if boxes is not None:
            boxes.on_life = self.heard

    # Party.

    def start(self) -> None:
        day = self._day
        self._places = [Place(self, node, 0) for node in range(len(day.nodes))]
        for place in self._places:
            place.listen()
        if not self._wired:
            words = {"start": "up", "drain": "draining", "stop": "down", "remove": "removed"}
            for box in range(len(day.boxes)):
                for change in model.plan(day, box):
                    self._at(change.at, self.heard, box, words.get(change.what, "down"))
            for trouble in day.troubles:
                for box in trouble.boxes if trouble.kind == "silence" else ():
                    self._at(trouble.at, self.heard, box, "silent")
                    self._at(trouble.until, self.heard, box, "back")
        for trouble in day.troubles:
            if trouble.kind == "roster_out":
                self._at(trouble.at, self._outage, True)
                self._at(trouble.until, self._outage, False)
            elif trouble.kind == "roster_move":
                self._at(trouble.at, self._moved)
            elif trouble.kind in ("kill", "restart", "hall"):
                self._at(trouble.until, self._lives_on, trouble)
            elif trouble.kind in ("cut", "oneway") and not self.scene.links:
                self._at(trouble.at, self._cut, trouble, True)
                self._at(trouble.until, self._cut, trouble, False)
        self._settle()

    def stop(self) -> None:
        self._stopped = True
        for timer in [*self._timers, *([self._armed[1]] if self._armed else [])]:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._armed = None
        for place in self._places:
            place.unlisten()
            place.reset()

    def life(self, node: int, life: int) -> None:
        """A node starts for the time `life` (0 is the first).  A stage that never says so leaves it to the
        day's troubles: then a life begins at the end of the one that ended it."""
        self._told_lives = True
        self._begin(node, life)

    def _lives_on(self, trouble: Trouble) -> None:
        if self._told_lives:
            return
        for node, hall in enumerate(self._day.nodes):
            if node in trouble.nodes or hall in trouble.halls:
                self._begin(node, self._lives[node] + 1)

    def _begin(self, node: int, life: int) -> None:
        if life != self._lives[node]:
            self._lives[node] = life
            self.model.life(self._now(), node)
            self._settle()

    # Timers.

    def _at(self, at: int, do: Any, *args: Any) -> None:
        if self._stopped:
            return

        def due() -> None:
            self._timers.pop(timer, None)
            do(*args)

        timer = self.scene.reactor.callLater(max(0, at - self._now()) / SECOND, due)
        self._timers[timer] = None

    def _settle(self) -> None:
        """After a call of the model: carries its effects out, sets its timer."""
        if self._flushing:
            return
        self._flushing, out, done = True, self._out, 0
        try:
            while done < len(out):
                effect = out[done]
                done += 1
                self._carry(effect)
        finally:
            out.clear()
            self._flushing = False
        due = self.model.next
        if due is None or self._stopped:
            return
        if self._armed is not None:
            if self._armed[0] <= due:
                return
            self._armed[1].cancel()
        self._armed = due, self.scene.reactor.callLater(max(0, due - self._now()) / SECOND, self._due)

    def _due(self) -> None:
        self._armed = None
        now = self._now()
        if self.model.next is not None and self.model.next <= now:
            self.model.advance(now)
        self._settle()

    def _carry(self, effect: roster.Effect) -> None:
        if isinstance(effect, roster.Told):
            entry = effect.entry
            self.scene.ledger.add(
                rec.Told(
                    self._now(),
                    effect.node,
                    self._lives[effect.node],
                    entry.box,
                    entry.state,
                    entry.started,
                    effect.counted,
                )
            )
            return
        connection = effect.call.link
        if not isinstance(connection, RosterConnection):
            return
        if isinstance(effect, roster.Broken):
            connection.transport.abortConnection()
        elif effect.status != 200:
            connection.answered(BUSY)
        else:
            told = _list(
                self._day,
                self.scene.places,
                effect.call.node,
                self._unix0,
                effect.version,
                effect.full,
                effect.entries,
            )
            connection.answered(
                wire.answer(200, {"Content-Type": "application/json"}, msgspec.json.encode(told))
            )

    # What comes in.

    def heard(self, box: int, what: str) -> None:
        """What has become of a box, in the words of `records.BoxLife`."""
        self.model.heard(self._now(), box, what)
        self._settle()

    def call(self, connection: RosterConnection, after: int | None, wait: int) -> Call:
        call = self.model.call(self._now(), connection.place.node, after, wait, connection)
        self._settle_soon()
        return call

    def _settle_soon(self) -> None:
        """A call may be over at once: its connection must know it before it is answered."""
        if self._out:
            self._at(self._now(), self._settle)
        else:
            self._settle()

    def hang_up(self, call: Call) -> None:
        self.model.hang_up(self._now(), call)
        self._settle()

    def strange(self, text: str) -> None:
        self.scene.ledger.add(rec.Strange(self._now(), "roster", text))

    # Troubles.

    def _outage(self, on: bool) -> None:
        if on:
            self.model.down(self._now())
            for place in self._places:
                place.unlisten()
                place.reset()
        else:
            self.model.up(self._now())
            for place in self._places:
                place.listen()
        self._settle()

    def _moved(self) -> None:
        """The new address opens; the old one refuses what is new, and soon closes what it has."""
        old = self._places
        self._move += 1
        self._places = [Place(self, node, self._move) for node in range(len(self._day.nodes))]
        self._mute()
        for place in self._places:
            if self.model.is_up:
                place.listen()
        for place in old:
            place.unlisten()
            self._at(self._now() + MOVED, place.reset)

    def _cut(self, trouble: Trouble, on: bool) -> None:
        if on:
            self._cuts.append(trouble)
        else:
            self._cuts.remove(trouble)
        self._mute()

    def _mute(self) -> None:
        for place in self._places:
            cuts = [c.kind for c in self._cuts if c.halls[0] == self._day.nodes[place.node]]
            place.mute(bool(cuts), "cut" in cuts)
