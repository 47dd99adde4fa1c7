"""The real control process, ended at a chosen write: `python -m tests.stopped_control ARGUMENTS`.

VIOLETSADDLE_CONTROL_STOP_AT holds `STEP NUMBER WHAT`.  As the store comes to STEP for the so-manieth time
(`write`, `state`, `version` or `written`: see `violetsaddle.control.store`), WHAT happens: `kill` (SIGKILL to
itself), or from then on, until the file named by VIOLETSADDLE_CONTROL_ROOM is there, `full` (writing fails,
as on a full disk) or `hang` (writing comes to no end).  The arguments are those of `violetsaddle control`."""

from __future__ import annotations

import errno
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from violetsaddle.cli import control
from violetsaddle.control import run


def stopping(order: str, room: str) -> Callable[[str], None]:
    at, number, what = order.split(" ")
    seen: Counter[str] = Counter()

    def step(name: str) -> None:
        seen[name] += 1
        if name != at or seen[at] < int(number):
            return
        if what == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif what == "hang":
            while not os.path.exists(room):
                time.sleep(0.02)
        elif not os.path.exists(room):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    return step


if __name__ == "__main__":
    order = os.environ.get("VIOLETSADDLE_CONTROL_STOP_AT", "")
    if order:
        told = stopping(order, os.environ.get("VIOLETSADDLE_CONTROL_ROOM", ""))
        run.main = partial(run.main, step=told)
    sys.argv[0] = "violetsaddle control"
    control.command()
