"""`violetsaddle upgrade`: has a running node replaced by a fresh one, without loss."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import click

LOOK_EVERY = 0.05  # seconds


def _read(path: str) -> tuple[int, tuple[int, int]] | None:
    """The process that a pid file names, and which file it is; None: there is none."""
    try:
        with open(path, encoding="ascii") as file:
            told = os.fstat(file.fileno())
            return int(file.read()), (told.st_ino, told.st_mtime_ns)
    except (OSError, ValueError):
        return None


def _wait(path: str, old: int, before: tuple[int, int], seconds: float) -> str | None:
    """Waits until another process serves; what went wrong, or None."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        now = _read(path)
        if now is not None and now[1] != before:
            if now[0] != old:
                click.echo(f"{now[0]} serves")
                return None
            return f"the upgrade failed, {old} serves on: its log says why"
        if not Path(f"/proc/{old}").exists() and (now is None or now[0] == old):
            return f"{old} has ended"
        time.sleep(LOOK_EVERY)
    return f"no answer within {seconds:g} s: is `upgrade` on in the operator file?"


@click.command(short_help="Replace a running node without loss.")
@click.argument("pid", type=click.IntRange(2), required=False)
@click.option("--pid-file", metavar="FILE", help="The node's `restart.pid_file`.")
@click.option(
    "--wait",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.1, 3600),
    help="Seconds until it must have succeeded; needs the pid file.",
)
def command(pid: int | None, pid_file: str | None, wait: float) -> None:
    """Have the node that runs as PID, or that the pid file names, replaced by a fresh one.

    The node must have `restart.upgrade` on. With a pid file this waits for the successor and prints its id;
    without one it only asks, and the log says what came of it. Status 1: no successor serves."""
    held = _read(pid_file) if pid_file is not None else None
    wrong = None
    if pid_file is not None and held is None:
        wrong = f"{pid_file}: names no process"
    elif pid is not None and held is not None and held[0] != pid:
        wrong = f"{pid_file}: names {held[0]}, not {pid}"
    elif pid is None and held is None:
        raise click.UsageError("give PID or --pid-file")
    else:
        asked = pid if pid is not None else held[0] if held is not None else 0
        try:
            os.kill(asked, signal.SIGUSR2)
        except OSError as error:
            wrong = f"{asked}: {error.strerror}"
        else:
            if pid_file is not None and held is not None:
                wrong = _wait(pid_file, asked, held[1], wait)
    if wrong is not None:
        click.echo(f"violetsaddle: {wrong}", err=True)
        sys.exit(1)
