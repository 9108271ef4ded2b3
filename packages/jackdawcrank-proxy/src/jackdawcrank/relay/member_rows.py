"""The VMs' rows in the store: how proxies find each other."""

import json
import random
from collections.abc import Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.seams.metadata_store import (
    MetadataStore,
    RevisionConflict,
    RowWritten,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.homes import Member

MEMBERS_TABLE = "members"
# VMs that start together have written their rows by then.
SETTLE_SECONDS = 1.5
# A VM's row is renewed in this time; one that is three times as old belongs to
# a VM that is gone.
RENEW_SECONDS = 60.0
RENEW_JITTER = 0.2
STALE_SECONDS = 3 * RENEW_SECONDS
# A row that could not be written is tried again, by some hundred VMs.
RETRY_SECONDS = 3.0


@attrs.frozen
class WrittenMember:
    """A VM's row.

    Attributes:
      member: The VM.
      written_at: When it was written, in seconds on the store's clock.
      revision: The store's version of the row.
    """

    member: Member
    written_at: float
    revision: int


class MemberRows:
    """Writes this VM's row and takes in everybody's.

    Attributes:
      own: This VM.
      members: All VMs with a fresh row, by name.
      known: Whether all rows of VMs that are up should be known.
      written: The rows by VM, stale ones included.
      store_seconds: Tells what the store's clock shows.
    """

    def __init__(
        self,
        store: MetadataStore,
        own: Member,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.own = own
        self.log = log
        self.rng = rng
        self.members: dict[str, Member] = {own.vm: own}
        self.known = False
        self.image_seen = False
        self.written: dict[str, WrittenMember] = {}
        self.store_seconds: Callable[[], float] | None = None
        self.timer: Timer | None = None
        self.subscriptions: list[Subscription] = []

    async def start(self, timer: Timer) -> None:
        """Begin to renew the own row.

        Args:
          timer: Calls back.
        """
        self.timer = timer
        self.subscriptions = [
            timer.call_later(SETTLE_SECONDS, self.settled),
            timer.subscribe(
                "members", RENEW_SECONDS, self.renew, RENEW_JITTER, self.rng
            ),
        ]

    async def close(self) -> None:
        """Stop renewing."""
        for subscription in self.subscriptions:
            subscription.close()

    async def settled(self, _now: float) -> None:
        """Take the rows that are known now for all of them."""
        self.known = True

    def image_read(self, image: TableSnapshot) -> None:
        """Take in the whole table, and write the own row if need be.

        Args:
          image: Its rows.
        """
        self.image_seen = True
        self.written = {}
        for row in image.rows:
            self.row_read(row)
        oldest = image.store_seconds - SETTLE_SECONDS
        others = [one for one in self.written if one != self.own.vm]
        if any(self.written[one].written_at < oldest for one in others):
            # VMs were here before this one: it is not all of them that start.
            self.known = True
        self.update()
        present = self.written.get(self.own.vm)
        if present is None or present.member != self.own:
            self.write_soon(0.0)

    def changes_read(self, changes: TableChanges) -> None:
        """Take in changes of the rows.

        Args:
          changes: What was written and removed.
        """
        for key in changes.removed:
            self.written.pop(key, None)
        for row in changes.rows:
            self.row_read(row)
        self.update()

    def row_read(self, row: StoredRow) -> None:
        """Take in one row."""
        try:
            body = json.loads(row.value)
            written_at = float(body.pop("written_at"))
            member = Member(**body)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            self.log.event("member_unreadable", key=row.key, detail=repr(error))
            self.written.pop(row.key, None)
            return
        self.written[row.key] = WrittenMember(member, written_at, row.revision)

    def update(self) -> None:
        """Work out which VMs are there."""
        oldest = self.now() - STALE_SECONDS
        found = {
            one.member.vm: one.member
            for one in self.written.values()
            if one.written_at >= oldest
        }
        found[self.own.vm] = self.own
        if found != self.members:
            self.log.event("members_read", count=len(found))
            self.members = found

    def now(self) -> float:
        """Return about what the store's clock shows, in seconds."""
        return self.store_seconds() if self.store_seconds else 0.0

    def write_soon(self, delay_seconds: float) -> None:
        """Write the own row."""
        if self.timer is not None:
            self.subscriptions.append(
                self.timer.call_later(delay_seconds, self.write)
            )

    async def renew(self, now: float) -> None:
        """Write the own row anew, and forget those that nobody renews.

        Args:
          now: The timer's time.
        """
        self.update()
        await self.write(now)

    async def write(self, _now: float) -> None:
        """Write the own row.

        Args:
          _now: The timer's time.
        """
        if self.timer is None or not self.image_seen:
            # Without the store's clock a row could be taken for a stale one.
            return
        body = {**attrs.asdict(self.own), "written_at": self.now()}
        value = json.dumps(body).encode()
        present = self.written.get(self.own.vm)
        revision = present.revision if present else 0
        written = await self.store.replace_row(
            MEMBERS_TABLE, self.own.vm, value, revision
        )
        if isinstance(written, RowWritten):
            self.row_read(StoredRow(self.own.vm, value, written.revision))
            return
        if isinstance(written, StoreFailure):
            self.log.event("member_unwritten", detail=written.detail)
        if isinstance(written, RevisionConflict):
            await self.read_own()
        self.write_soon(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def read_own(self) -> None:
        """Read the own row, which somebody else has written."""
        image = await self.store.read_table(MEMBERS_TABLE, self.own.vm)
        if isinstance(image, TableSnapshot):
            for row in image.rows:
                self.row_read(row)
