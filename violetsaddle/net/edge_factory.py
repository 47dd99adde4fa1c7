"""Accepts connections to the node's listening address, makes room at the limit, and closes them together."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from violetsaddle.net.accept_gate import AcceptGate
from violetsaddle.net.edge import EdgeConnection
from violetsaddle.net.edge_closing import LAST_RESORT
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.held_bytes import Allowance, ByteAccount


class EdgeFactory(Factory):
    """Accepts edge connections; at the limit it evicts idle ones."""

    noisy = False

    def __init__(self, shared: Shared) -> None:
        """`shared`: what the connections share; the owner of the listening port sets `gate.hold`."""
        self.shared = shared
        self.closing = False  # new connections close with their first answer
        self.gate = AcceptGate(
            shared.limits, shared.deadlines, shared.counters, shared.behind, self._make_room
        )
        self.at_limit = False  # at the limit with no idle connection: the next answer closes its connection
        self.held = ByteAccount(shared.limits.edge_held_all)
        self.pipelined = ByteAccount(shared.limits.edge_ahead_all)
        self.droppable = Allowance(shared.limits.edge_dropped, shared.limits.edge_pause)
        self.droppable_before_sending = Allowance(shared.limits.edge_in_kernels, shared.limits.edge_pause)
        self.when_empty: Callable[[], None] | None = None  # called as the last connection has ended
        self.when_gone: Callable[[], None] | None = None  # called as each connection has ended
        # Set while two processes of this node serve.  Passes the body of a callback on a request that is not
        # open here to the other process, and calls the second argument with the status that it answers.
        self.forward_callback: Callable[[bytes, Callable[[int], None]], None] | None = None

    def buildProtocol(self, addr: IAddress | None) -> EdgeConnection | None:
        """Twisted: a connection was accepted; at the limit another one is closed for it.

        None: the connection is to be closed."""
        limits, count = self.shared.limits, len(self.shared.connections) + 1
        if count >= limits.edge_connections and not self._evict_one():
            # None may be closed.  A few connections beyond the limit are accepted for callbacks, without
            # which no request could end.  Further ones wait in the accept backlog until there is room.
            self.at_limit = True
            most = limits.edge_connections + limits.edge_spare
            if count >= most and self._make_room():
                return EdgeConnection(self.shared, self, callbacks_only=True)
            if count > most and self.gate.sheds:
                self.gate.shed()
                return None
            if count >= most and not self.gate.sheds:
                self.gate.pause()
            return EdgeConnection(self.shared, self, callbacks_only=count > limits.edge_connections)
        return EdgeConnection(self.shared, self)

    def backlog_checked(self, empty: bool) -> None:
        """As `AcceptGate.backlog_checked`; called by the listening port."""
        self.gate.backlog_checked(empty)

    def _make_room(self) -> bool:
        """Closes a connection, of a real server too if there is no other; returns whether it did."""
        return self._evict_one(LAST_RESORT)

    def _evict_one(self, last_rank: int = LAST_RESORT - 1) -> bool:
        """Closes the connection with the lowest rank up to `last_rank`; returns whether there is one."""
        now = self.shared.deadlines.now()
        candidates = [
            (rank, number, c)
            for number, c in enumerate(self.shared.connections)
            if (rank := c.eviction_rank(now)) is not None and rank[0] <= last_rank
        ]
        heapify(candidates)
        # A connection with an unread request refuses, and the next one is tried.
        return any(heappop(candidates)[2].evict() for _ in range(len(candidates)))

    def connection_ended(self) -> None:
        """Resumes accepting below the limit and calls `when_gone` and `when_empty`."""
        if self.at_limit:
            self.at_limit = len(self.shared.connections) >= self.shared.limits.edge_connections
            self.gate.resume()
        if self.when_gone is not None:
            self.when_gone()
        if self.when_empty is not None and not len(self.shared.connections):
            self.when_empty()

    @property
    def has_open_clients(self) -> bool:
        """Whether a client's connection is open on which a request may still be answered."""
        return any(not c.ending and not c.sends_callbacks for c in self.shared.connections)

    def announce_close(self) -> None:
        """Makes each client connection close with its next answer."""
        self.closing = True
        for connection in self.shared.connections:
            if not connection.sends_callbacks:
                connection.close_after_answer()

    def hand_over(self) -> None:
        """Makes each connection close with its next answer, because another process accepts new ones.

        Real servers then connect to the other process."""
        self.closing = True
        for connection in self.shared.connections:
            connection.close_after_answer()

    def close_unused(self) -> None:
        """Closes idle connections that have carried a request."""
        for connection in self.shared.connections:
            connection.close_unused()

    def close_soon(self) -> None:
        """Closes client connections as they become idle; real servers still need theirs."""
        self.closing = True
        for connection in self.shared.connections:
            if not connection.sends_callbacks:
                connection.close_soon()

    def close_all(self) -> None:
        """Closes every connection without a pending answer; the others close with their answer."""
        for connection in self.shared.connections:
            connection.close_soon(incomplete_too=True)
