"""No order of events in these scopes commits two contents under one number or loses an accepted version."""

from __future__ import annotations

import pytest

from tests.search_replication import Scope, Search, Write

# Messages that only speed up progress. Dropping them leaves room in the search for one more ballot or start.
CATCH_UP_KINDS = ("Nack", "Fetch", "Fetched", "Commit")
# Each scope with the least number of states that the search must visit.
SCOPES = {
    "writers": (Scope(ballots=2), 13_000),
    "two-numbers": (Scope((Write(0, 0, "a"), Write(0, 0, "b"), Write(1, 1, "c"))), 25_000),
    "three-ballots": (Scope(ballots=3, dropped_kinds=CATCH_UP_KINDS), 48_000),
    "restart": (Scope(ballots=1, restarts=1), 9_000),
    "restart-voter": (
        Scope(ballots=2, restarts=1, wait_for_all_peers=False, may_stop=(2,), dropped_kinds=CATCH_UP_KINDS),
        36_000,
    ),
    "restart-proposer": (Scope(ballots=2, restarts=1, may_stop=(0,), dropped_kinds=CATCH_UP_KINDS), 42_000),
    "lost": (Scope(ballots=1, disk_losses=1, first_start=True), 50_000),
    "lost-voter": (
        Scope(
            ballots=2,
            disk_losses=1,
            wait_for_all_peers=False,
            may_stop=(2,),
            dropped_kinds=("Nack", "Commit"),
        ),
        420_000,
    ),
    "lost-proposer": (Scope(ballots=2, disk_losses=1, may_stop=(0,), dropped_kinds=CATCH_UP_KINDS), 180_000),
    "lost-and-restart": (Scope(ballots=1, disk_losses=1, restarts=1, may_stop=(2,)), 160_000),
    "old": (Scope(ballots=1, disk_rollbacks=1, may_stop=(2,)), 38_000),
    "old-voter": (
        Scope(ballots=2, disk_rollbacks=1, may_stop=(2,), dropped_kinds=CATCH_UP_KINDS, oldest_copy=True),
        500_000,
    ),
}


@pytest.mark.parametrize("name", SCOPES)
def test_every_order_of_events_keeps_the_invariants(name: str) -> None:
    scope, min_states = SCOPES[name]
    states, _, complete = Search(scope).run()
    assert complete and states >= min_states
