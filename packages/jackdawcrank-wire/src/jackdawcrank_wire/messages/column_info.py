"""The description of one column of a result."""

import attrs


@attrs.frozen
class ColumnInfo:
    """A column as the MySQL protocol describes it.

    Attributes:
      name: The column's name or alias.
      type_code: The MySQL type code.
      charset: The character set's number.
      flags: The MySQL column flags.
      decimals: The digits after the decimal point.
      length: The display length in bytes.
      table: The table's name or alias; empty for an expression.
      original_name: The column's name in the table.
      original_table: The table's own name.
      database: The database of the table.
    """

    name: str
    type_code: int
    charset: int = 45
    flags: int = 0
    decimals: int = 0
    length: int = 0
    table: str = ""
    original_name: str = ""
    original_table: str = ""
    database: str = ""
