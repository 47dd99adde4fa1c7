"""The HTTP side of the control process: nodes' watches, operators' writes and the other replicas' messages.

Whatever comes in is answered once, in turn; nothing that a client sends raises out of its handler."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeAlias
from urllib.parse import parse_qsl

import msgspec
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from violetsaddle.control.node_registry import Node, NodeRegistry
from violetsaddle.decide.document import MAX_DOCUMENT_BYTES
from violetsaddle.net import http
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadline, Deadlines, Patience, Transport
from violetsaddle.net.limits import MS, Limits

MOST_BODY = 256 * 1024  # bytes of a request's body
MOST_WAIT_MS = 60_000
MOST_NUMBER = 1 << 53  # of versions: JSON's readers take larger ones for something else
MOST_NAME = 256  # characters of a node's, an author's or a key's name
MOST_WRITES = 16  # under way at once
ENDING = 32  # connections beyond the limit, while others end for them
REASONS = {**http.REASONS, 409: "Conflict", 422: "Unprocessable Content"}
METHODS = {"/configuration": "GET, POST", "/configuration/status": "GET", "/replica": "POST"}


class Answer(NamedTuple):
    """An HTTP answer: its status, and JSON."""

    status: int
    body: bytes = b""


Done: TypeAlias = Callable[[Answer], None]


class Write(msgspec.Struct, frozen=True):
    """A writer's document: it shall follow version `base`."""

    base: int
    author: str
    digest: str
    document: str


class Newest(NamedTuple):
    """The newest committed version, or number 0 where there is none; `whole`: the body that holds it."""

    number: int
    digest: str
    whole: bytes


class BadRequestError(Exception):
    """A request that is answered at once with one clear error."""

    def __init__(self, status: int, error: str, text: str) -> None:
        """`error`: its name, for programs; `text`: for people."""
        super().__init__(text)
        self.answer = refusal(status, error, text)


class Service(Protocol):
    """What stands behind the server."""

    def newest(self) -> Newest:
        """The newest committed version."""

    def write(self, write: Write, done: Done) -> None:
        """Calls `done` once, now or later."""

    def message(self, body: bytes) -> bool:
        """Takes in another replica's message; False: it is none."""

    def status(self, nodes: list[Node]) -> bytes:
        """What is known of replicas and these nodes, as JSON."""


def refusal(status: int, error: str, text: str, **more: object) -> Answer:
    """An error as clients read it."""
    return Answer(status, msgspec.json.encode({"error": error, **more, "text": text}))


def encoded(status: int, body: bytes, close: bool, allow: str = "") -> bytes:
    """An answer's bytes."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    if status != 204:
        lines += [f"Content-Length: {len(body)}", "Content-Type: application/json"]
    if allow:
        lines.append(f"Allow: {allow}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def whole(query: dict[str, str], key: str, most: int) -> int:
    """A number from 0 on; 0 where it is not given.  Raises `BadRequestError`."""
    text = query.get(key, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= 16 and int(text) <= most):
        raise BadRequestError(
            400, "query", f"{key}: expected a whole number from 0 to {most}, not {text[:40]!r}"
        )
    return int(text)


def name(query: dict[str, str], key: str) -> str:
    """A name without control characters; "" where it is not given.  Raises `BadRequestError`."""
    text = query.get(key, "")
    if len(text) > MOST_NAME or not text.isprintable():
        raise BadRequestError(400, "query", f"{key}: expected a name of at most {MOST_NAME} characters")
    return text


class ControlConnection(Connection):
    """One client's connection; it carries one request at a time."""

    transport: Transport

    def __init__(self, home: ControlFactory) -> None:
        """`home`: what it shares with all others."""
        self._home, self._limits = home, home.limits
        self._parser = http.Parser(home.limits, MOST_BODY)
        self._awaited = False  # an answer is owed
        self._last = False  # it is the connection's last
        self._closing = False
        self._lost = False
        self._reading = False
        self._continued = False
        self._first = True
        self._patience = Patience(home.deadlines, self._timed_out)
        self.since = home.deadlines.now()  # of its last request or answer
        self.watch: Watch | None = None

    @property
    def idle(self) -> bool:
        """It owes no answer, and no part of a request has come."""
        return not self._awaited and not self._parser.held and not self._closing

    @property
    def ending(self) -> bool:
        """Its last answer is out."""
        return self._closing

    def connectionMade(self) -> None:
        """The first request is waited for."""
        self.transport.setTcpNoDelay(True)
        self._home.connections[self] = None
        self._home.counters.add("connections")
        self._wait(self._limits.edge_first)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """A watch on it ends without an answer."""
        self._lost = True
        self._patience.end()
        self._home.connections.pop(self, None)
        if self.watch is not None:
            self._home.watches.over(self.watch)

    def _wait(self, wait: int) -> None:
        self.since = self._home.deadlines.now()
        if not self._lost:
            self._patience.set(wait)

    def _timed_out(self) -> None:
        if self._closing or not self._parser.held:
            self.abort()
        else:
            self._answer(refusal(408, "late", "the request did not come whole in time"), last=True)

    def abort(self) -> None:
        """Ends at once, whatever is owed."""
        self._closing = True
        self._home.connections.pop(self, None)
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Never raises: what can't be read is answered, and a fault of ours ends the connection."""
        if self._closing:
            return  # read and passed over, so that no reset overtakes the answer
        try:
            fresh = not self._parser.held
            self._parser.feed(data)
            if not self._awaited:
                self._take_in(fresh)
            elif self._parser.held > MOST_BODY + self._limits.head:
                self.abort()  # what a client sends ahead has bounds
        except Exception as error:
            self._home.counters.fault("a connection failed", error)
            self.abort()

    def _take_in(self, fresh: bool) -> None:
        if self._reading:
            return
        self._reading = True
        try:
            while not self._awaited and not self._closing and not self._lost:
                message = self._parser.next()
                if message is None:
                    if self._parser.held and fresh and not self._first:
                        self._wait(self._limits.edge_read)
                    if self._parser.wants_continue and not self._continued:
                        self._continued = True
                        self.transport.write(http.CONTINUE)
                    return
                self._first, self._continued, fresh = False, False, True
                self._last = not message.keeps_alive or self._home.closing
                self._awaited = True
                self._patience.rest()
                self._request(message)
        except http.MalformedError as error:
            self._home.counters.add("bad_messages")
            self._answer(refusal(error.status, "http", error.text), last=True)
        finally:
            self._reading = False

    def _request(self, message: http.Message) -> None:
        path, _, query = message.start[1].partition("?")
        allowed, method = METHODS.get(path), message.start[0]
        try:
            if allowed is None:
                raise BadRequestError(404, "path", "there is nothing at this path")
            if method not in allowed.split(", "):
                self._answer(refusal(405, "method", f"only {allowed} here"), allow=allowed)
            elif path == "/replica":
                if not self._home.service.message(bytes(message.body)):
                    raise BadRequestError(400, "message", "no message of another replica")
                self._answer(Answer(204))
            elif path == "/configuration/status":
                nodes = self._home.registry.nodes(self._home.deadlines.now())
                self._answer(Answer(200, self._home.service.status(nodes)))
            elif method == "GET":
                self._home.watches.open(self, dict(parse_qsl(query, keep_blank_values=True)))
            else:
                self._home.write(bytes(message.body), self.answer)
        except BadRequestError as error:
            self._answer(error.answer)

    def answer(self, answer: Answer) -> None:
        """The answer that is owed; then what has come meanwhile is read."""
        self._answer(answer)
        if self._parser.held and not self._reading and not self._closing and not self._lost:
            try:
                self._take_in(fresh=True)
            except Exception as error:
                self._home.counters.fault("a connection failed", error)
                self.abort()

    def _answer(self, answer: Answer, allow: str = "", last: bool = False) -> None:
        if self._lost or self._closing:
            return
        self._awaited = False
        self._home.counters.add(f"answer_{answer.status}")
        last = last or self._last
        self.transport.write(encoded(answer.status, answer.body, last, allow))
        if last:
            # Our side alone: a close over unread bytes would reset the connection and take the answer along.
            self._closing = True
            self.transport.loseWriteConnection()
            self._wait(self._limits.drain)
        else:
            self._wait(self._limits.edge_idle)

    def close_soon(self) -> None:
        """An idle one closes; one that waits for an answer gets it first."""
        self._last = True
        if self.watch is not None:
            self._home.watches.end(self.watch)
        elif self.idle:
            self._closing = True
            self.transport.loseConnection()


class Watch:
    """One that waits for a version after `after`."""

    __slots__ = ("connection", "after", "node", "late")

    def __init__(self, connection: ControlConnection, after: int, node: str) -> None:
        """`node`: who watches, "" for nobody in particular."""
        self.connection, self.after, self.node = connection, after, node
        self.late: Deadline | None = None


class Watches:
    """All open watches."""

    def __init__(self, home: ControlFactory) -> None:
        """`home`: whose connections they are on."""
        self._home = home
        self._open: dict[Watch, None] = {}

    def __len__(self) -> int:
        """Those that wait."""
        return len(self._open)

    def open(self, connection: ControlConnection, query: dict[str, str]) -> None:
        """Answers at once or later; raises `BadRequestError`."""
        after, wait = whole(query, "after", MOST_NUMBER), min(whole(query, "wait_ms", 1 << 40), MOST_WAIT_MS)
        refused, node = whole(query, "refused", MOST_NUMBER), name(query, "node")
        # Only shown: a node must not miss a version because of a key's name.
        why = "".join(c if c.isprintable() else "?" for c in query.get("why", "")[:MOST_NAME])
        watch = Watch(connection, after, node)
        home = self._home
        home.counters.add("watches")
        if node:
            home.registry.watch_opened(node, after, refused, why, home.deadlines.now())
        self._open[watch] = None
        connection.watch = watch
        if home.service.newest().number > after or not wait or home.closing:
            self.end(watch)
        else:
            watch.late = home.deadlines.after(wait * MS, lambda: self.end(watch))

    def over(self, watch: Watch) -> bool:
        """It waits no longer; False: it did not."""
        if watch not in self._open:
            return False
        del self._open[watch]
        watch.connection.watch = None
        self._home.deadlines.drop(watch.late)
        if watch.node:
            self._home.registry.watch_closed(watch.node, self._home.deadlines.now())
        return True

    def end(self, watch: Watch) -> None:
        """Answers with what there is now."""
        if self.over(watch):
            newest = self._home.service.newest()
            if newest.number > watch.after:
                watch.connection.answer(Answer(200, newest.whole))
            else:
                body = msgspec.json.encode({"number": newest.number, "digest": newest.digest})
                watch.connection.answer(Answer(200, body))

    def end_oldest(self) -> bool:
        """Answers the watch that has waited longest, and closes its connection; False: there is none."""
        for watch in self._open:
            watch.connection.close_soon()
            self._home.counters.add("watches_cut")
            return True
        return False

    def wake(self) -> None:
        """A version was committed: those that wait for it are answered."""
        number = self._home.service.newest().number
        for watch in [w for w in self._open if w.after < number]:
            self.end(watch)


class ControlFactory(Factory):
    """Accepts connections.  At `limits.edge_connections` the longest idle one makes room, or the oldest
    watch, so that replicas and operators come through whatever number of nodes watch."""

    noisy = False

    def __init__(self, service: Service, limits: Limits, deadlines: Deadlines, counters: Counters) -> None:
        """`service`: answers what is asked."""
        self.service, self.limits, self.deadlines, self.counters = service, limits, deadlines, counters
        self.registry = NodeRegistry()
        self.watches = Watches(self)
        self.connections: dict[ControlConnection, None] = {}
        self.closing = False
        self._writes = 0

    def buildProtocol(self, addr: IAddress | None) -> ControlConnection | None:
        """A connection that has come; None turns it away."""
        if not self._room():
            self.counters.add("connections_refused")
            return None
        return ControlConnection(self)

    def _room(self) -> bool:
        """Whether there is room for one more, which may have to be made."""
        ending = [c for c in self.connections if c.ending]
        if len(ending) >= ENDING:
            # The client has not gone yet: its answer has had the most time to arrive.
            min(ending, key=lambda c: c.since).abort()
        if len(self.connections) - len(ending) < self.limits.edge_connections:
            return True
        # A young one is about to ask.
        young = self.deadlines.now() - self.limits.edge_settled
        idle = [c for c in self.connections if c.idle and c.since < young]
        if not idle:
            return self.watches.end_oldest()
        min(idle, key=lambda c: c.since).abort()
        return True

    def write(self, body: bytes, answer: Done) -> None:
        """A writer's document; raises `BadRequestError`."""
        self.counters.add("writes")
        try:
            write = self._read(body)
        except BadRequestError:
            self.counters.add("writes_refused")
            raise
        self._writes += 1
        left = [True]

        def over() -> bool:
            if not left:
                return False
            left.clear()
            self._writes -= 1
            return True

        def done(result: Answer) -> None:
            if over():
                self.counters.add("writes_accepted" if result.status == 200 else "writes_refused")
                answer(result)

        try:
            self.service.write(write, done)
        except Exception:
            over()
            raise

    def _read(self, body: bytes) -> Write:
        try:
            write = msgspec.json.decode(body, type=Write)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise BadRequestError(400, "json", f"not a version to write: {error}"[:300]) from None
        if len(write.document.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
            raise BadRequestError(413, "long", f"the document is longer than {MAX_DOCUMENT_BYTES} bytes")
        if not 0 <= write.base <= MOST_NUMBER:
            raise BadRequestError(400, "json", f"base: expected a whole number from 0 to {MOST_NUMBER}")
        if not write.author or len(write.author) > MOST_NAME or not write.author.isprintable():
            raise BadRequestError(400, "json", f"author: expected a name of 1 to {MOST_NAME} characters")
        if self._writes >= MOST_WRITES:
            raise BadRequestError(
                503, "busy", f"{MOST_WRITES} writes are under way at this replica: try again"
            )
        return write

    def close(self) -> None:
        """Every connection ends with what it is owed."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_soon()
