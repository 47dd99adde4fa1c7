"""A node under load, faults and a series of signals, until SIGKILL at the earliest time that it may come.

Seeds are `SOAK_SEEDS`, as `1-50`; a few without it.  System calls of the node fail with even seeds, and a
crowd of idle connections stands beside the clients with each third one."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import time

import pytest

from tests.scenario import CLASSES, SETTINGS, Scenario
from tests.soaked import UNSAFE, Asked, Clients, Executors, Record

FIRST, _, LAST = os.environ.get("SOAK_SEEDS", "1-8").partition("-")
LONGEST = 1.2  # seconds, the longest deadline
KILL = LONGEST + 0.7  # after SIGTERM
LATE = 0.7  # what comes so long after SIGTERM is owed an answer before SIGKILL
CROWD = 150  # idle connections beside the clients
SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Soak(Scenario):
    def run_seed(self, seed: int) -> None:
        draw, record = random.Random(seed), Record()
        classes = [
            {**spec, "target": 150_000, "deadline": int(LONGEST * 1e6), "dedupWindow": 800_000}
            for spec in CLASSES
        ]
        told = {"familyInfo": {**SETTINGS["familyInfo"], "tellsStart": True}, "requestClasses": classes}
        permissions = {**SETTINGS["permissions"], "mayTell": False, "dialTimeout": 200_000}
        if seed % 2 == 0:
            self.COMMAND, self.told = ("-m", "tests.faulty_calls"), {"FAULTY_CALLS": str(seed)}
        self.start({**told, "permissions": permissions}, servers=3, limits={"sockets": 256})
        executors = Executors({n: s.dup() for n, s in self.servers.items()}, self.port, seed, record)
        crowd = [
            socket.create_connection(("127.0.0.1", self.port)) for _ in range(CROWD if seed % 3 == 0 else 0)
        ]
        clients = Clients(self.port, seed, record, many=draw.randrange(4, 24), longest=LONGEST)
        time.sleep(draw.uniform(0.6, 1.5))
        self.program.send_signal(signal.SIGHUP)
        time.sleep(draw.uniform(0.0, 0.2))
        self.program.send_signal(signal.SIGTERM)
        ended = time.monotonic()
        self.signals(draw, ended + KILL)
        killed = self.killed()
        clients.stop()
        clients.close()
        executors.close()
        for sock in crowd:
            sock.close()
        self.assertEqual(record.broken, [], self.logged(record.broken))
        self.assertGreater(len(record.asked), 30)
        self.judge(record, ended, killed)

    def logged(self, broken: list[str]) -> str:
        """What the node's log and the executors tell of the requests at fault."""
        jobs = {text.split(" ")[0].rstrip(":") for text in broken}
        assert self.program.stderr is not None
        lines = self.program.stderr.read().decode().splitlines() if broken else []
        return "\n".join(line for line in lines if any(f"request={job} " in line for job in jobs))

    def signals(self, draw: random.Random, until: float) -> None:
        """One after the other, until SIGKILL may come or the node has ended."""
        while (left := until - time.monotonic()) > 0:
            try:
                self.program.wait(min(left, draw.uniform(0.05, 0.6)))
                return
            except subprocess.TimeoutExpired:
                self.program.send_signal(draw.choice(SERIES))

    def killed(self) -> bool:
        if self.program.poll() is not None:
            self.assertEqual(self.program.returncode, 0)
            return False
        self.program.kill()
        self.program.wait()
        return True

    def judge(self, record: Record, ended: float, killed: bool) -> None:
        for job, asked in record.asked.items():
            copies = record.copies.get(job, [])
            if asked.answer in (429, 503) and asked.lane != "quote":
                self.assertTrue(all(c.never_ran for c in copies), f"{job} may have run and was refused")
            if asked.answer or asked.left or (killed and asked.at < ended + LATE):
                continue
            # No answer: the node must not have read it.
            self.assertTrue(asked.closed, f"{job} was left without an answer")
            self.assertEqual(copies, [], f"{job} was sent on, and its connection closed unanswered")
            if asked.first:
                self.assertGreater(asked.at, ended, f"{job} was the first on its connection")
        self.assertTrue(any(a.lane == UNSAFE for a in record.asked.values()))


def told_too_much(held_up: float) -> list[str]:
    """What is noted of a job told 0.2 s too much, if the executors' loop was held up for so many seconds."""
    record, now = Record(), time.monotonic()
    record.asked["j"] = Asked("quote", now - 0.5, 0.7, first=True, written=now - 0.5)
    record.looked_at = now - held_up
    record.begin("j", "s-1", told=0.4)
    return record.broken


def test_a_job_that_its_held_up_executor_read_late_counted_as_told_too_much() -> None:
    assert told_too_much(held_up=0.25) == []
    assert len(told_too_much(held_up=0.005)) == 1


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
def test_every_rule_is_kept_until_the_node_is_killed(seed: int) -> None:
    soak = Soak("run_seed")
    try:
        soak.run_seed(seed)
    finally:
        soak.doCleanups()
