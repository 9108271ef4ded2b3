"""Tests of options in trailing comments and of SET statements."""

import pytest

from jackdawcrank.statements import (
    MalformedOption,
    Options,
    parse_set,
    split_options,
)
from jackdawcrank.statements.sql_comment import SplitStatement


def test_options_are_split_from_the_statement() -> None:
    sql = "SELECT 1 /*max_age_ms='5000',request_id='a%3Ab',repeatable='no'*/;"
    assert split_options(sql) == SplitStatement(
        "SELECT 1",
        Options(max_age_ms=5000, request_id="a:b", repeatable=False),
    )


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT 1",
        "SELECT 1 /* session of today */",
        "SELECT 1 /*traceparent='00-a',route='%2Fpolls'*/",
        "SELECT 1 /*old_session='x'*/",
        "SELECT '/*max_age_ms=1*/'",
    ],
)
def test_comments_without_options_are_kept(sql: str) -> None:
    assert split_options(sql) == SplitStatement(sql, Options())


@pytest.mark.parametrize(
    "comment",
    [
        "max_age_ms='-1'",
        "max_age_ms='5s'",
        "max_age_ms=5000",
        "max_age_ms='1',max_age_ms='2'",
        "request_id=''",
        "request_id='a b'",
        "repeatable='maybe'",
        "deadline_ms='99999999999'",
        "session='" + "x" * 600 + "'",
        "session='a' request_id='b'",
    ],
)
def test_malformed_options_are_refused(comment: str) -> None:
    outcome = split_options(f"INSERT INTO t VALUES (1) /*{comment}*/")
    assert isinstance(outcome, MalformedOption)


def test_set_items_are_parsed() -> None:
    items = parse_set("SET @max_age_ms = 5, SESSION sql_mode='a,b', NAMES utf8")
    assert items is not None
    assert [(i.name, i.value, i.user) for i in items] == [
        ("max_age_ms", "5", True),
        ("sql_mode", "a,b", False),
        ("names", "NAMES utf8", False),
    ]


def test_global_and_persist_set_global_scope() -> None:
    for sql in ("SET GLOBAL a = 1", "SET @@global.a = 1", "SET PERSIST a = 1"):
        (item,) = parse_set(sql) or ()
        assert item.is_global


def test_unsupported_set_form_returns_none() -> None:
    assert parse_set("SET PASSWORD FOR 'x'") is None
