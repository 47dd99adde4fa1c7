"""Who runs which number, as nodes tell it themselves with each watch; no I/O, no clock."""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000  # microseconds
HEARD_WITHIN = 30 * SECOND
MOST = 4096  # nodes remembered


class Node(NamedTuple):
    """`refused`: the number that its own check refused, 0 for none, and `why`: the key; `seconds_ago`: since
    its last word, which of several replicas' words on a node is the newest."""

    name: str
    number: int
    refused: int
    why: str
    seconds_ago: float


class _Told:
    """`at`: of its last word; `seen`: of that, or of the end of a watch; `watches`: open ones."""

    __slots__ = ("number", "refused", "why", "at", "seen", "watches")

    def __init__(self) -> None:
        self.number, self.refused, self.why, self.at, self.seen, self.watches = 0, 0, "", 0, 0, 0


class NodeRegistry:
    """Times are microseconds on one clock that only goes forward."""

    def __init__(self) -> None:
        """Nobody is heard yet."""
        self._nodes: dict[str, _Told] = {}  # the one heard last at the end

    def heard(self, name: str, number: int, refused: int, why: str, now: int) -> None:
        """A watch was opened: `watch_over` follows."""
        told = self._nodes.pop(name, None) or _Told()
        told.number, told.at, told.seen = number, now, now
        if (
            refused or number >= told.refused
        ):  # told once, it holds until the node runs that number or a later
            told.refused, told.why = refused, why
        told.watches += 1
        self._nodes[name] = told
        if len(self._nodes) > MOST:
            del self._nodes[next(iter(self._nodes))]

    def watch_over(self, name: str, now: int) -> None:
        """A watch was answered, or its connection has ended."""
        told = self._nodes.get(name)
        if told is not None and told.watches:
            told.watches -= 1
            told.seen = now

    def nodes(self, now: int) -> list[Node]:
        """Those heard within the last 30 s or with a watch open, by name; others are forgotten."""
        old = [n for n, t in self._nodes.items() if not t.watches and now - t.seen > HEARD_WITHIN]
        for name in old:
            del self._nodes[name]
        return [
            Node(n, t.number, t.refused, t.why, round((now - t.at) / SECOND, 3))
            for n, t in sorted(self._nodes.items())
        ]
