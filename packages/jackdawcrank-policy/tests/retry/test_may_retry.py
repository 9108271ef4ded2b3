"""Tests of the retry rule."""

import pytest

from jackdawcrank_policy.retry import StatementKind, may_retry
from jackdawcrank_policy.values import (
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)

READ = StatementKind.READ
WRITE = StatementKind.WRITE
DEADLOCK = Failed(1213, "40001", "deadlock")


@pytest.mark.parametrize(
    ("outcome", "kind", "repeatable", "expected"),
    [
        (NotRun(NotRunReason.NO_PRIMARY), WRITE, False, True),
        (NotRun(NotRunReason.OVERLOADED), READ, True, False),
        (NotRun(NotRunReason.WRITE_LOST), READ, True, False),
        (Unknown(), WRITE, True, False),
        (Unknown(), READ, True, True),
        (Unknown(), READ, False, False),
        (DEADLOCK, READ, True, True),
        (DEADLOCK, WRITE, True, False),
        (Failed(1064, "42000", "syntax"), READ, True, False),
        (Done(), READ, True, False),
    ],
)
def test_only_safe_retries_are_allowed(
    outcome: Outcome, kind: StatementKind, repeatable: bool, expected: bool
) -> None:
    assert may_retry(outcome, kind, repeatable) is expected
