"""Opens the listening socket before the program's imports, which take most of the start time.

From then on the kernel accepts connections, and their requests wait in the backlog until the node reads them:
clients wait for a moment instead of being refused.  If the start fails later, these connections are
reset."""

from __future__ import annotations

import json
import os
import socket
from time import monotonic_ns

STARTED = monotonic_ns()  # ns; the process read nothing from any socket before this time
# Environment variable with the file descriptor that a successor inherits from the process it replaces.
SUCCESSOR = "VIOLETSADDLE_SUCCESSOR"


def listen(backlog: int = 511) -> socket.socket | None:
    """Returns the node's listening socket; None if it can't be opened this early.

    `backlog`: the most connections that wait to be accepted.  Errors are not reported here: the node meets an
    error in the configuration or the address again when it reads the configuration and listens, and reports
    it then.  A process that replaces another one inherits its sockets, so it gets None too."""
    if SUCCESSOR in os.environ:
        return None
    try:
        address = os.environ.get("RELAY_LISTEN")
        if not address:
            with open(os.environ["RELAY_CONFIG"], encoding="utf-8") as file:
                address = json.load(file)["listen"]
        host, _, port = address.rpartition(":")
        # Only numeric addresses: a host name needs a lookup.  Port 0, any free port, is left to the node.
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
