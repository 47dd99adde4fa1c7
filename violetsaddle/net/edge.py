"""One connection to the node's listening address: client requests, and the callbacks of real servers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as Reason

from violetsaddle.net import http
from violetsaddle.net.arrivals import Arrivals
from violetsaddle.net.callbacks import apply_callback, parse_callback
from violetsaddle.net.deadlines import Patience, Transport
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.held_bytes import Allowance, Share
from violetsaddle.net.http_order import HttpOrder
from violetsaddle.net.job_headers import ID, hash_subject, parse_estimate, parse_label, parse_remaining
from violetsaddle.net.limits import MS, SECOND
from violetsaddle.net.requests import Failure, InvalidRequestError
from violetsaddle.net.transports import drop_unread, end_writing, has_closed, peek, unread_for, unsent

if TYPE_CHECKING:
    from violetsaddle.net.edge_factory import EdgeFactory

MAX_MESSAGES_PER_TURN = 8  # of one connection, in one turn of the reactor
CALLBACK_PATH = "/callback"
LAST_RESORT = 6  # eviction rank of real servers' connections
TOO_MUCH_HELD = b"too many bytes are held for other requests"


class EdgeConnection(Protocol):
    """A connection accepted from a client or from a real server that sends callbacks.

    It processes one request at a time."""

    transport: Transport

    def __init__(self, shared: Shared, factory: EdgeFactory, callbacks_only: bool = False) -> None:
        """`callbacks_only`: the connection is beyond the limit: a request on it gets a 429."""
        self._shared, self._factory, self._callbacks_only = shared, factory, callbacks_only
        self._parser = http.Parser(shared.limits, shared.limits.body)
        self._read_delay = 0  # microseconds that the last bytes read had been in the kernel's buffer
        self._arrivals: Arrivals | None = None  # of the bytes that wait in the parser
        self.number = -1
        self._request = -1
        self._answer_pending = False  # the current request has no final answer yet
        self._closing = False  # the last answer has been written, or the connection is being closed
        self._close_after_answer = factory.closing
        self._continued = False  # 100 Continue was sent for the current message
        self._lost = False
        self._evicted = self._aborted = False
        self._overflowed = False  # the client pipelined too many bytes; the rest is discarded
        self._output_blocked = False  # too much of earlier answers is unsent: the next message waits
        # What the buffer, the current request and answers that wait take, and what of it was pipelined.
        # Neither counts the first `edge_uncounted` bytes of the connection.
        self._held, self._pipelined = Share(factory.held), Share(factory.pipelined)
        self._order_size = 0  # bytes of the current request that are kept until it is answered
        self._discarded_bytes = 0
        self._last_unsent = -1  # bytes that the kernel had not taken at the last check
        # Messages are being processed, or the rest of them waits for the next reactor turn (`_yielded`) and
        # nothing more is read until then.
        self._parsing = self._yielded = False
        self.sends_callbacks = False  # the other side is a real server
        self._no_message_yet = True  # no complete message has been parsed
        self._at_most_one_message = True  # at most the first message has been parsed
        self._wait_started = 0
        self._stalled_since = 0  # when the last part of an incomplete message was read
        self._unread_since: int | None = None  # earliest time at which the first bytes may have arrived
        self._timeout: Patience | None = None  # None: not connected yet

    @property
    def idle(self) -> bool:
        """No answer is pending, no part of a message is buffered, and the connection is not being closed."""
        return not self._answer_pending and not self._parser.held and not self._closing

    @property
    def ending(self) -> bool:
        """The write side is closed, or will be once the written data has been sent."""
        return self._closing

    @property
    def silent(self) -> bool:
        """The client has sent nothing, also no bytes that are still unread in the kernel's buffer."""
        return self._no_message_yet and not self._parser.held and not self._closing and not self._has_unread()

    def _has_unread(self) -> bool:
        return bool(peek(self.transport))

    def _measure_read_delay(self) -> int:
        """Returns the microseconds for which the bytes just read were unread; 0 if the node was not late."""
        behind = self._shared.behind()
        if self._unread_since is not None:
            behind = max(behind, self._shared.deadlines.now() - self._unread_since)
            self._unread_since = None
        return min(behind, unread_for(self.transport)) if behind > self._shared.limits.unseen else 0

    def is_gone(self) -> bool:
        """As `requests.Client.is_gone`."""
        # The system calls are made only where the client's FIN may have been unread for long: behind other
        # bytes, or while the node was busy.  The first request counts as such, because its connection may
        # have waited in the accept backlog.
        if not (
            self._at_most_one_message
            or self._arrivals is not None
            or self._shared.behind() > self._shared.limits.unseen
        ):
            return False
        if self._overflowed:  # what comes is passed over, so that the end behind it can be looked for now
            self._drop_unread(self._factory.droppable_before_sending)
        return has_closed(self.transport)

    def eviction_rank(self, now: int) -> tuple[int, int] | None:
        """Returns the sort key for eviction at the connection limit, lowest first; None: never evicted."""
        if self._answer_pending or self._output_blocked or self._parsing or self._aborted:
            return None
        settled = now - self._wait_started >= self._shared.limits.edge_settled
        if self._evicted and not settled:
            return None  # it is about to end
        if self._closing:
            # The answer is written.  Once the client had time to read it, only unwanted data can follow.
            return (0 if settled else 4), self._wait_started
        if self._parser.held:
            stalled = now - self._stalled_since >= self._longest_pause()
            return (5, self._stalled_since) if stalled else None
        if self.sends_callbacks:
            # A real server connects again for its next callback, which costs it time at the limit.
            return (LAST_RESORT, self._wait_started) if settled else None
        if not self._no_message_yet:
            return 2, self._wait_started
        return (1 if settled else 3), self._wait_started

    def evict(self) -> bool:
        """Closes the connection and returns True, unless unread data has arrived meanwhile."""
        if not self._closing and self._has_unread():
            return False
        self._evicted = True
        if self._closing:
            self._abort()
        elif self._parser.held:
            self._evict_incomplete()
        else:
            self._close_idle()
        return True

    def _longest_pause(self) -> int:
        """Microseconds within which the next part of a message has to come at the connection limit."""
        limits = self._shared.limits
        return limits.unseen if self._callbacks_only or self._factory.gate.is_pressed else limits.edge_stalled

    def _evict_incomplete(self) -> None:
        """Refuses the message of which only a part has come, and closes the connection."""
        self._shared.counters.add("evicted_incomplete")
        if self._carries_callback():
            self._abort()  # a real server repeats a callback only if it gets no answer
            return
        self._answer(408, close=True)
        self.transport.loseConnection()  # once the answer has left

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

    def _start_timeout(self, time: int) -> None:
        self._wait_started = self._shared.deadlines.now()
        if self._timeout is not None and not self._lost:
            self._timeout.set(time)

    def _await_rest(self, starts_message: bool) -> None:
        """Limits the time for the rest of a message of which a part has been read."""
        self._stalled_since = self._shared.deadlines.now()
        if not starts_message:
            return
        # The first message's timeout runs from the start of the connection.  Started again here, a client
        # that stays silent at first would get twice the time.
        if not self._no_message_yet:
            self._start_timeout(self._shared.limits.edge_read)
        elif self._read_delay and self._timeout is not None:
            left = self._shared.limits.edge_first - self._read_delay
            if self._timeout.until > self._shared.deadlines.now() + left:
                self._timeout.set(left)

    def _stop_timeout(self) -> None:
        """Stops the timeout while a request is processed: its own deadline applies."""
        if self._timeout is not None:
            self._timeout.rest()

    def timed_out(self) -> None:
        """Handles a timeout: of an incomplete message, of an idle connection, or of the client's close."""
        if self._closing:
            self._close_timed_out()
        elif self._parser.held:
            self._answer(408, close=True)
        elif self._has_unread():
            self._start_timeout(self._shared.limits.edge_settled)  # the unread data is processed first
        else:
            self._close_idle()

    def _close_idle(self) -> None:
        """Closes at once: no answer can be lost.  A request that crosses the close stays unread, so that the
        client sends it again."""
        self._closing = True
        end_writing(self.transport)
        self.transport.loseConnection()
        self._start_timeout(self._shared.limits.edge_read)

    def end(self) -> None:
        """Closes the write side once the written data has been sent; the client then closes the connection.

        A close with unread data would send a reset, which could overtake the answer.  So incoming data is
        read and discarded until the client closes its side or the timeout ends."""
        self._closing = True
        self._release_buffers()
        self.transport.loseWriteConnection()
        self._start_timeout(self._shared.limits.drain)

    def _close_timed_out(self) -> None:
        """The client has not closed its side in time."""
        left = unsent(self.transport)
        if not left:
            self.transport.loseConnection()  # the kernel still sends what it has taken
        elif left != self._last_unsent:
            self._last_unsent = left  # a client that reads slowly gets its whole answer
            self._start_timeout(self._shared.limits.edge_read)
        else:
            self._abort()  # a client that does not read may not occupy a connection

    def close_after_answer(self) -> None:
        """Closes the connection with the next answer."""
        self._close_after_answer = True

    def close_soon(self, incomplete_too: bool = False) -> None:
        """Closes an idle connection now and any other with its answer.

        `incomplete_too`: also closes a connection now whose request is incomplete."""
        self._close_after_answer = True
        if self._answer_pending or self._closing:
            return
        if incomplete_too:
            self._close_idle()
        elif self.idle and not self._has_unread():  # unread data is read and answered first
            grace = self._shared.limits.edge_settled - (self._shared.deadlines.now() - self._wait_started)
            if self._no_message_yet and grace > 0:
                self._start_timeout(grace)  # a new client is about to send its request
            else:
                self._close_idle()

    def close_unused(self) -> None:
        """Closes an idle connection.  A new one stays open, because its first request is still expected."""
        if self.idle and not self._no_message_yet and not self._has_unread():
            self._close_idle()

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

    def _buffer_pipelined(self, data: bytes) -> None:
        """Keeps data that came before the current request was answered, up to a limit; discards the rest.

        Data left in the kernel would hide the client's disconnect, and closing the connection would lose the
        pending answer."""
        limits, factory = self._shared.limits, self._factory
        room = min(factory.pipelined.room, factory.held.room)
        room += max(0, limits.edge_uncounted - self._parser.held)
        kept = data[:room] if len(data) > room else data
        self._parser.feed(kept)
        self._read_delay = self._measure_read_delay()
        self._record_arrival(len(kept))
        self._overflowed = self._parser.held > limits.edge_ahead or len(kept) < len(data)
        self._discarded_bytes += len(data) - len(kept)
        self._update_held()

    def _update_held(self) -> None:
        """As `_count_held`, which few connections need: most never hold more than `edge_uncounted` bytes."""
        if (
            self._held.size
            or self._arrivals is not None
            or self._parser.held > self._shared.limits.edge_uncounted
        ):
            self._count_held()

    def _count_held(self) -> None:
        """Brings up to date what this connection adds to the bytes that all connections hold."""
        limits = self._shared.limits
        size = self._parser.allocated
        if self._arrivals is not None:
            size += self._arrivals.allocated
        if self._answer_pending:
            size += self._order_size
        if self._output_blocked:
            size += unsent(self.transport)
        self._held.set(max(0, size - limits.edge_uncounted))
        waits = self._answer_pending or self._output_blocked
        self._pipelined.set(max(0, self._parser.held - limits.edge_uncounted) if waits else 0)

    def _limit_held(self) -> None:
        """Refuses the message that is being received if all connections together hold too much."""
        if not self._factory.held.exceeded or self._answer_pending or self._closing:
            return
        self._shared.counters.add("refused_for_memory")
        if self._carries_callback():
            self._abort()  # a real server repeats a callback only if it gets no answer
        else:
            self._answer(429, TOO_MUCH_HELD, close=True)

    def _carries_callback(self) -> bool:
        """Whether the message that is being received comes from a real server."""
        return self.sends_callbacks or self._parser.path == CALLBACK_PATH

    def _release_buffers(self) -> None:
        self._parser.clear()
        self._held.set(0)
        self._pipelined.set(0)

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

    def _discard(self, size: int) -> None:
        """Limits the read rate once a client has sent more than could have been in transit as it left."""
        self._discarded_bytes += size
        if self._discarded_bytes > self._shared.limits.edge_passed:
            number, connections = self.number, self._shared.connections
            self.transport.pauseProducing()

            def resume() -> None:
                connection = connections.get(number)
                if connection is not None:
                    connection.resume_discarding()

            self._shared.deadlines.after(self._shared.limits.edge_pause, resume)

    def resume_discarding(self) -> None:
        """Reads on after a pause; what lies unread is dropped, within what all connections may drop.

        The client may have left long ago, and its end lie behind it."""
        self._drop_unread(self._factory.droppable)
        self.transport.resumeProducing()

    def _drop_unread(self, allowance: Allowance) -> None:
        """Drops what lies unread in the kernel, within what all connections may drop."""
        left = allowance.left(self._shared.deadlines.now())
        if left:
            allowance.take(drop_unread(self.transport, left))

    def _reject_malformed(self, error: http.MalformedError) -> None:
        self._shared.counters.add("bad_messages")
        if self._answer_pending:
            self._shared.requests.closed_unanswered(self._request, error.text)
            self._abort()  # the pending answer can no longer be sent in order
            return
        self._answer(error.status, error.text.encode(), close=True)

    def _abort(self) -> None:
        self._closing = self._aborted = True
        self.transport.abortConnection()

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

    def _record_arrival(self, size: int) -> None:
        """Records the arrival time of the `size` bytes read last: they may wait for the current request."""
        if self._arrivals is None:
            self._arrivals = Arrivals()
        self._arrivals.record(size, self._shared.deadlines.now() - self._read_delay)

    def _time_buffered(self) -> int:
        """Returns the microseconds since the last byte of the message just parsed arrived."""
        assert self._arrivals is not None
        arrived = self._arrivals.last_byte_of_message(self._parser.held)
        if not self._parser.held:
            self._arrivals = None
        return self._shared.deadlines.now() - arrived

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
