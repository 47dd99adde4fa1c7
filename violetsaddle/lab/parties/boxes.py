"""The job boxes on connections: HTTP in, callbacks out, the day's troubles by timers.

What a box decides is in `world.boxes`; this file carries its effects out and writes the records."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from violetsaddle.lab import records as rec
from violetsaddle.lab import wire
from violetsaddle.lab.scene import Address, Scene
from violetsaddle.world import boxes as model
from violetsaddle.world.boxes import Box, Groups, Run
from violetsaddle.world.day import MS, SECOND, Item, Trouble, chance

SAMPLE = 250 * MS  # between two samples of what boxes have in work
CALL_TRIES = 10
CALL_WAIT = SECOND  # for the answer to a callback
CALL_PAUSES = (50 * MS, SECOND)  # between tries: the first, and the longest that doubling comes to
TAKEN = wire.answer(202)
AWAY = wire.answer(503, {"X-Turned-Away": "1"})
GONE = wire.answer(204)
UNKNOWN = wire.answer(404)
STRANGE = wire.answer(400)
ERROR = wire.answer(500)
ANSWERS = {202: TAKEN, 500: ERROR, 503: AWAY}


def remaining(text: str) -> int:
    """Microseconds of `480m` or `9000u`; -1 where it is no time."""
    number, unit = text[:-1], text[-1:]
    if not (number.isascii() and number.isdigit() and len(number) <= 12) or unit not in ("m", "u"):
        return -1
    return int(number) * (MS if unit == "m" else 1)


class BoxConnection(Protocol):
    """A node's connection to a box; requests are served one after the other."""

    transport: Any

    def __init__(self, place: Place) -> None:
        self.place, self.box = place, place.box
        self._reader = wire.Reader(answers=False)
        self._waiting: deque[tuple[wire.Message, int]] = deque()
        self._first_at = -1  # of the message that is coming
        self._busy = self._used = self._open = self._closes = self._within = False
        self._ready = 0  # the handshake is through
        self._run: Run | None = None
        self._held: list[bytes] = []  # written while the box was dumb

    def connectionMade(self) -> None:
        place = self.place
        now = place.party.now()
        if not self.box.connect(now):
            self.transport.abortConnection()
            return
        place.party.arm(self.box)
        self._open = True
        self._ready = now + self.box.spec.handshake_delay
        self.transport.setTcpNoDelay(True)
        place.connections[self] = now

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self._open:
            return
        self._open = False
        self.box.hang_up()
        self.place.connections.pop(self, None)
        run, self._run = self._run, None
        if run is not None:
            party = self.place.party
            self.box.close(party.now(), run)
            party.settle(self.box)

    def dataReceived(self, data: bytes) -> None:
        if not self._open or self.place.gone:
            return
        party = self.place.party
        now = party.now()
        if self._first_at < 0:
            self._first_at = now
            if self._used and not self._busy and self.place.resets(now):
                self.transport.abortConnection()
                return
        try:
            messages = self._reader.feed(data)
        except wire.Garbled as error:
            party.add(rec.Strange(now, f"box {self.box.spec.name}", str(error)))
            self.transport.abortConnection()
            return
        for message in messages:
            self._waiting.append((message, self._first_at))
            self._first_at = now
        if not self._reader.held:
            self._first_at = -1
        self._next()

    def _next(self) -> None:
        """Serves what has come whole, one by one."""
        if self._within:
            return
        self._within = True
        while self._waiting and not self._busy and self._open and not self._closes:
            message, first_at = self._waiting.popleft()
            self._busy = self._used = True
            self._closes = message.closes
            self.place.connections[self] = -1
            self._serve(message, first_at)
        self._within = False

    def _serve(self, message: wire.Message, first_at: int) -> None:
        party, (method, target, _) = self.place.party, message.first
        now = party.now()
        if method == "POST" and target.partition("?")[0] == "/api":
            self._job(now, message, target, first_at)
        elif method == "DELETE" and target.startswith("/jobs/"):
            self.box.cancel(now, target[6:])
            self.write(GONE)
            party.settle(self.box)
        elif method == "GET" and target in ("/alive", "/metrics/load") and party.day.rules.probes:
            if self._ready > now:
                party.later(self._ready - now, self._probe, target)
            else:
                self._probe(target)
        else:
            self.write(UNKNOWN)

    def _probe(self, target: str) -> None:
        party = self.place.party
        if not self._open or not self.box.up:
            return
        now = party.now()
        report = self.box.probe(now)
        party.add(rec.Probed(now, self.box.index, self.place.node, report is not None))
        body = b""
        if report is not None and target == "/metrics/load":
            body = (
                f"x0={report.x0},utilization={report.utilization:.4f},errors_per_s={report.errors_per_s:.3f}"
            ).encode()
        self.write(wire.answer(200 if report is not None else 503, None, body))
        party.arm(self.box)
        self._next()

    def _job(self, now: int, message: wire.Message, target: str, first_at: int) -> None:
        party, headers = self.place.party, message.headers
        txn = headers.get("x-txn")
        if txn is None:
            self.write(UNKNOWN)
            return
        item = party.item(txn)
        wait = remaining(headers.get("x-remaining", ""))
        if item is None or wait < 0:
            party.add(rec.Strange(now, f"box {self.box.spec.name}", f"a job that is none: {txn[:40]!r}"))
            self.write(STRANGE)
            return
        same = (
            message.body == item.body
            and headers.get("idempotency-key", "") == item.key
            and target == (f"/api?sid={item.subject}" if item.subject else "/api")
        )
        delay = max(0, self._ready - now)
        run = self.box.come(now, txn, item, self.place.node, wait, self, delay)
        self._run = run
        party.add(
            rec.Came(now, run.number, txn, self.box.index, run.life, self.place.node, first_at, wait, same)
        )
        party.settle(self.box)

    def reply(self, run: Run, status: int) -> None:
        """What the model answers to a job."""
        if self._run is run:
            self._run = None
            self.write(ANSWERS[status])
            self._next()

    def write(self, data: bytes) -> None:
        """One whole answer; the next request may be served after it."""
        if self.place.dumb:
            self._held.append(data)
        else:
            self.transport.write(data)
        self._busy = False
        if self._closes:
            self.transport.loseConnection()
            return
        connections = self.place.connections
        connections[self] = self.place.party.now()
        connections.move_to_end(self)

    def speak(self) -> None:
        """The box may be heard again."""
        held, self._held = self._held, []
        if held:
            self.transport.writeSequence(held)


class Place(Factory):
    """Where one node reaches one box."""

    noisy = False

    def __init__(self, party: BoxesParty, box: Box, node: int) -> None:
        self.party, self.box, self.node = party, box, node
        self.address: Address = party.places.box(node, box.index)
        self.connections: OrderedDict[BoxConnection, int] = OrderedDict()  # idle since, or -1
        self.port: Any = None
        self.gone = False  # the machine has vanished: nothing is read
        self.deaf = self.dumb = False
        self.idle_calls: list[CallConnection] = []
        self.calls: dict[CallConnection, None] = {}

    def buildProtocol(self, addr: object) -> BoxConnection:
        return BoxConnection(self)

    def listen(self) -> None:
        if self.port is None:
            host, port = self.address
            self.port = self.party.reactor.listenTCP(port, self, 128, host)
            if not port:  # the same again after a restart
                self.address = host, int(self.port.getHost().port)
            if self.deaf or self.dumb:
                self.port.stopReading()

    def unlisten(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def relisten(self) -> None:
        """Listens anew: with the old port goes what the kernel has taken while nobody read.

        The reactor closes a port only at its next turn, so that the new one has to wait."""
        if self.port is None:
            self.listen()
        else:
            self.unlisten()
            self.party.later(MS, self._back)

    def _back(self) -> None:
        if self.box.up:
            self.listen()

    def reset(self) -> None:
        """Ends every connection, both ways."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        for call in list(self.calls):
            call.hang_up()

    def resets(self, now: int) -> bool:
        share = self.party.resets.get(self.box.index, 0.0)
        return bool(share) and self.party.chances[self.box.index].random() < share

    def sweep(self, now: int) -> None:
        """Closes what would stand idle for too long before the next sweep."""
        latest = now + SAMPLE - self.box.spec.keepalive
        for connection, since in list(self.connections.items()):
            if since > latest:
                return  # those that came to rest later stand behind it
            if since >= 0:
                self.connections[connection] = -1
                connection.transport.loseConnection()

    def mute(self, deaf: bool, dumb: bool) -> None:
        """`live`: the network does not carry what comes to the box, or what it says."""
        if self.port is not None and (deaf or dumb) != (self.deaf or self.dumb):
            (self.port.stopReading if deaf or dumb else self.port.startReading)()
        if deaf != self.deaf:
            for transport in [c.transport for c in (*self.connections, *self.calls) if c.transport]:
                (transport.pauseProducing if deaf else transport.resumeProducing)()
        was, self.deaf, self.dumb = self.dumb, deaf, dumb
        if was and not dumb:
            for connection in list(self.connections):
                connection.speak()


class Call:
    """One callback until it is answered or given up."""

    __slots__ = ("run", "state", "body", "tries", "agent", "over", "due", "connection")

    def __init__(self, run: Run, state: str, body: bytes, agent: bool) -> None:
        self.run, self.state, self.body, self.agent = run, state, body, agent
        self.tries, self.due, self.over = 0, 0, False
        self.connection: CallConnection | None = None


class CallConnection(Protocol):
    """A box's connection to a node; it carries one callback at a time."""

    transport: Any

    def __init__(self, place: Place, call: Call) -> None:
        self.place, self.call = place, call
        self._reader = wire.Reader(answers=True)
        self.connector: Any = None
        self._open = False
        place.calls[self] = None

    def connectionMade(self) -> None:
        self._open = True
        self.transport.setTcpNoDelay(True)
        self.send()

    def send(self) -> None:
        call = self.call
        host, port = self.place.party.places.node(self.place.node)
        self.transport.write(
            b"POST /callback HTTP/1.1\r\nHost: %b:%d\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (host.encode(), port, len(call.body), call.body)
        )

    def dataReceived(self, data: bytes) -> None:
        place, call = self.place, self.call
        try:
            messages = self._reader.feed(data)
        except wire.Garbled as error:
            place.party.strange(place, str(error))
            self.hang_up()
            return
        if not messages:
            return
        if len(messages) > 1 or self._reader.held or call.connection is not self:
            place.party.strange(place, "an answer to no callback")
            self.hang_up()
            return
        call.connection = None
        kept = place.party.keeps[place.box.index] and not messages[0].closes and place.box.up
        if kept:
            place.idle_calls.append(self)
        else:
            self.transport.loseConnection()
        place.party.answered(place, call, messages[0].status)

    def hang_up(self) -> None:
        if self._open:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._open = False
        self.ended()

    def ended(self) -> None:
        """It is gone, or never came up."""
        self.place.calls.pop(self, None)
        if self in self.place.idle_calls:
            self.place.idle_calls.remove(self)
        if self.call.connection is self:
            self.call.connection = None
            self.place.party.unanswered(self.place, self.call)


class Dialling(ClientFactory):
    noisy = False

    def __init__(self, connection: CallConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: object) -> CallConnection:
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._connection.ended()


class BoxesParty:
    """Serves the boxes named, or all of them.  All boxes of a day must be in one process: they share keys."""

    def __init__(
        self, scene: Scene, boxes: Sequence[int] | None = None, items: Sequence[Item] | None = None
    ) -> None:
        day = self.day = scene.day
        self.scene, self.reactor, self.now, self.places = scene, scene.reactor, scene.now, scene.places
        self.add: Callable[[rec.Record], None] = scene.ledger.add
        self._items = items
        self.groups = Groups(day)
        self.on_life: Callable[[int, str], None] | None = None  # box and word of `BoxLife`: for the roster
        self._out: list[model.Effect] = []
        self._flushing = self._stopped = False
        numbers = range(len(day.boxes)) if boxes is None else boxes
        self.boxes = {b: Box(day, b, self.groups, self._out) for b in numbers}
        self.chances = {b: chance(day.seed, "box-party", b) for b in self.boxes}
        self.keeps = {b: bool(self.chances[b].random() < 0.5) for b in self.boxes}
        self.resets: dict[int, float] = {}
        self._by_box: dict[int, list[Place]] = {
            b: [Place(self, box, n) for n in range(len(day.nodes))] for b, box in self.boxes.items()
        }
        self._armed: dict[int, tuple[int, Any]] = {}
        self._timers: dict[Any, None] = {}
        self._calls: dict[int, deque[Call]] = {}  # by run, the first is being sent
        self._late: deque[tuple[int, Place, Call]] = deque()  # callbacks out, by when they are too late
        self._silent: dict[int, int] = {}
        self._cuts: list[Trouble] = []
        self._carry: dict[type[Any], Callable[[Any], None]] = {
            model.Reply: self._reply,
            model.Tell: self._tell,
            model.Begun: self._begun,
            model.Effected: self._effected,
            model.Over: self._over,
            model.TurnedAway: self._turned_away,
            model.GivenUp: self._given_up,
            model.Life: self._life,
            model.Touched: self._touched,
        }

    def box(self, index: int) -> Box:
        """The model of a box: the truth, for yardsticks."""
        return self.boxes[index]

    def addresses(self) -> dict[tuple[int, int], Address]:
        """Where each box listens for each node, by (node, box): on `live` the ports it was given."""
        return {(place.node, b): place.address for b, places in self._by_box.items() for place in places}

    # Party.

    def start(self) -> None:
        day = self.day
        for b, box in self.boxes.items():
            spec = box.spec
            if not spec.joins:
                box.started_before(spec.started)
            elif not self.scene.links:
                # Its ports must be known before the day begins.
                for place in self._by_box[b]:
                    place.listen()
                    place.unlisten()
            for change in model.plan(day, b):
                self._at(change.at, self._change, b, change.what)
        for trouble in day.troubles:
            self._at(trouble.at, self._trouble, trouble, True)
            self._at(trouble.until, self._trouble, trouble, False)
        self._flush()
        for box in self.boxes.values():
            self.arm(box)
        self._at(0, self._sample, 0)

    def stop(self) -> None:
        self._stopped = True
        for timer in list(self._timers):
            if timer.active():
                timer.cancel()
        for _, timer in self._armed.values():
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._armed.clear()
        self._calls.clear()
        for places in self._by_box.values():
            for place in places:
                place.unlisten()
                place.reset()

    # Timers.

    def later(self, wait: int, do: Callable[..., None], *args: Any) -> None:
        """Calls unless the party is stopped first."""
        if self._stopped:
            return

        def due() -> None:
            self._timers.pop(timer, None)
            do(*args)

        timer = self.reactor.callLater(max(0, wait) / SECOND, due)
        self._timers[timer] = None

    def _at(self, at: int, do: Callable[..., None], *args: Any) -> None:
        self.later(at - self.now(), do, *args)

    def arm(self, box: Box) -> None:
        """After anything that may have changed the box's `next`."""
        due = box.next
        if due is None or self._stopped:
            return
        armed = self._armed.get(box.index)
        if armed is not None:
            if armed[0] <= due:
                return  # it comes early, and is set again then
            armed[1].cancel()
        timer = self.reactor.callLater(max(0, due - self.now()) / SECOND, self._due, box)
        self._armed[box.index] = due, timer

    def _due(self, box: Box) -> None:
        del self._armed[box.index]
        now = self.now()
        if box.next is not None and box.next <= now:
            box.advance(now)
            self._flush()
        self.arm(box)

    def settle(self, box: Box) -> None:
        """After a call of the model."""
        self.arm(box)
        self._flush()

    def _sample(self, number: int) -> None:
        now = self.now()
        # A callback that nobody answers ends here at the latest one sample too late.
        while self._late and self._late[0][0] <= now:
            _, place, call = self._late.popleft()
            if not call.over and call.due and call.due <= now:
                self._too_late(place, call)
        for b, box in self.boxes.items():
            self.add(rec.BoxLoad(now, b, box.running, box.waiting, box.rate(now)))
            if box.connections:
                for place in self._by_box[b]:
                    if place.connections:
                        place.sweep(now)
        self._at((number + 1) * SAMPLE, self._sample, number + 1)

    # What the model wants.

    def _flush(self) -> None:
        if self._flushing:
            return
        self._flushing, out, done = True, self._out, 0
        try:
            while done < len(out):
                effect = out[done]
                done += 1
                self._carry[type(effect)](effect)
        finally:
            out.clear()
            self._flushing = False

    def _reply(self, effect: model.Reply) -> None:
        connection = effect.run.link
        if effect.status == 202:
            self.add(rec.Took(self.now(), effect.run.number))
        if isinstance(connection, BoxConnection):
            connection.reply(effect.run, effect.status)

    def _begun(self, effect: model.Begun) -> None:
        self.add(rec.Began(self.now(), effect.run.number))

    def _effected(self, effect: model.Effected) -> None:
        self.add(rec.Effect(self.now(), effect.run.number, effect.dropped, effect.work))

    def _over(self, effect: model.Over) -> None:
        self.add(rec.Ended(self.now(), effect.run.number, effect.how, effect.result, effect.work))
        if effect.how == "cancelled":
            self._forget(effect.run)

    def _turned_away(self, effect: model.TurnedAway) -> None:
        self.add(rec.TurnedAway(self.now(), effect.run.number, effect.status))

    def _given_up(self, effect: model.GivenUp) -> None:
        self.add(rec.GivenUp(self.now(), effect.run.number, effect.how))

    def _touched(self, effect: model.Touched) -> None:
        self.arm(effect.box)

    def _tell_life(self, box: Box, what: str, by: tuple[tuple[int, float], ...] = ()) -> None:
        self.add(rec.BoxLife(self.now(), box.index, box.life, what, by))
        if self.on_life is not None:
            self.on_life(box.index, what)

    def _life(self, effect: model.Life) -> None:
        box = effect.box
        self._tell_life(box, effect.what, effect.by)
        if effect.what in ("down", "fell", "removed"):
            self._died(box)
        elif effect.what == "up":
            places = self._by_box[box.index]
            for place in places:
                place.gone = False
                place.reset()
            self._mute()
            for place in places:
                place.relisten()

    def _died(self, box: Box) -> None:
        """The process is gone: its connections are reset, its callbacks are lost with it."""
        vanished = self._by_box[box.index][0].gone
        for place in self._by_box[box.index]:
            if not vanished:
                place.unlisten()
                place.reset()
        for number, calls in list(self._calls.items()):
            if calls[0].run.box is not box:
                continue
            untold = next((c for c in calls if c.state in ("done", "failed") and not c.agent), None)
            kept = deque(c for c in calls if c.agent)
            for call in calls:
                if not call.agent:
                    self._drop(call)
            if kept:
                self._calls[number] = kept
            else:
                del self._calls[number]
            if untold is not None and not vanished:
                tell, after = self.chances[box.index].random(), self.chances[box.index].integers(*model.AGENT)
                if tell < model.TOLD_LOST:
                    self._tell(model.Tell(untold.run, "lost", after=int(after), agent=True))

    # Callbacks.

    def _tell(self, tell: model.Tell) -> None:
        run, state = tell.run, tell.state
        more = ""
        if state == "running":
            more = f',"share":{tell.share}'
        elif state == "done":
            more = f',"result":"{tell.result}"'
        body = f'{{"id":"{run.txn}","from":"{run.box.spec.name}","state":"{state}"{more}}}'.encode()
        call = Call(run, state, body, tell.agent)
        if tell.after:
            self.later(tell.after, self._queue, call)
        else:
            self._queue(call)

    def _queue(self, call: Call) -> None:
        """Callbacks of one run go one after the other."""
        calls = self._calls.get(call.run.number)
        if calls is not None:
            calls.append(call)
            return
        self._calls[call.run.number] = deque((call,))
        self._try(self._place(call), call)

    def _place(self, call: Call) -> Place:
        return self._by_box[call.run.box.index][call.run.node]

    def _try(self, place: Place, call: Call) -> None:
        if call.over:
            return
        now = self.now()
        call.tries += 1
        call.due = now + CALL_WAIT
        self._late.append((call.due, place, call))
        if place.deaf or place.dumb or place.gone:
            return  # nothing comes up
        if place.idle_calls and not call.agent:
            connection = place.idle_calls.pop()
            connection.call, call.connection = call, connection
            connection.send()
            return
        connection = CallConnection(place, call)
        call.connection = connection
        host, port = self.places.node(place.node)
        connection.connector = self.reactor.connectTCP(
            host, port, Dialling(connection), CALL_WAIT / SECOND, (place.address[0], 0)
        )

    def _too_late(self, place: Place, call: Call) -> None:
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.hang_up()
        self.unanswered(place, call)

    def answered(self, place: Place, call: Call, status: int) -> None:
        self.add(rec.Called(self.now(), call.run.number, call.state, status, call.tries))
        self._after(place, call)

    def unanswered(self, place: Place, call: Call) -> None:
        """A try has failed."""
        if call.over or self._stopped:
            return
        call.due = 0
        if call.tries >= CALL_TRIES:
            self.add(rec.Called(self.now(), call.run.number, call.state, 0, call.tries))
            self._after(place, call)
            return
        first, most = CALL_PAUSES
        self.later(min(most, first << (call.tries - 1)), self._try, place, call)

    def _after(self, place: Place, call: Call) -> None:
        """This callback is over: the run's next may go."""
        call.over = True
        calls = self._calls.get(call.run.number)
        if calls is None or calls[0] is not call:
            return
        calls.popleft()
        if calls:
            self._try(place, calls[0])
        else:
            del self._calls[call.run.number]

    def _forget(self, run: Run) -> None:
        """The run was given up: nothing more is told of it."""
        calls = self._calls.get(run.number)
        if calls is None:
            return
        while len(calls) > 1:
            calls.pop().over = True
        if calls[0].connection is None:
            self._drop(calls[0])
            del self._calls[run.number]

    def _drop(self, call: Call) -> None:
        call.over = True
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.hang_up()

    # Jobs and strange things.

    def item(self, txn: str) -> Item | None:
        """The item that a client sent with this id; None: no client has."""
        from violetsaddle.lab import ids

        if self._items is None:
            from violetsaddle.world import clients

            self._items = clients.items(self.day)
        known = ids.read(self.day.seed, txn)
        if known is None or not 0 <= known[0] < len(self._items):
            return None
        return self._items[known[0]]

    def strange(self, place: Place, text: str) -> None:
        self.add(rec.Strange(self.now(), f"box {place.box.spec.name}", text))

    # Troubles.

    def _change(self, index: int, what: str) -> None:
        box, now = self.boxes[index], self.now()
        if what == "start":
            if box.up:
                box.crash(now)
            box.start(now)
        elif what == "crash":
            box.crash(now)
        elif what == "vanish":
            for place in self._by_box[index]:
                place.gone = True
            box.crash(now, told=False)
            if not self.scene.links:
                self._mute()
        elif what == "drain":
            box.drain(now)
        else:
            box.stop(now, for_good=what == "remove")
        self.settle(box)

    def _trouble(self, trouble: Trouble, on: bool) -> None:
        now, kind, factor = self.now(), trouble.kind, trouble.factor
        if kind in ("cut", "oneway"):
            if on:
                self._cuts.append(trouble)
            else:
                self._cuts.remove(trouble)
            self._mute()
            return
        for index in trouble.boxes:
            box = self.boxes.get(index)
            if box is None:
                continue
            if kind == "slow":
                box.slow(now, factor if on else 1.0)
            elif kind == "errors":
                box.errors(now, factor if on else 0.0)
            elif kind in ("stale", "frozen", "lie"):
                box.reports(now, model.Mode(kind) if on else model.Mode.TRUE, int(factor * SECOND))
            elif kind == "reset":
                self.resets[index] = factor if on else 0.0
            elif kind == "silence":
                self._silence(box, on)
            self.settle(box)

    def _silence(self, box: Box, on: bool) -> None:
        """The machine says nothing; what is open is reset when it is back."""
        index = box.index
        self._tell_life(box, "silent" if on else "back")
        self._silent[index] = self._silent.get(index, 0) + (1 if on else -1)
        self._mute()
        if not on and not self.scene.links and box.up:
            for place in self._by_box[index]:
                place.reset()
                place.relisten()

    def _mute(self) -> None:
        """`live`: closes and opens ears and mouths as the present cuts and silences want it."""
        if self.scene.links:
            return
        halls = self.day.nodes
        for b, places in self._by_box.items():
            hall, silent = self.day.boxes[b].hall, bool(self._silent.get(b))
            for place in places:
                deaf = dumb = silent or place.gone
                for cut in self._cuts:
                    inner = cut.halls[0]
                    if (hall == inner) != (halls[place.node] == inner):
                        deaf = deaf or cut.kind == "cut" or hall != inner
                        dumb = dumb or cut.kind == "cut" or hall == inner
                place.mute(deaf, dumb)
