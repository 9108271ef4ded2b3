"""Who acts for a group and what it does to the row and the servers."""

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


def test_the_coordinator_comes_first_and_all_ranks_differ() -> None:
    ranks = [takeover_rank(vm, "vm2", HOMES) for vm in HOMES]
    assert ranks == [1, 0, 2]
    assert takeover_rank("vm9", "vm2", HOMES) is None
    assert [takeover_rank(vm, "gone", HOMES) for vm in HOMES] == [0, 1, 2]


def test_the_first_live_home_acts_for_a_dead_coordinator() -> None:
    assert acting_coordinator("vm2", HOMES, frozenset(HOMES)) == "vm2"
    live = frozenset({"vm1", "vm3"})
    assert acting_coordinator("vm2", HOMES, live) == "vm1"
    assert acting_coordinator("vm2", HOMES, frozenset()) is None


def test_upkeep_names_the_live_homes_as_writers() -> None:
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
    ("answer", "told"),
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
def test_servers_out_of_line_are_told(answer: ServerReport, told: bool) -> None:
    assert (required_announcement(ROW, answer) is not None) is told


def test_a_server_fenced_after_the_announcement_is_told_again() -> None:
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


def test_the_divergent_tail_is_counted() -> None:
    assert divergent_tail(Position(1, 130), BRANCH) == 30
    assert divergent_tail(Position(1, 100), BRANCH) == 0
    assert divergent_tail(Position(2, 130), BRANCH) == 0


def test_a_writer_that_left_is_waited_for() -> None:
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


def test_a_term_that_this_vm_opened_has_no_other_writers() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=False)
    claim = attrs.evolve(ROW, term=3, phase=GroupPhase.PREPARING)
    history.observe(claim, 2, 20.0, in_order=True)
    opened = attrs.evolve(claim, phase=GroupPhase.ACTIVE, writers=("vm3",))
    history.observe(opened, 3, 24.0, in_order=True)
    assert history.removed_writers_expire_at == 24.0


def test_a_departed_vm_s_seat_is_freed_after_its_connections() -> None:
    history = RowHistory()
    left = attrs.evolve(ROW, writers=("vm1", "!vm2"))
    history.observe(left, 1, 10.0, in_order=True)
    history.observe(
        attrs.evolve(left, coordinator="vm1"), 2, 60.0, in_order=True
    )
    assert history.freed(84.0) == frozenset()
    assert history.freed(86.0) == {"vm2"}


def test_a_row_that_skipped_changes_is_not_trusted() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=True)
    history.observe(attrs.evolve(ROW, term=4), 9, 50.0, in_order=False)
    assert history.removed_writers_expire_at == 50.0 + LEASE_WAIT_SECONDS


def test_leases_end_counted_from_the_first_claim_seen() -> None:
    history = RowHistory()
    history.observe(ROW, 1, 10.0, in_order=True)
    assert history.leases_expire_at() is None
    claim = attrs.evolve(ROW, term=3, phase=GroupPhase.PREPARING)
    history.observe(claim, 2, 20.0, in_order=True)
    history.observe(attrs.evolve(claim, term=4), 3, 22.0, in_order=True)
    assert history.leases_expire_at() == 20.0 + LEASE_WAIT_SECONDS
