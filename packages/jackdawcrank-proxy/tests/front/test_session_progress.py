"""Tests of the positions that a session's reads must include."""

from typing import Any

import pytest

from jackdawcrank.front.session_progress import SessionProgress
from jackdawcrank_policy.values import Branch, Position, TermStart
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    ResultRows,
    StatementOutcome,
)

GROUP = "ledger"
LOST = ResultError(StatementOutcome.NOT_RUN, "write_lost")


class FakeRouter:
    """Router whose groups all have the same branch."""

    def branch(self, group: str) -> Branch:
        return Branch((TermStart(1, 0),))


@pytest.fixture
def progress() -> SessionProgress:
    router: Any = FakeRouter()
    return SessionProgress(router)


def test_lost_write_is_still_reported_after_a_lost_read(
    progress: SessionProgress,
) -> None:
    progress.record(GROUP, ResultOk(position=Position(1, 7)))
    progress.record(GROUP, ResultRows((), server="s1", term=1))
    progress.record(GROUP, LOST)
    assert progress.last_reads == {}
    assert progress.token.position(GROUP) == Position(1, 7)
    progress.record(GROUP, LOST)
    assert progress.token.position(GROUP) is None


def test_position_of_an_unknown_term_is_kept(
    progress: SessionProgress,
) -> None:
    progress.record(GROUP, ResultOk(position=Position(1, 7)))
    progress.record(GROUP, ResultOk(position=Position(3, 9)))
    assert progress.token.position(GROUP) == Position(3, 9)
