"""Tracks the cluster membership."""

import random
import uuid
from collections.abc import Callable

from jackdawcrank.membership import intervals
from jackdawcrank.membership.lease_row import (
    decode_lease_row,
    encode_lease_row,
)
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.outcome import Absent, Row, StoreUnavailable
from jackdawcrank.store.transaction import RowDelete, RowPut, Transaction
from jackdawcrank.timer import Subscription, TickCallback, Timer
from jackdawcrank_policy.membership import (
    LeaseReading,
    Membership,
    MembershipView,
)
from jackdawcrank_policy.values import Vm

OnViewChange = Callable[[MembershipView], None]
TABLE = "vms"


class MembershipTracker:
    """Renews this VM's lease row and collects evidence on other VMs.

    Attributes:
      membership: The evidence.
      view: The newest view.
      boot: The id of this process.
      counter: The number of renewals of the lease row.
      page_cursor: The key after which the next page of lease rows starts.
      next_list_read_at: The earliest time of the next read of the VM list.
      next_page_read_at: The earliest time of the next read of a page of lease
        rows.
    """

    def __init__(
        self,
        store: StoreClient,
        timer: Timer,
        own: Vm,
        boot: str,
        on_view_change: OnViewChange = lambda view: None,
        rng: random.Random | None = None,
    ) -> None:
        """Initialize a tracker; `start` activates it.

        Args:
          store: The store.
          timer: The timer and source of the monotonic time.
          own: This VM.
          boot: The id of this process.
          on_view_change: Called with each view that differs from the one before.
          rng: The random generator for the jitter and for sampling suspects.
        """
        self.store = store
        self.timer = timer
        self.own = own
        self.boot = boot
        self.on_view_change = on_view_change
        self.rng = rng or random.Random()
        self.membership = Membership(own)
        self.view = MembershipView((own.name,), (), {own.name: own})
        self.counter = 0
        self.page_cursor = ""
        self.next_list_read_at = float("-inf")
        self.next_page_read_at = float("-inf")
        self.subscriptions: list[Subscription] = []

    async def start(self) -> None:
        """Write the lease row, read other VMs' rows and start tracking."""
        await self.renew(self.timer.now())
        await self.read_list(self.timer.now())
        await self.read_page(self.timer.now())
        self.subscribe("vm lease", intervals.LEASE_RENEW_SECONDS, self.renew)
        self.subscribe("vm list", intervals.CHECK_SECONDS, self.read_list)
        self.subscribe("vm page", intervals.CHECK_SECONDS, self.read_page)
        self.subscribe(
            "vm suspects", intervals.SUSPECT_READ_SECONDS, self.read_suspects
        )
        self.subscribe("vm view", intervals.EVALUATE_SECONDS, self.evaluate)
        await self.evaluate(self.timer.now())

    async def close(self) -> None:
        """Stop tracking and remove the lease row."""
        for subscription in self.subscriptions:
            subscription.close()
        removal = Transaction(deletes=(RowDelete(TABLE, self.own.name),))
        await self.store.transact(removal)

    def subscribe(
        self, name: str, interval_seconds: float, callback: TickCallback
    ) -> None:
        """Subscribe a callback to the timer with jitter."""
        subscription = self.timer.subscribe(
            name,
            interval_seconds,
            callback,
            intervals.JITTER_FRACTION,
            self.rng,
        )
        self.subscriptions.append(subscription)

    def heard(self, name: str, vm: Vm | None = None, boot: str = "") -> None:
        """Record that a stream received a message from a VM.

        Args:
          name: The VM.
          vm: Its address, if known from the stream.
          boot: The id of its process, if known from the stream.
        """
        self.membership.record_message(name, vm, self.timer.now(), boot)

    def stream_failed(self, name: str) -> None:
        """Record that a stream to a VM broke or could not be opened."""
        self.membership.record_stream_failure(name, self.timer.now())

    def announced_leaving(self, name: str) -> None:
        """Record that a VM announced that it is leaving."""
        self.membership.record_leaving(name)
        self.publish(self.timer.now())

    async def leave(self) -> None:
        """Announce that this VM is leaving."""
        self.membership.leaving = True
        self.publish(self.timer.now())
        await self.renew(self.timer.now())

    async def renew(self, now: float) -> None:
        """Renew the lease row."""
        self.counter += 1
        reading = LeaseReading(
            self.own.name,
            self.boot,
            self.counter,
            intervals.LEASE_SECONDS,
            self.membership.leaving,
        )
        value = encode_lease_row(reading, self.own, uuid.uuid4().hex)
        put = RowPut(TABLE, self.own.name, value)
        await self.store.transact(Transaction(puts=(put,)))

    async def read_list(self, now: float) -> None:
        """Read the platform's VM list if it is due."""
        if now < self.next_list_read_at:
            return
        vms = await self.store.list_vms()
        if isinstance(vms, StoreUnavailable):
            return
        self.membership.record_vm_list(vms)
        interval = intervals.list_interval_seconds(len(vms))
        self.next_list_read_at = now + self.with_jitter(interval)

    async def read_page(self, now: float) -> None:
        """Read the next page of lease rows if due; restart after the last."""
        if now < self.next_page_read_at:
            return
        page = await self.store.scan(
            TABLE, self.page_cursor, intervals.PAGE_ROWS
        )
        if isinstance(page, StoreUnavailable):
            return
        for row in page.rows:
            self.record_lease(row, now)
        self.page_cursor = page.rows[-1].key if page.more else ""
        interval = intervals.page_interval_seconds(len(page.rows))
        self.next_page_read_at = now + self.with_jitter(interval)
        self.membership.remove_silent(now)

    async def read_suspects(self, now: float) -> None:
        """Read the lease rows of a random sample of suspected VMs."""
        suspects = self.membership.suspects(now)
        count = min(len(suspects), intervals.SUSPECTS_PER_READ)
        for name in self.rng.sample(suspects, count):
            sent_at = self.timer.now()
            row = await self.store.get(TABLE, name)
            if isinstance(row, Row):
                self.record_lease(row, sent_at)
            elif isinstance(row, Absent):
                self.membership.record_missing_lease_row(name)

    def with_jitter(self, interval_seconds: float) -> float:
        """Return an interval with jitter applied."""
        jitter = intervals.JITTER_FRACTION
        return interval_seconds * (1 + self.rng.uniform(-jitter, jitter))

    def record_lease(self, row: Row, now: float) -> None:
        """Record another VM's lease row as evidence."""
        lease = decode_lease_row(row.key, row.value)
        if lease is not None and row.key != self.own.name:
            self.membership.record_lease_row(lease.reading, lease.vm, now)

    async def evaluate(self, now: float) -> None:
        """Recompute the view."""
        self.publish(now)

    def publish(self, now: float) -> None:
        """Recompute the view and call `on_view_change` if it differs."""
        view = self.membership.view(now)
        if view != self.view:
            self.view = view
            self.on_view_change(view)
