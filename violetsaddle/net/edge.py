"""One connection to the node's listening address: client requests, and the callbacks of real servers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as Reason

from violetsaddle.net import http
from violetsaddle.net.callbacks import apply_callback, parse_callback
from violetsaddle.net.deadlines import Patience
from violetsaddle.net.edge_closing import ClosingConnection
from violetsaddle.net.edge_input import CALLBACK_PATH
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.http_order import HttpOrder
from violetsaddle.net.job_headers import ID, hash_subject, parse_estimate, parse_label, parse_remaining
from violetsaddle.net.limits import MS, SECOND
from violetsaddle.net.requests import Failure, InvalidRequestError
from violetsaddle.net.transports import unsent

if TYPE_CHECKING:
    from violetsaddle.net.edge_factory import EdgeFactory

MAX_MESSAGES_PER_TURN = 8  # of one connection, in one turn of the reactor
TOO_MUCH_HELD = b"too many bytes are held for other requests"


class EdgeConnection(ClosingConnection):
    """A connection accepted from a client or from a real server that sends callbacks.

    It processes one request at a time."""

    def __init__(self, shared: Shared, factory: EdgeFactory, callbacks_only: bool = False) -> None:
        """`callbacks_only`: the connection is beyond the limit: a request on it gets a 429."""
        super().__init__(shared, factory, callbacks_only)
        self._request = -1
        self._continued = False  # 100 Continue was sent for the current message

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.transport.setTcpNoDelay(True)
        number = self.number = self._shared.connections.put(self)
        connections = self._shared.connections

        def on_timeout() -> None:
            connection = connections.get(number)
            if connection is not None:
                connection.timed_out()

        self._timeout = Patience(self._shared.deadlines, on_timeout)
        waited = self._factory.gate.waited
        if waited > self._shared.limits.unseen:
            self._unread_since = self._shared.deadlines.now() - waited
        self._shared.counters.add("edge_connections")
        self._start_timeout(self._shared.limits.edge_first)

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        """Twisted: the connection has ended; an open request has lost its client."""
        self._lost = True
        if self._timeout is not None:
            self._timeout.end()
        self._release_buffers()
        self._shared.connections.free(self.number)
        if self._answer_pending:
            self._answer_pending = False
            self._shared.requests.leave(self._request)
        self._factory.connection_ended()

    def call_failed(self, call: str, error: str) -> None:
        """Logs a failed system call of this connection; `error`: the symbol, as `ETIMEDOUT`."""
        if error == "ECONNRESET" and not self._answer_pending:
            return  # the client has disconnected
        job = self._shared.requests.job_of(self._request) if self._answer_pending else "-"
        self._shared.requests.audit.call_failed(call, error, client="-", request=job)

    def dataReceived(self, data: bytes, starts_message: bool = False) -> None:
        """Twisted: data was read; `starts_message`: its first byte begins a message."""
        if self._closing or self._overflowed:
            self._discard(len(data))
            return
        starts_message = starts_message or not self._parser.held
        if self._answer_pending or self._output_blocked:
            self._buffer_pipelined(data)
            return
        self._parser.feed(data)
        self._read_delay = self._measure_read_delay()
        if self._arrivals is not None:
            self._record_arrival(len(data))
        self._process_buffer(starts_message)
        if self._held.size:
            self._limit_held()

    def _limit_held(self) -> None:
        """Refuses the message that is being received if all connections together hold too much."""
        if not self._factory.held.exceeded or self._answer_pending or self._closing:
            return
        self._shared.counters.add("refused_for_memory")
        if self._carries_callback():
            self._abort()  # a real server repeats a callback only if it gets no answer
        else:
            self._answer(429, TOO_MUCH_HELD, close=True)

    def _process_buffer(self, starts_message: bool) -> None:
        if self.transport.dataBuffer and self._blocks_on_output():
            return
        # Prevents re-entry: an immediate answer must not start the next request before `_request` is set,
        # or a client's disconnect would cancel the wrong request.
        if self._parsing:
            return
        self._parsing = True
        try:
            self._process_messages(starts_message)
        except http.MalformedError as error:
            self._reject_malformed(error)
        except Exception as error:
            self._fail(error)
        finally:
            self._parsing = self._yielded
            if self._parser.held or self._held.size:
                self._update_held()

    def _fail(self, error: Exception) -> None:
        """Ends the connection after an exception that nobody expects."""
        self._shared.counters.fault("an edge connection failed", error)
        if self._answer_pending:
            self._shared.requests.closed_unanswered(self._request, type(error).__name__)
        self._abort()

    def _reject_malformed(self, error: http.MalformedError) -> None:
        self._shared.counters.add("bad_messages")
        if self._answer_pending:
            self._shared.requests.closed_unanswered(self._request, error.text)
            self._abort()  # the pending answer can no longer be sent in order
            return
        self._answer(error.status, error.text.encode(), close=True)

    def _process_messages(self, starts_message: bool, handled: int = 0) -> None:
        """Processes the messages that have been read; `handled`: how many have been in this turn."""
        while not self._answer_pending and not self._closing:
            message = self._parser.next()
            if message is None:
                if self._overflowed:
                    raise http.MalformedError(413, "too much was sent ahead")
                if self._parser.held:
                    self._await_rest(starts_message)
                if self._parser.wants_continue and not self._continued:
                    self._continued = True
                    self.transport.write(http.CONTINUE)
                return
            self._at_most_one_message, self._continued, starts_message, self._no_message_yet = (
                self._no_message_yet,
                False,
                True,
                False,
            )
            self._close_after_answer = self._close_after_answer or not message.keeps_alive
            waited = self._read_delay if self._arrivals is None else self._time_buffered()
            more = self._parser.held
            if more and self._arrivals is None:
                self._record_arrival(more)
            self._route(message, waited)
            if more and not self._closing:
                handled += 1
                if self._blocks_on_output():
                    return
                if handled >= MAX_MESSAGES_PER_TURN and not self._answer_pending:
                    self._yield_turn()
                    return

    def _yield_turn(self) -> None:
        """Lets other connections have their turn before the next messages of this one."""
        self._yielded = True
        self._shared.counters.add("edge_yields")
        self.transport.pauseProducing()  # the kernel's buffer then slows the client down
        if self._unread_since is None:
            self._unread_since = self._shared.deadlines.now()
        number, connections = self.number, self._shared.connections

        def go_on() -> None:
            connection = connections.get(number)
            if connection is not None:
                connection.go_on()

        self._shared.deadlines.after(1, go_on)

    def go_on(self) -> None:
        """Goes on with the messages that waited for this turn."""
        self._parsing = self._yielded = False
        if not self._closing:
            self._process_buffer(True)
        if not self._yielded:
            self.transport.resumeProducing()

    def _blocks_on_output(self) -> bool:
        """Whether the client has not read its earlier answers: its next message waits until it has."""
        if unsent(self.transport) <= self._shared.limits.edge_unsent:
            return False
        if not self._output_blocked:
            self._output_blocked = True
            if self._arrivals is None:
                self._record_arrival(self._parser.held)
            self._check_output_after(MS)
        self._count_held()
        return True

    def _check_output_after(self, wait: int) -> None:
        number, connections = self.number, self._shared.connections

        def check() -> None:
            connection = connections.get(number)
            if connection is not None:
                connection.check_output()

        self._shared.deadlines.after(wait, check)

    def check_output(self) -> None:
        """Goes on with the next message once earlier answers have been sent."""
        if self._closing:
            return
        if unsent(self.transport) > self._shared.limits.edge_unsent:
            self._count_held()
            self._check_output_after(self._shared.limits.edge_pause)
            return
        self._output_blocked = False
        if not self._answer_pending:
            self._process_buffer(True)
        self._count_held()

    def _route(self, message: http.Message, waited: int) -> None:
        path, _, query = message.start[1].partition("?")
        method = {"/api": "POST", CALLBACK_PATH: "POST", "/up": "GET"}.get(path)
        if method is None:
            self._answer(404)
        elif message.start[0] != method:
            self._answer(405, headers=f"Allow: {method}\r\n")
        elif path == "/up":
            self._answer(200, b"ready")
        elif path == "/api" and self._callbacks_only:
            self._answer(429, close=True)  # nothing was sent to a real server: the client may safely retry
        elif path == CALLBACK_PATH:
            self.sends_callbacks = True
            self._handle_callback(message)
        else:
            self._handle_request(message, query, waited)

    def _handle_request(self, message: http.Message, query: str, waited: int) -> None:
        limits = self._shared.limits
        try:
            job, cls = message.header("x-txn") or "", message.header("x-lane")
            if not ID.fullmatch(job) or len(job) > limits.identity:
                raise InvalidRequestError("X-Txn is missing or no id")
            time = parse_remaining(message.header("x-remaining"))
            if waited > limits.unseen and time > 0:
                time = max(1, time - waited)
                self._shared.counters.add("requests_waited")  # in the kernel, or behind earlier requests
            slots = parse_label(message.header("x-labels"), "slots", 1.0)
            if cls is None:
                raise InvalidRequestError("X-Lane is missing")
            order = HttpOrder(message)
            self._order_size = order.size
            self._answer_pending = True
            if self._order_size > limits.edge_uncounted and not self._may_hold_order():
                return
            arrive = partial(
                self._shared.requests.arrive,
                job,
                cls,
                message.header("x-org"),
                repeat_key=bool(message.header("idempotency-key")),
                slots=slots,
                key=hash_subject(query),
                hint=parse_estimate(message.header("x-estimate")),
                order=order,
                client=self,
            )
            self._stop_timeout()
            if (self._arrivals is not None or waited > limits.unseen) and self._has_unread():
                self._arrive_once_read(arrive, self._shared.deadlines.now(), time)
            else:
                self._request = arrive(time)
        except InvalidRequestError as error:
            self._refuse_invalid(error)

    def _arrive_once_read(self, arrive: Callable[[int], int], since: int, time: int) -> None:
        """Hands a request in once nothing lies unread behind it: its client may have left long ago.

        Until then its connection is read as that of an open request.  `since`: when the wait began; `time`:
        what remained to the client then, microseconds."""
        number, connections = self.number, self._shared.connections

        def look() -> None:
            connection = connections.get(number)
            if connection is not None:
                connection.arrive_if_read(arrive, since, time)

        self._shared.deadlines.after(1, look)

    def arrive_if_read(self, arrive: Callable[[int], int], since: int, time: int) -> None:
        """As `_arrive_once_read`, a reactor turn later."""
        waited = self._shared.deadlines.now() - since
        if waited < self._shared.limits.edge_unread_wait and self._has_unread():
            self._arrive_once_read(arrive, since, time)
            return
        self._parsing = True  # as in `_process_buffer`
        try:
            self._request = arrive(max(1, time - waited) if time > 0 else time)
        except InvalidRequestError as error:
            self._refuse_invalid(error)
        except Exception as error:
            self._fail(error)
        finally:
            self._parsing = False
        if (self._parser.held or self._overflowed) and not self._answer_pending and not self._closing:
            self._process_buffer(True)

    def _refuse_invalid(self, error: InvalidRequestError) -> None:
        self._answer_pending = False
        self._update_held()
        self._answer(400, str(error).encode())

    def _may_hold_order(self) -> bool:
        """Whether the current request may be held until it is answered; refuses it if not."""
        self._count_held()
        if not self._factory.held.exceeded:
            return True
        self._shared.counters.add("refused_for_memory")
        self._answer_pending = False
        self._count_held()
        self._answer(429, TOO_MUCH_HELD)
        return False

    def _handle_callback(self, message: http.Message) -> None:
        """Processes a real server's report on an attempt."""
        body = bytes(message.body)
        try:
            callback = parse_callback(body)
        except ValueError:
            self._shared.counters.add("bad_callbacks")
            self._answer(400, b"not a callback")
            return
        self._shared.counters.add("callbacks")
        if self._factory.forward_callback is not None and not self._shared.requests.holds(callback["id"]):
            self._answer_pending, self._order_size = True, len(body)
            self._stop_timeout()
            self._factory.forward_callback(body, self._final)
            return
        # The reply goes out first, so that the real server does not retry while the callback is processed.
        self._answer(204)
        apply_callback(self._shared, callback)

    # The final answers.

    def served(self, result: bytes) -> None:
        """As `requests.Client.served`: 200 with the result."""
        self._final(200, result)

    def refused(self, retry_after: int, before_sending: bool) -> None:
        """As `requests.Client.refused`: 429 before an attempt was sent, otherwise 503."""
        headers = f"Retry-After: {retry_after / SECOND:.6f}\r\n" if retry_after > 0 else ""
        self._final(429 if before_sending else 503, headers=headers)

    def failed(self, why: Failure) -> None:
        """As `requests.Client.failed`: 504 if the deadline passed, otherwise 502."""
        self._final(504 if why is Failure.LATE else 502)

    def _final(self, status: int, body: bytes = b"", headers: str = "") -> None:
        if not self._answer_pending or self._lost:
            return
        self._answer_pending, self._request = False, -1
        self._answer(status, body, headers)
        if self._held.size:
            self._count_held()
        if (self._parser.held or self._overflowed) and not self._closing:
            self._process_buffer(True)

    def _answer(self, status: int, body: bytes = b"", headers: str = "", close: bool = False) -> None:
        close = close or self._close_after_answer or self._factory.at_limit
        self._shared.counters.add(f"answer_{status}")
        self.transport.write(http.answer(status, body, headers, close))
        if close:
            self.end()
        else:
            self._start_timeout(self._shared.limits.edge_idle)
