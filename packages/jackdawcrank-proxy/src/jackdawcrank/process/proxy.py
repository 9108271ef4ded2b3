"""The proxy process of one entry VM."""

import asyncio
import hashlib
import random
import secrets
import time

from absl import logging

from jackdawcrank.config import ChangeLogCompactor, ConfigurationFollower
from jackdawcrank.front.front_server import FrontServer
from jackdawcrank.groups.prefetched_group_rows import PrefetchedGroupRows
from jackdawcrank.membership import MembershipTracker
from jackdawcrank.metrics import Metrics
from jackdawcrank.metrics import names as metric_names
from jackdawcrank.operators.api import OperatorApi
from jackdawcrank.peers import PeerHandlers, PeerServer, PeerStreamPool
from jackdawcrank.process.caller_classes import CallerClasses
from jackdawcrank.process.entry_router import EntryRouter
from jackdawcrank.process.group_peers import StreamGroupPeers
from jackdawcrank.process.home_registry import HomeRegistry
from jackdawcrank.process.operator_service import OperatorService
from jackdawcrank.process.peer_service import PeerService
from jackdawcrank.store import ChangeLog, StoreClient
from jackdawcrank.store.group_rows import GroupRows
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank.timeline import Timeline
from jackdawcrank.timer import TimerService
from jackdawcrank_policy.configuration import Change, Configuration
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.tokens import TokenSigner
from jackdawcrank_policy.values import GroupRow, Vm, VmState
from jackdawcrank_wire.events import EventKind
from jackdawcrank_wire.messages import ConfigVersion, Leaving
from jackdawcrank_wire.settings import Settings

HOME_TICK_SECONDS = 0.25
METRICS_FLUSH_SECONDS = 10.0
LISTING_CHECK_SECONDS = 1.0
HANDOVER_TIMEOUT_SECONDS = 10.0
BOOT_ID_BYTES = 4
# Each notified peer notifies the same number of peers in turn.
VERSION_GOSSIP_FANOUT = 8


class Proxy:
    """Creates, starts and stops the components of the proxy process.

    Attributes:
      settings: The settings.
      boot: The boot id of this process.
      timeline: Records the events of this process.
      registry: The homes on this VM.
      front: The server for callers.
      peer_server: The server for other proxies.
      api: The server for operators.
      listed_live: Whether the platform has listed this VM as live since this
        process started.
      ready: Whether startup has finished and shutdown has not begun.
      draining: The task of the graceful shutdown; None before it begins.
      stopped: Set once the process has shut down.
    """

    def __init__(
        self, settings: Settings, rng: random.Random | None = None
    ) -> None:
        self.settings = settings
        self.boot = secrets.token_hex(BOOT_ID_BYTES)
        self.rng = rng or random.Random()
        self.timer = TimerService(time.monotonic)
        self.timeline = Timeline(
            settings.vm,
            self.boot,
            settings.timeline_events,
            clock=time.monotonic,
        )
        self.metrics = Metrics(
            settings.statsd_host or None, settings.statsd_port
        )
        self.store = StoreClient(settings.platform_url, rng=self.rng)
        self.change_log = ChangeLog(self.store)
        self.handlers = PeerHandlers()
        self.peer_pool = PeerStreamPool(
            settings.vm,
            self.boot,
            settings.peer_secret.encode(),
            self.handlers,
            rng=self.rng,
        )
        self.registry = self._make_registry()
        self.classes = CallerClasses(time.monotonic)
        self.router = self._make_router()
        self.peer_pool.is_monitored = self._is_monitored
        self.follower = self._make_follower()
        self.compactor = ChangeLogCompactor(
            self.store, self.follower.state, self.timer, self.rng
        )
        self.front = self._make_front()
        self.peer_server = PeerServer(
            settings.host,
            settings.peer_port,
            settings.peer_secret.encode(),
            settings.vm,
            self.boot,
            self.handlers,
            self.peer_pool,
        )
        self.api = self._make_api()
        self.tracker: MembershipTracker | None = None
        self.listed_live = False
        self.ready = False
        self.draining: asyncio.Task[None] | None = None
        self.stopped = asyncio.Event()

    async def start(self) -> None:
        """Start all components; callers are served once this returns."""
        self.timeline.record(EventKind.VM_STARTED)
        await self.metrics.start()
        await self.store.start()
        await self.timer.start()
        await self.peer_server.start()
        await self.api.start()
        await self.peer_pool.start(self.timer)
        self.tracker = self._make_tracker()
        self._make_peer_service(self.tracker)
        self.peer_pool.lost_callbacks.append(self._peer_lost)
        await self.follower.start()
        await self.compactor.start()
        await self.tracker.start()
        self._view_changed(self.tracker.view)
        await self.front.start()
        self.timer.subscribe("homes", HOME_TICK_SECONDS, self.registry.tick)
        self.timer.subscribe(
            "listing", LISTING_CHECK_SECONDS, self._check_listing
        )
        self.timer.subscribe(
            "metrics", METRICS_FLUSH_SECONDS, self._flush_metrics
        )
        self.ready = True
        self.timeline.record(EventKind.VM_READY)

    async def drain(self, actor: str = "") -> None:
        """Begin the graceful shutdown; `stopped` is set when it ends.

        Args:
          actor: The operator or system that requested it.
        """
        if self.draining is None:
            self.timeline.record(EventKind.VM_LEAVING, actor=actor)
            self.draining = asyncio.create_task(self._drain())

    async def close(self) -> None:
        """Stop immediately, without a graceful shutdown."""
        if self.draining is not None:
            await cancel_and_wait([self.draining])
        await self._close_components()

    async def _drain(self) -> None:
        self.ready = False
        if self.tracker is not None:
            await self.tracker.leave()
        self.peer_pool.broadcast(Leaving(self.settings.vm))
        limit = self.settings.shutdown_timeout_seconds
        cut = await self.front.drain(limit)
        self.timeline.record(EventKind.CALLERS_CLOSED, cut=cut)
        await self.registry.wait_until_handed_over(HANDOVER_TIMEOUT_SECONDS)
        await self._close_components()

    async def _close_components(self) -> None:
        if self.stopped.is_set():
            return
        self.ready = False
        await self.front.close()
        await self.follower.close()
        await self.compactor.close()
        await self.peer_pool.close()
        await self.peer_server.close()
        await self.registry.close()
        if self.tracker is not None:
            await self.tracker.close()
        await self.timer.close()
        self.timeline.record(EventKind.VM_STOPPED)
        await self.api.close()
        self.timeline.close()
        await self.store.close()
        await self.metrics.close()
        self.stopped.set()

    def _make_registry(self) -> HomeRegistry:
        settings = self.settings
        return HomeRegistry(
            settings.vm,
            settings.homes_per_group,
            settings.backend_user,
            settings.backend_password,
            PrefetchedGroupRows(
                GroupRows(self.store, self.change_log, settings.vm)
            ),
            StreamGroupPeers(self.peer_pool),
            self.timer,
            self.timeline,
            self.rng,
            self._row_written,
        )

    def _make_router(self) -> EntryRouter:
        keys = tuple(_derive_key(key) for key in self.settings.token_keys)
        return EntryRouter(
            self.settings.vm,
            self.registry,
            self.peer_pool,
            self.classes,
            TokenSigner(keys),
            self.metrics,
            time.monotonic,
        )

    def _make_follower(self) -> ConfigurationFollower:
        return ConfigurationFollower(
            self.store,
            self.timer,
            on_change=self._configuration_changed,
            on_head_read=self.registry.head_read,
            on_store_availability=self._store_availability_changed,
            interval_seconds=self.settings.head_read_seconds,
            rng=self.rng,
        )

    def _make_front(self) -> FrontServer:
        settings = self.settings
        return FrontServer(
            settings.host,
            settings.caller_port,
            settings.callers,
            self.router,
            f"{settings.vm}:{self.boot}",
            settings.max_statement_bytes,
            settings.max_caller_connections,
            settings.login_timeout_seconds,
        )

    def _make_api(self) -> OperatorApi:
        service = OperatorService(
            self.settings.vm,
            self.store,
            self.change_log,
            self.follower,
            self.timeline,
            self.registry,
            self.router,
            self._is_ready,
            self.drain,
        )
        return OperatorApi(
            self.settings.host,
            self.settings.operator_port,
            self.settings.operator_tokens,
            service,
        )

    def _make_tracker(self) -> MembershipTracker:
        settings = self.settings
        own_vm = Vm(
            settings.vm,
            settings.host,
            self.peer_server.port,
            self.api.port,
            settings.region,
            settings.data_center,
        )
        return MembershipTracker(
            self.store,
            self.timer,
            own_vm,
            self.boot,
            self._view_changed,
            self.rng,
        )

    def _make_peer_service(self, tracker: MembershipTracker) -> None:
        service = PeerService(
            self.registry, self.router, self.follower, tracker, self.peer_pool
        )
        service.register(self.handlers)
        self.follower.read_from_peers = service.read_from_peers

    def _is_ready(self) -> bool:
        """Return whether callers should be sent to this VM."""
        has_configuration = (
            self.follower.version > 0 or self.follower.store_available
        )
        return self.ready and has_configuration

    def _store_availability_changed(self, available: bool) -> None:
        kind = (
            EventKind.STORE_RECOVERED if available else EventKind.STORE_OUTAGE
        )
        self.timeline.record(kind)

    def _configuration_changed(
        self, configuration: Configuration, changes: tuple[Change, ...]
    ) -> None:
        self.classes.set_specs(configuration.caller_classes)
        self.registry.configuration_changed(configuration, changes)
        self.peer_pool.config_version = configuration.version
        self.peer_pool.broadcast(
            ConfigVersion(configuration.version), VERSION_GOSSIP_FANOUT
        )
        self.timeline.record(
            EventKind.CONFIG_APPLIED, config_version=configuration.version
        )

    def _view_changed(self, view: MembershipView) -> None:
        self.peer_pool.set_addresses(
            {
                name: (vm.host, vm.peer_port)
                for name, vm in view.vms.items()
                if name != self.settings.vm
            }
        )
        self.registry.view_changed(view)
        logging.info("members live=%s leaving=%s", view.live, view.leaving)

    def _row_written(self, row: GroupRow, version: int) -> None:
        """Read a row that this VM wrote without waiting for the next poll."""
        task = asyncio.ensure_future(self.follower.handle_peer_version(version))
        self.registry.tasks.add(task)
        task.add_done_callback(self.registry.tasks.discard)

    def _peer_lost(self, vm: str, detail: str) -> None:
        self.timeline.record(EventKind.PEER_LOST, peer=vm, reason=detail)
        self.registry.peer_lost(vm)
        if self.tracker is not None:
            self.tracker.stream_failed(vm)

    def _is_monitored(self, vm: str) -> bool:
        """Return whether an open transaction involves this VM and a peer."""
        if self.registry.holds_sessions_of(vm):
            return True
        return vm in self.router.pinned.values()

    async def _check_listing(self, now: float) -> None:
        """Begin the shutdown once the platform lists this VM as leaving.

        The listing may still refer to an earlier process of this VM.
        Therefore it only counts after the VM has been listed as live since
        this process started.
        """
        if self.tracker is None:
            return
        evidence = self.tracker.membership.evidence_for(self.settings.vm)
        if evidence.vm is None:
            return
        if evidence.vm.state is VmState.LIVE:
            self.listed_live = True
        elif self.listed_live:
            await self.drain("platform")

    async def _flush_metrics(self, now: float) -> None:
        connections = len(self.front.connections)
        self.metrics.gauge(metric_names.CALLER_CONNECTIONS, connections)
        await self.metrics.flush(now)


def _derive_key(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()
