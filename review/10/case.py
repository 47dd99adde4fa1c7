"""After a new configuration a node gives up each call to a slow discovery, and goes on by the old list."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parties import HOST, SETTINGS, SLACK, TROUBLE, Discovery, Ended, Executor, Node, Record
from parties import answer, play, request

GRACE = 2.0  # seconds: drainGrace of the site
SLOW = 2.5  # seconds that a call waits for its turn; the site lets it wait for 3
COUNTS_AS_TOLD = 4.0  # seconds after SIGHUP


async def case(record: Record, scratch: Path) -> bool:
    settings = copy.deepcopy(SETTINGS)
    settings["safety"]["drainGrace"] = int(GRACE * 1e6)
    old, new = Discovery(record), Discovery(record)
    node = Node("n0", scratch, record)
    executors = [Executor(f"s-{n}", record, lambda: (HOST, node.port)) for n in range(4)]
    taken: list[tuple[float, str]] = []
    for executor in executors:
        await executor.open()
        old.add(executor)
        new.add(executor)
    executors[0].heard = lambda _, job: taken.append((time.monotonic(), job))
    await old.open()
    await new.open()
    node.write(old, 1024, 192, settings)
    node.start()
    ended = Counter[str]()
    over = False

    async def client(name: str) -> None:
        count = 0
        while not over:
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
        await node.ready()
        await asyncio.sleep(3.0)  # the first call comes within 2 s
        clients = [asyncio.create_task(client(f"job-{n}")) for n in range(6)]
        await asyncio.sleep(2.0)
        new.slow = SLOW if TROUBLE else 0.0
        await new.set("s-0", state="draining")
        record("s-0 begins to drain; discovery is at", new.port)
        node.write(new, 1024, 192, settings)
        node.signal(signal.SIGHUP)
        moved = time.monotonic()
        old.stop()
        await asyncio.sleep(1.5)
        await old.close()
        await asyncio.sleep(10.5)
        over = True
        await asyncio.gather(*clients)
    finally:
        node.end()
        for executor in executors:
            await executor.close()
        await old.close()
        await new.close()
    told = min([COUNTS_AS_TOLD, *(at - moved for version, at in new.told.items() if version >= new.version)])
    late = [at - moved for at, _ in taken if at - moved > told + GRACE + SLACK]
    record("jobs at s-0, by the seconds since SIGHUP:", [round(at - moved, 3) for at, _ in taken if at > moved])
    record.aloud(f"counts as told {told:.3f} s after SIGHUP; {len(late)} jobs at the draining executor after the grace,",
                 f"up to {max(late):.3f} s after SIGHUP;" if late else "", "requests:", dict(ended))
    return not late


if __name__ == "__main__":
    play(str(Path(__file__).resolve().parent), case)
