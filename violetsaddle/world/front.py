"""The front of one hall: deals new connections among the hall's nodes that it takes for alive."""

from __future__ import annotations

from collections.abc import Sequence

NOBODY = -1


class Front:
    """Knows only what it is told: the results of `GET /up`.

    A node is in from its first good answer on, and out once it has given none for `notice` microseconds after
    a failed one."""

    def __init__(self, nodes: Sequence[int], notice: int) -> None:
        self.nodes = tuple(nodes)
        self._notice = notice
        self._in: dict[int, bool] = dict.fromkeys(nodes, False)
        self._failing: dict[int, int] = {}  # since when
        self._leaving: dict[int, int] = {}  # good answers come from the old process, until then at most
        self._turn = 0

    def polled(self, node: int, good: bool, at: int, now: int, refused: bool = False) -> bool:
        """A poll that was asked at `at` has ended; gives whether the node is out now but was in before.

        `refused`: nobody listens there."""
        if refused or at >= self._leaving.get(node, at):
            self._leaving.pop(node, None)
        if good and node not in self._leaving:
            self._failing.pop(node, None)
            self._in[node] = True
        elif not good and self._in[node]:
            since = self._failing.setdefault(node, at)
            if now - since >= self._notice:
                del self._failing[node]
                self._in[node] = False
                return True
        return False

    def leave(self, node: int, until: int) -> None:
        """A planned restart: no new connections before the new process answers.  The old one may answer too,
        but it is gone once nobody listens, and by `until` at the latest."""
        self._in[node] = False
        self._failing.pop(node, None)
        self._leaving[node] = until

    def leaving(self, node: int) -> bool:
        return node in self._leaving

    def alive(self, node: int) -> bool:
        return self._in[node]

    def deal(self) -> int:
        """The node for the next new connection, each in its turn; `NOBODY` if none is in."""
        for _ in self.nodes:
            node = self.nodes[self._turn % len(self.nodes)]
            self._turn += 1
            if self._in[node]:
                return node
        return NOBODY
