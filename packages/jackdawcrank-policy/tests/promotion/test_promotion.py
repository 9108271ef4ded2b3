"""Tests for promotions with a fault at each of their actions."""

from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank_policy.lease import LEASE_WAIT_SECONDS
from jackdawcrank_policy.promotion import (
    Abandoned,
    AbandonReason,
    Finished,
    PromotionCause,
)
from jackdawcrank_policy.values import GroupPhase, Position
from jackdawcrank_standins.history import check_history

PROMOTION_ACTION_COUNT = 8


def finish_promotion(
    coordinate: Callable[..., Any], group: Any, first: Any
) -> None:
    """Run further coordinators until a new term is open."""
    for number in range(3):
        if group.row.term > 1 and group.row.phase is GroupPhase.ACTIVE:
            break
        cause = PromotionCause.TAKEOVER if group.row.term > 1 else first
        coordinate(f"vm-next{number}", group, cause).run()


@pytest.mark.parametrize("confirm_writes", [False, True])
@pytest.mark.parametrize("fault_at", range(PROMOTION_ACTION_COUNT))
def test_one_primary_and_no_false_acknowledgement_after_a_fault(
    make_group: Callable[..., Any],
    coordinate: Callable[..., Any],
    fault: Any,
    fault_at: int,
    confirm_writes: bool,
) -> None:
    group = make_group(confirm_writes)
    cause = PromotionCause.FAILURE
    first = coordinate("vm-new", group, cause, fault=fault, fault_at=fault_at)
    first.run()
    finish_promotion(coordinate, group, cause)
    if fault.value.startswith("pause"):
        first.resume()
    assert group.row.phase is GroupPhase.ACTIVE
    assert group.row.term > 1
    announce_to_reachable(group)
    assert group.active_primaries() == [group.row.primary]
    for _ in range(5):
        group.advance_time()
    assert check_history(group.finished_history()) == []


def announce_to_reachable(group: Any) -> None:
    """Fence the reachable servers and announce the open term's primary."""
    offset = group.row.branch.starts[-1].offset
    for name in ("s2", "s3"):
        group.servers[name].fence(group.row.term)
        group.servers[name].announce(group.row.term, offset, group.row.primary)


def test_fault_range_covers_every_action(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    coordinator = coordinate("vm-new", make_group())
    coordinator.run()
    assert len(coordinator.seen_actions) == PROMOTION_ACTION_COUNT


def test_most_advanced_replica_becomes_primary(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    coordinator = coordinate("vm-new", group)
    coordinator.run()
    assert isinstance(coordinator.end, Finished)
    assert group.row.primary == "s3"


def test_term_opens_after_lease_expiry_if_a_writer_does_not_answer(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    coordinate("vm-new", group).run()
    assert group.history.terms[-1].opened_at >= LEASE_WAIT_SECONDS


def test_given_up_lease_opens_the_term_early(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    group.writer_answers = True
    coordinate("vm-new", group).run()
    assert group.history.terms[-1].opened_at < LEASE_WAIT_SECONDS / 2
    assert check_history(group.finished_history()) == []


def test_only_one_of_two_coordinators_opens_the_term(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    one = coordinate("vm-a", group)
    two = coordinate("vm-b", group)
    while one.end is None or two.end is None:
        for coordinator in (one, two):
            if coordinator.end is None:
                coordinator.step()
    ends = sorted(type(one.end).__name__ for one in (one, two))
    assert ends == ["Abandoned", "Finished"]
    assert [term.term for term in group.history.terms] == [1, 2]


@pytest.mark.parametrize("writer_answers", [False, True])
@pytest.mark.parametrize("confirm_writes", [False, True])
def test_one_reachable_server_of_three_requires_forced_promotion(
    make_group: Callable[..., Any],
    coordinate: Callable[..., Any],
    confirm_writes: bool,
    writer_answers: bool,
) -> None:
    group = make_group(confirm_writes)
    group.writer_answers = writer_answers
    group.cut_off = frozenset({"s1", "s2"})
    refused = coordinate("vm-new", group)
    refused.run()
    assert isinstance(refused.end, Abandoned)
    assert refused.end.reason is AbandonReason.TOO_FEW_SERVERS
    forced = coordinate("vm-new", group, PromotionCause.FORCED)
    forced.run()
    assert isinstance(forced.end, Finished)
    assert group.row.primary == "s3"


def test_single_replica_without_quorum_does_not_become_primary(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    group.cut_off = frozenset({"s1", "s3"})
    isolated = coordinate("vm-new", group)
    isolated.run()
    assert isinstance(isolated.end, Abandoned)
    group.cut_off = frozenset({"s1"})
    coordinate("vm-next", group, PromotionCause.TAKEOVER).run()
    assert group.row.phase is GroupPhase.ACTIVE
    for _ in range(5):
        group.advance_time()
    assert check_history(group.finished_history()) == []


@pytest.mark.parametrize("fault_at", range(1, PROMOTION_ACTION_COUNT))
def test_lost_answer_after_the_claim_does_not_abandon_the_promotion(
    make_group: Callable[..., Any],
    coordinate: Callable[..., Any],
    lost: Any,
    fault_at: int,
) -> None:
    group = make_group()
    coordinator = coordinate("vm-new", group, fault=lost, fault_at=fault_at)
    coordinator.run()
    assert isinstance(coordinator.end, Finished)
    assert group.row.term == 2


def test_switch_over_moves_to_its_target_without_loss(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    group.cut_off = frozenset()
    group.writer_answers = True
    group.servers["s2"].primary = "s1"
    end_of_log = group.servers["s1"].position
    cause = PromotionCause.SWITCH_OVER
    group.servers["s2"].pull(group.servers["s1"])
    coordinator = coordinate("vm-new", group, cause, target="s2")
    coordinator.run()
    assert group.row.primary == "s2"
    assert group.row.branch.starts[-1].offset >= end_of_log.offset
    assert group.history.terms[-1].opened_at < 0.3
    assert check_history(group.finished_history()) == []


def test_switch_over_to_a_stalled_target_keeps_the_primary(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    group.cut_off = frozenset()
    group.writer_answers = True
    group.servers["s2"].primary = ""
    cause = PromotionCause.SWITCH_OVER
    coordinate("vm-new", group, cause, target="s2").run()
    assert group.row.primary == "s1"
    assert group.active_primaries() == ["s1"]
    assert check_history(group.finished_history()) == []


def test_divergent_server_is_not_chosen(
    make_group: Callable[..., Any], coordinate: Callable[..., Any]
) -> None:
    group = make_group()
    coordinate("vm-new", group).run()
    group.servers["s3"].commit("kept")
    group.servers["s2"].pull(group.servers["s3"])
    tail = group.servers["s1"].position
    assert tail > Position(1, 0)
    group.cut_off = frozenset({"s3"})
    coordinate("vm-new", group).run()
    assert group.row.term == 3
    assert group.row.primary == "s2"
