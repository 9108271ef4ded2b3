"""In-memory cluster of three servers and three homes on virtual time."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest

from jackdawcrank.backend.server_control import (
    Accepted,
    Refused,
    Unreachable,
)
from jackdawcrank.groups import (
    Conflict,
    GroupAgent,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.timer import TimerService
from jackdawcrank_policy.acknowledgement import Quorum, acknowledge
from jackdawcrank_policy.detection import PrimaryEvidence
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.values import (
    Done,
    GroupPhase,
    GroupRow,
    GroupSpec,
    Position,
    ServerReport,
)
from jackdawcrank_standins.history import ModelServer, run_virtual

GROUP = "ledger"
SERVERS = ("s1", "s2", "s3")
HOMES = ("vm1", "vm2", "vm3")
LATENCY_SECONDS = 0.005
FOLLOW_INTERVAL_SECONDS = 1.0
SPEC = GroupSpec(GROUP)


@attrs.define(eq=False)
class FakeServer:
    """One server from the view of one home."""

    vm: str
    model: ModelServer
    cluster: "SimulatedCluster"
    name: str = ""

    async def ask(self, act: Callable[[], Any], timeout_seconds: float) -> Any:
        await asyncio.sleep(LATENCY_SECONDS)
        if self.name in self.cluster.refusing:
            return Unreachable("connection refused")
        if not self.cluster.reaches(self.vm, self.name):
            await asyncio.sleep(timeout_seconds)
            return Unreachable("no answer in time")
        answer = act()
        if answer is True:
            return Accepted()
        return Refused(1105, "refused") if answer is False else answer

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        answer = await self.ask(self.model.report, timeout_seconds)
        assert isinstance(answer, ServerReport | Unreachable)
        return answer

    async def fence(
        self, term: int, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        answer = await self.ask(lambda: self.model.fence(term), timeout_seconds)
        assert isinstance(answer, Accepted | Refused | Unreachable)
        return answer

    async def announce_primary(
        self, term: int, offset: int, primary: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        answer = await self.ask(
            lambda: self.model.announce(term, offset, primary),
            timeout_seconds,
        )
        assert isinstance(answer, Accepted | Refused | Unreachable)
        return answer

    async def confirm(
        self, position: Position, timeout_seconds: float
    ) -> int | None:
        return self.model.confirm(position)


@attrs.define(eq=False)
class FakeStore:
    """A store of the group's row that can be made unavailable."""

    row: GroupRow | None = None
    version: int = 0
    down: bool = False
    prepared: int = 0
    openings: list[GroupRow] = attrs.field(factory=list)
    opened_at: list[float] = attrs.field(factory=list)
    claims: list[tuple[int, asyncio.Event]] = attrs.field(factory=list)

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        await asyncio.sleep(LATENCY_SECONDS)
        if self.down:
            return StoreUnavailable("down")
        if self.row != expected:
            return Conflict(self.row)
        self.row = new
        self.version += 1
        for term, claimed in self.claims:
            if new.term >= term:
                claimed.set()
        if new.phase is GroupPhase.ACTIVE:
            self.openings.append(new)
            self.opened_at.append(asyncio.get_running_loop().time())
        return Stored(self.version)

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        return StoreUnavailable("down") if self.down else self.row


@attrs.define(eq=False)
class SimulatedCluster:
    """The agents of the homes and their shared state.

    A home cannot reach a server if the pair is in `broken_links`. VMs and
    servers reach each other only within a network partition, which
    `partition_of` gives by name; the store and all others are in partition 0.
    """

    store: FakeStore = attrs.field(factory=FakeStore)
    broken_links: set[tuple[str, str]] = attrs.field(factory=set)
    partition_of: dict[str, int] = attrs.field(factory=dict)
    refusing: set[str] = attrs.field(factory=set)
    stopped: set[str] = attrs.field(factory=set)
    events: list[tuple[str, str, dict[str, object]]] = attrs.field(factory=list)
    agents: dict[str, GroupAgent] = attrs.field(factory=dict)
    leases: dict[str, LeaseTable] = attrs.field(factory=dict)
    timers: dict[str, TimerService] = attrs.field(factory=dict)
    servers: dict[str, ModelServer] = attrs.field(
        factory=lambda: {name: ModelServer(name) for name in SERVERS}
    )

    async def start(self, spec: GroupSpec) -> None:
        for vm in HOMES:
            self.add_home(vm, spec)
        for vm in HOMES:
            await self.timers[vm].start()
            await self.agents[vm].start()
            self.timers[vm].subscribe(
                "head",
                FOLLOW_INTERVAL_SECONDS,
                functools.partial(self.follow, vm),
            )
        await asyncio.sleep(3.0)

    async def follow(self, vm: str, now: float) -> None:
        """Read the row and renew leases, as the change log's follower does."""
        if self.partition_of.get(vm):
            return
        if self.store.row is not None and not self.store.down:
            self.agents[vm].row_changed(self.store.row, self.store.version)
            self.leases[vm].renew(now, self.store.version)

    def add_home(self, vm: str, spec: GroupSpec) -> None:
        self.timers[vm] = TimerService()
        self.leases[vm] = LeaseTable(vm)
        self.agents[vm] = GroupAgent(
            vm,
            spec,
            {
                name: FakeServer(vm, model, self, name)
                for name, model in self.servers.items()
            },
            HomeStoreClient(self, vm),
            FakePeers(self, vm),
            self.leases[vm],
            lambda kind, **detail: self.events.append((vm, kind, detail)),
            self.timers[vm],
            HOMES,
        )

    async def stop(self, vm: str) -> None:
        """Stop a home as a crash does."""
        self.stopped.add(vm)
        await self.agents[vm].close()
        await self.timers[vm].close()

    async def close(self) -> None:
        for vm in HOMES:
            await self.stop(vm)

    def cut_off(self, server: str, *homes: str) -> None:
        self.broken_links.update((home, server) for home in homes or HOMES)

    async def claimed(self, term: int) -> None:
        """Wait until a term or a later one is claimed in the store."""
        claimed = asyncio.Event()
        self.store.claims.append((term, claimed))
        await claimed.wait()

    def reaches(self, source: str, target: str) -> bool:
        if target in self.refusing or (source, target) in self.broken_links:
            return False
        return self.partition_of.get(source, 0) == self.partition_of.get(
            target, 0
        )

    def replicate(self, name: str) -> None:
        """Make a replica pull from the primary that was announced to it."""
        server = self.servers[name]
        leader = self.servers.get(server.primary)
        if leader is not None and self.reaches(name, leader.name):
            server.pull(leader)

    def write(self, vm: str, write_id: str) -> int | None:
        """Write through a home and return the term that acknowledged it.

        Returns None if the write is not acknowledged.
        """
        row = self.leases[vm].rows.get(GROUP)
        if row is None or not self.reaches(vm, row.primary):
            return None
        position = self.servers[row.primary].commit(write_id)
        if position is None or position.term != row.term:
            return None
        replicas = [
            name
            for name in SERVERS
            if name != row.primary and self.reaches(vm, name)
        ]
        for name in replicas[:1]:
            self.replicate(name)
        verdict = acknowledge(
            position,
            row.term,
            self.leases[vm].state(GROUP, row.term, self.timers[vm].now()),
            Quorum(len(SERVERS)),
            self.agents[vm].context.spec.confirm_writes,
            tuple(replicas),
            {name: self.servers[name].confirm(position) for name in replicas},
        )
        return row.term if isinstance(verdict, Done) else None

    def events_named(self, kind: str) -> list[dict[str, object]]:
        return [detail for _, one, detail in self.events if one == kind]

    @property
    def row(self) -> GroupRow:
        assert self.store.row is not None
        return self.store.row


@attrs.define(eq=False)
class FakePeers:
    """Requests of one home to the agents of the others."""

    cluster: SimulatedCluster
    vm: str

    async def find(self, vm: str, timeout_seconds: float) -> GroupAgent | None:
        await asyncio.sleep(LATENCY_SECONDS)
        stopped = {vm, self.vm} & self.cluster.stopped
        if stopped or not self.cluster.reaches(self.vm, vm):
            await asyncio.sleep(timeout_seconds)
            return None
        return self.cluster.agents[vm]

    async def give_up_lease(
        self, vm: str, group: str, term: int, timeout_seconds: float
    ) -> bool:
        agent = await self.find(vm, timeout_seconds)
        return agent is not None and agent.give_up_requested(term)

    async def ask_suspicion(
        self, vm: str, group: str, timeout_seconds: float
    ) -> PrimaryEvidence | None:
        agent = await self.find(vm, timeout_seconds)
        return await agent.suspicion_asked() if agent else None

    async def announce_row(
        self, vm: str, row: GroupRow, version: int, timeout_seconds: float
    ) -> bool:
        agent = await self.find(vm, timeout_seconds)
        if agent is not None:
            agent.row_announced(row, version)
        return agent is not None


@attrs.define(eq=False)
class HomeStoreClient:
    """Access of one home to the store."""

    cluster: SimulatedCluster
    vm: str

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        if self.cluster.partition_of.get(self.vm):
            return StoreUnavailable("no answer in time")
        return await self.cluster.store.claim(expected, new)

    async def prepare(self, group: str) -> None:
        self.cluster.store.prepared += 1

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        if self.cluster.partition_of.get(self.vm):
            return StoreUnavailable("no answer in time")
        return await self.cluster.store.read(group)


Scenario = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]


@pytest.fixture
def run_scenario() -> Callable[..., SimulatedCluster]:
    """Return a function that starts a cluster and runs a scenario on it."""

    def run(scenario: Scenario, spec: GroupSpec = SPEC) -> SimulatedCluster:
        cluster = SimulatedCluster()

        async def run_to_end() -> None:
            await cluster.start(spec)
            await scenario(cluster)
            await cluster.close()

        run_virtual(run_to_end())
        return cluster

    return run
