"""The lab's run of changes: real replicas and nodes, pushes, an outage and restarts."""

from __future__ import annotations

import asyncio
import math
import unittest
from typing import Any

from violetsaddle.lab.changes import BOUND, Change, Child, Plan, play, shown


class Changes(unittest.TestCase):
    def test_every_change_is_in_force_in_time(self) -> None:
        plan = Plan(nodes=3, changes=4, seconds=6.0, restarts=1)
        outcome = asyncio.run(play(plan))
        self.assertEqual(outcome.faults, [])
        self.assertEqual([change.number for change in outcome.changes], [1, 2, 3, 4])
        self.assertEqual([change.missing for change in outcome.changes], [[]] * 4)
        self.assertEqual(len(outcome.lags), 12)
        self.assertLess(outcome.lags[-1], BOUND)
        self.assertGreater(outcome.idle.replica_cpu_ms or 0.0, 0)
        self.assertGreater(outcome.changing.nodes_replica_bytes, outcome.idle.nodes_replica_bytes)
        self.assertGreater(outcome.changing.gossip_bytes, 0)
        self.assertEqual(len(shown(outcome)), 2)

    def test_a_node_counts_from_when_it_listens(self) -> None:
        nobody: Any = None
        node = Child(nobody, "n0", [], {})
        change = Change(3, 0.1, "c0", at=10.0, replica_dead=False)
        self.assertIsNone(node.lag(change))
        node.lived = [[1.0, 9.0], [12.0, math.inf]]
        node.numbers = [(2.0, 1), (8.0, 2)]
        self.assertIsNone(node.lag(change))
        node.numbers.append((12.5, 4))
        self.assertEqual(node.lag(change), 0.5)
        node.lived = [[1.0, math.inf]]
        self.assertEqual(node.lag(change), 2.5)
        node.numbers = [(11.0, 3)]
        node.lived = [[1.0, 10.5], [11.5, math.inf]]  # from its snapshot, before it listened
        self.assertEqual(node.lag(change), 0.0)


if __name__ == "__main__":
    unittest.main()
