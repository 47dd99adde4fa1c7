"""Where lists are pushed, a node that starts sends by an old list until a slow discovery has answered."""

from __future__ import annotations

import asyncio
import copy
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parties import HOST, SETTINGS, SLACK, TROUBLE, Discovery, Ended, Executor, Node, Record
from parties import answer, play, request

GRACE = 0.6  # seconds: drainGrace of the site
SLOW = 2.0  # seconds that a call waits for its turn; the site lets it wait for 3
ROUNDS = 3


async def case(record: Record, scratch: Path) -> bool:
    settings = copy.deepcopy(SETTINGS)
    settings["discovery"] = "push"
    settings["safety"]["drainGrace"] = int(GRACE * 1e6)
    discovery = Discovery(record)
    node = Node("n0", scratch, record)
    executors = [Executor(f"s-{n}", record, lambda: (HOST, node.port)) for n in range(4)]
    taken: list[tuple[float, str]] = []
    for executor in executors:
        await executor.open()
        discovery.add(executor)
    executors[0].heard = lambda _, job: taken.append((time.monotonic(), job))
    await discovery.open()
    node.write(discovery, 1024, 192, settings)  # `known`: all four are up
    await discovery.set("s-0", state="draining")
    drained = time.monotonic()
    record("s-0 begins to drain; the node has not been started yet")
    ended = Counter[str]()
    late: list[float] = []

    async def client(until: float, name: str) -> None:
        count = 0
        while time.monotonic() < until:
            count += 1
            try:
                reader, writer = await asyncio.open_connection(HOST, node.port)
                writer.write(request(f"{name}-{count}", "trip-quote", 5.0, 30_000))
                status, _ = await answer(reader)
                ended[str(status)] += 1
                writer.close()
            except (Ended, OSError):
                ended["closed"] += 1
            await asyncio.sleep(0.05)

    try:
        for number in range(ROUNDS):
            discovery.slow = SLOW if TROUBLE else 0.0
            node.start()
            await node.ready()
            ready = time.monotonic()
            record("the node is ready,", f"{ready - drained:.3f} s after the drain")
            taken.clear()
            await asyncio.gather(*(client(ready + 4.0, f"job-{number}-{n}") for n in range(6)))
            # From the first moment of the process; counted here from the moment in which it was ready.
            late += [at - ready for at, _ in taken if at > ready + GRACE + SLACK]
            record("jobs at s-0, by the seconds since the node was ready:", [round(at - ready, 3) for at, _ in taken])
            node.end()
            await asyncio.sleep(0.3)
    finally:
        node.end()
        for executor in executors:
            await executor.close()
        await discovery.close()
    record.aloud(len(late), "jobs at the draining executor after the grace,",
                 f"up to {max(late):.3f} s after the node was ready;" if late else "", "requests:", dict(ended))
    return not late


if __name__ == "__main__":
    play(str(Path(__file__).resolve().parent), case)
