"""An executor as a process of its own: takes jobs, holds each for a while before it starts, and obeys DELETE.

`python -m tests.backend_process NAME NODE_PORT HOLD_SECONDS`.  It prints the port it listens on, then a line
for each thing that happens to a job: `begun ID`, `deleted ID`, `done ID`."""

from __future__ import annotations

import asyncio
import json
import sys

from tests.executor import message

SHORT = "Content-Length: 0\r\n\r\n"


def tell(event: str) -> None:
    print(event, flush=True)


class Backend:
    def __init__(self, name: str, node_port: int, hold: float) -> None:
        self.name, self.node_port, self.hold = name, node_port, hold
        self.jobs: dict[str, asyncio.Task[None]] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await message(reader)
                writer.write(self.answer(head).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, head: str) -> str:
        method, target, _ = head.split(" ", 2)
        if method == "DELETE":
            job = target.rpartition("/")[2]
            if job in self.jobs:
                self.jobs.pop(job).cancel()
                tell(f"deleted {job}")
            return "HTTP/1.1 204 No Content\r\n" + SHORT
        job = next(line[7:] for line in head.split("\r\n") if line.lower().startswith("x-txn: "))
        self.jobs[job] = asyncio.get_running_loop().create_task(self.run(job))
        tell(f"begun {job}")
        return "HTTP/1.1 202 Accepted\r\n" + SHORT

    async def run(self, job: str) -> None:
        await asyncio.sleep(self.hold)
        tell(f"done {job}")
        body = json.dumps({"id": job, "from": self.name, "state": "done", "result": f"of {job}"})
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node_port)
        head = f"POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        await message(reader)
        writer.close()


async def main(name: str, node_port: str, hold: str) -> None:
    backend = Backend(name, int(node_port), float(hold))
    server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    tell(str(server.sockets[0].getsockname()[1]))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
