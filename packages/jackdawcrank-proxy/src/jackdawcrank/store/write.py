"""Pending writes and the transactions that commit them."""

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
    """A pending change of one row.

    Attributes:
      kind: The kind of the row.
      name: The row's name.
      body: The row's new value; None deletes the row.
      actor: The user or VM that makes the change.
      token: A unique identifier of this write.
    """

    kind: str
    name: str
    body: Mapping[str, Any] | None
    actor: str
    token: str

    @property
    def table(self) -> str:
        """Return the name of the row's table."""
        return "groups" if self.kind == Kind.GROUP_ROW else "resources"

    @property
    def key(self) -> str:
        """Return the row's key."""
        if self.kind == Kind.GROUP_ROW:
            return self.name
        return f"{self.kind}/{self.name}"


def version_precondition(version: int | None) -> RowPrecondition:
    """Return a precondition on a resource's version.

    Args:
      version: The required version; 0 if the resource must not exist, None
        for any.
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
    """Return whether a resource already has the state that a write sets.

    This recognizes a write that is repeated because its first response was
    lost.

    Args:
      write: The write.
      current_row: The resource's row; None if it does not exist.
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
    """Return the transaction that commits a change.

    Args:
      write: The pending write.
      change: The entry for the change log.
      head: The head of the change log before the change.
      current_row: The row to replace; None if it does not exist.
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
