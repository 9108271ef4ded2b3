"""Tests for the acting coordinator and for row and server reconciliation."""

import attrs
import pytest

from jackdawcrank_policy.coordination import (
    RowHistory,
    acting_coordinator,
    divergent_tail,
    reconcile_row,
    required_announcement,
    takeover_rank,
)
from jackdawcrank_policy.lease import LEASE_WAIT_SECONDS
from jackdawcrank_policy.values import (
    Branch,
    GroupPhase,
    GroupRow,
    Position,
    ServerReport,
    ServerRole,
    TermStart,
)

HOMES = ("vm1", "vm2", "vm3")
BRANCH = Branch((TermStart(1, 0), TermStart(2, 100)))
ROW = GroupRow(
    "ledger", 2, GroupPhase.ACTIVE, "s1", "vm2", ("vm1", "vm2"), BRANCH
)


def report(
    server: str, term: int, role: ServerRole, position: Position
) -> ServerReport:
    return ServerReport(server, term, role, position)


def test_coordinator_ranks_first_and_all_ranks_differ() -> None:
    ranks = [takeover_rank(vm, "vm2", HOMES) for vm in HOMES]
    assert ranks == [1, 0, 2]
    assert takeover_rank("vm9", "vm2", HOMES) is None
    assert [takeover_rank(vm, "gone", HOMES) for vm in HOMES] == [0, 1, 2]


def test_first_live_home_acts_for_a_dead_coordinator() -> None:
    assert acting_coordinator("vm2", HOMES, frozenset(HOMES)) == "vm2"
    live = frozenset({"vm1", "vm3"})
    assert acting_coordinator("vm2", HOMES, live) == "vm1"
    assert acting_coordinator("vm2", HOMES, frozenset()) is None


def test_reconciled_row_lists_the_live_homes_as_writers() -> None:
    live = frozenset({"vm1", "vm3"})
    wanted = reconcile_row(ROW, "vm1", HOMES, live)
    assert wanted is not None
    assert wanted.writers[:3] == ("vm1", "!vm2", "vm3")
    assert wanted.coordinator == "vm1"
    assert wanted.term == ROW.term
    assert reconcile_row(wanted, "vm1", HOMES, live) is None
    assert reconcile_row(ROW, "vm3", HOMES, live) is None
    later = reconcile_row(wanted, "vm1", HOMES, live, frozenset({"vm2"}))
    assert later is not None and later.writers[:3] == ("vm1", "", "vm3")


@pytest.mark.parametrize(
    ("answer", "announcement_required"),
    [
        (report("s1", 2, ServerRole.PRIMARY, Position(2, 120)), False),
        (report("s2", 2, ServerRole.REPLICA, Position(2, 110)), False),
        (report("s1", 2, ServerRole.REPLICA, Position(1, 100)), True),
        (report("s1", 2, ServerRole.REPLICA, Position(2, 110)), False),
        (report("s1", 0, ServerRole.REPLICA, Position(0, 0)), False),
        (report("s3", 1, ServerRole.PRIMARY, Position(1, 130)), True),
        (report("s3", 0, ServerRole.REPLICA, Position(0, 0)), True),
        (report("s3", 3, ServerRole.REPLICA, Position(2, 110)), False),
    ],
)
def test_announcement_is_required_if_the_report_contradicts_the_row(
    answer: ServerReport, announcement_required: bool
) -> None:
    assert (
        required_announcement(ROW, answer) is not None
    ) is announcement_required


def test_server_fenced_after_the_announcement_needs_another() -> None:
    missed = report("a", 3, ServerRole.REPLICA, Position(2, 5))
    row = attrs.evolve(
        ROW,
        primary="b",
        term=3,
        branch=Branch((TermStart(2, 0), TermStart(3, 5))),
    )
    assert required_announcement(row, missed) is not None
    assert (
        required_announcement(row, attrs.evolve(missed, caught_up=True)) is None
    )


def test_divergent_tail_counts_dropped_entries() -> None:
    assert divergent_tail(Position(1, 130), BRANCH) == 30
    assert divergent_tail(Position(1, 100), BRANCH) == 0
    assert divergent_tail(Position(2, 130), BRANCH) == 0


def test_lease_of_a_removed_writer_has_to_expire() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=True)
    assert history.removed_writers_expire_at == 10.0 + LEASE_WAIT_SECONDS
    opened = attrs.evolve(ROW, term=3)
    history.observe(opened, 2, 20.0, in_order=True)
    assert history.removed_writers_expire_at == 20.0
    grown = attrs.evolve(opened, writers=HOMES)
    history.observe(grown, 3, 30.0, in_order=True)
    assert history.removed_writers_expire_at == 20.0
    shrunk = attrs.evolve(opened, writers=("vm1",))
    history.observe(shrunk, 4, 40.0, in_order=True)
    assert history.removed_writers_expire_at == 40.0 + LEASE_WAIT_SECONDS


def test_observed_opening_leaves_no_other_lease_holders() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=False)
    claim = attrs.evolve(ROW, term=3, phase=GroupPhase.PREPARING)
    history.observe(claim, 2, 20.0, in_order=True)
    opened = attrs.evolve(claim, phase=GroupPhase.ACTIVE, writers=("vm3",))
    history.observe(opened, 3, 24.0, in_order=True)
    assert history.removed_writers_expire_at == 24.0


def test_departed_vm_seat_is_freed_after_its_connections_end() -> None:
    history = RowHistory()
    left = attrs.evolve(ROW, writers=("vm1", "!vm2"))
    history.observe(left, 1, 10.0, in_order=True)
    history.observe(
        attrs.evolve(left, coordinator="vm1"), 2, 60.0, in_order=True
    )
    assert history.freed(84.0) == frozenset()
    assert history.freed(86.0) == {"vm2"}


def test_row_after_missed_changes_restarts_the_lease_wait() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=True)
    history.observe(attrs.evolve(ROW, term=4), 9, 50.0, in_order=False)
    assert history.removed_writers_expire_at == 50.0 + LEASE_WAIT_SECONDS


def test_lease_expiry_counts_from_the_first_observed_claim() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=True)
    assert history.leases_expire_at() is None
    claim = attrs.evolve(ROW, term=3, phase=GroupPhase.PREPARING)
    history.observe(claim, 2, 20.0, in_order=True)
    history.observe(attrs.evolve(claim, term=4), 3, 22.0, in_order=True)
    assert history.leases_expire_at() == 20.0 + LEASE_WAIT_SECONDS
