"""Runs the program with the collector off; SIGUSR2 makes it print how many objects of each kind live."""

from __future__ import annotations

import gc
import signal
import sys
from collections import Counter
from socket import socket

from violetsaddle import __main__
from violetsaddle.net.node import Node
from violetsaddle.net.requests import Attempt, Request

COUNTED = (
    "Request",
    "Attempt",
    "net.Request",
    "net.Attempt",
    "Deferred",
    "Deadline",
    "HttpOrder",
    "EdgeConnection",
    "ServerConnection",
    "RealServer",
    "Worker",
    "_Dial",
    "Client",
    "Server",
    "Connector",
)


def kind(cls: type) -> str:
    """The class's name; the network part has two that are called as two of the module's are."""
    return f"net.{cls.__name__}" if cls in (Request, Attempt) else cls.__name__


def count(*_: object) -> None:
    gc.unfreeze()
    kinds = Counter(kind(type(held)) for held in gc.get_objects())
    print("alive", " ".join(f"{name}={kinds[name]}" for name in COUNTED), file=sys.stderr, flush=True)


start = Node.start


def started(node: Node, listener: socket | None = None) -> None:
    start(node, listener)
    gc.disable()
    signal.signal(signal.SIGUSR2, count)


Node.start = started  # type: ignore[method-assign,assignment]
sys.exit(__main__.main())
