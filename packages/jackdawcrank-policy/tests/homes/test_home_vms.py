"""Tests of the selection of home VMs."""

import collections

from jackdawcrank_policy.homes import home_count, home_vms

VMS = [f"vm{number}" for number in range(21)]
GROUPS = [f"group{number}" for number in range(300)]


def test_order_and_duplicates_of_live_vms_do_not_matter() -> None:
    shuffled = [*reversed(VMS), *VMS]
    assert home_vms("ledger", shuffled, 3) == home_vms("ledger", VMS, 3)


def test_lost_vm_changes_only_the_groups_it_was_home_of() -> None:
    remaining = VMS[1:]
    for group in GROUPS:
        before = home_vms(group, VMS, 3)
        after = home_vms(group, remaining, 3)
        assert [vm for vm in before if vm != "vm0"] == [*after][
            : len(before) - ("vm0" in before)
        ]


def test_groups_spread_over_the_vms() -> None:
    counts = collections.Counter(
        vm for group in GROUPS for vm in home_vms(group, VMS, 3)
    )
    mean = 3 * len(GROUPS) / len(VMS)
    assert set(counts) == set(VMS)
    assert max(counts.values()) < 2 * mean


def test_homes_are_in_different_data_centers() -> None:
    data_centers = {vm: f"dc{number % 3}" for number, vm in enumerate(VMS)}
    for group in GROUPS:
        homes = home_vms(group, VMS, 3, data_centers)
        assert len({data_centers[vm] for vm in homes}) == 3


def test_home_count_tolerates_loss_of_one_home() -> None:
    assert home_count(slots=5, servers=3, per_home=8) == 3
    assert home_count(slots=3, servers=3, per_home=9) == 2
    assert home_count(slots=1, servers=1, per_home=100) == 2
