"""Starts one real node: reads its configuration and runs it until SIGTERM."""

from __future__ import annotations

import gc
import signal

if __name__ == "__main__":
    # Before all else: the imports below take a while, in which either would end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)
    # The kernel takes connections from here on, and what came with them is owed: the end waits for the start.
    TOLD_TO_END: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda told, _: TOLD_TO_END.append(told))
    # What imports make is kept: the collector would only look through it again and again.  `run` has it back.
    gc.disable()
    from violetsaddle.net import early, lean

    LISTENER = early.listen()
    lean.load()

import json
import os
import resource
import sys
from collections.abc import Callable
from socket import socket
from typing import TYPE_CHECKING, Any, TextIO, cast

from violetsaddle import settings
from violetsaddle.interface import SettingsError
from violetsaddle.net.early import SUCCESSOR
from violetsaddle.net.limits import DEFAULT_MEMORY, MIB, Limits
from violetsaddle.net.node import Config, ConfigError, Configurer, Keeper, Node, Upgrades, run, unchanged
from violetsaddle.net.outlet import LogStream
from violetsaddle.net.server_list import BadListError, address

if TYPE_CHECKING:
    from violetsaddle.log import Log
    from violetsaddle.operator import Operator


MAX_MEMORY_MB = 1 << 30  # a larger number is taken for a mistake
SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGUSR1, signal.SIGUSR2)


def at(table: dict[str, Any], key: str, told: str | None, least: int = 1) -> tuple[str, int]:
    """An address from the environment, if it tells one, or the configuration."""
    try:
        return address(told or table.get(key), least)
    except BadListError as error:
        raise ConfigError(f"{key}: {error}") from None


def whole(table: dict[str, Any], key: str, default: int) -> int:
    """A whole number above 0 of a table; raises `ConfigError`."""
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ConfigError(f"{key}: must be a whole number above 0, not {value!r}")
    return value


def memory_limit(limits: dict[str, Any]) -> int:
    """Bytes that the process may occupy; the default where the configuration gives no number of megabytes."""
    megabytes = limits.get("memory_mb")
    if (
        isinstance(megabytes, bool)
        or not isinstance(megabytes, (int, float))
        or not 0 < megabytes < MAX_MEMORY_MB
    ):
        return DEFAULT_MEMORY
    return int(megabytes * MIB)


def read(again: bool = False) -> Config:
    """The configuration; `again`: it has been replaced since the start, so that its `discovery` counts
    although the environment told another one then."""
    path = os.environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: is not set")
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    if not isinstance(table, dict):
        raise ConfigError("RELAY_CONFIG: must hold a JSON object")
    env = table.get("settings")
    fields, told = settings.read(env)
    limits = table.get("limits") or {}
    if not isinstance(limits, dict) or not isinstance(env, dict):
        raise ConfigError("limits: must be a table")
    try:
        seed = int(str(table.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: must be hexadecimal, not {table.get('seed')!r}") from None
    peers = table.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers: must be a list")
    return Config(
        name=str(os.environ.get("RELAY_NAME") or table.get("name") or "node"),
        listen=at(table, "listen", os.environ.get("RELAY_LISTEN"), least=0),  # 0: any port that is free
        discovery=at(table, "discovery", None if again else os.environ.get("RELAY_DISCOVERY")),
        seed=seed,
        sockets=min(whole(limits, "sockets", 1024), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        peer_listen=at(table, "peer_listen", None) if table.get("peer_listen") else None,
        peers_all=at(table, "peers_all", None) if table.get("peers_all") else None,
        peers=[at({"peers": peer}, "peers", None) for peer in peers],
        known=table.get("known"),
        told=told,
        fields=fields,
        classes=settings.names(env, "requestClasses"),
        tenants=settings.names(env, "tenants"),
        zones=settings.names(env, "failureDomains"),
        kinds=settings.names(env, "kinds"),
        settings=env,
        memory=memory_limit(limits),
    )


def reread() -> Config:
    """The configuration after SIGHUP; raises `ConfigError`."""
    try:
        return read(again=True)
    except SettingsError as error:
        raise ConfigError(str(error)) from None


def operated(name: str) -> tuple[Callable[[Limits], Limits], Log | None, Operator | None]:
    """What the operator file changes, and the file; where none is named, nothing it needs is imported."""
    path = os.environ.get("RELAY_OPERATOR")
    if not path:
        return unchanged, None, None
    try:
        from violetsaddle import log, operator
    except ModuleNotFoundError as error:
        raise ConfigError(f"RELAY_OPERATOR: needs the package {error.name}, which is not installed") from None
    told = operator.load(path)
    return told.limits_for, log.make(told.log, name, cast(TextIO, LogStream(sys.stderr))), told


def upgrading(
    told: Operator | None, config: Config, step: Callable[[str], None]
) -> Callable[[Any, Node], Upgrades] | None:
    """What makes hot upgrades possible; None, and nothing is imported, where the operator file does not ask
    for them and this process is no successor."""
    follows = os.environ.pop(SUCCESSOR, None)
    if follows is None and (told is None or not told.restart.upgrade):
        return None
    from violetsaddle.net import upgrade

    pair = upgrade.inherited(follows) if follows is not None else None
    restart = upgrade.Told.of(told.restart) if told is not None else upgrade.Told()
    return lambda reactor, node: upgrade.Upgrade(reactor, node, config, restart, pair, step)


def keeping(told: Operator | None) -> Callable[[Node], Keeper] | None:
    """What keeps what a node has learned; None, and nothing is imported, where the operator file does not
    ask for it."""
    if told is None or not told.restart.keeps:
        return None
    from violetsaddle.net import warmth

    return warmth.keeper(told.restart)


def configuring(told: Operator | None) -> Callable[[Node], Configurer] | None:
    """What puts newer settings in force at work; None, and nothing is imported, where the operator file names
    no replicas of them."""
    if told is None or not told.configuration.on:
        return None
    from violetsaddle.net import configuration

    return configuration.subscriber_factory(told.configuration)


def main(
    listener: socket | None = None,
    step: Callable[[str], None] = lambda point: None,
    told_early: Callable[[], bool] = lambda: False,
) -> int:
    """Runs a node and gives the program's status.

    `listener`: listens at its address already; `step` is told of each point of an upgrade: tests end the
    program there; `told_early`: whether it was told to end before it could."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node listens for it
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)  # the same, and for good where upgrades are off
    try:
        config = read()
        adjust, log, told = operated(config.name)
        upgrades = upgrading(told, config, step)
    except (ConfigError, SettingsError) as error:
        print(f"violetsaddle: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        return run(
            config, reread, adjust, log, keeping(told), listener, upgrades, told_early, configuring(told)
        )
    except BadListError as error:
        print(f"violetsaddle: known: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    finally:
        if log is not None:
            log.flush()
        # The interpreter gives handlers their default back as it ends, but for what is ignored: a signal that
        # comes then would end the program with another status.
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main(LISTENER, told_early=lambda: bool(TOLD_TO_END)))
