"""No order of the node's own steps puts a list off past the terms, once discovery would answer.

Each test forces one kind of order over drawn seeds; `discovery_orders` tells what a play draws."""

from __future__ import annotations

import pytest

from tests.discovery_orders import Play, Weather
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
