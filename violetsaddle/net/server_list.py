"""Reads the server lists that discovery sends, and applies them to the node.

`Discovery` calls it with each list that it takes.  It makes no calls and waits for nothing."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from violetsaddle import interface as api
from violetsaddle.net.deadlines import Clock
from violetsaddle.net.limits import MS
from violetsaddle.net.requests import Requests
from violetsaddle.net.servers import Servers
from violetsaddle.net.wall_clock import WallClock

STATES = {"up": api.ACTIVE, "draining": api.DRAINING, "removed": api.GONE}


class BadListError(Exception):
    """The server list is not valid; the message names the fault."""


def address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Parses `host:port`; raises `BadListError` if it is malformed or the port is below `min_port`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (host + port).isascii() or not port.isdigit() or not min_port <= int(port) < 65536:
        raise BadListError(f"addr is no address: {text!r}")
    return host, int(port)


@dataclass(frozen=True)
class ListUpdate:
    """A valid list, or the changes to one, in the terms of the node."""

    version: int
    full: bool  # all servers; False: only those that changed
    names: Sequence[str]  # of `entries`, in the same order
    entries: Sequence[api.Entry]
    addresses: dict[str, tuple[str, int]]  # host and port by name, of servers that are not removed
    draining: frozenset[str]
    removed: Sequence[str]


class ServerListReader:
    """Turns lists as discovery sends them into updates, and applies these."""

    def __init__(
        self, requests: Requests, servers: Servers, zones: Sequence[str], kinds: Sequence[str], clock: Clock
    ) -> None:
        """`zones`, `kinds`: names, each at the index that the decision module uses for it."""
        self._requests, self._servers = requests, servers
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._wall_clock = WallClock(clock)  # discovery sends Unix times, the module uses the monotonic clock
        # By server name: start as discovery sent it (Unix time, ms), and on the monotonic clock (µs).
        self._start_times: dict[str, tuple[int, int]] = {}
        self._entries: dict[str, api.Entry] = {}  # of the current list, by server name

    def read(self, message: Any) -> ListUpdate:
        """Reads `message`, a decoded server list or a list of changes.

        Raises `BadListError` if it is not valid.  Then its drained and removed servers are applied."""
        try:
            return self._read(message)
        except (BadListError, KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
            self._servers.prune()
            self._apply_drains_and_removals(message)
            if isinstance(error, BadListError):
                raise
            raise BadListError(f"{type(error).__name__}: {error}") from None

    def _read(self, message: Any) -> ListUpdate:
        version, full, items = int(message["version"]), bool(message["full"]), list(message["servers"])
        names: list[str] = []
        entries: list[api.Entry] = []
        removed: list[str] = []
        draining: set[str] = set()
        addresses: dict[str, tuple[str, int]] = {}
        for item in items:
            entry, name = self._entry(item), item["id"]
            names.append(name)
            entries.append(entry)
            if entry.state == api.GONE:
                removed.append(name)
                addresses.pop(name, None)  # if a name occurs twice, the last entry counts
            else:
                addresses[name] = address(item.get("addr"))
                (draining.add if entry.state == api.DRAINING else draining.discard)(name)
        return ListUpdate(version, full, names, entries, addresses, frozenset(draining), removed)

    def apply(self, update: ListUpdate, kind: str | None = None) -> None:
        """Applies an update; `kind`: event kind for the decision module, None: a snapshot or a diff, as the
        update says."""
        self._servers.update_addresses(update.addresses, update.removed, update.full, update.draining)
        self._entries = {} if update.full else self._entries
        self._entries.update(zip(update.names, update.entries))
        for name in update.removed:
            self._entries.pop(name, None)
        self._start_times = {
            name: start for name, start in self._start_times.items() if name in self._entries
        }
        self._requests.listed(kind or (api.SNAPSHOT if update.full else api.DIFF), update.entries)

    def _apply_drains_and_removals(self, message: Any) -> None:
        """Applies only the drained and removed servers of a list that is not valid as a whole.

        One malformed entry must not keep the node sending requests to a server that drains."""
        try:
            states = {item["id"]: item.get("state") for item in message["servers"]}
            missing = self._entries.keys() - states if message["full"] else set[str]()
        except (KeyError, TypeError, AttributeError):
            return
        changes: dict[str, str] = {name: api.GONE for name in missing}
        for name, state in states.items():
            if name in self._entries and state in ("draining", "removed"):
                changes[name] = STATES[state]
        changes = {name: state for name, state in changes.items() if self._entries[name].state != state}
        if not changes:
            return
        entries = [self._entries[name]._replace(state=state) for name, state in changes.items()]
        removed = [name for name, state in changes.items() if state == api.GONE]
        self._servers.drain(changes.keys() - removed)
        self._servers.update_addresses({}, removed, False)
        for name, entry in zip(changes, entries):
            self._entries[name] = entry
        for name in removed:
            del self._entries[name]
        self._requests.listed(api.CORRECTION, entries)

    def _entry(self, item: dict[str, Any]) -> api.Entry:
        name, state = item["id"], STATES[item.get("state", "up")]
        if not isinstance(name, str) or not name:
            raise BadListError("the id of an entry is not a name")
        started, weight = int(item.get("started_ms") or 0), float(item.get("weight", 1.0))
        if not (math.isfinite(weight) and weight >= 0.0):
            raise BadListError(f"invalid weight: {weight}")
        return api.Entry(
            worker=self._servers.number_of(name),
            zone=self._index(self._zones, item.get("zone", 0)),
            cell=int(item.get("cell") or 0),
            kind=self._index(self._kinds, item.get("kind", 0)),
            weight=weight,
            state=state,
            started=self._start_time(name, started) if started else 0,
        )

    def _start_time(self, name: str, unix_ms: int) -> int:
        """Start time of a server on the monotonic clock, in µs.

        The result is kept for as long as `unix_ms` is the same, so that a step of the wall clock does not
        look like a restart of the server."""
        known = self._start_times.get(name)
        if known is None or known[0] != unix_ms:
            known = self._start_times[name] = unix_ms, self._wall_clock.to_monotonic(unix_ms * MS) or 1
        return known[1]

    @staticmethod
    def _index(names: dict[str, int], name: object) -> int:
        index = names.get(name) if isinstance(name, str) else name
        if not isinstance(index, int) or not 0 <= index < max(1, len(names)):
            raise BadListError(f"unknown zone or kind: {name!r}")
        return index
