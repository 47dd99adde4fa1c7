"""The time that a server is told is what the client has left, wherever its request has waited until it was
read."""

from __future__ import annotations

import re
import signal
import threading
import time

from tests.held import Held
from tests.scenario import address, listener

SLACK = 0.15  # seconds that may be told beyond what is left
WAITS = 0.6  # seconds for which a request lies in the kernel or behind another
TOLD = 9.0  # seconds that the client waits
RELOAD = "violetsaddle.net.node:Node.reload"
JOB = "POST /api | X-Txn: {} | X-Lane: settle | X-Org: acme | X-Remaining: 9000m | | body"


class Remaining(Held):
    def told_in_time(self, job: str, sent: float) -> None:
        """The server that hears the job next is told what is left of it."""
        heard = self.next_heard([f"~X-Txn: {job}"])
        told = re.search(r"X-Remaining: (\d+)u", heard)
        assert told is not None
        left = TOLD - (time.monotonic() - sent)
        self.assertLess(int(told[1]) / 1e6, left + SLACK)
        self.assertGreater(int(told[1]) / 1e6, left - SLACK)

    def test_a_request_sent_ahead_was_told_on_with_the_time_it_had_waited(self) -> None:
        self.start()
        first, second, third = (self.message(JOB.format(name)) for name in "abc")
        self.line("c").sock.sendall(first + second)
        sent = time.monotonic()
        self.play("s expect X-Txn: a\ns send 202")
        time.sleep(WAITS)
        self.line("c").sock.sendall(third)
        third_sent = time.monotonic()
        self.play("s call+ a done result=x\nc expect 200")
        self.told_in_time("b", sent)
        self.play("s send 202")
        time.sleep(WAITS)
        self.play("s call+ b done result=x\nc expect 200")
        self.told_in_time("c", third_sent)

    def test_a_request_that_lay_unread_during_the_start_was_told_on_with_that_time(self) -> None:
        with listener() as found:
            listen = address(found)
        self.held_at = listener()
        self.addCleanup(self.held_at.close)
        self.told = {**self.told, "HELD": "import:twisted.internet.defer", "HELD_AT": address(self.held_at)}
        starting = threading.Thread(target=lambda: self.start(listen=listen))
        starting.start()
        stopped = self.at("import:twisted.internet.defer")
        self.port = int(listen.rpartition(":")[2])
        self.play("c send " + JOB.format("a"))
        sent = time.monotonic()
        time.sleep(WAITS)
        self.go(stopped)
        starting.join()
        self.told_in_time("a", sent)

    def test_a_request_that_lay_unread_in_a_long_turn_was_told_on_with_that_time(self) -> None:
        self.start_held(RELOAD)
        self.play("c send GET /up\nc expect 200\nnode send HUP")
        stopped = self.at(RELOAD)
        self.play("c send " + JOB.format("a"))
        sent = time.monotonic()
        time.sleep(WAITS)
        self.go(stopped)
        self.told_in_time("a", sent)

    def test_a_request_that_lay_unread_at_a_stopped_node_was_told_on_with_that_time(self) -> None:
        self.start()
        for name, first in (("a", "GET /up"), ("b", None)):
            if first is not None:
                self.play(f"{name} send {first}\n{name} expect 200")
            time.sleep(0.2)  # the node waits for what comes
            self.program.send_signal(signal.SIGSTOP)
            self.play(f"{name} send " + JOB.format(name))
            sent = time.monotonic()
            time.sleep(WAITS)
            self.program.send_signal(signal.SIGCONT)
            self.told_in_time(name, sent)
            self.play("s send 202")
