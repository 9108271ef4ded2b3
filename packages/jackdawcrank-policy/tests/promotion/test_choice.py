"""Tests for the choice of a primary and the branch of its term."""

from jackdawcrank_policy.promotion import choose_primary, extend_branch
from jackdawcrank_policy.values import (
    Branch,
    Position,
    ServerReport,
    ServerRole,
    TermStart,
)

BRANCH = Branch((TermStart(1, 0), TermStart(2, 100)))


def report(server: str, term: int, offset: int) -> ServerReport:
    return ServerReport(server, 3, ServerRole.REPLICA, Position(term, offset))


def test_longer_log_outside_the_branch_is_not_chosen() -> None:
    reports = [report("s1", 1, 120), report("s2", 2, 101)]
    chosen = choose_primary(reports, BRANCH)
    assert chosen is not None and chosen.server == "s2"


def test_no_server_on_the_branch_yields_no_primary() -> None:
    assert choose_primary([report("s1", 1, 120)], BRANCH) is None


def test_most_advanced_server_wins_over_preferences() -> None:
    reports = [report("s1", 2, 104), report("s2", 2, 103)]
    chosen = choose_primary(reports, BRANCH, frozenset({"s1"}), "s2")
    assert chosen is not None and chosen.server == "s1"


def test_preferences_break_ties() -> None:
    reports = [report("s1", 2, 104), report("s2", 2, 104)]
    chosen = choose_primary(reports, BRANCH, frozenset({"s1"}))
    assert chosen is not None and chosen.server == "s2"


def test_term_that_began_above_the_new_start_keeps_no_entries() -> None:
    branch = extend_branch(BRANCH, 3, 90)
    assert branch.contains(Position(1, 90))
    assert not branch.contains(Position(1, 95))
    assert not branch.contains(Position(2, 101))
    assert branch.contains(Position(3, 91))
