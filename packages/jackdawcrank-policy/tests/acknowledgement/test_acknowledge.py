"""Acknowledging writes and reads of the primary."""

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

AT = Position(4, 20)
REPLICAS = ("s2", "s3")
Replies = dict[str, int | None]


def write(lease: LeaseState, replies: Replies, always: bool = False) -> object:
    return acknowledge(AT, 4, lease, Quorum(3), always, REPLICAS, replies)


def read(lease: LeaseState, replies: Replies) -> object:
    return acknowledge_read(4, lease, Quorum(3), "s1", REPLICAS, replies)


def test_a_lease_is_enough() -> None:
    assert write(LeaseState.HELD, {}) == Done(AT)


def test_a_lease_is_not_enough_where_confirmation_is_required() -> None:
    assert write(LeaseState.HELD, {}, always=True) == NeedConfirmation(
        REPLICAS, 1
    )
    assert write(LeaseState.HELD, {"s2": 4}, always=True) == Done(AT)


def test_a_replica_of_the_same_term_stands_for_a_lapsed_lease() -> None:
    assert write(LeaseState.LAPSED, {}) == NeedConfirmation(REPLICAS, 1)
    assert write(LeaseState.LAPSED, {"s3": 4}) == Done(AT)


@pytest.mark.parametrize("reply", [None, 3, 5])
def test_no_answer_or_another_term_confirms_nothing(
    reply: int | None,
) -> None:
    assert write(LeaseState.LAPSED, {"s2": reply}) == NeedConfirmation(
        ("s3",), 1
    )
    decision = write(LeaseState.LAPSED, {"s2": reply, "s3": reply})
    assert isinstance(decision, Unknown)


def test_a_closed_lease_waits_for_the_next_term() -> None:
    assert write(LeaseState.CLOSED, {"s2": 4, "s3": 4}) == AwaitTerm(4)
    assert read(LeaseState.CLOSED, {}) == AwaitTerm(4)


def test_a_read_needs_the_primary_and_a_replica() -> None:
    assert read(LeaseState.HELD, {}) == Done()
    assert isinstance(read(LeaseState.LAPSED, {}), NeedConfirmation)
    assert read(LeaseState.LAPSED, {"s2": 4, "s3": 4}) == NeedConfirmation(
        ("s1",), 1
    )
    assert read(LeaseState.LAPSED, {"s1": 4, "s2": 4}) == Done()
    assert isinstance(read(LeaseState.LAPSED, {"s1": 5, "s2": 4}), Unknown)


def test_the_next_branch_settles_a_write_in_flight() -> None:
    kept = Branch((TermStart(4, 0), TermStart(5, 20)))
    lost = Branch((TermStart(4, 0), TermStart(5, 19)))
    assert resolve_write(AT, kept) == Done(AT)
    assert isinstance(resolve_write(AT, lost), NotRun)
