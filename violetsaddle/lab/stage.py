"""What every stage offers: it plays one day and gives what happened."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from violetsaddle.lab.records import Record
from violetsaddle.world.day import Day


def merged(below: Mapping[str, Any], above: Mapping[str, Any]) -> dict[str, Any]:
    """`above` laid over `below`, tables key by key."""
    whole = dict(below)
    for key, value in above.items():
        old = whole.get(key)
        whole[key] = merged(old, value) if isinstance(old, Mapping) and isinstance(value, Mapping) else value
    return whole


@dataclass(frozen=True)
class Options:
    """How a day is played."""

    decider: str = "module"  # or a yardstick's name: random, round-robin, least, two, oracle (`sim` only)
    settings: Mapping[str, Any] = field(default_factory=dict)  # merged over `day.settings`, tables key by key
    operator: str = ""  # path of an operator file for the nodes; "" for none
    tree: str = ""  # `live`: another checkout whose program the nodes run; "" for this one
    after: int = 0  # microseconds that the stage goes on after the day's length; 0: as long as deadlines need


@dataclass(frozen=True)
class Outcome:
    """What happened on a day."""

    day: Day
    records: Sequence[Record]  # in the order of their times
    counters: Sequence[Mapping[str, int]]  # of each node, summed over its lives
    log: Sequence[str]  # lines of the nodes' logs, at most a few thousand
    wall: float  # seconds it took
    events: int  # entries into the loop (`sim`), or 0
    peak: float  # MB of this process (`sim`) or of the largest node (`live`)
    void: str = ""  # why the run counts for nothing: a stand-in that fell behind, a node that never listened


class Stage(Protocol):
    def play(self, day: Day, options: Options = Options()) -> Outcome: ...
