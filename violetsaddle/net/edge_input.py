"""What has come on one connection: the buffered bytes, when they came, and what of them counts.

`ClosingConnection` and `EdgeConnection` build on it; it closes and answers nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol

from violetsaddle.net import http
from violetsaddle.net.arrivals import Arrivals
from violetsaddle.net.deadlines import Transport
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.held_bytes import Allowance, Share
from violetsaddle.net.transports import drop_unread, has_closed, peek, unread_for, unsent

if TYPE_CHECKING:
    from violetsaddle.net.edge_factory import EdgeFactory

CALLBACK_PATH = "/callback"


class ConnectionInput(Protocol):
    """The input of a connection that was accepted, with its part of what all connections may hold."""

    transport: Transport

    def __init__(self, shared: Shared, factory: EdgeFactory) -> None:
        """`factory`: accounts for the bytes of all connections."""
        self._shared, self._factory = shared, factory
        self._parser = http.Parser(shared.limits, shared.limits.body)
        self._read_delay = 0  # microseconds that the last bytes read had been in the kernel's buffer
        self._arrivals: Arrivals | None = None  # of the bytes that wait in the parser
        self.number = -1
        self._answer_pending = False  # the current request has no final answer yet
        self._overflowed = False  # the client pipelined too many bytes; the rest is discarded
        self._output_blocked = False  # too much of earlier answers is unsent: the next message waits
        # What the buffer, the current request and answers that wait take, and what of it was pipelined.
        # Neither counts the first `edge_uncounted` bytes of the connection.
        self._held, self._pipelined = Share(factory.held), Share(factory.pipelined)
        self._order_size = 0  # bytes of the current request that are kept until it is answered
        self._discarded_bytes = 0
        self.sends_callbacks = False  # the other side is a real server
        self._at_most_one_message = True  # at most the first message has been parsed
        self._unread_since: int | None = None  # earliest time at which the first bytes may have arrived

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

    def _carries_callback(self) -> bool:
        """Whether the message that is being received comes from a real server."""
        return self.sends_callbacks or self._parser.path == CALLBACK_PATH

    def _release_buffers(self) -> None:
        self._parser.clear()
        self._held.set(0)
        self._pipelined.set(0)

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
