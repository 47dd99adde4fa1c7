"""Wires the parts of one node together, starts it and shuts it down."""

from __future__ import annotations

import gc
import signal
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.error import CannotListenError
from twisted.logger import LogEvent, globalLogBeginner

from violetsaddle import interface as api
from violetsaddle.net.counters import Counters, Sink
from violetsaddle.net.deadlines import Clock, Deadlines, Reactor, SystemClock
from violetsaddle.net.discovery import Discovery
from violetsaddle.net.edge import EdgeFactory, Shared
from violetsaddle.net.flows import Decider, Flows
from violetsaddle.net.limits import Limits
from violetsaddle.net.peers import Peers
from violetsaddle.net.servers import Servers
from violetsaddle.policy import Balancer


class ConfigError(Exception):
    """The configuration can't be used; the text names the key."""


@dataclass(frozen=True)
class Config:
    """What a node is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: Any
    told: api.Settings
    fields: Mapping[str, str]  # names of load report values on the wire, and what they mean
    classes: Sequence[str]
    tenants: Sequence[str]
    peer_listen: tuple[str, int] | None
    peers: Sequence[tuple[str, int]]
    peers_all: tuple[str, int] | None
    zones: Sequence[str]
    kinds: Sequence[str]


def unchanged(limits: Limits) -> Limits:
    return limits


class Keeper(Protocol):
    """Keeps what the node has learned, and gives it back at the next start."""

    def recall(self) -> None:
        """The known list has been taken in; nothing listens yet."""

    def meet(self, peers: Peers) -> None:
        """Peers can be heard and told."""

    def close(self, done: Callable[[], None]) -> None:
        """The last flow is over; `done` is called once nothing is left to do."""


class Node:
    def __init__(self, reactor: Reactor, config: Config, reread: Callable[[], Config],
                 adjust: Callable[[Limits], Limits] = unchanged, log: Sink | None = None,
                 clock: Clock | None = None, decider: Decider = Balancer,
                 keep: Callable[[Node], Keeper] | None = None) -> None:
        """`adjust`, `log` and `keep` are what an operator file asks for; without a clock it is the
        machine's."""
        clock = self.clock = clock or SystemClock()
        self.reactor, self.config, self._reread = reactor, config, reread
        self.limits = adjust(Limits.of(config.told, config.sockets))
        self.counters = Counters(config.name, log)
        self.deadlines = Deadlines(reactor, clock, self.counters.fault)
        if log is not None:
            log.timer = self.deadlines.after
        self.flows = Flows(config.told, config.classes, config.tenants, config.seed, self.limits,
                           self.deadlines, self.counters, decider)
        self.servers = Servers(reactor, self.limits, self.deadlines, self.counters, self.flows, config.told,
                               config.fields)
        self.discovery = Discovery(reactor, self.limits, self.deadlines, self.counters, self.flows,
                                   self.servers, config.discovery, config.zones, config.kinds, clock)
        self.flows.carrier, self.flows.watcher = self.servers, self.discovery
        self.edge = EdgeFactory(Shared(self.flows, self.limits, self.deadlines, self.counters,
                                       self.servers.report))
        self.counters.held = self.held
        self._port: Any = None  # None: not listening
        self._stopping = self._ended = False
        self._saving = False  # the keeper has still something to do
        self.keeper = keep(self) if keep is not None else None

    def start(self, listener: socket.socket | None = None) -> None:
        """Listens; raises `CannotListenError`, or `BadList` where the known list can't be read.

        `listener`: listens already, at the address of the configuration; it is taken over."""
        if self.config.known:
            self.discovery.take(self.config.known, api.DISK)
        if self.keeper is not None:
            self.keeper.recall()
        host, port = self.config.listen
        if self.config.peer_listen is not None and self.config.told.may_tell:
            peers = Peers(self.reactor, self.limits, self.counters, self.flows, self.config.peers,
                          self.config.peers_all)
            peers.listen(self.config.peer_listen)
            self.flows.teller = peers
            if self.keeper is not None:
                self.keeper.meet(peers)
        if listener is None:
            self._port = self.reactor.listenTCP(port, self.edge, self.limits.backlog, host)
        else:
            listener.listen(self.limits.backlog)  # again: it may be another one
            self._port = self.reactor.adoptStreamPort(listener.fileno(), listener.family, self.edge)
            listener.close()  # the reactor has a copy
        self.edge.hold = self._hold
        at = self._port.getHost()
        self.counters.say(f"listening on {at.host}:{at.port}")

    def held(self) -> dict[str, int]:
        """What the node holds now; after its end each must be 0."""
        return {"flows": len(self.flows), "edge": len(self.edge.shared.connections),
                "servers": self.servers.held}

    def _hold(self, held: bool) -> None:
        if self._port is not None:
            if held:
                self._port.stopReading()
            else:
                self._port.startReading()

    def reload(self) -> None:
        """The configuration was replaced: discovery may be elsewhere.  All else needs a new start."""
        try:
            config = self._reread()
        except Exception as error:  # guards against a file that nobody foresaw: the old one holds
            named = error if isinstance(error, ConfigError) else f"{type(error).__name__}: {error}"
            self.counters.add("reloads_bad")
            self.counters.say(f"goes on with the old configuration: {named}".replace("\n", " ")[:300])
            return
        self.counters.add("reloads")
        self.counters.say("discovery is at {}:{}".format(*config.discovery))
        self.discovery.move(config.discovery)

    def stop(self) -> None:
        """First goes on as before: clients and the front learn of it only after a while."""
        if not self._stopping:
            self._stopping = True
            self.counters.say("stopping")
            self.flows.last_word = self.deadlines.now() + self.limits.last_word
            self.deadlines.after(self.limits.linger, self._hurry)
            self.deadlines.after(self.limits.keep_asking, self.edge.announce)
            self.deadlines.after(self.limits.keep_idle, self._close)

    def _hurry(self) -> None:
        """No new connections come any more, but clients use the ones they have: where the other nodes of the
        zone are down too, these are their only way.  New flows must end before SIGKILL may come."""
        self.counters.say("new flows end by the last word")
        self.flows.ending = True

    def _close(self) -> None:
        """What is owed is still finished; real servers call back at the node's address, so it stays open
        for them until then."""
        self.edge.close_soon()
        self.flows.when_idle = self._finish
        if not len(self.flows):
            self._finish()

    def _finish(self) -> None:
        """Nothing is owed any more."""
        self.flows.when_idle = None
        self.discovery.stop()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        self.edge.when_empty = self._done
        self.edge.close_all()
        self.deadlines.after(self.limits.farewell, self._end)
        if self.keeper is not None:
            self._saving = True
            self.keeper.close(self._saved)
        self._done()

    def _saved(self) -> None:
        self._saving = False
        self._done()

    def _done(self) -> None:
        if not self._saving and not len(self.edge.shared.connections):
            self._end()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.reactor.callLater(0, self.reactor.stop)

    def observe(self, event: LogEvent) -> None:
        """What Twisted caught for us must be seen: it would pass in silence."""
        failure = event.get("log_failure")
        if failure is not None:
            self.counters.fault("caught by Twisted", failure.value)


def run(config: Config, reread: Callable[[], Config], adjust: Callable[[Limits], Limits] = unchanged,
        log: Sink | None = None, keep: Callable[[Node], Keeper] | None = None,
        listener: socket.socket | None = None) -> int:
    """Runs a node until its end and gives the program's status; `listener`: see `Node.start`."""
    from twisted.internet import reactor  # the default one: epoll where there is epoll

    gc.enable()  # the program's imports are done
    node = Node(reactor, config, reread, adjust, log, keep=keep)
    observer: Any = node.observe  # its interface is declared in a way that type checkers can't read
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    running: Reactor = reactor
    for number, what in ((signal.SIGTERM, node.stop), (signal.SIGINT, node.stop),
                         (signal.SIGHUP, node.reload), (signal.SIGUSR1, node.counters.show)):
        signal.signal(number, lambda *_, what=what: running.callFromThread(what))
    try:
        node.start(listener)
    except CannotListenError as error:
        node.counters.say(f"listen: {error}")
        return 1
    # What lives as long as the program is no work for the collector.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    running.run(installSignalHandlers=False)
    node.counters.show()
    return 0
