"""Group rows claimed with as few calls to the store as possible."""

import asyncio

import attrs

from jackdawcrank.groups.group_store import (
    Conflict,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.store.group_row_codec import encode_group_row
from jackdawcrank.store.group_rows import GroupRows, row_in
from jackdawcrank.store.head import HEAD, Head, read_head
from jackdawcrank.store.outcome import Committed, Row
from jackdawcrank.store.outcome import StoreUnavailable as NoAnswer
from jackdawcrank.store.write import Write, transaction_for
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupRow

GROUPS = "groups"


@attrs.frozen
class ClaimBase:
    """What a claim is written on top of.

    Attributes:
      head: The head of the change log.
      present: The group's row as it stands; None if there is none.
    """

    head: Head
    present: Row | None


class PrefetchedGroupRows:
    """Claims a group's row in two calls, or in one if it was prepared.

    The head and the row are read together, and neither is read again after
    `prepare` or an own change: the transaction checks both, so an outdated
    base fails. A claim that does not go through at once is left to
    `GroupRows`, which settles it.

    Attributes:
      rows: The group rows.
      claim_bases: For each group, what the own last change left behind.
    """

    def __init__(self, rows: GroupRows) -> None:
        self.rows = rows
        self.claim_bases: dict[str, ClaimBase] = {}

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        """Return a group's row as it stands in the store."""
        return await self.rows.read(group)

    async def prepare(self, group: str) -> None:
        """Read what a claim of the group's row would be written on."""
        base = await self.read_base(group)
        if base is not None:
            self.claim_bases[group] = base

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        """Compare-and-set a group's row together with the log's head."""
        base = self.claim_bases.pop(new.group, None)
        if base is None or row_in(base.present) != expected:
            base = await self.read_base(new.group)
        if base is None or row_in(base.present) != expected:
            return await self.rows.claim(expected, new)
        version = base.head.version + 1
        if await self.write_on_base(base, new):
            return Stored(version)
        outcome = await self.rows.claim(expected, new)
        if isinstance(outcome, Stored) and outcome.version == 0:
            return Stored(version)
        return outcome

    async def read_base(self, group: str) -> ClaimBase | None:
        """Return the head and the group's row; None without an answer."""
        store = self.rows.store
        head, row = await asyncio.gather(
            read_head(store), store.get(GROUPS, group)
        )
        if isinstance(head, NoAnswer) or isinstance(row, NoAnswer):
            return None
        return ClaimBase(head, row if isinstance(row, Row) else None)

    async def write_on_base(self, base: ClaimBase, new: GroupRow) -> bool:
        """Write a row on top of a base; return whether it is known to stand."""
        log = self.rows.change_log
        token = log.new_token()
        body = {**encode_group_row(new), "token": token}
        write = Write(Kind.GROUP_ROW, new.group, body, self.rows.actor, token)
        change = log.change(write, base.head.version + 1)
        transaction = transaction_for(write, change, base.head, base.present)
        outcome = await self.rows.store.transact(transaction)
        if not isinstance(outcome, Committed):
            return False
        head_row = outcome.versions.get(f"{HEAD}/{HEAD}")
        own_row = outcome.versions.get(f"{GROUPS}/{new.group}")
        if head_row is not None and own_row is not None:
            self.claim_bases[new.group] = ClaimBase(
                attrs.evolve(
                    base.head, version=change.version, row_version=head_row
                ),
                Row(new.group, body, own_row),
            )
        return True
