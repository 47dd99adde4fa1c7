"""Runs a control process: checks its arguments, opens its store, and serves until SIGTERM."""

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
from violetsaddle.control.driver import Driver, WorkCallback
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

MAX_NAME_LENGTH = 64  # characters of a replica's name
SHUTDOWN_TIMEOUT = 2 * SECOND  # for pending writes and the last answers
SHUTDOWN_POLL_INTERVAL = 20 * MS


class ArgumentError(Exception):
    """Raised for an argument or file that can't be used.  The message is one line."""


def replica_name(text: str, key: str) -> str:
    """Returns a valid replica name.  `key` names the option in errors.  Raises `ArgumentError`."""
    if (
        not 0 < len(text) <= MAX_NAME_LENGTH
        or not all(c.isalnum() or c in "-_." for c in text)
        or not text.isascii()
    ):
        raise ArgumentError(f"{key}: expected a name of letters, digits, - _ and ., not {text[:80]!r}")
    return text


def endpoint(text: str, key: str, min_port: int = 1) -> tuple[str, int]:
    """Parses `host:port`.  `min_port` is the lowest valid port.  Raises `ArgumentError`."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not min_port <= int(port) < 65536:
        raise ArgumentError(f"{key}: expected host:port, not {text[:80]!r}")
    return host, int(port)


def endpoints(name: str, peers: Sequence[str]) -> dict[str, tuple[str, int]]:
    """Returns the addresses of the other two replicas by name.  Raises `ArgumentError`."""
    addresses: dict[str, tuple[str, int]] = {}
    for peer in peers:
        peer_name, separator, address = peer.partition("=")
        if not separator:
            raise ArgumentError(f"--peer: expected NAME=host:port, not {peer[:80]!r}")
        addresses[replica_name(peer_name, "--peer")] = endpoint(address, "--peer")
    if len(addresses) != 2 or len(peers) != 2 or name in addresses:
        raise ArgumentError("--peer: expected the two other replicas, each by a name of its own")
    return addresses


def baseline(path: str) -> dict[str, Any]:
    """Reads version 0, the settings that all nodes share, from a node's configuration file.

    Raises `ArgumentError`."""
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ArgumentError(f"--settings: {path}: {getattr(error, 'strerror', None) or error}") from None
    node_settings = table.get("settings") if isinstance(table, dict) else None
    if not isinstance(node_settings, dict):
        raise ArgumentError(f"--settings: {path}: expected a node's configuration with an object `settings`")
    try:
        settings.read(node_settings)
    except SettingsError as error:
        raise ArgumentError(f"--settings: {path}: {error}") from None
    return baseline_of(node_settings)


def durable(store: Store) -> Durable | None:
    """Returns the state that the replica wrote last, None if there is none.  Raises `StoreError`."""
    data = store.state()
    if data is None:
        return None
    try:
        return msgspec.json.decode(data, type=Durable)
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreError(f"{store.path}: its state can't be read: {error}") from None


class Control:
    """A control process: one replica with its server, store and links."""

    def __init__(
        self,
        reactor: Reactor,
        name: str,
        listen: tuple[str, int],
        peers: dict[str, tuple[str, int]],
        store: Store,
        baseline_settings: dict[str, Any],
        new: bool,
    ) -> None:
        """`baseline_settings` are the settings of version 0.  Raises `StoreError`."""
        stored = durable(store)
        self._reactor, self._listen, self._store = reactor, listen, store
        clock, random = SystemClock(), SystemRandom()
        self.counters = Counters(name)
        self._deadlines = Deadlines(reactor, clock, self.counters.fault)
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        usable = max(16, descriptors - SPARE_DESCRIPTORS)
        limits = Limits(
            edge_connections=usable, server_connections=len(peers), server_idle=SECOND, dial=SECOND
        )
        self._links = {
            peer: PeerLink(reactor, self._deadlines, limits, self.counters, host, port)
            for peer, (host, port) in peers.items()
        }
        state = new_replica(name, tuple(sorted(peers)), stored, random.getrandbits(32), new)
        self._driver = Driver(
            state,
            store,
            self._links,
            self._deadlines,
            clock,
            self.counters,
            baseline_settings,
            random,
            self._run_in_thread,
        )
        self._factory = ControlFactory(self._driver, limits, self._deadlines, self.counters)
        self._driver.on_commit = self._factory.watches.notify
        self.counters.held = lambda: {
            "connections": len(self._factory.connections),
            "watches": len(self._factory.watches),
        }
        self._stored, self._port, self._stopping = stored, cast(Any, None), False

    def _run_in_thread(self, work: Callable[[], None], done: WorkCallback) -> None:
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
        """Listens and starts the replica.  Raises `CannotListenError`."""
        host, port = self._listen
        self._port = self._reactor.listenTCP(port, self._factory, 511, host)
        address = self._port.getHost()
        number = self._stored.number if self._stored is not None else 0
        contents = "an empty store" if self._stored is None else f"version {number}"
        self.counters.most("version", number)
        self.counters.say(f"listening on {address.host}:{address.port}, {self._driver.state}, {contents}")
        self._driver.start()

    def stop(self) -> None:
        """Stops listening, sends the pending answers, and stops the reactor."""
        if self._stopping:
            return
        self._stopping = True
        self.counters.say("stopping")
        self._port.stopListening()
        self._factory.close()
        self._finish_when_idle(self._deadlines.now() + SHUTDOWN_TIMEOUT)

    def _finish_when_idle(self, deadline: int) -> None:
        if self._factory.connections and self._deadlines.now() < deadline:
            self._deadlines.after(SHUTDOWN_POLL_INTERVAL, lambda: self._finish_when_idle(deadline))
            return
        self._driver.stop()
        for link in self._links.values():
            link.close()
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
    """Runs a replica and returns the exit status.  `step`: see `Store`."""
    try:
        replica_name(name, "--name")
        address, others = endpoint(listen, "--listen", min_port=0), endpoints(name, peers)
        baseline_settings = baseline(settings_file)
    except ArgumentError as error:
        print(f"violetsaddle: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        opened_store = Store(store, name, step)
    except StoreError as error:
        print(f"violetsaddle: --store: {error}".replace("\n", " "), file=sys.stderr)
        return 1
    try:
        return _run(name, address, others, opened_store, baseline_settings, new)
    except StoreError as error:
        print(f"violetsaddle: --store: {error}".replace("\n", " "), file=sys.stderr)
        return 1
    finally:
        opened_store.close()


def _run(
    name: str,
    listen: tuple[str, int],
    peers: dict[str, tuple[str, int]],
    store: Store,
    baseline_settings: dict[str, Any],
    new: bool,
) -> int:
    from violetsaddle.net import reactor as own_reactor

    own_reactor.install()
    from twisted.internet import reactor

    running_reactor: Reactor = reactor
    control = Control(running_reactor, name, listen, peers, store, baseline_settings, new)

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            control.counters.fault("the reactor caught a fault", failure.value)

    observer: Any = observe
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for signal_number, handler in (
        (signal.SIGTERM, control.stop),
        (signal.SIGINT, control.stop),
        (signal.SIGUSR1, control.counters.show),
    ):
        signal.signal(signal_number, lambda *_, handler=handler: running_reactor.callFromThread(handler))
    running_reactor.wake_on_signals()
    try:
        control.start()
    except CannotListenError as error:
        control.counters.say(f"listen: {error}")
        return 1
    running_reactor.run(installSignalHandlers=False)
    control.counters.show()
    return 0
