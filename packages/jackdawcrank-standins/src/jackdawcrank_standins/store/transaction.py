"""A conditional transaction over rows of tables."""

import dataclasses
from typing import Any

import attrs


@attrs.frozen
class RowKey:
    """Names one row.

    Attributes:
      table: The table's name.
      key: The row's key.
    """

    table: str
    key: str

    def __str__(self) -> str:
        return f"{self.table}/{self.key}"


@attrs.frozen
class Check:
    """A condition of a transaction.

    Attributes:
      row: The row that is checked.
      version: The version that it must have; None if it must be absent.
    """

    row: RowKey
    version: int | None


@attrs.frozen
class Put:
    """A row to be written.

    Attributes:
      row: The row.
      value: Its new value, any JSON value.
    """

    row: RowKey
    value: Any


@attrs.frozen
class TableTransaction:
    """What a transaction checks and changes, all or nothing.

    Attributes:
      checks: The conditions.
      puts: The rows to write.
      deletes: The rows to delete.
    """

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@attrs.frozen
class Row:
    """A stored row.

    Attributes:
      key: The row's key.
      value: Its value, any JSON value.
      version: How often the row was written.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect.

    Attributes:
      versions: The new versions of the rows that it wrote.
    """

    versions: dict[RowKey, int]


@attrs.frozen
class Conflict:
    """A row that did not meet its check.

    Attributes:
      row: Names the row.
      version: Its version; None if it is absent.
      value: Its value; None if it is absent.
    """

    row: RowKey
    version: int | None
    value: Any


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """The transaction had no effect.

    Attributes:
      conflicts: The rows that did not meet their checks.
    """

    conflicts: tuple[Conflict, ...]


def parse_transaction(body: Any) -> TableTransaction:
    """Return the transaction that a request's body describes.

    Args:
      body: The body as JSON values.

    Raises:
      ValueError: The body is malformed.
    """
    if not isinstance(body, dict):
        raise ValueError("the body is not an object")
    unknown = body.keys() - {"checks", "puts", "deletes"}
    if unknown:
        raise ValueError(f"unknown member {sorted(unknown)[0]!r}")
    try:
        return TableTransaction(
            tuple(parse_check(item) for item in body.get("checks", ())),
            tuple(
                Put(parse_row(item), item["value"])
                for item in body.get("puts", ())
            ),
            tuple(parse_row(item) for item in body.get("deletes", ())),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed transaction: {error!r}") from error


def parse_row(item: Any) -> RowKey:
    """Return the row that a part of a transaction names."""
    table, key = item["table"], item["key"]
    if not isinstance(table, str) or not isinstance(key, str):
        raise TypeError("table and key must be strings")
    return RowKey(table, key)


def parse_check(item: Any) -> Check:
    """Return the condition that a part of a transaction describes."""
    version = item["version"]
    if version is not None and type(version) is not int:
        raise TypeError("version must be an integer or null")
    return Check(parse_row(item), version)
