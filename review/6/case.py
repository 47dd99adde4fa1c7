"""Clients that stop in the middle of a request keep the node from reading usual ones in their time."""

from __future__ import annotations

import asyncio
import copy
import os
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parties import HOST, LATEST, SETTINGS, SLACK, TROUBLE, Discovery, Ended, Executor, Node, Record
from parties import answer, play, request

STOPPING = 180  # clients that stop in the middle of a request and stay until their error or close
SOCKETS = 256  # descriptors of the node, by its configuration and by the platform's limit
REMAINING = 0.5  # seconds that a usual client waits: the class's deadline in these settings
EACH = 0.05  # seconds between two usual requests


async def case(record: Record, scratch: Path) -> bool:
    discovery = Discovery(record)
    node = Node("n0", scratch, record)
    executors = [Executor(f"s-{n}", record, lambda: (HOST, node.port)) for n in range(4)]
    for executor in executors:
        await executor.open()
        discovery.add(executor)
    await discovery.open()
    settings = copy.deepcopy(SETTINGS)
    settings["requestClasses"][0]["deadline"] = int(REMAINING * 1e6)
    node.write(discovery, SOCKETS, 192, settings)
    node.start(SOCKETS)
    usual_ended, bad_ended = Counter[str](), Counter[str]()
    tasks: list[asyncio.Task[None]] = []
    try:
        await node.ready()
        await asyncio.sleep(1.0)

        async def usual(job: str) -> None:
            """One request, on a connection of its own as when all others are busy."""
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, node.port), REMAINING)
            except (OSError, TimeoutError):
                usual_ended["not connected"] += 1
                return
            sent = time.monotonic()
            writer.write(request(job, "trip-quote", REMAINING, 30_000))
            try:
                await writer.drain()
                status, _ = await asyncio.wait_for(answer(reader), REMAINING + LATEST + SLACK)
                what = str(status)
            except TimeoutError:  # before OSError, of which it is one
                what = "LOST"
            except (Ended, OSError):
                what = "closed"  # the client sends it once more, elsewhere: not counted against the node
            usual_ended[what] += 1
            record("usual client", job, "has", what, f"after {time.monotonic() - sent:.3f} s")
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

        async def trouble() -> None:
            record("trouble:", STOPPING, "clients send half a request and stay")
            for number in range(STOPPING):
                await stop_halfway(number)
                await asyncio.sleep(0.002)

        begun = time.monotonic()
        for number in range(200):
            if TROUBLE and number == 60:
                tasks.append(asyncio.create_task(trouble()))
            tasks.append(asyncio.create_task(usual(f"job-{number}")))
            if number % 20 == 0:
                record("the node holds", len(os.listdir(f"/proc/{node.process.pid}/fd")), "descriptors")
            await asyncio.sleep(max(0.0, begun + (number + 1) * EACH - time.monotonic()))
        for _ in range(2):  # the last ones began others
            await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        node.end()
        for executor in executors:
            await executor.close()
        await discovery.close()
    record.aloud("usual requests:", dict(usual_ended), "stopping clients:", dict(bad_ended))
    return not usual_ended["LOST"]


if __name__ == "__main__":
    play(str(Path(__file__).resolve().parent), case)
