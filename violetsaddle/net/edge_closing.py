"""When one connection times out, makes room for others, or closes.

`EdgeConnection` builds on it and gives the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from violetsaddle.net.deadlines import Patience
from violetsaddle.net.edge_input import ConnectionInput
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.transports import end_writing, unsent

if TYPE_CHECKING:
    from violetsaddle.net.edge_factory import EdgeFactory

LAST_RESORT = 6  # eviction rank of real servers' connections


class ClosingConnection(ConnectionInput):
    """The timeouts, the eviction and the ends of a connection that was accepted."""

    def __init__(self, shared: Shared, factory: EdgeFactory, callbacks_only: bool = False) -> None:
        """`callbacks_only`: the connection is beyond the limit."""
        super().__init__(shared, factory)
        self._callbacks_only = callbacks_only
        self._closing = False  # the last answer has been written, or the connection is being closed
        self._close_after_answer = factory.closing
        self._lost = False
        self._evicted = self._aborted = False
        self._last_unsent = -1  # bytes that the kernel had not taken at the last check
        # Messages are being processed, or the rest of them waits for the next reactor turn (`_yielded`) and
        # nothing more is read until then.
        self._parsing = self._yielded = False
        self._no_message_yet = True  # no complete message has been parsed
        self._wait_started = 0
        self._stalled_since = 0  # when the last part of an incomplete message was read
        self._timeout: Patience | None = None  # None: not connected yet

    def _answer(self, status: int, body: bytes = b"", headers: str = "", close: bool = False) -> None:
        """Sends an answer; `close`: it is the last one of the connection."""
        raise NotImplementedError

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

    def _abort(self) -> None:
        self._closing = self._aborted = True
        self.transport.abortConnection()
