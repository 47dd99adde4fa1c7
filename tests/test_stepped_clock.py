"""A wall clock that is stepped moves no timer of the node."""

from __future__ import annotations

import os
import tempfile
import time

import pytest

from tests.scenario import Scenario

HOUR = 3600.0  # seconds
WAIT = 0.6  # seconds that the client waits for its answer
SLACK = 0.5  # seconds within which an answer still counts
SHORT = "POST /api | X-Txn: a | X-Lane: settle | X-Org: acme | X-Remaining: 600m | | body"


class SteppedClock(Scenario):
    COMMAND = ("-m", "tests.stepped_clock")

    def steps(self, seconds: float) -> None:
        with open(self.clock + "+", "w") as file:
            file.write(str(seconds))
        os.replace(self.clock + "+", self.clock)

    def answered_in_time(self, seconds: float) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".clock", delete=False) as file:
            self.clock = file.name
        self.addCleanup(os.unlink, self.clock)
        self.told = {**self.told, "WALL_CLOCK": self.clock}
        self.start()
        begun = time.monotonic()
        self.play("c send " + SHORT + "\ns expect X-Txn: a\ns send 202")
        self.steps(seconds)
        self.line("c").sock.settimeout(5.0)
        self.play("c expect 504")
        self.assertLess(time.monotonic() - begun, WAIT + SLACK)


@pytest.mark.parametrize("seconds", [-HOUR, -3.0, 3.0, HOUR])
def test_a_step_of_the_wall_clock_does_not_hold_up_an_answer(seconds: float) -> None:
    case = SteppedClock("answered_in_time")
    try:
        case.answered_in_time(seconds)
    finally:
        case.doCleanups()
