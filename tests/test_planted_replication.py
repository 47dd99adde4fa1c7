"""Checks that the search of `test_replication_search` detects each planted fault.

A fault file names the scope in which the fault is found and the rule that it violates."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.faults import apply

SEARCH = Path(__file__).with_name("test_replication_search.py")


@pytest.mark.parametrize("name", apply.names("replication"))
def test_the_search_finds_a_planted_fault(name: str, tmp_path: Path) -> None:
    fault = apply.plant(name, tmp_path)
    # The copy with the fault precedes the repository in the module search path.
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-x",
            "-p",
            "no:cacheprovider",
            "--import-mode=append",
            f"{SEARCH}::test_every_order_of_events_keeps_the_invariants[{fault.scenario}]",
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    assert result.returncode == 1 and "1 failed" in result.stdout, result.stdout[-2000:]
    assert f"InvariantError: {fault.rule}:" in result.stdout, result.stdout[-2000:]
