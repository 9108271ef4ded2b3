"""Tests for acknowledging writes and reads of the primary."""

import pytest

from jackdawcrank_policy.acknowledgement import (
    AwaitTerm,
    NeedConfirmation,
    Quorum,
    acknowledge,
    acknowledge_read,
    resolve_write,
)
from jackdawcrank_policy.lease import LeaseState
from jackdawcrank_policy.values import (
    Branch,
    Done,
    NotRun,
    Position,
    TermStart,
    Unknown,
)

POSITION = Position(4, 20)
REPLICAS = ("s2", "s3")
Replies = dict[str, int | None]


def write(lease: LeaseState, replies: Replies, always: bool = False) -> object:
    return acknowledge(POSITION, 4, lease, Quorum(3), always, REPLICAS, replies)


def read(lease: LeaseState, replies: Replies) -> object:
    return acknowledge_read(4, lease, Quorum(3), "s1", REPLICAS, replies)


def test_held_lease_needs_no_confirmation() -> None:
    assert write(LeaseState.HELD, {}) == Done(POSITION)


def test_required_confirmation_applies_to_a_held_lease() -> None:
    assert write(LeaseState.HELD, {}, always=True) == NeedConfirmation(
        REPLICAS, 1
    )
    assert write(LeaseState.HELD, {"s2": 4}, always=True) == Done(POSITION)


def test_replica_of_the_same_term_replaces_a_lapsed_lease() -> None:
    assert write(LeaseState.LAPSED, {}) == NeedConfirmation(REPLICAS, 1)
    assert write(LeaseState.LAPSED, {"s3": 4}) == Done(POSITION)


@pytest.mark.parametrize("reply", [None, 3, 5])
def test_missing_answer_or_other_term_is_no_confirmation(
    reply: int | None,
) -> None:
    assert write(LeaseState.LAPSED, {"s2": reply}) == NeedConfirmation(
        ("s3",), 1
    )
    decision = write(LeaseState.LAPSED, {"s2": reply, "s3": reply})
    assert isinstance(decision, Unknown)


def test_closed_lease_waits_for_the_next_term() -> None:
    assert write(LeaseState.CLOSED, {"s2": 4, "s3": 4}) == AwaitTerm(4)
    assert read(LeaseState.CLOSED, {}) == AwaitTerm(4)


def test_read_without_a_lease_needs_the_primary_and_a_replica() -> None:
    assert read(LeaseState.HELD, {}) == Done()
    assert isinstance(read(LeaseState.LAPSED, {}), NeedConfirmation)
    assert read(LeaseState.LAPSED, {"s2": 4, "s3": 4}) == NeedConfirmation(
        ("s1",), 1
    )
    assert read(LeaseState.LAPSED, {"s1": 4, "s2": 4}) == Done()
    assert isinstance(read(LeaseState.LAPSED, {"s1": 5, "s2": 4}), Unknown)


def test_next_branch_resolves_an_unacknowledged_write() -> None:
    kept = Branch((TermStart(4, 0), TermStart(5, 20)))
    lost = Branch((TermStart(4, 0), TermStart(5, 19)))
    assert resolve_write(POSITION, kept) == Done(POSITION)
    assert isinstance(resolve_write(POSITION, lost), NotRun)
