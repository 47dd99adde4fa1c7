"""Listens before the program's imports, which are most of a start.

From then on the kernel takes connections, and their requests wait in the backlog until the node reads them:
clients wait for a moment instead of being refused.  A start that fails after this resets them."""

from __future__ import annotations

import json
import os
import socket
from time import monotonic_ns

STARTED = monotonic_ns()  # nothing that came in at the kernel was read before
SUCCESSOR = "VIOLETSADDLE_SUCCESSOR"  # names the descriptor that a successor gets from the process it follows


def listen(backlog: int = 511) -> socket.socket | None:
    """The node's listener; None where it can't be had so early.

    Nothing is reported here: what is wrong with the configuration or the address comes up again when the node
    reads it and listens, and is told there.  A process that follows another gets its sockets from that."""
    if SUCCESSOR in os.environ:
        return None
    try:
        told = os.environ.get("RELAY_LISTEN")
        if not told:
            with open(os.environ["RELAY_CONFIG"], encoding="utf-8") as file:
                told = json.load(file)["listen"]
        host, _, port = told.rpartition(":")
        # A name would have to be looked up, and the node takes a port that is free by itself.
        socket.inet_pton(socket.AF_INET, host)
        if not 0 < int(port) < 65536:
            return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        return None
    return listener
