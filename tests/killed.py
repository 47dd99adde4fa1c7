"""Kills one side of an upgrade at each of its points in turn: `python -m tests.killed`.

One upgrade is played first to learn the points that both sides pass.  Then each point has an upgrade of its
own, in which the side that comes there is killed.  Afterwards the node must serve: the other process, or a
fresh start at the same address where the old one was killed before its successor was told to go.  Whatever
happened, no request is answered twice, none runs twice that must not, and an id that ran stays refused."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from violetsaddle.lab.live.upgrades import PATIENCE, Ended, Ground, Line, alive

COMMAND = ("-m", "tests.stepped")
MOST_OF_ONE = 2  # how often a point counts that is passed again and again


class Point(NamedTuple):
    side: str
    name: str
    number: int

    def __str__(self) -> str:
        return f"{self.side} {self.name} {self.number}"


class Result(NamedTuple):
    point: Point
    reached: bool
    wrong: list[str]


def operator(folder: str) -> str:
    return f'[restart]\nupgrade = true\npid_file = "{folder}/pid"\n'


async def half(ground: Ground, gap: float) -> None:
    """A client whose request comes in two parts."""
    data = ground.request("settle-half", "settle", 0.02)
    line = await Line.open(ground.port)
    try:
        line.writer.write(data[:40])
        await asyncio.sleep(gap)
        status, body, _ = await asyncio.wait_for(line.ask(data[40:]), PATIENCE)
        ground.answered["settle-half"] += 1
        ground.counts[f"half {status}"] += 1
    except (Ended, TimeoutError, OSError):
        ground.counts["half lost"] += 1
    finally:
        line.close()


async def silent(ground: Ground, gap: float) -> None:
    """A client that says nothing for a while."""
    line = None
    try:
        line = await Line.open(ground.port)
        await asyncio.sleep(gap)
        line = await ground.ask(line, 0.02, job="settle-silent")
    except OSError:
        pass
    finally:
        if line is not None:
            line.close()


async def once(ground: Ground, work: float, job: str = "") -> None:
    """A client with one request."""
    line = await ground.ask(None, work, job=job)
    if line is not None:
        line.close()


async def play(ground: Ground) -> None:
    """One upgrade with clients in every state, up to its end or to the end of a side."""
    kept = await ground.ask(None, 0.0, job="settle-first")
    try:
        ground.spawn(half(ground, 0.4))
        ground.spawn(silent(ground, 0.5))
        for work in (0.3, 0.6):
            ground.spawn(once(ground, work))
        for _ in range(3):
            ground.spawn(ground.client(15.0))
        await asyncio.sleep(0.1)
        old, begun = ground.pid, len(ground.log)
        os.kill(old, signal.SIGUSR2)
        until = time.monotonic() + PATIENCE
        # A successor killed while the old one drains is followed by the old one itself.
        while (
            time.monotonic() < until
            and alive(old)
            and not any("upgrade failed" in line for line in ground.log[begun:])
        ):
            await asyncio.sleep(0.02)
    finally:
        if kept is not None:
            kept.close()


async def record() -> list[Point]:
    """The points that an upgrade passes, each the first times."""
    with tempfile.TemporaryDirectory() as folder:
        ground = Ground(folder, resends=False, operator=operator(folder))
        steps = Path(folder, "steps")
        try:
            await ground.start(COMMAND, {"STEPS": str(steps), "STEPPED": ""})
            await play(ground)
            await asyncio.sleep(0.2)
        finally:
            await ground.close()
        points = [
            Point(side, name, int(number))
            for side, name, number in (line.split(" ") for line in steps.read_text().splitlines())
        ]
    started = (Point("old", "started", 1),)  # before that there is no node
    return [
        point
        for point in dict.fromkeys(points)
        if point.number <= MOST_OF_ONE
        and point not in started
        and not (point.side == "old" and point.name.startswith("pid-") and point.number == 1)
    ]


async def kill(point: Point) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        ground = Ground(folder, resends=False, operator=operator(folder))
        try:
            await ground.start(COMMAND, {"STEPPED": f"{point} kill"})
            first = ground.pid
            await play(ground)
            return await look(ground, point, first)
        finally:
            await ground.close()


async def settled(ground: Ground) -> list[int]:
    """The processes that are left once nobody is, or one that answers; a successor not told to go ends."""
    until = time.monotonic() + PATIENCE
    while True:
        left = [pid for pid in ground.children if alive(pid)]
        if not left or time.monotonic() > until:
            return left
        line = None
        try:
            if len(left) == 1:
                line = await Line.open(ground.port)
                await asyncio.wait_for(line.ask(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n"), 1)
                return left
        except (OSError, Ended, TimeoutError):
            pass
        finally:
            if line is not None:
                line.close()
        await asyncio.sleep(0.02)


async def look(ground: Ground, point: Point, first: int) -> Result:
    """What is left, and whether it serves."""
    wrong = []
    if point.side == "old":
        reached = not alive(first) and not any(line.endswith("drained") for line in ground.log)
        reached = reached or point.name in ("after-finish-on-empty", "empty-in-draining")
    else:
        reached = len(ground.children) > 1 and not alive(ground.children[1])
    left = await settled(ground)
    if not left:
        if not any("upgraded: " in line or " serves" in line for line in ground.log) and point.side != "old":
            wrong.append("nobody is left")
        for _ in range(10):
            if await ground.launch(STEPPED=""):
                break
        else:
            wrong.append("a fresh start does not listen")
    elif len(left) > 1:
        wrong.append(f"{len(left)} processes are left")
    else:
        ground.pid = left[0]
        file = Path(ground.folder, "pid")
        held = file.read_text().strip() if file.exists() else "nobody"
        if held != str(left[0]):
            wrong.append(f"the pid file names {held}, not {left[0]}: " + "; ".join(ground.log[-6:]))
        # Whoever is left knows what ran before.
        line = await Line.open(ground.port)
        try:
            again = ground.request("settle-first", "settle", 0.0)
            status, _, _ = await asyncio.wait_for(line.ask(again), PATIENCE)
        finally:
            line.close()
        if status != 400:
            wrong.append(f"an id that ran is answered {status}")
    before = ground.counts["served"]
    await once(ground, 0.01, job="settle-after")
    if ground.answered["settle-after"] != 1 or ground.counts["served"] <= before:
        wrong.append("does not serve: " + "; ".join(ground.strange[-3:]))
    return Result(point, reached, wrong + ground.faults())


async def each(points: list[Point], parallel: int) -> list[Result]:
    room = asyncio.Semaphore(parallel)

    async def one(point: Point) -> Result:
        async with room:
            return await asyncio.wait_for(kill(point), 60)

    return await asyncio.gather(*(one(point) for point in points))


def spread(points: list[Point], count: int) -> list[Point]:
    """So many of them, from all over."""
    return points if count >= len(points) else [points[i * len(points) // count] for i in range(count)]


@click.command()
@click.option("--points", "count", default=10_000, help="Only so many, spread out.")
@click.option("--only", default="", help="Only those that hold this text.")
@click.option("--parallel", default=4, show_default=True, type=click.IntRange(1, 16))
def main(count: int, only: str, parallel: int) -> None:
    """Kills one side of an upgrade at each of its points in turn.  Status 1: something was wrong then."""
    points = spread([point for point in asyncio.run(record()) if only in str(point)], count)
    results = asyncio.run(each(points, parallel))
    for result in results:
        state = "; ".join(result.wrong) if result.wrong else "ok" if result.reached else "not reached"
        click.echo(f"{result.point!s:50} {state}")
    click.echo(
        f"{len(points)} points, {sum(r.reached for r in results)} reached, "
        f"{sum(bool(r.wrong) for r in results)} wrong"
    )
    sys.exit(1 if any(result.wrong for result in results) else 0)


if __name__ == "__main__":
    main()
