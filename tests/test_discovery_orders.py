"""No order of the node's own steps puts a list off past the terms, once discovery would answer.

Each test forces one kind of order over drawn seeds; `discovery_orders` tells what a play draws."""

from __future__ import annotations

import pytest

from tests.discovery_orders import BAD, Play, Weather
from tests.reactor_turns import MS, SECOND

SEEDS = 40  # of each kind of trouble


def keeps_the_terms(weather: Weather, seeds: int = SEEDS) -> None:
    broken = {}
    for seed in range(seeds):
        play = Play(weather, seed).run()
        assert not play.faults, (seed, play.faults)
        assert play.jobs > 100, seed
        if play.late:
            broken[seed] = max((late.at - late.told) / SECOND for late in play.late)
    assert not broken, f"by seed, seconds from the time that counts as told to the last attempt: {broken}"


@pytest.mark.parametrize(("shortest", "longest"), [(150, 300), (250, 400), (300, 1000), (0, 1000)])
def test_connections_to_discovery_that_take_longer_than_those_to_servers(shortest: int, longest: int) -> None:
    # Each was given up after the settings' 200 ms, however often it was tried: the list never came.
    keeps_the_terms(
        Weather(
            shortest_dial=shortest * MS,
            longest_dial=longest * MS,
            longest_wait=2500 * MS,
            shortest_wait=2500 * MS,
            grace=2 * SECOND,
            shared=False,
        )
    )


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("grace", [500, 2000])
@pytest.mark.parametrize(("shortest", "longest"), [(0, 1000), (500, 2950), (2000, 2950)])
def test_lists_written_on_calls_that_the_node_has_made_another_one_beside(
    shortest: int, longest: int, grace: int, shared: bool
) -> None:
    # The first answer, or SIGHUP, ended all other calls; discovery had written on one of them by then.
    keeps_the_terms(
        Weather(
            shortest_wait=shortest * MS, longest_wait=longest * MS, grace=grace * MS, shared=shared, asks=True
        )
    )


@pytest.mark.parametrize("longest", [500, 1400])
def test_discovery_that_handles_calls_in_turn(longest: int) -> None:
    # A call that was given up still cost the next one its time.
    keeps_the_terms(Weather(shortest_wait=longest * MS // 2, longest_wait=longest * MS, in_turn=True))


@pytest.mark.parametrize("bad", [*((how,) for how in BAD), BAD])
def test_calls_after_a_move_that_are_refused_cut_malformed_or_lost(bad: tuple[str, ...]) -> None:
    # Guards the waits between calls: failed ones must not put off the one that discovery answers.
    keeps_the_terms(Weather(longest_wait=SECOND, bad_for=3 * SECOND, bad=bad, shared=False), SEEDS // 2)


def test_answers_in_parts_in_chunks_and_without_a_length() -> None:
    # Parts of an answer lay on both sides of its time.
    keeps_the_terms(Weather(longest_wait=2500 * MS, parts=True))


@pytest.mark.parametrize("moves", [2, 4])
def test_new_configurations_in_a_row(moves: int) -> None:
    # Each ended the calls to the address before, though its list counted until the new one had answered.
    keeps_the_terms(Weather(longest_wait=2 * SECOND, moves=moves))


def test_pushed_lists() -> None:
    # Where lists are pushed the same calls are made, with shorter pauses.
    keeps_the_terms(Weather(longest_wait=2 * SECOND, asks=False))


@pytest.mark.parametrize("nodes", [1, 200])
def test_waits_between_calls_that_had_grown_before_the_move(nodes: int) -> None:
    # Guards the calls after a move: the module's waits are those of the failed calls before it.
    keeps_the_terms(
        Weather(
            nodes=nodes,
            bad_before=True,
            bad=BAD,
            bad_for=2 * SECOND,
            longest_wait=2950 * MS,
            longest_dial=500 * MS,
            shared=False,
        )
    )


@pytest.mark.parametrize("stalls", [1, 3])
@pytest.mark.parametrize("longest_wait", [300, 1500])
def test_a_process_that_stands_still_at_any_step(stalls: int, longest_wait: int) -> None:
    # Jobs left, and calls were given up, before the list that had come meanwhile was read.
    keeps_the_terms(Weather(longest_wait=longest_wait * MS, stalls=stalls, longest_stall=2 * SECOND))


def test_everything_at_once() -> None:
    # Guards the combinations of the orders above.
    keeps_the_terms(
        Weather(
            longest_wait=2500 * MS,
            longest_dial=400 * MS,
            bad_for=2 * SECOND,
            bad=BAD,
            parts=True,
            stalls=2,
            longest_stall=SECOND,
            moves=2,
        ),
        3 * SEEDS,
    )
