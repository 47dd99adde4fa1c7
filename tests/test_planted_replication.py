"""The search of `test_replication_search` finds each planted fault, in the scope and by the rule it names."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.faults import apply

SEARCH = Path(__file__).with_name("test_replication_search.py")


@pytest.mark.parametrize("name", apply.names("replication"))
def test_a_planted_fault_is_found(name: str, tmp_path: Path) -> None:
    fault = apply.plant(name, tmp_path)
    # The copy comes before the repository on the path: the program is the one with the fault.
    found = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-x",
            "-p",
            "no:cacheprovider",
            "--import-mode=append",
            f"{SEARCH}::test_every_order_of_events_keeps_the_rules[{fault.scenario}]",
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    assert found.returncode == 1 and "1 failed" in found.stdout, found.stdout[-2000:]
    assert f"BrokenError: {fault.rule}:" in found.stdout, found.stdout[-2000:]
