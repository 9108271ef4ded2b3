"""Translates MySQL statements to SQLite."""

import functools
import re

import attrs
import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

from jackdawcrank_standins.backend import schema_statements
from jackdawcrank_standins.backend.catalog import Catalog
from jackdawcrank_standins.backend.compiled import Compiled, StatementKind
from jackdawcrank_standins.backend.errors import (
    syntax_error,
    unknown_database,
)
from jackdawcrank_standins.backend.functions import PREFIX
from jackdawcrank_standins.backend.result_kinds import ResultKinds
from jackdawcrank_standins.backend.sqlite_dialect import quote, sqlite_sql

# Comments, or strings so that nothing inside them counts as a comment.
COMMENT = re.compile(
    r"""('(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")|/\*.*?\*/""",
    re.DOTALL,
)
REPLACE = re.compile(r"\s*REPLACE\s+(?:INTO\s+)?", re.IGNORECASE)
RENAME = re.compile(
    r"\s*RENAME\s+TABLE\s+(\S+)\s+TO\s+(\S+)\s*;?\s*$", re.IGNORECASE
)
VARIABLE = re.compile(PREFIX + r"variable\('((?:@|@@)[^']*)'\)", re.IGNORECASE)
SELECT_HEAD = re.compile(r"\s*SELECT\s+(?:DISTINCT\s+|ALL\s+)?", re.IGNORECASE)
TOKEN = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*\""""
    r"""|`[^`]*`|\w+|\s+|.""",
    re.DOTALL,
)
ENDS_OF_COLUMNS = {
    "FROM",
    "WHERE",
    "GROUP",
    "HAVING",
    "ORDER",
    "LIMIT",
    "FOR",
    "UNION",
    ";",
}
EXCLUDED = "excluded"


@attrs.define
class Translator:
    """Translates the statements of one database.

    Attributes:
      catalog: Knows the tables' columns.
      database: The database's name.
    """

    catalog: Catalog
    database: str

    def translate(self, sql: str) -> Compiled:
        """Return a statement in SQLite's dialect.

        Args:
          sql: One statement in MySQL's dialect, literals included.

        Raises:
          Failure: The statement cannot be parsed or translated.
        """
        sql = COMMENT.sub(keep_strings, sql)
        replaces = REPLACE.match(sql)
        if replaces:
            sql = "INSERT INTO " + sql[replaces.end() :]
        sql = RENAME.sub(r"ALTER TABLE \1 RENAME TO \2", sql)
        statement = self.parse(sql)
        self.drop_qualifiers(statement)
        return self.compile(statement, bool(replaces), projection_texts(sql))

    def parse(self, sql: str) -> exp.Expression:
        """Return the syntax tree of one statement."""
        try:
            statements = sqlglot.parse(sql, read="mysql")
        except SqlglotError as error:
            raise syntax_error(str(error).split("\n")[0]) from error
        found = [item for item in statements if item is not None]
        if any(isinstance(item, exp.Command) for item in found):
            raise schema_statements.UNSUPPORTED
        if len(found) != 1:
            raise syntax_error("one statement is expected")
        return found[0]

    def drop_qualifiers(self, statement: exp.Expression) -> None:
        """Remove the database's own name from tables and columns."""
        for table in statement.find_all(exp.Table):
            if not table.db:
                continue
            if table.db.lower() != self.database.lower():
                raise unknown_database(table.db)
            table.set("db", None)
        for column in statement.find_all(exp.Column):
            if column.db:
                column.set("db", None)

    def compile(
        self, statement: exp.Expression, replaces: bool, texts: list[str]
    ) -> Compiled:
        """Return a parsed statement in SQLite's dialect."""
        match statement:
            case exp.Query():
                return self.query(statement, texts)
            case exp.Insert():
                return self.insert(statement, replaces)
            case exp.Update():
                return self.update(statement)
            case exp.Delete():
                return self.delete(statement)
            case exp.TruncateTable():
                return self.truncate(statement)
        return Compiled(StatementKind.SCHEMA, self.schema_change(statement))

    def query(self, statement: exp.Query, texts: list[str]) -> Compiled:
        """Translate a query whose columns are written as in `texts`."""
        kinds = ResultKinds(self.catalog).of_query(statement)
        locks = isinstance(statement, exp.Select) and statement.args.get(
            "locks"
        )
        if locks:
            statement.set("locks", None)
        remove_dual(statement)
        name_projections(statement, texts)
        sql = sqlite_sql(statement)
        return Compiled(
            StatementKind.LOCKING_READ if locks else StatementKind.READ,
            (sql,),
            columns=tuple(kind for _, kind in kinds or ()),
            variables=variables_of(sql),
        )

    def insert(self, statement: exp.Insert, replaces: bool) -> Compiled:
        """Translate an INSERT or REPLACE."""
        conflict = statement.args.get("conflict")
        statement.set("conflict", None)
        source = statement.expression
        alias = source.alias if isinstance(source, exp.Values) else ""
        if alias:
            source.set("alias", None)
        replace_defaults(source)
        base = sqlite_sql(statement)
        if replaces:
            base = base.replace("INSERT INTO", "INSERT OR REPLACE INTO", 1)
        sql = base
        insert_only = None
        if conflict is not None:
            sql = base + self.upsert_clause(conflict, alias, source)
            if isinstance(source, exp.Values) and len(source.expressions) == 1:
                insert_only = base + " ON CONFLICT DO NOTHING"
        generates, explicit = self.id_use(statement)
        return Compiled(
            StatementKind.WRITE,
            (sql,),
            variables=variables_of(sql),
            generates_ids=generates,
            explicit_ids=explicit,
            insert_only_sql=insert_only,
        )

    def upsert_clause(
        self, conflict: exp.OnConflict, alias: str, source: exp.Expression
    ) -> str:
        """Return the SQLite form of ON DUPLICATE KEY UPDATE."""
        assignments = []
        for assignment in conflict.expressions:
            value = assignment.expression.transform(
                functools.partial(proposed_value, alias=alias)
            )
            column = quote(assignment.this.name)
            assignments.append(f"{column} = {sqlite_sql(value)}")
        # SQLite reads `SELECT … ON` as a join unless a WHERE stands between.
        guard = (
            " WHERE TRUE"
            if isinstance(source, exp.Select) and not source.args.get("where")
            else ""
        )
        return f"{guard} ON CONFLICT DO UPDATE SET {', '.join(assignments)}"

    def id_use(self, statement: exp.Insert) -> tuple[bool, bool]:
        """Return whether ids are generated, and whether they are given."""
        target = statement.this
        table = target.this if isinstance(target, exp.Schema) else target
        info = self.catalog.table(table.name)
        if info is None or info.id_column is None:
            return False, False
        if isinstance(target, exp.Schema):
            names = [item.name.lower() for item in target.expressions]
        else:
            names = [name.lower() for name in info.names]
        if info.id_column not in names:
            return True, False
        source = statement.expression
        if isinstance(source, exp.Values) and source.expressions:
            first = source.expressions[0].expressions
            place = names.index(info.id_column)
            if place < len(first) and isinstance(first[place], exp.Null):
                return True, False
        return True, True

    def update(self, statement: exp.Update) -> Compiled:
        """Translate an UPDATE."""
        joins = statement.this.args.get("joins")
        if joins:
            join_to_from(statement, joins)
        else:
            limit_by_rowid(statement, statement.this)
        for assignment in statement.expressions:
            if isinstance(assignment.this, exp.Column):
                assignment.this.set("table", None)
        sql = sqlite_sql(statement)
        return Compiled(
            StatementKind.WRITE, (sql,), variables=variables_of(sql)
        )

    def delete(self, statement: exp.Delete) -> Compiled:
        """Translate a DELETE."""
        if statement.args.get("tables"):
            raise schema_statements.UNSUPPORTED
        limit_by_rowid(statement, statement.this)
        sql = sqlite_sql(statement)
        return Compiled(
            StatementKind.WRITE, (sql,), variables=variables_of(sql)
        )

    def truncate(self, statement: exp.TruncateTable) -> Compiled:
        """Translate a TRUNCATE TABLE."""
        name = statement.expressions[0].name
        literal = exp.Literal.string(name).sql("sqlite")
        return Compiled(
            StatementKind.SCHEMA,
            (
                f"DELETE FROM {quote(name)}",
                f"DELETE FROM sqlite_sequence WHERE name = {literal}",
            ),
        )

    def schema_change(self, statement: exp.Expression) -> tuple[str, ...]:
        """Translate a statement that changes the schema."""
        match statement:
            case exp.Create() if statement.kind == "TABLE":
                return schema_statements.create_table(statement)
            case exp.Create() if statement.kind == "INDEX":
                return schema_statements.create_index(statement)
            case exp.Create() if statement.kind == "VIEW":
                return (sqlite_sql(statement),)
            case exp.Drop():
                return schema_statements.drop(statement)
            case exp.Alter():
                return schema_statements.alter(statement)
        raise schema_statements.UNSUPPORTED


def keep_strings(match: re.Match[str]) -> str:
    """Return a string as it is and a space for a comment."""
    return match[1] or " "


def variables_of(sql: str) -> frozenset[str]:
    """Return the variables that a translated statement reads."""
    return frozenset(VARIABLE.findall(sql))


def projection_texts(sql: str) -> list[str]:
    """Return the result columns of a SELECT as they are written.

    Args:
      sql: The statement.

    Returns:
      Nothing if the statement is not a plain SELECT.
    """
    head = SELECT_HEAD.match(sql)
    if head is None:
        return []
    texts = [""]
    depth = 0
    for match in TOKEN.finditer(sql, head.end()):
        token = match[0]
        depth += (token == "(") - (token == ")")
        if depth == 0 and token.upper() in ENDS_OF_COLUMNS:
            break
        if depth == 0 and token == ",":
            texts.append("")
        else:
            texts[-1] += token
    return [text.strip() for text in texts]


def remove_dual(statement: exp.Expression) -> None:
    """Remove `FROM DUAL`."""
    for select in statement.find_all(exp.Select):
        clause = select.args.get("from_")
        if clause is not None and clause.this.name.upper() == "DUAL":
            select.set("from_", None)


def name_projections(statement: exp.Expression, texts: list[str]) -> None:
    """Give unnamed result columns the names that MySQL gives them.

    Args:
      statement: The query.
      texts: The columns as written, if they could be told apart.
    """
    select = statement
    while isinstance(select, (exp.SetOperation, exp.Subquery)):
        select = select.this
    if not isinstance(select, exp.Select):
        return
    named = []
    if len(texts) != len(select.expressions):
        texts = [item.sql("mysql") for item in select.expressions]
    for projection, text in zip(select.expressions, texts, strict=True):
        if isinstance(projection, (exp.Alias, exp.Column, exp.Star)):
            named.append(projection)
            continue
        name = projection.name if isinstance(projection, exp.Literal) else text
        named.append(exp.alias_(projection, name, quoted=True))
    select.set("expressions", named)


def replace_defaults(source: exp.Expression | None) -> None:
    """Replace DEFAULT in rows of values by NULL."""
    if not isinstance(source, exp.Values):
        return
    for column in source.find_all(exp.Column, exp.Var):
        if column.name.upper() == "DEFAULT":
            column.replace(exp.Null())


def proposed_value(node: exp.Expression, alias: str) -> exp.Expression:
    """Return the reference to a proposed row's value in an upsert."""
    if isinstance(node, exp.Anonymous) and node.this.upper() == "VALUES":
        return exp.column(node.expressions[0].name, table=EXCLUDED)
    if alias and isinstance(node, exp.Column) and node.table == alias:
        return exp.column(node.name, table=EXCLUDED)
    return node


def limit_by_rowid(statement: exp.Expression, table: exp.Expression) -> None:
    """Replace ORDER BY and LIMIT of a write by a choice of row ids."""
    order, limit = statement.args.get("order"), statement.args.get("limit")
    if limit is None:
        statement.set("order", None)
        return
    chosen = exp.select("rowid").from_(table.copy())
    for part, value in (
        ("where", statement.args.get("where")),
        ("order", order),
        ("limit", limit),
    ):
        chosen.set(part, value)
    statement.set("order", None)
    statement.set("limit", None)
    condition = exp.column("rowid").isin(chosen)
    statement.set("where", exp.Where(this=condition))


def join_to_from(statement: exp.Update, joins: list[exp.Join]) -> None:
    """Replace the joins of an UPDATE by a FROM clause."""
    conditions = [join.args["on"] for join in joins if join.args.get("on")]
    tables = [join.this for join in joins]
    statement.this.set("joins", None)
    clause = exp.From(this=tables[0])
    tables[0].set(
        "joins", [exp.Join(this=table) for table in tables[1:]] or None
    )
    statement.set("from_", clause)
    where = statement.args.get("where")
    if where is not None:
        conditions.append(where.this)
    statement.set("where", exp.Where(this=exp.and_(*conditions)))
