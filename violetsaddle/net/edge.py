"""The edge: clients' connections at the node's address, and real servers' callbacks at the same one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.net import http
from violetsaddle.net.arrivals import Arrivals
from violetsaddle.net.callbacks import called, take_call
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines, Patience, Transport
from violetsaddle.net.job_headers import ID, estimate, labelled, remaining, subject
from violetsaddle.net.limits import SECOND, Limits
from violetsaddle.net.requests import Failure, InvalidRequestError, Requests
from violetsaddle.net.slots import SlotTable
from violetsaddle.net.transports import end_writing, peek, unread_for, unsent

FOREVER = 1 << 62
NOT_PASSED_ON = http.HOP_BY_HOP | {"x-remaining"}


class HttpOrder:
    """A client's request as real servers get it; a copy, for several attempts may need it."""

    __slots__ = ("_head", "_body")

    def __init__(self, message: http.Message) -> None:
        """Copies what is to be passed on of a message whose buffer goes away."""
        # What is passed on is copied in one go, for it must outlive its buffer; the lengths are our own.
        self._body = bytes(message.body)
        self._head = (
            f"{message.start[0]} {message.start[1]} HTTP/1.1\r\n".encode("ascii")
            + message.lines(NOT_PASSED_ON)
            + b"Content-Length: %d\r\n" % len(self._body)
        )

    def message(self, host: str, wait: int) -> Sequence[bytes]:
        """As `requests.Order.message`; `wait` is told as 1 at least."""
        return self._head, f"Host: {host}\r\nX-Remaining: {max(1, wait)}u\r\n\r\n".encode("ascii"), self._body


@dataclass(frozen=True)
class Shared:
    """What every edge connection works with."""

    requests: Requests
    limits: Limits
    deadlines: Deadlines
    counters: Counters
    report: Callable[[object], api.Report | None]
    behind: Callable[[], int] = lambda: FOREVER  # how long something may lie unread (`Reactor.behind`)
    connections: SlotTable[EdgeConnection] = field(default_factory=SlotTable)


class EdgeConnection(Protocol):
    """One client's (or calling real server's) connection; it carries one request at a time."""

    transport: Transport

    def __init__(self, shared: Shared, home: EdgeFactory, spare: bool = False) -> None:
        """`spare`: beyond the limit, for real servers' calls alone; a request is turned down there."""
        self._shared, self._home, self._spare = shared, home, spare
        self._parser = http.Parser(shared.limits, shared.limits.body)
        self._late = 0  # microseconds for which what was read last had lain unread
        self._waiting: Arrivals | None = None  # of bytes read before what is taken now
        self.number = -1
        self._request = -1
        self._awaited = False  # a request's final answer is still to come
        self._closing = False  # the answer written last says so
        self._close_next = home.closing  # the present request is the last one
        self._continued = False
        self._lost = False
        self._spilt = False  # too much was sent ahead: the rest is passed over
        self._ahead = 0  # bytes kept that came ahead
        self._passed = 0  # bytes passed over
        self._stuck = -1  # bytes not taken by the kernel yet, when last looked at
        self._reading = False
        self.calls_back = False  # a real server's
        self._first = True  # no message has come whole
        self._early = True  # none but the first has
        self._since = 0
        self._unread_since: int | None = None  # the first bytes may have lain unread since then
        self._patience: Patience | None = None  # None: not connected yet

    @property
    def idle(self) -> bool:
        """It owes no answer, holds no part of a message and is not being closed."""
        return not self._awaited and not self._parser.held and not self._closing

    @property
    def ending(self) -> bool:
        """Our side is shut, or is as soon as what was written has gone out."""
        return self._closing

    @property
    def silent(self) -> bool:
        """Nothing has come, nor waits to be read: a request may lie there that we were too busy to see."""
        return self._first and not self._parser.held and not self._closing and not self._unread()

    def _unread(self) -> bool:
        return bool(peek(self.transport))

    def _unread_for(self) -> int:
        """Microseconds for which what was read just now has lain unread, where this node was held up."""
        behind = self._shared.behind()
        if self._unread_since is not None:
            behind = max(behind, self._shared.deadlines.now() - self._unread_since)
            self._unread_since = None
        return min(behind, unread_for(self.transport)) if behind > self._shared.limits.unseen else 0

    def is_gone(self) -> bool:
        """As `requests.Client.is_gone`."""
        # Asked of the kernel only where its end may lie there for long: a request that came first on its
        # connection may have waited for us to accept it.
        return (self._early or self._shared.behind() > self._shared.limits.unseen) and peek(
            self.transport
        ) == b""

    def gives_way(self, now: int) -> tuple[int, int] | None:
        """Its place among those that make room at the limit, the lowest first; None: not to be closed."""
        # Not a real server's: at the limit it could not come back to tell how a request ends.
        if self.calls_back or self._awaited or (self._parser.held and not self._closing):
            return None
        settled = now - self._since >= self._shared.limits.edge_settled
        if self._closing:
            # Its answer is out; only what is not wanted is still to come, once the client had time to read.
            return (0 if settled else 4), self._since
        if not self._first:
            return 2, self._since
        return (1 if settled else 3), self._since

    def make_room(self) -> bool:
        """Closes, unless something has come meanwhile."""
        if self._closing:
            self._abort()
            return True
        if self._unread():
            return False
        self._close_idle()
        return True

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.transport.setTcpNoDelay(True)
        number = self.number = self._shared.connections.put(self)
        connections = self._shared.connections

        def due() -> None:
            connection = connections.get(number)
            if connection is not None:
                connection.timed_out()

        self._patience = Patience(self._shared.deadlines, due)
        behind = self._shared.behind()
        if behind > self._shared.limits.unseen:
            self._unread_since = self._shared.deadlines.now() - behind
        self._shared.counters.add("edge_connections")
        self._wait(self._shared.limits.edge_first)

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        """Twisted: the connection has ended; a request that was open has lost its client."""
        self._lost = True
        if self._patience is not None:
            self._patience.end()
        self._count_ahead(0)
        self._shared.connections.free(self.number)
        if self._awaited:
            self._awaited = False
            self._shared.requests.leave(self._request)
        self._home.gone()

    def call_failed(self, call: str, error: str) -> None:
        """A system call on it failed; `error`: its symbol."""
        if error == "ECONNRESET" and not self._awaited:
            return  # a client that has gone
        job = self._shared.requests.job_of(self._request) if self._awaited else "-"
        self._shared.requests.audit.call_failed(call, error, client="-", request=job)

    def _wait(self, time: int) -> None:
        self._since = self._shared.deadlines.now()
        if self._patience is not None and not self._lost:
            self._patience.set(time)

    def _rest(self) -> None:
        """Nothing is waited for but a request's answer."""
        if self._patience is not None:
            self._patience.rest()

    def timed_out(self) -> None:
        """The time for what is waited for is up: a message's rest, the next one, or the client's end."""
        if self._closing:
            self._part()
        elif self._parser.held:
            self._answer(408, close=True)
        elif self._unread():
            self._wait(self._shared.limits.edge_settled)  # what has come is read first
        else:
            self._close_idle()

    def _close_idle(self) -> None:
        """Closes at once: there is no answer to guard, and what crosses it stays unread, so that the client
        sends it again."""
        self._closing = True
        end_writing(self.transport)
        self.transport.loseConnection()
        self._wait(self._shared.limits.edge_read)

    def end(self) -> None:
        """Shuts our side once what was written has gone out; the client then ends the connection.

        Guards against a reset that overtakes the answer, as a close over unread bytes brings one: what still
        comes is read and passed over, until the client has ended its side or its time is up."""
        self._closing = True
        self.transport.loseWriteConnection()
        self._wait(self._shared.limits.drain)

    def _part(self) -> None:
        """The time for the other side's end is up."""
        left = unsent(self.transport)
        if not left:
            self.transport.loseConnection()  # what the kernel holds still goes out
        elif left != self._stuck:
            self._stuck = left  # a client that reads slowly gets its answer
            self._wait(self._shared.limits.edge_read)
        else:
            self._abort()  # one that does not read holds its connection no longer

    def close_next(self) -> None:
        """The next answer is its last."""
        self._close_next = True

    def close_soon(self, unread_too: bool = False) -> None:
        """An idle one closes now, another with its answer; `unread_too`: also one whose request has not
        come whole."""
        self._close_next = True
        if self._awaited or self._closing:
            return
        if unread_too:
            self._close_idle()
        elif self.idle and not self._unread():  # what has come is read and answered first
            young = self._shared.limits.edge_settled - (self._shared.deadlines.now() - self._since)
            if self._first and young > 0:
                self._wait(young)  # it is about to ask
            else:
                self._close_idle()

    def close_unused(self) -> None:
        """Closes if it is idle.  One on which nothing has come yet is about to ask: it has its time."""
        if self.idle and not self._first and not self._unread():
            self._close_idle()

    def dataReceived(self, data: bytes, fresh: bool = False) -> None:
        """Twisted: bytes have come; `fresh`: they begin a message."""
        if self._closing or self._spilt:
            self._pass_over(len(data))
            return
        fresh = fresh or not self._parser.held
        self._parser.feed(data)
        self._late = self._unread_for()
        if self._awaited or self._waiting is not None:
            self._wait_here(len(data))
        if self._awaited:
            # A client sends one request at a time; what it sends ahead waits, within bounds, and the rest is
            # passed over.  Left to the kernel it would hide that the client goes; to close instead would lose
            # the request whose answer is owed.
            self._count_ahead(self._parser.held)
            limits = self._shared.limits
            self._spilt = self._ahead > limits.edge_ahead or self._home.ahead > limits.edge_ahead_all
        else:
            self._take_in(fresh)

    def _count_ahead(self, size: int) -> None:
        self._home.ahead += size - self._ahead
        self._ahead = size

    def _take_in(self, fresh: bool) -> None:
        if self._ahead:
            self._count_ahead(0)
        # Guards against a mix-up: an answer given at once must not take in the next request before the
        # present one's number is noted, or a client that goes would end the wrong request.
        if self._reading:
            return
        self._reading = True
        try:
            self._read_all(fresh)
        except http.MalformedError as error:
            self._refused(error)
        except Exception as error:
            self._shared.counters.fault("an edge connection failed", error)
            if self._awaited:
                self._shared.requests.closed_unanswered(self._request, type(error).__name__)
            self._abort()
        finally:
            self._reading = False

    def _pass_over(self, size: int) -> None:
        """Guards against a client that sends without end: beyond what it may have had under way as it left,
        it is read from now and then."""
        self._passed += size
        if self._passed > self._shared.limits.edge_passed:
            number, connections = self.number, self._shared.connections
            self.transport.pauseProducing()

            def again() -> None:
                connection = connections.get(number)
                if connection is not None:
                    connection.transport.resumeProducing()

            self._shared.deadlines.after(self._shared.limits.edge_pause, again)

    def _refused(self, error: http.MalformedError) -> None:
        self._shared.counters.add("bad_messages")
        if self._awaited:
            self._shared.requests.closed_unanswered(self._request, error.text)
            self._abort()  # the answer owed can't be given in its turn any more
            return
        self._answer(error.status, error.text.encode(), close=True)

    def _abort(self) -> None:
        self._closing = True
        self.transport.abortConnection()

    def _read_all(self, fresh: bool) -> None:
        while not self._awaited and not self._closing:
            message = self._parser.next()
            if message is None:
                if self._spilt:
                    raise http.MalformedError(413, "too much was sent ahead")
                # The first message's time counts from the connection's start: else silence would double it.
                if self._parser.held and fresh and not self._first:
                    self._wait(self._shared.limits.edge_read)
                if self._parser.wants_continue and not self._continued:
                    self._continued = True
                    self.transport.write(http.CONTINUE)
                return
            self._early, self._continued, fresh, self._first = self._first, False, True, False
            self._close_next = self._close_next or not message.keeps_alive
            waited = self._late if self._waiting is None else self._waited()
            if self._parser.held and self._waiting is None:
                self._wait_here(self._parser.held)
            self._take(message, waited)

    def _wait_here(self, size: int) -> None:
        """So many bytes that were read last may wait for the end of the present request."""
        if self._waiting is None:
            self._waiting = Arrivals()
        self._waiting.came(size, self._shared.deadlines.now() - self._late)

    def _waited(self) -> int:
        """Microseconds since the last byte of the message came that was taken just now."""
        assert self._waiting is not None
        came = self._waiting.of_message(self._parser.held)
        if not self._parser.held:
            self._waiting = None
        return self._shared.deadlines.now() - came

    def _take(self, message: http.Message, waited: int) -> None:
        path, _, query = message.start[1].partition("?")
        wanted = {"/api": "POST", "/callback": "POST", "/up": "GET"}.get(path)
        if wanted is None:
            self._answer(404)
        elif message.start[0] != wanted:
            self._answer(405, headers=f"Allow: {wanted}\r\n")
        elif path == "/up":
            self._answer(200, b"ready")
        elif path == "/api" and self._spare:
            self._answer(429, close=True)  # it was not sent on: to come again is harmless
        elif path == "/callback":
            self.calls_back = True
            self._call(message)
        else:
            self._ask(message, query, waited)

    def _ask(self, message: http.Message, query: str, waited: int) -> None:
        limits = self._shared.limits
        try:
            job, cls = message.header("x-txn") or "", message.header("x-lane")
            if not ID.fullmatch(job) or len(job) > limits.identity:
                raise InvalidRequestError("X-Txn is missing or no id")
            time = remaining(message.header("x-remaining"))
            if waited > limits.unseen and time > 0:
                time = max(1, time - waited)
                self._shared.counters.add("requests_waited")  # unread, or behind others of their connection
            slots = labelled(message.header("x-labels"), "slots", 1.0)
            if cls is None:
                raise InvalidRequestError("X-Lane is missing")
            self._awaited = True
            self._rest()
            number = self._shared.requests.arrive(
                job,
                cls,
                message.header("x-org"),
                time,
                bool(message.header("idempotency-key")),
                slots,
                subject(query),
                estimate(message.header("x-estimate")),
                HttpOrder(message),
                self,
            )
            self._request = number
        except InvalidRequestError as error:
            self._awaited = False
            self._answer(400, str(error).encode())

    def _call(self, message: http.Message) -> None:
        """A real server tells what becomes of an attempt."""
        body = bytes(message.body)
        try:
            call = called(body)
        except ValueError:
            self._shared.counters.add("bad_callbacks")
            self._answer(400, b"not a callback")
            return
        self._shared.counters.add("callbacks")
        if self._home.pass_on is not None and not self._shared.requests.holds(call["id"]):
            self._awaited = True
            self._rest()
            self._home.pass_on(body, self._final)
            return
        # First the reply: the real server must not call again for what takes us time.
        self._answer(204)
        take_call(self._shared, call)

    # The final answers.

    def served(self, result: bytes) -> None:
        """As `requests.Client.served`: 200 with the result."""
        self._final(200, result)

    def refused(self, retry_after: int, before_sending: bool) -> None:
        """As `requests.Client.refused`: 429 before anything was sent, else 503."""
        headers = f"Retry-After: {retry_after / SECOND:.6f}\r\n" if retry_after > 0 else ""
        self._final(429 if before_sending else 503, headers=headers)

    def failed(self, why: Failure) -> None:
        """As `requests.Client.failed`: 504 if time ran out, else 502."""
        self._final(504 if why is Failure.LATE else 502)

    def _final(self, status: int, body: bytes = b"", headers: str = "") -> None:
        if not self._awaited or self._lost:
            return
        self._awaited, self._request = False, -1
        self._answer(status, body, headers)
        if (self._parser.held or self._spilt) and not self._closing:
            self._take_in(True)

    def _answer(self, status: int, body: bytes = b"", headers: str = "", close: bool = False) -> None:
        close = close or self._close_next or self._home.held
        self._shared.counters.add(f"answer_{status}")
        self.transport.write(http.answer(status, body, headers, close))
        if close:
            self.end()
        else:
            self._wait(self._shared.limits.edge_idle)


class EdgeFactory(Factory):
    """Accepts edge connections up to their limit; at it, idle ones make room."""

    noisy = False

    def __init__(self, shared: Shared) -> None:
        """`shared`: what its connections work with; whoever listens sets `hold`."""
        self.shared = shared
        self.closing = False  # a new connection's first answer is its last
        self.hold: Callable[[bool], None] = lambda held: None  # stops and resumes accepting
        self.held = False  # at the limit and none idle: the next answer given ends its connection
        self.ahead = 0  # bytes kept that clients have sent ahead, over all connections
        self.when_empty: Callable[[], None] | None = None
        self.when_gone: Callable[[], None] | None = None  # called as each connection has ended
        # Where two processes of this node serve at once: takes a callback on a request that is not open here,
        # and what to give the status to that the other one answers.
        self.pass_on: Callable[[bytes, Callable[[int], None]], None] | None = None

    def buildProtocol(self, addr: IAddress | None) -> EdgeConnection:
        """Twisted: a connection was accepted; at the limit an idle one closes for it."""
        limits, held = self.shared.limits, len(self.shared.connections) + 1
        if held >= limits.edge_connections and not self._make_room():
            # None is idle.  Beyond the limit a few are taken for callbacks, without which no request would
            # end; then new ones wait in the backlog until one has ended.
            self.held = True
            if held >= limits.edge_connections + limits.edge_spare:
                self.hold(True)
            return EdgeConnection(self.shared, self, spare=held > limits.edge_connections)
        return EdgeConnection(self.shared, self)

    def _make_room(self) -> bool:
        now = self.shared.deadlines.now()
        places = [
            (place, number, c)
            for number, c in enumerate(self.shared.connections)
            if (place := c.gives_way(now)) is not None
        ]
        heapify(places)
        # Where a request lies unread, that connection stays.
        return any(heappop(places)[2].make_room() for _ in range(len(places)))

    def gone(self) -> None:
        """A connection has ended."""
        if self.held:
            self.held = len(self.shared.connections) >= self.shared.limits.edge_connections
            self.hold(False)
        if self.when_gone is not None:
            self.when_gone()
        if self.when_empty is not None and not len(self.shared.connections):
            self.when_empty()

    @property
    def owes(self) -> bool:
        """A client's connection is open on which a request may still be answered."""
        return any(not c.ending and not c.calls_back for c in self.shared.connections)

    def announce(self) -> None:
        """The next answer on a client's connection is its last."""
        self.closing = True
        for connection in self.shared.connections:
            if not connection.calls_back:
                connection.close_next()

    def hand_over(self) -> None:
        """Another process takes new connections: each ends with its next answer.  Real servers come back to
        the other one."""
        self.closing = True
        for connection in self.shared.connections:
            connection.close_next()

    def close_unused(self) -> None:
        """Closes idle connections on which something was asked before."""
        for connection in self.shared.connections:
            connection.close_unused()

    def close_soon(self) -> None:
        """Clients' connections close when idle; real servers still need theirs."""
        self.closing = True
        for connection in self.shared.connections:
            if not connection.calls_back:
                connection.close_soon()

    def close_all(self) -> None:
        """Closes every connection that owes no answer; the others close with theirs."""
        for connection in self.shared.connections:
            connection.close_soon(unread_too=True)
