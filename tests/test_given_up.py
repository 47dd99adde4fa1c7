"""A request has one attempt at a time, even if a DELETE is not answered.

Failure: one request was sent to a second executor while the first still had it, once in a run with rolling
restarts, hanging executors and silent connections. An executor accepts the request, but its 202 is lost
with the connection. No start is reported within the class's limit, so the node gives the attempt up: it
closes the connection, which the executor does not notice, and sends a DELETE. The DELETE is not answered
for 2 s, or is lost on three connections. The node then counted the attempt as ended and sent the next one,
although nothing had confirmed that the first was given up: `Servers._delete` repeated a DELETE until it was
answered only if the 202 had been read.

The log of the failure, with an executor whose process shows that it still has the job:

    attempt given up: server=s-2 life=sent release=unconfirmed tries=1 detail=CancelledError after_ms=2079
    attempt repeated: effect=safe attempt=1 earlier=0:s-2:sent>cancelled:unconfirmed:2079

Four runs with rolling restarts, hanging executors and silent connections had four such repeats. The node,
both executors and their connections are real; a relay between them drops data and resets connections."""

from __future__ import annotations

import os
import select
import subprocess
import sys
import time
from typing import Any

from tests.scenario import PATIENCE, SETTINGS, Line, Scenario
from tests.tcp_relay import Relay, Relays

WAIT = 4.0  # seconds that the client waits
START_DELAY = 30.0  # seconds until an executor starts a job, during which it reports nothing
REPORTS_START: dict[str, Any] = {"familyInfo": {**SETTINGS["familyInfo"], "tellsStart": True}}
REQUEST = "POST /api | X-Txn: a | X-Lane: quote | X-Org: acme | X-Remaining: 4000m | | body"


class Backend:
    """An executor in a process of its own, behind a relay."""

    def __init__(self, name: str, node_port: int, start_delay: float, relay: Relay) -> None:
        self.relay, self.events, self._partial_line = relay, list[str](), b""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.backend_process", name, str(node_port), str(start_delay)],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self._stdout = self.process.stdout.fileno()
        while not self.read(PATIENCE):
            pass
        relay.target = int(self.events.pop())

    def read(self, wait: float = 0.0) -> list[str]:
        """The events of its jobs so far, in order; waits up to `wait` seconds for the first new one."""
        while select.select([self._stdout], [], [], wait)[0]:
            data = os.read(self._stdout, 4096)
            assert data, "the executor has ended"
            *lines, self._partial_line = (self._partial_line + data).split(b"\n")
            self.events += [line.decode() for line in lines]
            wait = 0.0
        return self.events

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class UnconfirmedDelete(Scenario):
    def start_fleet(self, start_delay: float = START_DELAY) -> Line:
        """Starts a node and two executors and sends a request, while the relays drop all answers."""
        relays = Relays()
        self.addCleanup(relays.close)
        self.relays = {name: relays.relay() for name in ("s-1", "s-2")}
        self.start(REPORTS_START)
        for server in self.servers.values():
            server.close()
        self.backends = {}
        for name, relay in self.relays.items():
            backend = self.backends[name] = Backend(name, self.port, start_delay, relay)
            self.addCleanup(backend.kill)
            relay.set(drop_back=True)
        client = self.line("c")
        client.sock.sendall(self.message(REQUEST))
        self.first, self.second = self.wait_for_job()
        return client

    def listing(self, version: int, items: list[str], full: bool = True) -> dict[str, Any]:
        self.where = {name: f"127.0.0.1:{relay.port}" for name, relay in self.relays.items()}
        return super().listing(version, items, full)

    def wait_for_job(self) -> tuple[Backend, Backend]:
        """Waits until an executor has the job; returns it and the other one."""
        give_up_at = time.monotonic() + PATIENCE
        while time.monotonic() < give_up_at:
            for backend, other in (pair for pair in self.pairs() if pair[0].read(0.01)):
                return backend, other
        raise AssertionError("no executor received the job")

    def pairs(self) -> list[tuple[Backend, Backend]]:
        first, second = self.backends.values()
        return [(first, second), (second, first)]

    def answer_with_one_attempt(self, client: Line) -> str:
        """Returns the answer; checks that the second executor got nothing, as no DELETE was confirmed."""
        answer = client.message()
        self.assertEqual(self.first.read(), ["begun a"])
        self.assertEqual(
            self.second.read(0.1),
            [],
            "a second attempt was sent while the first was not confirmed as given up",
        )
        return answer

    def test_silence_does_not_confirm_a_delete(self) -> None:
        client = self.start_fleet()
        self.first.relay.set(drop=True, drop_back=True)
        self.second.relay.set()
        self.assertIn("HTTP/1.1 503", self.answer_with_one_attempt(client))

    def test_lost_connections_do_not_confirm_a_delete(self) -> None:
        client = self.start_fleet()
        # The close of the existing connection is dropped; only new connections are reset.
        self.first.relay.forward.drop = self.first.relay.cut = True
        self.second.relay.set()
        self.assertIn("HTTP/1.1 503", self.answer_with_one_attempt(client))

    def test_the_next_attempt_follows_once_the_delete_is_confirmed(self) -> None:
        client = self.start_fleet(start_delay=0.5)
        self.first.relay.set(drop=True, drop_back=True)
        self.second.relay.set()
        time.sleep(0.3)
        self.first.relay.set()
        self.assertIn("of a", client.message())
        self.assertEqual(self.first.read(), ["begun a", "deleted a"])
        self.assertEqual(self.second.read(), ["begun a", "done a"])
