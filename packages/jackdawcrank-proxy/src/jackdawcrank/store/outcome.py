"""What became of a request to the platform's store."""

import dataclasses
from typing import Any

from jackdawcrank_policy.values import Vm


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table.

    Attributes:
      key: The row's key.
      value: Its JSON value.
      version: The row's version, which grows by 1 with each write.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Absent:
    """There is no such row or object."""


@dataclasses.dataclass(frozen=True)
class StoreUnavailable:
    """The store gave no usable answer in time.

    Attributes:
      maybe_applied: Whether a write may have taken effect all the same.
      detail: A sentence for people.
    """

    maybe_applied: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Page:
    """Some rows of a table in the order of their keys.

    Attributes:
      rows: The rows.
      more: Whether rows with greater keys follow.
    """

    rows: tuple[Row, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect.

    Attributes:
      versions: The new row versions by `TABLE/KEY`.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class ConflictingRow:
    """A row that was not as a transaction's check required.

    Attributes:
      table: The table's name.
      key: The row's key.
      version: The row's version; None if there is no such row.
      value: The row's value.
    """

    table: str
    key: str
    version: int | None
    value: Any


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A check failed; the transaction had no effect.

    Attributes:
      rows: The rows that were not as required.
    """

    rows: tuple[ConflictingRow, ...]


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object of the object store.

    Attributes:
      data: Its bytes.
      etag: The entity tag of this content.
    """

    data: bytes
    etag: str


@dataclasses.dataclass(frozen=True)
class ObjectWritten:
    """The object stands as written.

    Attributes:
      etag: The entity tag of the new content.
    """

    etag: str


@dataclasses.dataclass(frozen=True)
class PreconditionFailed:
    """The object was not as the request required."""


@dataclasses.dataclass(frozen=True)
class Deleted:
    """The object is gone."""


VmList = tuple[Vm, ...]
