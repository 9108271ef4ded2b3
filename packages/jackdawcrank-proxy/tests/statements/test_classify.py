"""Tests of the classification of statements."""

import pytest

from jackdawcrank.statements import FrontKind, classify

K = FrontKind


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("SELECT 1", K.READ),
        ("  (select a from t) union (select 2)", K.READ),
        ("/* hint */ SELECT ';', a FROM t;", K.READ),
        ("SELECT * FROM t WHERE a = 'for update'", K.READ),
        ("SELECT * FROM t FOR UPDATE", K.WRITE),
        ("SELECT * FROM t LOCK IN SHARE MODE", K.WRITE),
        ("SELECT a INTO OUTFILE 'x' FROM t", K.WRITE),
        ("SELECT @a := 1", K.WRITE),
        ("SELECT GET_LOCK('a', 1)", K.WRITE),
        ("SELECT /*! SQL_NO_CACHE */ 1", K.WRITE),
        ("SELECT @@version_comment LIMIT 1", K.READ),
        ("WITH a AS (SELECT 1) SELECT * FROM a", K.READ),
        ("WITH a AS (SELECT 1) DELETE FROM t", K.WRITE),
        ("SHOW TABLES", K.READ),
        ("EXPLAIN SELECT 1", K.READ),
        ("INSERT INTO t VALUES (1)", K.WRITE),
        ("whatever this is", K.WRITE),
        ("CREATE TABLE t (a INT)", K.IMPLICIT_COMMIT),
        ("BEGIN", K.BEGIN),
        ("START TRANSACTION READ ONLY", K.BEGIN),
        ("COMMIT", K.COMMIT),
        ("COMMIT AND CHAIN", K.UNSUPPORTED),
        ("ROLLBACK WORK;", K.ROLLBACK),
        ("ROLLBACK TO SAVEPOINT a", K.WRITE),
        ("SET NAMES utf8mb4", K.SET),
        ("SHOW REQUEST 'r-1'", K.SHOW_REQUEST),
        ("SELECT @@session_token", K.SESSION_TOKEN),
        ("select last_insert_id()", K.LAST_INSERT_ID),
        ("SELECT 1; DELETE FROM t", K.MULTIPLE),
        ("SELECT 1 -- ; no\n", K.READ),
        ("SELECT '\\'; DELETE FROM t; -- '", K.READ),
        ("-- nothing\n ;", K.EMPTY),
        ("LOCK TABLES t WRITE", K.UNSUPPORTED),
    ],
)
def test_statement_kinds(sql: str, kind: FrontKind) -> None:
    assert classify(sql).kind is kind


def test_statements_with_session_state_are_stateful() -> None:
    assert classify("CREATE TEMPORARY TABLE t (a INT)").stateful
    assert not classify("INSERT INTO t VALUES ('@x')").stateful
    assert not classify("SELECT @@version").stateful


def test_show_request_carries_the_request_id() -> None:
    assert classify('show request "a:1"').argument == "a:1"
