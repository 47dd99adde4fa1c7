"""Records which version each node runs, as the nodes report with each watch.  No I/O, no clock."""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000  # microseconds
EXPIRY = 30 * SECOND  # after its last report or watch a node is removed
MAX_NODES = 4096  # nodes in the registry


class Node(NamedTuple):
    """What is known of a node.

    `number` is the version that it runs.  `refused` is the number of the version that it refused, 0 for none,
    and `why` is the key that it refused.  `seconds_ago` is the time since its last report.  Where several
    replicas know the node, the report with the smallest value is the newest."""

    name: str
    number: int
    refused: int
    why: str
    seconds_ago: float


class _NodeRecord:
    """A registered node.

    `reported_at` is the time of its last report, `active_at` that of its last report or the end of a watch.
    `watches` counts its open watches."""

    __slots__ = ("number", "refused", "why", "reported_at", "active_at", "watches")

    def __init__(self) -> None:
        self.number, self.refused, self.why = 0, 0, ""
        self.reported_at, self.active_at, self.watches = 0, 0, 0


class NodeRegistry:
    """The nodes that report to this replica.  Times are microseconds on a monotonic clock."""

    def __init__(self) -> None:
        """Starts without nodes."""
        self._nodes: dict[str, _NodeRecord] = {}  # by name, the least recent report first

    def watch_opened(self, name: str, number: int, refused: int, why: str, now: int) -> None:
        """Records the report that comes with a new watch.  `watch_closed` has to follow."""
        record = self._nodes.pop(name, None) or _NodeRecord()
        record.number, record.reported_at, record.active_at = number, now, now
        # A refusal is reported once, and stays valid until the node runs that version or a later one.
        if refused or number >= record.refused:
            record.refused, record.why = refused, why
        record.watches += 1
        self._nodes[name] = record
        if len(self._nodes) > MAX_NODES:
            del self._nodes[next(iter(self._nodes))]

    def watch_closed(self, name: str, now: int) -> None:
        """Records that a watch was answered, or that its connection closed."""
        record = self._nodes.get(name)
        if record is not None and record.watches:
            record.watches -= 1
            record.active_at = now

    def nodes(self, now: int) -> list[Node]:
        """Returns the nodes with a report in the last 30 s or an open watch, by name.  Removes all others."""
        expired = [
            name
            for name, record in self._nodes.items()
            if not record.watches and now - record.active_at > EXPIRY
        ]
        for name in expired:
            del self._nodes[name]
        return [
            Node(
                name, record.number, record.refused, record.why, round((now - record.reported_at) / SECOND, 3)
            )
            for name, record in sorted(self._nodes.items())
        ]
