"""Translates statements that change the schema."""

from sqlglot import exp

from jackdawcrank_standins.backend.errors import Failure
from jackdawcrank_standins.backend.sqlite_dialect import quote, sqlite_sql

UNSUPPORTED = Failure(
    1235, "42000", "This version of MySQL doesn't yet support this statement"
)
TEXT_TYPES = ("CHAR", "VARCHAR", "TEXT", "TINYTEXT", "MEDIUMTEXT", "LONGTEXT")
BINARY_TYPES = {"BINARY": "VARBLOB", "VARBINARY": "VARBLOB"}
CASE_SENSITIVE = ("bin", "_cs")


def index_name(table: str, name: str) -> str:
    """Return the name of a table's index; SQLite has one name space."""
    return f"{table}__{name}"


def create_table(statement: exp.Create) -> tuple[str, ...]:
    """Return the SQLite statements for a CREATE TABLE."""
    schema = statement.this
    if not isinstance(schema, exp.Schema):
        raise UNSUPPORTED
    table = schema.this.name
    id_column = auto_increment_column(schema)
    parts: list[str] = []
    indexes: list[str] = []
    for element in schema.expressions:
        if isinstance(element, exp.ColumnDef):
            parts.append(column(element, id_column))
        elif isinstance(element, exp.IndexColumnConstraint):
            indexes.append(index(table, element))
        else:
            parts.extend(table_constraint(element, id_column))
    guard = "IF NOT EXISTS " if statement.args.get("exists") else ""
    body = ", ".join(parts)
    return (f"CREATE TABLE {guard}{quote(table)} ({body})", *indexes)


def auto_increment_column(schema: exp.Schema) -> str | None:
    """Return the name of the AUTO_INCREMENT column, if there is one."""
    for element in schema.expressions:
        if isinstance(element, exp.ColumnDef) and any(
            isinstance(constraint.kind, exp.AutoIncrementColumnConstraint)
            for constraint in element.constraints
        ):
            return str(element.name)
    return None


def declared_type(definition: exp.ColumnDef) -> str:
    """Return the type to declare; it sets SQLite's affinity as well."""
    text = str(definition.kind.sql("mysql")).upper()
    name, _, rest = text.partition("(")
    head = name.split()[0]
    if head in BINARY_TYPES:
        return BINARY_TYPES[head]
    if head in ("ENUM", "SET"):
        return "ENUMCHAR"
    if head == "BIT":
        return "BIGINT"
    return text


def column(definition: exp.ColumnDef, id_column: str | None) -> str:
    """Return the SQLite definition of a column."""
    name = quote(definition.name)
    if definition.name == id_column:
        return f"{name} INTEGER PRIMARY KEY AUTOINCREMENT"
    kind = declared_type(definition)
    parts = [name, kind]
    collation = "NOCASE" if kind.split("(")[0] in TEXT_TYPES else None
    for constraint in definition.constraints:
        if isinstance(constraint.kind, exp.CollateColumnConstraint):
            collated = constraint.kind.this.name.lower()
            if collated.endswith(CASE_SENSITIVE):
                collation = None
            continue
        text = column_constraint(constraint.kind)
        if text:
            parts.append(text)
    if collation:
        parts.append(f"COLLATE {collation}")
    return " ".join(parts)


def column_constraint(kind: exp.Expression) -> str:
    """Return the SQLite form of a column's constraint, or nothing."""
    if isinstance(kind, exp.NotNullColumnConstraint):
        return "" if kind.args.get("allow_null") else "NOT NULL"
    if isinstance(kind, exp.PrimaryKeyColumnConstraint):
        return "PRIMARY KEY NOT NULL"
    if isinstance(kind, exp.UniqueColumnConstraint):
        return "UNIQUE"
    if isinstance(kind, exp.DefaultColumnConstraint):
        return f"DEFAULT ({sqlite_sql(kind.this)})"
    if isinstance(kind, exp.CheckColumnConstraint):
        return f"CHECK ({sqlite_sql(kind.this)})"
    if isinstance(kind, exp.Reference):
        return sqlite_sql(kind)
    return ""


def table_constraint(
    element: exp.Expression, id_column: str | None
) -> list[str]:
    """Return the SQLite forms of a table's constraint."""
    if isinstance(element, exp.Constraint):
        return [
            text
            for inner in element.expressions
            for text in table_constraint(inner, id_column)
        ]
    if isinstance(element, exp.PrimaryKey):
        names = key_columns(element.expressions)
        if names == [id_column]:
            return []
        listed = ", ".join(quote(name) for name in names)
        word = "UNIQUE" if id_column else "PRIMARY KEY"
        return [f"{word} ({listed})"]
    if isinstance(element, exp.UniqueColumnConstraint):
        return [f"UNIQUE ({unique_columns(element)})"]
    if isinstance(element, exp.ForeignKey):
        return [sqlite_sql(element)]
    if isinstance(element, exp.CheckColumnConstraint):
        return [f"CHECK ({sqlite_sql(element.this)})"]
    raise UNSUPPORTED


def unique_columns(element: exp.UniqueColumnConstraint) -> str:
    """Return the listed columns of a unique key."""
    schema = element.this
    names = key_columns(
        schema.expressions if isinstance(schema, exp.Schema) else [schema]
    )
    return ", ".join(quote(name) for name in names)


def key_columns(elements: list[exp.Expression]) -> list[str]:
    """Return the names of the columns of a key."""
    return [
        element.this.name
        if isinstance(element, (exp.ColumnPrefix, exp.Ordered))
        else element.name
        for element in elements
    ]


def index(table: str, element: exp.IndexColumnConstraint) -> str:
    """Return the CREATE INDEX for a key that CREATE TABLE names."""
    names = key_columns(element.expressions)
    own_name = element.this.name if element.this else "_".join(names)
    listed = ", ".join(quote(name) for name in names)
    name = quote(index_name(table, own_name))
    return f"CREATE INDEX IF NOT EXISTS {name} ON {quote(table)} ({listed})"


def create_index(statement: exp.Create) -> tuple[str, ...]:
    """Return the SQLite statement for a CREATE INDEX."""
    definition = statement.this
    table = definition.args["table"].name
    parameters = definition.args["params"].args["columns"]
    listed = ", ".join(quote(name) for name in key_columns(parameters))
    unique = "UNIQUE " if statement.args.get("unique") else ""
    name = quote(index_name(table, definition.name))
    return (f"CREATE {unique}INDEX {name} ON {quote(table)} ({listed})",)


def drop(statement: exp.Drop) -> tuple[str, ...]:
    """Return the SQLite statements for a DROP."""
    guard = "IF EXISTS " if statement.args.get("exists") else ""
    kind = str(statement.args["kind"]).upper()
    names = [dropped.name for dropped in statement.args["tables"]]
    if kind in ("TABLE", "VIEW"):
        return tuple(f"DROP {kind} {guard}{quote(name)}" for name in names)
    place = statement.args.get("cluster")
    if kind != "INDEX" or place is None:
        raise UNSUPPORTED
    return drop_index(place.this.name, names[0])


def drop_index(table: str, name: str) -> tuple[str, ...]:
    """Return the SQLite statement that drops a table's index."""
    return (f"DROP INDEX {quote(index_name(table, name))}",)


def alter(statement: exp.Alter) -> tuple[str, ...]:
    """Return the SQLite statements for an ALTER TABLE."""
    table = statement.this.name
    results: list[str] = []
    for action in statement.args["actions"]:
        results.extend(alteration(table, action))
    return tuple(results)


def alteration(table: str, action: exp.Expression) -> list[str]:
    """Return the SQLite statements for one action of an ALTER TABLE."""
    prefix = f"ALTER TABLE {quote(table)}"
    if isinstance(action, exp.ColumnDef):
        return [f"{prefix} ADD COLUMN {column(action, None)}"]
    if isinstance(action, exp.Drop):
        name = action.args["tables"][0].name
        if str(action.args["kind"]).upper() == "INDEX":
            return list(drop_index(table, name))
        return [f"{prefix} DROP COLUMN {quote(name)}"]
    if isinstance(action, exp.RenameColumn):
        old, new = action.this.name, action.args["to"].name
        return [f"{prefix} RENAME COLUMN {quote(old)} TO {quote(new)}"]
    if isinstance(action, exp.AlterRename):
        return [f"{prefix} RENAME TO {quote(action.this.name)}"]
    if isinstance(action, exp.AddConstraint):
        return [added_key(table, element) for element in action.expressions]
    raise UNSUPPORTED


def added_key(table: str, element: exp.Expression) -> str:
    """Return the CREATE INDEX for a key that ALTER TABLE adds."""
    if isinstance(element, exp.Constraint):
        return added_key(table, element.expressions[0])
    if isinstance(element, exp.IndexColumnConstraint):
        return index(table, element)
    if isinstance(element, exp.UniqueColumnConstraint):
        listed = unique_columns(element)
        own_name = element.this.name or listed.replace("`", "")
        name = quote(index_name(table, own_name))
        return f"CREATE UNIQUE INDEX {name} ON {quote(table)} ({listed})"
    raise UNSUPPORTED
