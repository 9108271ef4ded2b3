"""The description of one column of a result."""

import attrs


@attrs.frozen
class ColumnInfo:
    """A column definition of the MySQL protocol.

    Attributes:
      name: The name or alias of the column.
      type_code: The MySQL type code.
      charset: The number of the MySQL character set.
      flags: The MySQL column flags.
      decimals: The number of digits after the decimal point.
      length: The display length in bytes.
      table: The name or alias of the table; empty for an expression.
      original_name: The name of the column in the table.
      original_table: The name of the table without alias.
      database: The database that contains the table.
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
