"""What clients get while the configuration changes: `python -m violetsaddle.lab.changes_beside`.

Each pair is one drawn day, played twice on the live stage with three real replicas beside it: once without
changes and once with one every so often.  The judge looks at both."""

from __future__ import annotations

import argparse
import copy
import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from violetsaddle.control import client
from violetsaddle.decide.document import baseline_of
from violetsaddle.lab import experiment
from violetsaddle.lab.experiment import Case
from violetsaddle.world.day import Day, settings

REPLICAS = ("c0", "c1", "c2")
STARTS = 20.0  # seconds until the replicas vote
WRITE = 8.0  # seconds for a push
LOOK_EVERY = 0.1  # seconds
SHARE_STEP = 0.5  # the first tenant's share is cut to this part by every other change


class Side(msgspec.Struct, frozen=True):
    """One play of a day.  `goodput`: share of the worth offered that was served in time."""

    seed: int
    changing: bool
    goodput: float
    tries: int
    failed: int
    rules: list[str]
    changes: int  # accepted
    applied: int  # by all nodes together
    void: str


@contextmanager
def replicas(day: Day, folder: Path) -> Iterator[list[str]]:
    """Three replicas for a day's settings, while this lasts; gives their addresses.  Raises
    `client.FailedError` where they do not vote in time."""
    with ExitStack() as stack:
        held = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in REPLICAS]
        addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in held]
        site = folder / "site.json"
        site.write_text(json.dumps({"name": "site", "settings": settings(day, 0)}))
        for sock in held:
            sock.close()
        for name, address in zip(REPLICAS, addresses):
            peers = [f"--peer={n}={a}" for n, a in zip(REPLICAS, addresses) if n != name]
            args = [f"--name={name}", f"--listen={address}", *peers, f"--store={folder / name}.db"]
            command = [
                sys.executable,
                "-m",
                "violetsaddle.cli",
                "control",
                *args,
                f"--settings={site}",
                "--new",
            ]
            process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
            stack.callback(_end, process)
        _until_voting(addresses)
        yield addresses


def _end(process: subprocess.Popen[bytes]) -> None:
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(5)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _until_voting(addresses: list[str]) -> None:
    until = time.monotonic() + STARTS
    while any(status.state != "voting" for status in client.statuses(addresses)):
        if time.monotonic() > until:
            raise client.FailedError("the replicas do not vote")
        time.sleep(LOOK_EVERY)


class Changes(threading.Thread):
    """Pushes documents until told to stop: a tenant's share, all aims, permission to cancel."""

    def __init__(self, addresses: list[str], day: Day, every: float) -> None:
        """`every`: seconds between two changes."""
        super().__init__(daemon=True)
        self._addresses, self._every = addresses, every
        self._document = baseline_of(settings(day, 0))
        self.stopped = threading.Event()
        self.accepted = 0
        self.errors: list[str] = []

    def run(self) -> None:
        """Ends soon after `stopped` is set."""
        number = 0
        while not self.stopped.wait(self._every):
            number += 1
            try:
                text = json.dumps(self._changed(number))
                client.write(self._addresses, text, "lab", None, WRITE, time.monotonic)
                self.accepted += 1
            except (client.FailedError, client.InputError) as error:
                self.errors.append(str(error))

    def _changed(self, number: int) -> dict[str, Any]:
        document = copy.deepcopy(self._document)
        odd = number % 2
        document["tenants"][0]["share"] *= SHARE_STEP if odd else 1.0
        document["permissions"]["cancel"] = not odd
        for cls in document["requestClasses"]:
            cls["target"] = cls["target"] * (2 if number % 3 == 0 else 1)
        # No two documents are alike: the same text again would be no change.
        document["overShareWorth"] = number / 1_000_000
        return document


def play(case: Case, every: float) -> Side:
    """Plays one side; `every`: seconds between changes, 0 for none."""
    day = experiment.drawn(case)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with replicas(day, folder) as addresses:
            operator = folder / "operator.toml"
            operator.write_text(f"[configuration]\nreplicas = {json.dumps(addresses)}\n")
            changes = Changes(addresses, day, every)
            if every:
                changes.start()
            played = experiment.run_day(msgspec.structs.replace(case, operator=str(operator)))
            changes.stopped.set()
            if every:
                changes.join(2 * WRITE)
    result = played.result
    figures = result.figures
    applied = sum(counts.get("configurations_applied", 0) for counts in result.counters)
    void = "; ".join(text for text in (result.void, result.error, *changes.errors[:3]) if text)
    return Side(
        result.seed,
        bool(every),
        figures.get("goodput", 0.0),
        figures.get("tries", 0),
        figures.get("failed", 0),
        result.rules,
        changes.accepted,
        applied,
        void,
    )


def main() -> None:
    """The command line; status 1 where a rule was broken or a day counts for nothing."""
    about, _, more = (__doc__ or "").partition("\n\n")
    parser = argparse.ArgumentParser(
        description=about, epilog=more, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenario", default="calm")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--pairs", type=int, default=3)
    parser.add_argument("--every", type=float, default=0.5, help="seconds between changes")
    parser.add_argument("--seed", type=int, default=1, help="of the first pair")
    parser.add_argument("--json", default="", help="file for the outcome")
    told = parser.parse_args()
    table = Table(title=f"{told.scenario}, {told.nodes} nodes, a change each {told.every:g} s")
    for column in (
        "seed",
        "changes",
        "accepted",
        "applied",
        "goodput",
        "tries",
        "failed",
        "rules broken",
        "void",
    ):
        table.add_column(column, justify="right")
    sides = []
    for pair in range(told.pairs):
        case = Case(
            scenario=told.scenario,
            seed=told.seed + pair,
            stage="live",
            nodes=told.nodes,
            seconds=told.seconds,
        )
        for every in (0.0, told.every):
            side = play(case, every)
            sides.append(side)
            table.add_row(
                str(side.seed),
                "yes" if side.changing else "no",
                str(side.changes),
                str(side.applied),
                f"{side.goodput:.4f}",
                str(side.tries),
                str(side.failed),
                ", ".join(side.rules) or "none",
                side.void,
            )
    Console(width=160).print(table)
    if told.json:
        Path(told.json).write_bytes(msgspec.json.encode(sides))
    if any(side.rules or side.void for side in sides):
        sys.exit(1)


if __name__ == "__main__":
    main()
