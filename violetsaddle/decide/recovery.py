"""Detects, from one node's view, that the site has lost power, and which real servers started again since.

The list says when each real server started.  While discovery is down that may be out of date: a node that has
just started holds an old list, and a real server that refused connections and then accepts them has started
again.  It is cold, whatever the list says.  If nodes send to cold real servers as if they were warm, those
fail one after another under the load.

`TRANSITIONS` has all changes of the phase; `tests/test_recovery.py` checks it.  Nodes do not coordinate: each
acts on its own connections.  A wrong guess does little harm.  If warm real servers are taken for cold, the
node sends less than they could bear, until discovery answers or a cold server would have warmed up.  If cold
ones are taken for warm, the node behaves as it would without this module."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

from violetsaddle import interface as api

SECOND = 1_000_000  # microseconds
RECENT_CONTACT = 3 * SECOND  # older refusals and answers are not counted
MIN_REFUSING = 3  # real servers that must refuse, or all of them if there are fewer
MIN_REFUSING_SHARE = 2 / 3  # of the real servers with recent contact
SETTLE_TIME = SECOND  # after an answer, refusals within this time are normal: servers return one by one
DISCOVERY_CATCH_UP = 3 * SECOND  # after its return discovery may need this long to learn of all starts


class Phase(enum.Enum):
    """What the node believes about the site's power."""

    UNKNOWN = "unknown"  # the node has started and has no contact yet
    KNOWN = "known"  # discovery has answered, or real servers are as the list says
    POWER_LOST = "dark"  # discovery is silent and most real servers refuse connections
    RETURNING = "returning"  # real servers come back, and their start times are not known


class Event(enum.Enum):
    """What can change the phase."""

    LISTED = "discovery spoke"
    ANSWERED = "a real server answered"
    REFUSED = "most real servers refuse, and discovery is silent"


TRANSITIONS: Mapping[tuple[Phase, Event], Phase] = {
    **{(phase, Event.LISTED): Phase.KNOWN for phase in Phase},
    **{
        (phase, Event.REFUSED): Phase.POWER_LOST for phase in Phase
    },  # power may be lost again during a return
    (Phase.UNKNOWN, Event.ANSWERED): Phase.KNOWN,
    (Phase.KNOWN, Event.ANSWERED): Phase.KNOWN,
    (Phase.POWER_LOST, Event.ANSWERED): Phase.RETURNING,
    (Phase.RETURNING, Event.ANSWERED): Phase.RETURNING,
}


class Contact:
    """What the node has seen of one real server; times are microseconds.

    `entry`: as discovery gave it.  `refused`, `answered`: when it last did; -1: never.  `assumed_start`: the
    start time that replaces the one on the list; 0: the list counts."""

    __slots__ = ("entry", "refused", "answered", "assumed_start")

    def __init__(self, entry: api.Entry) -> None:
        """A real server that has neither refused nor answered yet."""
        self.entry = entry
        self.refused, self.answered, self.assumed_start = -1, -1, 0


class Recovery:
    """Takes what the node sees, and returns entries that replace those of the list.

    Times are microseconds on the clock of the decision module."""

    def __init__(self, now: int, silence: int) -> None:
        """`silence`: microseconds without contact to discovery after which the list may be out of date."""
        self.phase, self._silence = Phase.UNKNOWN, silence
        self._contacts: dict[int, Contact] = {}
        self._listed_at = now - silence - 1  # as if discovery had been silent for too long already
        self._discovery_back_at = -DISCOVERY_CATCH_UP  # when discovery answered again after a loss of power
        self._power_lost_at = -1  # when most real servers last refused
        self.phase_changes = 0

    def _apply(self, event: Event) -> None:
        after = TRANSITIONS[self.phase, event]
        self.phase_changes += after is not self.phase
        self.phase = after

    def listed(self, now: int, kind: str, entries: Sequence[api.Entry]) -> list[api.Entry]:
        """Takes a list event of the interface; returns the entries that replace those of the list."""
        if kind == api.LIST_ERROR:
            return []
        if kind == api.SNAPSHOT:
            self._contacts = {
                e.worker: self._contacts[e.worker] for e in entries if e.worker in self._contacts
            }
        for entry in entries:
            if entry.state == api.GONE:
                self._contacts.pop(entry.worker, None)
            elif entry.worker in self._contacts:
                self._contacts[entry.worker].entry = entry
            else:
                self._contacts[entry.worker] = Contact(entry)
        if kind == api.DISK:
            return []
        self._listed_at = now
        if self.phase in (Phase.POWER_LOST, Phase.RETURNING):
            self._discovery_back_at = now
        self._apply(Event.LISTED)
        for contact in self._contacts.values():
            if contact.entry.started >= self._power_lost_at:
                contact.assumed_start = 0  # discovery knows of the new start
        doubted = [contact for contact in self._contacts.values() if contact.assumed_start]
        if now - self._discovery_back_at < DISCOVERY_CATCH_UP:
            # Discovery may have lost power too, and may list start times from before.
            named = {entry.worker for entry in entries}
            return [c.entry._replace(started=c.assumed_start) for c in doubted if c.entry.worker in named]
        for contact in doubted:
            contact.assumed_start = 0
        return [contact.entry for contact in doubted]

    def refused(self, now: int, worker: int) -> None:
        """No connection to the real server came up."""
        contact = self._contacts.get(worker)
        if contact is None:
            return
        contact.refused = now
        if now - self._listed_at <= self._silence or self.phase is Phase.POWER_LOST:
            return
        if self.phase is Phase.RETURNING and any(
            c.answered > now - SETTLE_TIME for c in self._contacts.values()
        ):
            return  # real servers return one by one; power is lost again only if all are gone
        recent = [c for c in self._contacts.values() if max(c.refused, c.answered) > now - RECENT_CONTACT]
        refusing = sum(c.refused > c.answered for c in recent)
        if refusing >= min(MIN_REFUSING, len(self._contacts)) and refusing >= MIN_REFUSING_SHARE * len(
            recent
        ):
            self._power_lost_at = now
            self._apply(Event.REFUSED)

    def alive(self, now: int, worker: int) -> list[api.Entry]:
        """The real server has answered; returns the entries that replace those of the list."""
        contact = self._contacts.get(worker)
        if contact is None:
            return []
        answered_before, contact.answered, phase_before = contact.answered, now, self.phase
        self._apply(Event.ANSWERED)
        if self.phase is not Phase.RETURNING or answered_before >= self._power_lost_at:
            return []
        # The first answer makes all real servers count as cold.  If each had to answer first, the node would
        # send to it as if it were warm until then.  One that refused for longer started even later.
        returned_later = contact.refused > self._power_lost_at + SETTLE_TIME
        candidates = (
            self._contacts.values()
            if phase_before is Phase.POWER_LOST
            else [contact]
            if returned_later
            else []
        )
        restarted = [c for c in candidates if c.answered < self._power_lost_at or c is contact]
        for c in restarted:
            c.assumed_start = max(1, c.refused, self._power_lost_at)
        return [c.entry._replace(started=c.assumed_start) for c in restarted]
