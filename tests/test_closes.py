"""A written answer arrives complete, whatever the client sends while the node closes the connection.

At shutdown, a request that arrives is answered before SIGKILL, which may come min(longest deadline, 3 s) +
0.7 s after SIGTERM."""

from __future__ import annotations

import select
import signal
import socket
import struct
import threading
import time
from typing import Any

from tests.held import Held
from tests.scenario import CLASSES, PATIENCE, Line, Scenario, address, listener

CLOSE_SOON = "violetsaddle.net.edge_factory:EdgeFactory.close_soon"
ENDED = "violetsaddle.net.edge:EdgeConnection.connectionLost"
LARGE = 60_000
LAST = "POST /api | X-Txn: a | X-Lane: settle | X-Org: acme | X-Remaining: 9000m | Connection: close | | b"


def deadlines(longest: int) -> dict[str, Any]:
    return {"requestClasses": [{**spec, "target": longest // 2, "deadline": longest} for spec in CLASSES]}


class Closes(Scenario):
    def slow_client(self, name: str) -> Line:
        """Connects a client with a receive buffer of 4 KiB."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", self.port))
        self.lines[name] = Line(sock)
        return self.lines[name]

    def assert_answered(self, line: Line) -> None:
        """The client receives the complete large answer, then the end of the connection."""
        line.sock.settimeout(PATIENCE)
        received = b""
        while data := line.sock.recv(65536):
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertEqual(len(body), LARGE)

    def test_with_pipelined_data(self) -> None:
        self.start()
        line = self.slow_client("c")
        self.play("c send " + LAST)
        self.play("""
            s expect X-Txn: a
            s send 202
            c send RAW POST /api HTTP/1.1 | X: LONG(300000)
        """)
        self.play("s call+ a done result=" + "x" * LARGE)
        self.assert_answered(line)

    def test_with_data_that_arrives_after_the_answer_was_written(self) -> None:
        # An immediate close let later data reset the connection, and the rest of the answer was lost.
        self.start()
        line = self.slow_client("c")
        self.play("c send " + LAST)
        self.play("""
            s expect X-Txn: a
            s send 202
        """)
        self.play("s call+ a done result=" + "x" * LARGE)
        self.assertTrue(select.select([line.sock], [], [], PATIENCE)[0])  # the answer has begun to arrive
        self.play("c send GET /up")
        self.assert_answered(line)

    def test_to_a_client_that_reads_slowly(self) -> None:
        # The connection was aborted two seconds after the answer was written, before it was read.
        self.start()
        line = self.slow_client("c")
        self.play("c send " + LAST)
        self.play("""
            s expect X-Txn: a
            s send 202
        """)
        large = "y" * (LARGE)
        self.play("s call+ a done result=" + large)
        start, received = time.monotonic(), 0
        while time.monotonic() - start < 4:
            received += len(line.sock.recv(1024))
            time.sleep(0.1)
        self.assertLess(received, LARGE)
        while data := line.sock.recv(65536):
            received += len(data)
        self.assertGreater(received, LARGE)

    def test_a_client_that_does_not_read_is_disconnected(self) -> None:
        self.start()
        self.slow_client("c")
        self.play("c send " + LAST)
        self.play("""
            s expect X-Txn: a
            s send 202
        """)
        self.play("s call+ a done result=" + "x" * LARGE)
        time.sleep(6)
        self.play("node send USR1\nnode expect counters | held_edge=1")  # that of the callback

    def test_after_a_rejected_message(self) -> None:
        self.start()
        self.play("""
            c send RAW GET /up HTTP/1.1 | X: LONG(200000)
            c expect 431 | close
        """)


class Shutdown(Held):
    def send_as_idle_connections_close(self, sent: str) -> None:
        """Sends on an idle connection as the node is about to close it.

        The node continues once the data is in its kernel buffer."""
        self.start_held(CLOSE_SOON)
        self.play("c send GET /up\nc expect 200\nnode send TERM")
        stopped = self.at(CLOSE_SOON)
        self.play(sent)
        self.unread(self.line("c"))
        self.go(stopped)

    def test_unread_request_as_idle_connections_close(self) -> None:
        # The connection was closed with the request unread, so the client had to retry or lost it.
        self.send_as_idle_connections_close("c send GET /up")
        self.play("c expect 200 | close\nc wait\nnode expect exit 0")

    def test_unread_job_as_idle_connections_close(self) -> None:
        self.send_as_idle_connections_close("c send job a settle")
        self.play("""
            s expect POST /api | X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | close | x
            node expect exit 0
        """)

    def test_partial_request_line_as_idle_connections_close(self) -> None:
        self.send_as_idle_connections_close("c send RAW GET /u")
        self.play("c send RAW p HTTP/1.1 | Host: n | | \nc expect 200 | close\nnode expect exit 0")

    def test_a_new_connection_may_send_a_request(self) -> None:
        self.start_held(CLOSE_SOON)
        self.play("node send TERM")
        stopped = self.at(CLOSE_SOON)
        self.line("c")
        self.go(stopped)
        self.play("c send GET /up\nc expect 200 | close\nnode expect exit 0")

    def unread(self, line: Line) -> None:
        """Waits until the node's kernel has acknowledged all data that was sent (tcpi_unacked is 0)."""
        until = time.monotonic() + PATIENCE
        while struct.unpack_from("I", line.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104), 24)[0]:
            self.assertLess(time.monotonic(), until)

    def test_idle_connections_are_shut_down_as_reading_stops(self) -> None:
        # They looked open after the node had stopped reading, and a request sent then was lost.
        self.start_held(ENDED, settings=deadlines(500_000))
        for name in ("c1", "c2", "c3"):
            self.play(f"{name} send GET /up\n{name} expect 200")
        self.play("node send TERM")
        self.at(ENDED)  # the first has ended, in the reactor turn that closes all
        for name in ("c1", "c2", "c3"):
            self.assertTrue(select.select([self.line(name).sock], [], [], 0)[0], f"{name} looks open")

    def test_sigterm_during_imports(self) -> None:
        # SIGTERM ended the process at once and reset the connections made since it listened.
        with listener() as found:
            listen = address(found)
        self.held_at = listener()
        self.addCleanup(self.held_at.close)
        self.told = {**self.told, "HELD": "import:twisted.internet.defer", "HELD_AT": address(self.held_at)}
        starting = threading.Thread(target=lambda: self.start(listen=listen))
        starting.start()
        stopped = self.at("import:twisted.internet.defer")
        self.port = int(listen.rpartition(":")[2])
        early = Line(socket.create_connection(("127.0.0.1", self.port)))
        early.sock.sendall(self.message("GET /up"))
        self.program.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        self.go(stopped)
        starting.join()
        self.assertIn("200 OK", early.message())
        self.play("node expect stopping\nnode expect exit 0")

    def test_late_requests_are_answered_before_sigkill(self) -> None:
        # The shutdown times assumed a longest deadline of at least 3 s.  With one of 1 s an answer was still
        # pending at SIGKILL.
        for longest in (500_000, 1_000_000, 2_000_000, 15_000_000):
            with self.subTest(longest=longest):
                self.check_late_requests(longest)
                self.end()

    def check_late_requests(self, longest: int) -> None:
        """Idle connections each send one request at a different time between SIGTERM and SIGKILL."""
        self.start(deadlines(longest), servers=1)
        end = min(longest, 3_000_000) / 1e6 + 0.7
        # The node's own times are multiples of 0.1 s.  Requests are sent between them, because one that
        # crosses the end of its connection is lost.
        times = [0.1 * n + 0.05 for n in range(1, int(end * 10))]
        for n in range(len(times)):
            self.play(f"c{n} send GET /up\nc{n} expect 200")
        self.play("node send TERM")
        start, sent = time.monotonic(), []
        for n, at in enumerate(times):
            time.sleep(max(0.0, start + at - time.monotonic()))
            line = self.line(f"c{n}")
            if select.select([line.sock], [], [], 0)[0]:
                self.assertEqual(line.sock.recv(1), b"")  # the node has closed it
                continue
            line.sock.sendall(self.message(f"job j{n} settle").replace(b"20000m", b"%du" % longest))
            sent.append((at, line))
        time.sleep(max(0.0, start + end - time.monotonic()))
        self.program.kill()
        self.program.wait()
        self.assertGreater(len(sent), 3)
        for at, line in sent:
            if at > 0.7:
                with self.subTest(asked_after=at):
                    self.assertTrue(line.message())
        self.assertFalse([at for at, _ in sent if at > end - 0.2], "idle connections stay open until SIGKILL")

    def test_signals_until_exit(self) -> None:
        # The interpreter restores the default handlers as it exits, and SIGHUP then ended it with status -1.
        for _ in range(5):
            self.start(deadlines(500_000))
            self.play("node send TERM")
            while self.program.poll() is None:
                for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT):
                    self.program.send_signal(number)
                    time.sleep(0.0002)
            self.assertEqual(self.program.returncode, 0)
            self.end()

    def test_both_signals_and_each_twice(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect X-Txn: a
            s send 202
            node send TERM
            node send HUP
            node send TERM
            node send INT
            node send HUP
            s call+ a done result=owed
            c expect 200 | owed
            node expect exit 0
        """)
