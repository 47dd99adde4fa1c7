"""`violetsaddle lab capacity`: what a node costs does not grow in ways that the fleet ahead could not bear.

Counts, bytes and memory alone: a busy machine changes no verdict."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from tests.faults import apply
from violetsaddle.cli.lab import command
from violetsaddle.lab import experiment
from violetsaddle.lab.capacity import report, sizes, starts, sweep
from violetsaddle.lab.capacity.fit import fit
from violetsaddle.lab.capacity.process import NodeDiedError, RealNode
from violetsaddle.lab.capacity.world import Row, settings

SUBSET = 16  # nodes that hear of an executor
HELD = 40
WORD = 3  # bytes, where there are more than 128 executors
SLACK = 1.5  # one second's words more than the window's own may fall into it
KB = 1024
MEMORY_EACH = {"executors": 8 * KB, "tenants": 16 * KB, "in_flight": 16 * KB}  # bytes, at most
PAIR = 64  # bytes for each pair of an executor and a node, at most
NOISE = 512 * KB  # of a process's memory from one run to the next
PLAN = f"""
runs = 1
together = 4
settle = 1.0
seconds = 3.0
[base]
executors = 400
tenants = 3
in_flight = {HELD}
[sweeps]
nodes = [24, 72, 216]
executors = [50, 400]
tenants = [3, 47]
in_flight = [{HELD}, 400]
starts = [0, 20]
"""


def of(rows: list[Row], key: str) -> list[Row]:
    return sorted((row for row in rows if row.key == key), key=lambda row: row.value)


def grows_beyond_the_subset(rows: list[Row]) -> list[str]:
    """What is told by a node that holds `HELD` requests grows with the tier, or past the subset's bound."""
    found = []
    for row in (tiers := of(rows, "nodes")):
        signs, told = row.figures["told_per_s"], row.figures["told_bytes_per_s"]
        if signs > SLACK * SUBSET * (HELD + 1):
            found.append(f"{row.value:g} nodes: {signs:.0f} datagrams a second")
        if told - signs > SLACK * SUBSET * HELD * WORD:
            found.append(f"{row.value:g} nodes: {told - signs:.0f} bytes of words a second")
    least, most = tiers[0].figures, tiers[-1].figures
    words = [figures["told_bytes_per_s"] - figures["told_per_s"] for figures in (least, most)]
    if words[1] > SLACK * words[0]:
        found.append(f"bytes of words grow with the tier: {words[0]:.0f} to {words[1]:.0f} a second")
    return found


@pytest.fixture(scope="module")
def rows() -> list[Row]:
    return sweep.sweep(sizes.parse(PLAN))


def test_a_node_counts_what_is_seen_outside_it(rows: list[Row]) -> None:
    assert [] == report.strange(report.result(sizes.parse(PLAN), rows))
    assert all(row.figures["refused_per_s"] == row.figures["failed_per_s"] == 0 for row in rows)
    assert all(row.figures["told_per_s"] > 0 and row.figures["heard_per_s"] > 0 for row in rows)


def test_what_is_told_does_not_grow_with_the_tier_beyond_the_subset(rows: list[Row]) -> None:
    assert [] == grows_beyond_the_subset(rows)
    for row in of(rows, "nodes"):
        words = row.figures["told_bytes_per_s"] - row.figures["told_per_s"]
        assert words > SUBSET * WORD * HELD / 10, "the words are there at all"


def test_a_start_is_told_to_the_subset(rows: list[Row]) -> None:
    idle, busy = of(rows, "starts")
    more = busy.figures["told_per_s"] - idle.figures["told_per_s"]
    attempts, served = busy.figures["attempts_per_s"], busy.figures["served_per_s"]
    # Its start, its end, and once more while it runs.
    assert 0 < more < SLACK * 3 * SUBSET * attempts
    assert 0 < attempts < 1.2 * served + 5 and 0 < busy.figures["probes_per_s"] < 2.4 * attempts + 5


@pytest.mark.parametrize("key", MEMORY_EACH)
def test_memory_for_each_is_bounded(rows: list[Row], key: str) -> None:
    least, most = of(rows, key)
    grown = (most.figures["memory_mb"] - least.figures["memory_mb"]) * KB * KB
    assert grown < MEMORY_EACH[key] * (most.value - least.value) + NOISE


def test_memory_for_each_pair_of_node_and_executor_is_bounded(rows: list[Row]) -> None:
    least, *_, most = of(rows, "nodes")
    grown = (most.figures["memory_mb"] - least.figures["memory_mb"]) * KB * KB
    assert grown < PAIR * (most.value - least.value) * most.sizes.executors + NOISE


def test_discovery_is_asked_once_for_the_list_and_seldom_for_changes(rows: list[Row]) -> None:
    for row in rows:
        assert row.figures["whole_lists"] == 1, row
        assert row.figures["watch_calls_per_s"] <= 1.0, row
        listed = row.sizes.executors * 150 + 200
        assert row.figures["list_bytes"] < listed and row.figures["change_bytes"] < listed / 2


def test_gossip_to_all_nodes_is_found(tmp_path: Path) -> None:
    apply.plant("scale/gossip-to-all", tmp_path)
    plan = sizes.parse(PLAN.partition("executors = [50")[0].replace("[24, 72, 216]", "[24, 216]"))
    found = grows_beyond_the_subset(sweep.sweep(plan, str(tmp_path)))
    assert any("grow with the tier" in line for line in found) and len(found) > 1, found


def test_a_tier_of_real_nodes_is_read(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(
        "settle = 1.0\nseconds = 2.0\n[base]\nexecutors = 20\nzones = 2\ntenants = 2\nelsewhere = 0.01\n"
    )
    out = tmp_path / "rows.json"
    done = CliRunner().invoke(command, ["capacity", str(path), "--real-nodes", "4", "--json", str(out)])
    assert done.exit_code == 0, done.output
    found = report.decode(out.read_bytes()).rows
    assert len(found) == 4 and all(row.figures["own_told_per_s"] > 0 for row in found)
    assert all(row.figures["own_heard_per_s"] > 0 for row in found)


def test_a_node_whose_port_is_taken_does_not_pass_for_one_without_peers(tmp_path: Path) -> None:
    async def start() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            own = f"127.0.0.1:{taken.getsockname()[1]}"
            node = RealNode(0, tmp_path)
            told = settings(sizes.Sizes(nodes=2), 0, 1.0)
            try:
                await node.start(
                    {
                        "listen": "127.0.0.1:0",
                        "discovery": own,
                        "peer_listen": own,
                        "peers": [own, own],
                        "settings": told,
                    },
                    1024,
                )
            finally:
                await node.end()

    with pytest.raises(NodeDiedError, match="peer_listen: "):
        asyncio.run(start())


def test_waits_for_a_start_are_read_from_a_kept_day(tmp_path: Path) -> None:
    kept = str(tmp_path / "kept.bin")
    words = ["run", "calm", "--seconds", "3", "--nodes", "2", "--boxes", "6", "--keep", kept]
    assert CliRunner().invoke(command, words).exit_code == 0
    outcome = experiment.unpack(Path(kept).read_bytes())
    found = starts.waits(outcome.day, outcome.records, 0)
    assert set(found) == {one.name for one in outcome.day.classes}
    for one in found.values():
        count = one.waits.get_total_count()
        assert 0 < count <= one.taken and one.late <= count and one.refused <= one.taken
    assert all(one.taken == 0 for one in starts.waits(outcome.day, outcome.records).values())
    starts.main([kept])


# The command's own ways.


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("[base]\nexecuters = 5\n", "base.executers = 5: unknown key"),
        ("secs = 1\n", "secs = 1: unknown key"),
        ("[sweeps]\nboxes = [1]\n", "sweeps.boxes = [1]: unknown key"),
        ("[base]\nexecutors = 0\n", "base.executors: 0: "),
        ('[base]\nexecutors = "many"\n', "base.executors: 'many': "),
        ("[base]\nzones = 17\n", "base.zones: 17: "),
        ("base = 3\n", "base: must be a table, not 3"),
        ("[sweeps]\nnodes = [3, 1]\n", "sweeps.nodes: 1: "),
        ("[sweeps]\nnodes = [3.5]\n", "sweeps.nodes: 3.5 is no whole number"),
        ("[sweeps]\nnodes = []\n", "sweeps.nodes: [] holds no value"),
        ("[sweeps]\nstarts = [-1]\n", "sweeps.starts: -1: "),
        ("[base]\nexecutors = 1000000\n", "base does not fit: "),
        ("[sweeps]\nin_flight = [10000000]\n", "sweeps.in_flight: 1e+07 does not fit: "),
        ("sockets = 100000000\n", "sockets: 100000000 does not fit: "),
        ("[named.hot]\nstart = 3\n", "named.hot.start = 3: unknown key"),
        ("[named.hot]\nnodes = 1\n", "named.hot.nodes: 1: "),
        ("[named]\nhot = 3\n", "named.hot: must be a table, not 3"),
        ("[named.nodes]\nstarts = 3\n", "named.nodes: a point can't have the name of a size"),
        ("[named.hot]\nexecutors = 1000000\n", "named.hot does not fit: "),
        ("runs = 0\n", "runs: 0: "),
        ("runs = \n", "no TOML: "),
    ],
)
def test_a_bad_plan_is_refused_with_key_and_value(tmp_path: Path, text: str, wanted: str) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(text)
    refused("capacity", str(path), wanted=wanted)


def refused(*words: str, wanted: str) -> None:
    done = CliRunner().invoke(command, words)
    assert done.exit_code == 2, done.output
    line = done.output.strip()
    assert wanted in line and "\n" not in line, line


def test_other_things_that_can_not_be_are_refused(tmp_path: Path) -> None:
    refused("capacity", "--real-nodes", "300", wanted="--real-nodes: 300 does not fit")
    refused("capacity", "--real-nodes", "1", wanted="--real-nodes: 1 does not fit")
    refused("capacity", "--sweep", "boxes", wanted="--sweep: boxes is not swept")
    refused("capacity", str(tmp_path / "none.toml"), wanted="No such file")
    refused("capacity", "--json", str(tmp_path / "none" / "x.json"), wanted="there is no such folder")


def test_half_of_the_memory_is_the_bound() -> None:
    plan = sizes.parse("sockets = 1024\n[base]\nexecutors = 100\n[sweeps]\nnodes = [100]\n")
    sizes.check(plan, sizes.Machine(memory=1 << 30, descriptors=20_000))
    for machine, wanted in (
        (sizes.Machine(100 << 20, 20_000), "does not fit: about"),
        (sizes.Machine(1 << 30, 1600), "sweeps.nodes: 100 does not fit: about 1753 descriptors"),
        (sizes.Machine(1 << 30, 1000), "sockets: 1024 does not fit"),
    ):
        with pytest.raises(sizes.PlanError, match=wanted):
            sizes.check(plan, machine)
    with pytest.raises(sizes.PlanError, match="--real-nodes: 48 at base.elsewhere 1 does not fit: about"):
        sizes.check_real(48, sizes.parse("[base]\nelsewhere = 1\n"), sizes.Machine(1 << 40, 20_000))
    with pytest.raises(sizes.PlanError, match="--real-nodes: 240 does not fit: about"):
        sizes.check_real(240, plan, sizes.Machine(8 << 30, 100_000))


def test_a_line_through_points_is_found() -> None:
    made = [
        Row("nodes", float(n), run, sizes.Sizes(), {"memory_mb": 20 + 0.5 * n + (run - 1) / 10}, [], 0.0)
        for n in (2, 4, 10)
        for run in range(3)
    ]
    line = fit(made, "nodes", "memory_mb")
    assert line is not None and abs(line.slope - 0.5) < 1e-9 and abs(line.intercept - 20) < 1e-9
    assert [point.runs for point in line.points] == [3, 3, 3] and line.worst < 1e-9
    assert abs(line.points[0].least - 20.9) < 1e-9 and abs(line.points[0].most - 21.1) < 1e-9
    assert fit(made[:3], "nodes", "memory_mb") is None
    picture = report.picture(report.result(sizes.DEFAULT, made), "nodes")
    assert "budget 32" in picture and picture.count("<svg") == 1


LONG = "runs = 2\ntogether = 2\nseconds = 300.0\n[base]\nexecutors = 20\n[sweeps]\nnodes = [4]\n"


@pytest.fixture
def long_run(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    """A command that has two nodes running, each with 300 s to go."""
    path = tmp_path / "plan.toml"
    path.write_text(LONG)
    program = subprocess.Popen(
        [sys.executable, "-m", "violetsaddle.cli", "lab", "capacity", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        # A shell's background job inherits SIGINT as ignored, and so would the command.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        yield program
    finally:
        if program.poll() is None:
            program.kill()
        program.wait()
        assert program.stderr is not None
        program.stderr.close()


def started(program: subprocess.Popen[str], count: int) -> list[int]:
    """Process ids of so many nodes, once they run."""
    until = time.monotonic() + 30
    while time.monotonic() < until:
        text = Path(f"/proc/{program.pid}/task/{program.pid}/children").read_text()
        found = [int(word) for word in text.split()]
        if len(found) == count and all(b"violetsaddle\0" in command_line(pid) for pid in found):
            time.sleep(1.0)  # they are among their first steps, or at work: either must end
            return found
        time.sleep(0.05)
    raise AssertionError(f"no {count} nodes")


def command_line(pid: int) -> bytes:
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return b""


def all_gone(pids: list[int]) -> bool:
    until = time.monotonic() + 20
    while time.monotonic() < until:
        if not any(command_line(pid) for pid in pids):
            return True
        time.sleep(0.05)
    return False


def test_a_child_that_dies_ends_the_run_with_an_error(long_run: subprocess.Popen[str]) -> None:
    pids = started(long_run, 2)
    os.kill(pids[0], signal.SIGKILL)
    _, said = long_run.communicate(timeout=30)
    assert long_run.returncode == 3, said
    assert f"(process {pids[0]}) ended with status -9" in said and "Traceback" not in said, said
    assert all_gone(pids)


@pytest.mark.parametrize(("number", "status"), [(signal.SIGINT, 130), (signal.SIGKILL, -9)])
def test_no_child_outlives_the_command(long_run: subprocess.Popen[str], number: int, status: int) -> None:
    pids = started(long_run, 2)
    long_run.send_signal(number)
    assert long_run.wait(timeout=30) == status
    assert all_gone(pids)
