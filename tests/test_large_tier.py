"""Hard cases of a tier large enough to have circles: whole days of the lab, judged by every rule."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from tests.helpers import SECOND
from tests.mesh import Mesh
from tests.test_circles import fleet
from violetsaddle.lab.experiment import Case, run_day

SIZE = 'base = "city"\nlength_s = 7\ntrouble_count = {}\n[fleet]\nnodes = 24\nboxes = 24\n'
LOAD = "[load]\nload = [0.5, 0.6]\n"


def counted(name: str, text: str, tmp_path: Path) -> tuple[float, Counter[str]]:
    """A day of 24 nodes and 24 boxes that must keep every rule: its goodput, and what the nodes counted."""
    file = tmp_path / "hard.toml"
    file.write_text(SIZE.format(text.count("[[trouble]]")) + text.replace("[load]\n", LOAD))
    played = run_day(Case(str(file), 5))
    assert played.result.valid and not played.result.violations, played.report
    total: Counter[str] = Counter()
    for node in played.result.counters:
        total.update(node)
    return played.result.figures["goodput"], total


def trouble(kind: str, at: int, lasts: int, more: str = "", head: str = "[load]") -> str:
    return f'{head}\n[[trouble]]\nkind = "{kind}"\nat_s = {at}\nlasts_s = {lasts}\n{more}\n'


def test_all_words_lost_for_the_whole_day(tmp_path: Path) -> None:
    without, total = counted("lost", trouble("loss", 0, 60, "factor = 1.0"), tmp_path)
    usual, heard = counted("usual", "[load]\n", tmp_path)
    assert total["heard"] < heard["heard"] / 10  # those of the 2 s before the day
    assert without > usual - 0.05, "each draws by its own jobs"


def test_a_hall_cut_off_with_nodes_at_work_on_both_sides(tmp_path: Path) -> None:
    goodput, total = counted("cut", trouble("cut", 2, 3), tmp_path)
    assert goodput > 0.9 and total["deletes_again"] > 0 and total["outcome_timeout"] < 10


def test_discovery_with_more_callers_than_it_serves(tmp_path: Path) -> None:
    busy = "[load]\n[roster]\ncapacity = 6\ncall_lines = 20\ntimeout_ms = 500\n"
    busy += trouble("kill", 2, 1, "share = 0.5", "") + trouble("drain", 3, 3, "share = 0.2", "")
    goodput, total = counted("busy", busy, tmp_path)
    assert total["watch_refused"] > 10, "it has too many callers, and no drain was missed"
    assert goodput > 0.8


def test_descriptors_used_up(tmp_path: Path) -> None:
    goodput, total = counted("few", "sockets = 84\n[load]\n", tmp_path)
    assert goodput > 0.9 and total["faults"] == 0
    assert total["server_connections"] > total["attempts"], "idle ones made room"


def test_one_that_hears_of_no_requests_is_counted_all_the_same() -> None:
    mesh = Mesh(60, fleet(40))
    mesh.run(2 * SECOND)
    for second in range(2, 14):
        for me in range(1, 60):
            mesh.job(me)
        mesh.run((second + 1) * SECOND)
    assert {s.balancer.live_schedulers for s in mesh.seats} == {60}
    mesh.job(0)
    assert mesh.sent[-1][1] == 0 and mesh.seats[0].balancer.workers[mesh.sent[-1][3]].tracked


def test_one_with_ten_times_the_traffic_spreads_it_over_all_it_hears_of() -> None:
    mesh = Mesh(60, fleet(40))
    mesh.run(3 * SECOND)
    seat = mesh.seats[7]
    seat.balancer.fleet.most_free[0] = 2.0
    for _ in range(200):
        mesh.job(7)
        mesh.run(mesh.now + SECOND // 50)  # 15 in flight
        seat.balancer.busy_share = min(seat.balancer.busy_share, 0.4)
    sent = [worker for _, me, _, worker in mesh.sent if me == 7]
    near = {w.id for w in seat.balancer.tracked.items}
    assert not mesh.refused and near <= set(sent)
    assert max(sent.count(worker) for worker in near) < 4 * len(sent) / len(near)


def test_n_wrong_by_half_for_seconds_either_way() -> None:
    mesh = Mesh(60, fleet(40))
    mesh.run(4 * SECOND)
    heard = [s.balancer for s in mesh.seats]

    def counted_by(some: range) -> float:
        return sum(heard[n].live_schedulers for n in some) / len(some)

    mesh.lost = lambda origin, to: origin % 2 == 1  # half seem gone: slices double, and no more than that
    mesh.run(10 * SECOND)
    assert 25 < counted_by(range(60)) < 42
    mesh.lost = lambda origin, to: False
    mesh.run(13 * SECOND)
    assert counted_by(range(60)) == 60
    for seat in mesh.seats[::2]:  # half are gone: slices are half of what they may be until it shows
        seat.up = False
    mesh.run(14 * SECOND)
    assert counted_by(range(1, 60, 2)) > 50
    mesh.run(18 * SECOND)
    assert 24 < counted_by(range(1, 60, 2)) < 42
