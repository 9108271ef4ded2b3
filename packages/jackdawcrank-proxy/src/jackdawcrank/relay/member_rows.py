"""The VMs' rows in the store: how proxies find each other."""

import json
import random

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.seams.metadata_store import (
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableImage,
)
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.homes import Member

MEMBERS_TABLE = "members"
# Rows are read this long after the start, when VMs that started together have
# written theirs.
EARLY_READS_SECONDS = (1.5, 5.0)
# Homes that are gone are noticed by their streams; this bounds how long a new
# VM is not considered, at a call a VM.
READ_SECONDS = 30.0
READ_JITTER = 0.3
# A VM's row is renewed in this time; one that is three times as old belongs to
# a VM that is gone.
RENEW_SECONDS = 60.0
STALE_SECONDS = 3 * RENEW_SECONDS


class MemberRows:
    """Writes this VM's row and reads everybody's.

    Attributes:
      own: This VM.
      members: All VMs with a fresh row, by name.
      known: Whether the rows were read at least once.
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
        self.subscriptions: list[Subscription] = []

    async def start(self, timer: Timer) -> None:
        """Begin to read and to renew.

        Args:
          timer: Calls back.
        """
        self.subscriptions = [
            timer.call_later(delay, self.read)
            for delay in (0.0, *EARLY_READS_SECONDS)
        ]
        self.subscriptions.append(
            timer.subscribe(
                "members", READ_SECONDS, self.read, READ_JITTER, self.rng
            )
        )

    async def close(self) -> None:
        """Stop reading."""
        for subscription in self.subscriptions:
            subscription.close()

    async def read(self, _now: float) -> None:
        """Read the rows, and renew the own one if it is due.

        Args:
          _now: The timer's time.
        """
        image = await self.store.read_table(MEMBERS_TABLE)
        if isinstance(image, StoreFailure):
            self.log.event("members_unread", detail=image.detail)
            return
        found: dict[str, Member] = {self.own.vm: self.own}
        present: tuple[StoredRow, float] | None = None
        for row in image.rows:
            read = self.decode(row)
            if read is None:
                continue
            member, written_at = read
            if member.vm == self.own.vm:
                present = (row, written_at if member == self.own else 0.0)
            elif image.store_seconds - written_at <= STALE_SECONDS:
                found[member.vm] = member
        if found != self.members or not self.known:
            self.log.event("members_read", count=len(found))
        self.members = found
        self.known = True
        await self.renew(image, present)

    async def renew(
        self, image: TableImage, present: tuple[StoredRow, float] | None
    ) -> None:
        """Write the own row if it is missing, wrong or old."""
        now = image.store_seconds
        if present is not None and 0 <= now - present[1] < RENEW_SECONDS:
            return
        body = {**attrs.asdict(self.own), "written_at": now}
        revision = present[0].revision if present else 0
        await self.store.replace_row(
            MEMBERS_TABLE, self.own.vm, json.dumps(body).encode(), revision
        )

    def decode(self, row: StoredRow) -> tuple[Member, float] | None:
        """Return the VM in a row and when it was written, or None."""
        try:
            body = json.loads(row.value)
            written_at = float(body.pop("written_at"))
            return Member(**body), written_at
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            self.log.event("member_unreadable", key=row.key, detail=repr(error))
            return None
