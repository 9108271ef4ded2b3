"""Tests for the lease table of one VM."""

import attrs
import pytest

from jackdawcrank_policy.lease import (
    LEASE_SECONDS,
    LEASE_WAIT_SECONDS,
    LeaseState,
    LeaseTable,
)
from jackdawcrank_policy.values import Branch, GroupPhase, GroupRow, TermStart

ROW = GroupRow(
    "ledger",
    4,
    GroupPhase.ACTIVE,
    "s1",
    "vm1",
    ("vm1", "vm2"),
    Branch((TermStart(4, 0),)),
)


@pytest.fixture
def table() -> LeaseTable:
    table = LeaseTable("vm1")
    table.install(ROW, 10)
    table.renew(100.0, 10)
    return table


def test_lease_starts_when_the_read_is_sent(table: LeaseTable) -> None:
    assert table.holds("ledger", 4, 100.0 + LEASE_SECONDS - 0.001)
    assert not table.holds("ledger", 4, 100.0 + LEASE_SECONDS)
    late = table.state("ledger", 4, 100.0 + LEASE_SECONDS)
    assert late is LeaseState.LAPSED


def test_lease_lapses_during_a_pause_after_the_read(
    table: LeaseTable,
) -> None:
    table.renew(101.0, 10)
    assert not table.holds("ledger", 4, 109.0)


def test_answer_with_an_older_version_does_not_renew(table: LeaseTable) -> None:
    table.renew(105.0, 12)
    table.renew(107.0, 11)
    assert table.renewed_at == 105.0


@pytest.mark.parametrize(
    "row",
    [
        attrs.evolve(ROW, term=5, phase=GroupPhase.PREPARING),
        attrs.evolve(ROW, term=5),
        attrs.evolve(ROW, writers=("vm2",)),
    ],
)
def test_newer_row_closes_the_lease(table: LeaseTable, row: GroupRow) -> None:
    assert table.install(row, 11)
    assert table.state("ledger", 4, 100.1) is LeaseState.CLOSED


def test_older_row_is_ignored(table: LeaseTable) -> None:
    assert not table.install(attrs.evolve(ROW, term=3), 9)
    assert table.holds("ledger", 4, 100.1)


def test_given_up_lease_is_not_renewed(table: LeaseTable) -> None:
    table.give_up("ledger", 4)
    table.renew(101.0, 10)
    assert table.state("ledger", 4, 101.1) is LeaseState.CLOSED
    table.install(attrs.evolve(ROW, term=5), 11)
    assert table.holds("ledger", 5, 101.1)


def test_lease_wait_covers_a_slow_clock() -> None:
    holder_seconds = LEASE_SECONDS * 1.02
    assert holder_seconds <= LEASE_WAIT_SECONDS
