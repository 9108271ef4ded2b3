"""Claims of group rows with few calls to the store."""

import asyncio

import attrs

from jackdawcrank.groups.group_store import (
    Conflict,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.store.group_row_codec import encode_group_row
from jackdawcrank.store.group_rows import GroupRows, decode_optional_row
from jackdawcrank.store.head import HEAD, Head, read_head
from jackdawcrank.store.outcome import Committed, Row
from jackdawcrank.store.outcome import StoreUnavailable as NoAnswer
from jackdawcrank.store.write import Write, transaction_for
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupRow

GROUPS = "groups"


@attrs.frozen
class ClaimBase:
    """State of the store that a claim expects.

    Attributes:
      head: The head of the change log.
      present: The group's stored row; None if there is none.
    """

    head: Head
    present: Row | None


class PrefetchedGroupRows:
    """Claims a group's row in two calls, or in one after `prepare`.

    The head and the row are read concurrently and cached after `prepare` and
    after each own write. The transaction checks the versions of both, so a
    claim on outdated values fails. `GroupRows` retries a claim that is not
    committed at the first attempt and determines its outcome.

    Attributes:
      rows: The group rows without prefetching.
      claim_bases: The cached head and row of each group.
    """

    def __init__(self, rows: GroupRows) -> None:
        self.rows = rows
        self.claim_bases: dict[str, ClaimBase] = {}

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        """Return a group's current row from the store."""
        return await self.rows.read(group)

    async def prepare(self, group: str) -> None:
        """Prefetch the log head and row for a later claim of the group."""
        base = await self.read_base(group)
        if base is not None:
            self.claim_bases[group] = base

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        """Compare-and-set a group's row together with the log head."""
        base = self.claim_bases.pop(new.group, None)
        if base is None or decode_optional_row(base.present) != expected:
            base = await self.read_base(new.group)
        if base is None or decode_optional_row(base.present) != expected:
            return await self.rows.claim(expected, new)
        version = base.head.version + 1
        if await self.write_on_base(base, new):
            return Stored(version)
        outcome = await self.rows.claim(expected, new)
        if isinstance(outcome, Stored) and outcome.version == 0:
            return Stored(version)
        return outcome

    async def read_base(self, group: str) -> ClaimBase | None:
        """Read the head and the group's row; None if a read fails."""
        store = self.rows.store
        head, row = await asyncio.gather(
            read_head(store), store.get(GROUPS, group)
        )
        if isinstance(head, NoAnswer) or isinstance(row, NoAnswer):
            return None
        return ClaimBase(head, row if isinstance(row, Row) else None)

    async def write_on_base(self, base: ClaimBase, new: GroupRow) -> bool:
        """Write a row on a base and return whether the commit is confirmed."""
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
