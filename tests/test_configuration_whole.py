"""Real replicas and real nodes together: how long a pushed version takes to be in force everywhere."""

from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tests.replicas import Replicas
from tests.scenario import PATIENCE
from tests.test_configuration_node import BOUND, TIER, Tier, document
from violetsaddle.lab.live.children import TREE

SETTINGS: dict[str, Any] = {**TIER, "siblings": 4}


class Whole(unittest.TestCase):
    def begin(self, **strange: Any) -> None:
        """Three replicas and four nodes; `strange`: permissions that the last node has beside the others."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.replicas = Replicas(folder.name, SETTINGS)
        self.addCleanup(self.replicas.close)
        self.replicas.start_all()
        told = f"[configuration]\nreplicas = {self.replicas.addresses()}\n".replace("'", '"')
        self.tier = Tier(self, 4, [told] * 4, strange={3: strange} if strange else None)
        self.tier.wait("listening on", PATIENCE)
        self.replicas.wait_until(lambda: len(self.heard()) == 4, "all nodes are heard")

    def heard(self) -> set[str]:
        names = self.replicas.programs
        alive = [name for name in names if names[name].process.poll() is None]
        return {node["name"] for name in alive for node in self.replicas.status(name)["nodes"]}

    def push(self, text: str, *names: str) -> tuple[int, str, float]:
        """Status, what was printed, and how long it took, of `config push` at these replicas."""
        path = Path(self.folder, "document.json")
        path.write_text(text)
        places = [f"--replica={place}" for place in self.replicas.addresses(*names)]
        began = time.monotonic()
        done = subprocess.run(
            [sys.executable, "-m", "violetsaddle.cli", "config", "push", str(path), *places],
            capture_output=True,
            text=True,
            cwd=TREE,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr, time.monotonic() - began

    def test_a_version_is_in_force_everywhere(self) -> None:
        self.begin()
        for number in (1, 2, 3):
            status, said, _ = self.push(document(SETTINGS, mostTries=number))
            self.assertEqual(status, 0, said)
            self.assertIn("in force: all 4 nodes", said)
            self.tier.wait(f"configuration {number} by", 0.5)
        for node in range(4):
            self.assertNotIn("faults", self.tier.counters(node))
        self.assertEqual(self.replicas.fault_lines(), [])

    def test_with_one_replica_killed_and_with_one_that_stands_still(self) -> None:
        self.begin()
        self.replicas.programs["c1"].process.send_signal(signal.SIGSTOP)
        try:
            began = time.monotonic()
            self.assertEqual(self.replicas.write("c0", 0, document(SETTINGS, mostTries=1)).status, 200)
            self.tier.wait("configuration 1 by ann", BOUND)
            self.assertLess(time.monotonic() - began, BOUND)
        finally:
            self.replicas.programs["c1"].process.send_signal(signal.SIGCONT)
        self.replicas.end("c2")
        status, said, _ = self.push(document(SETTINGS, mostTries=2), "c0", "c1")
        self.assertEqual(status, 0, said)
        self.tier.wait("configuration 2 by", BOUND)

    def test_a_replica_that_is_cut_off_keeps_no_node_behind(self) -> None:
        """Its nodes hear it still; it does not get the version."""
        self.begin()
        self.replicas.set_faults("c0", cut=True)
        began = time.monotonic()
        self.assertEqual(self.replicas.write("c1", 0, document(SETTINGS, mostTries=1)).status, 200)
        self.tier.wait("configuration 1 by ann", BOUND)
        self.assertLess(time.monotonic() - began, BOUND)
        self.assertEqual(self.replicas.status("c0")["number"], 0)

    def test_a_node_that_can_not_take_it_is_named_with_the_key(self) -> None:
        self.begin(keepalive=9_000_000)
        status, said, _ = self.push(document(SETTINGS, mostTries=1))
        self.assertEqual(status, 1, said)
        self.assertRegex(said, r"n3.*permissions\.keepalive")
        self.tier.wait("configuration 1 by", 0.5, [0, 1, 2])
        self.assertNotIn("in force", self.tier.log(3))


if __name__ == "__main__":
    unittest.main()
