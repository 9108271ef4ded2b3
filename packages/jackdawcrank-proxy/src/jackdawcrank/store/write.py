"""A change of a row that is about to be made."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jackdawcrank.store.change_codec import change_key, encode_change
from jackdawcrank.store.head import HEAD, Head
from jackdawcrank.store.outcome import Row
from jackdawcrank.store.transaction import (
    RowCheck,
    RowDelete,
    RowPut,
    Transaction,
)
from jackdawcrank_policy.configuration import Change, Kind

RowPrecondition = Callable[[Row | None], bool]


@attrs.frozen
class Write:
    """A change that is about to be made.

    Attributes:
      kind: The kind of row.
      name: The row's name.
      body: The row's new value; None deletes it.
      actor: Who makes the change.
      token: The token that tells this write from every other.
    """

    kind: str
    name: str
    body: Mapping[str, Any] | None
    actor: str
    token: str

    @property
    def table(self) -> str:
        """Return the table that holds the row."""
        return "groups" if self.kind == Kind.GROUP_ROW else "resources"

    @property
    def key(self) -> str:
        """Return the row's key."""
        if self.kind == Kind.GROUP_ROW:
            return self.name
        return f"{self.kind}/{self.name}"


def version_precondition(version: int | None) -> RowPrecondition:
    """Return the expectation that a resource is at a version.

    Args:
      version: The resource version; 0 for no row, None for any.
    """

    def matches(row: Row | None) -> bool:
        return version is None or resource_version(row) == version

    return matches


def resource_version(row: Row | None) -> int:
    """Return the version of the change that wrote a resource's row."""
    if row is None:
        return 0
    return int(row.value.get("resource_version", 0))


def already_applied(write: Write, current_row: Row | None) -> bool:
    """Return whether a resource is as a write would make it.

    A repeated write, whose first answer was lost, is recognized by this.

    Args:
      write: The write.
      current_row: The resource's row; None if there is none.
    """
    if write.kind == Kind.GROUP_ROW:
        return False
    if write.body is None or current_row is None:
        return write.body is None and current_row is None
    body = dict(current_row.value)
    body.pop("resource_version", None)
    return body == dict(write.body)


def transaction_for(
    write: Write, change: Change, head: Head, current_row: Row | None
) -> Transaction:
    """Return the transaction that makes a change.

    Args:
      write: What is to be written.
      change: The change as the change log shall hold it.
      head: The head that the change follows.
      current_row: The row that it replaces; None if there is none.
    """
    new_head = attrs.evolve(head, version=change.version)
    puts = [
        RowPut(HEAD, HEAD, new_head.value()),
        RowPut("changes", change_key(change.version), encode_change(change)),
    ]
    deletes: tuple[RowDelete, ...] = ()
    if change.deleted:
        deletes = (RowDelete(write.table, write.key),)
    else:
        puts.append(RowPut(write.table, write.key, dict(change.document)))
    row_version = current_row.version if current_row is not None else None
    checks = (
        RowCheck(HEAD, HEAD, head.row_version),
        RowCheck(write.table, write.key, row_version),
    )
    return Transaction(checks, tuple(puts), deletes)
