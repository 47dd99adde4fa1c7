"""What the log tells about the calls to discovery after a new configuration, and the states of a call."""

from __future__ import annotations

import itertools

from tests.discovery_orders import Play, Weather
from tests.reactor_turns import MS, SECOND
from violetsaddle.net.discovery_call import TRANSITIONS, CallEvent, CallState


def said(weather: Weather, seed: int) -> list[str]:
    play = Play(weather, seed)
    lines: list[str] = []

    def say(text: str) -> None:
        lines.append(text)

    play.counters.say = say  # type: ignore[method-assign]
    play.run()
    return [line for line in lines if line.startswith("discovery: ")]


def test_the_log_tells_who_ended_each_call_until_the_list_is_in_force() -> None:
    # Nothing in the log told a call that was given up from one whose answer was not taken.
    slow = Weather(longest_wait=2500 * MS, shortest_wait=2500 * MS, grace=2 * SECOND, shared=False)
    lines = said(slow, 3)
    taken = next(line for line in lines if line.endswith("ms: its list was taken"))
    assert " to discovery:2 began 0 ms after discovery moved" in taken
    assert "asked for the whole list 0 ms later, was late after 1100 ms, ended after 2500 ms" in taken
    assert lines[-1] == taken, "what comes after the list is no line"


def test_the_log_tells_of_a_bounded_number_of_calls() -> None:
    lost = Weather(bad_for=100 * SECOND, bad=("refused",))
    assert 10 <= len(said(lost, 1)) <= 12


def test_a_call_that_has_ended_stays_so_and_each_state_is_reached() -> None:
    reached = {CallState.DIALLING}
    for _ in CallState:
        reached |= {TRANSITIONS[state][event] for state in reached for event in TRANSITIONS[state]}
    assert reached == set(CallState)
    assert not TRANSITIONS[CallState.ENDED]
    for state, event in itertools.product(CallState, CallEvent):
        if state is not CallState.ENDED and event is CallEvent.ENDED:
            assert TRANSITIONS[state][event] is CallState.ENDED
