"""What every party of the world gets from its stage, whichever stage it is."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from violetsaddle.lab.records import Ledger
from violetsaddle.world.day import Day

Address = tuple[str, int]


class Places(Protocol):
    """Who is where.  Each node reaches every other party at addresses that are kept for that node alone, so
    that a party knows which node speaks, and a link to one node can be cut alone."""

    def node(self, node: int) -> Address:
        """Where a node listens, for clients and callbacks."""

    def peer(self, node: int) -> Address:
        """Where a node hears datagrams."""

    def relay(self, node: int, other: int) -> Address:
        """Where a node sends its datagrams to another one."""

    def box(self, node: int, box: int) -> Address:
        """Where a node reaches a box; port 0 on `live` until the box listens there."""

    def roster(self, node: int, move: int) -> Address:
        """Where a node reaches discovery after it has moved so many times."""


@dataclass(frozen=True)
class Scene:
    """`reactor` is Twisted's, or the stage's stand-in for it; `now` gives microseconds of the day.

    `links`: the stage itself delays, cuts and silences links, so that parties must not (`sim`); without it
    parties do what they can on their own side (`live`): a cut or silent party neither reads nor writes nor
    accepts, and it resets what is open when it is back."""

    day: Day
    reactor: Any
    now: Callable[[], int]
    ledger: Ledger
    places: Places
    links: bool


class Party(Protocol):
    """Somebody outside the nodes.  Parties apply the day's troubles that concern them by their own timers."""

    def start(self) -> None:
        """Listens and sets its first timers; time is 0 or a little below."""

    def stop(self) -> None:
        """Closes everything; nothing of the party is left on the reactor."""
