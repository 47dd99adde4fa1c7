"""Plays the points of a plan, each several times."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from violetsaddle.lab.capacity.hollow import watch_faults
from violetsaddle.lab.capacity.sizes import RUNNING, STARTS, Plan, Sizes
from violetsaddle.lab.capacity.world import Row, World, guarded

Progress = Callable[[str, float, int], None]  # key, value, runs done


def lift_descriptors() -> None:
    """As many as this process may hold."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Job(NamedTuple):
    """One run of one point."""

    key: str
    value: float
    sizes: Sizes
    run: int


def batches(plan: Plan) -> Iterator[list[Job]]:
    """What is played at a time.  A point that sweeps share is played for the first of them."""
    jobs = [Job(*point, run) for point in distinct(plan) for run in range(plan.runs)]
    for at in range(0, len(jobs), plan.together):
        yield jobs[at : at + plan.together]


def distinct(plan: Plan) -> Iterator[tuple[str, float, Sizes]]:
    """The plan's points, one that sweeps share once."""
    seen: set[Sizes] = set()
    for key, value, sizes in plan.points():
        if sizes not in seen:
            seen.add(sizes)
            yield key, value, sizes


def spread(plan: Plan, rows: list[Row]) -> list[Row]:
    """The rows of each sweep, those that sweeps share repeated under each one's key."""
    found = []
    for key, value, sizes in plan.points():
        for row in rows:
            if row.sizes == sizes:
                found.append(Row(key, value, row.run, sizes, row.figures, row.checks, row.machine_load))
    return found


async def _play(plan: Plan, tree: str, progress: Progress, rows: list[Row]) -> None:
    faults = watch_faults(asyncio.get_running_loop())

    async def together(jobs: list[Job]) -> None:
        async with asyncio.TaskGroup() as group:
            played = [
                group.create_task(World(plan, job.sizes, job.run + 1, tree).play(job.key, job.value, job.run))
                for job in jobs
            ]
        rows.extend(row for task in played for row in task.result())

    done = 0
    try:
        for jobs in batches(plan):
            progress(jobs[0].key, jobs[0].value, done)
            await guarded(together(jobs), [asyncio.shield(faults)])
            done += len(jobs)
    finally:
        faults.cancel()


def first(error: BaseException) -> BaseException:
    """The first error of a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def sweep(plan: Plan, tree: str = "", progress: Progress = lambda key, value, done: None) -> list[Row]:
    """All rows of the plan, in its order.  Raises `NodeDiedError`, `HollowError`, `TimeoutError`,
    `KeyboardInterrupt`; no process that it started is left then."""
    lift_descriptors()
    rows: list[Row] = []
    try:
        asyncio.run(_play(plan, tree, progress, rows))
    except BaseExceptionGroup as group:
        raise first(group) from None
    return spread(plan, rows)


def real_tier(plan: Plan, nodes: int, tree: str = "") -> list[Row]:
    """One run of a tier whose nodes are all real and share the operators' load evenly, or the part of it
    that `elsewhere` of the plan's base tells: a row for each; raises as `sweep`."""
    lift_descriptors()
    load = plan.base.elsewhere or 1.0
    sizes = msgspec.structs.replace(
        plan.base,
        nodes=nodes,
        in_flight=int(load * RUNNING / nodes),
        starts=load * STARTS / nodes,
        elsewhere=load,
    )

    async def play() -> list[Row]:
        faults = watch_faults(asyncio.get_running_loop())
        world = World(plan, sizes, 1, tree, real=nodes)
        try:
            return await guarded(world.play("real", nodes, 0), [asyncio.shield(faults)])
        finally:
            faults.cancel()

    return asyncio.run(play())
