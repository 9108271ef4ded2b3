"""Tests of session tokens."""

import pytest

from jackdawcrank_policy.tokens import MAX_GROUPS, SessionToken
from jackdawcrank_policy.values import Branch, Position, TermStart

BRANCH = Branch((TermStart(1, 0), TermStart(2, 50)))


def token_at(term: int, offset: int) -> SessionToken:
    return SessionToken().advanced("ledger", Position(term, offset), BRANCH)


@pytest.mark.parametrize(
    ("earlier", "later", "expected"),
    [
        (Position(1, 40), Position(1, 45), Position(1, 45)),
        (Position(1, 45), Position(1, 40), Position(1, 45)),
        (Position(1, 50), Position(2, 51), Position(2, 51)),
        (Position(1, 60), Position(2, 90), Position(1, 60)),
        (Position(2, 90), Position(1, 60), Position(1, 60)),
    ],
    ids=["newer", "older", "across terms", "lost stays", "lost replaces"],
)
def test_advanced_keeps_the_required_position(
    earlier: Position, later: Position, expected: Position
) -> None:
    token = token_at(earlier.term, earlier.offset)
    token = token.advanced("ledger", later, BRANCH)
    assert token.position("ledger") == expected


def test_position_newer_than_the_branch_is_refused() -> None:
    with pytest.raises(ValueError, match="ends at term 2"):
        token_at(3, 99)
    old_branch = Branch(BRANCH.starts[:1])
    token = token_at(2, 60)
    assert not token.is_comparable("ledger", old_branch)
    with pytest.raises(ValueError, match="ends at term 1"):
        token.advanced("ledger", Position(1, 55), old_branch)


def test_full_token_never_drops_an_entry() -> None:
    token = SessionToken()
    for number in range(MAX_GROUPS):
        token = token.advanced(f"g{number}", Position(1, 1), BRANCH)
    assert not token.has_room("another")
    assert token.has_room("g0")
    with pytest.raises(ValueError, match="no room"):
        token.advanced("another", Position(1, 1), BRANCH)
    assert len(token.entries) == MAX_GROUPS


def test_only_positions_that_every_server_has_are_pruned() -> None:
    token = token_at(1, 40)
    assert token.pruned("ledger", Position(1, 39), BRANCH) == token
    pruned = token.pruned("ledger", Position(1, 40), BRANCH)
    assert pruned.position("ledger") is None
    lost = token_at(1, 60)
    assert lost.pruned("ledger", Position(2, 99), BRANCH) == lost
