"""Interface of the metadata store, which keeps durable state.

A store may be restored from an older copy. It then loses recent writes, and it
gives revisions out again. Each restoration begins a new epoch, whose number is
higher; revisions are comparable only within an epoch.
"""

import typing

import attrs


@attrs.frozen
class StoredRow:
    """A row of a table.

    Attributes:
      key: The key, unique within the table.
      value: The stored bytes.
      revision: The store's revision of the last write to the row.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class TableSnapshot:
    """A consistent snapshot of a table.

    Attributes:
      rows: The rows.
      revision: The store's newest revision at the time of the snapshot.
      store_seconds: The store's monotonic clock at that time, in seconds.
      epoch: The store's epoch; 0 if the store does not tell it.
    """

    rows: tuple[StoredRow, ...]
    revision: int
    store_seconds: float
    epoch: int = 0


@attrs.frozen
class TableChanges:
    """Changes of a table after a revision.

    Attributes:
      rows: The rows that were written, in the order of their writes.
      removed: The keys of rows that were removed.
      revision: The revision from which to continue.
      epoch: The store's epoch.
      store_seconds: The store's monotonic clock when no later change existed,
        in seconds; None if the store does not tell it.
    """

    rows: tuple[StoredRow, ...]
    removed: tuple[str, ...]
    revision: int
    epoch: int = 0
    store_seconds: float | None = None


@attrs.frozen
class HistoryTrimmed:
    """The store no longer has the changes; the table must be read again."""


@attrs.frozen
class StoreFailure:
    """The store returned no usable answer.

    Attributes:
      maybe_applied: Whether a write may still have taken effect.
      detail: A description of the failure.
    """

    maybe_applied: bool
    detail: str


@attrs.frozen
class RowWritten:
    """The write took effect.

    Attributes:
      revision: The revision of the write.
      epoch: The store's epoch at the time of the write.
    """

    revision: int
    epoch: int = 0


@attrs.frozen
class RevisionConflict:
    """The row was not at the required revision; nothing was written."""


class MetadataStore(typing.Protocol):
    """Stores tables of rows, with conditional writes and change feeds."""

    async def read_table(
        self, table: str, key: str | None = None
    ) -> TableSnapshot | StoreFailure:
        """Return a table's rows.

        Args:
          table: The table.
          key: The key of the only row to return; None for all rows.
        """

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> TableChanges | HistoryTrimmed | StoreFailure:
        """Wait for changes of a table.

        Args:
          table: The table.
          after: The revision after which to return changes.
          wait_seconds: The wait limit, after which an empty result is
            returned.
        """

    async def replace_row(
        self, table: str, key: str, value: bytes, revision: int
    ) -> RowWritten | RevisionConflict | StoreFailure:
        """Write a row if it is still at the given revision.

        Args:
          table: The table.
          key: The row's key.
          value: The new bytes.
          revision: The required revision; 0 if the row must not exist.
        """
