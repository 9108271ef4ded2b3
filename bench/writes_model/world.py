"""One run of the model: a group, its homes and its callers."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import attrs

from jackdawcrank_policy.values import GroupPhase, GroupSpec
from jackdawcrank_standins.history import (
    CallerOutcome,
    CallerRecord,
    History,
    ModelServer,
)
from jackdawcrank_wire.events import EventKind
from writes_model.deployment import REGIONS, Deployment
from writes_model.model_peers import ModelPeers
from writes_model.model_proxy import ModelProxy
from writes_model.model_store import STORE, ModelStore, StoredRows
from writes_model.network import Network

GROUP = "ledger"
WRITE_INTERVAL_SECONDS = 0.03
FINE_WRITE_INTERVAL_SECONDS = 0.01
CALLER_TRIES = 6
CALLER_PAUSE_SECONDS = (0.05, 0.6)
PULL_INTERVAL_SECONDS = 0.01
STORE_SERVICE_SECONDS = 0.004


@attrs.frozen
class Ack:
    """An acknowledged write.

    Attributes:
      at: When, in seconds.
      vm: The home that acknowledged it.
      term: The term.
    """

    at: float
    vm: str
    term: int


@attrs.frozen
class Event:
    """An event that a VM recorded.

    Attributes:
      at: When, in seconds.
      vm: The VM.
      kind: What happened.
      detail: Further facts.
    """

    at: float
    vm: str
    kind: EventKind
    detail: dict[str, object]


class World:
    """Three servers, three homes, the store and a stream of writes.

    Attributes:
      network: The network, by which faults are caused.
      servers: The servers by name.
      proxies: The proxies by VM.
      rows: What the store holds.
      history: What callers were told.
      events: What the VMs recorded.
      acks: The acknowledged writes.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        spec: GroupSpec | None = None,
        gives_up: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = Network(deployment, self.rng)
        self.spec = spec or GroupSpec(GROUP)
        self.rows = StoredRows()
        self.history = History()
        self.events: list[Event] = []
        self.acks: list[Ack] = []
        self.failures: list[BaseException | None] = []
        self.proxies: dict[str, ModelProxy] = {}
        self.closed = False
        self.writes = 0
        self.tasks: set[asyncio.Task[None]] = set()
        names = [f"s{region}" for region in range(REGIONS)]
        self.servers = {name: ModelServer(name) for name in names}
        homes = [f"vm{region}" for region in range(REGIONS)]
        self.rng.shuffle(homes)
        self.homes = tuple(homes)
        self.network.regions[STORE] = self.rng.randrange(REGIONS)
        self.network.service_seconds[STORE] = self.store_service
        for region in range(REGIONS):
            self.network.regions[f"s{region}"] = region
            self.network.regions[f"vm{region}"] = region
        for vm in self.homes:
            self.add_proxy(vm, gives_up)

    def add_proxy(self, vm: str, gives_up: bool) -> None:
        """Add the proxy of a home."""
        store = ModelStore(vm, self.rows, self.network, self.rng)
        peers = ModelPeers(vm, self.proxies, self.network, gives_up)

        def record(kind: EventKind, **detail: object) -> None:
            at = asyncio.get_running_loop().time()
            self.events.append(Event(at, vm, kind, detail))

        self.proxies[vm] = ModelProxy(
            vm,
            self.spec,
            self.homes,
            self.servers,
            store,
            peers,
            self.network,
            record,
            self.rng,
        )

    def store_service(self) -> float:
        """Return what a call takes in the store, in seconds."""
        return STORE_SERVICE_SECONDS * (0.5 + self.rng.expovariate(1.0))

    @property
    def now(self) -> float:
        """Return the time of the run in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the proxies and wait until the first term is open."""
        for proxy in self.proxies.values():
            await proxy.start()
        self.spawn(self.replicate())
        await asyncio.sleep(2.0 + self.rng.random())
        assert self.is_open()

    async def close(self) -> None:
        """Stop everything and take the servers' logs."""
        self.closed = True
        if self.failures:
            raise RuntimeError("work failed") from self.failures[0]
        for proxy in self.proxies.values():
            await proxy.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.history.terms = list(self.rows.terms)
        self.history.logs = {
            name: tuple(server.log) for name, server in self.servers.items()
        }
        assert self.rows.row is not None
        self.history.final_primary = self.rows.row.primary

    def is_open(self) -> bool:
        """Return whether the group has an open term and a primary."""
        row = self.rows.row
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return False
        primary = self.servers[row.primary]
        return primary.term == row.term and primary.primary == row.primary

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside until the run is closed."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish)

    def finish(self, task: asyncio.Task[None]) -> None:
        """Forget finished work; an exception ends the run when it closes."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def replicate(self) -> None:
        """Let replicas pull from the primaries that they know."""
        while not self.closed:
            await asyncio.sleep(PULL_INTERVAL_SECONDS)
            for name, server in self.servers.items():
                source = self.servers.get(server.primary)
                if source is None or source is server:
                    continue
                if not self.runs(name) or not self.runs(source.name):
                    continue
                if self.network.reaches(name, source.name):
                    server.pull(source)

    def runs(self, place: str) -> bool:
        """Return whether a place's process is running."""
        network = self.network
        return (
            place not in network.down
            and place not in network.refusing
            and place not in network.resumed
        )

    def begin_writes(self, interval_seconds: float) -> None:
        """Begin a stream of writes through the homes in turn.

        Args:
          interval_seconds: The time between two writes of one home.
        """
        self.spawn(self.write_on(interval_seconds))

    async def write_on(self, interval_seconds: float) -> None:
        """Send writes through the homes in turn."""
        while not self.closed:
            for vm in self.homes:
                await asyncio.sleep(interval_seconds / len(self.homes))
                if vm not in self.network.down:
                    self.writes += 1
                    self.spawn(self.write_once(vm, f"w{self.writes}"))

    async def write_once(self, vm: str, write_id: str) -> None:
        """Send one write and record its acknowledgement."""
        result = await self.proxies[vm].write(write_id)
        if result.outcome is CallerOutcome.DONE:
            self.acks.append(Ack(self.now, vm, result.term))
            self.record(write_id, result.outcome, result.term)

    async def write_until_known(self, vm: str, write_id: str) -> None:
        """Send a write, repeating it through other homes until it stands.

        An attempt that may have run makes the whole unknown, whatever the
        later ones say short of success.
        """
        worst = CallerOutcome.NOT_RUN
        for _ in range(CALLER_TRIES):
            result = await self.proxies[vm].write(write_id)
            if result.outcome is CallerOutcome.DONE:
                self.acks.append(Ack(self.now, vm, result.term))
                self.record(write_id, result.outcome, result.term)
                return
            if result.outcome is CallerOutcome.UNKNOWN:
                worst = result.outcome
            await asyncio.sleep(self.rng.uniform(*CALLER_PAUSE_SECONDS))
            vm = self.rng.choice(self.homes)
        self.record(write_id, worst, 0)

    def record(self, write_id: str, outcome: CallerOutcome, term: int) -> None:
        """Record what a caller was told."""
        self.history.answers.append(
            CallerRecord(
                write_id, outcome, self.now, term, self.spec.confirm_writes
            )
        )

    def events_of(self, kind: EventKind, after: float) -> list[Event]:
        """Return the events of a kind after a time."""
        return [
            event
            for event in self.events
            if event.kind is kind and event.at >= after
        ]

    @property
    def primary(self) -> str:
        """Return the primary that the store names."""
        assert self.rows.row is not None
        return self.rows.row.primary

    @property
    def coordinator(self) -> str:
        """Return the coordinator that the store names."""
        assert self.rows.row is not None
        return self.rows.row.coordinator
