import itertools

from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.succession import (
    FrozenServer,
    NoSuccessor,
    Successor,
    choose_successor,
)
from jackdawcrank_policy.values.position import Position


def frozen(
    name: str, offset: int, leaving: bool = False, distance: int = 0
) -> FrozenServer:
    return FrozenServer(name, Position(1, offset), leaving, distance)


def test_longest_log_wins() -> None:
    choice = choose_successor([frozen("a", 3), frozen("b", 5)], ["a", "b"], 1)
    assert choice == Successor("b", Position(1, 5))


def test_missing_replica_may_hold_a_commit_alone() -> None:
    choice = choose_successor([frozen("a", 3)], ["a", "b"], 1)
    assert choice == NoSuccessor(("b",))


def test_one_missing_replica_is_allowed_if_two_confirm() -> None:
    choice = choose_successor([frozen("a", 3)], ["a", "b"], 2)
    assert choice == Successor("a", Position(1, 3))


def test_no_frozen_replica_gives_no_successor() -> None:
    assert choose_successor([], ["a"], 1) == NoSuccessor(("a",))
    assert choose_successor([], [], 1) == NoSuccessor(())


def test_staying_server_is_preferred_among_equals() -> None:
    choice = choose_successor(
        [frozen("a", 3, leaving=True), frozen("b", 3, distance=2)],
        ["a", "b"],
        1,
    )
    assert choice == Successor("b", Position(1, 3))


def test_leaving_server_with_the_longer_log_still_wins() -> None:
    choice = choose_successor(
        [frozen("a", 4, leaving=True), frozen("b", 3)], ["a", "b"], 1
    )
    assert choice == Successor("a", Position(1, 4))


@given(st.integers(1, 3), st.lists(st.integers(0, 9), min_size=1, max_size=4))
def test_no_choice_ever_lacks_an_acknowledged_commit(
    confirming: int, offsets: list[int]
) -> None:
    names = [f"s{number}" for number in range(len(offsets))]
    logs = dict(zip(names, offsets, strict=True))
    acknowledged = sorted(offsets, reverse=True)
    newest = acknowledged[confirming - 1] if confirming <= len(names) else 0
    for count in range(len(names) + 1):
        for present in itertools.combinations(names, count):
            choice = choose_successor(
                [frozen(name, logs[name]) for name in present],
                names,
                confirming,
            )
            if isinstance(choice, Successor):
                assert logs[choice.server_id] >= newest
