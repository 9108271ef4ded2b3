"""Works out the kinds of a query's result columns."""

import attrs
from mysql_mimic.types import ColumnType
from sqlglot import exp

from jackdawcrank_standins.backend import columns
from jackdawcrank_standins.backend.catalog import Catalog
from jackdawcrank_standins.backend.columns import ColumnKind

Kinds = dict[str, ColumnKind | None]

INTEGER_TYPES = {
    ColumnType.TINY,
    ColumnType.SHORT,
    ColumnType.INT24,
    ColumnType.LONG,
    ColumnType.LONGLONG,
}
COUNTING = (exp.Count, exp.Length, exp.Exists, exp.Predicate, exp.Not)
FIRST_ARGUMENT = (exp.Min, exp.Max, exp.AnyValue, exp.Paren, exp.Neg, exp.Abs)
TEXTUAL = (
    exp.Concat,
    exp.ConcatWs,
    exp.GroupConcat,
    exp.Upper,
    exp.Lower,
    exp.Substring,
    exp.Trim,
    exp.Left,
    exp.Right,
    exp.Pad,
    exp.TimeToStr,
    exp.MD5,
    exp.Uuid,
)
FUNCTIONS = {
    "NOW": columns.DATETIME,
    "SYSDATE": columns.DATETIME,
    "LAST_INSERT_ID": columns.INTEGER,
    "UNIX_TIMESTAMP": columns.INTEGER,
    "CONNECTION_ID": columns.INTEGER,
}


@attrs.define
class ResultKinds:
    """Finds the kinds of result columns before a statement is rewritten.

    Attributes:
      catalog: Knows the tables' columns.
    """

    catalog: Catalog

    def of_query(
        self, query: exp.Expression
    ) -> list[tuple[str, ColumnKind | None]] | None:
        """Return name and kind of each column, or None if unknown.

        Args:
          query: A query in MySQL's form.
        """
        if isinstance(query, exp.SetOperation):
            return self.of_query(query.this)
        if isinstance(query, exp.Subquery):
            return self.of_query(query.this)
        if not isinstance(query, exp.Select):
            return None
        sources = self.sources(query)
        result: list[tuple[str, ColumnKind | None]] = []
        for projection in query.expressions:
            expanded = self.projection(projection, sources)
            if expanded is None:
                return None
            result.extend(expanded)
        return result

    def sources(self, query: exp.Select) -> dict[str, Kinds | None]:
        """Return the columns of each source of a query by its alias."""
        found: dict[str, Kinds | None] = {}
        clause = query.args.get("from_") or query.args.get("from")
        nodes = [clause.this] if clause is not None else []
        nodes.extend(join.this for join in query.args.get("joins") or ())
        for node in nodes:
            found[node.alias_or_name.lower()] = self.source(node)
        return found

    def source(self, node: exp.Expression) -> Kinds | None:
        """Return the columns of one table or subquery."""
        if isinstance(node, exp.Table):
            info = self.catalog.table(node.name)
            return None if info is None else info.columns
        inner = self.of_query(node)
        return None if inner is None else {k.lower(): v for k, v in inner}

    def projection(
        self, node: exp.Expression, sources: dict[str, Kinds | None]
    ) -> list[tuple[str, ColumnKind | None]] | None:
        """Return name and kind of the columns of one projection."""
        if isinstance(node, exp.Star):
            return self.all_columns(list(sources.values()))
        if isinstance(node, exp.Column) and isinstance(node.this, exp.Star):
            return self.all_columns([sources.get(node.table.lower())])
        return [(node.alias_or_name, self.kind(node, sources))]

    def all_columns(
        self, sources: list[Kinds | None]
    ) -> list[tuple[str, ColumnKind | None]] | None:
        """Return name and kind of all columns of some sources."""
        result: list[tuple[str, ColumnKind | None]] = []
        for source in sources:
            if source is None:
                return None
            result.extend(source.items())
        return result

    def kind(
        self, node: exp.Expression, sources: dict[str, Kinds | None]
    ) -> ColumnKind | None:
        """Return the kind of one expression, or None if unknown."""
        if isinstance(node, exp.Alias):
            return self.kind(node.this, sources)
        if isinstance(node, exp.Column):
            return self.column(node, sources)
        if isinstance(node, FIRST_ARGUMENT):
            return self.kind(node.this, sources)
        if isinstance(node, exp.Coalesce):
            return self.kind(node.this, sources)
        if isinstance(node, exp.Sum):
            return self.sum_kind(self.kind(node.this, sources))
        if isinstance(node, exp.Avg):
            return self.average_kind(self.kind(node.this, sources))
        if isinstance(node, exp.Cast):
            return columns.declared_kind(cast_type(node))
        if isinstance(node, exp.Anonymous):
            return FUNCTIONS.get(str(node.this).upper())
        return simple_kind(node)

    def column(
        self, node: exp.Column, sources: dict[str, Kinds | None]
    ) -> ColumnKind | None:
        """Return the kind of a named column."""
        name = node.name.lower()
        if node.table:
            source = sources.get(node.table.lower())
            return None if source is None else source.get(name)
        for source in sources.values():
            if source is not None and name in source:
                return source[name]
        return None

    def sum_kind(self, kind: ColumnKind | None) -> ColumnKind | None:
        """Return the kind of a sum of values of a kind."""
        if kind is None:
            return None
        if kind.type in INTEGER_TYPES:
            return columns.decimal(0)
        if kind.type == ColumnType.NEWDECIMAL:
            return kind
        return columns.DOUBLE

    def average_kind(self, kind: ColumnKind | None) -> ColumnKind | None:
        """Return the kind of an average of values of a kind."""
        if kind is None:
            return None
        if kind.type in INTEGER_TYPES:
            return columns.decimal(columns.AVERAGE_DECIMALS)
        if kind.type == ColumnType.NEWDECIMAL:
            return columns.decimal(kind.decimals + columns.AVERAGE_DECIMALS)
        return columns.DOUBLE


def simple_kind(node: exp.Expression) -> ColumnKind | None:
    """Return the kind of an expression that names no column."""
    if isinstance(node, exp.CurrentTimestamp):
        return columns.DATETIME
    if isinstance(node, (exp.CurrentDate, exp.TsOrDsToDate, exp.Date)):
        return columns.DATE
    if isinstance(node, COUNTING):
        return columns.INTEGER
    if isinstance(node, TEXTUAL):
        return columns.TEXT
    return None


def cast_type(node: exp.Cast) -> str:
    """Return the declared form of a cast's target type."""
    text = str(node.to.sql("mysql")).upper()
    if text.startswith(("SIGNED", "UNSIGNED")):
        return "BIGINT"
    if text.startswith(("CHAR", "NCHAR")):
        return "VARCHAR"
    if text.startswith("BINARY"):
        return "VARBLOB"
    return text
