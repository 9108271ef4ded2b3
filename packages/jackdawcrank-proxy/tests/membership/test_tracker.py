"""Tests of the membership tracker's reads and writes."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank.membership import MembershipTracker
from jackdawcrank.membership.intervals import (
    LEASE_SECONDS,
    PAGE_ROWS,
    list_interval_seconds,
    page_interval_seconds,
)
from jackdawcrank.store import StoreClient
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import Vm, VmState
from jackdawcrank_standins.platform import Platform, StopMode

NewTracker = Callable[[str], MembershipTracker]


def vm(name: str, state: VmState = VmState.LIVE) -> Vm:
    return Vm(name, "127.0.0.1", 1, 2, "r", "d", state)


@pytest.fixture
async def platform(platform: Platform) -> Platform:
    for name in ("vm-1", "vm-2"):
        platform.list_vm(vm(name))
    return platform


@pytest.fixture
def timer() -> ManualTimer:
    return ManualTimer(100.0)


@pytest.fixture
def new_tracker(client: StoreClient, timer: ManualTimer) -> NewTracker:
    def new_tracker(name: str) -> MembershipTracker:
        return MembershipTracker(
            client, timer, vm(name), f"boot-{name}", rng=random.Random(name)
        )

    return new_tracker


async def test_vms_see_each_other(
    new_tracker: NewTracker, timer: ManualTimer
) -> None:
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    await timer.advance(60.0)
    assert one.view.live == two.view.live == ("vm-1", "vm-2")


async def test_dead_listed_vm_is_removed_from_view(
    new_tracker: NewTracker, timer: ManualTimer
) -> None:
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    await timer.advance(12.0)
    for subscription in two.subscriptions:
        subscription.close()
    await timer.advance(LEASE_SECONDS + 25.0)
    assert one.view.live == ("vm-1",)


async def test_stream_failure_triggers_lease_row_read(
    new_tracker: NewTracker, timer: ManualTimer
) -> None:
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    one.stream_failed("vm-2")
    views: list[MembershipView] = []
    one.on_view_change = views.append
    await timer.advance(60.0)
    assert one.view.live == ("vm-1", "vm-2")
    assert len(views) <= 2


async def test_unlisted_vm_with_lease_joins_view(
    new_tracker: NewTracker, timer: ManualTimer
) -> None:
    one, three = new_tracker("vm-1"), new_tracker("vm-3")
    await one.start()
    await three.start()
    await timer.advance(30.0)
    assert "vm-3" in one.view.live
    assert one.view.vms["vm-3"] == vm("vm-3")


async def test_leave_is_announced_and_lease_row_deleted(
    new_tracker: NewTracker, timer: ManualTimer, client: StoreClient
) -> None:
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    await two.leave()
    assert two.view.live == ("vm-1",)
    await timer.advance(15.0)
    assert one.view.live == ("vm-1",)
    assert one.view.leaving == ("vm-2",)
    await two.close()
    page = await client.scan("vms")
    assert [row.key for row in page.rows] == ["vm-1"]  # type: ignore[union-attr]


async def test_store_outage_removes_no_vm(
    new_tracker: NewTracker, timer: ManualTimer, platform: Platform
) -> None:
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    await timer.advance(20.0)
    platform.faults.stop(StopMode.REFUSE)
    await timer.advance(300.0)
    assert one.view.live == ("vm-1", "vm-2")
    platform.faults.start()
    one.store.channel.breaker.record_success()
    seen: list[Any] = []
    one.on_view_change = seen.append
    await timer.advance(60.0)
    assert seen == []


async def test_store_requests_are_bounded_by_intervals(
    new_tracker: NewTracker, timer: ManualTimer, client: StoreClient
) -> None:
    one = new_tracker("vm-1")
    await one.start()
    before = client.traffic.requests
    await timer.advance(100.0)
    assert 150 <= client.traffic.requests - before <= 250


def test_read_interval_grows_with_size() -> None:
    assert list_interval_seconds(2) == page_interval_seconds(2) == 1.0
    assert list_interval_seconds(700) == 105.0
    assert page_interval_seconds(PAGE_ROWS) == 10.0


async def test_vms_that_start_together_see_each_other_soon(
    new_tracker: NewTracker, timer: ManualTimer, platform: Platform
) -> None:
    platform.vms.listings.clear()
    one, two = new_tracker("vm-1"), new_tracker("vm-2")
    await one.start()
    await two.start()
    platform.list_vm(vm("vm-1"))
    platform.list_vm(vm("vm-2"))
    await timer.advance(2.5)
    assert one.view.live == two.view.live == ("vm-1", "vm-2")


async def test_lease_row_of_vm_heard_on_stream_is_read(
    new_tracker: NewTracker, timer: ManualTimer
) -> None:
    one, three = new_tracker("vm-1"), new_tracker("vm-3")
    await one.start()
    await three.renew(timer.now())
    one.next_page_read_at = float("inf")
    one.heard("vm-3")
    await timer.advance(2.0)
    assert one.view.vms["vm-3"] == vm("vm-3")


async def test_vm_list_sets_own_vm_state(
    new_tracker: NewTracker, timer: ManualTimer, platform: Platform
) -> None:
    one = new_tracker("vm-1")
    await one.start()
    platform.list_vm(vm("vm-1", VmState.LEAVING))
    await timer.advance(5.0)
    assert one.membership.evidence_for("vm-1").vm == vm("vm-1", VmState.LEAVING)
    assert one.view.live == ("vm-1", "vm-2")
