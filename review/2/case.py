"""Bad clients send bodies of 60 MB in chunks of one byte, each with a long chunk extension."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import HOST, Discovery, Executor, Job, Node, Record, ask, free_port, main, now, settings  # noqa: E402

MEMORY_MB = 192  # the most that the operators' pages give a node on scored days
BAD_CLIENTS = 5
BODY = 60_000_000  # bytes of each bad client's body, as it stands on the wire
CHUNK = b"1;note=" + b"y" * 16_000 + b"\r\nz\r\n"  # one byte of content


def held_mb(pid: int) -> float:
    """Resident memory of a process, which `run` ends in."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def bad_client(record: Record, port: int, number: int) -> None:
    sent, came = 0, b""
    began = now()
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            b"POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Txn: bad%d\r\nX-Lane: trip-quote\r\n"
            b"X-Org: austin\r\nX-Remaining: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n" % number
        )
        while sent + len(CHUNK) <= BODY:
            writer.write(CHUNK)
            sent += len(CHUNK)
            await writer.drain()
        came = await asyncio.wait_for(reader.read(200), 6)
        writer.close()
    except (OSError, TimeoutError) as error:
        came = repr(error).encode()
    record.say(f"bad client {number}: from {began:.4f} sends {sent} bytes of body and gets {came[:60]!r}")


async def play(record: Record, place: Path, trouble: bool) -> list[str]:
    jobs: list[Job] = []
    discovery = Discovery(record)
    await discovery.start()
    port = free_port()
    for name in ("s-a", "s-b", "s-c", "s-d"):
        executor = Executor(name, record, jobs, port, 3.0)
        await executor.start()
        discovery.put(name, executor.port)
    node = Node(record, place, {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery.port}", "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}, "known": discovery.listing(),
        "settings": settings(),
    })
    breaks, most = [], 0.0
    try:
        node.start()
        await node.ready()
        assert node.process is not None
        usual = [
            asyncio.create_task(ask(record, port, f"settle{n}", "fleet-settle", 15_000)) for n in range(4)
        ]
        await asyncio.sleep(1.0)
        bad = [asyncio.create_task(bad_client(record, port, n)) for n in range(BAD_CLIENTS if trouble else 0)]
        # The platform: a node that holds more than its limit is killed.
        while not all(task.done() for task in usual):
            if not node.ended():
                most = max(most, held := held_mb(node.process.pid))
                if held > MEMORY_MB:
                    breaks.append(f"the node held {held:.0f} MB of {MEMORY_MB} MB: the platform kills it")
                    node.kill()
                    record.say(f"platform: {breaks[-1]}")
            await asyncio.sleep(0.005)
        if node.ended() and not breaks:
            breaks.append("the node ended by itself")
        for number, task in enumerate(usual):
            status = task.result()[0]
            if status != 200 and node.ended():
                runs = [job.executor for job in jobs if job.id == f"settle{number}"]
                breaks.append(f"settle{number}, sent to {runs}, gets no answer ({status or 'reset'})")
        await asyncio.gather(*bad)
        record.say(f"the node's memory: {most:.0f} MB at the most")
    finally:
        node.kill()
        record.say("node's log: " + (place / "n1.log").read_text(encoding="utf-8")[-2000:])
    return breaks


main(HERE, play)
