"""Starts one control process: checks its arguments, opens its store, and runs it until SIGTERM."""

from __future__ import annotations

import json
import resource
import signal
import sys
from collections.abc import Callable, Sequence
from random import SystemRandom
from typing import Any, cast

import msgspec
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from violetsaddle import settings
from violetsaddle.control.driver import Driver, Written
from violetsaddle.control.server import ControlFactory
from violetsaddle.control.store import StepHook, Store, StoreError, ignore_step
from violetsaddle.control.transport import PeerLink
from violetsaddle.decide.document import baseline_of
from violetsaddle.decide.replication import new_replica
from violetsaddle.decide.replication_messages import Durable
from violetsaddle.interface import SettingsError
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Deadlines, Reactor, SystemClock
from violetsaddle.net.limits import MS, SECOND, SPARE_DESCRIPTORS, Limits

MOST_NAME = 64  # characters of a replica's name
FAREWELL = 2 * SECOND  # for writes under way and the last answers
LOOK_EVERY = 20 * MS


class ArgumentError(Exception):
    """An argument or file that can't be used; one line says why."""


def replica_name(text: str, key: str) -> str:
    """A name that may stand in messages and logs; `key` names it in errors.  Raises `ArgumentError`."""
    if (
        not 0 < len(text) <= MOST_NAME
        or not all(c.isalnum() or c in "-_." for c in text)
        or not text.isascii()
    ):
        raise ArgumentError(f"{key}: expected a name of letters, digits, - _ and ., not {text[:80]!r}")
    return text


def endpoint(text: str, key: str, least: int = 1) -> tuple[str, int]:
    """`host:port`; `least`: the lowest port.  Raises `ArgumentError`."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not least <= int(port) < 65536:
        raise ArgumentError(f"{key}: expected host:port, not {text[:80]!r}")
    return host, int(port)


def endpoints(name: str, peers: Sequence[str]) -> dict[str, tuple[str, int]]:
    """Where the other two are, by name.  Raises `ArgumentError`."""
    found: dict[str, tuple[str, int]] = {}
    for peer in peers:
        of, mark, at = peer.partition("=")
        if not mark:
            raise ArgumentError(f"--peer: expected NAME=host:port, not {peer[:80]!r}")
        found[replica_name(of, "--peer")] = endpoint(at, "--peer")
    if len(found) != 2 or len(peers) != 2 or name in found:
        raise ArgumentError("--peer: expected the two other replicas, each by a name of its own")
    return found


def baseline(path: str) -> dict[str, Any]:
    """Version 0: what all nodes' settings have in common.  Raises `ArgumentError`."""
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ArgumentError(f"--settings: {path}: {getattr(error, 'strerror', None) or error}") from None
    found = table.get("settings") if isinstance(table, dict) else None
    if not isinstance(found, dict):
        raise ArgumentError(f"--settings: {path}: expected a node's configuration with an object `settings`")
    try:
        settings.read(found)
    except SettingsError as error:
        raise ArgumentError(f"--settings: {path}: {error}") from None
    return baseline_of(found)


def durable(store: Store) -> Durable | None:
    """What the replica wrote last; raises `StoreError`."""
    data = store.state()
    if data is None:
        return None
    try:
        return msgspec.json.decode(data, type=Durable)
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreError(f"{store.path}: its state can't be read: {error}") from None


class Control:
    """One replica with everything round it."""

    def __init__(
        self,
        reactor: Reactor,
        name: str,
        listen: tuple[str, int],
        peers: dict[str, tuple[str, int]],
        store: Store,
        told: dict[str, Any],
        new: bool,
    ) -> None:
        """Raises `StoreError`."""
        held = durable(store)
        self._reactor, self._listen, self._store = reactor, listen, store
        clock, chance = SystemClock(), SystemRandom()
        self.counters = Counters(name)
        self._deadlines = Deadlines(reactor, clock, self.counters.fault)
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        usable = max(16, files - SPARE_DESCRIPTORS)
        limits = Limits(
            edge_connections=usable, server_connections=len(peers), server_idle=SECOND, dial=SECOND
        )
        self._links = {
            peer: PeerLink(reactor, self._deadlines, limits, self.counters, host, port)
            for peer, (host, port) in peers.items()
        }
        state = new_replica(name, tuple(sorted(peers)), held, chance.getrandbits(32), new)
        self._driver = Driver(
            state, store, self._links, self._deadlines, clock, self.counters, told, chance, self._aside
        )
        self._factory = ControlFactory(self._driver, limits, self._deadlines, self.counters)
        self._driver.on_commit = self._factory.watches.wake
        self.counters.held = lambda: {
            "connections": len(self._factory.connections),
            "watches": len(self._factory.watches),
        }
        self._held, self._port, self._stopping = held, cast(Any, None), False

    def _aside(self, work: Callable[[], None], done: Written) -> None:
        reactor = self._reactor

        def run() -> None:
            try:
                work()
            except Exception as error:
                reactor.callFromThread(done, error)
            else:
                reactor.callFromThread(done, None)

        reactor.callInThread(run)

    def start(self) -> None:
        """Raises `CannotListenError`."""
        host, port = self._listen
        self._port = self._reactor.listenTCP(port, self._factory, 511, host)
        at = self._port.getHost()
        number = self._held.number if self._held is not None else 0
        what = "an empty store" if self._held is None else f"version {number}"
        self.counters.most("version", number)
        self.counters.say(f"listening on {at.host}:{at.port}, {self._driver.state}, {what}")
        self._driver.start()

    def stop(self) -> None:
        """Takes nothing new, answers what is owed, and ends the program."""
        if self._stopping:
            return
        self._stopping = True
        self.counters.say("stopping")
        self._port.stopListening()
        self._factory.close()
        self._look(self._deadlines.now() + FAREWELL)

    def _look(self, until: int) -> None:
        if self._factory.connections and self._deadlines.now() < until:
            self._deadlines.after(LOOK_EVERY, lambda: self._look(until))
            return
        self._driver.end()
        for link in self._links.values():
            link.end()
        for connection in list(self._factory.connections):
            connection.abort()
        self._reactor.stop()


def main(
    name: str,
    listen: str,
    peers: Sequence[str],
    store: str,
    settings_file: str,
    new: bool,
    step: StepHook = ignore_step,
) -> int:
    """Runs a replica and gives the program's status; `step`: see `Store`."""
    try:
        replica_name(name, "--name")
        at, others = endpoint(listen, "--listen", least=0), endpoints(name, peers)
        told = baseline(settings_file)
    except ArgumentError as error:
        print(f"violetsaddle: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        opened = Store(store, name, step)
    except StoreError as error:
        print(f"violetsaddle: --store: {error}".replace("\n", " "), file=sys.stderr)
        return 1
    try:
        return _run(name, at, others, opened, told, new)
    except StoreError as error:
        print(f"violetsaddle: --store: {error}".replace("\n", " "), file=sys.stderr)
        return 1
    finally:
        opened.close()


def _run(
    name: str,
    listen: tuple[str, int],
    peers: dict[str, tuple[str, int]],
    store: Store,
    told: dict[str, Any],
    new: bool,
) -> int:
    from violetsaddle.net import reactor as own

    own.install()
    from twisted.internet import reactor

    running: Reactor = reactor
    control = Control(running, name, listen, peers, store, told, new)

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            control.counters.fault("the reactor caught a fault", failure.value)

    observer: Any = observe
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number, what in (
        (signal.SIGTERM, control.stop),
        (signal.SIGINT, control.stop),
        (signal.SIGUSR1, control.counters.show),
    ):
        signal.signal(number, lambda *_, what=what: running.callFromThread(what))
    try:
        control.start()
    except CannotListenError as error:
        control.counters.say(f"listen: {error}")
        return 1
    running.run(installSignalHandlers=False)
    control.counters.show()
    return 0
