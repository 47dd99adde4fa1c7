"""`violetsaddle check`: whether a node could start with these files."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import click


@contextmanager
def _alone(path: str) -> Iterator[None]:
    """The environment with this configuration and nothing that would override its keys."""
    before = {key: os.environ.pop(key) for key in list(os.environ) if key.startswith("RELAY_")}
    os.environ["RELAY_CONFIG"] = path
    try:
        yield
    finally:
        del os.environ["RELAY_CONFIG"]
        os.environ.update(before)


def configuration(path: str) -> str | None:
    """What is wrong with a node's configuration; None: a node can be made of it."""
    from twisted.internet.testing import MemoryReactorClock

    from violetsaddle import interface as api
    from violetsaddle.__main__ import read
    from violetsaddle.interface import SettingsError
    from violetsaddle.net.node import ConfigError, Node
    from violetsaddle.net.server_list import BadListError

    try:
        with _alone(path):
            config = read()
        reactor: Any = MemoryReactorClock
        node = Node(reactor(), config, lambda: config)  # the known list is only read by a whole node
        if config.known:
            node.discovery.take(config.known, api.DISK)
    except BadListError as error:
        return f"known: {error}"
    except (ConfigError, SettingsError) as error:
        return str(error).removeprefix("RELAY_CONFIG: ")
    except Exception as error:  # a value that is read but that no part can work with
        return f"{type(error).__name__}: {error}"
    return None


def operator(path: str) -> str | None:
    """What is wrong with an operator file; None: nothing."""
    try:
        from violetsaddle.operator import OperatorError, load
    except ModuleNotFoundError as error:
        return f"can't be checked: needs the module {error.name}: pip install 'violetsaddle[operator]'"
    try:
        load(path)
    except OperatorError as error:
        return str(error).removeprefix(f"{path}: ")
    return None


def is_json(path: str) -> bool:
    """By the name's ending, else by whether the content begins as a JSON object does."""
    ending = os.path.splitext(path)[1].lower()
    if ending in (".json", ".toml"):
        return ending == ".json"
    try:
        with open(path, "rb") as file:
            return file.read(4096).lstrip().startswith(b"{")
    except (OSError, ValueError):
        return False  # the reader says what is wrong


@click.command(short_help="Check operator files and node configurations.")
@click.argument("files", metavar="FILE...", nargs=-1, required=True)
def command(files: tuple[str, ...]) -> None:
    """Check operator files (TOML) and node configurations (JSON).

    Says `FILE: ok`, or on standard error one line with the key and what was expected. Ends with status 2 if
    any file can't be used. The environment's RELAY_ variables don't count."""
    bad = False
    for path in files:
        wrong = configuration(path) if is_json(path) else operator(path)
        bad = bad or wrong is not None
        line = f"{path}: {wrong or 'ok'}"
        click.echo("".join(c if c.isprintable() else ascii(c)[1:-1] for c in line), err=wrong is not None)
    sys.exit(2 if bad else 0)
