"""An overloaded discovery queues calls: a node that always times out too early never gets a response.

A cancelled call loses its place in the queue, so the node has to raise its timeout after each one."""

from __future__ import annotations

import json
import select
import socket
import threading
import time

from tests.scenario import Line, Scenario, address, listener
from violetsaddle.net.discovery import MAX_LATE_CALLS

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


class MovedDiscovery(Scenario):
    """Discovery at the address of a new configuration, which answers slowly or loses calls.

    What it has counts as told 4 s after SIGHUP."""

    def move(self) -> None:
        """A new configuration names another address, where s-1 drains; nobody answers there yet."""
        self.start({"discovery": "ask"})
        self.play("d expect after=1")
        old, self.discovery = self.discovery, listener()
        self.addCleanup(old.close)
        self.replace(discovery=address(self.discovery))
        self.moved_at = time.monotonic()
        self.play("node send HUP")

    def next_call(self) -> Line:
        """The next connection, whose call has arrived."""
        line = Line(self.discovery.accept()[0])
        self.addCleanup(line.sock.close)
        self.assertNotIn("after=", line.message())
        return line

    def answer_whole(self, line: Line, version: int) -> None:
        body = self.listing(version, ["s-1=draining", "s-2=up"])
        text = json.dumps(body).encode()
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    def is_in_force(self, line: Line, version: int) -> None:
        """The watch goes on with this version, and no job goes to s-1."""
        self.assertIn(f"after={version}", line.message())
        self.assertLess(time.monotonic() - self.moved_at, 4.0)
        for number in range(6):
            self.play(f"c{number} send job a{number} quote\ns expect X-Txn: a{number}\ns send 202")
            self.assertEqual(self.heard[-1].name, "s-2")

    def test_an_answer_after_2500_ms_is_taken_on_the_call_that_asked_for_it(self) -> None:
        # Each call was given up after 1.1 s and lost its place; the list came 7.7 s after SIGHUP.
        self.move()
        first = self.next_call()
        self.next_call()  # in case the first was lost
        time.sleep(max(0.0, self.moved_at + 2.5 - time.monotonic()))
        self.answer_whole(first, 7)
        self.is_in_force(first, 7)

    def test_a_call_that_is_lost_holds_up_no_list(self) -> None:
        self.move()
        lost = self.next_call()
        second = self.next_call()
        self.answer_whole(second, 7)
        self.is_in_force(second, 7)
        self.assertLess(time.monotonic() - self.moved_at, 2.5)
        # The answer to the first call is older: it is not awaited any more.
        with self.assertRaises((AssertionError, ConnectionError)):
            lost.message()

    def test_calls_that_are_never_answered_do_not_pile_up(self) -> None:
        self.move()
        calls, ended_at = [self.next_call()], time.monotonic() + 6.5
        self.discovery.settimeout(0.05)
        while time.monotonic() < ended_at:
            try:
                calls.append(self.next_call())
            except TimeoutError:
                pass
            still_open = [call for call in calls if not select.select([call.sock], [], [], 0)[0]]
            self.assertLessEqual(len(still_open), 1 + MAX_LATE_CALLS)
        self.assertGreater(len(calls), 3)
