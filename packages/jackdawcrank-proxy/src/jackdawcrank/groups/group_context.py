"""State that all parts of a group's coordination share."""

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
    """Return immediately."""


@attrs.define(eq=False)
class GroupContext:
    """One group from the view of one of its homes.

    Attributes:
      vm: The name of this VM.
      spec: The group's declared configuration.
      servers: The group's backend servers by name.
      store: The store of group rows.
      peers: Requests to the other VMs.
      leases: The term leases of this VM.
      timer: The timer of this VM.
      on_event: Records an event on the timeline.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
      avoid: Servers that should not become primary, such as ones that leave.
      history: The newest row and the changes that led to it.
      tasks: Background tasks of the coordination.
      quiesce: Waits until this VM has no statement running on the primary.
      blocked: Why a promotion cannot proceed; empty if nothing blocks it.
      closed: Whether coordination on this VM has stopped.
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
        """Return the coordinator named in the row, or an empty string."""
        return self.row.coordinator if self.row else ""

    @property
    def is_acting(self) -> bool:
        """Return whether this VM is the acting coordinator."""
        acting = acting_coordinator(self.coordinator, self.homes, self.live)
        return acting == self.vm

    @property
    def takeover_rank(self) -> int | None:
        """Return the number of homes that take over before this VM.

        None if this VM is not a home.
        """
        return takeover_rank(self.vm, self.coordinator, self.homes)

    def next_writers(self) -> tuple[str, ...]:
        """Return the writers of the next row, with one quota per VM."""
        return assign_quotas(
            self.row.writers if self.row else (),
            [home for home in self.homes if home in self.live],
            self.history.freed(self.timer.now()),
        )

    def record_event(self, kind: EventKind, **detail: object) -> None:
        """Record an event with the group's name and current term."""
        term = self.row.term if self.row else 0
        self.on_event(kind, group=self.spec.name, term=term, **detail)

    def block(self, reason: str) -> None:
        """Record why a promotion cannot proceed; repeats are ignored."""
        if reason == self.blocked:
            return
        self.blocked = reason
        self.record_event(EventKind.PROMOTION_ABANDONED, reason=reason)

    async def pause(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await asyncio.sleep(seconds)
