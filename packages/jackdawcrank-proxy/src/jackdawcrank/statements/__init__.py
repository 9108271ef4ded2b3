"""Classification of callers' statements and their options."""

from jackdawcrank.statements.classify import classify, first_keyword
from jackdawcrank.statements.front_kind import FrontKind
from jackdawcrank.statements.options import (
    MalformedOption,
    Options,
    options_from_attributes,
)
from jackdawcrank.statements.set_statement import (
    Assignment,
    parse_set,
)
from jackdawcrank.statements.sql_comment import split_options
from jackdawcrank.statements.statement import Statement

__all__ = [
    "Assignment",
    "FrontKind",
    "MalformedOption",
    "Options",
    "Statement",
    "classify",
    "first_keyword",
    "options_from_attributes",
    "parse_set",
    "split_options",
]
