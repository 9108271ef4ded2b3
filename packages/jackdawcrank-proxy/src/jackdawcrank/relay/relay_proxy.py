"""Proxy process that relays caller sessions to fenced database groups."""

import asyncio
import functools
import os
import random
from collections.abc import Callable, Mapping

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.account_authority import AccountAuthority
from jackdawcrank.relay.account_limits import AccountLimits
from jackdawcrank.relay.caller_session import CallerSession
from jackdawcrank.relay.claim_rows import ClaimRows
from jackdawcrank.relay.counted_store import CountedStore
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.graceful_shutdown import GracefulShutdown
from jackdawcrank.relay.group_relay import ProxyLocation
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.home_server import HomeServer
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.idle_transactions import IdleTransactions
from jackdawcrank.relay.indirect_probes import IndirectProbes
from jackdawcrank.relay.member_rows import (
    DISCOVERY_SECONDS,
    MEMBERS_TABLE,
    MemberRows,
)
from jackdawcrank.relay.pool_maintenance import PoolMaintenance
from jackdawcrank.relay.queue_reports import QueueReports, directory_pools
from jackdawcrank.relay.relay_settings import RelaySettings
from jackdawcrank.relay.statement_runner import StatementRunner
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.relay.store_hints import StoreHints
from jackdawcrank.relay.succession_service import SuccessionService
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_publisher import TablePublisher
from jackdawcrank.relay.upstream_selector import UpstreamSelector
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.declaration_decoder import DeclarationDecoder
from jackdawcrank.seams.metadata_store import MetadataStore
from jackdawcrank.seams.promotion_service import PromotionService
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank.seams.server_connection import ConnectionOpener
from jackdawcrank.timer import TimerService
from jackdawcrank_policy.catalog import AccountSpec
from jackdawcrank_policy.homes import Member

# Callers time out on connecting after 2 s.
FIRST_CONFIGURATION_TIMEOUT_SECONDS = 1.8
# Time limit for changes of the members, which no rule bounds. Shorter than the
# 20 s of changes that the store keeps on users' sites.
MEMBERS_LIMIT_SECONDS = 19.0
# Settings that may change while the process runs. Whether the whole system
# starts for the first time matters at the start only.
RELOADABLE = frozenset(
    {
        "accounts",
        "configuration_seconds",
        "drain_seconds",
        "first_start",
        "regions",
        "stop_grace_seconds",
    }
)


class RelayProxy:
    """Creates, starts and closes the components of a proxy process.

    Attributes:
      settings: The settings of the process.
      log: The decision log.
      front: Accepts callers.
      timer: Runs periodic checks.
      store: Counts the calls to the store.
      store_health: Tracks whether the store answers.
      members: The VMs that are known from the store.
      homes: Selects the homes of a database group.
      directory: The declarations, groups and servers.
      authority: Checks the keys of callers.
      followers: The followers of the store's tables, by table.
      account_limits: Admits operations of client accounts within their limits.
      router: Runs statements on homes or locally.
      table_applied: Set and replaced whenever a table has a new image or
        change.
      store_hints: Tells other proxies that a lost store answers again.
      table_publisher: Sends changes of the store's tables to subscribed
        proxies.
      upstream_selector: Subscribes to the tables of other proxies.
      home_server: Runs the requests forwarded by other proxies.
      succession: Watches the primaries of all groups.
      pool_maintenance: Maintains idle server connections.
      idle_transactions: Ends transactions that are idle for too long.
      graceful_shutdown: Shuts the process down gracefully.
    """

    def __init__(
        self,
        settings: RelaySettings,
        store: MetadataStore,
        declaration_decoder: DeclarationDecoder,
        opener: ConnectionOpener,
        promotion_service: PromotionService,
        front: CallerFrontend,
        log: DecisionLog,
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        rng = random.Random()
        self.settings = settings
        self.log = log
        self.front = front
        self.timer = TimerService()
        self.store = CountedStore(store, log)
        self.store_health = StoreHealth(log)
        own = own_member(settings)
        self.members = MemberRows(
            self.store, own, log, rng, settings.first_start
        )
        self.homes = Homes(self.members)
        self.directory = Directory(
            declaration_decoder,
            opener,
            ProxyLocation(settings.data_center, settings.regions),
            self.store_health,
            self.homes,
            log,
            settings.health_by_outcome,
            settings.drain_seconds,
        )
        self.followers = {
            follower.table: follower
            for follower in (
                TableFollower(
                    self.store,
                    declaration_decoder.declarations_table,
                    settings.configuration_seconds,
                    self.directory.apply_declarations_image,
                    self.directory.apply_declarations_changes,
                    self.store_health,
                    log,
                    rng,
                    lambda: True,
                ),
                TableFollower(
                    self.store,
                    declaration_decoder.servers_table,
                    settings.drain_seconds,
                    self.directory.apply_servers_image,
                    self.directory.apply_servers_changes,
                    self.store_health,
                    log,
                    rng,
                    self.needs_servers,
                ),
                TableFollower(
                    self.store,
                    MEMBERS_TABLE,
                    MEMBERS_LIMIT_SECONDS,
                    self.members.apply_image,
                    self.members.apply_changes,
                    self.store_health,
                    log,
                    rng,
                    lambda: True,
                ),
            )
        }
        declarations = self.followers[declaration_decoder.declarations_table]
        declarations.probes_store = True
        # Declarations have versions of their own, so any image may be offered.
        declarations.on_outdated_image = self.directory.apply_declarations_image
        declarations.row_after_restoration = self.directory.newer_declarations
        self.authority = AccountAuthority(
            self.directory, declarations, settings.accounts, log
        )
        self.members.store_seconds = self.store_seconds
        if settings.first_start:
            self.followers[
                MEMBERS_TABLE
            ].first_read_delay_seconds = DISCOVERY_SECONDS
        self.members.on_complete = self.tables_changed
        self.table_applied = asyncio.Event()
        for follower in self.followers.values():
            follower.on_applied = self.tables_changed
        self.account_limits = AccountLimits(
            settings.accounts, self.declared_accounts, self.members, log, rng
        )
        runner = StatementRunner(self.directory, log, self.account_limits)
        self.router = HomeRouter(
            runner, self.homes, log, self.followers, detect_dead_peer
        )
        self.account_limits.router = self.router
        self.router.on_grant = self.account_limits.grant_received
        self.store_hints = StoreHints(
            self.router, self.members, self.store_health, rng
        )
        self.table_publisher = TablePublisher(self.followers.values(), log)
        self.apply_account_bounds()
        self.upstream_selector = UpstreamSelector(
            self.router, self.members, self.followers.values(), log
        )
        self.home_server = HomeServer(
            settings.host,
            settings.peer_port,
            runner,
            self.directory,
            log,
            detect_dead_peer,
            self.table_publisher,
            self.account_limits,
        )
        # Unique per process, so that a restarted process does not treat the
        # claim of its predecessor on this VM as its own.
        process = f"{settings.vm}-{os.getpid()}-{rng.getrandbits(32):08x}"
        self.succession = SuccessionService(
            self.directory,
            settings.vm,
            process,
            ClaimRows(self.store, self.store_health, log),
            promotion_service,
            self.followers[declaration_decoder.servers_table].refresh,
            IndirectProbes(self.router, rng),
            log,
            rng,
        )
        self.pool_maintenance = PoolMaintenance(self.directory)
        self.queue_reports = QueueReports(
            functools.partial(directory_pools, self.directory), log
        )
        self.idle_transactions = IdleTransactions(self.directory, front, log)
        self.graceful_shutdown = GracefulShutdown(
            front, self.home_server, settings.stop_grace_seconds, log
        )

    def apply_settings(self, settings: RelaySettings) -> set[str]:
        """Apply settings that were changed while the process runs.

        Args:
          settings: The new settings.

        Returns:
          The names of the changed settings that need a restart.
        """
        changed = changed_settings(self.settings, settings)
        applied = attrs.evolve(
            self.settings,
            **{name: getattr(settings, name) for name in changed & RELOADABLE},
        )
        self.settings = applied
        self.directory.proxy_location.regions = applied.regions
        self.graceful_shutdown.grace_seconds = applied.stop_grace_seconds
        decoder = self.directory.declaration_decoder
        self.apply_account_bounds()
        self.followers[decoder.servers_table].set_limit(applied.drain_seconds)
        self.directory.set_drain_seconds(applied.drain_seconds)
        return changed - RELOADABLE

    def apply_account_bounds(self) -> None:
        """Apply the bounds of the settings to the declarations and accounts."""
        bounds = self.settings.accounts
        self.authority.apply_bounds(bounds)
        decoder = self.directory.declaration_decoder
        self.followers[decoder.declarations_table].set_limit(
            self.settings.configuration_seconds,
            self.authority.longest_wait_seconds(),
        )
        self.table_publisher.sends_proofs = (
            bounds.revocation_seconds is not None
        )

    def store_seconds(self) -> float | None:
        """Return the time on the store's clock in seconds, None if unknown."""
        known = [
            one for one in self.followers.values() if one.revision is not None
        ]
        return known[0].store_seconds() if known else None

    def tables_changed(self) -> None:
        """Handle a new image or change of any table."""
        decoder = self.directory.declaration_decoder
        self.followers[decoder.servers_table].need_may_differ.set()
        self.members.write_first_row()
        self.store_hints.send_pending()
        self.table_applied.set()
        self.table_applied = asyncio.Event()

    def declared_accounts(self) -> Mapping[str, AccountSpec] | None:
        """Return the declared client accounts by name, or None."""
        declarations = self.directory.declarations
        return declarations.accounts if declarations else None

    def is_home(self) -> bool:
        """Return whether this proxy is a home of at least one group."""
        declarations = self.directory.declarations
        if declarations is None:
            return False
        return any(
            self.homes.is_home(group) for group in declarations.groups.values()
        )

    def needs_servers(self) -> bool:
        """Return whether this proxy may have to run statements on servers."""
        if self.home_server.forwarding_seen.is_set():
            return True
        # While no other VM is known, this one would take itself for a home.
        return self.members.homes_known() and self.is_home()

    async def start(self) -> None:
        """Start following the store and accepting callers."""
        self.log.event("started", data_center=self.settings.data_center)
        await self.timer.start()
        await self.log.start(self.timer)
        await self.store.start(self.timer)
        await self.members.start(self.timer)
        for follower in self.followers.values():
            await follower.start()
        await self.account_limits.start(self.timer)
        await self.home_server.start()
        await self.table_publisher.start(self.timer)
        await self.upstream_selector.start(self.timer)
        await self.front.start(self)
        await self.pool_maintenance.start(self.timer)
        await self.queue_reports.start(self.timer)
        await self.idle_transactions.start(self.timer)
        await self.succession.start(self.timer)

    async def open_session(
        self, database: str, key_digest: bytes
    ) -> CallerSession | Reply:
        """Return a new session, or the reply that refuses it.

        Args:
          database: The name of the database that the caller sent.
          key_digest: The SHA-256 digest of the key that the caller sent.

        Raises:
          TimeoutError: The declarations, or on a home the servers, were not
            read in time.
        """
        async with asyncio.timeout(FIRST_CONFIGURATION_TIMEOUT_SECONDS):
            await self.directory.ready.wait()
            while self.is_home() and not self.directory.servers_known:
                await self.table_applied.wait()
        found = self.directory.resolve(database)
        if found is None:
            return Reply(
                problem=Problem.UNKNOWN_DATABASE,
                # A caller may have sent its key in place of the name.
                detail="there is no such database",
            )
        session = CallerSession(database, self.directory, self.router, self.log)
        session.key_digest = key_digest
        session.authority = self.authority
        refusal = self.authority.check(session, "")
        if refusal is not None:
            return Reply(problem=refusal.problem, detail=refusal.detail)
        return session

    def readiness(self) -> bool:
        """Return whether this proxy is ready for new callers."""
        return (
            self.directory.ready.is_set()
            and (self.directory.servers_known or not self.is_home())
            and not self.graceful_shutdown.begun
            and not self.directory.cut_off()
            and self.authority.observe()
        )

    async def stop(self) -> None:
        """Shut down gracefully, then close every component."""
        self.account_limits.leave()
        await self.graceful_shutdown.drain()
        await self.close()

    async def close(self) -> None:
        """Close every component."""
        await self.succession.close()
        await self.front.close()
        await self.members.close()
        await self.upstream_selector.close()
        await self.store_hints.close()
        await self.table_publisher.close()
        await self.account_limits.close()
        await self.router.close()
        await self.home_server.close()
        for follower in self.followers.values():
            await follower.close()
        await self.queue_reports.close()
        await self.directory.close()
        await self.store.close()
        self.log.event("stopped")
        await self.log.close()
        await self.timer.close()


def changed_settings(old: RelaySettings, new: RelaySettings) -> set[str]:
    """Return the names of the settings that differ.

    Args:
      old: The settings before.
      new: The settings after.
    """
    return {
        one.name
        for one in attrs.fields(RelaySettings)
        if getattr(old, one.name) != getattr(new, one.name)
    }


def own_member(settings: RelaySettings) -> Member:
    """Return the member entry of this VM.

    Args:
      settings: The settings of the process.
    """
    return Member(
        settings.vm,
        settings.host,
        settings.peer_port,
        settings.data_center,
        settings.regions.get(settings.data_center, settings.data_center),
        settings.capacity,
    )
