"""Execution of the actions of one promotion."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

from jackdawcrank.backend.server_control import (
    Accepted,
    Refused,
    ServerControl,
)
from jackdawcrank.backend.server_control import (
    Unreachable as ServerUnreachable,
)
from jackdawcrank.groups.background_tasks import BackgroundTasks
from jackdawcrank.groups.group_peers import GroupPeers
from jackdawcrank.groups.group_store import (
    Conflict,
    GroupStore,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.promotion import (
    Abandoned,
    Action,
    Announced,
    AnnounceFailed,
    AnnouncePrimary,
    AskGiveUp,
    ClaimConflict,
    Claimed,
    ClaimTerm,
    Event,
    Fenced,
    FenceRefused,
    FenceServer,
    Finished,
    LeaseGivenUp,
    OpenConflict,
    Opened,
    OpenTerm,
    Probed,
    ProbeServer,
    Promotion,
    PromotionCause,
    SetTimer,
    StoreLost,
    TimerFired,
    Unreachable,
)
from jackdawcrank_policy.values import GroupRow, ServerReport

SERVER_TIMEOUT_SECONDS = 0.5
PROBE_AFTER_FENCE_SECONDS = 0.005
GIVE_UP_TIMEOUT_SECONDS = 0.5
GIVE_UP_ATTEMPTS = 6

RowCallback = Callable[[GroupRow, int], None]


class PromotionRunner:
    """Executes the actions of a `Promotion` and returns events to it.

    Attributes:
      promotion: The state machine that chooses the actions.
    """

    def __init__(
        self,
        promotion: Promotion,
        servers: Mapping[str, ServerControl],
        store: GroupStore,
        peers: GroupPeers,
        leases: LeaseTable,
        timer: Timer,
        tasks: BackgroundTasks,
        on_row: RowCallback,
        on_step: Callable[[Action | Event], None],
        quiesce: Callable[[], Awaitable[None]],
    ) -> None:
        self.promotion = promotion
        self.servers = servers
        self.store = store
        self.peers = peers
        self.leases = leases
        self.timer = timer
        self.tasks = tasks
        self.on_row = on_row
        self.on_step = on_step
        self.quiesce = quiesce
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.timers: dict[str, Subscription] = {}
        self.over = False

    async def run(self) -> Finished | Abandoned:
        """Run the promotion to its end and return how it ended."""
        actions = self.promotion.start(self.timer.now())
        try:
            while True:
                for action in actions:
                    if isinstance(action, Finished | Abandoned):
                        return action
                    self.execute(action)
                event = await self.events.get()
                self.on_step(event)
                actions = self.promotion.on(event, self.timer.now())
        finally:
            self.over = True
            for timer in self.timers.values():
                timer.close()

    def post(self, event: Event) -> None:
        """Queue an event for the promotion unless it has ended."""
        if not self.over:
            self.events.put_nowait(event)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Execute an action as a background task."""
        self.tasks.spawn(coroutine)

    @functools.singledispatchmethod
    def execute(self, action: Action) -> None:
        """Start an action.

        Raises:
          TypeError: If the object is not an action of a promotion.
        """
        raise TypeError(f"not an action of a promotion: {action!r}")

    @execute.register
    def _(self, action: ClaimTerm) -> None:
        self.on_step(action)
        self.spawn(self.claim(action))

    @execute.register
    def _(self, action: OpenTerm) -> None:
        self.on_step(action)
        self.spawn(self.open(action))

    @execute.register
    def _(self, action: FenceServer) -> None:
        self.spawn(self.fence(action))

    @execute.register
    def _(self, action: ProbeServer) -> None:
        self.spawn(self.probe(action))

    @execute.register
    def _(self, action: AskGiveUp) -> None:
        self.spawn(self.ask_give_up(action))

    @execute.register
    def _(self, action: AnnouncePrimary) -> None:
        self.spawn(self.announce(action))

    @execute.register
    def _(self, action: SetTimer) -> None:
        earlier = self.timers.pop(action.timer, None)
        if earlier is not None:
            earlier.close()

        async def fire(now: float) -> None:
            self.post(TimerFired(action.timer))

        delay = max(0.0, action.at - self.timer.now())
        self.timers[action.timer] = self.timer.call_later(delay, fire)

    async def claim(self, action: ClaimTerm) -> None:
        """Claim the term in the store."""
        outcome = await self.store.claim(action.expected, action.row)
        match outcome:
            case Stored(version):
                self.on_row(action.row, version)
                self.post(Claimed(action.row))
            case Conflict(current):
                self.post(ClaimConflict(current))
            case StoreUnavailable():
                self.post(StoreLost())

    async def open(self, action: OpenTerm) -> None:
        """Open the term in the store."""
        outcome = await self.store.claim(action.expected, action.row)
        match outcome:
            case Stored(version):
                self.on_row(action.row, version)
                self.post(Opened(action.row))
            case Conflict(current):
                self.post(OpenConflict(current))
            case StoreUnavailable():
                self.post(StoreLost())

    async def fence(self, action: FenceServer) -> None:
        """Fence a server and read its position after the fence.

        The probe is sent right after the fence to save a round trip. A report
        with the claimed term was made after the fence; with a lower term, the
        server is probed again.
        """
        server = self.servers[action.server]
        report, answer = await asyncio.gather(
            self.probe_after_fence(server),
            server.fence(action.term, SERVER_TIMEOUT_SECONDS),
        )
        if isinstance(answer, Refused):
            self.post(FenceRefused(action.server, answer.detail))
            return
        if isinstance(answer, ServerUnreachable):
            self.post(Unreachable(action.server))
            return
        if isinstance(report, ServerUnreachable) or report.term < action.term:
            report = await server.probe(SERVER_TIMEOUT_SECONDS)
        if isinstance(report, ServerUnreachable):
            self.post(Unreachable(action.server))
        else:
            self.post(Fenced(report))

    async def probe_after_fence(
        self, server: ServerControl
    ) -> ServerReport | ServerUnreachable:
        """Probe a server shortly after its fence is sent."""
        await asyncio.sleep(PROBE_AFTER_FENCE_SECONDS)
        return await server.probe(SERVER_TIMEOUT_SECONDS)

    async def probe(self, action: ProbeServer) -> None:
        """Read a server's position."""
        server = self.servers[action.server]
        report = await server.probe(SERVER_TIMEOUT_SECONDS)
        if isinstance(report, ServerUnreachable):
            self.post(Unreachable(action.server))
        else:
            self.post(Probed(report))

    async def ask_give_up(self, action: AskGiveUp) -> None:
        """Ask a writer to give up its lease, with a limited number of retries.

        This VM's own lease is given up directly.
        """
        group = self.promotion.plan.group
        if action.vm == self.promotion.plan.vm:
            self.leases.give_up(group, action.term - 1)
            if self.promotion.plan.cause is PromotionCause.SWITCH_OVER:
                await self.quiesce()
            self.post(LeaseGivenUp(action.vm))
            return
        for _ in range(GIVE_UP_ATTEMPTS):
            if self.over:
                return
            if await self.peers.give_up_lease(
                action.vm, group, action.term, GIVE_UP_TIMEOUT_SECONDS
            ):
                self.post(LeaseGivenUp(action.vm))
                return
            await asyncio.sleep(GIVE_UP_TIMEOUT_SECONDS / 2)

    async def announce(self, action: AnnouncePrimary) -> None:
        """Announce the open term's primary to a server."""
        answer = await self.servers[action.server].announce_primary(
            action.term, action.offset, action.primary, SERVER_TIMEOUT_SECONDS
        )
        if isinstance(answer, Accepted):
            self.post(Announced(action.server))
        else:
            self.post(AnnounceFailed(action.server))
