"""HTTP server of the control process: watches of nodes, writes of operators and messages of other replicas.

Each request is answered exactly once, in the order of arrival.  Nothing that a client sends can raise an
exception out of the handlers."""

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
from violetsaddle.net.held_bytes import ByteAccount, Share
from violetsaddle.net.limits import MIB, MS, Limits
from violetsaddle.net.transports import unsent

MAX_BODY_BYTES = 256 * 1024  # of a request
MAX_HELD_BYTES = 64 * MIB  # of the requests that all connections are receiving
MAX_UNSENT_BYTES = 256 * 1024  # while more of a connection's answers is unsent, its next request waits
MAX_WAIT_MS = 60_000
MAX_VERSION_NUMBER = 1 << 53  # JSON parsers that use floats round larger numbers
MAX_NAME_LENGTH = 256  # characters; for nodes, authors and keys
MAX_CONCURRENT_WRITES = 16
MAX_CLOSING_CONNECTIONS = 32  # these don't count towards the limit; beyond 32 the oldest is aborted
REASONS = {**http.REASONS, 409: "Conflict", 422: "Unprocessable Content"}
METHODS = {"/configuration": "GET, POST", "/configuration/status": "GET", "/replica": "POST"}


class Answer(NamedTuple):
    """An HTTP answer: the status and a JSON body."""

    status: int
    body: bytes = b""


AnswerCallback: TypeAlias = Callable[[Answer], None]


class WriteRequest(msgspec.Struct, frozen=True):
    """A request to write `document` as the successor of version `base`."""

    base: int
    author: str
    digest: str
    document: str


class Newest(NamedTuple):
    """The newest committed version, number 0 if there is none.  `body` is the answer that contains it."""

    number: int
    digest: str
    body: bytes


class BadRequestError(Exception):
    """Raised for a request that is answered with an error."""

    def __init__(self, status: int, error: str, text: str) -> None:
        """`error` is the name of the error, for programs.  `text` is for people."""
        super().__init__(text)
        self.answer = error_answer(status, error, text)


class Service(Protocol):
    """The replica behind the server."""

    def newest(self) -> Newest:
        """Returns the newest committed version."""

    def write(self, write: WriteRequest, done: AnswerCallback) -> None:
        """Proposes a version.  Calls `done` exactly once, before or after the return."""

    def receive(self, body: bytes) -> bool:
        """Processes a message of another replica.  Returns False if the message is invalid."""

    def status(self, nodes: list[Node]) -> bytes:
        """Returns the status of the replicas and of `nodes` as JSON."""


def error_answer(status: int, error: str, text: str, **more: object) -> Answer:
    """Returns an error in the form that clients read.  `more` is added to its JSON object."""
    return Answer(status, msgspec.json.encode({"error": error, **more, "text": text}))


def encode_response(status: int, body: bytes, close: bool, allow: str = "") -> bytes:
    """Encodes an HTTP response.  `allow` is the value of the Allow header, "" for none."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    if status != 204:
        lines += [f"Content-Length: {len(body)}", "Content-Type: application/json"]
    if allow:
        lines.append(f"Allow: {allow}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def number_parameter(query: dict[str, str], key: str, maximum: int) -> int:
    """Returns a whole number from 0 to `maximum`, 0 if it is not given.  Raises `BadRequestError`."""
    text = query.get(key, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= 16 and int(text) <= maximum):
        raise BadRequestError(
            400, "query", f"{key}: expected a whole number from 0 to {maximum}, not {text[:40]!r}"
        )
    return int(text)


def name_parameter(query: dict[str, str], key: str) -> str:
    """Returns a name of printable characters, "" if it is not given.  Raises `BadRequestError`."""
    text = query.get(key, "")
    if len(text) > MAX_NAME_LENGTH or not text.isprintable():
        raise BadRequestError(400, "query", f"{key}: expected a name of at most {MAX_NAME_LENGTH} characters")
    return text


class ControlConnection(Connection):
    """A connection of a client.  It processes one request at a time."""

    transport: Transport

    def __init__(self, factory: ControlFactory) -> None:
        """`factory` holds the state that all connections share."""
        self._factory, self._limits = factory, factory.limits
        self._parser = http.Parser(factory.limits, MAX_BODY_BYTES)
        self._answer_pending = False  # a request has not been answered yet
        self._is_last_answer = False  # the connection closes after the next answer
        self._closing = False
        self._lost = False
        self._parsing = False
        self._continue_sent = False
        self._output_blocked = False  # too much of earlier answers is unsent: the next request waits
        self._held = Share(factory.held)
        self._awaiting_first_request = True
        self._timeout = Patience(factory.deadlines, self._timed_out)
        self.active_at = factory.deadlines.now()  # time of the last request or answer
        self.watch: Watch | None = None

    @property
    def idle(self) -> bool:
        """Whether no answer is pending and no part of a request was received."""
        return not self._answer_pending and not self._parser.held and not self._closing

    @property
    def closing(self) -> bool:
        """Whether the last answer was sent."""
        return self._closing

    def connectionMade(self) -> None:
        """Registers the connection and waits for the first request."""
        self.transport.setTcpNoDelay(True)
        self._factory.connections[self] = None
        self._factory.counters.add("connections")
        self._wait(self._limits.edge_first)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Removes the connection, and its watch without an answer."""
        self._lost = True
        self._timeout.end()
        self._held.set(0)
        self._factory.connections.pop(self, None)
        if self.watch is not None:
            self._factory.watches.remove(self.watch)

    def _wait(self, wait: int) -> None:
        self.active_at = self._factory.deadlines.now()
        if not self._lost:
            self._timeout.set(wait)

    def _timed_out(self) -> None:
        if self._closing or not self._parser.held:
            self.abort()
        else:
            self._answer(error_answer(408, "late", "the request did not come whole in time"), last=True)

    def abort(self) -> None:
        """Closes the connection immediately, even if an answer is pending."""
        self._closing = True
        self._factory.connections.pop(self, None)
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Never raises.  Malformed input is answered, and an internal error closes the connection."""
        if self._closing:
            return  # discarded: closing with unread data would reset the connection before the answer arrives
        try:
            new_request = not self._parser.held
            self._parser.feed(data)
            if not self._answer_pending and not self._output_blocked:
                self._process_input(new_request)
            elif self._parser.held > MAX_BODY_BYTES + self._limits.head:
                self.abort()  # limits how much a client may send ahead
            self._limit_held()
        except Exception as error:
            self._factory.counters.fault("a connection failed", error)
            self.abort()

    def _limit_held(self) -> None:
        """Refuses the request that is being received if all connections together hold too much."""
        self._held.set(self._parser.allocated)
        if self._factory.held.exceeded and not self._answer_pending and not self._closing:
            self._factory.counters.add("refused_for_memory")
            self._answer(
                error_answer(503, "busy", "too many bytes are held for others: try again"), last=True
            )

    def _blocks_on_output(self) -> bool:
        """Whether the client has not read its earlier answers: its next request waits until it has."""
        self._output_blocked = unsent(self.transport) > MAX_UNSENT_BYTES
        if self._output_blocked:
            self._factory.deadlines.after(self._limits.edge_pause, self._resume_input)
        return self._output_blocked

    def _resume_input(self) -> None:
        if not self._closing and not self._lost and not self._answer_pending:
            self._process_remaining_input()

    def _process_input(self, new_request: bool) -> None:
        if self._parsing:
            return
        self._parsing = True
        try:
            while not self._answer_pending and not self._closing and not self._lost:
                if self._blocks_on_output():
                    return
                message = self._parser.next()
                if message is None:
                    if self._parser.held and new_request and not self._awaiting_first_request:
                        self._wait(self._limits.edge_read)
                    if self._parser.wants_continue and not self._continue_sent:
                        self._continue_sent = True
                        self.transport.write(http.CONTINUE)
                    return
                self._awaiting_first_request, self._continue_sent, new_request = False, False, True
                self._is_last_answer = not message.keeps_alive or self._factory.closing
                self._answer_pending = True
                self._timeout.rest()
                self._dispatch(message)
        except http.MalformedError as error:
            self._factory.counters.add("bad_messages")
            self._answer(error_answer(error.status, "http", error.text), last=True)
        finally:
            self._parsing = False
            self._held.set(self._parser.allocated)

    def _dispatch(self, message: http.Message) -> None:
        path, _, query = message.start[1].partition("?")
        allowed, method = METHODS.get(path), message.start[0]
        try:
            if allowed is None:
                raise BadRequestError(404, "path", "there is nothing at this path")
            if method not in allowed.split(", "):
                self._answer(error_answer(405, "method", f"only {allowed} here"), allow=allowed)
            elif path == "/replica":
                if not self._factory.service.receive(bytes(message.body)):
                    raise BadRequestError(400, "message", "no message of another replica")
                self._answer(Answer(204))
            elif path == "/configuration/status":
                nodes = self._factory.registry.nodes(self._factory.deadlines.now())
                self._answer(Answer(200, self._factory.service.status(nodes)))
            elif method == "GET":
                self._factory.watches.open(self, dict(parse_qsl(query, keep_blank_values=True)))
            else:
                self._factory.write(bytes(message.body), self.answer)
        except BadRequestError as error:
            self._answer(error.answer)

    def answer(self, answer: Answer) -> None:
        """Sends the pending answer, then processes the input that arrived meanwhile."""
        self._answer(answer)
        if self._parser.held and not self._parsing and not self._closing and not self._lost:
            self._process_remaining_input()

    def _process_remaining_input(self) -> None:
        try:
            self._process_input(new_request=True)
        except Exception as error:
            self._factory.counters.fault("a connection failed", error)
            self.abort()

    def _answer(self, answer: Answer, allow: str = "", last: bool = False) -> None:
        if self._lost or self._closing:
            return
        self._answer_pending = False
        self._factory.counters.add(f"answer_{answer.status}")
        last = last or self._is_last_answer
        self.transport.write(encode_response(answer.status, answer.body, last, allow))
        if last:
            # Closes only the sending side.  Closing with unread data would reset the connection and lose the
            # answer.
            self._closing = True
            self._parser.clear()
            self._held.set(0)
            self.transport.loseWriteConnection()
            self._wait(self._limits.drain)
        else:
            self._wait(self._limits.edge_idle)

    def close_after_answer(self) -> None:
        """Closes the connection, after the pending answer if there is one."""
        self._is_last_answer = True
        if self.watch is not None:
            self._factory.watches.finish(self.watch)
        elif self.idle:
            self._closing = True
            self.transport.loseConnection()


class Watch:
    """A request that waits for a version after `after`."""

    __slots__ = ("connection", "after", "node", "timer")

    def __init__(self, connection: ControlConnection, after: int, node: str) -> None:
        """`node` is the name of the watching node, "" if it gave none."""
        self.connection, self.after, self.node = connection, after, node
        self.timer: Deadline | None = None


class Watches:
    """The open watches of a server."""

    def __init__(self, factory: ControlFactory) -> None:
        """`factory` accepts the connections of the watches."""
        self._factory = factory
        self._open: dict[Watch, None] = {}

    def __len__(self) -> int:
        """Returns the number of open watches."""
        return len(self._open)

    def open(self, connection: ControlConnection, query: dict[str, str]) -> None:
        """Opens a watch, and answers it now or later.  Raises `BadRequestError`."""
        after = number_parameter(query, "after", MAX_VERSION_NUMBER)
        wait = min(number_parameter(query, "wait_ms", 1 << 40), MAX_WAIT_MS)
        refused, node = number_parameter(query, "refused", MAX_VERSION_NUMBER), name_parameter(query, "node")
        # Made printable instead of refused: a node must not miss a version because of the name of a key.
        why = "".join(c if c.isprintable() else "?" for c in query.get("why", "")[:MAX_NAME_LENGTH])
        watch = Watch(connection, after, node)
        factory = self._factory
        factory.counters.add("watches")
        if node:
            factory.registry.watch_opened(node, after, refused, why, factory.deadlines.now())
        self._open[watch] = None
        connection.watch = watch
        if factory.service.newest().number > after or not wait or factory.closing:
            self.finish(watch)
        else:
            watch.timer = factory.deadlines.after(wait * MS, lambda: self.finish(watch))

    def remove(self, watch: Watch) -> bool:
        """Removes a watch.  Returns False if it was not open."""
        if watch not in self._open:
            return False
        del self._open[watch]
        watch.connection.watch = None
        self._factory.deadlines.drop(watch.timer)
        if watch.node:
            self._factory.registry.watch_closed(watch.node, self._factory.deadlines.now())
        return True

    def finish(self, watch: Watch) -> None:
        """Answers a watch with the newest version."""
        if self.remove(watch):
            newest = self._factory.service.newest()
            if newest.number > watch.after:
                watch.connection.answer(Answer(200, newest.body))
            else:
                body = msgspec.json.encode({"number": newest.number, "digest": newest.digest})
                watch.connection.answer(Answer(200, body))

    def finish_oldest(self) -> bool:
        """Answers the oldest watch and closes its connection.  Returns False if there is no watch."""
        for watch in self._open:
            watch.connection.close_after_answer()
            self._factory.counters.add("watches_cut")
            return True
        return False

    def notify(self) -> None:
        """Answers the watches that waited for the version that was just committed."""
        number = self._factory.service.newest().number
        for watch in [watch for watch in self._open if watch.after < number]:
            self.finish(watch)


class ControlFactory(Factory):
    """Accepts connections.

    At the limit `limits.edge_connections` it closes the connection that was idle for the longest time, or the
    one with the oldest watch.  So replicas and operators can connect, however many nodes watch."""

    noisy = False

    def __init__(self, service: Service, limits: Limits, deadlines: Deadlines, counters: Counters) -> None:
        """`service` is the replica that processes the requests."""
        self.service, self.limits, self.deadlines, self.counters = service, limits, deadlines, counters
        self.registry = NodeRegistry()
        self.watches = Watches(self)
        self.connections: dict[ControlConnection, None] = {}
        self.held = ByteAccount(MAX_HELD_BYTES)
        self.closing = False
        self._concurrent_writes = 0

    def buildProtocol(self, addr: IAddress | None) -> ControlConnection | None:
        """Accepts a connection, or returns None to refuse it."""
        if not self._make_room():
            self.counters.add("connections_refused")
            return None
        return ControlConnection(self)

    def _make_room(self) -> bool:
        """Returns whether one more connection fits, after closing another one if necessary."""
        closing = [connection for connection in self.connections if connection.closing]
        if len(closing) >= MAX_CLOSING_CONNECTIONS:
            # Its client has not closed yet.  Of all answers, the oldest has had the most time to arrive.
            min(closing, key=lambda connection: connection.active_at).abort()
        if len(self.connections) - len(closing) < self.limits.edge_connections:
            return True
        # A connection that was just opened or used is about to send a request.
        settled_before = self.deadlines.now() - self.limits.edge_settled
        idle = [
            connection
            for connection in self.connections
            if connection.idle and connection.active_at < settled_before
        ]
        if not idle:
            return self.watches.finish_oldest()
        min(idle, key=lambda connection: connection.active_at).abort()
        return True

    def write(self, body: bytes, answer: AnswerCallback) -> None:
        """Processes a write.  `answer` is called exactly once.  Raises `BadRequestError`."""
        self.counters.add("writes")
        try:
            write = self._parse_write(body)
        except BadRequestError:
            self.counters.add("writes_refused")
            raise
        self._concurrent_writes += 1
        holds_slot = [True]

        def release_slot() -> bool:
            if not holds_slot:
                return False
            holds_slot.clear()
            self._concurrent_writes -= 1
            return True

        def done(result: Answer) -> None:
            if release_slot():
                self.counters.add("writes_accepted" if result.status == 200 else "writes_refused")
                answer(result)

        try:
            self.service.write(write, done)
        except Exception:
            release_slot()
            raise

    def _parse_write(self, body: bytes) -> WriteRequest:
        try:
            write = msgspec.json.decode(body, type=WriteRequest)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise BadRequestError(400, "json", f"not a version to write: {error}"[:300]) from None
        if len(write.document.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
            raise BadRequestError(413, "long", f"the document is longer than {MAX_DOCUMENT_BYTES} bytes")
        if not 0 <= write.base <= MAX_VERSION_NUMBER:
            raise BadRequestError(
                400, "json", f"base: expected a whole number from 0 to {MAX_VERSION_NUMBER}"
            )
        if not write.author or len(write.author) > MAX_NAME_LENGTH or not write.author.isprintable():
            raise BadRequestError(
                400, "json", f"author: expected a name of 1 to {MAX_NAME_LENGTH} characters"
            )
        if self._concurrent_writes >= MAX_CONCURRENT_WRITES:
            raise BadRequestError(
                503, "busy", f"{MAX_CONCURRENT_WRITES} writes are under way at this replica: try again"
            )
        return write

    def close(self) -> None:
        """Closes every connection after its pending answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_after_answer()
