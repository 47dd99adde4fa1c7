"""Clients that send a request and go make the node's memory grow without end."""

from __future__ import annotations

import asyncio
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from parties import HOST, SETTINGS, TROUBLE, CannotRunError, Discovery, Executor, Node, Record, play, request

GROUP = 300  # clients that come at once
GROUPS = 500
PAUSE = 0.05  # seconds between two groups
LIMIT_MB = 64  # of the node, in its configuration
LONGEST = 90.0  # seconds for all groups


class Clients(threading.Thread):
    """Groups of clients, each with one request on a connection of its own.

    With the disruption a client closes its connection as soon as it has sent its request; without it, each
    waits for its answer."""

    def __init__(self, port: int, record: Record) -> None:
        super().__init__(daemon=True)
        self.port, self.record = port, record
        self.sent = self.answered = self.unanswered = self.refused = 0
        self.stopping = False

    def run(self) -> None:
        for group in range(GROUPS):
            if self.stopping:
                return
            waiting = []
            for number in range(GROUP):
                try:
                    client = socket.create_connection((HOST, self.port), timeout=6.0)
                except OSError:
                    self.refused += 1
                    continue
                client.sendall(request(f"{group:08x}{number:08x}", "trip-quote", 5.0, 20_000))
                self.sent += 1
                if TROUBLE:
                    client.close()
                else:
                    waiting.append(client)
            for client in waiting:
                try:
                    data = client.recv(65536)
                except OSError:
                    data = b""
                self.answered += bool(data)
                self.unanswered += not data
                client.close()
            time.sleep(PAUSE)


async def case(record: Record, scratch: Path) -> bool:
    discovery = Discovery(record)
    node = Node("n0", scratch, record)
    executors = [Executor(f"s-{n}", record, lambda: (HOST, node.port)) for n in range(4)]
    for executor in executors:
        await executor.open()
        discovery.add(executor)
    await discovery.open()
    node.write(discovery, 1024, LIMIT_MB, SETTINGS)
    node.start()
    try:
        await node.ready()
        await asyncio.sleep(1.0)
        before, _ = node.memory()
        clients = Clients(node.port, record)
        record("memory before:", before, "KiB; limit", LIMIT_MB * 1024)
        clients.start()
        most, until = before, time.monotonic() + LONGEST
        while clients.is_alive() and time.monotonic() < until and most <= LIMIT_MB * 1024:
            await asyncio.sleep(1.0)
            now, peak = node.memory()
            most = max(most, peak)
            record("memory:", now, "KiB now,", peak, "at most;", clients.sent, "requests sent,",
                   clients.answered, "answered,", clients.unanswered, "closed unanswered")
            if node.status is not None:
                raise CannotRunError(f"the node has ended with status {node.status}")
        clients.stopping = True
        while clients.is_alive():
            await asyncio.sleep(0.1)
        await asyncio.sleep(6.0)  # longer than any request is open
        after, _ = node.memory()
        record.aloud(f"{clients.sent} requests; memory {before} KiB before, {most} at most, {after} once all are over;",
                     f"the limit is {LIMIT_MB * 1024} KiB")
    finally:
        node.end()
        for executor in executors:
            await executor.close()
        await discovery.close()
    return most <= LIMIT_MB * 1024


if __name__ == "__main__":
    play(str(Path(__file__).resolve().parent), case)
