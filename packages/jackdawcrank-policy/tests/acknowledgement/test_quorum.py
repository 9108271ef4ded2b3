"""Tests for the sizes of fenced and confirming server sets."""

import itertools

import pytest

from jackdawcrank_policy.acknowledgement import Quorum


@pytest.mark.parametrize("server_count", range(1, 8))
@pytest.mark.parametrize("change", [-1, 0, 1])
def test_fenced_and_confirming_sets_always_overlap(
    server_count: int, change: int
) -> None:
    known_server_count = server_count + change
    quorum = Quorum(server_count)
    confirm_count = Quorum(known_server_count).confirm_count
    for fenced in itertools.combinations(
        range(server_count), quorum.fence_count
    ):
        for confirming in itertools.combinations(
            range(known_server_count), confirm_count
        ):
            assert set(fenced) & set(confirming)


def test_three_servers_require_two_fences_and_one_replica() -> None:
    quorum = Quorum(3)
    assert (quorum.fence_count, quorum.replica_count) == (2, 1)
