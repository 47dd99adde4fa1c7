"""What all connections to the node's listening address share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from violetsaddle import interface as api
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Requests
from violetsaddle.net.slots import SlotTable

if TYPE_CHECKING:
    from violetsaddle.net.edge import EdgeConnection

FOREVER = 1 << 62  # microseconds


@dataclass(frozen=True)
class Shared:
    """The objects that all edge connections of a node share."""

    requests: Requests
    limits: Limits
    deadlines: Deadlines
    counters: Counters
    report: Callable[[object], api.Report | None]
    behind: Callable[[], int] = lambda: (
        FOREVER
    )  # longest time that data may have been unread (`Reactor.behind`)
    connections: SlotTable[EdgeConnection] = field(default_factory=SlotTable)
