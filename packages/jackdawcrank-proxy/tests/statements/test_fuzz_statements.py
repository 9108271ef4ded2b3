"""Fuzz tests of the classification and parsing of statements.

Hypothesis derives the examples of a derandomized test from its source, so that
renaming a test or a name in its body changes the examples.
"""

import hypothesis
import hypothesis.strategies as st

from jackdawcrank.statements import (
    FrontKind,
    MalformedOption,
    classify,
    parse_set,
    split_options,
)

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
WRITE_KEYWORDS = (
    "insert",
    "UPDATE",
    "delete",
    "replace",
    "call",
    "do",
    "create",
    "ALTER",
    "drop",
    "truncate",
    "load",
    "lock",
    "handler",
)
WRITE_CLAUSES = (
    "for update",
    "FOR\tUPDATE",
    "for /* a */ update",
    "INTO @a",
    "into outfile 'x'",
    "lock in share mode",
)
QUOTED = (
    "'a'",
    "'it''s'",
    "'\\''",
    '"b"',
    '"\\""',
    "`c`",
    "`d``e`",
    "/* f ' */",
    "-- g '\n",
    '# h "\n',
    "'-- '",
    "'/*'",
    '"#"',
)
PLAIN = ("1", "a", "+", "(2)", "FROM t", "WHERE b = 3", ",", "--1", "\n", "\t")
sql_fragments = st.lists(st.sampled_from(QUOTED + PLAIN), max_size=8).map(
    " ".join
)
leading_text = st.lists(
    st.sampled_from(["/* a */", "-- b\n", "# c\n", " ", "\n", "("]), max_size=4
).map("".join)
sql_texts = st.text(
    alphabet=st.sampled_from(
        list("'\"`\\/*!-#;=,() \n@%abselctfordu\0é") + ["\udc80"]
    ),
    max_size=60,
)
any_text = st.one_of(
    st.binary(max_size=80).map(lambda b: b.decode("utf-8", "surrogateescape")),
    sql_texts,
    sql_texts.map(lambda text: f"set {text}"),
    sql_texts.map(lambda text: f"select 1 /*{text}*/"),
    sql_texts.map(lambda text: f"select 1 /*max_age_ms='{text}'*/"),
)


@FUZZ_SETTINGS
@hypothesis.given(sql=any_text)
def test_any_text_is_taken(sql: str) -> None:
    assert isinstance(classify(sql).kind, FrontKind)
    split = split_options(sql)
    assert isinstance(split, MalformedOption) or sql.startswith(split.sql)
    items = parse_set(sql)
    assert items is None or items


@FUZZ_SETTINGS
@hypothesis.given(
    lead=leading_text, word=st.sampled_from(WRITE_KEYWORDS), rest=sql_fragments
)
def test_a_writing_word_at_the_start_is_no_read(
    lead: str, word: str, rest: str
) -> None:
    assert classify(f"{lead}{word} {rest}").kind is not FrontKind.READ


@FUZZ_SETTINGS
@hypothesis.given(
    lead=leading_text,
    word=st.sampled_from(["select", "SELECT", "with a as (select 1) select"]),
    before=sql_fragments,
    part=st.sampled_from(WRITE_CLAUSES),
    after=sql_fragments,
)
def test_a_locking_or_storing_select_is_no_read(
    lead: str, word: str, before: str, part: str, after: str
) -> None:
    sql = f"{lead}{word} {before} {part} {after}"
    assert classify(sql).kind is not FrontKind.READ


@FUZZ_SETTINGS
@hypothesis.given(
    explain=st.sampled_from(
        ["explain analyze", "EXPLAIN  ANALYZE", "desc analyze"]
    ),
    word=st.sampled_from(["insert into t values (1)", "delete from t"]),
)
def test_an_analyzed_write_is_no_read(explain: str, word: str) -> None:
    assert classify(f"{explain} {word}").kind is not FrontKind.READ


@FUZZ_SETTINGS
@hypothesis.given(
    before=sql_fragments,
    second=st.sampled_from(["delete from t", "drop table t"]),
)
def test_a_second_statement_is_no_read(before: str, second: str) -> None:
    sql = f"select {before} ; {second}"
    assert classify(sql).kind is not FrontKind.READ
