"""The simulator's adapter: its input and output lines, errors and exit status."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from violetsaddle.benchlink import Host, WireError
from violetsaddle.interface import SettingsError
from violetsaddle.settings import parse

SETTINGS = {
    "requestClasses": [{"target": 100000, "deadline": 900000, "idempotency": "retryable", "new": 1}],
    "failureDomains": ["p", "q"],
    "familyInfo": {"reportX0": "free slots"},
    "period": 1000,
    "report": {"names": ["x0", "utilization"], "via": "piggyback"},
    "unknown": {"a": 1},
}
START = (
    f"CLOCK 5000\nNEW_INSTANCE scheduler/0 77 {json.dumps(SETTINGS)}\n"
    "TARGETS scheduler/0 disk 1 2\nENTRY 0 1 0 51 0 - active\nENTRY 0 1.5 1 52 0 - leaving\nFLUSH\n"
)


def run_host(text: str) -> list[str]:
    sink = io.StringIO()
    Host(io.StringIO(text), sink).run()
    return sink.getvalue().splitlines()


def test_a_request_is_placed_and_its_answer_accepted() -> None:
    output = run_host(
        START + "CLOCK 7000\nINCOMING scheduler/0 c:a 0 - - 1 - 0 0 - 900000 0\nFLUSH\n"
        "CLOCK 9000\nANSWER scheduler/0 c:a 0 51 done 2000 1 - x0:3,utilization:0.5\nFLUSH\n"
    )
    assert "PLACE scheduler/0 c:a 0 51" in output
    assert output.count("NEXT") == 3 and not any("INTERNAL_ERROR" in line for line in output)


def test_report_values_are_renamed() -> None:
    report_names, settings = parse(json.dumps(SETTINGS))
    assert report_names == {"x0": "free_slots", "utilization": "util"}
    assert settings.report == {"free_slots", "util"} and settings.zones == 2


@pytest.mark.parametrize(
    "text, message",
    [
        ("CLOCK x\n", "x"),
        ("HELLO\n", "CLOCK"),
        ("CLOCK 1\nHELLO scheduler/0\nFLUSH\n", "HELLO"),
        ("CLOCK 1\n", "ends within"),
        (START + "CLOCK 2\nWAKE scheduler/9 t\nFLUSH\n", "scheduler/9"),
        (START + "CLOCK 2\nWAKE scheduler/0\nFLUSH\n", "2 values"),
        (START + "CLOCK 2\nINCOMING scheduler/0 c:a 0 - - one - 0 0 - 9000 0\nFLUSH\n", "one"),
        (START + "CLOCK 2\nTARGETS scheduler/0 diff 2 1\nENTRY 1 2\nFLUSH\n", "ENTRY"),
        (START + "CLOCK 2\nTARGETS scheduler/0 odd 2 0\nFLUSH\n", "TARGETS"),
    ],
)
def test_an_error_names_the_malformed_input(text: str, message: str) -> None:
    with pytest.raises((WireError, ValueError), match=message):
        run_host(text)


def test_an_error_in_the_balancer_is_reported_to_the_simulator() -> None:
    output = run_host(START + "CLOCK 7000\nINCOMING scheduler/0 c:a 0 - - 1 8 0 0 - 900000 0\nFLUSH\n")
    assert any(line.startswith("INTERNAL_ERROR scheduler/0 EventError") for line in output)


@pytest.mark.parametrize(
    "change, message",
    [
        ({"siblings": 0}, "schedulers"),
        ({"siblings": "many"}, "siblings"),
        ({"requestClasses": []}, "classes"),
        ({"requestClasses": [{"deadline": 5, "idempotency": "retryable"}]}, "target"),
        ({"permissions": 3}, "permissions"),
    ],
)
def test_invalid_settings_name_the_key(change: dict[str, object], message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        parse(json.dumps({**SETTINGS, **change}))


@pytest.mark.parametrize("text, code", [("", 0), (START, 0), (START + "CLOCK 7\nNOTHING\n", 2)])
def test_exit_codes(text: str, code: int) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "violetsaddle.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert run.returncode == code
    assert bool(run.stderr) == bool(code)


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    text = START + "".join(
        f"CLOCK {9000 + n}\nINCOMING scheduler/0 c:{n} 0 - {n} 1 - 0 0 - 900000 0\nFLUSH\n" for n in range(50)
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-m", "violetsaddle.benchlink"],
            input=text,
            text=True,
            timeout=60,
            capture_output=True,
            env={"PYTHONHASHSEED": str(seed)},
        ).stdout
        for seed in range(3)
    }
    assert len(outputs) == 1
