"""Whether the site has lost power, as one node sees it, and what it may still believe of its list then.

A list tells of each real server when it started.  While discovery is down that may be wrong: a node that has
just started holds a list of before, and whoever refused connections and then takes them has started again
since and is cold, whatever the list says.  Sent to as if warm, cold real servers fall over one by one.

What moves the life on stands in `TABLE`; `tests/test_recovery.py` searches it.  There is no agreement between
nodes: each acts on what it has met itself.  A wrong guess is harmless either way.  Taking warm ones for cold
costs room until discovery speaks, or until they would be warm; taking cold ones for warm is what was done
without this."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

from violetsaddle import interface as api

SECOND = 1_000_000  # microseconds
RECENT = 3 * SECOND  # what was met counts so long
LEAST = 3  # real servers that must have refused, or all there are
MOST = 2 / 3  # of those met lately
SETTLED = SECOND  # while they return, nobody has answered for so long before power counts as lost again
RESTORE = 3 * SECOND  # discovery has spoken for so long: it had time to learn who has started again


class Phase(enum.Enum):
    """What the node believes of the site's power."""

    UNKNOWN = "unknown"  # the node has started and met nobody
    KNOWN = "known"  # discovery has spoken, or real servers are as the list has them
    DARK = "dark"  # discovery is silent and most real servers refuse: the site has lost power
    RETURNING = "returning"  # they are coming back, and nobody can say since when


class Event(enum.Enum):
    """What moves the phase."""

    LISTED = "discovery spoke"
    ALIVE = "a real server answered"
    REFUSED = "most real servers refuse, and discovery is silent"


TABLE: Mapping[tuple[Phase, Event], Phase] = {
    **{(phase, Event.LISTED): Phase.KNOWN for phase in Phase},
    **{(phase, Event.REFUSED): Phase.DARK for phase in Phase},  # also in the midst of a return: lost again
    (Phase.UNKNOWN, Event.ALIVE): Phase.KNOWN,
    (Phase.KNOWN, Event.ALIVE): Phase.KNOWN,
    (Phase.DARK, Event.ALIVE): Phase.RETURNING,
    (Phase.RETURNING, Event.ALIVE): Phase.RETURNING,
}


class Met:
    """What the node has met at one real server: when it refused and answered last, and since when it was told
    to run in place of what the list says (0: as the list says)."""

    __slots__ = ("entry", "refused", "alive", "doubt")

    def __init__(self, entry: api.Entry) -> None:
        """It has neither refused nor answered yet; `entry`: as discovery told it."""
        self.entry = entry  # as discovery told it
        self.refused, self.alive, self.doubt = -1, -1, 0


class Recovery:
    """Events in, entries out: those are to be told to the module in place of what the list says.  Times are
    the module's, microseconds."""

    def __init__(self, now: int, silence: int) -> None:
        """`silence`: without word from discovery for so long its list is not proof any more."""
        self.phase, self._silence = Phase.UNKNOWN, silence
        self._met: dict[int, Met] = {}
        self._spoke = now - silence - 1  # not since the node's start
        self._since = -RESTORE  # discovery speaks again since then
        self._dark = -1  # when most refused last
        self.changes = 0  # of phase

    def _go(self, event: Event) -> None:
        after = TABLE[self.phase, event]
        self.changes += after is not self.phase
        self.phase = after

    def listed(self, now: int, kind: str, entries: Sequence[api.Entry]) -> list[api.Entry]:
        """A list event of the module's."""
        if kind == api.LIST_ERROR:
            return []
        if kind == api.SNAPSHOT:
            self._met = {e.worker: self._met[e.worker] for e in entries if e.worker in self._met}
        for entry in entries:
            if entry.state == api.GONE:
                self._met.pop(entry.worker, None)
            elif entry.worker in self._met:
                self._met[entry.worker].entry = entry
            else:
                self._met[entry.worker] = Met(entry)
        if kind == api.DISK:
            return []
        self._spoke = now
        if self.phase in (Phase.DARK, Phase.RETURNING):
            self._since = now
        self._go(Event.LISTED)
        for met in self._met.values():
            if met.entry.started >= self._dark:
                met.doubt = 0  # it knows of the new start
        doubted = [met for met in self._met.values() if met.doubt]
        if now - self._since < RESTORE:
            # It may have lost power too, and tell what it held before: the node has seen that that is over.
            named = {entry.worker for entry in entries}
            return [met.entry._replace(started=met.doubt) for met in doubted if met.entry.worker in named]
        for met in doubted:
            met.doubt = 0
        return [met.entry for met in doubted]

    def refused(self, now: int, worker: int) -> None:
        """No connection came up there."""
        met = self._met.get(worker)
        if met is None:
            return
        met.refused = now
        if now - self._spoke <= self._silence or self.phase is Phase.DARK:
            return
        if self.phase is Phase.RETURNING and any(m.alive > now - SETTLED for m in self._met.values()):
            return  # they come back one by one; only if all have gone again was power lost again
        lately = [m for m in self._met.values() if max(m.refused, m.alive) > now - RECENT]
        dead = sum(m.refused > m.alive for m in lately)
        if dead >= min(LEAST, len(self._met)) and dead >= MOST * len(lately):
            self._dark = now
            self._go(Event.REFUSED)

    def alive(self, now: int, worker: int) -> list[api.Entry]:
        """A real server has shown that it runs."""
        met = self._met.get(worker)
        if met is None:
            return []
        before, met.alive, was = met.alive, now, self.phase
        self._go(Event.ALIVE)
        if self.phase is not Phase.RETURNING or before >= self._dark:
            return []
        # The first to answer speaks for all: had the node to hear of each, it would send to it as if it were
        # warm until then.  One that went on refusing is colder than that.
        late = met.refused > self._dark + SETTLED
        told = self._met.values() if was is Phase.DARK else [met] if late else []
        back = [m for m in told if m.alive < self._dark or m is met]
        for m in back:
            m.doubt = max(1, m.refused, self._dark)
        return [m.entry._replace(started=m.doubt) for m in back]
