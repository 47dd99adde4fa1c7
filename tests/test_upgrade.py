"""Hot upgrades of the real program: clients in every state, callbacks, ids, and each way to fail."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import unittest
from pathlib import Path

from click.testing import CliRunner

from tests import killed
from tests.scenario import PATIENCE, Line, Scenario, address, listener
from violetsaddle.cli.main import main
from violetsaddle.lab.live import upgrades

# The end after SIGTERM is short, to spare the tests its times; no slow machine ends what a test keeps open.
ON = """
[limits]
edge_first_ms = 20000
edge_read_ms = 20000
linger_ms = 50
keep_asking_ms = 100
keep_idle_ms = 200
[restart]
upgrade = true
"""


class Upgrades(Scenario):
    COMMAND = ("-m", "tests.stepped")

    def begin(self, *lines: str, stepped: str = "", **config: object) -> None:
        self.operate(ON + "\n".join(lines))
        self.told = {**self.told, "STEPPED": stepped}
        self.adopts()
        self.start(**config)  # type: ignore[arg-type]

    def state(self, pid: int) -> str:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2][:1]

    def until(self, pid: int, state: str) -> None:
        end = time.monotonic() + PATIENCE
        while self.state(pid) != state:
            self.assertLess(time.monotonic(), end, f"{pid} is never {state}")
            time.sleep(0.005)


UPGRADE = """
    node send USR2
    node expect is to follow
    node expect drains
"""
SERVES = """
    {c} send job {j} quote
    s expect ~X-Txn: {j}
    s send 202
    s call+ {j} done result=of-{j}
    {c} expect 200 | of-{j}
"""


def serves(client: str, job: str) -> str:
    return SERVES.format(c=client, j=job)


class Clients(Upgrades):
    def test_clients_in_every_state_lose_nothing(self) -> None:
        self.begin()
        self.play(
            serves("idle", "a")
            + serves("half", "b")
            + """
            waiting send job c settle
            s expect ~X-Txn: c
            s send 202
            new send GET /up
            new expect 200
            half send RAW POST /api HTTP/1.1 | Host: n | X-Txn: d | X-Lane: quote | X-Org: acme
        """
        )
        silent = self.line("silent")
        time.sleep(0.1)  # until it is accepted
        self.play(UPGRADE)
        self.play("""
            idle wait
            new wait
            half send RAW \\r\\nX-Remaining: 9000m | Content-Length: 0 | |
            s expect ~X-Txn: d
            s send 202
            s call+ d done result=of-d
            half expect 200 | of-d | Connection: close
            silent send job e quote
            s expect ~X-Txn: e
            s send 202
            s call+ e done result=of-e
            silent expect 200 | of-e | Connection: close
            late send job f quote
            s expect ~X-Txn: f
            s send 202
            s call+ f done result=of-f
            late expect 200 | of-f | !Connection: close
            of-c call+ c done result=of-c
            waiting expect 200 | of-c | Connection: close
            node expect drained
            node expect counters | answer_200=6 | callbacks_taken_over=3 | upgrades=1 | !failed
            node expect exit 0
        """)
        self.assertIs(silent, self.lines["silent"])
        self.play("""
            late send job g quote
            s expect ~X-Txn: g
            s send 202
            s call+ g done result=of-g
            late expect 200 | of-g
            next send TERM
            node expect counters | answer_200=2 | callbacks_passed_on=3 | !callbacks_unmatched
            next expect exit 0
        """)

    def test_one_that_the_kernel_took_and_no_process_is_served_by_the_successor(self) -> None:
        self.begin(stepped="new go-in-ready 1 stop")
        self.play("node send USR2\nnode expect is to follow")
        self.until(self.successor, "T")  # the old one has stopped accepting, the new one has not begun
        self.play("between send job a quote")
        os.kill(self.successor, signal.SIGCONT)
        self.play("""
            s expect X-Txn: a
            s send 202
            s call+ a done result=x
            between expect 200 | x | !Connection
            node expect counters | !answer | upgrades=1
            node expect exit 0
            next send USR1
            node expect counters | answer_200=1
        """)

    def test_ids_of_either_process_are_refused_by_the_other(self) -> None:
        self.begin()
        self.play(
            serves("c", "was")
            + """
            c1 send job open settle
            s expect ~X-Txn: open
            s send 202
        """
        )
        self.line("kept")
        time.sleep(0.1)
        self.play("node send USR2\nnode expect drains")
        self.play("""
            c2 send job was quote
            c2 expect 400 | the id is in use
            c2 send job open quote
            c2 expect 400 | the id is in use
            c2 send job new settle
            s expect ~X-Txn: new
            s send 202
            kept send job new quote
            kept expect 400 | the id is in use
            of-open call+ open done result=x
            c1 expect 200
            node expect exit 0
            c2 send job n quote
            of-new call+ new done result=y
            c2 expect 200 | y
            c3 send job open quote
            c3 expect 400 | the id is in use
        """)

    def test_a_callback_that_nobody_knows_and_one_as_the_old_process_ends(self) -> None:
        self.begin(stepped="old heard-call 2 kill")
        self.play("""
            c send job a settle
            s expect X-Txn: a
            s send 202
        """)
        self.play(
            UPGRADE
            + """
            s call+ none done result=x
            s call+ a done result=x
            node expect exit -9
            next send TERM
            node expect counters | callbacks_passed_on=2 | callbacks_unmatched=1
        """
        )

    def test_a_callback_while_the_old_process_says_nothing_is_called_again(self) -> None:
        self.begin()
        self.play(
            """
            c send job a settle
            s expect X-Txn: a
            s send 202
        """
            + UPGRADE
            + "node send STOP"
        )
        self.play(
            """
            k send POST /callback | | {"id":"a","from":"NAME","state":"done","result":"x"}
            k expect 503
            node send CONT
            s call+ a done result=y
            c expect 200 | x
            node expect exit 0
        """.replace("NAME", self.took["a"].name)
        )

    def test_the_old_process_ends_in_time_whatever_is_open(self) -> None:
        self.begin("upgrade_drain_s = 0.3")
        self.play(
            """
            c send job a settle
            s expect X-Txn: a
            s send 202
        """
            + UPGRADE
            + """
            node expect drained for 0.3 s, 1 flows are cut
            node expect exit 0
            c wait
        """
        )

    def test_the_list_and_where_discovery_is_go_with_it(self) -> None:
        self.begin(settings={"discovery": "ask"}, version=7)
        self.play("d expect GET /discovery/hosts?after=7\nd send list 8 s-2=removed")
        self.play("d expect GET /discovery/hosts?after=8")
        self.play(UPGRADE)
        self.lines["was-d"] = self.lines.pop("d")
        self.play("d expect GET /discovery/hosts?after=8\nd send list 9\nnode expect exit 0")
        self.play("d expect GET /discovery/hosts?after=9")
        environ = Path(f"/proc/{self.successor}/environ").read_bytes()
        self.assertIn(b"RELAY_DISCOVERY=", environ)
        with listener() as moved:
            self.replace(discovery=address(moved))
            self.play("next send HUP\nnode expect discovery is at")
            self.play(UPGRADE.replace("node send", "next send"))
        self.assertNotIn(b"RELAY_DISCOVERY=", Path(f"/proc/{self.successor}/environ").read_bytes())

    def test_sighup_as_the_successor_starts_moves_it_too(self) -> None:
        # It stayed with the address that it was started with, for good.
        self.begin()
        self.play("d expect after=1\nnode send USR2\nnode expect is to follow")
        with listener() as moved:
            self.replace(discovery=address(moved))
            self.play("node send HUP\nnode expect discovery is at\nnode expect drains\nnode expect exit 0")
            successors = None
            while successors is None:
                line = Line(moved.accept()[0])
                self.addCleanup(line.sock.close)
                body = json.dumps(self.listing(7, ["s-1=draining", "s-2=up"])).encode()
                try:  # calls of the old process have ended with it
                    self.assertNotIn("after=", line.message())
                    line.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    self.assertIn("after=7", line.message())
                    successors = line
                except (AssertionError, ConnectionError):
                    pass
        self.play("c send job a settle\ns expect X-Txn: a")
        self.assertEqual(self.heard[-1].name, "s-2")

    def test_datagrams_are_the_successors(self) -> None:
        self.begin(settings={"siblings": 2, "permissions": {"mayTell": True}})
        long = "00" * 300
        self.play(f"p send {long}\np expect .")
        self.play(
            UPGRADE
            + f"""
            p send {long}
            p send {long}
            node expect counters | bad_datagrams=1 | told=
            node expect exit 0
            p expect .
            next send USR1
            node expect counters | bad_datagrams=2 | told=
        """
        )


class Failures(Upgrades):
    def fails(self, *lines: str) -> None:
        """The old process says so, counts it and serves on, and may be upgraded again."""
        self.play(
            "".join(f"node expect {line}\n" for line in lines)
            + serves("c", "z")
            + """
            node send USR1
            node expect counters | upgrades=1 | upgrades_failed=1
        """
        )

    def test_a_successor_that_can_not_start(self) -> None:
        self.begin()
        good = Path(self.path).read_text()
        Path(self.path).write_text("{")
        self.play("node send USR2")
        self.fails("violetsaddle: RELAY_CONFIG", "upgrade failed: the successor ended", "ended with status 2")
        Path(self.path).write_text(good)
        self.play(UPGRADE + "node expect exit 0\n" + serves("c1", "y"))

    def test_one_that_breaks_off(self) -> None:
        for point, what, line in (
            ("started", "exit", "ended with status 3"),
            ("said-ready", "kill", "ended by signal 9"),
            ("said-hello", "babble", "ended by signal 9"),
            ("go-in-ready", "kill", "ended by signal 9"),
            ("said-serves", "kill", "ended by signal 9"),
        ):
            with self.subTest(point):
                self.begin(stepped=f"new {point} 1 {what}")
                self.play("node send USR2")
                self.fails(line)
                self.doCleanups()

    def test_one_that_is_too_slow(self) -> None:
        self.begin("upgrade_wait_s = 0.2", stepped="new started 1 sleep")
        self.play("node send USR2")
        self.fails("the successor was not ready within 0.2 s", "ended by signal 9")

    def test_one_that_hears_go_and_does_nothing(self) -> None:
        self.begin(stepped="new go-in-ready 1 sleep")
        self.play("node send USR2\nnode expect is to follow\nbetween send job a quote")
        self.play("""
            node expect was not ready within 1 s
            s expect ~X-Txn: a
            s send 202
            s call+ a done result=x
            between expect 200 | x
        """)
        self.fails()

    def test_a_stall_of_the_old_process_is_not_the_successors_fault(self) -> None:
        self.begin(stepped="old go-is-out 1 stop")
        self.play("node send USR2\nnode expect is to follow\n" + serves("c", "a"))
        self.until(self.program.pid, "T")  # on a busy machine it may not have stopped yet: CONT would be lost
        time.sleep(1.1)  # longer than the successor has to say that it serves
        self.play("node send CONT\nnode expect drains\nc send GET /up\nc expect 200")

    def test_no_descriptors_left(self) -> None:
        self.begin()
        held = len(os.listdir(f"/proc/{self.program.pid}/fd"))
        before = resource.prlimit(self.program.pid, resource.RLIMIT_NOFILE, (held, held + 99))
        self.play("node send USR2\nnode expect upgrade failed: the successor can't be started")
        resource.prlimit(
            self.program.pid,
            resource.RLIMIT_NOFILE,
            (before[0], held + 99) if before[0] < held + 99 else (held + 99, held + 99),
        )
        self.fails()

    def test_an_upgrade_during_an_upgrade(self) -> None:
        self.begin(stepped="new said-hello 1 stop")
        self.play("node send USR2\nnode expect is to follow")
        self.until(self.successor, "T")
        self.play("node send USR2\nnode expect upgrade refused")
        os.kill(self.successor, signal.SIGCONT)
        self.play("node expect drains\nnode expect exit 0\n" + serves("c", "a"))

    def test_one_upgrade_after_another(self) -> None:
        self.begin()
        self.play(UPGRADE + "node expect exit 0\n" + serves("c", "a"))
        first = self.successor
        self.play(UPGRADE.replace("node send", "next send") + serves("c1", "b"))
        self.assertNotEqual(self.successor, first)

    def test_sigterm_before_go_ends_both(self) -> None:
        self.begin(stepped="new said-hello 1 stop")
        self.play("node send USR2\nnode expect is to follow")
        self.until(self.successor, "T")
        self.play("node send TERM\nnode expect ended by signal 9\nnode expect exit 0")

    def test_sigterm_after_go(self) -> None:
        self.begin()
        self.play(
            """
            c send job a settle
            s expect X-Txn: a
            s send 202
        """
            + UPGRADE
            + """
            node send TERM
            node expect stopping
            of-a call+ a done result=x
            c expect 200
            node expect exit 0
        """
            + serves("c1", "b")
        )

    def test_sigterm_to_the_successor_is_the_end_of_both(self) -> None:
        self.begin()
        self.play(
            """
            c send job a settle
            s expect X-Txn: a
            s send 202
        """
            + UPGRADE
            + serves("c1", "b")
            + """
            next send TERM
            node expect stopping
            of-a call+ a done result=x
            c expect 200 | x
            node expect exit 0
            next expect exit 0
        """
        )

    def test_without_the_key_the_signal_is_passed_over(self) -> None:
        self.start()
        self.play("node send USR2\n" + serves("c", "a"))


class Commands(Upgrades):
    def ask(self, *args: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["upgrade", *args], prog_name="violetsaddle")
        return result.exit_code, result.output

    def test_the_command_waits_for_the_successor(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            pid = Path(folder, "pid")
            self.begin(f'pid_file = "{pid}"', stepped="new said-hello 2 kill")
            self.assertEqual(pid.read_text(), f"{self.program.pid}\n")
            good = Path(self.path).read_text()
            Path(self.path).write_text("{")
            status, text = self.ask("--pid-file", str(pid))
            self.assertEqual((status, "serves on" in text), (1, True), text)
            Path(self.path).write_text(good)
            status, text = self.ask(str(self.program.pid), "--pid-file", str(pid))
            self.assertEqual((status, text), (0, f"{pid.read_text().strip()} serves\n"))
            self.play("node expect drains\nnode expect exit 0\n" + serves("c", "a"))
            self.assertEqual(self.ask("1234567", "--pid-file", str(pid))[0], 1)
            self.play("next send TERM\nnext expect exit 0")
            self.assertFalse(pid.exists())
            self.assertEqual(
                self.ask("--pid-file", str(pid)), (1, f"violetsaddle: {pid}: names no process\n")
            )

    def test_a_supervisor_is_told_which_process_serves(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as supervisor,
        ):
            supervisor.bind(folder + "/notify")
            supervisor.settimeout(PATIENCE)
            self.told = {"NOTIFY_SOCKET": folder + "/notify"}
            self.begin()
            self.assertEqual(supervisor.recv(99), b"READY=1")
            self.play(UPGRADE)
            self.assertEqual(supervisor.recv(99), b"MAINPID=%d" % self.successor)

    def test_nobody_to_ask(self) -> None:
        self.assertEqual(self.ask()[0], 2)
        with subprocess.Popen(["true"]) as ended:
            pass
        self.assertEqual(self.ask(str(ended.pid)), (1, f"violetsaddle: {ended.pid}: No such process\n"))


class Killed(unittest.TestCase):
    def test_either_side_at_some_of_the_points(self) -> None:
        points = asyncio.run(killed.record())
        self.assertGreaterEqual(len(points), 50)
        for result in asyncio.run(killed.each(killed.spread(points, 10), 5)):
            with self.subTest(str(result.point)):
                self.assertEqual(result.wrong, [])


class Soak(unittest.TestCase):
    def test_a_few_upgrades_under_load_lose_nothing(self) -> None:
        ground, done, _ = asyncio.run(upgrades.soak(4, 20.0, 8, 60.0, lambda ground, done: None))
        self.assertEqual((done, ground.strange, ground.faults()), (4, [], []))
        self.assertGreater(ground.counts["served"], 30)


if __name__ == "__main__":
    unittest.main()
