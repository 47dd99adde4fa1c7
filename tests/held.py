"""The real program, stopped at chosen places until the test lets it go on: so a bad order of events comes
every time.

`HELD` names functions as `module:Class.method` or `module:function`, divided by commas, or `import:NAME` for
the import of a module; `HELD_AT` is an address of the test's.  Before each call of one the program connects
there, tells the name in one line and waits for a byte."""

from __future__ import annotations

import importlib
import importlib.abc
import os
import runpy
import select
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from tests.scenario import PATIENCE, Scenario, address, listener

sys.dont_write_bytecode = True


def held(name: str) -> None:
    host, _, port = os.environ["HELD_AT"].rpartition(":")
    with socket.create_connection((host, int(port)), PATIENCE) as at:
        at.sendall(name.encode() + b"\n")
        at.recv(1)


def hold(name: str) -> None:
    module, _, path = name.partition(":")
    owner: Any = importlib.import_module(module)
    *outer, last = path.split(".")
    for part in outer:
        owner = getattr(owner, part)
    function = getattr(owner, last)

    def wrapped(*args: Any, **named: Any) -> Any:
        held(name)
        return function(*args, **named)

    setattr(owner, last, wrapped)


class Imports(importlib.abc.MetaPathFinder):
    def __init__(self, name: str) -> None:
        self.name = name

    def find_spec(self, fullname: str, path: object, target: object = None) -> None:
        if fullname == self.name:
            sys.meta_path.remove(self)
            held("import:" + self.name)


class Held(Scenario):
    """A scenario with `self.hold` named places; `self.at` waits for one and gives what lets it go on."""

    COMMAND = ("-m", "tests.held")

    def start_held(self, names: str, **more: Any) -> None:
        self.held_at = listener()
        self.addCleanup(self.held_at.close)
        self.told = {**self.told, "HELD": names, "HELD_AT": address(self.held_at)}
        self.start(**more)

    def at(self, name: str) -> socket.socket:
        """The program stands before a call of that name; `go` lets it on."""
        told = self.held_at.accept()[0]
        told.settimeout(PATIENCE)
        self.assertEqual(told.makefile().readline().strip(), name)
        return told

    @staticmethod
    def go(stopped: socket.socket) -> None:
        with stopped:
            stopped.sendall(b"x")

    def dialling(self, name: str) -> None:
        """Waits until a connection to this real server is being made."""
        self._in_state(name, "02", "no connection is being made")  # SYN sent

    def connected(self, name: str) -> None:
        """Waits until the kernel has a connection to this real server."""
        self._in_state(name, "01", "no connection is up")

    def _in_state(self, name: str, state: str, fault: str) -> None:
        port, until = self.servers[name].getsockname()[1], time.monotonic() + PATIENCE
        while time.monotonic() < until:
            with open(f"/proc/{self.program.pid}/net/tcp") as file:
                rows = [line.split() for line in file]
            if any(row[2].endswith(f":{port:04X}") and row[3] == state for row in rows):
                return
            select.select([], [], [], 0.01)
        raise AssertionError(fault)

    def crowd_dials(self, name: str) -> Callable[[], None]:
        """From now on connections to this real server hang; what is returned lets them come up."""
        server = self.servers[name]
        server.listen(0)
        taken: list[socket.socket] = []
        while True:  # the kernel takes one or two into the backlog
            more = socket.socket()
            more.setblocking(False)
            more.connect_ex(server.getsockname())
            if not select.select([], [more], [], 0.2)[1]:
                more.close()
                break
            taken.append(more)

        def free() -> None:
            server.listen(100)
            for sock in taken:
                server.accept()[0].close()
                sock.close()

        return free


if __name__ == "__main__":
    for place in filter(None, os.environ.get("HELD", "").split(",")):
        if place.startswith("import:"):
            sys.meta_path.insert(0, Imports(place.removeprefix("import:")))
        else:
            hold(place)
    sys.argv[0] = "violetsaddle"
    runpy.run_module("violetsaddle", run_name="__main__")
