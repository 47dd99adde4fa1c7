"""A client that closes its connection has gone: no attempt of its request begins afterwards."""

from __future__ import annotations

import signal
import socket
import struct
import time
from typing import Any

from tests.held import Held
from tests.scenario import PATIENCE, SETTINGS, Line, Scenario
from tests.wired import Net
from violetsaddle.interface import KEYED, RequestClass, Settings

RESET = struct.pack("ii", 1, 0)
NO_CANCELS: dict[str, Any] = {
    "permissions": {**SETTINGS["permissions"], "cancel": False, "dialTimeout": 5_000_000}
}


def leave(line: Line, reset: bool) -> None:
    if reset:
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    line.sock.close()


class Gone(Held):
    def counted(self, *wanted: str) -> None:
        """Asks for the counters until they hold the texts."""
        until = time.monotonic() + 20
        while True:
            self.play("node send USR1")
            line = self.log("counters")[0]
            if all(text in line for text in wanted):
                return
            self.assertLess(time.monotonic(), until, line)

    def stop_node(self) -> None:
        self.program.send_signal(signal.SIGSTOP)
        self.addCleanup(self.program.send_signal, signal.SIGCONT)

    def go_on(self) -> None:
        self.program.send_signal(signal.SIGCONT)

    def test_behind_much_that_was_sent_ahead(self) -> None:
        # Reading stopped once a client had sent 80 KiB ahead, and with it the sight of its end.
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.start()
                self.play("""
                    c send job a settle
                    s expect X-Txn: a
                    s send 202
                    c send RAW POST /api HTTP/1.1 | X: LONG(100000)
                """)
                leave(self.line("c"), reset)
                begun = time.monotonic()
                self.play("s expect DELETE /jobs/a\ns send 204")
                self.assertLess(time.monotonic() - begun, 2)  # its time is up after five
                self.end()

    def test_behind_more_than_is_kept(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect X-Txn: a
            s send 202
            c send RAW POST /api HTTP/1.1 | X: LONG(2000000)
            c close
        """)
        begun = time.monotonic()
        self.play("s expect DELETE /jobs/a")
        self.assertLess(time.monotonic() - begun, 2)

    def test_what_is_beyond_all_bounds_gets_its_answer_once_the_first_has_its_own(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect X-Txn: a
            s send 202
            c send RAW POST /api HTTP/1.1 | X: LONG(2000000)
            s call+ a done result=kept
            c expect 200 | kept
            c expect 431
        """)

    def all_read(self, name: str) -> None:
        """Waits until the node has read all that was sent on a connection, as the kernel's table tells."""
        mine, until = self.line(name).sock.getsockname()[1], time.monotonic() + PATIENCE
        while True:
            queued = 0
            with open("/proc/net/tcp", encoding="ascii") as table:
                for line in list(table)[1:]:
                    _, here, there, _, queues, *_ = line.split()
                    ports = int(here.rpartition(":")[2], 16), int(there.rpartition(":")[2], 16)
                    unsent, unread = (int(size, 16) for size in queues.split(":"))
                    queued += unsent * (ports == (mine, self.port)) + unread * (ports == (self.port, mine))
            if not queued:
                return
            self.assertLess(time.monotonic(), until, f"{queued} bytes wait still")
            time.sleep(0.01)

    def test_whole_requests_beyond_what_is_kept_get_an_answer_too(self) -> None:
        self.start()
        ahead = "GET /up HTTP/1.1\\r\\nHost: n\\r\\nX: LONG(99)\\r\\n\\r\\n"
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202\nc send RAW " + ahead * 10_000)
        # The callback once overtook what was ahead: then nothing was beyond the bound, and all were served.
        self.all_read("c")
        self.play("s call+ a done result=kept\nc expect 200 | kept")
        served = 0
        while "200 OK" in (answer := self.line("c").message()):
            served += 1
        self.assertIn(" 413 ", answer)
        self.assertGreater(served, 1500)

    def test_while_a_connection_is_made_and_cancels_are_not_allowed(self) -> None:
        # The dial went on, and what had been asked left on it.
        self.start(NO_CANCELS, servers=1)
        free = self.crowd_dials("s-1")
        self.play("c send job a settle")
        self.counted("attempts=1")
        self.play("c close")
        self.counted("clients_gone=1", "outcome_moot=1", "held_servers=0")
        free()
        self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")

    def test_who_left_before_the_node_read_is_not_served(self) -> None:
        # A burst that came and went while the node was busy was sent on, request by request.
        self.start(servers=1)
        self.play("k send GET /up\nk expect 200")
        self.stop_node()
        for n in range(200):
            with socket.create_connection(("127.0.0.1", self.port)) as sock:
                sock.sendall(self.message(f"job b{n} settle"))
        time.sleep(0.15)  # longer than anybody who has left may still be served
        self.go_on()
        self.play("c send job last settle\ns expect POST /api | X-Txn: last")
        self.counted("clients_gone=200", "attempts=1 ", "outcome_moot=200")

    def test_as_a_held_request_is_due_again(self) -> None:
        # Deadlines come up before sockets are read: who has closed was sent another attempt.
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.start_held("violetsaddle.policy:Balancer._retry_held", servers=3)
                met: set[str] = set()
                while len(met) < 3:  # until each has a kept connection: on one a job leaves at once
                    for n in range(3):
                        job = f"k{n}-{len(self.took)}"
                        self.play(f"k{n} send job {job} quote\ns expect X-Txn: {job}\ns send 202")
                        met.add(self.heard[-1].name)
                    for n, job in enumerate(list(self.took)[-3:]):
                        self.play(f"of-{job} call+ {job} done result=x\nk{n} expect 200")
                time.sleep(1.1)  # no answer of these is to be feared any more, second or late
                self.play("c send job a quote" + "\ns expect X-Txn: a\ns send 503 | X-Turned-Away: 1" * 2)
                stopped = self.at("violetsaddle.policy:Balancer._retry_held")
                leave(self.line("c"), reset)
                self.go(stopped)
                self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")
                self.end()

    def test_as_its_second_attempt_is_sent(self) -> None:
        self.start_held("violetsaddle.policy:Balancer._retry", servers=2)
        self.play("c send job a settle\ns expect X-Txn: a\ns send 503 | X-Turned-Away: 1")
        stopped = self.at("violetsaddle.policy:Balancer._retry")
        self.play("c close")
        self.go(stopped)
        self.counted("clients_gone=1", "outcome_moot=1", "attempts=1 ")
        self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")


class Plain(Scenario):
    def test_one_that_only_waits_is_served(self) -> None:
        self.start()
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.play("s call+ a done result=x\nc expect 200 | x")

    def test_clients_that_send_without_end_keep_nobody_out(self) -> None:
        self.start()
        self.play("f send job a settle\ns expect X-Txn: a\ns send 202")
        flood = self.line("f").sock
        flood.setblocking(False)
        sent, begun = 0, time.monotonic()
        while sent < 40_000_000 and time.monotonic() - begun < 3:
            try:
                sent += flood.send(b"x" * 262_144)
            except BlockingIOError:
                self.play("c send GET /up\nc expect 200")
        self.assertGreater(sent, 20_000_000)
        self.play("s call+ a done result=x")
        flood.settimeout(10)
        self.play("f expect 200 | x")


def test_whoever_has_gone_unread_is_asked_at_each_send() -> None:
    spec = RequestClass(aim=200_000, deadline=5_000_000, effect=KEYED, window=4_000_000)
    net = Net(Settings(classes=(spec,), most_attempts=4, connect_timeout=300_000))
    net.listed("snapshot", one=("active", 0, 1), two=("active", 0, 2))
    client = net.ask("a", 0, 4_000_000)
    client.gone = True  # its end lies in the kernel unread
    net.clock.advance(0.1)
    net.wires[0].up()
    assert net.wires[0].pending == b"", "it was sent all the same"
    assert net.counters.get("clients_gone") == 1
    assert not net.faults
