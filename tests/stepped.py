"""The real program, stopped at a named point of an upgrade: `python -m tests.stepped`.

STEPPED holds words `SIDE POINT NUMBER WHAT`, separated by `/`: the so-manieth time that SIDE (`old` or `new`)
comes to POINT, it does WHAT: `kill` (SIGKILL to itself), `stop` (SIGSTOP), `babble` (writes nonsense to the
other side), `sleep`, `exit`.  STEPS names a file to which both sides write their points as they pass them."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable

from violetsaddle import __main__ as program
from violetsaddle.net.early import SUCCESSOR


def babble() -> None:
    for name in os.listdir("/proc/self/fd"):
        try:
            if os.readlink(f"/proc/self/fd/{name}").startswith("socket:") and int(name) > 2:
                os.write(int(name), b"\x00\x00\x00\x01\xc1")
        except OSError:
            pass  # a listening socket takes nothing


WHAT: dict[str, Callable[[], object]] = {
    "kill": lambda: os.kill(os.getpid(), signal.SIGKILL),
    "stop": lambda: os.kill(os.getpid(), signal.SIGSTOP),
    "babble": babble,
    "sleep": lambda: time.sleep(60),
    "exit": lambda: os._exit(3),
}


def steps(side: str, orders: str, file: str) -> Callable[[str], None]:
    seen: Counter[str] = Counter()
    wanted = {
        (point, int(number)): what
        for order in orders.split("/")
        if order
        for of, point, number, what in [order.split(" ")]
        if of == side
    }

    def step(point: str) -> None:
        point = point.replace(" ", "-")
        seen[point] += 1
        if file:
            with open(file, "a") as steps:
                steps.write(f"{side} {point} {seen[point]}\n")
        if what := wanted.get((point, seen[point])):
            WHAT[what]()

    return step


if __name__ == "__main__":
    side = "new" if SUCCESSOR in os.environ else "old"
    step = steps(side, os.environ.get("STEPPED", ""), os.environ.get("STEPS", ""))
    step("started")
    sys.exit(program.main(step=step))
