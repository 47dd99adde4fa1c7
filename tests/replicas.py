"""Three real control processes on loopback, connected through relays that tests can interrupt.

The kernel chooses the port on which a process listens. The port is read from the process's log, and the
relays, whose own ports stay the same, are pointed to it. All waits end after `PATIENCE`."""

from __future__ import annotations

import copy
import ctypes
import http.client
import json
import os
import re
import resource
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from tests.scenario import SETTINGS
from tests.tcp_relay import Relay, Relays
from violetsaddle.decide.document import digest
from violetsaddle.lab.live.children import PR_SET_PDEATHSIG, TREE

PATIENCE = 30.0  # seconds that a test waits for an event before it fails
NAMES = ("c0", "c1", "c2")
_libc = ctypes.CDLL(None, use_errno=True)


def document(share: float = 2.0, settings: dict[str, Any] = SETTINGS) -> str:
    """The document of a version: the settings with another share for the first tenant."""
    changed = copy.deepcopy(settings)
    changed["tenants"][0]["share"] = share
    return json.dumps(changed)


class Reply(NamedTuple):
    """An HTTP response with its decoded JSON body."""

    status: int
    body: dict[str, Any]


class Program:
    """A child process. `lines` has the lines of its standard error so far."""

    def __init__(self, args: Sequence[str], env: dict[str, str], files: int = 0) -> None:
        """`files`: the limit of its open file descriptors; 0 keeps the limit of this process."""
        self.lines: list[str] = []
        self._lines_changed = threading.Condition()
        parent = os.getpid()

        def prepare() -> None:
            _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                os._exit(1)
            if files:
                resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

        inherited = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "VIOLETSADDLE_"))}
        self.process = subprocess.Popen(
            args,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
            cwd=TREE,
            env={**inherited, **env},
            preexec_fn=prepare,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._lines_changed:
                self.lines.append(line.rstrip("\n"))
                self._lines_changed.notify_all()

    def wait_for_line(self, pattern: str, after: int = 0) -> re.Match[str]:
        """Waits for a line that matches the pattern, from index `after` of the lines on."""
        deadline = time.monotonic() + PATIENCE
        with self._lines_changed:
            while True:
                for line in self.lines[after:]:
                    if found := re.search(pattern, line):
                        return found
                remaining = deadline - time.monotonic()
                if remaining <= 0 or (self.process.poll() is not None and not self._reader.is_alive()):
                    raise AssertionError(f"no line matches {pattern!r}: {self.lines}")
                self._lines_changed.wait(min(remaining, 0.2))

    def end(self, signal_number: int = signal.SIGKILL) -> int:
        """Sends a signal, waits for the process to exit, and returns its exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.wait_for_exit()

    def wait_for_exit(self) -> int:
        """Waits for the process to exit, and returns its exit status."""
        status = self.process.wait(PATIENCE)
        self._reader.join(PATIENCE)
        if self.process.stderr is not None:
            self.process.stderr.close()
        return status


class Replicas:
    """Three control processes with their relays and stores. `close` kills the processes."""

    def __init__(self, folder: str, settings: dict[str, Any] = SETTINGS) -> None:
        self.folder, self.settings = Path(folder), settings
        self.configuration = self.folder / "node.json"
        self.configuration.write_text(json.dumps({"name": "n0", "settings": {**settings, "ordinal": 3}}))
        self.relays = Relays()
        self.links: dict[tuple[str, str], Relay] = {
            (source, target): self.relays.relay() for source in NAMES for target in NAMES if source != target
        }
        self.programs: dict[str, Program] = {}
        self.ports: dict[str, int] = {}

    def close(self) -> None:
        for program in self.programs.values():
            program.end()
        self.relays.close()

    def store(self, name: str) -> Path:
        return self.folder / name / "replica.db"

    def start(self, *names: str, new: bool = False, stop_at: str = "", files: int = 0) -> None:
        """Starts these replicas at the same time, and waits until they listen.

        `stop_at`: see `tests.stopped_control`."""
        for name in names:
            self.store(name).parent.mkdir(exist_ok=True)
            peers = [
                f"--peer={peer}=127.0.0.1:{self.links[name, peer].port}" for peer in NAMES if peer != name
            ]
            entry = "tests.stopped_control" if stop_at else "violetsaddle.cli"
            self.programs[name] = Program(
                [
                    *(sys.executable, "-m", entry, *(() if stop_at else ("control",))),
                    *(f"--name={name}", "--listen=127.0.0.1:0", *peers, f"--store={self.store(name)}"),
                    *(f"--settings={self.configuration}", *(("--new",) if new else ())),
                ],
                {"VIOLETSADDLE_CONTROL_STOP_AT": stop_at, "VIOLETSADDLE_CONTROL_ROOM": str(self.room)}
                if stop_at
                else {},
                files,
            )
        for name in names:
            port = int(self.programs[name].wait_for_line(r"listening on 127\.0\.0\.1:(\d+)")[1])
            self.ports[name] = port
            for (_, other), link in self.links.items():
                if other == name:
                    link.target = port

    @property
    def room(self) -> Path:
        """The path of the file whose existence ends the simulated full disk."""
        return self.folder / "room"

    def start_all(self) -> None:
        """Starts all three replicas for the first time, and waits until they vote."""
        self.start(*NAMES, new=True)
        self.wait_until_voting(*NAMES)

    def wait_until_voting(self, *names: str) -> None:
        """Waits until these replicas vote."""
        for name in names:
            self.programs[name].wait_for_line(r": voting, version \d+")

    def end(self, name: str, signal_number: int = signal.SIGKILL) -> int:
        """Disconnects a replica's relays, sends it a signal, and returns its exit status."""
        for (_, other), link in self.links.items():
            if other == name:
                link.target = 0
        return self.programs[name].end(signal_number)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets faults on the relays between this replica and the others. Without faults, removes them."""
        for pair, link in self.links.items():
            if name in pair:
                link.set(**faults)

    def copy_store(self, name: str) -> Path:
        """Copies the store of a replica that has exited."""
        copy_path = self.folder / f"{name}-copy"
        shutil.rmtree(copy_path, ignore_errors=True)
        shutil.copytree(self.store(name).parent, copy_path)
        return copy_path

    def replace_store(self, name: str, copy_path: Path | None) -> None:
        """Replaces the store of a replica by a copy of it; None deletes it."""
        shutil.rmtree(self.store(name).parent)
        if copy_path is not None:
            shutil.copytree(copy_path, self.store(name).parent)

    # Client requests.

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    def addresses(self, *names: str) -> list[str]:
        return [self.address(name) for name in names or NAMES]

    def call(self, name: str, method: str, path: str, body: bytes | None = None) -> Reply:
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[name], timeout=PATIENCE)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return Reply(response.status, json.loads(response.read() or b"{}"))
        finally:
            connection.close()

    def write(self, name: str, base: int, text: str, author: str = "ann", **changed: Any) -> Reply:
        """Proposes a document. `changed` overrides fields of the request."""
        request = {"base": base, "author": author, "digest": digest(text), "document": text, **changed}
        return self.call(name, "POST", "/configuration", json.dumps(request).encode())

    def status(self, name: str) -> dict[str, Any]:
        return self.call(name, "GET", "/configuration/status").body

    def wait_for_version(self, name: str, number: int) -> dict[str, Any]:
        """Waits until a replica has committed this version or a newer one, and returns the newest one."""
        deadline = time.monotonic() + PATIENCE
        while True:
            newest = self.call(name, "GET", f"/configuration?after={number - 1}&wait_ms=2000").body
            if newest["number"] >= number:
                return newest
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"{name} has version {newest['number']}, not {number}: {self.status(name)}"
                )

    def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        """Polls until the condition is true."""
        deadline, pause = time.monotonic() + PATIENCE, threading.Event()
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"timed out: {description}: {[(n, p.lines[-5:]) for n, p in self.programs.items()]}"
                )
            pause.wait(0.05)

    def fault_lines(self) -> list[str]:
        """The lines of all logs that report a fault in the program."""
        fault = re.compile("Traceback|faults=|failed:|fault")
        return [line for p in self.programs.values() for line in p.lines if fault.search(line)]
