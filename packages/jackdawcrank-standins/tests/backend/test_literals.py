import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_standins.backend import literals


@pytest.mark.parametrize(
    ("sql", "key", "values"),
    [
        ("SELECT a FROM t WHERE b = 12", "SELECT a FROM t WHERE b = ?", (12,)),
        ("SELECT 1.5e3, t1.c2", "SELECT ?, t1.c2", (1500.0,)),
        ("SELECT 'it''s', \"a\\\"b\\n\"", "SELECT ?, ?", ("it's", 'a"b\n')),
        ("SELECT x'00ff', `a 1`", "SELECT x'00ff', `a 1`", ()),
        ("SELECT _binary'a\\'\udcff'", "SELECT ?", (b"a'\xff",)),
        ("SELECT _utf8mb4'é', '\udcff'", "SELECT ?, ?", ("é", b"\xff")),
        ("SELECT 2 /* 3 */ # 4", "SELECT ?", (2,)),
        ("SELECT '/* no comment */'", "SELECT ?", ("/* no comment */",)),
    ],
)
def test_split(sql: str, key: str, values: tuple[literals.Value, ...]) -> None:
    assert literals.split(sql) == literals.Shape(key, values)


@given(st.text())
def test_string_literal_is_read_back(text: str) -> None:
    shape = literals.split("SELECT " + literals.literal(text))
    assert shape == literals.Shape("SELECT ?", (text,))


def test_fill_leaves_quoted_question_marks() -> None:
    text = "SELECT ?, '?', `?`, \"?\" /* ? */, ?"
    assert literals.placeholder_count(text) == 2
    filled = literals.fill(text, ("1", "NULL"))
    assert filled == "SELECT 1, '?', `?`, \"?\" /* ? */, NULL"


def test_bytes_and_null_literals() -> None:
    assert literals.literal(b"\x00\xff") == "x'00ff'"
    assert literals.literal(None) == "NULL"
    assert literals.literal(1.5) == "1.5"
