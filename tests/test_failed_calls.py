"""System calls that fail temporarily: no job is sent twice, and no answer is lost.

The node, its executors and their connections are real. The calls fail inside the node's process."""

from __future__ import annotations

import select
import socket
import struct
import tempfile
import time
from typing import Any

from tests.failing_calls import Failing
from tests.scenario import SETTINGS, Line

LINGER_RESET = struct.pack("ii", 1, 0)
REPORTS_START: dict[str, Any] = {"familyInfo": {**SETTINGS["familyInfo"], "tellsStart": True}}
SILENCE_S = 0.4  # how long an executor must receive nothing
QUIET_PERIOD_S = 0.05  # after it, no second answer is expected on an idle connection


class FailedCalls(Failing):
    def send_job(self, lane: str = "quote") -> tuple[Line, str]:
        """Sends a job. Returns the connection of its executor and the name of the other executor."""
        self.play(f"c send job a {lane}\ns expect POST /api | X-Txn: a")
        line = self.took["a"]
        return line, next(name for name in self.servers if name != line.name)

    def assert_nothing_received(self, name: str, wait: float = SILENCE_S) -> None:
        """The executor receives neither a connection nor a message for `wait` seconds."""
        sources = [self.servers[name], *(h.sock for h in self.heard if h.name == name)]
        ready = select.select([s for s in sources if s.fileno() >= 0], [], [], wait)[0]
        self.assertEqual(ready, [], "the job was sent again while its first attempt was outstanding")

    def open_idle_connections(self) -> None:
        """Leaves an idle connection to each executor."""
        used: set[str] = set()
        for n in range(40):
            if len(used) == len(self.servers):
                break
            self.play(f"""
                k{n} send job k{n} quote
                s expect POST /api | X-Txn: k{n}
                s send 202
                s call+ k{n} done result=x
                k{n} expect 200
            """)
            used.add(self.heard[-1].name)
            time.sleep(QUIET_PERIOD_S)
        self.assertEqual(len(used), len(self.servers))

    def test_a_failed_read_does_not_resend_an_accepted_job(self) -> None:
        # Guards against taking the server for dead when the read of its 202 and connects to it fail.
        self.start_failing(REPORTS_START)
        line, other = self.send_job()
        port = self.port_of(line.name)
        self.fails(f"recv ETIMEDOUT {port} 0 1", f"connect ENETUNREACH {port} 0 -1")
        line.sock.sendall(self.message("202"))
        # Below the 80 ms after which the attempt would be given up if no start were reported.
        self.assert_nothing_received(other, 0.06)
        self.fails()
        self.play("of-a call+ a done result=x\nc expect 200 | x")

    def test_local_connect_errors_do_not_resend_a_job_after_a_reset(self) -> None:
        self.start_failing(REPORTS_START)
        line, other = self.send_job()
        self.fails(f"connect EADDRNOTAVAIL {self.port_of(line.name)} 0 -1")
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        line.sock.close()  # the executor has accepted the job, but its 202 is lost
        self.assert_nothing_received(other)
        self.fails()
        self.play("""
            s expect DELETE /jobs/a
            s send 204
            s expect POST /api | X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | x
        """)

    def test_a_call_that_fails_after_the_last_byte_does_not_make_a_job_unsent(self) -> None:
        # After the last byte, epoll_ctl stops watching for writes: this call fails.
        self.start_failing(REPORTS_START)
        self.open_idle_connections()
        rows = []
        for name in self.servers:
            port = self.port_of(name)
            rows += [f"send EAGAIN {port} 0 1", f"epoll_ctl ENOMEM {port} 1 1"]
        self.fails(*rows)
        line, other = self.send_job("charge")
        self.assert_nothing_received(other)

    def test_a_failed_read_does_not_end_a_servers_connection(self) -> None:
        self.start_failing()
        line, other = self.send_job()
        self.fails(f"recv ETIMEDOUT {self.port_of(line.name)} 0 3")
        line.sock.sendall(self.message("202"))
        self.assert_nothing_received(other)
        self.assert_nothing_received(line.name)  # the connection stays open, and no DELETE is sent
        self.play("of-a call+ a done result=x\nc expect 200 | x")

    def test_a_failed_read_does_not_end_a_clients_connection(self) -> None:
        self.start_failing()
        self.play("c send GET /up\nc expect 200")
        self.fails(f"recv EHOSTUNREACH {self.line('c').sock.getsockname()[1]} 0 3")
        self.play(
            "c send job a settle\ns expect X-Txn: a\ns send 202\ns call+ a done result=x\nc expect 200 | x"
        )

    def test_a_failed_write_does_not_lose_a_clients_answer(self) -> None:
        self.start_failing()
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.fails(f"send ETIMEDOUT {self.line('c').sock.getsockname()[1]} 0 3")
        self.play("s call+ a done result=x\nc expect 200 | x")

    def test_a_failed_write_does_not_end_an_attempt(self) -> None:
        self.start_failing()
        self.fails(*(f"send ENOMEM {self.port_of(name)} 0 2" for name in self.servers))
        self.play("""
            c send job a settle
            s expect POST /api | X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | x
            node send USR1
            node expect counters | attempts=1 | calls_failed_send_enomem=2
        """)

    def test_reads_that_keep_failing_end_the_connection(self) -> None:
        self.start_failing()
        self.play("c send GET /up\nc expect 200")
        self.fails(f"recv EIO {self.line('c').sock.getsockname()[1]} 0 -1")
        self.play("c send GET /up\nc wait")

    def test_a_failed_disconnect_check_does_not_end_a_clients_request(self) -> None:
        # During the first request on a connection, the second read only checks whether the client has gone.
        self.start_failing()
        self.line("c")
        self.fails(f"recv ENOBUFS {self.line('c').sock.getsockname()[1]} 1 1")
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.play("s call+ a done result=x\nc expect 200 | x")

    def test_a_failed_read_does_not_close_the_peers_socket(self) -> None:
        self.start_failing({"permissions": {**SETTINGS["permissions"], "mayTell": True}})
        self.fails("recvfrom ENOMEM 0 0 1")
        self.play("p send 00\nc send GET /up\nc expect 200")
        time.sleep(QUIET_PERIOD_S)
        self.play("""
            p send 00
            c send job a settle
            s expect X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200 | x
            node send USR1
            node expect counters | calls_failed_recvfrom_enomem=1 | heard=2 | !faults
        """)

    def test_a_lack_of_memory_for_epoll_closes_no_clients_connection(self) -> None:
        self.start_failing()
        self.fails(f"epoll_ctl ENOMEM {self.port} 0 3")  # the first one while the connection is accepted
        self.play("c send job a settle\ns expect X-Txn: a\ns send 202")
        self.fails(f"send EAGAIN {self.port} 0 1", f"epoll_ctl ENOSPC {self.port} 0 2")
        self.play("s call a done result=x\nc expect 200 | x")

    def test_a_temporary_disk_failure_at_shutdown_does_not_lose_accepted_jobs(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.start_failing(
                operator=f'[restart]\nsnapshot = "{folder}/memory"\nsnapshot_every_s = 3600.0\n'
            )
            self.play("c send job a settle\ns expect X-Txn: a\ns send 202\ns call+ a done result=x")
            self.play("c expect 200 | x")
            self.fails("write ENOSPC 0 0 3")
            self.play("node send TERM\nnode expect exit 0")
            self.fails()
            self.again()
            self.play("c send job a settle\nc expect 400 | the id is in use")
