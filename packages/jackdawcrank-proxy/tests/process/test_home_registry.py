"""Tests of the registry of homes on a VM."""

import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from jackdawcrank.process.home_registry import HomeRegistry
from jackdawcrank.timeline import Timeline
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.configuration import Change, Configuration, Kind
from jackdawcrank_policy.homes import home_vms
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import CallerClassSpec, GroupSpec, Vm

GROUPS = tuple(f"group{number}" for number in range(30))
DATA_CENTERS = {f"vm{number}": f"dc{number % 3}" for number in range(9)}


def view_of(names: list[str]) -> MembershipView:
    vms = {
        name: Vm(name, "127.0.0.1", 1, 2, "r", DATA_CENTERS[name])
        for name in names
    }
    return MembershipView(tuple(names), (), vms)


@pytest.fixture
async def registry() -> AsyncIterator[HomeRegistry]:
    registry = HomeRegistry(
        "vm0",
        3,
        "proxy",
        "proxy",
        cast(Any, None),
        cast(Any, None),
        ManualTimer(),
        Timeline("vm0", "b1", 100, clock=lambda: 0.0),
        random.Random(1),
        lambda row, version: None,
    )
    yield registry
    await registry.close()


@pytest.fixture
def home_lookups(
    registry: HomeRegistry, monkeypatch: pytest.MonkeyPatch
) -> dict[str, int]:
    """The number of lookups of each group's homes."""
    counts: dict[str, int] = {}
    original_homes = registry.index.homes

    def homes(group: str) -> tuple[str, ...]:
        counts[group] = counts.get(group, 0) + 1
        return original_homes(group)

    monkeypatch.setattr(registry.index, "homes", homes)
    return counts


def declare_groups(registry: HomeRegistry) -> Configuration:
    groups = {name: GroupSpec(name) for name in GROUPS}
    configuration = Configuration(1, groups)
    registry.configuration_changed(configuration, ())
    return configuration


def active_groups(registry: HomeRegistry) -> set[str]:
    return {n for n, home in registry.homes.items() if not home.retiring}


async def test_homes_follow_the_membership(registry: HomeRegistry) -> None:
    declare_groups(registry)
    rng = random.Random(7)
    for _ in range(12):
        names = rng.sample(
            sorted(DATA_CENTERS), rng.randint(0, len(DATA_CENTERS))
        )
        registry.view_changed(view_of(names))
        assert active_groups(registry) == {
            group
            for group in GROUPS
            if "vm0" in home_vms(group, names, 3, DATA_CENTERS)
        }
        for group in active_groups(registry):
            context = registry.homes[group].agent.context
            assert context.homes == home_vms(group, names, 3, DATA_CENTERS)
            assert context.live == frozenset(names)


async def test_view_change_reconciles_only_affected_groups(
    registry: HomeRegistry, home_lookups: dict[str, int]
) -> None:
    declare_groups(registry)
    names = sorted(DATA_CENTERS)
    registry.view_changed(view_of(names))
    home_lookups.clear()
    registry.view_changed(view_of(names[:-1]))
    changed_groups = {
        group
        for group in GROUPS
        if "vm8" in home_vms(group, names, 3, DATA_CENTERS)
    }
    assert set(home_lookups) == changed_groups | set(registry.homes)
    assert set(home_lookups) < set(GROUPS)


async def test_caller_class_change_reconciles_only_local_homes(
    registry: HomeRegistry, home_lookups: dict[str, int]
) -> None:
    earlier = declare_groups(registry)
    registry.view_changed(view_of(sorted(DATA_CENTERS)))
    home_lookups.clear()
    spec = CallerClassSpec("batch")
    change = Change(2, Kind.CALLER_CLASS, "batch", value=spec)
    registry.configuration_changed(earlier.with_change(change), (change,))
    assert set(home_lookups) == set(registry.homes)
    assert 0 < len(home_lookups) < len(GROUPS)
    classes = [home.group.classes for home in registry.homes.values()]
    assert classes == [{"batch": spec}] * len(home_lookups)


async def test_open_transactions_hold_sessions_of_entry_proxy(
    registry: HomeRegistry,
) -> None:
    declare_groups(registry)
    registry.view_changed(view_of(["vm0"]))
    transactions = registry.homes["group3"].group.transactions
    assert not registry.holds_sessions_of("vm1")
    transaction: Any = SimpleNamespace(session_id="vm1:5f3a:7")
    transactions.open["t1"] = transaction
    assert registry.holds_sessions_of("vm1")
    assert not registry.holds_sessions_of("vm")
    assert not registry.holds_sessions_of("vm10")
    transactions.open.clear()
