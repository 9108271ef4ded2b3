"""Reads entries of the change log."""

from jackdawcrank.store.change_codec import change_key, decode_change
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.outcome import Absent, Row, StoreUnavailable
from jackdawcrank_policy.configuration import Change

PAGE_ROWS = 200


async def read_change(
    store: StoreClient, version: int
) -> Change | Absent | StoreUnavailable:
    """Read one change.

    Returns:
      `Absent` if the change is not committed or was deleted by compaction.
    """
    result = await store.get("changes", change_key(version))
    if isinstance(result, Row):
        return change_from(result)
    return result


async def read_changes(
    store: StoreClient, after: int, limit: int = PAGE_ROWS
) -> tuple[Change, ...] | StoreUnavailable:
    """Read the changes after a version, oldest first.

    Args:
      store: The store.
      after: The version after which to start.
      limit: The maximum number of changes.
    """
    page = await store.scan("changes", change_key(after), limit)
    if isinstance(page, StoreUnavailable):
        return page
    changes: list[Change] = []
    for row in page.rows:
        change = change_from(row)
        if isinstance(change, StoreUnavailable):
            return change
        changes.append(change)
    return tuple(changes)


def change_from(row: Row) -> Change | StoreUnavailable:
    """Return the change in a row; unavailable if it is malformed."""
    try:
        return decode_change(int(row.key), row.value)
    except (KeyError, TypeError, ValueError) as error:
        return StoreUnavailable(False, f"malformed change: {error!r}")
