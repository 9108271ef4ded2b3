"""Tests of a home's share of the slots."""

import pytest

from jackdawcrank_policy.admission import home_slots


@pytest.mark.parametrize("total", [0, 2, 9, 15, 16])
def test_homes_share_all_slots(total: int) -> None:
    homes = ("u", "v", "w")
    parts = [home_slots(total, homes, vm) for vm in homes]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1
    assert home_slots(total, homes, "z") == 0
