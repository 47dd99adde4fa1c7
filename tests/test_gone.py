"""No attempt of a request begins after its client has closed the connection."""

from __future__ import annotations

import signal
import socket
import struct
import time
from typing import Any

import pytest

from tests.held import Held
from tests.scenario import PATIENCE, SETTINGS, Line, Scenario
from tests.wired import Net
from violetsaddle.interface import KEYED, RequestClass, Settings
from violetsaddle.net.requests import InvalidRequestError

LINGER_RESET = struct.pack("ii", 1, 0)  # `struct linger`: closing sends a reset
NO_CANCELS: dict[str, Any] = {
    "permissions": {**SETTINGS["permissions"], "cancel": False, "dialTimeout": 5_000_000}
}


def close_client(line: Line, reset: bool) -> None:
    if reset:
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    line.sock.close()


class ClientGone(Held):
    def wait_for_counters(self, *wanted: str) -> None:
        """Waits until the logged counters contain the texts; fails after 20 s."""
        give_up_at = time.monotonic() + 20
        while True:
            self.play("node send USR1")
            line = self.log("counters")[0]
            if all(text in line for text in wanted):
                return
            self.assertLess(time.monotonic(), give_up_at, line)

    def pause_node(self) -> None:
        self.program.send_signal(signal.SIGSTOP)
        self.addCleanup(self.program.send_signal, signal.SIGCONT)

    def resume_node(self) -> None:
        self.program.send_signal(signal.SIGCONT)

    def test_a_close_behind_much_pipelined_data_is_seen(self) -> None:
        # The node stopped reading once a client had sent 80 KiB ahead, so it did not see the close.
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.start()
                self.play("""
                    c send job a settle
                    s expect X-Txn: a
                    s send 202
                    c send RAW POST /api HTTP/1.1 | X: LONG(100000)
                """)
                close_client(self.line("c"), reset)
                started = time.monotonic()
                self.play("s expect DELETE /jobs/a\ns send 204")
                self.assertLess(time.monotonic() - started, 2)  # the request's deadline is 5 s
                self.end()

    def test_a_close_behind_more_data_than_the_node_keeps_is_seen(self) -> None:
        self.start()
        self.play("""
            c send job a settle
            s expect X-Txn: a
            s send 202
            c send RAW POST /api HTTP/1.1 | X: LONG(2000000)
            c close
        """)
        started = time.monotonic()
        self.play("s expect DELETE /jobs/a")
        self.assertLess(time.monotonic() - started, 2)

    def test_an_oversized_pipelined_request_is_answered_after_the_first_one(self) -> None:
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

    def wait_until_read(self, name: str) -> None:
        """Waits until the node has read all data of a connection, according to the kernel's table."""
        client_port, give_up_at = self.line(name).sock.getsockname()[1], time.monotonic() + PATIENCE
        while True:
            queued = 0
            with open("/proc/net/tcp", encoding="ascii") as table:
                for line in list(table)[1:]:
                    _, local, remote, _, queues, *_ = line.split()
                    ports = int(local.rpartition(":")[2], 16), int(remote.rpartition(":")[2], 16)
                    unsent, unread = (int(size, 16) for size in queues.split(":"))
                    queued += unsent * (ports == (client_port, self.port)) + unread * (
                        ports == (self.port, client_port)
                    )
            if not queued:
                return
            self.assertLess(time.monotonic(), give_up_at, f"{queued} bytes are still not read")
            time.sleep(0.01)

    def test_complete_requests_beyond_the_kept_data_are_answered_too(self) -> None:
        self.start()
        pipelined = "GET /up HTTP/1.1\\r\\nHost: n\\r\\nX: LONG(99)\\r\\n\\r\\n"
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202\nc send RAW " + pipelined * 10_000)
        # If the callback arrives before this data, nothing exceeds the bound and all requests are served.
        self.wait_until_read("c")
        self.play("s call+ a done result=kept\nc expect 200 | kept")
        served = 0
        while "200 OK" in (answer := self.line("c").message()):
            served += 1
        self.assertIn(" 413 ", answer)
        self.assertGreater(served, 1500)

    def test_a_close_while_connecting_without_permission_to_cancel(self) -> None:
        # The connection attempt continued, and the job was sent on it.
        self.start(NO_CANCELS, servers=1)
        unblock = self.crowd_dials("s-1")
        self.play("c send job a settle")
        self.wait_for_counters("attempts=1")
        self.play("c close")
        self.wait_for_counters("clients_gone=1", "outcome_moot=1", "held_servers=0")
        unblock()
        self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")

    def test_requests_whose_clients_left_before_the_node_read_them_are_not_sent(self) -> None:
        # Clients connected and left while the node was busy; each of their requests was still sent.
        self.start(servers=1)
        self.play("k send GET /up\nk expect 200")
        self.pause_node()
        for n in range(200):
            with socket.create_connection(("127.0.0.1", self.port)) as sock:
                sock.sendall(self.message(f"job b{n} settle"))
        time.sleep(0.15)  # longer than a request is sent without a check of its client
        self.resume_node()
        self.play("c send job last settle\ns expect POST /api | X-Txn: last")
        self.wait_for_counters("clients_gone=200", "attempts=1 ", "outcome_moot=200")

    def test_a_close_behind_much_unread_data_is_seen_before_a_request_is_sent(self) -> None:
        # The client's end lay behind bytes that the node had not read; only the first byte was looked at.
        self.start(servers=1)
        self.play("k send GET /up\nk expect 200")
        self.pause_node()
        for n in range(50):
            with socket.create_connection(("127.0.0.1", self.port)) as sock:
                sock.sendall(b"".join(self.message(f"job b{n}-{m} settle") for m in range(1500)))
        time.sleep(0.15)  # longer than a request is sent without a check of its client
        self.resume_node()
        self.play("c send job last settle\ns expect POST /api | X-Txn: last")
        self.wait_for_counters("clients_gone=50", "attempts=1 ", "outcome_moot=50")

    def flood_and_close(self, name: str) -> None:
        """The client sends 30 MB ahead, or as much as is taken within 2 s, and closes."""
        flood, started, left = self.line(name).sock, time.monotonic(), 30_000_000
        flood.sendall(b"POST /api HTTP/1.1\r\nHost: n\r\nContent-Length: 60000000\r\n\r\n")
        flood.setblocking(False)
        while left > 0 and time.monotonic() - started < 2:
            try:
                left -= flood.send(b"x" * min(left, 262_144))
            except BlockingIOError:
                time.sleep(0.001)
        flood.close()

    def test_a_close_behind_slowed_reading_gives_the_job_up_soon(self) -> None:
        # After 16 MiB reading was slowed to 64 KiB in 50 ms, and the end was seen seconds later.
        self.start()
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.flood_and_close("c")
        started = time.monotonic()
        self.play("s expect DELETE /jobs/a\ns send 204")
        self.assertLess(time.monotonic() - started, 1)

    def test_no_second_attempt_after_a_close_behind_slowed_reading(self) -> None:
        # The job was sent again 2.5 s after its client had gone.
        self.start(servers=2)
        self.play("c send job a quote\ns expect X-Txn: a")
        self.flood_and_close("c")
        time.sleep(0.1)
        try:
            self.play("s send 503 | X-Turned-Away: 1")
        except AssertionError:
            pass  # the node has closed it: the attempt is given up already
        self.wait_for_counters("clients_gone=1", "attempts=1 ", "held_requests=0")

    def test_a_close_before_the_retry_of_a_waiting_request(self) -> None:
        # Timers run before sockets are read, so another attempt was sent for a client that had closed.
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.start_held("violetsaddle.policy:Balancer._retry_held", servers=3)
                reached: set[str] = set()
                while (
                    len(reached) < 3
                ):  # until each has a reusable connection, on which a job is sent at once
                    for n in range(3):
                        job = f"k{n}-{len(self.took)}"
                        self.play(f"k{n} send job {job} quote\ns expect X-Txn: {job}\ns send 202")
                        reached.add(self.heard[-1].name)
                    for n, job in enumerate(list(self.took)[-3:]):
                        self.play(f"of-{job} call+ {job} done result=x\nk{n} expect 200")
                time.sleep(1.1)  # no second or late answer to these can arrive any more
                self.play("c send job a quote" + "\ns expect X-Txn: a\ns send 503 | X-Turned-Away: 1" * 2)
                stopped = self.at("violetsaddle.policy:Balancer._retry_held")
                close_client(self.line("c"), reset)
                self.go(stopped)
                self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")
                self.end()

    def test_a_close_before_the_second_attempt(self) -> None:
        self.start_held("violetsaddle.policy:Balancer._retry", servers=2)
        self.play("c send job a settle\ns expect X-Txn: a\ns send 503 | X-Turned-Away: 1")
        stopped = self.at("violetsaddle.policy:Balancer._retry")
        self.play("c close")
        self.go(stopped)
        self.wait_for_counters("clients_gone=1", "outcome_moot=1", "attempts=1 ")
        self.play("c2 send job b settle\ns expect POST /api | X-Txn: b")


class ClientWaiting(Scenario):
    def test_a_client_that_waits_is_served(self) -> None:
        self.start()
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.play("s call+ a done result=x\nc expect 200 | x")

    def test_a_client_that_sends_without_end_does_not_block_others(self) -> None:
        self.start()
        self.play("f send job a settle\ns expect X-Txn: a\ns send 202")
        flood = self.line("f").sock
        flood.setblocking(False)
        sent, started = 0, time.monotonic()
        while sent < 40_000_000 and time.monotonic() - started < 3:
            try:
                sent += flood.send(b"x" * 262_144)
            except BlockingIOError:
                self.play("c send GET /up\nc expect 200")
        self.assertGreater(sent, 20_000_000)
        self.play("s call+ a done result=x")
        flood.settimeout(10)
        self.play("f expect 200 | x")


def test_an_unread_close_is_checked_before_each_send() -> None:
    spec = RequestClass(aim=200_000, deadline=5_000_000, effect=KEYED, window=4_000_000)
    net = Net(Settings(classes=(spec,), most_attempts=4, connect_timeout=300_000))
    net.listed("snapshot", one=("active", 0, 1), two=("active", 0, 2))
    client = net.ask("a", 0, 4_000_000)
    client.gone = True  # the kernel has the close, but the node has not read it
    net.clock.advance(0.1)
    net.wires[0].up()
    assert net.wires[0].pending == b"", "the attempt was sent although its client had gone"
    assert net.counters.get("clients_gone") == 1
    assert not net.faults


def test_ids_of_which_nothing_left_do_not_push_out_one_that_ran() -> None:
    # A client with ever new ids made the node forget an id that had run; it was taken and ran again.
    spec = RequestClass(aim=200_000, deadline=5_000_000)
    net = Net(Settings(classes=(spec,), most_attempts=1, connect_timeout=300_000, may_cancel=True))
    net.listed("snapshot", one=("active", 0, 1))
    net.ask("ran", 0, 4_000_000)
    net.wires[0].up()
    net.wires[0].flush()
    net.wires[0].answer("202")
    net.leave("ran")
    net.clock.advance(1)
    for wire in net.live():
        wire.flush()
        wire.answer("204")
    net.clock.advance(1)
    assert len(net.requests) == 0
    for number in range(2 * net.limits.remembered):
        net.ask(f"new-{number}", 0, 4_000_000, gone=True)
    with pytest.raises(InvalidRequestError):
        net.ask("ran", 0, 4_000_000)
    assert len(net.requests._unsent_ids) == net.limits.remembered
