"""Discovery: the list of real servers, watched for as long as it answers."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as Reason

from violetsaddle import interface as api
from violetsaddle.net import http
from violetsaddle.net.connections import BrokenError, NotConnectedError, ServerConnection, dial
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Clock, Deadlines, Reactor
from violetsaddle.net.limits import MS, Limits
from violetsaddle.net.requests import Requests
from violetsaddle.net.servers import Servers
from violetsaddle.net.wall_clock import WallClock

MOST_DOUBLINGS = 2  # of the time for an answer, after calls that were given up: 1.1 s, 2.2 s, 4.4 s
STATES = {"up": api.ACTIVE, "draining": api.DRAINING, "removed": api.GONE}


class BadListError(Exception):
    """What discovery gave is no list; the text names the fault."""


def address(text: object, least: int = 1) -> tuple[str, int]:
    """Host and port of `host:port`, the port at least `least`; raises `BadListError`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (host + port).isascii() or not port.isdigit() or not least <= int(port) < 65536:
        raise BadListError(f"addr is no address: {text!r}")
    return host, int(port)


class Discovery:
    """Implements `requests.DiscoveryPoller`."""

    def __init__(
        self,
        reactor: Reactor,
        limits: Limits,
        deadlines: Deadlines,
        counters: Counters,
        requests: Requests,
        servers: Servers,
        at: tuple[str, int],
        zones: Sequence[str],
        kinds: Sequence[str],
        clock: Clock,
    ) -> None:
        """`at`: discovery's host and port; `zones`, `kinds`: names in the order of the module's numbers."""
        self._reactor, self._limits, self._deadlines, self._counters = reactor, limits, deadlines, counters
        self._requests, self._servers, self._host, self._port = requests, servers, *at
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._wall = WallClock(clock)  # discovery tells Unix time, the module's clock is the monotonic one
        self._starts: dict[str, tuple[int, int]] = {}  # of each server: as discovery tells it, and placed
        self._version: int | None = None  # of the list held; None: none is
        self._connection: ServerConnection | None = None
        self._watching = False
        self._running: Deferred[None] | None = None
        self._round = 0  # a watch that was moved away must not speak for the present one
        self._stopped = False
        self._doubt = False  # the last call failed
        self._given_up = 0  # calls in a row, after one that failed, that had no answer in their time
        self._entries: dict[str, api.Entry] = {}  # of the list held, by name
        self._asked = deadlines.now()  # when the list held was last known to hold
        self.seen: list[Callable[[Any, str], object]] = []  # hear of each list taken in, and from where

    def take(self, told: Any, kind: str | None = None) -> None:
        """Hands a list on; raises `BadListError`, and then nothing of it counts."""
        try:
            version, whole, items = int(told["version"]), bool(told["full"]), list(told["servers"])
            entries, gone = [], []
            drained: set[str] = set()
            addresses: dict[str, tuple[str, int]] = {}
            for item in items:
                entry, name = self._entry(item), item["id"]
                entries.append(entry)
                if entry.state == api.GONE:
                    gone.append(name)
                    addresses.pop(name, None)  # of two entries with one name the last counts
                else:
                    addresses[name] = address(item.get("addr"))
                    (drained.add if entry.state == api.DRAINING else drained.discard)(name)
        except (BadListError, KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
            self._servers.prune()
            self._take_drains(told)
            if isinstance(error, BadListError):
                raise
            raise BadListError(f"{type(error).__name__}: {error}") from None
        self._version = version
        if kind is None:
            self._counters.most("list_age_most_ms", (self._deadlines.now() - self._asked) // MS)
        for hears in self.seen:
            hears(told, f"{self._host}:{self._port}")
        self._servers.update_addresses(addresses, gone, whole, drained)
        self._entries = {} if whole else self._entries
        for item, entry in zip(items, entries):
            self._entries[item["id"]] = entry
        for name in gone:
            self._entries.pop(name, None)
        self._starts = {name: start for name, start in self._starts.items() if name in self._entries}
        self._requests.listed(kind or (api.SNAPSHOT if whole else api.DIFF), entries)

    def _take_drains(self, told: Any) -> None:
        """Of a list that can't be taken: who wants nothing more.  That is told all the same, and one entry
        that nobody understands must not hide it."""
        try:
            states = {item["id"]: item.get("state") for item in told["servers"]}
            left = self._entries.keys() - states if told["full"] else set[str]()
        except (KeyError, TypeError, AttributeError):
            return
        ends: dict[str, str] = {name: api.GONE for name in left}
        for name, state in states.items():
            if name in self._entries and state in ("draining", "removed"):
                ends[name] = STATES[state]
        ends = {name: state for name, state in ends.items() if self._entries[name].state != state}
        if not ends:
            return
        entries = [self._entries[name]._replace(state=state) for name, state in ends.items()]
        gone = [name for name, state in ends.items() if state == api.GONE]
        self._servers.drain(ends.keys() - gone)
        self._servers.update_addresses({}, gone, False)
        for name, entry in zip(ends, entries):
            self._entries[name] = entry
        for name in gone:
            del self._entries[name]
        self._requests.listed(api.DIFF, entries)

    def _entry(self, item: dict[str, Any]) -> api.Entry:
        name, state = item["id"], STATES[item.get("state", "up")]
        if not isinstance(name, str) or not name:
            raise BadListError("an entry's id is no name")
        started, weight = int(item.get("started_ms") or 0), float(item.get("weight", 1.0))
        if not (math.isfinite(weight) and weight >= 0.0):
            raise BadListError(f"no weight: {weight}")
        return api.Entry(
            worker=self._servers.number_of(name),
            zone=self._index(self._zones, item.get("zone", 0)),
            cell=int(item.get("cell") or 0),
            kind=self._index(self._kinds, item.get("kind", 0)),
            weight=weight,
            state=state,
            started=self._started(name, started) if started else 0,
        )

    def _started(self, name: str, stamp_ms: int) -> int:
        """When a server started, on the node's clock.  What was placed once stays: a step of the wall clock
        must not look like a restart."""
        known = self._starts.get(name)
        if known is None or known[0] != stamp_ms:
            known = self._starts[name] = stamp_ms, self._wall.place(stamp_ms * MS) or 1
        return known[1]

    @staticmethod
    def _index(names: dict[str, int], name: object) -> int:
        index = names.get(name) if isinstance(name, str) else name
        if not isinstance(index, int) or not 0 <= index < max(1, len(names)):
            raise BadListError(f"unknown zone or kind: {name!r}")
        return index

    def watch(self) -> None:
        """Asks for the list or its changes, unless a call is under way or it was stopped."""
        if self._watching or self._stopped:
            return
        self._watching = True
        self._running = Deferred.fromCoroutine(self._watch(self._round))
        self._running.addErrback(self._failed, self._round)

    def move(self, at: tuple[str, int]) -> None:
        """Discovery is at another address: the watch goes on there at once, from the whole list, for the
        versions there may be others."""
        if at == (self._host, self._port):
            return
        self._host, self._port = at
        self._round += 1
        self._version, self._watching, self._given_up = None, False, 0
        if self._running is not None:
            self._running.cancel()
        self._hang_up()
        self.watch()

    def stop(self) -> None:
        """Hangs up; from then on nothing is asked."""
        self._stopped = True
        self._hang_up()

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
            self._connection = None

    def _failed(self, reason: Reason, round: int) -> None:
        """A fault of our own is a failed call too: the module asks again."""
        self._counters.fault("the watch failed", reason.value)
        self._over(round)

    def _over(self, round: int) -> None:
        if round != self._round:
            return
        self._watching, self._doubt = False, True
        self._hang_up()
        if not self._stopped:
            self._requests.listed(api.LIST_ERROR, ())

    async def _watch(self, round: int) -> None:
        """Asks again as soon as an answer is taken in, until a call fails."""
        try:
            while not self._stopped:
                answer = await self._call()
                if answer.status != 200:
                    self._counters.add("watch_refused")
                    self._counters.event("watch refused", "warning", status=answer.status)
                    break
                held = self._version
                self.take(json.loads(bytes(answer.body)))
                self._doubt, self._given_up, self._asked = False, 0, self._deadlines.now()
                if self._version == held:
                    # Guards against a discovery that answers at once with nothing new: it must not spin.
                    await self._pause()
        except (NotConnectedError, BrokenError, CancelledError):
            wrong = self._connection.parse_error if self._connection is not None else ""
            if round == self._round and wrong:
                # The list before stays in force.
                self._counters.add("watch_bad")
                self._counters.say(
                    f"discovery's answer can't be taken: {wrong}"
                    f" (a list may hold {self._limits.list_body} bytes)"
                )
            elif round == self._round:
                self._counters.add("watch_broken")
                self._counters.event("watch broken", "warning", at=f"{self._host}:{self._port}")
        except (BadListError, ValueError, RecursionError) as error:
            self._counters.add("watch_bad")
            self._counters.say(f"discovery gave a bad list: {error}"[:300])
        self._over(round)

    def _pause(self) -> Deferred[None]:
        over: Deferred[None] = Deferred()
        self._deadlines.after(self._limits.watch_pause, lambda: over.callback(None))
        return over

    async def _call(self) -> http.Message:
        if self._connection is None or not self._connection.open:
            self._connection = await dial(
                self._reactor,
                self._deadlines,
                self._limits.dial,
                self._host,
                self._port,
                lambda: ServerConnection(self._limits, lambda _: None, self._limits.list_body),
            )
        target = "/discovery/hosts"
        # Version 0 is one like any other: without `after` each call would bring the whole list at once.
        # After a failure with a short wait: what was missed may count as told soon, and discovery may fall
        # silent again.  But never for the whole list where changes would do: its lines cost discovery more
        # than the call, and forty nodes that ask for them keep it overbooked.
        # An overbooked discovery lets calls wait for their turn, for how long no setting tells.  One that is
        # given up goes to the end of the queue: a node that always gives up too soon is never answered.
        late_after = answer_within = self._limits.ask << min(self._given_up, MOST_DOUBLINGS)
        if self._version is not None:
            wait = self._limits.doubt_wait if self._doubt else self._limits.watch_wait
            late_after = wait + (answer_within if self._doubt else self._limits.watch_grace)
            target += f"?after={self._version}&wait_ms={wait // MS}"
        self._counters.add("watch_calls")
        calling = self._connection.exchange([http.request("GET", target, f"{self._host}:{self._port}")])
        late = self._deadlines.after(late_after, lambda: self._give_up(calling))
        try:
            return await calling
        finally:
            self._deadlines.drop(late)

    def _give_up(self, calling: Deferred[http.Message]) -> None:
        """No answer came in time.  After the first one, which shows a watch that fell silent, each next call
        waits longer."""
        self._given_up += self._doubt
        calling.cancel()
