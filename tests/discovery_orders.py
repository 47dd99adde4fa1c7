"""Plays of one node with a discovery that is slow, refuses, cuts or moves, as servers begin to drain.

Everything that a play does is drawn from its seed: when calls are answered and in which shape, when
connections come up, when a new configuration moves discovery, where the process stands still, and the order
in which it handles what is due at once.  `Play.late` holds the attempts that broke the terms.

When a drain counts as told: as its list has been written whole to the node; 4 s after SIGHUP; 6 s after
discovery had it and could be reached, where calls before were lost or refused.  Times are microseconds."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.reactor_turns import MS, SECOND, Link, Listener, Network, TurnReactor
from tests.wired import Client, Job
from violetsaddle import interface as api
from violetsaddle.net.callbacks import apply_callback
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines
from violetsaddle.net.discovery import Discovery
from violetsaddle.net.edge_shared import Shared
from violetsaddle.net.limits import Limits
from violetsaddle.net.requests import Requests
from violetsaddle.net.servers import Servers

SLACK = 50 * MS  # each time limit is so much longer on sockets
TOLD_AFTER_SIGHUP = 4 * SECOND
TOLD_AFTER_FAILURES = 6 * SECOND
OLD_CLOSES_AFTER = 1500 * MS  # SIGHUP: the old address then closes its open connections
LONGEST_WAIT = 3 * SECOND  # that discovery lets a call wait for its turn
JOB_TIME = 30 * MS
SERVERS = 4
FOREVER = 1 << 60
BAD = ("refused", "cut", "cut in the middle", "malformed", "lost", "hangs up", "dial refused", "dial lost")


@dataclass(frozen=True)
class Weather:
    """What a play draws from; the defaults trouble nothing."""

    longest_wait: int = 0  # of a call for its turn
    shortest_wait: int = 0
    in_turn: bool = False  # one call at a time; what waits longer than `LONGEST_WAIT` is refused
    longest_dial: int = 0
    shortest_dial: int = 0
    bad_for: int = 0  # calls that come so soon after SIGHUP are badly treated
    bad: Sequence[str] = ()
    parts: bool = False  # answers come in pieces, without a length, in chunks
    stalls: int = 0  # how often the process stands still
    longest_stall: int = 0
    moves: int = 1
    shared: bool = True  # the old address of discovery learns of changes until it closes
    grace: int = 500 * MS
    asks: bool = True
    latency: int = 200  # one way
    nodes: int = 1  # of the tier, whose waits between calls grow with it
    bad_before: bool = False  # calls to the first address are badly treated

    @property
    def dials(self) -> tuple[int, int]:
        return self.shortest_dial, self.longest_dial


@dataclass
class Change:
    """A server begins to drain."""

    name: str
    at: int
    version: int
    reachable: int = 0  # 0: not by a move; else SIGHUP, or when calls came to be treated well after it
    moved: int = 0  # SIGHUP, 0: the change is not told by a move
    written: int = 0  # its list, or a later one, was written whole to the node; 0: not yet

    def told(self, stood_still: int) -> int:
        """When it counts as told; `stood_still`: by the process since the change."""
        if self.moved and self.reachable <= self.moved:
            at = max(self.moved, self.at) + TOLD_AFTER_SIGHUP
        else:
            at = max(self.at, self.reachable) + TOLD_AFTER_FAILURES
        at += stood_still
        return min(at, self.written) if self.written else at


class DiscoveryService:
    """What all addresses of discovery serve: one list."""

    def __init__(self, play: Play) -> None:
        self.play, self.version = play, 1
        self.states = {f"s-{n}": "up" for n in range(SERVERS)}
        self.changed = dict.fromkeys(self.states, 1)
        self.watches: list[DiscoveryCall] = []

    def listing(self, after: int | None, newest: int | None = None) -> dict[str, Any]:
        """What has changed after a version, None: everything; `newest`: nothing later is told."""
        newest = self.version if newest is None else newest
        names = [n for n in self.states if after is None or after < self.changed[n] <= newest]
        entries = [
            {
                "id": n,
                "addr": f"box:{n[2:]}1",
                "zone": "z",
                "kind": "k",
                "cell": 0,
                "state": self.states[n] if self.changed[n] <= newest else "up",
            }
            for n in names
        ]
        return {"version": newest, "full": after is None, "servers": entries}

    def drain(self, name: str) -> Change:
        self.version += 1
        self.states[name], self.changed[name] = "draining", self.version
        change = Change(name, self.play.network.now, self.version)
        for call in list(self.watches):
            if call.after is not None and call.address.version > call.after:
                call.answer()
        return change


class Server(Listener):
    """Takes each job, and calls back when it is done."""

    def __init__(self, play: Play, name: str) -> None:
        self.play, self.name = play, name

    def received(self, link: Link, data: bytes) -> None:
        if data.startswith(b"GET "):
            link.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        if data.startswith(b"DELETE "):
            link.send(b"HTTP/1.1 204 None\r\n\r\n")
            return
        job = data.split()[2].decode()
        link.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        self.play.network.after(JOB_TIME, lambda: self.play.event(lambda: self.play.done(job, self.name)))


class DiscoveryCall:
    """A call as discovery sees it."""

    def __init__(self, address: DiscoveryAddress, link: Link, target: str) -> None:
        self.address, self.link, self.play = address, link, address.play
        after, wait = re.search(r"after=(\d+)", target), re.search(r"wait_ms=(\d+)", target)
        self.after = int(after[1]) if after else None
        self.wait = int(wait[1]) * MS if wait else 0
        self.over = False

    def begin(self) -> None:
        """Its turn has come."""
        service, version = self.play.service, self.address.version
        if self.after is not None and version <= self.after:
            service.watches.append(self)
            self.play.network.after(self.wait, self.answer)
        else:
            self.answer()

    def answer(self) -> None:
        if self.over:
            return
        self.over = True
        if self in self.play.service.watches:
            self.play.service.watches.remove(self)
        if self.link.known_closed or self.link.closed_by_peer:
            return
        told = self.play.service.listing(self.after, self.address.version)
        self._write(json.dumps(told).encode(), told["version"])

    def _write(self, body: bytes, version: int) -> None:
        random, link, play = self.play.random, self.link, self.play
        shape = random.choice(("whole", "parts", "no length", "chunks")) if play.weather.parts else "whole"
        head = b"HTTP/1.1 200 OK\r\n"
        if shape == "no length":
            data = head + b"\r\n" + body
        elif shape == "chunks":
            data = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        else:
            data = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        cuts = sorted(random.randrange(1, len(data)) for _ in range(random.randrange(1, 4)))
        pieces = [data] if shape == "whole" else [data[i:j] for i, j in zip([0, *cuts], [*cuts, len(data)])]
        wait = 0
        for piece in pieces[:-1]:
            play.network.after(wait, lambda piece=piece: link.send(piece))  # type: ignore[misc]
            wait += random.randrange(150 * MS)

        def last() -> None:
            if link.known_closed or link.closed_by_peer:
                return
            link.send(pieces[-1])
            if shape == "no length":
                link.close()
            play.written(version)

        play.network.after(wait, last)

    def spoil(self, how: str) -> None:
        """Treats the call badly."""
        link = self.link
        self.over = True
        if how == "refused":
            link.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif how == "cut":
            link.close(reset=True)
        elif how == "cut in the middle":
            link.send(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"version":')
            link.close()
        elif how == "malformed":
            link.send(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{{{")
        elif how == "hangs up":
            link.close()


class DiscoveryAddress(Listener):
    """One address of discovery."""

    def __init__(self, play: Play) -> None:
        self.play, self.listens = play, True
        self.links: list[Link] = []
        self.bad_until = 0
        self._busy_until = 0
        self._newest: int | None = None  # None: it learns of changes

    @property
    def version(self) -> int:
        return self.play.service.version if self._newest is None else self._newest

    def connect(self, link: Link) -> None:
        play = self.play
        if not self.listens:
            link.refuse(play.weather.latency)
            return
        wait = play.weather.latency + play.random.randint(*play.weather.dials)
        how = self._treatment()
        if how == "dial refused":
            link.refuse(wait)
        elif how != "dial lost":
            self.links.append(link)
            link.accept(wait)

    def _treatment(self) -> str:
        play = self.play
        if play.network.now >= self.bad_until or not play.weather.bad:
            return ""
        return play.random.choice(list(play.weather.bad))

    def received(self, link: Link, data: bytes) -> None:
        play = self.play
        call = DiscoveryCall(self, link, data.split()[1].decode())
        play.calls.append((play.network.now, data.split()[1].decode()))
        wait = play.random.randint(play.weather.shortest_wait, play.weather.longest_wait)
        if play.weather.in_turn:
            starts = max(play.network.now, self._busy_until)
            if starts + wait - play.network.now > LONGEST_WAIT:
                play.network.after(LONGEST_WAIT, lambda: call.spoil("refused"))
                return
            self._busy_until = starts + wait
            wait = self._busy_until - play.network.now
        how = self._treatment()
        if how.startswith("dial"):
            how = "refused"
        play.network.after(wait, (lambda: call.spoil(how)) if how else call.begin)

    def ended(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)

    def stop(self) -> None:
        self.listens = False
        if not self.play.weather.shared:
            self._newest = self.play.service.version

    def close(self) -> None:
        for link in self.links:
            link.close(reset=True)


class Event:
    """A socket of the process that is no connection of this play's: a client's, or a callback's."""

    has_event = True

    def __init__(self, what: Any) -> None:
        self.handle = what


@dataclass
class Late:
    """An attempt that began too late."""

    at: int
    told: int
    change: Change = field(repr=False)


class Play:
    """One play, from the node's start until `length` after the first move."""

    def __init__(self, weather: Weather, seed: int) -> None:
        self.weather, self.random = weather, Random(seed)
        self.network = network = Network()
        self._stalls: list[int] = []
        self.reactor = TurnReactor(network, Random(seed + 1), self._stall)
        self.reactor.latency = lambda: weather.latency
        self.reactor.wrote = self._wrote
        self.calls: list[tuple[int, str]] = []
        self.changes: list[Change] = []
        self.late: list[Late] = []
        self.jobs = 0
        self.stood_still: list[tuple[int, int]] = []
        self.service = DiscoveryService(self)
        self.addresses = [DiscoveryAddress(self)]
        self.addresses[0].bad_until = FOREVER if weather.bad_before else 0
        self._listen(0)
        for n in range(SERVERS):
            self.reactor.listeners["box", int(f"{n}1")] = Server(self, f"s-{n}")
        self._make_node(seed)

    def _listen(self, number: int) -> None:
        self.reactor.listeners["discovery", number + 1] = self.addresses[number]

    def _make_node(self, seed: int) -> None:
        weather, reactor = self.weather, self.reactor
        quote = api.RequestClass(aim=200 * MS, deadline=5 * SECOND)
        told = api.Settings(
            classes=(quote,),
            must_ask=weather.asks,
            drain_grace=weather.grace,
            connect_timeout=200 * MS,
            schedulers=weather.nodes,
        )
        self.counters = Counters("n")
        self.faults: list[BaseException | None] = []
        self.counters.fault = lambda text, error: self.faults.append(error)  # type: ignore[method-assign]
        self.limits = Limits.of(told, 1024)
        self.deadlines = Deadlines(reactor, self, self.counters.fault)
        self.requests = Requests(told, ["0"], (), seed, self.limits, self.deadlines, self.counters)
        self.servers = Servers(
            reactor, self.limits, self.deadlines, self.counters, self.requests, told, {}, reactor.behind
        )
        self.requests.attempt_sender = self.servers
        self.shared = Shared(self.requests, self.limits, self.deadlines, self.counters, self.servers.report)
        self.discovery = Discovery(
            reactor,
            self.limits,
            self.deadlines,
            self.counters,
            self.requests,
            self.servers,
            ("discovery", 1),
            ("z",),
            ("k",),
            self,
        )
        self.requests.discovery = self.discovery
        self.servers.read_lists = self.discovery.read_arrived
        self.discovery.take(self.service.listing(None), api.DISK)
        if not weather.asks:
            self.discovery.watch()

    # The clocks.

    def monotonic(self) -> int:
        return self.network.now

    unix = monotonic

    def _stall(self) -> int:
        if not self._stalls or self.network.now < self._stalls[0]:
            return 0
        self._stalls.pop(0)
        stalled = self.random.randint(100 * MS, self.weather.longest_stall)
        self.stood_still.append((self.network.now, stalled))
        return stalled

    # What the parties do.

    def event(self, what: Any) -> None:
        self.reactor.readable[Event(what)] = None

    def done(self, job: str, name: str) -> None:
        apply_callback(self.shared, {"id": job, "from": name, "state": "done", "result": "r"})

    def written(self, version: int) -> None:
        for change in self.changes:
            if change.version <= version and not change.written:
                change.written = self.network.now

    def _wrote(self, link: Link, data: bytes) -> None:
        """The first byte of a message has left the node."""
        if not isinstance(link.listener, Server) or not data.startswith(b"POST"):
            return
        self.jobs += 1
        now = self.network.now
        for change in self.changes:
            stood = sum(length for at, length in self.stood_still if at + length > change.at)
            told = change.told(stood)
            if change.name == link.listener.name and now > told + self.weather.grace + SLACK:
                self.late.append(Late(now, told, change))

    def _arrive(self, number: int) -> None:
        client, name = Client(), f"job-{number}"
        self.requests.arrive(name, "0", None, 5 * SECOND, True, 1.0, None, 0, Job(name), client)

    def _load(self, until: int) -> None:
        number = 0

        def arrive() -> None:
            nonlocal number
            number += 1
            self.event(lambda number=number: self._arrive(number))
            if self.network.now < until:
                self.network.after(self.random.randrange(1, 80 * MS), arrive)

        arrive()

    def move(self, drained: str | None) -> None:
        """A new configuration names another address; SIGHUP."""
        old = self.addresses[-1]
        new = DiscoveryAddress(self)
        new.bad_until = self.network.now + self.weather.bad_for
        self.addresses.append(new)
        number = len(self.addresses) - 1
        self._listen(number)
        now = self.network.now
        for change in self.changes:
            if not change.written:  # told by this move, or earlier
                change.moved, change.reachable = now, new.bad_until
        old.stop()
        if drained is not None:
            self._drain(drained)
            self.changes[-1].moved, self.changes[-1].reachable = now, new.bad_until
        self.reactor.callFromThread(lambda: self.discovery.move(("discovery", number + 1)))
        self.network.after(OLD_CLOSES_AFTER, old.close)

    def _drain(self, name: str) -> None:
        change = self.service.drain(name)
        change.reachable = self.addresses[-1].bad_until
        self.changes.append(change)

    def run(self, length: int = 12 * SECOND) -> Play:
        random, network, weather = self.random, self.network, self.weather
        moved = network.now + 3 * SECOND + random.randrange(3 * SECOND)
        end = moved + length
        self._load(end)
        self._stalls = sorted(moved - 100 * MS + random.randrange(5 * SECOND) for _ in range(weather.stalls))
        network.after(moved - network.now, lambda: self.move("s-0"))
        at = moved
        for _ in range(1, weather.moves):
            at += random.randrange(1, 2 * SECOND)
            network.after(at - network.now, lambda: self.move(None))
        if random.random() < 0.7:
            network.after(moved + random.randrange(5 * SECOND) - network.now, lambda: self._drain("s-1"))
        self.reactor.run(end)
        return self
