"""Regression tests of faults that hostile or unusual input caused, each reduced to the smallest case."""

from __future__ import annotations

import fcntl
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

import pytest

from tests.helpers import MS, SECOND, make, run_until
from tests.scenario import SETTINGS, Scenario, address, listener
from violetsaddle import Entry
from violetsaddle.interface import STARTED

FREE = frozenset({"free_slots"})
HUGE = "1" + "0" * 400
REPORTS = {"report": {"names": ["x0"], "via": "answers"}, "familyInfo": {"reportX0": "free slots"}}


def test_heavy_job_is_sent_although_all_servers_are_cold() -> None:
    balancer, recorder = make(workers=0, cold_from=0.2, cold_for=20 * SECOND)
    start = 100 * SECOND
    run_until(balancer, recorder, 0, start)
    balancer.members(start, "snapshot", [Entry(n, started=start) for n in range(1, 11)])
    for n in range(100):
        now = start + n * 50 * MS
        run_until(balancer, recorder, now - 50 * MS, now)
        balancer.request(now, f"j{n}", 0, SECOND, hint=20 * MS)
        if recorder.sent_to(f"j{n}"):
            balancer.answer(now, f"j{n}", 0, "ok", 1, True, None)
    balancer.fleet.rate = 500 / SECOND  # slots; the capacity is far above the traffic
    balancer.request(now, "big", 0, 4 * SECOND, hint=400 * MS)
    run_until(balancer, recorder, now, now + 5 * SECOND)
    assert recorder.sent_to("big"), "no server's budget reached the job's cost: it was queued and refused"
    balancer.request(now, "huge", 0, 4 * SECOND, hint=SECOND)
    run_until(balancer, recorder, now, now + SECOND)
    assert not recorder.sent_to("huge"), "the job alone would overload any server"


def test_timer_of_an_ended_request_ignores_a_new_request_with_the_same_id() -> None:
    balancer, recorder = make(tells_start=True, second_copies=False, may_cancel=False)
    balancer.request(0, "a", 0, SECOND)
    balancer.answer(1, "a", 0, "full", 1, False, None)
    balancer.answer(2, "a", 1, "ok", 1, True, None)
    balancer.request(79 * MS, "a", 0, SECOND)  # patience is 80 ms
    run_until(balancer, recorder, 79 * MS, 81 * MS)
    assert not balancer.requests["a"].attempts[0].late


def test_tick_after_a_worker_changed_its_kind() -> None:
    balancer, recorder = make(workers=1, kinds=2)
    balancer.request(0, "a", 0, SECOND, hint=1000)
    balancer.note(1, "a", 0, STARTED, 0.0)
    balancer.answer(1001, "a", 0, "ok", 1000, True, None)
    balancer.members(2000, "diff", [Entry(1, cell=1, kind=1)])
    run_until(balancer, recorder, 2000, 2 * SECOND)


def test_start_time_in_the_future_without_cold_servers() -> None:
    balancer, recorder = make(workers=0)
    balancer.members(0, "snapshot", [Entry(1, started=5 * SECOND)])
    balancer.request(0, "a", 0, SECOND)
    assert recorder.sent_to("a")


@pytest.mark.parametrize("bad", [float("inf"), float("nan")])
def test_report_that_is_not_finite_is_ignored(bad: float) -> None:
    balancer, recorder = make(report=FREE, may_tell=True, schedulers=2)
    balancer.heard(0, 1, bytes((0x80,)))
    balancer.request(1, "a", 0, SECOND)
    balancer.answer(2, "a", 0, "ok", 1, True, {"free_slots": bad})
    balancer.request(3, "b", 0, SECOND)
    assert recorder.sent_to("b")


class Attacked(Scenario):
    def test_load_of_400_digits_does_not_lose_the_outcome(self) -> None:
        self.start(REPORTS)
        self.play(f"""
            c send job a quote
            s expect X-Txn: a
            s send 503 | X-Turned-Away: 1 | X-Pressure: {{"x0":{HUGE}}}
            s expect X-Txn: a
            s send 202
        """)
        call = {"id": "a", "from": self.line("s").name, "state": "done", "result": "mine", "load": {"x0": 1}}
        self.play(f"k send POST /callback | | {json.dumps(call).replace('1}', HUGE + '}')}")
        self.play("c expect 200 | mine")

    def test_last_of_two_entries_with_the_same_name_applies(self) -> None:
        self.start({"discovery": "ask"}, servers=1)
        self.play("""
            d expect GET /discovery/hosts
            d send list 2 s-1=removed s-1=up
            d expect after=2
            c send job a quote
            s expect X-Txn: a
        """)

    def test_server_at_the_address_of_a_removed_server_is_a_different_server(self) -> None:
        self.start({"discovery": "ask"}, servers=1)
        self.where["s-9"] = self.where["s-1"]

        def call(job: str, origin: str, result: str) -> str:
            body = json.dumps({"id": job, "from": origin, "state": "done", "result": result})
            return f"k send POST /callback | | {body}\nk expect 204"

        self.play(f"""
            d expect GET /discovery/hosts
            d send list 2 s-1=up
            d expect after=2
            c send job a quote
            s expect X-Txn: a
            s send 202
            d send list 3 s-1=removed s-9=up
            d expect after=3
            c2 send job b quote
            s expect X-Txn: b
            s send 202
            {call("b", "s-1", "old")}
            {call("b", "s-9", "present")}
            c2 expect 200 | present
            {call("a", "s-1", "first")}
            c expect 200 | first
        """)

    def test_jobs_stay_at_the_old_address_of_a_server_that_moves(self) -> None:
        self.start({"discovery": "ask"}, servers=1)
        new = listener()
        self.addCleanup(new.close)
        self.play("""
            c send job a quote
            s expect X-Txn: a
            s send 202
            c2 send job b quote
            s expect X-Txn: b
            d expect GET /discovery/hosts
        """)
        self.where["s-1"], self.servers["s-1-new"] = address(new), new
        self.play("""
            d send list 2 s-1=up
            d expect after=2
            s send 202
            c close
            s expect DELETE /jobs/a
        """)
        self.assertEqual(self.line("s").name, "s-1")
        self.play("s send 204\nc3 send job c quote\ns expect X-Txn: c")
        self.assertEqual(self.line("s").name, "s-1-new")

    def test_delete_is_sent_at_the_connection_limit(self) -> None:
        self.start(servers=1, limits={"sockets": 16})  # five connections to real servers
        self.play("\n".join(f"c{n} send job {n} quote\ns expect X-Txn: {n}" for n in "abcde"))
        self.play("ca close\ns expect ~DELETE /jobs/a")

    def test_lists_with_invalid_weights_or_addresses(self) -> None:
        self.start({"discovery": "ask"}, servers=1)
        good = json.dumps(self.listing(2, ["s-1=up"]))
        wide = good.replace("127.0.0.1", "\uff11\uff12\uff17.0.0.1")
        for bad in (good.replace('"weight": 1.0', '"weight": NaN'), wide):
            self.play("d expect GET /discovery/hosts\nd send 200 | | " + bad)
            self.log("discovery gave a bad list")
            self.lines.pop("d").sock.close()
        self.play("c send job a quote\ns expect X-Txn: a")

    def test_host_headers_and_absolute_targets(self) -> None:
        self.start(servers=1)
        self.play("""
            a send RAW GET /up HTTP/1.0 | |
            a expect 200
            b send RAW GET /up HTTP/1.0 | Host: x | Host: x | |
            b expect 400
            e send RAW GET http://node/up HTTP/1.1 | Host: node | |
            e expect 200
            f send RAW GET /up HTTP/1.1 | Host: a | | GET /up HTTP/1.1\\r\\n\\r\\n
            f expect 200
            f expect 400
        """)

    def test_full_log_pipe_does_not_block_the_node(self) -> None:
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        self.addCleanup(os.close, reader)
        with listener() as found:
            port = found.getsockname()[1]
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as told, listener() as discovery:
            told.write('[log]\nform = "json"\nlevel = "debug"\n')
            told.flush()
            table = {
                "listen": f"127.0.0.1:{port}",
                "seed": "5",
                "discovery": address(discovery),
                "settings": SETTINGS,
                "known": {"version": 1, "full": True, "servers": [{"id": "s-1", "addr": "127.0.0.1:1"}]},
            }
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                json.dump(table, file)
                file.flush()
                env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
                program = subprocess.Popen(
                    [sys.executable, "-m", "violetsaddle"],
                    stderr=writer,
                    env={**env, "RELAY_CONFIG": file.name, "RELAY_OPERATOR": told.name},
                )
                self.addCleanup(program.wait)
                self.addCleanup(program.kill)
                os.close(writer)
                until = time.monotonic() + 20
                while True:
                    try:
                        client = socket.create_connection(("127.0.0.1", port), 5)
                        break
                    except ConnectionRefusedError:
                        self.assertLess(time.monotonic(), until)
                head = (
                    "POST /api HTTP/1.1\r\nHost: n\r\nX-Txn: j0\r\nX-Lane: settle\r\nX-Org: acme\r\n"
                    "X-Remaining: 300m\r\nContent-Length: 0\r\n\r\n"
                )
                with client:
                    client.settimeout(10)
                    for n in range(40):  # the pipe has room for the log lines of about 20
                        client.sendall(head.replace("j0", f"j{n}").encode())
                        self.assertIn(b"HTTP/1.1 ", client.recv(4096))
                program.terminate()
                self.assertEqual(program.wait(20), 0)


class Starting(Scenario):
    def test_listen_address_that_is_not_ascii(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"listen": "127.0.0.1:\u00b2", "discovery": "127.0.0.1:1", "settings": SETTINGS}, file)
            file.flush()
            ran = subprocess.run(
                [sys.executable, "-m", "violetsaddle"],
                capture_output=True,
                text=True,
                timeout=60,
                env={**os.environ, "RELAY_CONFIG": file.name},
            )
        self.assertEqual((ran.returncode, ran.stderr.count("\n")), (2, 1), ran.stderr)
