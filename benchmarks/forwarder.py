"""The yardstick: a bare forwarder that moves a node's messages and decides nothing.

    python -m benchmarks.forwarder PORT DISCOVERY_PORT

A client's POST goes to the next real server in turn, its 202 comes back, callbacks `started` and `done` come
to the forwarder's own address and are answered 204, and `done` is the client's 200.  Framing is real (heads
and bodies in pieces of any size, Content-Length, what is sent ahead), connections are kept on all sides, what
breaks is answered 502.  There are no time-outs, limits of connections, classes, retries or peers."""

from __future__ import annotations

import asyncio
import http.client
import json
import re
import signal
import sys
from collections.abc import Callable

import click

HOST = "127.0.0.1"
MOST_HEAD, MOST_BODY = 16 * 1024, 1024 * 1024
LENGTH = re.compile(rb"\r\nContent-Length:[ \t]*(\d+)[ \t]*(?=\r\n|$)", re.IGNORECASE)
CHUNKED = re.compile(rb"\r\nTransfer-Encoding:", re.IGNORECASE)
CLOSE = re.compile(rb"\r\nConnection:[ \t]*close", re.IGNORECASE)
JOB = re.compile(rb"\r\nX-Txn:[ \t]*([!-~]+)", re.IGNORECASE)
# What concerns one connection only, and the name of this side.
OWN = re.compile(rb"\r\n(?:Host|Connection|Keep-Alive|TE|Upgrade|Expect|Proxy-[a-z]+):[^\r]*", re.IGNORECASE)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"


def reply(status: str, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


class Cut(asyncio.Protocol):
    """Cuts a connection's bytes into messages; `message` gets a head, without its empty line, and a body."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.scanned, self.start = 0, 0
        self.head = b""  # of the message whose body is still coming
        self.end = 0  # where that body ends
        self.held = False  # messages wait until `release`
        self.stopped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if not self.held:
            self.cut()
        elif len(self.buffer) > MOST_HEAD + MOST_BODY and not self.stopped:
            self.stopped = True
            self.transport.pause_reading()

    def cut(self) -> None:
        while self.buffer and not self.held:
            if not self.head and not self.cut_head():
                return
            if len(self.buffer) < self.end:
                return
            head, self.head = self.head, b""
            body = bytes(memoryview(self.buffer)[self.start : self.end])
            del self.buffer[: self.end]
            self.scanned = 0
            self.message(head, body)

    def cut_head(self) -> bool:
        at = self.buffer.find(b"\r\n\r\n", max(0, self.scanned - 3))
        if at < 0:
            self.scanned = len(self.buffer)
            if self.scanned > MOST_HEAD:
                self.transport.abort()
            return False
        self.head = bytes(memoryview(self.buffer)[:at])
        length = LENGTH.search(self.head)
        self.start = at + 4
        self.end = self.start + (int(length[1]) if length else 0)
        if CHUNKED.search(self.head) or self.end - self.start > MOST_BODY:
            self.transport.abort()  # a yardstick need not know it, but must not misread it
            self.head = b""
            self.buffer.clear()
            return False
        return True

    def release(self) -> None:
        self.held = False
        if self.stopped:
            self.stopped = False
            self.transport.resume_reading()
        self.cut()

    def message(self, head: bytes, body: bytes) -> None:
        raise NotImplementedError


class Edge(Cut):
    """A client's connection, or one on which a real server calls back."""

    def __init__(self, forwarder: Forwarder) -> None:
        super().__init__()
        self.forwarder, self.job, self.last = forwarder, "", False

    def message(self, head: bytes, body: bytes) -> None:
        self.last = CLOSE.search(head) is not None
        if head.startswith(b"POST /callback "):
            self.callback(body)
        elif head.startswith(b"POST "):
            job = JOB.search(head)
            if job is None or (name := job[1].decode()) in self.forwarder.requests:
                self.say(reply("400 Bad Request"))
                return
            self.job, self.held = name, True
            self.forwarder.requests[name] = self
            self.forwarder.send(name, head, body)
        else:
            self.say(reply("200 OK", b"ready"))

    def callback(self, body: bytes) -> None:
        try:
            call = json.loads(body)
            job, state = call["id"], call["state"]
        except (ValueError, KeyError, TypeError):
            self.say(reply("400 Bad Request"))
            return
        self.say(NO_CONTENT)
        if state == "done":
            self.forwarder.answer(job, reply("200 OK", str(call.get("result", "")).encode()))
        elif state in ("failed", "returned", "lost"):
            self.forwarder.answer(job, reply("502 Bad Gateway"))

    def say(self, data: bytes) -> None:
        self.transport.write(data)
        if self.last:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.job:
            del self.forwarder.requests[self.job]


class Line(Cut):
    """A kept connection to a real server; one exchange at a time."""

    def __init__(self, server: Server, forwarder: Forwarder) -> None:
        super().__init__()
        self.server, self.forwarder, self.job = server, forwarder, ""

    def message(self, head: bytes, body: bytes) -> None:
        job, self.job = self.job, ""
        status = head[9:12]
        if CLOSE.search(head):
            self.transport.close()
        else:
            self.server.idle.append(self)
        if status != b"202":
            self.forwarder.answer(job, reply("503 Service Unavailable"))

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.server.idle:
            self.server.idle.remove(self)
        if self.job:
            self.forwarder.answer(self.job, reply("502 Bad Gateway"))


class Server:
    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.name = f"\r\nHost: {host}:{port}\r\n\r\n".encode()
        self.idle: list[Line] = []


class Forwarder:
    def __init__(self, servers: list[tuple[str, int]]) -> None:
        self.servers = [Server(*server) for server in servers]
        self.requests: dict[str, Edge] = {}
        self.turn = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, job: str, head: bytes, body: bytes) -> None:
        server = self.servers[self.turn % len(self.servers)]
        self.turn += 1
        data = b"".join((OWN.sub(b"", head), server.name, body))
        while server.idle:
            line = server.idle.pop()
            if not line.transport.is_closing():
                line.job = job
                line.transport.write(data)
                return
        task = asyncio.get_running_loop().create_task(self.dial(server, job, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, server: Server, job: str, data: bytes) -> None:
        try:
            _, line = await asyncio.get_running_loop().create_connection(
                lambda: Line(server, self), server.host, server.port
            )
        except OSError:
            self.answer(job, reply("502 Bad Gateway"))
            return
        line.job = job
        line.transport.write(data)

    def answer(self, job: str, data: bytes) -> None:
        edge = self.requests.pop(job, None)
        if edge is not None:
            edge.job = ""
            edge.say(data)
            edge.release()


def listed(port: int) -> list[tuple[str, int]]:
    """The real servers that discovery names at the start."""
    asked = http.client.HTTPConnection(HOST, port, timeout=10)
    asked.request("GET", "/discovery/hosts")
    items = json.loads(asked.getresponse().read())["servers"]
    asked.close()
    return [(host, int(at)) for host, _, at in (item["addr"].rpartition(":") for item in items)]


async def serve(port: int, servers: list[tuple[str, int]], listening: Callable[[int], None]) -> None:
    """Serves until SIGTERM."""
    forwarder, loop, over = Forwarder(servers), asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    server = await loop.create_server(lambda: Edge(forwarder), HOST, port, backlog=1024)
    listening(server.sockets[0].getsockname()[1])
    await over.wait()


@click.command()
@click.argument("port", type=int)
@click.argument("discovery", type=int)
def main(port: int, discovery: int) -> None:
    """PORT 0: any that is free; it is told on standard error."""
    asyncio.run(
        serve(
            port,
            listed(discovery),
            lambda at: print(f"forwarder: listening on {HOST}:{at}", file=sys.stderr, flush=True),
        )
    )


if __name__ == "__main__":
    main()
