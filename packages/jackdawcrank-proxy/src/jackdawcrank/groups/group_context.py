"""What the parts of a group's coordination share."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from jackdawcrank.backend.server_control import ServerControl
from jackdawcrank.groups.background_tasks import BackgroundTasks
from jackdawcrank.groups.group_peers import GroupPeers
from jackdawcrank.groups.group_store import GroupStore
from jackdawcrank.timer import Timer
from jackdawcrank_policy.budget import assign_quotas
from jackdawcrank_policy.coordination import (
    RowHistory,
    acting_coordinator,
    takeover_rank,
)
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.values import GroupRow, GroupSpec
from jackdawcrank_wire.events import EventKind

RowCallback = Callable[[GroupRow, int], None]


async def _no_op() -> None:
    """Wait for nothing."""


@attrs.define(eq=False)
class GroupContext:
    """One group as one of its homes sees it.

    Attributes:
      vm: The VM.
      spec: The group's declaration.
      servers: The group's backend servers by name.
      store: The rows of the groups.
      peers: The other VMs.
      leases: The VM's term leases.
      timer: The VM's timer.
      on_event: Records an event on the time line.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
      avoid: Servers that should not become primary, such as leaving ones.
      history: The newest row and how it came to be.
      tasks: Work that runs beside.
      quiesce: Waits for what this VM has under way on the primary.
      blocked: What keeps a promotion from going on; empty for nothing.
      closed: Whether coordination on this VM has ended.
    """

    vm: str
    spec: GroupSpec
    servers: dict[str, ServerControl]
    store: GroupStore
    peers: GroupPeers
    leases: LeaseTable
    timer: Timer
    on_event: Callable[..., object]
    homes: tuple[str, ...]
    live: frozenset[str]
    avoid: frozenset[str] = frozenset()
    history: RowHistory = attrs.field(factory=RowHistory)
    tasks: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    quiesce: Callable[[], Awaitable[None]] = _no_op
    blocked: str = ""
    closed: bool = False

    @property
    def row(self) -> GroupRow | None:
        """Return the newest row that this VM knows."""
        return self.history.row

    @property
    def coordinator(self) -> str:
        """Return the coordinator that the row names; empty for none."""
        return self.row.coordinator if self.row else ""

    @property
    def is_acting(self) -> bool:
        """Return whether this VM keeps the group in order."""
        acting = acting_coordinator(self.coordinator, self.homes, self.live)
        return acting == self.vm

    @property
    def takeover_rank(self) -> int | None:
        """Return how many homes act before this VM; None if it is no home."""
        return takeover_rank(self.vm, self.coordinator, self.homes)

    def next_writers(self) -> tuple[str, ...]:
        """Return the writers, by quota, that the next row should have."""
        return assign_quotas(
            self.row.writers if self.row else (),
            [home for home in self.homes if home in self.live],
            self.history.freed(self.timer.now()),
        )

    def record_event(self, kind: EventKind, **detail: object) -> None:
        """Record an event of the group."""
        term = self.row.term if self.row else 0
        self.on_event(kind, group=self.spec.name, term=term, **detail)

    def block(self, reason: str) -> None:
        """Record once what keeps a promotion from going on."""
        if reason == self.blocked:
            return
        self.blocked = reason
        self.record_event(EventKind.PROMOTION_ABANDONED, reason=reason)

    async def pause(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
