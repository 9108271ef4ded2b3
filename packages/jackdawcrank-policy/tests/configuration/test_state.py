"""Tests that changes are applied in order and the version never drops."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.configuration import (
    AlreadyApplied,
    Applied,
    Change,
    Configuration,
    ConfigurationState,
    Kind,
    MissingChanges,
)
from jackdawcrank_policy.values import GroupSpec, ServerSpec

NAMES = ("a", "b", "c")
HISTORY_LENGTH = 12


def group_change(version: int, slots: int | None = None) -> Change:
    name = NAMES[version % len(NAMES)]
    if slots is None and version % 5 == 0:
        return Change(version, Kind.DATABASE_GROUP, name, deleted=True)
    value = GroupSpec(name, slots_per_server=slots or version)
    document = {"spec": {"slotsPerServer": value.slots_per_server}}
    return Change(
        version, Kind.DATABASE_GROUP, name, value=value, document=document
    )


def configuration_at(version: int) -> Configuration:
    configuration = Configuration()
    for number in range(1, version + 1):
        configuration = configuration.with_change(group_change(number))
    return configuration


@pytest.fixture
def state() -> ConfigurationState:
    return ConfigurationState()


def test_the_next_change_is_applied(state: ConfigurationState) -> None:
    outcome = state.apply(group_change(1))
    assert outcome == Applied(state.current)
    assert state.current.groups["b"].slots_per_server == 1
    assert state.version == 1


def test_change_after_a_gap_is_not_applied(
    state: ConfigurationState,
) -> None:
    state.apply(group_change(1))
    assert state.apply(group_change(3)) == MissingChanges(2)
    assert state.version == 1


def test_repeated_change_is_already_applied(state: ConfigurationState) -> None:
    state.apply(group_change(1))
    assert state.apply(group_change(1, slots=99)) == AlreadyApplied()
    assert state.current.groups["b"].slots_per_server == 1


def test_snapshot_that_is_not_newer_is_ignored(
    state: ConfigurationState,
) -> None:
    state.install_snapshot(configuration_at(4))
    assert state.install_snapshot(configuration_at(4)) == AlreadyApplied()
    assert state.install_snapshot(configuration_at(3)) == AlreadyApplied()
    assert state.current == configuration_at(4)


def test_a_deletion_removes_the_row(state: ConfigurationState) -> None:
    state.install_snapshot(configuration_at(4))
    assert "c" in state.current.groups
    state.apply(group_change(5))
    assert "c" not in state.current.groups
    assert (Kind.DATABASE_GROUP, "c") not in state.current.entries


def test_an_unreadable_row_keeps_its_last_value(
    state: ConfigurationState,
) -> None:
    state.apply(group_change(1))
    unreadable = Change(2, Kind.DATABASE_GROUP, "b", document={"spec": 1})
    state.apply(unreadable)
    assert state.current.groups["b"].slots_per_server == 1
    assert state.version == 2


def test_unknown_kind_is_kept(state: ConfigurationState) -> None:
    state.apply(Change(1, "Mirror", "x", document={"spec": {"to": "y"}}))
    assert state.version == 1
    assert state.current.entries["Mirror", "x"].document["spec"]["to"] == "y"


def test_discarded_changes_are_reported() -> None:
    state = ConfigurationState()
    state.install_snapshot(configuration_at(3))
    state.apply(group_change(4))
    assert state.changes_after(2) is None
    assert state.changes_after(3) == (group_change(4),)
    assert state.changes_after(4) == ()


def test_servers_of_a_group_are_sorted_by_name() -> None:
    servers = {
        name: ServerSpec(name, group, "10.0.0.1", 3306)
        for name, group in (("s2", "g"), ("s1", "g"), ("s3", "h"))
    }
    configuration = Configuration(servers=servers)
    assert [s.name for s in configuration.servers_of("g")] == ["s1", "s2"]


@given(
    steps=st.lists(
        st.tuples(st.booleans(), st.integers(1, HISTORY_LENGTH)), max_size=60
    )
)
def test_version_never_decreases_in_any_interleaving(
    steps: list[tuple[bool, int]],
) -> None:
    state = ConfigurationState()
    for is_snapshot, version in steps:
        before = state.version
        if is_snapshot:
            state.install_snapshot(configuration_at(version))
        else:
            state.apply(group_change(version))
        assert state.version >= before
        assert state.current == configuration_at(state.version)
        known = state.changes_after(0)
        if known is not None:
            expected = range(1, state.version + 1)
            assert [change.version for change in known] == list(expected)
