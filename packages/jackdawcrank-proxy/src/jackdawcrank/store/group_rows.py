"""Group rows in the platform's table service."""

import attrs

from jackdawcrank.groups.group_store import (
    Conflict,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.store import outcome
from jackdawcrank.store.append_outcome import Appended, ChangeConflict
from jackdawcrank.store.change_log import ChangeLog
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.group_row_codec import (
    decode_group_row,
    encode_group_row,
)
from jackdawcrank_policy.values import GroupRow


@attrs.frozen
class GroupRows:
    """Reads group rows and changes them through the change log.

    Attributes:
      store: The store.
      change_log: The change log, through which rows are changed.
      actor: The name of the VM that claims terms.
    """

    store: StoreClient
    change_log: ChangeLog
    actor: str

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        """Compare-and-set a group's row together with the log's head.

        A claim that is repeated after a lost response finds the row that it
        wrote and is reported as stored.
        """
        result = await self.change_log.append_group_row(
            new.group,
            encode_group_row(new),
            lambda row: decode_optional_row(row) == expected,
            self.actor,
        )
        if isinstance(result, Appended):
            return Stored(result.version)
        if isinstance(result, ChangeConflict):
            return claim_outcome(result, new)
        if isinstance(result, outcome.StoreUnavailable):
            return StoreUnavailable(result.detail)
        raise TypeError(f"unexpected outcome of a claim: {result!r}")

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        """Read a group's row; None if it does not exist."""
        result = await self.store.get("groups", group)
        if isinstance(result, outcome.StoreUnavailable):
            return StoreUnavailable(result.detail)
        if isinstance(result, outcome.Absent):
            return None
        row = decode_group_row(result.value)
        if row is None:
            return StoreUnavailable(f"the row of {group} is malformed")
        return row


def decode_optional_row(row: outcome.Row | None) -> GroupRow | None:
    """Return the group row in a table row; None for no or malformed row."""
    return None if row is None else decode_group_row(row.value)


def claim_outcome(conflict: ChangeConflict, new: GroupRow) -> Stored | Conflict:
    """Return `Stored` if the current row equals the claimed row."""
    value = conflict.current
    current = None if value is None else decode_group_row(value)
    if current == new:
        return Stored(conflict.version)
    return Conflict(current)
