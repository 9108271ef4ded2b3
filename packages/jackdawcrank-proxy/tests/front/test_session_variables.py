"""Tests of SET statements that would change how strings are quoted."""

import pytest

from jackdawcrank.front.session_variables import SessionVariables
from jackdawcrank.statements import parse_set

hidden_mode = pytest.mark.xfail(
    strict=True, reason="KNOWN-RED: a hidden sql_mode changes quoting"
)


@pytest.mark.parametrize(
    "value",
    [
        "'NO_BACKSLASH_ESCAPES'",
        "'strict_all_tables,no_backslash_escapes'",
        "'ANSI_QUOTES'",
        pytest.param("'ANSI'", marks=hidden_mode),
        pytest.param("CONCAT('NO_BACKSLASH', '_ESCAPES')", marks=hidden_mode),
        pytest.param("1048576", marks=hidden_mode),
        pytest.param("@@GLOBAL.sql_mode", marks=hidden_mode),
    ],
)
def test_a_mode_that_changes_quoting_is_refused(value: str) -> None:
    (item,) = parse_set(f"SET sql_mode = {value}") or ()
    assert SessionVariables().assign(item) is not None


@pytest.mark.parametrize("value", ["''", "'STRICT_ALL_TABLES'", "DEFAULT"])
def test_other_modes_are_carried(value: str) -> None:
    (item,) = parse_set(f"SET sql_mode = {value}") or ()
    variables = SessionVariables()
    assert variables.assign(item) is None
    assert variables.setup == (f"SET SESSION sql_mode = {value}",)
