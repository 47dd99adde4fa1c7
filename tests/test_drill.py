"""Long random legal event sequences; the four rules as far as one instance can see them."""

from __future__ import annotations

import heapq
import random
from typing import Any

import pytest

from tests.helpers import CLASSES, MS, SECOND, Recorder
from violetsaddle import Balancer, Entry, Settings
from violetsaddle.interface import KEYED, NEVER_RAN, OUTCOMES, SAFE, UNSAFE

LIKELY = ["ok"] * 6 + sorted(OUTCOMES - {"moot", "cancelled"})
VARIANTS: list[dict[str, Any]] = [
    {"tells_start": True, "progress_every": SECOND},
    {"second_copies": False, "may_cancel": False},
    {"may_probe": True, "report_by_probe": True, "report": frozenset({"free_slots"}), "tells_start": True},
    {"must_ask": True, "may_tell": True, "schedulers": 5, "tells_start": True},
]


class Drill:
    """Plays clients, list and outcomes by chance, and judges every action."""

    def __init__(self, seed: int, variant: dict[str, Any]) -> None:
        self.dice = random.Random(seed)
        self.told = Settings(
            classes=CLASSES,
            most_attempts=4,
            cold_from=0.3,
            cold_for=5 * SECOND,
            zones=2,
            **{"second_copies": True, "may_cancel": True, **variant},
        )
        self.recorder = Recorder()
        self.now = SECOND
        self.balancer = Balancer(self.told, seed, self.now, self.recorder)
        self.entries = {n: Entry(n, zone=n % 2, cell=n % 3) for n in range(12)}
        self.balancer.members(self.now, "disk", list(self.entries.values()))
        self.events: list[tuple[int, int, tuple[Any, ...]]] = []
        self.number = 0
        self.jobs: dict[str, dict[str, Any]] = {}
        self.taken = 0

    def at(self, time: int, *what: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (max(time, self.now + 1), self.number, what))

    def judge(self) -> None:
        """Takes in the actions since the last event."""
        done, self.recorder.done = self.recorder.done, []
        for name, *values in done:
            if name == "arm":
                self.at(values[0], "wake")
            elif name == "send":
                self.judge_send(*values)
            elif name in ("refuse", "fail"):
                job = self.jobs[values[0]]
                assert not job["over"], "two final answers"
                job["over"] = True
                assert self.now <= job["deadline"] + 2 * MS, "answered too late"
                if name == "refuse" and self.risky(job):
                    spec = job["spec"]
                    assert spec.effect == SAFE or (spec.effect == KEYED and spec.group == "all")
            elif name == "cancel":
                attempt = self.jobs[values[0]]["attempts"][values[1]]
                if attempt["out"] and self.dice.random() < 0.8:
                    self.at(self.now + 1, "answer", values[0], values[1], "cancelled")
            elif name == "probe":
                self.at(self.now + 5 * MS, "probed", values[0])

    @staticmethod
    def risky(job: dict[str, Any]) -> list[dict[str, Any]]:
        return [a for a in job["attempts"] if a["out"] or a["outcome"] not in NEVER_RAN]

    def judge_send(self, name: str, worker: int, until: int) -> None:
        job, spec = self.jobs[name], self.jobs[name]["spec"]
        assert not job["over"], "sent after the end"
        entry = self.entries.get(worker)
        assert entry is not None and entry.state == "active", "sent to a draining or gone worker"
        if not self.told.second_copies:
            assert not any(a["out"] for a in job["attempts"]), "two out at once"
        for attempt in self.risky(job):
            assert spec.effect != UNSAFE, "an unsafe request sent twice"
            if spec.effect == KEYED:
                assert self.now < attempt["sent"] + spec.window, "sent after the group forgot"
                assert spec.group == "all" or attempt["cell"] == entry.cell, "sent outside the group"
        number = len(job["attempts"])
        job["attempts"].append({"sent": self.now, "cell": entry.cell, "out": True, "outcome": ""})
        outcome = self.dice.choice(LIKELY)
        end = job["deadline"]
        if outcome != "timeout":
            if self.dice.random() < 0.7:
                self.at(self.now + self.dice.randrange(1, 300 * MS), "note", name, number)
            end = min(end, self.now + int(self.dice.expovariate(1 / (400 * MS))))
        self.at(end, "answer", name, number, outcome if end < job["deadline"] else "timeout")

    def change(self) -> None:
        worker = self.dice.randrange(16)
        state = self.dice.choice(["active", "active", "draining", "gone"])
        entry = Entry(
            worker,
            zone=worker % 2,
            cell=self.dice.choice([worker % 3] * 5 + [3]),
            started=self.now if self.dice.random() < 0.3 else 0,
            state=state,
        )
        if state == "gone":
            self.entries.pop(worker, None)
        else:
            self.entries[worker] = entry
        kind = self.dice.choice(["diff"] * 4 + ["snapshot"] + ["error"] * self.told.must_ask)
        entries = {"diff": [entry], "snapshot": list(self.entries.values()), "error": []}[kind]
        if kind == "error":
            self.balancer.members(self.now, "diff", [entry])
        self.balancer.members(self.now, kind, entries)

    def step(self, what: tuple[Any, ...]) -> None:
        balancer, now = self.balancer, self.now
        if what[0] == "wake":
            balancer.wake(now)
        elif what[0] == "probed":
            balancer.probed(now, what[1], self.dice.random() < 0.9, {"free_slots": self.dice.randrange(4)})
        elif what[0] == "list":
            self.change()
            self.at(now + self.dice.randrange(SECOND), "list")
        elif what[0] == "request":
            cls = self.dice.randrange(len(CLASSES))
            self.taken += 1
            remaining = self.dice.randrange(50 * MS, 4 * SECOND)
            name = f"r{self.taken}"
            self.jobs[name] = {
                "spec": CLASSES[cls],
                "deadline": now + remaining,
                "attempts": [],
                "over": False,
            }
            balancer.request(
                now, name, cls, remaining, 0, float(self.dice.choice([1, 1, 2])), self.dice.randrange(20)
            )
            if self.taken < 1500:
                self.at(now + int(self.dice.expovariate(1 / (15 * MS))), "request")
        elif what[0] == "gone":
            balancer.gone(now, what[1])
        else:
            job, attempt = self.jobs[what[1]], self.jobs[what[1]]["attempts"][what[2]]
            if what[0] == "note":
                if attempt["out"]:
                    balancer.note(now, what[1], what[2], 1, 0.0)
            elif attempt["out"]:
                attempt["out"], attempt["outcome"] = False, what[3]
                job["over"] = job["over"] or what[3] == "ok"
                balancer.answer(now, what[1], what[2], what[3], now - attempt["sent"], job["over"], None)

    def run(self) -> None:
        self.at(self.now, "request")
        self.at(self.now, "list")
        while self.events and self.now < 40 * SECOND:
            self.now, _, what = heapq.heappop(self.events)
            self.step(what)
            self.judge()
        assert self.taken == 1500
        for name, job in self.jobs.items():
            assert job["over"], f"{name} was never answered"


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(5))
def test_rules_hold(seed: int, variant: int) -> None:
    drill = Drill(seed, VARIANTS[variant])
    drill.run()
    assert not drill.balancer.requests, "a request is kept for ever"
