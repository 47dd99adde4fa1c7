"""The day's clients, each hall's behind a front of its own, on whichever reactor the scene has."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.interfaces import IAddress, IConnector, IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from violetsaddle.lab import ids, wire
from violetsaddle.lab.records import Answer, Gone, Late, Lost, Sent, Strange, Unreached
from violetsaddle.lab.scene import Scene
from violetsaddle.world.clients import Crowd, Ending, Try, items
from violetsaddle.world.day import MS, SECOND, chance
from violetsaddle.world.front import NOBODY, Front

BEHIND = 50 * MS  # a try that starts so much too late is recorded
DIAL = SECOND  # for a connection to a node
LOOK_FIRST = 50 * MS  # between looks at a node that has not been in yet
LOOK = 250 * MS
LOOK_ANSWER = SECOND
LEAVES = 200 * MS, 400 * MS  # after SIGTERM, connections still come for so long
KILLED_LEAST, KILLED = 3 * SECOND, 2 * SECOND  # by the longest deadline and this it has been killed
RESET = 2 * MS  # beyond a round trip: a reset that follows the end of a stream has come by then


class _Open:
    """One try under way."""

    __slots__ = ("next", "txn", "line", "timer", "sent", "again")

    def __init__(self, given: Try, txn: str) -> None:
        self.next, self.txn = given, txn
        self.line: _Line | None = None
        self.timer: Any = None  # None: it is over
        self.sent = False
        self.again = False  # sent once more since a close crossed it


@implementer(IHalfCloseableProtocol)
class _Line(Protocol):
    """A client's connection to a node; one request at a time."""

    def __init__(self, hall: _Hall, node: int, first: _Open | None) -> None:
        self.hall, self.node, self.open = hall, node, first
        self.reader = wire.Reader(answers=True)
        self.made = False
        self.answers = 0
        self.bytes = 0  # of the present answer
        self.wrote = 0  # when
        self.idle_since = 0
        self.ends = False  # takes no further request
        self.parted = False  # the node has ended its stream, not without a request on it
        self._parting: Any = None

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.made = True
        self.hall.made(self)

    def dataReceived(self, data: bytes) -> None:
        self.bytes += len(data)
        if self.open is None:
            if not self.ends:
                self.hall.strange(self.node, f"bytes that answer nothing: {data[:60]!r}")
                self.drop()
            return
        try:
            messages = self.reader.feed(data)
        except wire.Garbled as error:
            self.hall.strange(self.node, f"no answer: {error}")
            self.drop()
            return
        if messages:
            self.answers += 1
            self.hall.answered(self, messages[0], len(messages) > 1 or self.reader.held > 0)

    def readConnectionLost(self) -> None:
        """The node has closed its side.  If it had not read the request, its kernel answers that with a
        reset, for which there is time to come."""
        if self.open is None or not self.answers or self.bytes:
            self.drop()
            return
        self.ends = self.parted = True
        scene, links = self.hall.scene, self.hall.scene.day.links
        wait = RESET + (2 * round(links.client * (1 + links.jitter)) if scene.links else 0)
        self._parting = scene.reactor.callLater(wait / SECOND, self.drop)

    def writeConnectionLost(self) -> None:
        self.drop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._parting is not None and self._parting.active():
            self._parting.cancel()
        self.hall.lost(self, "closed" if isinstance(reason.value, ConnectionDone) else "reset")

    def drop(self) -> None:
        """Closes; what is open on it is lost."""
        self.ends = True
        self.hall.ends(self)
        transport: Any = self.transport
        transport.loseConnection()


class _Dial(ClientFactory):
    """One attempt to connect to a node."""

    noisy = False

    def __init__(self, hall: _Hall, line: _Line) -> None:
        self._hall, self._line = hall, line
        self.connector: Any = None

    def buildProtocol(self, addr: IAddress | None) -> _Line:
        return self._line

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        self._hall.unreached(self._line)


class _Look(Protocol):
    """A connection that asks whether a node is up."""

    def __init__(self, looker: _Looker) -> None:
        self._looker, self._reader = looker, wire.Reader(answers=True)

    def connectionMade(self) -> None:
        self._looker.made(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except wire.Garbled as error:
            self._looker.hall.strange(self._looker.node, f"no answer: {error}")
            self.drop()
            return
        for message in messages:
            self._looker.answered(self, message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._looker.lost(self)

    def drop(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


class _LookDial(ClientFactory):
    noisy = False

    def __init__(self, looker: _Looker) -> None:
        self._looker = looker

    def buildProtocol(self, addr: IAddress | None) -> _Look:
        return _Look(self._looker)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        self._looker.ended(False, refused=isinstance(reason.value, ConnectionRefusedError))


class _Looker:
    """Asks a node `GET /up` again and again, and tells the front."""

    def __init__(self, hall: _Hall, node: int) -> None:
        self.hall, self.node = hall, node
        self._look: _Look | None = None
        self._connector: Any = None
        self._asked = 0
        self._asking = False
        self._timer: Any = None
        host, port = hall.scene.places.node(node)
        self._request = wire.request("GET", "/up", f"{host}:{port}")

    def ask(self) -> None:
        scene = self.hall.scene
        self._asked, self._asking = scene.now(), True
        self._timer = scene.reactor.callLater(LOOK_ANSWER / SECOND, self._silent)
        if self._look is not None:
            self._write(self._look)
        else:
            host, port = scene.places.node(self.node)
            self._connector = scene.reactor.connectTCP(host, port, _LookDial(self), LOOK_ANSWER / SECOND)

    def _write(self, look: _Look) -> None:
        transport: Any = look.transport
        transport.write(self._request)

    def made(self, look: _Look) -> None:
        self._connector = None
        if self._asking and self._look is None:
            self._look = look
            self._write(look)
        else:
            look.drop()

    def answered(self, look: _Look, message: wire.Message) -> None:
        if look is not self._look or not self._asking:
            if look is self._look:
                self.hall.strange(self.node, "an answer to nothing")
            return
        if message.closes:
            self._look = None
            look.drop()
        self.ended(message.status == 200)

    def lost(self, look: _Look) -> None:
        if look is self._look:
            self._look = None
            self.ended(False)

    def _silent(self) -> None:
        self._hang_up()
        self.ended(False)

    def ended(self, good: bool, refused: bool = False) -> None:
        """The present look has its result."""
        if not self._asking:
            return
        self._asking = False
        if self._timer.active():
            self._timer.cancel()
        self.hall.looked(self.node, good, self._asked, refused)
        if self.hall.front.leaving(self.node):
            self._hang_up()  # the old process may answer on a connection that it has for as long as it runs
        pause = LOOK if self.hall.front.alive(self.node) else LOOK_FIRST
        self._timer = self.hall.scene.reactor.callLater(pause / SECOND, self.ask)

    def anew(self) -> None:
        """Asks now, on a new connection."""
        self.stop()
        self.ask()

    def _hang_up(self) -> None:
        """Closes its connection; the next look makes a new one."""
        look, self._look = self._look, None
        connector, self._connector = self._connector, None
        if look is not None:
            look.drop()
        if connector is not None:
            connector.disconnect()

    def stop(self) -> None:
        self._asking = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._hang_up()


class _Hall:
    """The clients of one hall, their connections and their front."""

    def __init__(self, scene: Scene, crowd: Crowd, hall: int, again: Callable[[Try], None]) -> None:
        day = scene.day
        self.scene, self.hall, self._crowd, self._again = scene, hall, crowd, again
        nodes = [node for node, at in enumerate(day.nodes) if at == hall]
        self.front = Front(nodes, day.load.notice)
        self._lookers = {node: _Looker(self, node) for node in nodes}
        self._hosts = {node: "{}:{}".format(*scene.places.node(node)) for node in nodes}
        self._lines: dict[_Line, None] = {}  # all, in the order in which they were opened
        self._idle: dict[_Line, None] = {}  # the one used last at the end
        self._connectors: dict[_Line, Any] = {}  # on their way
        self._waiting: deque[_Open] = deque()
        self._open: dict[_Open, None] = {}
        self._stopped = False
        self._cut_off = False  # a connection found no node, and none is in since
        self._timers: list[Any] = []

    def start(self) -> None:
        scene = self.scene
        for looker in self._lookers.values():
            looker.ask()
        longest = max(c.deadline for c in scene.day.classes)
        for place, trouble in enumerate(scene.day.troubles):
            for node in trouble.nodes if trouble.kind == "restart" else ():
                if node in self._lookers:
                    random = chance(scene.day.seed, "front", place, node)
                    at = trouble.at + int(random.integers(*LEAVES))
                    until = max(trouble.until, trouble.at + max(longest, KILLED_LEAST) + KILLED)
                    self._later(at, partial(self._leave, node, until))

    def _later(self, at: int, what: Callable[[], None]) -> None:
        delay = max(0, at - self.scene.now()) / SECOND
        self._timers.append(self.scene.reactor.callLater(delay, what))

    def stop(self) -> None:
        self._stopped = True
        for looker in self._lookers.values():
            looker.stop()
        for timer in [*self._timers, *(o.timer for o in self._open)]:
            if timer is not None and timer.active():
                timer.cancel()
        self._open.clear()
        self._waiting.clear()
        for connector in list(self._connectors.values()):
            connector.disconnect()
        for line in list(self._lines):
            line.open = None
            if line.made:
                transport: Any = line.transport
                transport.abortConnection()

    # The front.

    def _leave(self, node: int, until: int) -> None:
        self.front.leave(node, until)
        self._lookers[node].anew()

    def looked(self, node: int, good: bool, at: int, refused: bool) -> None:
        if self.front.polled(node, good, at, self.scene.now(), refused):
            # Noticed dead: what is kept to it is of no use; what is open on it may still be answered.
            for line in [line for line in self._idle if line.node == node]:
                line.drop()

    # Tries.

    def send(self, given: Try) -> None:
        scene, item = self.scene, given.item
        now = scene.now()
        if now - given.at > BEHIND:
            scene.ledger.add(Late(now, "clients", now - given.at))
        opened = _Open(given, ids.txn(scene.day.seed, item.number, given.tries))
        rules = scene.day.rules
        end = given.until + rules.grace_to_answer + rules.slack
        if item.patience and now + item.patience < given.until:
            opened.timer = scene.reactor.callLater(item.patience / SECOND, self._left, opened)
        else:
            opened.timer = scene.reactor.callLater(max(0, end - now) / SECOND, self._overdue, opened)
        self._open[opened] = None
        self._cut_off = self._cut_off and not any(map(self.front.alive, self.front.nodes))
        self._trim(now)
        if self._idle and not self._cut_off:
            line, _ = self._idle.popitem()
            self._ask(line, opened)
        else:
            self._connect(opened)

    def _trim(self, now: int) -> None:
        """Closes what was not used for long.  The one used last is taken first, so that the oldest lead."""
        keeps = self.scene.day.load.keeps
        while keeps and self._idle and now - (line := next(iter(self._idle))).idle_since >= keeps:
            line.drop()

    def _connect(self, opened: _Open) -> None:
        scene = self.scene
        most = scene.day.load.connections
        if most and len(self._lines) >= most:
            self._waiting.append(opened)
            return
        node = self.front.deal()
        if node == NOBODY:
            self._cut_off = scene.day.load.shuns
            self._no_way(opened, NOBODY)
            return
        line = _Line(self, node, opened)
        opened.line = line
        self._lines[line] = None
        host, port = scene.places.node(node)
        connector = scene.reactor.connectTCP(host, port, _Dial(self, line), DIAL / SECOND)
        if line in self._lines and not line.made:
            self._connectors[line] = connector

    def made(self, line: _Line) -> None:
        self._connectors.pop(line, None)
        if self._stopped:
            line.drop()
            return
        opened, line.open = line.open, None
        if opened is None or opened.timer is None:
            self._free(line)
        else:
            self._ask(line, opened)

    def unreached(self, line: _Line) -> None:
        self._connectors.pop(line, None)
        self._lines.pop(line, None)
        opened, line.open = line.open, None
        if opened is not None and opened.timer is not None:
            self._no_way(opened, line.node)
        self._serve_waiting()

    def _no_way(self, opened: _Open, node: int) -> None:
        now, given = self.scene.now(), opened.next
        self.scene.ledger.add(Unreached(now, opened.txn, given.item.number, given.tries, node))
        self._finish(opened, Ending.UNREACHED)

    def _ask(self, line: _Line, opened: _Open) -> None:
        now, given, day = self.scene.now(), opened.next, self.scene.day
        item = given.item
        remaining = given.until - now
        if remaining <= 0:  # no connection came up in time
            self._free(line)
            self._no_way(opened, line.node)
            return
        cls = day.classes[item.cls]
        rows = [
            f"POST /api{'?sid=' + item.subject if item.subject else ''} HTTP/1.1\r\n"
            f"Host: {self._hosts[line.node]}\r\nX-Txn: {opened.txn}\r\nX-Lane: {cls.name}\r\n"
            f"X-Org: {day.tenants[item.tenant].name}\r\nX-Remaining: {remaining}u\r\n"
        ]
        if item.hint:
            rows.append(f"X-Estimate: {item.hint}\r\n")
        if item.slots > 1:
            rows.append(f"X-Labels: slots={item.slots}\r\n")
        if item.key:
            rows.append(f"Idempotency-Key: {item.key}\r\n")
        if given.tries:
            rows.append("X-Resent: 1\r\n")
        rows.append(f"Content-Length: {len(item.body)}\r\n\r\n")
        line.open, opened.line, line.bytes, line.wrote = opened, line, 0, now
        opened.sent = True
        transport: Any = line.transport
        transport.write("".join(rows).encode("latin-1") + item.body)
        self.scene.ledger.add(Sent(now, opened.txn, item.number, given.tries, line.node, remaining))

    def answered(self, line: _Line, message: wire.Message, more: bool) -> None:
        opened, line.open = line.open, None
        assert opened is not None
        scene, status = self.scene, message.status
        retry_after = -1.0
        text = message.headers.get("retry-after")
        if text is not None:
            try:
                retry_after = float(text)
            except ValueError:
                self.strange(line.node, f"a Retry-After that is no number: {text[:40]!r}")
        body = message.body.decode("utf-8", "replace") if status == 200 else ""
        scene.ledger.add(Answer(scene.now(), opened.txn, status, retry_after, body))
        if more:
            self.strange(line.node, f"bytes after the answer to {opened.txn}")
        if more or message.closes:
            line.drop()
        elif not line.ends:
            self._free(line)
        ending = Ending.SERVED if status == 200 else Ending.REFUSED if status in (429, 503) else Ending.FAILED
        self._finish(opened, ending, retry_after)

    def lost(self, line: _Line, how: str) -> None:
        self._lines.pop(line, None)
        self._idle.pop(line, None)
        opened, line.open = line.open, None
        if self._stopped:
            return
        if opened is not None and opened.timer is not None:
            if line.answers and not line.bytes and not opened.again and self._crossed(line, how):
                opened.again, opened.line = True, None
                self._connect(opened)
            else:
                why = f"{how} after {line.bytes} bytes of the answer" if line.bytes else how
                self.scene.ledger.add(Lost(self.scene.now(), opened.txn, why))
                self._finish(opened, Ending.LOST)
        self._serve_waiting()

    def _crossed(self, line: _Line, how: str) -> bool:
        """Whether the node closed a kept connection without having read the request on it."""
        # Kernels answer bytes that nobody will read with a reset, after the end of the stream or in its
        # place.  `sim` does so after it; in its place it resets only what dies, whatever was read.
        return how == "reset" and (line.parted or not self.scene.links)

    def ends(self, line: _Line) -> None:
        """It takes no further request."""
        self._idle.pop(line, None)

    def _left(self, opened: _Open) -> None:
        self._go(opened, Ending.LEFT)

    def _overdue(self, opened: _Open) -> None:
        self._go(opened, Ending.OVERDUE)

    def _go(self, opened: _Open, ending: Ending) -> None:
        """The client closes its connection."""
        line, scene, given = opened.line, self.scene, opened.next
        if line is not None and line.open is opened:
            line.open = None  # one that is still on its way becomes idle
            if line.made:
                line.drop()
        if opened.sent:
            scene.ledger.add(Gone(scene.now(), opened.txn, ending is Ending.OVERDUE))
        else:
            node = line.node if line is not None else NOBODY
            scene.ledger.add(Unreached(scene.now(), opened.txn, given.item.number, given.tries, node))
        self._finish(opened, ending)

    def _finish(self, opened: _Open, ending: Ending, retry_after: float = -1.0) -> None:
        timer, opened.timer = opened.timer, None
        if timer.active():
            timer.cancel()
        self._open.pop(opened, None)
        follows = self._crowd.after(opened.next, ending, self.scene.now(), retry_after)
        if follows is not None:
            self._again(follows)

    def _free(self, line: _Line) -> None:
        if not self._serve_waiting(line):
            line.idle_since = self.scene.now()
            self._idle[line] = None

    def _serve_waiting(self, line: _Line | None = None) -> bool:
        """Gives tries that wait for a connection the free line, or new ones as far as they are allowed; tells
        whether the line is taken."""
        while self._waiting and not self._stopped:
            if line is None and len(self._lines) >= self.scene.day.load.connections:
                return False
            opened = self._waiting.popleft()
            if opened.timer is None:
                continue
            if line is not None:
                self._ask(line, opened)
                return True
            self._connect(opened)
        return False

    def strange(self, node: int, text: str) -> None:
        if not self._stopped:
            self.scene.ledger.add(Strange(self.scene.now(), f"client n{node}", text))


class CrowdParty:
    """All clients of the given halls (by default of every one): open loop, each job at its own time."""

    def __init__(self, scene: Scene, halls: Sequence[int] | None = None) -> None:
        day = scene.day
        mine = range(len(day.halls)) if halls is None else halls
        self._scene, self._crowd = scene, Crowd(day)
        self._halls = {hall: _Hall(scene, self._crowd, hall, self._again) for hall in mine}
        self._items = [item for item in items(day) if item.hall in self._halls]
        self._place = 0
        self._timer: Any = None
        self._later: dict[Any, None] = {}  # timers of tries that wait

    def start(self) -> None:
        for hall in self._halls.values():
            hall.start()
        self._next()

    def stop(self) -> None:
        for timer in [self._timer, *self._later]:
            if timer is not None and timer.active():
                timer.cancel()
        self._later.clear()
        for hall in self._halls.values():
            hall.stop()

    def _next(self) -> None:
        now = self._scene.now()
        while self._place < len(self._items):
            item = self._items[self._place]
            if item.at > now:
                self._timer = self._scene.reactor.callLater((item.at - now) / SECOND, self._next)
                return
            self._place += 1
            self._halls[item.hall].send(self._crowd.first(item))

    def _again(self, follows: Try) -> None:
        # By a timer also without a wait: an answer's own call must not go on into the next try.
        delay = max(0, follows.at - self._scene.now())
        timer: Any = None

        def due() -> None:
            del self._later[timer]
            self._halls[follows.item.hall].send(follows)

        timer = self._scene.reactor.callLater(delay / SECOND, due)
        self._later[timer] = None
