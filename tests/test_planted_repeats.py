"""The cases and the search of `test_repeats` find each fault that was mended, planted again."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.faults import apply

REPEATS = Path(__file__).with_name("test_repeats.py")


@pytest.mark.parametrize("name", apply.names("repeats"))
def test_a_mended_fault_is_found_again(name: str, tmp_path: Path) -> None:
    apply.plant(name, tmp_path)
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
            str(REPEATS),
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    assert found.returncode == 1 and "1 failed" in found.stdout, found.stdout[-2000:]
