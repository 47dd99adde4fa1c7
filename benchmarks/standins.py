"""Stand-ins for everybody round one node: job boxes, discovery, a peer, clients, a watcher of stalls.

`benchmarks.soak` starts them as child processes, `python -m benchmarks.standins ROLE SPEC`.  Each says what
it has done in JSON lines on standard output and ends when its standard input does.

What a job is to come to is the first letter of its id: clients and boxes need no word between them."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

HOST = "127.0.0.1"
TENANTS = {"acme": 0.5, "bolt": 0.3, "crow": 0.2}
LANES = {"quote": 0.6, "charge": 0.2, "settle": 0.2}
PORTS_EACH = 3  # of a box, used in turn: a late callback still bears the name that its port had
REMEMBERED = 8192  # jobs whose first attempt was seen
SHORT, LONG, HELD = 300, 3000, 600_000  # milliseconds that a client will wait
PATIENCE = 8.0  # seconds until a client gives up on an answer that should have come


class Spec(msgspec.Struct):
    """What a stand-in is told; `total` 0 is without end, `node` is the node's port, rates are a second."""

    mix: str = "plain"
    rate: float = 800.0
    total: int = 0
    clients: int = 16
    boxes: int = 12
    ids: int = 0
    churn_rate: float = 100.0
    in_flight: int = 0
    fresh_calls: bool = False
    seed: int = 1
    node: int = 0
    result: int = 0  # bytes of a job's result; 0: the word ok
    peers: int = 1


class Plan(msgspec.Struct, frozen=True):
    """What a box does with a job: its answer (None: none; empty: it closes) and its callbacks."""

    answer: bytes | None
    calls: tuple[str, ...] = ()
    calls_first: bool = False
    fresh: bool = False  # a new connection for each callback


def reply(status: str, body: bytes = b"", fields: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


ACCEPTED, WELL = reply("202 Accepted"), reply("200 OK")
PLANS = {
    "a": Plan(ACCEPTED, ("started", "done")),
    "b": Plan(reply("503 Busy", fields="X-Turned-Away: 1\r\n")),
    "c": Plan(ACCEPTED, ("returned",)),
    "d": Plan(ACCEPTED, ("started", "failed")),
    "e": Plan(ACCEPTED, ("started", "lost")),
    "f": Plan(reply("500 Broken")),
    "g": Plan(ACCEPTED),  # silent after the 202
    "h": Plan(b""),
    "i": Plan(None),  # silent before the 202
    "j": Plan(ACCEPTED, ("started", "done"), calls_first=True),
    "k": Plan(ACCEPTED, ("started", "started", "done", "done", "failed")),
    "l": Plan(ACCEPTED, ("stray", "stranger", "started", "done")),
    "m": Plan(ACCEPTED, ("started", "done"), fresh=True),
    "n": Plan(ACCEPTED, ("garbled", "started", "done")),
    "p": Plan(ACCEPTED, ("started",)),  # the client leaves
    "q": Plan(None),  # the client leaves before the 202
    "z": Plan(ACCEPTED, ("started",)),  # held as long as the client stays
}
# Weights of the mixture: boxes' endings, clients', and bad messages, each on a connection of its own.
ENDINGS = {
    "a": 34,
    "b": 4,
    "c": 5,
    "d": 4,
    "e": 3,
    "f": 3,
    "g": 3,
    "h": 3,
    "i": 2,
    "j": 4,
    "k": 4,
    "l": 4,
    "m": 6,
    "n": 2,
    "p": 5,
    "q": 2,
    "R": 3,
    "S": 2,
    "T": 2,
    "U": 2,
    "V": 3,
}
BAD = {"R": "X Bad: 1\r\n", "S": "X-Long: " + "x" * 20_000 + "\r\n", "T": "Transfer-Encoding: chunked\r\n"}


def say(**what: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(what) + b"\n")
    sys.stdout.buffer.flush()


def between(text: bytes, mark: bytes, end: bytes = b"\r\n") -> bytes:
    at = text.find(mark)
    return text[at + len(mark) : text.find(end, at)] if at >= 0 else b""


class Framed(asyncio.Protocol):
    """Cuts a connection's bytes into messages; only what the node and these stand-ins send is understood."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.held = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.held += data
        while (end := self.held.find(b"\r\n\r\n")) >= 0:
            head = self.held[: end + 2]
            length = int(between(head, b"ontent-Length: ") or 0)
            if len(self.held) < end + 4 + length:
                return
            body, self.held = self.held[end + 4 : end + 4 + length], self.held[end + 4 + length :]
            self.message(head, body)

    def message(self, head: bytes, body: bytes) -> None:
        raise NotImplementedError


class Call(Framed):
    """A real server's connection for callbacks; one call at a time, the next once the reply has come."""

    def __init__(self, waiting: deque[bytes], ended: Callable[[], None], once: bool) -> None:
        super().__init__()
        self.waiting, self.ended, self.once = waiting, ended, once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.go()

    def go(self) -> None:
        if self.waiting:
            self.transport.write(self.waiting[0])

    def message(self, head: bytes, body: bytes) -> None:
        self.waiting.popleft()  # only now: a call whose reply never came is made again
        if self.once and not self.waiting:
            self.transport.close()
        else:
            self.go()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended()


class Box:
    """One job box: its present name, and its connection for callbacks."""

    def __init__(self, town: Town, name: str) -> None:
        self.town, self.name = town, name
        self.waiting: deque[bytes] = deque()
        self.calling = False
        self.call_line: Call | None = None

    def word(self, job: str, state: str) -> bytes:
        said: dict[str, Any] = {"id": job, "from": self.name, "state": state}
        if state == "done":
            said["result"] = "r" * self.town.spec.result or "ok"
        elif state == "stray":
            said |= {"id": "none-" + job, "state": "done", "result": "?"}
        elif state == "stranger":
            said |= {"from": "s-unknown", "state": "lost"}
        body = b"{nonsense" if state == "garbled" else msgspec.json.encode(said)
        return b"POST /callback HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def post(self, call: bytes) -> None:
        self.waiting.append(call)
        if len(self.waiting) == 1 and self.call_line is not None:
            self.call_line.go()
        elif self.call_line is None and not self.calling:
            self.calling = True
            self.town.spawn(self.connect())

    async def connect(self) -> None:
        try:
            _, line = await self.town.loop.create_connection(
                lambda: Call(self.waiting, self.lost, False), HOST, self.town.spec.node
            )
            self.call_line = line
        finally:
            self.calling = False

    def lost(self) -> None:
        self.call_line = None
        if self.waiting:
            self.town.spawn(self.connect())

    def alone(self, call: bytes) -> None:
        self.town.spawn(
            self.town.loop.create_connection(
                lambda: Call(deque([call]), lambda: None, True), HOST, self.town.spec.node
            )
        )


class BoxLine(Framed):
    """The node's connection to a box."""

    def __init__(self, box: Box) -> None:
        super().__init__()
        self.box = box

    def message(self, head: bytes, body: bytes) -> None:
        if not head.startswith(b"POST"):
            ours = head.startswith((b"GET /metrics/load ", b"GET /alive ", b"DELETE /jobs/"))
            self.transport.write(reply("200 OK", b"x0=8,utilization=0.2") if ours else reply("404 None"))
            return
        job = between(head, b"X-Txn: ").decode()
        plan = self.box.town.plan(job)
        if plan.answer is not None and not plan.calls_first:
            self.transport.write(plan.answer)
        for number, state in enumerate(plan.calls):
            call = self.box.word(job, state)
            if plan.fresh or self.box.town.spec.fresh_calls:
                self.box.town.loop.call_later(0.005 * number, self.box.alone, call)
            else:
                self.box.post(call)
        if plan.answer == b"":
            self.transport.close()
        elif plan.answer is not None and plan.calls_first:
            self.box.town.loop.call_later(0.02, self.transport.write, plan.answer)


class Watch(Framed):
    """The node's connection to discovery."""

    def __init__(self, town: Town) -> None:
        super().__init__()
        self.town, self.after = town, -1
        self.timer: asyncio.TimerHandle | None = None

    def message(self, head: bytes, body: bytes) -> None:
        after, wait = between(head, b"after=", b"&"), between(head, b"wait_ms=", b" ")
        self.after = int(after) if after else -1
        if self.after < 0 or self.after < self.town.version:
            self.answer()
        else:
            self.town.watches.append(self)
            self.timer = self.town.loop.call_later(int(wait) / 1000, self.answer)

    def answer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self in self.town.watches:
            self.town.watches.remove(self)
        if not self.transport.is_closing():
            self.transport.write(reply("200 OK", msgspec.json.encode(self.town.listing(self.after))))
        if not self.town.asked:
            self.town.asked = True
            say(asked=True)


class Peer(asyncio.DatagramProtocol):
    """Another node of the tier: it has as many jobs at every box as the node says it has itself."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.transport.sendto(data, addr)


class Town:
    """Job boxes, discovery and a peer in one process."""

    def __init__(self, spec: Spec, loop: asyncio.AbstractEventLoop) -> None:
        self.spec, self.loop, self.version = spec, loop, 1
        self.ports: list[list[int]] = []
        self.boxes: list[list[Box]] = []
        self.names: list[str] = []
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=512)
        self.watches: list[Watch] = []
        self.seen: dict[str, None] = {}
        self.replaced, self.asked = 0, False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.extra: dict[str, int] = {}
        self.kept: list[socket.socket] = []

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.over)

    def over(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()  # the node is ending, or at its limit of connections: a box would call again

    def plan(self, job: str) -> Plan:
        """An odd job comes to its ending at its first attempt only, an even one at each."""
        code = job[0]
        if code in "bcdefghi" and int(job[1:], 16) & 1:
            if job in self.seen:
                return PLANS["a"]
            self.seen[job] = None
            if len(self.seen) > REMEMBERED:
                del self.seen[next(iter(self.seen))]
        return PLANS[code]

    async def start(self) -> None:
        for number in range(self.spec.boxes):
            self.names.append(f"s-{number:07d}")
            self.boxes.append([Box(self, self.names[-1]) for _ in range(PORTS_EACH)])
            self.ports.append(
                [
                    await self.listen(lambda box=box: BoxLine(box))  # type: ignore[misc]
                    for box in self.boxes[-1]
                ]
            )
        if self.spec.mix == "endings":
            self.extra = {"s-refuses": self.closed(), "s-mute": self.mute()}
        peers = [
            (await self.loop.create_datagram_endpoint(Peer, (HOST, 0)))[1] for _ in range(self.spec.peers)
        ]
        ports = [peer.transport.get_extra_info("sockname")[1] for peer in peers]
        say(discovery=await self.listen(lambda: Watch(self)), peer=ports[0], peers=ports)

    async def listen(self, build: Callable[[], Framed]) -> int:
        server = await self.loop.create_server(build, HOST, 0, backlog=1024)
        return int(server.sockets[0].getsockname()[1])

    def closed(self) -> int:
        """A port where nobody listens, kept from others."""
        sock = socket.socket()
        sock.bind((HOST, 0))
        self.kept.append(sock)
        return int(sock.getsockname()[1])

    def mute(self) -> int:
        """A port where connections never come up: its backlog is full."""
        sock = socket.socket()
        sock.bind((HOST, 0))
        sock.listen(0)
        for _ in range(4):
            full = socket.socket()
            full.setblocking(False)
            full.connect_ex(sock.getsockname())
            self.kept.append(full)
        self.kept.append(sock)
        return int(sock.getsockname()[1])

    def entry(self, name: str, port: int, cell: int, state: str = "up") -> dict[str, Any]:
        return {
            "id": name,
            "addr": f"{HOST}:{port}",
            "zone": "east",
            "kind": "box",
            "cell": cell % 2,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    def listing(self, after: int) -> dict[str, Any]:
        if after >= 0 and (after >= self.version or (self.changes and self.changes[0][0] <= after + 1)):
            items = [item for version, item in self.changes if version > after]
            return {"version": self.version, "full": False, "servers": items}
        items = [self.entry(name, self.ports[n][self.turn(n)], n) for n, name in enumerate(self.names)]
        items += [self.entry(name, port, 0) for name, port in self.extra.items()]
        return {"version": self.version, "full": True, "servers": items}

    def turn(self, place: int) -> int:
        """Which of its ports the box at a place has now."""
        count = len(self.names)
        return (self.replaced // count + (place < self.replaced % count)) % PORTS_EACH

    def replace(self) -> None:
        """The oldest box makes way for one with a new name at another port."""
        place = self.replaced % len(self.names)
        old, old_port = self.names[place], self.ports[place][self.turn(place)]
        self.replaced += 1
        self.version += 1
        name = self.names[place] = f"s-{len(self.names) + self.replaced - 1:07d}"
        self.boxes[place][self.turn(place)].name = name
        self.changes.append((self.version, self.entry(old, old_port, place, "removed")))
        self.changes.append((self.version, self.entry(name, self.ports[place][self.turn(place)], place)))
        for watch in list(self.watches):
            watch.answer()

    async def churn(self) -> None:
        start = self.loop.time()
        while self.replaced < self.spec.ids:
            await asyncio.sleep(max(0.0, start + self.replaced / self.spec.churn_rate - self.loop.time()))
            self.replace()
            if self.replaced % 20 == 0 or self.replaced == self.spec.ids:
                say(replaced=self.replaced)

    def heard(self, line: bytes) -> None:
        """The node is up: its port is known now."""
        self.spec.node = msgspec.json.decode(line, type=Spec).node
        if self.spec.ids:
            self.spawn(self.churn())


class Line(Framed):
    """A client's connection.  `last`: seconds until it leaves; negative: it serves again."""

    def __init__(self, crowd: Crowd, data: bytes = b"", last: float = -1.0, once: bool = False) -> None:
        super().__init__()
        self.crowd, self.data, self.last, self.once = crowd, data, last, once
        self.since = 0.0  # of the request out; 0: none is

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.data:
            self.ask(self.data)
        else:
            self.crowd.idle.append(self)
        if self.last >= 0:
            self.crowd.loop.call_later(self.last, self.leave, "left")

    def ask(self, data: bytes) -> None:
        self.since = self.crowd.loop.time()
        self.crowd.out[self] = None
        self.transport.write(data)

    def leave(self, status: str) -> None:
        self.end(status)
        self.transport.abort()

    def end(self, status: str) -> None:
        if self.since:
            self.since = 0.0
            del self.crowd.out[self]
            self.crowd.end(status)

    def message(self, head: bytes, body: bytes) -> None:
        self.end(head[9:12].decode())
        if self.once:
            self.transport.close()
        elif b"Connection: close" not in head and not self.transport.is_closing():
            self.crowd.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.end("closed")
        if not self.once:
            if self in self.crowd.idle:
                self.crowd.idle.remove(self)
            self.crowd.open -= 1


class Crowd:
    """Clients at a steady rate, each with one request at a time on a connection it keeps."""

    def __init__(self, spec: Spec, loop: asyncio.AbstractEventLoop) -> None:
        self.spec, self.loop = spec, loop
        self.idle: list[Line] = []
        self.out: dict[Line, None] = {}
        self.held: list[Line] = []
        self.open, self.issued, self.ended, self.start = 0, 0, 0, 0.0
        self.statuses: Counter[str] = Counter()
        self.draws = self.draw(np.random.default_rng(np.random.SeedSequence(spec.seed).spawn(1)[0]))
        self.tasks: set[asyncio.Task[Any]] = set()

    def draw(self, random: np.random.Generator) -> Iterator[tuple[str, str, str]]:
        while self.spec.mix != "endings":
            yield "a", "quote", "acme"

        def some(weights: dict[str, Any]) -> list[str]:
            chances = np.array(list(weights.values()), float)
            return [str(s) for s in random.choice(list(weights), 1024, p=chances / chances.sum())]

        while True:
            yield from zip(some(ENDINGS), some(LANES), some(TENANTS))

    def request(self, code: str, lane: str, tenant: str, number: int, wait: int = 0) -> bytes:
        wait = wait or (SHORT if code in "giq" else LONG)
        key = f"Idempotency-Key: k{number:08x}\r\n" if lane == "charge" else ""
        return (
            f"POST /api?sid={number:016x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Txn: {code}{number:08x}\r\nX-Lane: {lane}\r\nX-Org: {tenant}\r\nX-Remaining: {wait}m\r\n"
            f"{key}{BAD.get(code, '')}"
            "Content-Length: 11\r\n\r\nhello world"
        ).encode()

    def spawn(self, data: bytes = b"", last: float = -1.0, once: bool = False) -> None:
        task = self.loop.create_task(self.connect(data, last, once))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, data: bytes, last: float, once: bool) -> None:
        try:
            await self.loop.create_connection(lambda: Line(self, data, last, once), HOST, self.spec.node)
        except OSError:
            if once:
                self.end("refused")
            else:
                self.open -= 1

    def issue(self) -> None:
        number = self.issued = self.issued + 1
        code, lane, tenant = next(self.draws)
        data = self.request(code, lane, tenant, number)
        if code == "U":
            self.spawn(data[: len(data) - 40], 0.02, once=True)  # leaves in the middle of its request
        elif code == "V":
            self.spawn(data.replace(b"X-Lane: ", b"X-Lane: un"), once=True)  # a class that nobody knows
        elif code in BAD:
            self.spawn(data, once=True)
        elif code in "pq":
            self.spawn(data, 0.03, once=True)
        else:
            self.idle.pop().ask(data)

    def end(self, status: str) -> None:
        self.ended += 1
        self.statuses[status] += 1

    def tick(self) -> None:
        now, spec = self.loop.time(), self.spec
        while self.open < spec.clients:
            self.open += 1
            self.spawn()
        due = int((now - self.start) * spec.rate) - self.issued
        if due > spec.clients:  # behind: what was missed is not caught up with in one heap
            self.start += (due - spec.clients) / spec.rate
        while due > 0 and self.idle and (not spec.total or self.issued < spec.total):
            self.issue()
            due -= 1
        self.loop.call_later(0.0025, self.tick)

    async def hold(self) -> None:
        """Opens the requests that are to be in flight all the time; a few at once, not to choke the node."""
        for number in range(1, self.spec.in_flight + 1):
            data = self.request("z", "quote", "acme", number, HELD)
            _, line = await self.loop.create_connection(
                lambda data=data: Line(  # type: ignore[misc]
                    self, data, once=True
                ),
                HOST,
                self.spec.node,
            )
            line.since = 0.0  # neither counted nor given up
            del self.out[line]
            self.held.append(line)
            if number % 8 == 0:
                await asyncio.sleep(0.01)

    async def run(self) -> None:
        await self.hold()
        say(held=len(self.held))
        self.start = self.loop.time()
        self.tick()
        while not self.spec.total or self.ended < self.spec.total:
            await asyncio.sleep(0.1)
            now = self.loop.time()
            for line in [line for line in self.out if now - line.since > PATIENCE]:
                line.leave("silent")
            held = sum(not line.transport.is_closing() for line in self.held)
            say(ended=self.ended, statuses=self.statuses, held=held)
        say(ended=self.ended, statuses=self.statuses, over=True)


class Told(asyncio.Protocol):
    """Standard input: lines for the role, and its end."""

    def __init__(self, heard: Callable[[bytes], None], ended: Callable[[], None]) -> None:
        self.heard, self.ended = heard, ended

    def data_received(self, data: bytes) -> None:
        self.heard(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended()


async def serve(role: str, spec: Spec) -> None:
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    if role == "town":
        town = Town(spec, loop)
        await loop.connect_read_pipe(lambda: Told(town.heard, over.set), sys.stdin)
        await town.start()
        await over.wait()
        return
    crowd = Crowd(spec, loop)
    await loop.connect_read_pipe(lambda: Told(lambda line: None, over.set), sys.stdin)
    running = loop.create_task(crowd.run())
    await over.wait()
    running.cancel()


def ping(spec: Spec) -> None:
    """`GET /up` every 5 ms on one connection: its longest round trip is the longest stall seen."""
    seen = HdrHistogram(1, 60_000_000, 3)
    line, told = socket.create_connection((HOST, spec.node)), time.monotonic()
    line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    due = told
    while not select.select([sys.stdin], [], [], max(0.0, due - time.monotonic()))[0]:
        start = time.monotonic()
        line.sendall(b"GET /up HTTP/1.1\r\nHost: node\r\n\r\n")
        if not line.recv(4096):
            return
        now = time.monotonic()
        seen.record_value(max(1, int((now - start) * 1e6)))
        due = max(due + 0.005, now)
        if now - told > 0.5:
            told = now
            say(
                pings=seen.get_total_count(),
                max_us=seen.get_max_value(),
                **{f"p{q}_us": seen.get_value_at_percentile(q) for q in (50, 99, 99.9)},
            )


if __name__ == "__main__":
    told_spec = msgspec.json.decode(sys.argv[2], type=Spec)
    if sys.argv[1] == "ping":
        ping(told_spec)
    else:
        asyncio.run(serve(sys.argv[1], told_spec))
    sys.stdout.flush()
    os._exit(0)  # thousands of connections need no farewell each
