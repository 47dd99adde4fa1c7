"""The guard of the ordinary path holds, and fails where a request has come to cost more."""

from __future__ import annotations

import subprocess
import sys
import unittest

import msgspec

from benchmarks.guard import BOUNDS, Bounds, judge

# Each is put into the program before the guard measures it.
PLANTED = {
    "work, deadlines added": """
from violetsaddle.net.requests import Requests
arrive = Requests.arrive
def dearer(self, *told, **named):
    self._deadlines.after(1_000_000, int)
    return arrive(self, *told, **named)
Requests.arrive = dearer
""",
    "copies, of a request's body": """
from violetsaddle.net import edge
class Dearer(edge.HttpOrder):
    def __init__(self, message):
        super().__init__(message)
        self.again = bytes(bytearray(self._body))
edge.HttpOrder = Dearer
""",
    "system, send": """
from violetsaddle.net import edge
answer = edge.EdgeConnection._answer
def dearer(self, status, *told, **more):
    answer(self, status, *told, **more)
    self.transport.doWrite()
    self.transport.getHandle().send(b"")
edge.EdgeConnection._answer = dearer
""",
}


def guard(*options: str, planted: str = "") -> subprocess.Popen[str]:
    text = planted + "\nfrom benchmarks import guard\nguard.main()"
    return subprocess.Popen(
        [sys.executable, "-c", text, *options],
        cwd=BOUNDS.parent.parent,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


class Guard(unittest.TestCase):
    def test_a_plain_request_costs_no_more_than_its_bounds(self) -> None:
        process = guard()
        told, wrong = process.communicate(timeout=120)
        self.assertEqual(process.returncode, 0, told + wrong)

    def test_a_cost_that_is_planted_is_found(self) -> None:
        running = {name: guard("--no-ratio", planted=planted) for name, planted in PLANTED.items()}
        for name, process in running.items():
            with self.subTest(name):
                told, wrong = process.communicate(timeout=120)
                self.assertEqual(process.returncode, 1, told + wrong)
                self.assertIn(f"FAIL: {name}: ", wrong)

    def test_a_count_may_rise_by_five_per_cent_and_a_fallen_one_is_told(self) -> None:
        bounds = msgspec.json.decode(BOUNDS.read_bytes(), type=Bounds)
        counts = {"system": {"recv": 4.0, "send": 100.0}}
        bounds.counts = counts

        def found(recv: float, send: float) -> tuple[int, int]:
            bad, low = judge({"system": {"recv": recv, "send": send}}, bounds)
            return len(bad), len(low)

        self.assertEqual(found(4.0, 104.9), (0, 0))
        self.assertEqual(found(4.0, 105.1), (1, 0))
        self.assertEqual(found(5.0, 106.0), (2, 0))
        self.assertEqual(found(3.0, 100.0), (0, 1))
        self.assertEqual(len(judge({"system": {"recv": 4.0, "send": 100.0, "sendmsg": 1.0}}, bounds)[0]), 1)


if __name__ == "__main__":
    unittest.main()
