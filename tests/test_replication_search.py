"""No order of events, within each scope, commits two contents under one number or loses an accepted one."""

from __future__ import annotations

import pytest

from tests.search_replication import Scope, Search, Write

# Messages that only help a replica on: with all of them lost, the search reaches a ballot or a start further.
REPAIRS = ("Nack", "Fetch", "Fetched", "Commit")
# Each with the states that it has at least; it has to visit all.
SCOPES = {
    "writers": (Scope(ballots=2), 13_000),
    "two-numbers": (Scope((Write(0, 0, "a"), Write(0, 0, "b"), Write(1, 1, "c"))), 25_000),
    "three-ballots": (Scope(ballots=3, mute=REPAIRS), 48_000),
    "restart": (Scope(ballots=1, restarts=1), 9_000),
    "restart-voter": (
        Scope(ballots=2, restarts=1, patient=False, only=(2,), mute=REPAIRS),
        36_000,
    ),
    "restart-proposer": (Scope(ballots=2, restarts=1, only=(0,), mute=REPAIRS), 42_000),
    "lost": (Scope(ballots=1, lost=1, new=True), 50_000),
    "lost-voter": (
        Scope(ballots=2, lost=1, patient=False, only=(2,), mute=("Nack", "Commit")),
        420_000,
    ),
    "lost-proposer": (Scope(ballots=2, lost=1, only=(0,), mute=REPAIRS), 180_000),
    "lost-and-restart": (Scope(ballots=1, lost=1, restarts=1, only=(2,)), 160_000),
    "old": (Scope(ballots=1, back=1, only=(2,)), 38_000),
    "old-voter": (Scope(ballots=2, back=1, only=(2,), mute=REPAIRS, oldest=True), 500_000),
}


@pytest.mark.parametrize("name", SCOPES)
def test_every_order_of_events_keeps_the_rules(name: str) -> None:
    scope, least = SCOPES[name]
    states, _, whole = Search(scope).run()
    assert whole and states >= least
