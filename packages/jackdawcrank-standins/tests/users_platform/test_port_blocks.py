"""Tests of the ports that are chosen for servers of tests."""

import itertools
from collections.abc import Iterator

import pytest

from jackdawcrank_standins.users_platform import port_blocks
from jackdawcrank_standins.users_platform.port_blocks import PortBlocks

PORTS = range(port_blocks.FIRST_PORT, port_blocks.LAST_PORT)


@pytest.fixture
def pair() -> Iterator[tuple[PortBlocks, PortBlocks]]:
    pair = PortBlocks(), PortBlocks()
    yield pair
    for one in pair:
        one.close()


def test_processes_choose_from_different_ports(
    pair: tuple[PortBlocks, PortBlocks],
) -> None:
    # Callers of one test would reach the proxy of another.
    taken = [set(itertools.islice(one.ports, 250)) for one in pair]
    assert len(taken[0] | taken[1]) == 500
    assert taken[0] | taken[1] <= set(PORTS)


def test_a_process_leaves_ports_to_others(
    pair: tuple[PortBlocks, PortBlocks], monkeypatch: pytest.MonkeyPatch
) -> None:
    # A long run would reserve every block, and tests beside it could not start.
    monkeypatch.setattr(port_blocks, "MAX_BLOCKS", 2)
    limit = 2 * port_blocks.BLOCK_SIZE
    offered = list(itertools.islice(pair[0].ports, limit + 50))
    assert offered[limit:] == offered[:50]
    assert len(set(offered)) == limit
