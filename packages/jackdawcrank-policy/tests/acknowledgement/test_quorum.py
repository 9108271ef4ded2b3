"""Fenced and confirming sets."""

import itertools

import pytest

from jackdawcrank_policy.acknowledgement import Quorum


@pytest.mark.parametrize("server_count", range(1, 8))
def test_every_fenced_set_meets_every_confirming_set(
    server_count: int,
) -> None:
    quorum = Quorum(server_count)
    servers = range(server_count)
    for fenced in itertools.combinations(servers, quorum.fence_count):
        for confirming in itertools.combinations(servers, quorum.confirm_count):
            assert set(fenced) & set(confirming)


def test_three_servers_fence_two_and_ask_one_replica() -> None:
    quorum = Quorum(3)
    assert (quorum.fence_count, quorum.replica_count) == (2, 1)
