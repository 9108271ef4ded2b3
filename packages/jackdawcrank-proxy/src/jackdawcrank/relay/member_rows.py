"""Member discovery through one row per VM in the store."""

import json
import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.seams.malformed import MALFORMED
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
# Time in which VMs that start together have written their rows.
DISCOVERY_SECONDS = 1.5
# On the first start, the rows are written within this time, so that hundreds of
# VMs do not write at the same moment.
FIRST_WRITE_SECONDS = 0.5
# Time for reading the table once.
READ_TIMEOUT_SECONDS = 1.0
# Interval at which a VM renews its row. A row that is older than three
# intervals is stale, and its VM is no longer a member.
RENEW_SECONDS = 60.0
RENEW_JITTER = 0.2
STALE_SECONDS = 3 * RENEW_SECONDS
# Mean delay before a failed write is retried. About a hundred VMs may retry at
# once, so the delay is randomized.
RETRY_SECONDS = 3.0
# After the store was restored, VMs whose rows it lost write them again at a
# random time within this, so that 700 VMs do not write within a second.
REWRITE_SPREAD_SECONDS = 10.0
MAX_PORT = 65_535


@attrs.frozen
class MemberRow:
    """The row of a VM.

    Attributes:
      member: The VM.
      written_at: When the row was written, in seconds on the store's clock.
      revision: The revision of the row in the store.
    """

    member: Member
    written_at: float
    revision: int


class MemberRows:
    """Writes this VM's row and reads the rows of all VMs.

    Attributes:
      own: This VM.
      members: All VMs with a fresh row, by name.
      first_start: Whether all VMs start for the first time, so that none has
        a row yet. Each then writes its row before it reads the table.
      complete: Whether the rows of all running VMs are expected to be known.
      on_complete: Called when the time for discovery has passed.
      first_write_scheduled: Whether the row of a first start was scheduled.
      image_loaded: Whether the whole table was read at least once.
      member_rows: All rows by VM, including stale ones.
      epoch: The store's epoch to which the revisions of the rows belong.
      store_seconds: Returns the time on the store's clock in seconds; None
        if it is not known.
    """

    def __init__(
        self,
        store: MetadataStore,
        own: Member,
        log: DecisionLog,
        rng: random.Random,
        first_start: bool = False,
    ) -> None:
        self.store = store
        self.first_start = first_start
        self.own = own
        self.log = log
        self.rng = rng
        self.members: dict[str, Member] = {own.vm: own}
        self.complete = False
        self.on_complete: Callable[[], None] = lambda: None
        self.first_write_scheduled = False
        self.image_loaded = False
        self.member_rows: dict[str, MemberRow] = {}
        self.epoch = 0
        self.store_seconds: Callable[[], float | None] = lambda: None
        self.timer: Timer | None = None
        self.subscriptions: list[Subscription] = []

    async def start(self, timer: Timer) -> None:
        """Start to renew this VM's row.

        Args:
          timer: Schedules the renewals.
        """
        self.timer = timer
        # On the first start, the table is read after this time only.
        fallback = READ_TIMEOUT_SECONDS if self.first_start else 0.0
        self.subscriptions = [
            timer.call_later(DISCOVERY_SECONDS + fallback, self.mark_complete),
            timer.subscribe(
                "members", RENEW_SECONDS, self.renew, RENEW_JITTER, self.rng
            ),
        ]

    async def close(self) -> None:
        """Stop renewing."""
        for subscription in self.subscriptions:
            subscription.close()

    async def mark_complete(self, _now: float) -> None:
        """Assume that all running VMs have written their rows."""
        self.complete = True
        self.on_complete()

    def apply_image(self, image: TableSnapshot) -> None:
        """Apply an image of the table; write this VM's row if outdated.

        Args:
          image: The whole table.
        """
        if self.image_loaded and image.epoch > self.epoch:
            self.apply_restored_image(image)
            return
        self.image_loaded = True
        self.epoch = image.epoch
        self.member_rows = {}
        for row in image.rows:
            self.apply_row(row)
        oldest = image.store_seconds - DISCOVERY_SECONDS
        others = [one for one in self.member_rows if one != self.own.vm]
        if self.first_start or any(
            self.member_rows[one].written_at < oldest for one in others
        ):
            # Either all VMs have had time to write their rows, or another VM
            # was already running, so the VMs are not all starting now.
            self.complete = True
        self.refresh_members()
        own_row = self.member_rows.get(self.own.vm)
        if own_row is None or own_row.member != self.own:
            self.schedule_write(0.0)

    def homes_known(self) -> bool:
        """Return whether it is known which VMs share the groups' homes."""
        return self.complete or (self.image_loaded and not self.first_start)

    def write_first_row(self) -> None:
        """Write this VM's row before the table was read."""
        if self.first_start and not self.first_write_scheduled:
            self.first_write_scheduled = True
            self.schedule_write(self.rng.uniform(0.0, FIRST_WRITE_SECONDS))

    def apply_restored_image(self, image: TableSnapshot) -> None:
        """Apply an image of a store that was restored from an older copy.

        VMs whose rows it lost stay members until the rows are stale.

        Args:
          image: The whole table.
        """
        self.epoch = image.epoch
        known = self.member_rows
        self.member_rows = {}
        for row in image.rows:
            self.apply_row(row)
        own_row = self.member_rows.get(self.own.vm)
        if own_row is None or own_row.member != self.own:
            self.schedule_write(self.rng.uniform(0.0, REWRITE_SPREAD_SECONDS))
        for vm, kept in known.items():
            stored = self.member_rows.get(vm)
            if stored is None or stored.written_at < kept.written_at:
                # Revision 0 requires that the row does not exist.
                revision = stored.revision if stored else 0
                self.member_rows[vm] = attrs.evolve(kept, revision=revision)
        self.refresh_members()

    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changes of the table.

        Args:
          changes: The written and removed rows.
        """
        for key in changes.removed:
            self.member_rows.pop(key, None)
        for row in changes.rows:
            self.apply_row(row)
        self.refresh_members()

    def apply_row(self, row: StoredRow) -> None:
        """Store one row; drop the VM's row if it is unreadable."""
        try:
            body = json.loads(row.value)
            written_at = float(body.pop("written_at"))
            member = read_member(body)
        except MALFORMED as error:
            self.log.event("member_unreadable", key=row.key, detail=repr(error))
            self.member_rows.pop(row.key, None)
            return
        self.member_rows[row.key] = MemberRow(member, written_at, row.revision)

    def refresh_members(self) -> None:
        """Compute the members from the fresh rows."""
        oldest = self.now() - STALE_SECONDS
        found = {
            one.member.vm: one.member
            for one in self.member_rows.values()
            if one.written_at >= oldest
        }
        found[self.own.vm] = self.own
        if found != self.members:
            self.log.event("members_read", count=len(found))
            self.members = found

    def now(self) -> float:
        """Return the approximate time on the store's clock, in seconds."""
        return self.store_seconds() or 0.0

    def schedule_write(self, delay_seconds: float) -> None:
        """Write this VM's row after a delay."""
        if self.timer is not None:
            self.subscriptions.append(
                self.timer.call_later(delay_seconds, self.write)
            )

    async def renew(self, now: float) -> None:
        """Renew this VM's row and drop members with stale rows.

        Args:
          now: The timer's time in seconds.
        """
        self.refresh_members()
        await self.write(now)

    async def write(self, _now: float) -> None:
        """Write this VM's row; schedule a retry if that fails.

        Args:
          _now: The timer's time in seconds; not used.
        """
        if self.timer is None or self.store_seconds() is None:
            # Without the store's clock, the row could appear stale.
            return
        body = {**attrs.asdict(self.own), "written_at": self.now()}
        value = json.dumps(body).encode()
        own_row = self.member_rows.get(self.own.vm)
        revision = own_row.revision if own_row else 0
        written = await self.store.replace_row(
            MEMBERS_TABLE, self.own.vm, value, revision
        )
        if isinstance(written, RowWritten):
            self.apply_row(StoredRow(self.own.vm, value, written.revision))
            return
        if isinstance(written, StoreFailure):
            self.log.event("member_unwritten", detail=written.detail)
        if isinstance(written, RevisionConflict):
            await self.read_own_row()
        self.schedule_write(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def read_own_row(self) -> None:
        """Read this VM's row after a conflicting write."""
        image = await self.store.read_table(MEMBERS_TABLE, self.own.vm)
        if isinstance(image, TableSnapshot):
            for row in image.rows:
                self.apply_row(row)


def read_member(body: dict[str, Any]) -> Member:
    """Return the VM that a row describes.

    Args:
      body: The row's fields, as parsed JSON.

    Raises:
      TypeError: A field is missing, unknown or of the wrong type.
      ValueError: A number is not finite, or the port is not one.
    """
    member = Member(**body)
    texts = (member.vm, member.host, member.data_center, member.region)
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("a name is not a string")
    if not math.isfinite(member.capacity):
        raise ValueError("the capacity is not finite")
    if not 0 < member.port <= MAX_PORT or member.port != int(member.port):
        raise ValueError(f"{member.port!r} is not a port")
    return member
