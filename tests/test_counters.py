"""Format of the counters line, which operators' tools read."""

from __future__ import annotations

from collections.abc import Callable

from violetsaddle.net.counters import FORMER_NAMES, Counters


class RecordingLog:
    """Log that records its lines and accepts no faults or events."""

    timer: Callable[[int, Callable[[], object]], object] | None = None

    def __init__(self) -> None:
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        self.lines.append(text)

    def fault(self, text: str, error: BaseException | None) -> None:
        raise AssertionError(text) from error

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        raise AssertionError(name)


def test_renamed_counters_are_shown_under_both_names() -> None:
    log = RecordingLog()
    counters = Counters("n", log)
    counters.held = lambda: {"requests": 2, "edge": 1}
    for counter, count in (("requests", 5), ("attempts", 4), ("clients_gone", 3), ("overdue", 1)):
        for _ in range(count):
            counters.add(counter)
    counters.show()
    assert log.lines == [
        "counters askers_gone=3 attempts=4 clients_gone=3 flows=5 held_edge=1 held_flows=2 held_requests=2"
        " overdue=1 requests=5 schedulings=4"
    ]


def test_a_renamed_counter_without_a_value_is_not_shown() -> None:
    log = RecordingLog()
    Counters("n", log).show()
    assert log.lines == ["counters "]
    assert not set(FORMER_NAMES) & set(FORMER_NAMES.values())
