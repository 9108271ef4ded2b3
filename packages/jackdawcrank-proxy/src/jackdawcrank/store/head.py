"""The head of the change log."""

import attrs

from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.outcome import Absent, Row, StoreUnavailable

HEAD = "head"


@attrs.frozen
class Head:
    """The row `head` of the table `head`.

    Attributes:
      version: The version of the newest change; 0 if there is none.
      snapshot: The name of the newest snapshot's object; None if there is
        none.
      floor: The version of the oldest change retained in the log.
      row_version: The version of the row itself; None if the row does not
        exist.
    """

    version: int = 0
    snapshot: str | None = None
    floor: int = 1
    row_version: int | None = None

    def value(self) -> dict[str, object]:
        """Return the row's JSON value."""
        return {
            "version": self.version,
            "snapshot": self.snapshot,
            "floor": self.floor,
        }


async def read_head(store: StoreClient) -> Head | StoreUnavailable:
    """Read the head of the change log."""
    result = await store.get(HEAD, HEAD)
    if isinstance(result, StoreUnavailable):
        return result
    if isinstance(result, Absent):
        return Head()
    return head_from(result)


def head_from(row: Row) -> Head | StoreUnavailable:
    """Return the head in a row; unavailable if the row is malformed."""
    try:
        return Head(
            version=int(row.value["version"]),
            snapshot=row.value.get("snapshot"),
            floor=int(row.value["floor"]),
            row_version=row.version,
        )
    except (KeyError, TypeError, ValueError) as error:
        return StoreUnavailable(False, f"malformed head: {error!r}")
