"""Outcomes of requests to the platform's store."""

import dataclasses
from typing import Any

from jackdawcrank_policy.values import Vm


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table.

    Attributes:
      key: The row's key.
      value: The row's JSON value.
      version: The row's version; each write increments it by 1.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Absent:
    """The row or object does not exist."""


@dataclasses.dataclass(frozen=True)
class StoreUnavailable:
    """The store returned no usable response before the deadline.

    Attributes:
      maybe_applied: Whether a write may have been applied nevertheless.
      detail: A human-readable description.
    """

    maybe_applied: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Page:
    """One page of a table's rows in key order.

    Attributes:
      rows: The rows.
      more: Whether more rows follow this page.
    """

    rows: tuple[Row, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction was committed.

    Attributes:
      versions: The new row versions by `TABLE/KEY`.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class ConflictingRow:
    """A row that failed a check of a transaction.

    Attributes:
      table: The table's name.
      key: The row's key.
      version: The row's version; None if the row does not exist.
      value: The row's value.
    """

    table: str
    key: str
    version: int | None
    value: Any


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A check failed; the transaction was not applied.

    Attributes:
      rows: The rows that failed their checks.
    """

    rows: tuple[ConflictingRow, ...]


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object of the object store.

    Attributes:
      data: The object's content.
      etag: The entity tag of this content.
    """

    data: bytes
    etag: str


@dataclasses.dataclass(frozen=True)
class ObjectWritten:
    """The object was written.

    Attributes:
      etag: The entity tag of the new content.
    """

    etag: str


@dataclasses.dataclass(frozen=True)
class PreconditionFailed:
    """The object did not meet the precondition of the request."""


@dataclasses.dataclass(frozen=True)
class Deleted:
    """The object does not exist any more."""


VmList = tuple[Vm, ...]
