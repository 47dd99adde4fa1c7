"""X-Remaining at the real server is the client's remaining time, wherever the request waited before it was
read.

Guards against a node that forwards the client's time without subtracting how long the request was queued."""

from __future__ import annotations

import re
import signal
import threading
import time

from tests.held import Held
from tests.scenario import address, listener

TOLERANCE_S = 0.15
QUEUE_TIME_S = 0.6  # in the kernel buffer or behind another request
CLIENT_TIMEOUT_S = 9.0  # as in `JOB`
RELOAD = "violetsaddle.net.node:Node.reload"
JOB = "POST /api | X-Txn: {} | X-Lane: settle | X-Org: acme | X-Remaining: 9000m | | body"


class Remaining(Held):
    def assert_remaining(self, job: str, sent: float) -> None:
        """The real server that receives the job next gets its remaining time, which began at `sent`."""
        request = self.next_heard([f"~X-Txn: {job}"])
        header = re.search(r"X-Remaining: (\d+)u", request)
        assert header is not None
        remaining = CLIENT_TIMEOUT_S - (time.monotonic() - sent)
        self.assertLess(int(header[1]) / 1e6, remaining + TOLERANCE_S)
        self.assertGreater(int(header[1]) / 1e6, remaining - TOLERANCE_S)

    def test_pipelined_requests(self) -> None:
        self.start()
        first, second, third = (self.message(JOB.format(name)) for name in "abc")
        self.line("c").sock.sendall(first + second)
        sent = time.monotonic()
        self.play("s expect X-Txn: a\ns send 202")
        time.sleep(QUEUE_TIME_S)
        self.line("c").sock.sendall(third)
        third_sent = time.monotonic()
        self.play("s call+ a done result=x\nc expect 200")
        self.assert_remaining("b", sent)
        self.play("s send 202")
        time.sleep(QUEUE_TIME_S)
        self.play("s call+ b done result=x\nc expect 200")
        self.assert_remaining("c", third_sent)

    def test_unread_during_startup(self) -> None:
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
        time.sleep(QUEUE_TIME_S)
        self.go(stopped)
        starting.join()
        self.assert_remaining("a", sent)

    def test_unread_during_a_long_reactor_turn(self) -> None:
        self.start_held(RELOAD)
        self.play("c send GET /up\nc expect 200\nnode send HUP")
        stopped = self.at(RELOAD)
        self.play("c send " + JOB.format("a"))
        sent = time.monotonic()
        time.sleep(QUEUE_TIME_S)
        self.go(stopped)
        self.assert_remaining("a", sent)

    def test_unread_at_a_stopped_process(self) -> None:
        self.start()
        for name, first in (("a", "GET /up"), ("b", None)):
            if first is not None:
                self.play(f"{name} send {first}\n{name} expect 200")
            time.sleep(0.2)  # until the node waits in epoll_wait
            self.program.send_signal(signal.SIGSTOP)
            self.play(f"{name} send " + JOB.format(name))
            sent = time.monotonic()
            time.sleep(QUEUE_TIME_S)
            self.program.send_signal(signal.SIGCONT)
            self.assert_remaining(name, sent)
            self.play("s send 202")
