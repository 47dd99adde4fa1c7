"""Hollow peers: what the other nodes of a tier tell the measured one, and counts of what it tells them.

They speak the node's gossip (`violetsaddle.policy`, `_flush_gossip` and `_send_gossip`): signs of life, and
words on the executors of which the measured node hears, as nodes with the operators' load would send them."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from violetsaddle.lab.capacity.hollow import HOST, Traffic
from violetsaddle.lab.capacity.sizes import RUNNING, STARTS

# Of the gossip (`docs/design/circles.md`), written here again so that a fault of the node's can't hide.
CIRCLE = 16  # nodes that hear of an executor, where there are more than 17
WORDS_WAIT, WORDS_EACH = 0.02, 0.0025  # seconds that words gather, or so many for each node of a small tier
MOST_WORDS = 85  # in one datagram
NARROW = 128  # executors up to which a word takes two bytes
# Seconds, as measured of real nodes.  A node looks once a second; in a tier without circles, and for words on
# what goes on, it finds at every other look that a second has passed since it spoke.
SIGN_EVERY, SIGN_EVERY_SMALL, WORDS_EVERY = 1.0, 2.0, 2.0
SENT = 0x80  # first byte of a datagram where the tier has circles
WIDE, ASKS = 1, 2
MOST_JOBS = 15  # that a word can tell


class HollowPeers:
    """The peers of node 0 in a tier of so many nodes."""

    def __init__(self, traffic: Traffic, nodes: int, executors: int, zones: int, seed: int) -> None:
        """`nodes`: of the tier, the measured one included; `seed` draws what peers tell."""
        self._traffic, self._nodes, self._executors, self._zones = traffic, nodes, executors, zones
        self._loop = asyncio.get_running_loop()
        self._random = Random(seed)
        self._sockets: dict[int, socket.socket] = {}
        self._to: tuple[str, int] | None = None
        self.circles = nodes > CIRCLE + 1
        self._wide = executors > NARROW

    def start(self) -> list[int]:
        """Binds a socket for each peer, numbers 1 and up; their ports in order."""
        ports = []
        for number in range(1, self._nodes):
            made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            made.bind((HOST, 0))
            made.setblocking(False)
            self._loop.add_reader(made.fileno(), self._read, number, made)
            self._sockets[number] = made
            ports.append(int(made.getsockname()[1]))
        return ports

    def close(self) -> None:
        """Ends all sockets; nothing is told any more."""
        self._to = None
        for made in self._sockets.values():
            self._loop.remove_reader(made.fileno())
            made.close()

    def _read(self, number: int, sock: socket.socket) -> None:
        while True:
            try:
                data = sock.recv(2048)
            except BlockingIOError:
                return
            except ConnectionError:
                continue  # a datagram of ours came back: the node has ended
            self._traffic.told += 1
            self._traffic.told_bytes += len(data)
            if data and data[0] & SENT and data[0] & ASKS:
                self._send(number, self._head(number))

    def _head(self, number: int) -> bytes:
        wide = WIDE if self._wide else 0
        return bytes((SENT | (number % self._zones & 0xF) << 2 | wide if self.circles else wide,))

    def _send(self, number: int, data: bytes) -> None:
        if self._to is None:
            return
        try:
            self._sockets[number].sendto(data, self._to)
        except OSError:
            return  # no room in the kernel, or the node has ended
        self._traffic.heard += 1
        self._traffic.heard_bytes += len(data)

    def speak(self, to: tuple[str, int], share: float) -> None:
        """Begins to tell the node what a tier with such a share of the operators' load would."""
        self._to = to
        step = max(1, self._nodes // (CIRCLE + 1))
        signs = (
            [-i * step % self._nodes for i in range(1, CIRCLE + 1)] if self.circles else list(self._sockets)
        )
        every = SIGN_EVERY if self.circles else SIGN_EVERY_SMALL
        words = self._running(share)
        for number in signs:
            if self.circles or number not in words:
                self._every(every, number, [self._head(number)])
        for number, told in words.items():
            head = self._head(number)
            told_each = [told[at : at + MOST_WORDS] for at in range(0, len(told), MOST_WORDS)]
            self._every(WORDS_EVERY, number, [head + b"".join(some) for some in told_each])
        changes = 2.0 * STARTS * share  # starts and ends a second, of the whole tier
        if not changes:
            return
        if self.circles:
            self._change(1.0 / (changes * CIRCLE / self._nodes), None, 1)
            return
        # Told to all, and gathered: a peer speaks so long after the first change since it last spoke.
        wait, own = max(WORDS_WAIT, WORDS_EACH * self._nodes), changes / self._nodes
        for number in self._sockets:
            self._change(wait + 1.0 / own, number, round(1 + own * wait))

    def _word(self, jobs: int) -> bytes:
        mark = self._random.getrandbits(16 if self._wide else 11)
        return (mark << 5 | min(jobs, MOST_JOBS)).to_bytes(3 if self._wide else 2, "big")

    def _running(self, share: float) -> dict[int, list[bytes]]:
        """Words on what runs, by the peer that tells them: a task is one of a random node of the circle."""
        tasks = int(RUNNING * share * min(CIRCLE, self._nodes - 1) / self._nodes)
        near = max(1, self._executors * min(CIRCLE, self._nodes) // self._nodes)
        jobs: dict[tuple[int, int], int] = {}
        circles = [
            self._random.sample(range(1, self._nodes), min(CIRCLE, self._nodes) - 1) for _ in range(near)
        ]
        for _ in range(tasks):
            at = self._random.randrange(near)
            pair = self._random.choice(circles[at]), at
            jobs[pair] = jobs.get(pair, 0) + 1
        words: dict[int, list[bytes]] = {}
        for (number, _), count in jobs.items():
            words.setdefault(number, []).append(self._word(count))
        return words

    def _every(self, seconds: float, number: int, datagrams: list[bytes]) -> None:
        def send() -> None:
            for data in datagrams:
                self._send(number, data)
            if self._to is not None:
                self._loop.call_later(seconds, send)

        self._loop.call_later(seconds * self._random.random(), send)

    def _change(self, every: float, peer: int | None, count: int) -> None:
        """Sends words on starts and ends, so many in a datagram, of one peer or of all in random turn."""

        def send() -> None:
            number = self._random.randrange(1, self._nodes) if peer is None else peer
            words = [self._word(self._random.randrange(2)) for _ in range(count)]
            self._send(number, self._head(number) + b"".join(words))
            if self._to is not None:
                self._loop.call_later(every * 2 * self._random.random(), send)

        self._loop.call_later(every, send)
