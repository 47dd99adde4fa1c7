"""Wires the parts of one node together, starts it and shuts it down."""

from __future__ import annotations

import gc
import signal
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.error import CannotListenError
from twisted.logger import LogEvent, globalLogBeginner

from violetsaddle import interface as api
from violetsaddle.net.counters import Counters, Sink
from violetsaddle.net.deadlines import Clock, Deadlines, Reactor, SystemClock, nothing
from violetsaddle.net.discovery import Discovery
from violetsaddle.net.edge_factory import EdgeFactory
from violetsaddle.net.edge_shared import FOREVER, Shared
from violetsaddle.net.limits import DEFAULT_MEMORY, MS, Limits
from violetsaddle.net.peers import Peers
from violetsaddle.net.requests import Decider, Requests
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
    settings: Mapping[str, Any] = field(default_factory=dict)  # as the configuration file holds them
    memory: int = DEFAULT_MEMORY  # bytes that the process may occupy


class Upgrades(Protocol):
    """What takes the node's start and its signals where hot upgrades are on."""

    def start(self, listener: socket.socket | None) -> None:
        """As `Node.start`."""

    def asked(self) -> None:
        """On SIGUSR2."""

    def stop(self) -> None:
        """On SIGTERM."""

    def ended(self) -> None:
        """The reactor has stopped."""


def unchanged(limits: Limits) -> Limits:
    """The limits of a node without an operator file."""
    return limits


class Keeper(Protocol):
    """Keeps what the node has learned, and gives it back at the next start."""

    def recall(self, data: bytes | None = None) -> None:
        """The known list has been taken in; nothing is accepted yet.  `data`: what a predecessor gave."""

    def snapshot(self) -> bytes:
        """What is known now, as `recall` takes it."""

    def meet(self, peers: Peers) -> None:
        """Peers can be heard and told."""

    def close(self, done: Callable[[], None]) -> None:
        """The last request is over; `done` is called once nothing is left to do."""


class Configurer(Protocol):
    """Puts newer settings in force while the node works, by `Node.reconfigure`."""

    def begin(self) -> None:
        """The known list has been taken in; nothing is accepted yet."""

    def follow(self) -> None:
        """The node works: asks for newer settings from now on."""

    def meet(self, peers: Peers) -> None:
        """Peers can be heard and told; called after the keeper's."""

    def stop(self) -> None:
        """The last request is over."""


class Node:
    """One node: its parts, wired together, and their life from the first list to the end after SIGTERM."""

    def __init__(
        self,
        reactor: Reactor,
        config: Config,
        reread: Callable[[], Config],
        adjust: Callable[[Limits], Limits] = unchanged,
        log: Sink | None = None,
        clock: Clock | None = None,
        decider: Decider = Balancer,
        keep: Callable[[Node], Keeper] | None = None,
        configure: Callable[[Node], Configurer] | None = None,
    ) -> None:
        """`adjust`, `log`, `keep` and `configure` are what an operator file asks for; without a clock it is
        the machine's."""
        clock = self.clock = clock or SystemClock()
        self.reactor, self.config, self._reread = reactor, config, reread
        self.limits = adjust(Limits.of(config.told, config.sockets, config.memory))
        self.counters = Counters(config.name, log)
        behind: Callable[[], int] = getattr(reactor, "behind", lambda: FOREVER)
        self.deadlines = Deadlines(reactor, clock, self.counters.fault)
        if log is not None:
            log.timer = self.deadlines.after
        self.requests = Requests(
            config.told,
            config.classes,
            config.tenants,
            config.seed,
            self.limits,
            self.deadlines,
            self.counters,
            decider,
        )
        self.servers = Servers(
            reactor,
            self.limits,
            self.deadlines,
            self.counters,
            self.requests,
            config.told,
            config.fields,
            behind,
        )
        self.discovery = Discovery(
            reactor,
            self.limits,
            self.deadlines,
            self.counters,
            self.requests,
            self.servers,
            config.discovery,
            config.zones,
            config.kinds,
            clock,
        )
        self.requests.attempt_sender, self.requests.discovery = self.servers, self.discovery
        self.servers.read_lists = self.discovery.read_arrived
        if self.limits.silence:
            from violetsaddle.decide.recovery import Recovery

            self.requests.recovery = Recovery(self.deadlines.now(), self.limits.silence)
        self.edge = EdgeFactory(
            Shared(
                self.requests,
                self.limits,
                self.deadlines,
                self.counters,
                self.servers.report,
                behind,
            )
        )
        self.counters.held = self.held
        self._port: Any = None  # None: not listening
        self._peers: Peers | None = None
        self._paused = False  # another process of this node accepts
        self._saving = False  # the keeper has still something to do
        self.keeper = keep(self) if keep is not None else None
        self.configurer = configure(self) if configure is not None else None
        self._stopping = self._closing = self._finishing = self._ended = False
        self.guest: Callable[[], bool] = lambda: False  # another process's requests still need our listener
        self.on_reload: Callable[[], object] = nothing  # the configuration was read again
        self.moved = False  # discovery is where the configuration says, whatever the environment told
        self.status = 0

    def start(self, listener: socket.socket | None = None) -> None:
        """Listens; raises `CannotListenError`, or `BadListError` where the known list can't be read.

        `listener`: listens already, at the address of the configuration; it is taken over."""
        if self.config.known:
            self.discovery.take(self.config.known, api.DISK)
        if self.keeper is not None:
            self.keeper.recall()
        if self.configurer is not None:
            self.configurer.begin()
        self._join(None)
        self.meet()
        if listener is None:
            host, port = self.config.listen
            self._listens(self.reactor.listenTCP(port, self.edge, self.limits.backlog, host))
        else:
            listener.listen(self.limits.backlog)  # again: it may be another one
            self._listens(self.reactor.adoptStreamPort(listener.fileno(), listener.family, self.edge))
            listener.close()  # the reactor has a copy
        self._follow()

    def _follow(self) -> None:
        """Where lists are pushed, what discovery has counts as told whether or not anybody asks: the watch is
        open from the start.  Else the module asks for it in its time."""
        if not self.config.told.must_ask:
            self.discovery.watch()
        if self.configurer is not None:
            self.configurer.follow()

    def adopt(
        self, listener: socket.socket, datagrams: socket.socket | None, known: Any, paused: bool
    ) -> None:
        """The same with copies of sockets that listen already; `known`: the list to begin with; `paused`:
        until `resume`, what comes is another process's."""
        if known or self.config.known:
            self.discovery.take(known or self.config.known, api.DISK)
        if self.configurer is not None:
            self.configurer.begin()
        self._join(datagrams)
        port = self.reactor.adoptStreamPort(listener.fileno(), listener.family, self.edge)
        if paused:
            self._attach(port)
            self.pause()
        else:
            self._listens(port)
        self._follow()

    def meet(self) -> None:
        """Peers can be heard: whoever keeps what was learned may ask them, and whoever knows of newer
        settings may tell them."""
        if self._peers is not None:
            if self.keeper is not None:
                self.keeper.meet(self._peers)
            if self.configurer is not None:
                self.configurer.meet(self._peers)

    def reconfigure(self, told: api.Settings) -> None:
        """Other settings for requests that come from now on; raises `SettingsError` where they differ in what
        can't change at work."""
        self.requests.reconfigure(told)

    def _join(self, datagrams: socket.socket | None) -> None:
        if self.config.peer_listen is not None and self.config.told.may_tell:
            peers = self._peers = Peers(
                self.reactor,
                self.limits,
                self.counters,
                self.requests,
                self.config.peers,
                self.config.peers_all,
                self.config.told.me,
            )
            if datagrams is None:
                peers.listen(self.config.peer_listen)
            else:
                peers.adopt(datagrams.fileno(), datagrams.family)
            self.requests.peer_sender = peers

    def _attach(self, port: Any) -> None:
        """From now on connections come from this listening port."""
        self._port, gate = port, self.edge.gate
        gate.hold = self._hold
        gate.is_backlog_empty = getattr(port, "is_backlog_empty", gate.is_backlog_empty)

    def _listens(self, port: Any) -> None:
        self._attach(port)
        at = port.getHost()
        self.counters.say(f"listening on {at.host}:{at.port}")

    # Where two processes of the node stand beside each other.

    def sockets(self) -> list[int]:
        """Descriptors: of the listener, then of the datagrams' socket if there is one."""
        datagrams = self._peers.fd() if self._peers is not None else None
        return [self._port.fileno(), *([] if datagrams is None else [datagrams])]

    def pause(self) -> None:
        """New connections, datagrams and the word to the peers are another process's from now on."""
        self._paused = True
        self.edge.gate.connections_wait()
        if self._port is not None:
            self._port.stopReading()
        if self._peers is not None:
            self._peers.pause()
        self.requests.peer_sender = None

    def resume(self) -> None:
        """Accepts, reads datagrams and tells peers again after `pause`."""
        self._paused = self.edge.closing = False
        self.requests.when_idle = self.edge.when_empty = None
        self._hold(self.edge.gate.paused)
        if self._peers is not None:
            self._peers.resume()
        self.requests.peer_sender = self._peers

    def drain(self, idle_for: int, empty: Callable[[], None]) -> None:
        """Ends what clients have here: each connection with its next answer, and one that is not used within
        `idle_for` microseconds then.  `empty` is called when nothing is left."""

        def look() -> None:
            if not len(self.requests) and not len(self.edge.shared.connections):
                empty()

        def close_unused() -> None:
            if self._paused:
                self.edge.close_unused()

        self.requests.when_idle = self.edge.when_empty = look
        self.edge.hand_over()
        self.deadlines.after(idle_for, close_unused)
        look()

    def quit(self, status: int) -> None:
        """Ends at once; `status` is the program's."""
        self.status = status
        self._end()

    @property
    def paused(self) -> bool:
        """Another process of this node accepts."""
        return self._paused

    def held(self) -> dict[str, int]:
        """What the node holds now; after its end each must be 0."""
        return {
            "requests": len(self.requests),
            "module_requests": self.requests.module_count,
            "edge": len(self.edge.shared.connections),
            "client_bytes": self.edge.held.total,
            "servers": self.servers.connection_count,
        }

    def _hold(self, held: bool) -> None:
        if self._port is not None:
            if held or self._paused:
                self._port.stopReading()
            else:
                self._port.startReading()

    def reload(self, came: int | None = None) -> None:
        """The configuration was replaced: discovery may be elsewhere.  All else needs a new start.

        `came`: when SIGHUP did, microseconds on the node's clock; None: it is not known."""
        try:
            config = self._reread()
        except Exception as error:  # guards against a file that nobody foresaw: the old one holds
            named = error if isinstance(error, ConfigError) else f"{type(error).__name__}: {error}"
            self.counters.add("reloads_bad")
            self.counters.say(f"goes on with the old configuration: {named}".replace("\n", " ")[:300])
            return
        self.counters.add("reloads")
        self.moved = True
        waited = "" if came is None else f"; SIGHUP came {(self.deadlines.now() - came) // MS} ms ago"
        self.counters.say("discovery is at {}:{}".format(*config.discovery) + waited)
        self.discovery.move(config.discovery)
        self.on_reload()

    def stop(self) -> None:
        """First goes on as before: clients and the front learn of it only after a while."""
        if not self._stopping:
            self._stopping = True
            self.counters.say("stopping")
            self.requests.shutdown_deadline = self.deadlines.now() + self.limits.last_word
            self.deadlines.after(self.limits.linger, self._hurry)
            self.deadlines.after(self.limits.keep_asking, self.edge.announce_close)
            self.deadlines.after(self.limits.keep_idle, self._close)

    def _hurry(self) -> None:
        """No new connections come any more, but clients use the ones they have: where the other nodes of the
        zone are down too, these are their only way.  New requests must end before SIGKILL may come."""
        self.counters.say("new flows end by the last word")
        self.requests.shutting_down = True

    def _close(self) -> None:
        """What is owed is still finished; real servers call back at the node's address, so it stays open
        for them until then."""
        self.edge.close_soon()
        # Who has just come may ask: what was not accepted yet is, before the next turn's deadlines.
        self.deadlines.after(1, self._closed)

    def _closed(self) -> None:
        self._closing = True
        self.requests.when_idle = self.edge.when_gone = self.settle
        self.deadlines.add(max(self.deadlines.now(), self.requests.shutdown_deadline), self.settle)
        self.settle()

    def settle(self) -> None:
        """Ends what is to end, if nothing is owed here nor by the process whose callbacks come to us.

        A connection stays open on which something lies unread, or has come in part: it may be a request."""
        if (
            self._closing
            and not len(self.requests)
            and not self.guest()
            and (not self.edge.has_open_clients or self.deadlines.now() >= self.requests.shutdown_deadline)
        ):
            self.finish()

    def finish(self) -> None:
        """Nothing is owed any more."""
        if self._finishing:
            return
        self._finishing = True
        self.requests.when_idle = self.edge.when_gone = None
        self.discovery.stop()
        if self.configurer is not None:
            self.configurer.stop()
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


def run(
    config: Config,
    reread: Callable[[], Config],
    adjust: Callable[[Limits], Limits] = unchanged,
    log: Sink | None = None,
    keep: Callable[[Node], Keeper] | None = None,
    listener: socket.socket | None = None,
    upgrades: Callable[[Reactor, Node], Upgrades] | None = None,
    told_early: Callable[[], bool] = lambda: False,
    configure: Callable[[Node], Configurer] | None = None,
) -> int:
    """Runs a node until it ends and gives the program's status; `listener`: see `Node.start`; `upgrades`:
    None where they are off; `told_early`: whether the program was told to end before it could."""
    from violetsaddle.net import reactor as own

    own.install()
    from twisted.internet import reactor

    gc.enable()  # the program's imports are done
    node = Node(reactor, config, reread, adjust, log, keep=keep, configure=configure)
    observer: Any = node.observe  # its interface is declared in a way that type checkers can't read
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    running: Reactor = reactor
    life = upgrades(running, node) if upgrades is not None else None
    stop = node.stop if life is None else life.stop
    for number, what in (
        (signal.SIGTERM, stop),
        (signal.SIGINT, stop),
        (signal.SIGUSR1, node.counters.show),
        *([] if life is None else [(signal.SIGUSR2, life.asked)]),
    ):
        signal.signal(number, lambda *_, what=what: running.callFromThread(what))
    signal.signal(signal.SIGHUP, lambda *_: running.callFromThread(node.reload, node.deadlines.now()))
    running.wake_on_signals()
    try:
        (life or node).start(listener)
    except CannotListenError as error:
        node.counters.say(f"listen: {error}")
        return 1
    if told_early():
        stop()
    # What lives as long as the program is no work for the collector.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    running.run(installSignalHandlers=False)
    if life is not None:
        life.ended()
    node.counters.show()
    return node.status
