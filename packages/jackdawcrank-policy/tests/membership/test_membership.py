"""Tests of membership from the VM list, leases and streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.membership import LeaseReading, Membership
from jackdawcrank_policy.values import Vm, VmState

OWN = Vm("vm-0", "10.0.0.1", 1, 2)
LEASE_SECONDS = 15.0
READ_SECONDS = 5.0


def vm(name: str, state: VmState = VmState.LIVE) -> Vm:
    return Vm(name, "10.0.0.2", 1, 2, state=state)


def reading(
    counter: int, boot: str = "b1", leaving: bool = False
) -> LeaseReading:
    return LeaseReading("vm-1", boot, counter, LEASE_SECONDS, leaving)


@pytest.fixture
def membership() -> Membership:
    instance = Membership(OWN)
    instance.record_vm_list([OWN, vm("vm-1")])
    return instance


def read_unrenewed(membership: Membership, start: float, count: int) -> float:
    now = start
    for _ in range(count):
        membership.record_lease_row(reading(1), None, now)
        now += READ_SECONDS
    return now


def test_vm_list_decides_without_other_evidence(
    membership: Membership,
) -> None:
    assert membership.view(1e6).live == ("vm-0", "vm-1")


def test_listed_vm_with_expired_lease_is_excluded(
    membership: Membership,
) -> None:
    now = read_unrenewed(membership, 0.0, 4)
    assert "vm-1" in membership.view(now).live
    now = read_unrenewed(membership, now, 1)
    assert membership.view(now).live == ("vm-0",)


def test_lease_does_not_expire_across_a_read_outage(
    membership: Membership,
) -> None:
    membership.record_lease_row(reading(1), None, 0.0)
    membership.record_lease_row(reading(1), None, 600.0)
    assert "vm-1" in membership.view(600.0).live


def test_listed_vm_with_failed_streams_is_excluded(
    membership: Membership,
) -> None:
    membership.record_lease_row(reading(1), None, 9.0)
    membership.record_stream_failure("vm-1", 10.0)
    assert "vm-1" in membership.view(12.9).live
    assert membership.view(13.0).live == ("vm-0",)
    assert membership.suspects(13.0) == ("vm-1",)


def test_renewal_keeps_a_vm_that_only_this_vm_cannot_reach(
    membership: Membership,
) -> None:
    membership.record_lease_row(reading(1), None, 9.0)
    membership.record_stream_failure("vm-1", 10.0)
    membership.record_lease_row(reading(2), None, 14.0)
    assert "vm-1" in membership.view(14.0).live


def test_stream_message_keeps_a_vm_that_cannot_renew(
    membership: Membership,
) -> None:
    now = read_unrenewed(membership, 0.0, 6)
    membership.record_message("vm-1", None, now)
    assert "vm-1" in membership.view(now + 1).live


def test_unlisted_vm_that_renews_is_included() -> None:
    membership = Membership(OWN)
    membership.record_vm_list([OWN])
    membership.record_lease_row(reading(1), vm("vm-1"), 0.0)
    assert membership.view(0.0).live == ("vm-0",)
    membership.record_lease_row(reading(2), vm("vm-1"), 5.0)
    view = membership.view(5.0)
    assert view.live == ("vm-0", "vm-1")
    assert view.vms["vm-1"] == vm("vm-1")


def test_unlisted_vm_with_stream_messages_is_included() -> None:
    membership = Membership(OWN)
    membership.record_message("vm-1", vm("vm-1"), 1.0)
    assert membership.view(2.0).live == ("vm-0", "vm-1")
    assert membership.view(12.0).live == ("vm-0",)


@pytest.mark.parametrize("source", ["list", "lease", "announcement"])
def test_leaving_vm_is_not_live(membership: Membership, source: str) -> None:
    if source == "list":
        membership.record_vm_list([OWN, vm("vm-1", VmState.LEAVING)])
    elif source == "lease":
        membership.record_lease_row(reading(1, leaving=True), None, 0.0)
    else:
        membership.record_leaving("vm-1")
    view = membership.view(0.0)
    assert view.live == ("vm-0",)
    assert view.leaving == ("vm-1",)


def test_new_process_of_a_leaving_vm_is_live(
    membership: Membership,
) -> None:
    membership.record_lease_row(reading(7, leaving=True), None, 0.0)
    membership.record_lease_row(reading(1, boot="b2"), None, 5.0)
    assert membership.view(5.0).live == ("vm-0", "vm-1")


def test_new_process_seen_on_a_stream_is_live(
    membership: Membership,
) -> None:
    membership.record_message("vm-1", None, 0.0, "b1")
    membership.record_leaving("vm-1")
    membership.record_message("vm-1", None, 1.0)
    membership.record_message("vm-1", None, 1.0, "b1")
    assert membership.view(1.0).live == ("vm-0",)
    assert membership.suspects(1.0) == ("vm-1",)
    membership.record_message("vm-1", None, 2.0, "b2")
    assert membership.view(2.0).live == ("vm-0", "vm-1")
    assert membership.suspects(2.0) == ()


def test_leaving_vm_is_not_live_in_its_own_view(
    membership: Membership,
) -> None:
    membership.leaving = True
    assert membership.view(0.0).live == ("vm-1",)


def test_silent_unlisted_vms_are_removed() -> None:
    membership = Membership(OWN)
    membership.record_lease_row(reading(1), vm("vm-1"), 0.0)
    membership.remove_silent(299.0)
    assert "vm-1" in membership.evidence
    membership.remove_silent(301.0)
    assert "vm-1" not in membership.evidence


@given(
    periods=st.lists(st.floats(0.5, 7.0), min_size=1, max_size=40),
    outages=st.lists(st.booleans(), min_size=40, max_size=40),
)
def test_renewing_vm_is_never_excluded(
    periods: list[float], outages: list[bool]
) -> None:
    """Lease reads may fail for any time while the VM keeps renewing."""
    membership = Membership(OWN)
    membership.record_vm_list([OWN, vm("vm-1")])
    now = 0.0
    for period, out in zip(periods, outages, strict=False):
        now += period
        if not out:
            membership.record_lease_row(reading(int(now / 5)), None, now)
        assert "vm-1" in membership.view(now).live
