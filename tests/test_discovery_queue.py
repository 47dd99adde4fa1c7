"""Discovery lets calls wait for their turn: a node must not give each of them up before it is answered."""

from __future__ import annotations

import json
import socket
import threading
import time

from tests.scenario import Line, Scenario

TURN = 2.6  # seconds in the queue; a node's first call after a failed one is given up after 2.1
WITHIN = 12.0  # seconds for the whole test


class QueuedDiscovery(Scenario):
    """A stand-in that refuses the first call at once and answers each later one after `TURN`."""

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
                return  # given up

    def answer(self, line: Line, target: str) -> None:
        self.targets.append(target)
        if "after=2" in target:
            self.taken.set()
        refused = len(self.targets) == 1
        body = json.dumps({**self.listing(2, ["s-1=draining"]), "full": False}).encode()
        if not refused:
            time.sleep(TURN)
        status = "503 Service Unavailable" if refused else "200 OK"
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        line.sock.sendall(head.encode() + body)

    def test_a_node_waits_longer_after_calls_that_it_gave_up(self) -> None:
        self.targets: list[str] = []
        self.taken = threading.Event()
        self.start({"discovery": "ask"})
        self.discovery.settimeout(None)
        thread = threading.Thread(target=self.serve, daemon=True)
        thread.start()
        self.assertTrue(self.taken.wait(WITHIN), f"no list was taken; calls: {self.targets}")
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.assertEqual(self.heard[-1].name, "s-2")  # the other one drains
        self.discovery.shutdown(socket.SHUT_RDWR)
        thread.join(WITHIN)
