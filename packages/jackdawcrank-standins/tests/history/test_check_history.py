"""The checker finds every kind of violation."""

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


def rules(history: History) -> list[Rule]:
    return [violation.rule for violation in check_history(history)]


def test_a_true_history_passes(history: History) -> None:
    assert rules(history) == []


def test_an_old_term_after_a_new_one_opened(history: History) -> None:
    history.answers.append(CallerRecord("w3", CallerOutcome.DONE, 5.5, 1))
    assert rules(history) == [Rule.OLD_TERM]


def test_an_old_term_s_kept_write_may_be_acknowledged(
    history: History,
) -> None:
    history.answers.append(CallerRecord("w1", CallerOutcome.DONE, 5.5, 1))
    assert rules(history) == []


def test_a_write_applied_twice(history: History) -> None:
    history.logs["s2"] += (entry(2, 3, "w1"),)
    assert rules(history) == [Rule.APPLIED_TWICE]


def test_a_refused_write_that_ran(history: History) -> None:
    history.logs["s2"] += (entry(2, 3, "w2"),)
    assert rules(history) == [Rule.NOT_RUN_RAN]


def test_an_earlier_refusal_of_a_later_retry_is_no_violation(
    history: History,
) -> None:
    history.answers[1] = attrs.evolve(history.answers[1], last=False)
    history.logs["s2"] += (entry(2, 3, "w2"),)
    assert rules(history) == []


def test_a_confirmed_write_that_is_lost(history: History) -> None:
    history.logs["s2"] = history.logs["s2"][:1]
    assert rules(history) == [Rule.LOST]


def test_a_term_opened_twice(history: History) -> None:
    history.terms.append(TermRecord(2, 6.0, "s3"))
    assert rules(history) == [Rule.TWO_PRIMARIES]
