"""How long the real program takes from its exec until it listens and until it answers, and what it costs.

    python -m benchmarks.start before=../old after=. --runs 20 --core 7 --rival

Each tree is started in turn by the environment that `build` in its deploy/balancer.toml made,
so that all see the same machine.  Nothing is written: a `__pycache__` that the build left out stays out."""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

CONFIG = {
    "name": "n0",
    "seed": "1",
    "discovery": "127.0.0.1:9",
    "limits": {"sockets": 1024},
    "settings": {
        "requestClasses": [
            {"name": "quote", "target": 200_000, "deadline": 5_000_000, "idempotency": "retryable"}
        ]
    },
}
UP = b"GET /up HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n"
TICK = 0.0005  # seconds between tries to connect
MOST = 30.0  # seconds for a start
FIGURES = ("ready_ms", "listens_ms", "cpu_ms", "peak_mb")


def _free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def _connected(port: int, until: float) -> socket.socket:
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), 5)
        except ConnectionRefusedError:
            if time.monotonic() > until:
                raise
            time.sleep(TICK)


def start_once(python: str, tree: Path, core: int | None, nice: int) -> dict[str, float]:
    """Starts one node and ends it; milliseconds and MB by `FIGURES`."""
    port = _free_port()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as config:
        json.dump({**CONFIG, "listen": f"127.0.0.1:{port}"}, config)
        config.flush()
        env = {**os.environ, "RELAY_CONFIG": config.name, "PYTHONDONTWRITEBYTECODE": "1"}
        env.pop("PYTHONPATH", None)
        command = [python, "-m", "violetsaddle"]
        if core is not None:
            command = ["taskset", "-c", str(core), "nice", "-n", str(nice), *command]
        began = time.monotonic()
        node = subprocess.Popen(
            command,
            cwd=tree,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            with _connected(port, began + MOST) as client:
                listens = time.monotonic()
                client.sendall(UP)
                if not client.recv(64).startswith(b"HTTP/1.1 200"):
                    raise click.ClickException("the node did not answer 200")
            ready = time.monotonic()
            fields = Path(f"/proc/{node.pid}/stat").read_text().rpartition(")")[2].split()
            status = Path(f"/proc/{node.pid}/status").read_text()
        finally:
            node.kill()
            node.wait()
    peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    ticks = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return {
        "ready_ms": 1000 * (ready - began),
        "listens_ms": 1000 * (listens - began),
        "cpu_ms": 1000 * ticks,
        "peak_mb": peak / 1024,
    }


@click.command()
@click.argument("trees", nargs=-1, required=True, metavar="NAME=DIR...")
@click.option("--runs", default=20, show_default=True)
@click.option("--core", type=int, help="Hold the nodes to this core.")
@click.option("--rival", is_flag=True, help="Something spins on that core too: nodes get some 40 % of it.")
def main(trees: tuple[str, ...], runs: int, core: int | None, rival: bool) -> None:
    """Start each tree's node RUNS times in turn and print medians and 90th percentiles."""
    sides = {name: Path(folder).resolve() for name, _, folder in (tree.partition("=") for tree in trees)}
    found: dict[str, list[dict[str, float]]] = {name: [] for name in sides}
    spinning = None
    if rival and core is not None:
        spinning = subprocess.Popen(["taskset", "-c", str(core), sys.executable, "-c", "while True: pass"])
    try:
        for number in range(runs + 1):
            for name, tree in sides.items():
                python = tree / ".venv" / "bin" / "python"
                took = start_once(str(python), tree, core, 2 if rival else 0)
                if number:  # the first one reads files that the machine may not have at hand
                    found[name].append(took)
    finally:
        if spinning is not None:
            spinning.kill()
            spinning.wait()
    table = Table("tree", *(f"{figure} {what}" for figure in FIGURES for what in ("p50", "p90")))
    for name, rows in found.items():
        cells = []
        for figure in FIGURES:
            values = sorted(row[figure] for row in rows)
            p90 = values[min(len(values) - 1, int(0.9 * len(values)))]
            cells += [f"{statistics.median(values):.1f}", f"{p90:.1f}"]
        table.add_row(name, *cells)
    Console(width=140).print(table)


if __name__ == "__main__":
    main()
