"""Pauses accepting at the connection limit, for a bounded time.

A client whose connection waits in the accept backlog may have written its whole request already, and gets
neither an answer nor a close until the node accepts.  So while accepting is paused, the gate looks for room
again and again.  If the backlog has not been empty for long, connections that find no room are accepted only
to be closed: their clients know then that the request was not read, and send it again elsewhere.
`EdgeFactory` owns the gate."""

from __future__ import annotations

from collections.abc import Callable

from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadline, Deadlines
from violetsaddle.net.limits import Limits


class AcceptGate:
    """Whether new connections are accepted, and how long they may have waited for that."""

    def __init__(
        self,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        behind: Callable[[], int],
        make_room: Callable[[], bool],
    ) -> None:
        """`behind`: as `Reactor.behind`; `make_room`: closes a connection if one may be closed, and returns
        whether it did."""
        self._limits, self._deadlines, self._counters = limits, deadlines, counters
        self._behind, self._make_room = behind, make_room
        # Stops (True) or resumes (False) reading of the listening port; set by the owner of the port.
        self.hold: Callable[[bool], None] = lambda held: None
        # Whether nobody waits in the backlog; set by the owner of the port.
        self.is_backlog_empty: Callable[[], bool] = lambda: False
        self.paused = False
        self.sheds = False  # a connection that finds no room is to be closed unread
        # The time, in microseconds, from which on connections may have waited in the backlog.  None: it was
        # empty when the reactor polled last.
        self._waiting_since: int | None = None
        self._look: Deadline | None = None

    @property
    def waited(self) -> int:
        """Microseconds for which a connection in the backlog may have waited."""
        now = self._deadlines.now()
        return self._behind() if self._waiting_since is None else now - self._waiting_since

    @property
    def is_pressed(self) -> bool:
        """Whether the backlog has not been empty for so long that unfinished messages have to make room."""
        return self._waiting_since is not None and self.waited >= self._limits.edge_stalled

    def backlog_checked(self, empty: bool) -> None:
        """The port has accepted what it accepts in one turn; `empty`: nothing was left in the backlog."""
        if empty:
            self._waiting_since, self.sheds = None, False
        else:
            self.connections_wait()

    def connections_wait(self) -> None:
        """New connections are not accepted for now."""
        if self._waiting_since is None:
            self._waiting_since = self._deadlines.now() - self._behind()

    def pause(self) -> None:
        """Pauses accepting until there is room."""
        if not self.paused:
            self._counters.add("accepting_paused")
        self.paused = True
        self.connections_wait()
        self.hold(True)
        self._look_later()

    def resume(self) -> None:
        """Accepts again: a connection has ended."""
        self.paused = False
        self.hold(False)

    def shed(self) -> None:
        """Counts a connection that is closed unread."""
        self._counters.add("connections_shed")

    def _look_later(self) -> None:
        if self._look is None:
            self._look = self._deadlines.after(self._limits.edge_look, self._look_for_room)

    def _look_for_room(self) -> None:
        self._look = None
        if not self.paused or self._make_room():
            return  # once the connection has ended, accepting is resumed
        if self.is_backlog_empty():
            self._waiting_since = self._deadlines.now()
        if self.waited >= self._limits.edge_backlog_wait:
            self.sheds = True
            self.resume()
        else:
            self._look_later()
