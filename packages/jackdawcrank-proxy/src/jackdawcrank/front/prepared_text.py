"""Text of a prepared statement, split at its placeholders."""

import re

import attrs

_TOKENS = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`"""
    r"""|/\*.*?\*/|--(?=\s|$)[^\n]*|\#[^\n]*|(?P<mark>\?)""",
    re.DOTALL,
)


@attrs.frozen
class PreparedText:
    """Statement text, split at its placeholders.

    Attributes:
      pieces: The text before, between and after the placeholders.
    """

    pieces: tuple[str, ...]

    @property
    def parameter_count(self) -> int:
        """Return the number of placeholders."""
        return len(self.pieces) - 1

    def fill(self, literals: list[str]) -> str:
        """Return the statement with literals substituted for placeholders.

        Args:
          literals: One SQL literal per placeholder.
        """
        parts = [self.pieces[0]]
        for literal, piece in zip(literals, self.pieces[1:], strict=True):
            parts.append(literal)
            parts.append(piece)
        return "".join(parts)


def split_placeholders(sql: str) -> PreparedText:
    """Split a statement at its placeholders.

    Question marks in strings, quoted identifiers and comments are not
    placeholders.

    Args:
      sql: The statement.
    """
    pieces = []
    start = 0
    for match in _TOKENS.finditer(sql):
        if match["mark"]:
            pieces.append(sql[start : match.start()])
            start = match.end()
    pieces.append(sql[start:])
    return PreparedText(tuple(pieces))
