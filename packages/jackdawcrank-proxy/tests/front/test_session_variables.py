"""Tests that SET rejects SQL modes that change string quoting."""

import pytest

from jackdawcrank.front.session_variables import SessionVariables
from jackdawcrank.statements import parse_set


@pytest.mark.parametrize(
    "value",
    [
        "'NO_BACKSLASH_ESCAPES'",
        "'strict_all_tables,no_backslash_escapes'",
        "'ANSI_QUOTES'",
        "'ANSI'",
        "CONCAT('NO_BACKSLASH', '_ESCAPES')",
        "1048576",
        "@@GLOBAL.sql_mode",
    ],
)
def test_a_mode_that_changes_quoting_is_refused(value: str) -> None:
    (item,) = parse_set(f"SET sql_mode = {value}") or ()
    assert SessionVariables().assign(item) is not None


@pytest.mark.parametrize("value", ["''", "'STRICT_ALL_TABLES'", "DEFAULT"])
def test_other_modes_are_set_on_the_backend(value: str) -> None:
    (item,) = parse_set(f"SET sql_mode = {value}") or ()
    variables = SessionVariables()
    assert variables.assign(item) is None
    assert variables.setup == (f"SET SESSION sql_mode = {value}",)
