"""An overloaded discovery queues calls: a node that always times out too early never gets a response.

A cancelled call loses its place in the queue, so the node has to raise its timeout after each one."""

from __future__ import annotations

import json
import socket
import threading
import time

from tests.scenario import Line, Scenario

QUEUE_DELAY = 2.6  # seconds; the first call after a failed one times out after 2.1 s
TEST_TIMEOUT = 12.0  # seconds


class QueuedDiscovery(Scenario):
    """Fake discovery that refuses the first call at once and answers each later one after `QUEUE_DELAY`."""

    def serve(self) -> None:
        while True:
            try:
                sock, _ = self.discovery.accept()
            except OSError:
                return
            threading.Thread(target=self.answer_calls, args=(Line(sock),), daemon=True).start()

    def answer_calls(self, line: Line) -> None:
        with line.sock:
            try:
                while True:
                    self.answer(line, line.message().split()[1])
            except (AssertionError, OSError):
                return  # the node closed the connection

    def answer(self, line: Line, target: str) -> None:
        self.targets.append(target)
        if "after=2" in target:
            self.list_applied.set()
        refused = len(self.targets) == 1
        body = json.dumps({**self.listing(2, ["s-1=draining"]), "full": False}).encode()
        if not refused:
            time.sleep(QUEUE_DELAY)
        status = "503 Service Unavailable" if refused else "200 OK"
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        line.sock.sendall(head.encode() + body)

    def test_the_timeout_grows_after_calls_that_timed_out(self) -> None:
        self.targets: list[str] = []
        self.list_applied = threading.Event()
        self.start({"discovery": "ask"})
        self.discovery.settimeout(None)
        thread = threading.Thread(target=self.serve, daemon=True)
        thread.start()
        self.assertTrue(self.list_applied.wait(TEST_TIMEOUT), f"no list was applied; calls: {self.targets}")
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.assertEqual(self.heard[-1].name, "s-2")  # s-1 drains
        self.discovery.shutdown(socket.SHUT_RDWR)
        thread.join(TEST_TIMEOUT)
