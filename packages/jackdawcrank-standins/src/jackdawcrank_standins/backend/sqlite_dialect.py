"""SQLite's dialect with names that are always names."""

from sqlglot import exp
from sqlglot.dialects.sqlite import SQLite
from sqlglot.errors import ErrorLevel

from jackdawcrank_standins.backend.expressions import rewrite


class BackquotedSQLite(SQLite):
    """Quotes names by backquotes.

    SQLite takes an unknown name in double quotes for a text.
    """

    class Tokenizer(SQLite.Tokenizer):
        """Says how names are quoted."""

        IDENTIFIERS = ("`", '"', ("[", "]"))


DIALECT = BackquotedSQLite()


def rewritten(tree: exp.Expression) -> exp.Expression:
    """Return a copy of a tree with every node rewritten, leaves first."""
    result = tree.copy()
    for node in reversed(list(result.walk())):
        replacement = rewrite(node)
        if node is result:
            result = replacement
        elif replacement is not node:
            node.replace(replacement)
    return result


def sqlite_sql(tree: exp.Expression) -> str:
    """Return the SQLite text of a tree in MySQL's form."""
    text: str = DIALECT.generate(
        rewritten(tree),
        identify=True,
        unsupported_level=ErrorLevel.IGNORE,
    )
    return text


def quote(name: str) -> str:
    """Return a name as a quoted SQLite identifier."""
    escaped = name.replace("`", "``")
    return f"`{escaped}`"
