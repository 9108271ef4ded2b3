"""The interface of the store for what must last."""

import typing

import attrs


@attrs.frozen
class StoredRow:
    """A row.

    Attributes:
      key: Its key.
      value: Its bytes.
      revision: The store's version of the write that made it.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class TableSnapshot:
    """All rows of a table at one moment.

    Attributes:
      rows: The rows.
      revision: The store's newest version at that moment.
      store_seconds: The store's steady clock at that moment.
    """

    rows: tuple[StoredRow, ...]
    revision: int
    store_seconds: float


@attrs.frozen
class TableChanges:
    """What changed in a table after a revision.

    Attributes:
      rows: The rows that were written, in the order of their writes.
      removed: The keys of rows that were removed.
      revision: Where to go on.
    """

    rows: tuple[StoredRow, ...]
    removed: tuple[str, ...]
    revision: int


@attrs.frozen
class HistoryTrimmed:
    """The changes asked for are no longer kept; read the table anew."""


@attrs.frozen
class StoreFailure:
    """The store gave no usable answer.

    Attributes:
      maybe_applied: Whether a write may have taken effect all the same.
      detail: A sentence about it.
    """

    maybe_applied: bool
    detail: str


@attrs.frozen
class RowWritten:
    """The write took effect.

    Attributes:
      revision: Its version.
    """

    revision: int


@attrs.frozen
class RevisionConflict:
    """The row was not as the write required; nothing was written."""


class MetadataStore(typing.Protocol):
    """Tables of rows, written under a condition and followed."""

    async def read_table(
        self, table: str, key: str | None = None
    ) -> TableSnapshot | StoreFailure:
        """Return a table's rows.

        Args:
          table: The table.
          key: Only this row; None for all.
        """

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> TableChanges | HistoryTrimmed | StoreFailure:
        """Wait for changes of a table.

        Args:
          table: The table.
          after: The revision after which changes are wanted.
          wait_seconds: The longest wait; no changes are returned after it.
        """

    async def replace_row(
        self, table: str, key: str, value: bytes, revision: int
    ) -> RowWritten | RevisionConflict | StoreFailure:
        """Write a row if it is still at a revision.

        Args:
          table: The table.
          key: The row's key.
          value: Its new bytes.
          revision: The revision it must have; 0 if it must not exist.
        """
