from typing import cast

import pytest

from jackdawcrank.front.session_progress import SessionProgress
from jackdawcrank.front.statement_router import StatementRouter
from jackdawcrank.results.errors import not_run
from jackdawcrank.statements import Options
from jackdawcrank_policy.tokens import ForgedToken, SessionToken
from jackdawcrank_policy.values import (
    Branch,
    NotRunReason,
    Position,
    TermStart,
)
from jackdawcrank_wire.messages import ResultError, ResultOk, ResultRows

GROUP = "depot"
BRANCH = Branch((TermStart(1, 0), TermStart(2, 5)))


class FakeRouter:
    """Knows one group's branch and tokens by their text."""

    def __init__(self) -> None:
        self.tokens: dict[str, SessionToken] = {}

    def branch(self, group: str) -> Branch:
        return BRANCH

    def verify(self, text: str) -> SessionToken | ForgedToken:
        return self.tokens.get(text, ForgedToken("the token is malformed"))


@pytest.fixture
def router() -> FakeRouter:
    return FakeRouter()


@pytest.fixture
def progress(router: FakeRouter) -> SessionProgress:
    return SessionProgress(cast(StatementRouter, router))


def test_a_write_holds_later_reads_with_an_age(
    progress: SessionProgress,
) -> None:
    progress.record(GROUP, ResultOk(position=Position(2, 9)))
    progress.record(GROUP, ResultOk(position=Position(2, 7)))
    assert progress.bound(GROUP, Options(max_age_ms=5000)) == "2:9"
    assert progress.bound(GROUP, Options()) == ""


def test_a_position_of_an_unknown_term_is_kept(
    progress: SessionProgress,
) -> None:
    progress.advance(GROUP, Position(2, 9))
    progress.advance(GROUP, Position(4, 12))
    assert progress.token.position(GROUP) == Position(4, 12)


def test_a_stated_token_is_merged(
    progress: SessionProgress, router: FakeRouter
) -> None:
    given = SessionToken().advanced(GROUP, Position(2, 8), BRANCH)
    router.tokens["given"] = given
    options = Options(session="given")
    assert progress.bound(GROUP, options) == "0:0"
    assert progress.merge(GROUP, options) is None
    assert progress.bound(GROUP, options) == "2:8"


def test_a_forged_token_changes_nothing(progress: SessionProgress) -> None:
    progress.advance(GROUP, Position(2, 6))
    refusal = progress.merge(GROUP, Options(session="forged"))
    assert isinstance(refusal, ResultError)
    assert refusal.reason == "bad_option"
    assert progress.token.position(GROUP) == Position(2, 6)


def test_only_a_loss_makes_the_session_begin_anew(
    progress: SessionProgress,
) -> None:
    progress.record(GROUP, ResultOk(position=Position(2, 9)))
    progress.record(GROUP, ResultRows((), (), server="depot-2", term=2))
    progress.record(GROUP, not_run("overloaded", "full"))
    assert progress.token.position(GROUP) == Position(2, 9)
    assert progress.last_reads[GROUP].server == "depot-2"
    progress.record(GROUP, not_run(NotRunReason.WRITE_LOST.value, "lost"))
    assert progress.token.position(GROUP) is None
    assert GROUP not in progress.last_reads
