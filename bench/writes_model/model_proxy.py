"""A proxy of the model: its leases, its agent and its writes."""

import asyncio
import random
from collections.abc import Callable, Mapping

import attrs

from jackdawcrank.groups import GroupAgent
from jackdawcrank.timer import Subscription, TimerService
from jackdawcrank_policy.acknowledgement import (
    AwaitTerm,
    NeedConfirmation,
    Quorum,
    acknowledge,
    resolve_write,
)
from jackdawcrank_policy.lease import LeaseState, LeaseTable
from jackdawcrank_policy.values import (
    Done,
    GroupPhase,
    GroupRow,
    GroupSpec,
    Position,
    Unknown,
)
from jackdawcrank_standins.history import CallerOutcome, ModelServer
from writes_model.model_control import ModelControl
from writes_model.model_peers import ModelPeers
from writes_model.model_store import ModelStore
from writes_model.network import Network

HEAD_INTERVAL_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.0
CONFIRM_TIMEOUT_SECONDS = 0.5
SETTLE_SECONDS = 8.0
ROW_CHECK_SECONDS = 0.05

Asked = dict[str, asyncio.Task[int | None]]


@attrs.frozen
class WriteResult:
    """What a caller is told of one attempt to write.

    Attributes:
      outcome: What became of it.
      term: The term that acknowledged it; 0 for none.
    """

    outcome: CallerOutcome
    term: int = 0


NOT_RUN = WriteResult(CallerOutcome.NOT_RUN)
UNKNOWN = WriteResult(CallerOutcome.UNKNOWN)


class ModelProxy:
    """The home of a group on one VM."""

    def __init__(
        self,
        vm: str,
        spec: GroupSpec,
        homes: tuple[str, ...],
        servers: Mapping[str, ModelServer],
        store: ModelStore,
        peers: ModelPeers,
        network: Network,
        on_event: Callable[..., object],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.spec = spec
        self.servers = servers
        self.store = store
        self.network = network
        self.rng = rng
        self.timer = TimerService()
        self.leases = LeaseTable(vm)
        self.applied = 0
        self.head_subscription: Subscription | None = None
        self.controls = {
            name: ModelControl(vm, server, network)
            for name, server in servers.items()
        }
        self.agent = GroupAgent(
            vm,
            spec,
            self.controls,
            store,
            peers,
            self.leases,
            on_event,
            self.timer,
            homes,
            rng=rng,
        )

    async def start(self) -> None:
        """Begin to follow the change log and to watch the group."""
        await self.timer.start()
        await self.agent.start()
        self.head_subscription = self.timer.subscribe(
            "head",
            HEAD_INTERVAL_SECONDS,
            self.follow_head,
            jitter_fraction=0.1,
            rng=self.rng,
        )

    async def close(self) -> None:
        """Stop."""
        await self.agent.close()
        await self.timer.close()

    async def follow_head(self, now: float) -> None:
        """Apply the newest changes and renew the leases."""
        sent_at = self.timer.now()
        version = await self.store.read_version()
        if version is None:
            return
        if version > self.applied:
            changes = await self.store.read_changes(self.applied, version)
            if changes is None:
                return
            for number, row in changes:
                self.agent.row_changed(row, number)
            self.applied = version
        self.leases.renew(sent_at, version)

    async def write(self, write_id: str) -> WriteResult:
        """Write once and tell what became of it.

        Args:
          write_id: The request id, by which the server finds a repeat.
        """
        row = self.leases.rows.get(self.spec.name)
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return NOT_RUN
        if self.state(row.term) is LeaseState.CLOSED:
            return NOT_RUN
        server = self.servers[row.primary]
        answer = await self.network.request(
            self.vm,
            server.name,
            lambda: (server.commit(write_id),),
            WRITE_TIMEOUT_SECONDS,
        )
        if answer is None:
            return UNKNOWN
        if answer[0] is None:
            return NOT_RUN
        return await self.acknowledge(answer[0], row.term)

    async def acknowledge(self, position: Position, term: int) -> WriteResult:
        """Return what the caller may be told of a committed write.

        Args:
          position: The write's position.
          term: The term of the primary that committed it.
        """
        deadline = self.timer.now() + SETTLE_SECONDS
        while self.timer.now() < deadline:
            verdict = await self.confirm(position, term)
            if isinstance(verdict, Done):
                return WriteResult(CallerOutcome.DONE, term)
            if not isinstance(verdict, AwaitTerm):
                return UNKNOWN
            row = await self.row_above(verdict.closed_term, deadline)
            if row is None:
                return UNKNOWN
            if not isinstance(resolve_write(position, row.branch), Done):
                return NOT_RUN
            term = row.term
        return UNKNOWN

    async def row_above(self, term: int, deadline: float) -> GroupRow | None:
        """Wait for an open term above one."""
        while self.timer.now() < deadline:
            row = self.leases.rows[self.spec.name]
            if row.phase is GroupPhase.ACTIVE and row.term > term:
                return row
            await asyncio.sleep(ROW_CHECK_SECONDS)
        return None

    async def confirm(
        self, position: Position, term: int
    ) -> Done | AwaitTerm | Unknown:
        """Return whether a write may be acknowledged under a term."""
        replies: dict[str, int | None] = {}
        row = self.leases.rows[self.spec.name]
        replicas = tuple(name for name in self.servers if name != row.primary)
        asked: Asked = {}
        try:
            while True:
                verdict = acknowledge(
                    position,
                    term,
                    self.state(term),
                    Quorum(len(self.servers)),
                    self.spec.confirm_writes,
                    replicas,
                    replies,
                )
                if not isinstance(verdict, NeedConfirmation):
                    return verdict
                await self.ask(verdict.servers, position, asked, replies)
        finally:
            for task in asked.values():
                task.cancel()

    async def ask(
        self,
        servers: tuple[str, ...],
        position: Position,
        asked: Asked,
        replies: dict[str, int | None],
    ) -> None:
        """Ask servers to confirm a position until one has answered."""
        for name in servers:
            if name not in asked:
                confirm = self.controls[name].confirm(
                    position, CONFIRM_TIMEOUT_SECONDS
                )
                asked[name] = asyncio.create_task(confirm)
        await asyncio.wait(
            [asked[name] for name in servers],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for name in servers:
            if asked[name].done():
                replies[name] = asked[name].result()

    def state(self, term: int) -> LeaseState:
        """Return the state of the lease on a term now."""
        return self.leases.state(self.spec.name, term, self.timer.now())
