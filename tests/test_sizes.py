"""A tier of 1,024 nodes and 1,024 real servers: one node of it, started and told of all of them."""

from __future__ import annotations

import json
from typing import Any
from zlib import crc32

from tests.helpers import make
from tests.scenario import SETTINGS, Scenario
from violetsaddle import Entry
from violetsaddle.state import stable_hash

MANY = 1024
TIER: dict[str, Any] = {
    "discovery": "ask",
    "siblings": MANY,
    "ordinal": 0,
    "permissions": {**SETTINGS["permissions"], "mayTell": True},
}


def entries(up: dict[str, str]) -> list[dict[str, Any]]:
    """All real servers; those that are up, by name, with their addresses."""
    return [
        {
            "id": name,
            "addr": up.get(name, f"127.0.0.1:{20_000 + n}"),
            "zone": "east",
            "kind": "box",
            "cell": n // 8,
            "state": "up" if name in up else "draining",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n, name in enumerate([*up, *(f"server-of-a-large-tier-{n}" for n in range(MANY - len(up)))])
    ]


class Sizes(Scenario):
    def start_large(self, operator: str = "", known: bool = True) -> None:
        peers = [f"127.0.0.1:{10_000 + n}" for n in range(MANY)]
        table: dict[str, Any] = {"version": 1, "full": True, "servers": entries({}) if known else []}
        self.start(TIER, operator=operator, known=table)
        # Its own address and that of the one node that plays here are known only now.
        self.end()
        peers[0], peers[1] = self.peer_at, f"127.0.0.1:{self.peer.getsockname()[1]}"
        self.servers, self.heard = {}, []
        self.start(TIER, operator=operator, known=table, peers=peers, peer_listen=self.peer_at)

    def test_1024_peers_and_servers_known_listed_and_spoken_of(self) -> None:
        self.start_large()
        answer = json.dumps({"version": 2, "full": True, "servers": entries(self.where)}, indent=8).encode()
        line = self.line("d")
        self.play("d expect after=1")
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
        for at in range(0, len(answer), 1000):
            line.sock.sendall(answer[at : at + 1000])
        self.play("d expect after=2")
        marks = [stable_hash(crc32(e["id"].encode()), 2) & 0xFFFF for e in entries(self.where)]
        words = [(mark << 5 | 1).to_bytes(3, "big") for mark in marks]
        for at in range(0, MANY, 85):
            self.peer.sendto(b"\x81" + b"".join(words[at : at + 85]), self.told_at())
        for n in range(20):
            self.play(f"""
                c send job a{n} quote
                s expect ~X-Txn: a{n}
                s send 202
                s call+ a{n} done result=x
                c expect 200 | x
            """)
        self.play("""
            node send TERM
            node expect counters | lists_snapshot=1 | answered_served=20 | !faults | !bad_datagrams
            node expect exit 0
        """)

    def told_at(self) -> tuple[str, int]:
        host, _, port = self.peer_at.rpartition(":")
        return host, int(port)

    def test_a_list_beyond_what_can_be_held_is_told_and_the_one_before_stays(self) -> None:
        self.start(TIER, operator="[limits]\nlist_body_bytes = 65536\n")
        answer = json.dumps({"version": 2, "full": True, "servers": entries({})})
        self.play("d expect after=1")
        self.line("d").sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
        self.play("""
            node expect can't be taken | too large | 65536 bytes
            d wait
            d close
            d expect after=1
            c send job a quote
            s expect ~X-Txn: a
            s send 202
            s call+ a done result=x
            c expect 200
            node send USR1
            node expect counters | watch_bad=1 | !faults
        """)


def test_two_servers_with_one_mark_are_both_used() -> None:
    first = next(n for n in range(2, 1 << 20) if stable_hash(n, 2) & 0xFFFF == stable_hash(1, 2) & 0xFFFF)
    balancer, recorder = make(workers=0, may_tell=True, schedulers=3)
    balancer.members(0, "snapshot", [Entry(n) for n in [1, first, *range(10 * MANY, 11 * MANY - 2)]])
    assert len(balancer.workers) == MANY and balancer.workers[1].mark == balancer.workers[first].mark
    balancer.heard(1, 1, b"\x01" + (balancer.workers[1].mark << 5 | 9).to_bytes(3, "big"))
    assert balancer._known_load(1, balancer.workers[first]) == (9, False), "told jobs count for both"
    for n in range(4 * MANY):
        balancer.request(n, f"j{n}", 0, 1_000_000)
    sent = {d[2] for d in recorder.named("send")}
    assert len(sent) > 0.9 * MANY
