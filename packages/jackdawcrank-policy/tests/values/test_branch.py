"""Tests of branches."""

import pytest

from jackdawcrank_policy.values import Branch, Position, TermStart


@pytest.fixture
def branch() -> Branch:
    return Branch((TermStart(1, 0), TermStart(3, 10), TermStart(4, 10)))


@pytest.mark.parametrize(
    ("term", "offset", "contained"),
    [
        (0, 0, True),
        (1, 10, True),
        (1, 11, False),
        (2, 5, False),
        (3, 10, True),
        (3, 11, False),
        (4, 99, True),
        (5, 1, False),
    ],
)
def test_contains_only_entries_below_the_next_term(
    branch: Branch, term: int, offset: int, contained: bool
) -> None:
    assert branch.contains(Position(term, offset)) is contained


def test_entry_is_lost_if_any_later_term_began_below_it() -> None:
    branch = Branch((TermStart(1, 0), TermStart(2, 10), TermStart(3, 9)))
    assert not branch.contains(Position(1, 10))
    assert branch.contains(Position(1, 9))


def test_extension_refuses_an_older_term(branch: Branch) -> None:
    with pytest.raises(ValueError, match="not above"):
        branch.extended(TermStart(4, 12))


def test_position_round_trips_as_text() -> None:
    assert Position.parse(str(Position(7, 42))) == Position(7, 42)


@pytest.mark.parametrize("text", ["", "1", "1:", ":1", "-1:2", "a:b", "1:2:3"])
def test_malformed_position_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="not a log position"):
        Position.parse(text)
