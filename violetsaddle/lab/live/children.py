"""Processes that a stage starts: none outlives it, whatever ends it."""

from __future__ import annotations

import asyncio
import ctypes
import os
import resource
import signal
from collections.abc import Collection, Mapping, Sequence
from pathlib import Path
from typing import IO

from violetsaddle import __file__ as here

TREE = str(Path(here).resolve().parent.parent)  # of the program that runs this
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def _prepare(parent: int, cpus: Collection[int], sockets: int) -> None:
    """Runs in the child before its program."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # it has ended in between
        os._exit(1)
    if cpus:
        os.sched_setaffinity(0, cpus)
    if sockets:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))


async def spawn(
    args: Sequence[str],
    folder: Path,
    env: Mapping[str, str],
    *,
    tree: str = "",
    cpus: Collection[int] = (),
    sockets: int = 0,
    speaks: bool = False,
    stderr: int | IO[bytes] = asyncio.subprocess.PIPE,
) -> asyncio.subprocess.Process:
    """Starts a program that is killed as soon as this process ends.

    `tree`: the checkout it runs from; `sockets`: the most descriptors it may hold, 0 for as many as this
    process; `speaks`: standard input and output are pipes, else neither leads anywhere.  Raises `OSError`."""
    told = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    # A copy of its own: `os.getppid` of a child that lost its parent names another process.
    parent = os.getpid()
    way = asyncio.subprocess.PIPE if speaks else asyncio.subprocess.DEVNULL
    return await asyncio.create_subprocess_exec(
        *args,
        cwd=folder,
        env={**told, "PYTHONPATH": tree or TREE, "TMPDIR": str(folder), **env},
        stdin=way,
        stdout=way,
        stderr=stderr,
        start_new_session=True,
        preexec_fn=lambda: _prepare(parent, cpus, sockets),
    )


def send(process: asyncio.subprocess.Process | None, number: signal.Signals) -> bool:
    """False: there is no process to hear it."""
    if process is None or process.returncode is not None:
        return False
    try:
        process.send_signal(number)
    except ProcessLookupError:
        return False
    return True


async def end(processes: Sequence[asyncio.subprocess.Process]) -> None:
    """Kills what still runs and waits for it."""
    for process in processes:
        send(process, signal.SIGKILL)
    for process in processes:
        await process.wait()


def peak(process: asyncio.subprocess.Process | None) -> float:
    """The most memory a running process has held so far, in MB; 0 where it has gone."""
    if process is None or process.returncode is not None:
        return 0.0
    try:
        with open(f"/proc/{process.pid}/status") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0
