"""Tests that the checker detects each kind of violation."""

import attrs
import pytest

from jackdawcrank_policy.values import Position
from jackdawcrank_standins.history import (
    CallerOutcome,
    CallerRecord,
    History,
    LogEntry,
    Rule,
    TermRecord,
    check_history,
)


def entry(term: int, offset: int, write_id: str) -> LogEntry:
    return LogEntry(Position(term, offset), write_id)


@pytest.fixture
def history() -> History:
    return History(
        answers=[
            CallerRecord("w1", CallerOutcome.DONE, 1.0, 1, True),
            CallerRecord("w2", CallerOutcome.NOT_RUN, 2.0),
            CallerRecord("w3", CallerOutcome.UNKNOWN, 3.0, 1),
            CallerRecord("w4", CallerOutcome.DONE, 6.0, 2, True),
        ],
        terms=[TermRecord(1, 0.0, "s1"), TermRecord(2, 5.0, "s2")],
        logs={
            "s1": (entry(1, 1, "w1"), entry(1, 2, "w3")),
            "s2": (entry(1, 1, "w1"), entry(2, 2, "w4")),
        },
        final_primary="s2",
    )


def violated_rules(history: History) -> list[Rule]:
    return [violation.rule for violation in check_history(history)]


def test_valid_history_has_no_violations(history: History) -> None:
    assert violated_rules(history) == []


def test_acknowledgement_under_an_old_term_is_a_violation(
    history: History,
) -> None:
    history.answers.append(CallerRecord("w3", CallerOutcome.DONE, 5.5, 1))
    assert violated_rules(history) == [Rule.OLD_TERM]


def test_write_of_an_old_term_on_the_final_branch_may_be_acknowledged(
    history: History,
) -> None:
    history.answers.append(CallerRecord("w1", CallerOutcome.DONE, 5.5, 1))
    assert violated_rules(history) == []


def test_write_applied_twice_is_a_violation(history: History) -> None:
    history.logs["s2"] += (entry(2, 3, "w1"),)
    assert violated_rules(history) == [Rule.APPLIED_TWICE]


def test_write_reported_as_not_run_but_applied_is_a_violation(
    history: History,
) -> None:
    history.logs["s2"] += (entry(2, 3, "w2"),)
    assert violated_rules(history) == [Rule.NOT_RUN_RAN]


def test_write_applied_on_retry_after_not_run_is_no_violation(
    history: History,
) -> None:
    history.answers[1] = attrs.evolve(history.answers[1], last=False)
    history.logs["s2"] += (entry(2, 3, "w2"),)
    assert violated_rules(history) == []


def test_lost_confirmed_write_is_a_violation(history: History) -> None:
    history.logs["s2"] = history.logs["s2"][:1]
    assert violated_rules(history) == [Rule.LOST]


def test_term_opened_twice_is_a_violation(history: History) -> None:
    history.terms.append(TermRecord(2, 6.0, "s3"))
    assert violated_rules(history) == [Rule.TWO_PRIMARIES]
