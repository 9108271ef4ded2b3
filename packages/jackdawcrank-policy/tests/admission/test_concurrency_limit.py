"""Tests of the concurrency limit."""

import pytest

from jackdawcrank_policy.admission import concurrency_limit


@pytest.mark.parametrize(
    ("slots", "request_seconds", "round_trip", "connections", "limit"),
    [
        (5, 0.010, 0.0, 20, 5),
        (5, 0.020, 0.010, 20, 10),
        (5, 0.040, 0.010, 20, 7),
        (5, 0.020, 0.010, 8, 8),
        (3, 0.010, 0.020, 90, 24),
        (0, 0.010, 0.005, 20, 0),
    ],
)
def test_round_trip_raises_limit_above_slots(
    slots: int,
    request_seconds: float,
    round_trip: float,
    connections: int,
    limit: int,
) -> None:
    found = concurrency_limit(slots, request_seconds, round_trip, connections)
    assert found == limit
