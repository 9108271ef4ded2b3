import pytest

from jackdawcrank_policy.homes import Member, plan_homes, region_homes
from jackdawcrank_policy.homes.home_plan import HOMES_PER_REGION


def members(count: int, capacity: float = 0.7) -> list[Member]:
    return [
        Member(f"vm{number}", "h", 1, f"dc{number % 2}", "r", capacity)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("limit", "vms", "on_every_vm"),
    [(79, 21, True), (88, 15, True), (105, 133, False), (289, 106, False)],
)
def test_small_sites_have_homes_on_every_vm(
    limit: int, vms: int, on_every_vm: bool
) -> None:
    assert plan_homes(limit, vms, 3).on_every_vm is on_every_vm


@pytest.mark.parametrize("limit", [10, 79, 88, 105, 289])
@pytest.mark.parametrize("vms", [1, 15, 27, 106, 133, 700])
@pytest.mark.parametrize("regions", [1, 2, 3])
def test_homes_together_stay_within_server_limit(
    limit: int, vms: int, regions: int
) -> None:
    plan = plan_homes(limit, vms, regions)
    homes = vms if plan.on_every_vm else plan.per_region * regions
    assert plan.homes == homes
    assert plan.connections * homes <= limit or plan.connections == 1
    assert plan.on_every_vm or plan.per_region >= HOMES_PER_REGION


@pytest.mark.parametrize("limit", [53, 69, 105, 112, 289])
def test_homes_and_their_stand_ins_stay_within_server_limit(limit: int) -> None:
    # A server reset connections beyond its limit while VMs that could not
    # reach a home used others in their place.
    plan = plan_homes(limit, 133, 3)
    per_pair = plan.connections + plan.stand_in_connections
    assert per_pair * plan.homes <= limit


def test_large_sites_have_more_connections_than_slots() -> None:
    for limit, vms, slots in ((105, 133, 6), (289, 106, 3)):
        assert plan_homes(limit, vms, 3).connections > 2 * slots


def test_unknown_vm_count_uses_expected_maximum() -> None:
    assert plan_homes(79, 0, 0) == plan_homes(79, 24, 3)


def test_larger_vms_come_first() -> None:
    large = [Member("big", "h", 1, "dc", "r", 2.15)]
    assert region_homes("g", [*members(9), *large], 1) == tuple(large)


def test_ranking_does_not_depend_on_row_order() -> None:
    known = members(20)
    assert region_homes("g", known, 4) == region_homes("g", known[::-1], 4)


def test_removing_a_vm_moves_only_its_own_groups() -> None:
    known = members(20)
    for group in "abcdefgh":
        homes = region_homes(group, known, 3)
        for removed in known:
            remaining = [
                candidate for candidate in known if candidate is not removed
            ]
            after = region_homes(group, remaining, 3)
            assert removed in homes or after == homes
            assert len(set(after) & set(homes)) >= 2


def test_groups_are_spread_over_equal_vms() -> None:
    used = {
        home.vm
        for number in range(40)
        for home in region_homes(f"g{number}", members(20), 2)
    }
    assert len(used) >= 15


def members_of_two_data_centers(large: int, small: int) -> list[Member]:
    """Return VMs of two sizes in each of two data centres of a region."""
    return [
        Member(f"{dc}-{capacity}-{n}", "h", 1, dc, "r", capacity)
        for dc in ("east", "west")
        for capacity, count in ((2.0, large), (0.5, small))
        for n in range(count)
    ]


@pytest.mark.parametrize("number", range(20))
def test_homes_are_in_different_data_centers(number: int) -> None:
    known = members_of_two_data_centers(3, 20)
    first, second = region_homes(f"g{number}", known, 2)
    assert {first.data_center, second.data_center} == {"east", "west"}
    assert (first.capacity, second.capacity) == (2.0, 2.0)


def test_large_vms_come_before_another_data_center() -> None:
    known = [
        one
        for one in members_of_two_data_centers(2, 5)
        if one.data_center == "east" or one.capacity < 1.0
    ]
    homes = region_homes("g", known, 2)
    assert [one.capacity for one in homes] == [2.0, 2.0]


@pytest.mark.parametrize("number", range(8))
def test_removing_a_vm_of_two_data_centers_moves_no_other_home(
    number: int,
) -> None:
    known = members_of_two_data_centers(3, 3)
    homes = set(region_homes(f"g{number}", known, 2))
    for removed in known:
        remaining = [one for one in known if one is not removed]
        after = set(region_homes(f"g{number}", remaining, 2))
        assert homes - {removed} <= after
