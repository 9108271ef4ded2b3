import pytest

from jackdawcrank_policy.homes import Member, plan_homes, region_homes
from jackdawcrank_policy.homes.home_plan import REGION_HOMES


def members(count: int, capacity: float = 0.7) -> list[Member]:
    return [
        Member(f"vm{number}", "h", 1, f"dc{number % 2}", "r", capacity)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("limit", "vms", "everywhere"),
    [(79, 21, True), (88, 15, True), (105, 133, False), (289, 106, False)],
)
def test_users_sites_have_homes_only_once_grown(
    limit: int, vms: int, everywhere: bool
) -> None:
    assert plan_homes(limit, vms, 3).everywhere is everywhere


@pytest.mark.parametrize("limit", [10, 79, 88, 105, 289])
@pytest.mark.parametrize("vms", [1, 15, 27, 106, 133, 700])
@pytest.mark.parametrize("regions", [1, 2, 3])
def test_homes_together_keep_the_servers_limit(
    limit: int, vms: int, regions: int
) -> None:
    plan = plan_homes(limit, vms, regions)
    homes = vms if plan.everywhere else plan.per_region * regions
    assert plan.homes == homes
    assert plan.connections * homes <= limit or plan.connections == 1
    assert plan.everywhere or plan.per_region >= REGION_HOMES


def test_grown_homes_have_more_connections_than_slots() -> None:
    for limit, vms, slots in ((105, 133, 6), (289, 106, 3)):
        assert plan_homes(limit, vms, 3).connections > 2 * slots


def test_unknown_vms_count_as_the_most_that_are_expected() -> None:
    assert plan_homes(79, 0, 0) == plan_homes(79, 24, 3)


def test_larger_vms_come_first() -> None:
    large = [Member("big", "h", 1, "dc", "r", 2.15)]
    assert region_homes("g", [*members(9), *large], 1) == tuple(large)


def test_order_does_not_depend_on_the_order_of_the_rows() -> None:
    known = members(20)
    assert region_homes("g", known, 4) == region_homes("g", known[::-1], 4)


def test_one_vm_less_moves_only_its_own_groups() -> None:
    known = members(20)
    for group in "abcdefgh":
        homes = region_homes(group, known, 3)
        for gone in known:
            left = [one for one in known if one is not gone]
            now = region_homes(group, left, 3)
            assert gone in homes or now == homes
            assert len(set(now) & set(homes)) >= 2


def test_groups_are_spread_over_equal_vms() -> None:
    used = {
        home.vm
        for number in range(40)
        for home in region_homes(f"g{number}", members(20), 2)
    }
    assert len(used) >= 15
