"""What one node of a tier holds, by the tier's size: `python -m benchmarks.sizes [SIZE ...]`.

For each size the real program is started with so many peers in its configuration and so many real servers in
its known list, hears a sign of life from up to 200 peers once a second, and is left alone for some seconds: a
table of seconds to the start, CPU seconds, memory (kB) and descriptors."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

SIZES = (4, 40, 230, 1024)
SECONDS = 6
ZONES = 4
SPREAD = 200  # peers that speak; the rest of a larger tier is silent


def bound() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    return made


def configuration(size: int, own: str, peers: list[str], discovery: str) -> dict[str, Any]:
    settings = {
        "requestClasses": [
            {"name": "quote", "target": 200_000, "deadline": 5_000_000, "idempotency": "retryable"}
        ],
        "tenants": [{"name": "acme"}],
        "failureDomains": [f"z{n}" for n in range(ZONES)],
        "kinds": ["box"],
        "discovery": "ask",
        "siblings": size,
        "ordinal": 0,
        "permissions": {"mayTell": True, "cancel": True, "keepalive": 5_000_000},
    }
    servers = [
        {
            "id": f"s-{n:08x}",
            "addr": f"127.0.0.1:{20_000 + n}",
            "zone": f"z{n % ZONES}",
            "kind": "box",
            "cell": n // 8,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(size)
    ]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": 1024},
        "peer_listen": own,
        "peers": peers,
        "settings": settings,
        "known": {"version": 1, "full": True, "servers": servers},
    }


def measure(size: int) -> dict[str, float]:
    """One row of the table."""
    own, discovery = bound(), socket.create_server(("127.0.0.1", 0))
    heard = [bound() for _ in range(min(size, SPREAD))]
    at = [f"127.0.0.1:{s.getsockname()[1]}" for s in heard]
    here = f"127.0.0.1:{own.getsockname()[1]}"
    there = f"127.0.0.1:{discovery.getsockname()[1]}"
    own.close()  # the program takes it over
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        silent = [f"127.0.0.2:{10_000 + n}" for n in range(size - len(at))]
        json.dump(configuration(size, here, [here, *at[1:], *silent], there), file)
        file.flush()
        begun = time.monotonic()
        program = subprocess.Popen(
            [sys.executable, "-m", "violetsaddle"],
            stderr=subprocess.PIPE,
            env={**os.environ, "RELAY_CONFIG": file.name},
        )
        try:
            assert program.stderr is not None
            while b"listening" not in program.stderr.readline():
                pass
            row = {"start, s": time.monotonic() - begun}
            for _ in range(SECONDS):
                for number, peer in enumerate(heard[1:], 1):
                    peer.sendto(
                        bytes((0x80 | (number % ZONES) << 2 if size > 17 else 0,)),
                        ("127.0.0.1", int(here.rpartition(":")[2])),
                    )
                time.sleep(1)
            held = Path(f"/proc/{program.pid}")
            ticks = (held / "stat").read_text().rpartition(")")[2].split()[11:13]
            memory = dict(
                line.split()[:2]
                for line in (held / "status").read_text().splitlines()
                if line.startswith("Vm")
            )
            row["CPU, s"] = sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")
            row["memory, kB"], row["peak, kB"] = int(memory["VmRSS:"]), int(memory["VmHWM:"])
            row["descriptors"] = len(list((held / "fd").iterdir()))
            return row
        finally:
            program.kill()
            program.wait()
            for sock in (*heard, discovery):
                sock.close()


def main(sizes: list[int]) -> None:
    for size in sizes:
        row = measure(size)
        print(
            f"| {size} | "
            + " | ".join(f"{value:.2f}" if value % 1 else f"{value:.0f}" for value in row.values())
            + " |",
            flush=True,
        )


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or list(SIZES))
