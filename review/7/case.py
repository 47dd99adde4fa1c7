"""The time that a request waited for the node to accept its connection is not counted against it."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parties import HOST, LATEST, SETTINGS, SLACK, TROUBLE, Discovery, Ended, Executor, Node, Record
from parties import answer, play, request

STOPPING = 140  # clients that stop in the middle of a request and stay until their error or close
SOCKETS = 256  # descriptors of the node, by its configuration and by the platform's limit
REMAINING = 5.0  # seconds that a usual client waits: the class's deadline
WORK_US = 9_000_000  # of a heavy job: it does not end in time, so that the node has to say so
JOBS = 20


async def case(record: Record, scratch: Path) -> bool:
    discovery = Discovery(record)
    node = Node("n0", scratch, record)
    executors = [Executor(f"s-{n}", record, lambda: (HOST, node.port)) for n in range(4)]
    for executor in executors:
        await executor.open()
        discovery.add(executor)
    await discovery.open()
    node.write(discovery, SOCKETS, 192, SETTINGS)
    node.start(SOCKETS)
    usual_ended, bad_ended = Counter[str](), Counter[str]()
    tasks: list[asyncio.Task[None]] = []
    try:
        await node.ready()
        await asyncio.sleep(1.0)

        async def usual(job: str) -> None:
            """One heavy request, on a connection of its own as when all others are busy."""
            reader, writer = await asyncio.open_connection(HOST, node.port)
            sent = time.monotonic()
            writer.write(request(job, "trip-quote", REMAINING, WORK_US))
            await writer.drain()
            record("usual client sends", job)
            try:
                status, _ = await asyncio.wait_for(answer(reader), REMAINING + LATEST + SLACK)
                what = str(status)
            except TimeoutError:  # before OSError, of which it is one
                what = "LOST"
            except (Ended, OSError):
                what = "closed"  # the client sends it once more, elsewhere: not counted against the node
            record("usual client", job, "has", what, f"after {time.monotonic() - sent:.3f} s")
            usual_ended[what] += 1
            if what == "LOST":
                try:
                    status, _ = await asyncio.wait_for(answer(reader), 5.0)
                    record("usual client", job, "has", status, f"after {time.monotonic() - sent:.3f} s, too late")
                except (TimeoutError, Ended):
                    pass
            writer.close()

        async def stop_halfway(number: int) -> None:
            """Connects and sends half a request."""
            whole = request(f"bad-{number:08x}", "trip-quote", REMAINING, 30_000)
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(whole[: len(whole) // 2])
            tasks.append(asyncio.create_task(stay(number, reader, writer)))

        async def stay(number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Stays until the error or close, and leaves."""
            begun = time.monotonic()
            try:
                status, _ = await answer(reader)
                what = str(status)
            except (Ended, OSError):
                what = "closed"
            bad_ended[what] += 1
            record("stopping client", number, "has", what, f"after {time.monotonic() - begun:.3f} s")
            writer.close()

        if TROUBLE:
            record("trouble:", STOPPING, "clients send half a request and stay")
            for number in range(STOPPING):
                await stop_halfway(number)
                await asyncio.sleep(0.002)
        for number in range(JOBS):
            tasks.append(asyncio.create_task(usual(f"job-{number}")))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)
    finally:
        node.end()
        for executor in executors:
            await executor.close()
        await discovery.close()
    record.aloud("usual requests:", dict(usual_ended), "stopping clients:", dict(bad_ended))
    return not usual_ended["LOST"]


if __name__ == "__main__":
    play(str(Path(__file__).resolve().parent), case)
