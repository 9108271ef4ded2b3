"""This proxy's state of one database group."""

import asyncio
import functools
import math
from collections.abc import Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import (
    OPEN_TIMEOUT_SECONDS,
    ConnectionPool,
)
from jackdawcrank.relay.control_commands import ControlCommands
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.server_connection import ConnectionOpener, OpenFailure
from jackdawcrank_policy.catalog import ListedServer, ServedGroup
from jackdawcrank_policy.placement import (
    Distance,
    DrainWindow,
    HealthChange,
    OutcomeHealth,
    ServerCandidate,
    ServerEjected,
    choose_server,
)
from jackdawcrank_policy.succession import (
    FailureKind,
    PrimarySuspicion,
    SwitchoverTrigger,
)
from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.watermarks import WatermarkHistory

# A watermark is renewed at half of its maximum age, so that the new one arrives
# in time even after a round trip between regions (80 ms).
REFRESH_SHARE = 0.5
# Exceeds that round trip and a handshake. Without a watermark by then, the read
# goes to the primary.
WATERMARK_WAIT_SECONDS = 0.3
# Initial window per slot of a server, summed over all homes: while one
# statement runs, the next is in transit.
SLOT_WINDOW = 2.0
# A crashed server restarts within 7 s on our users' sites. A server that has
# been missing for this long is assumed not to return.
MISSING_SERVER_SECONDS = 30.0
# Interval at which a waiting statement checks whether the primary answers
# again.
PRIMARY_POLL_SECONDS = 0.1


class ProxyLocation:
    """Location of this proxy, from which distances to servers follow.

    Attributes:
      data_center: The data centre of this proxy.
      regions: The region of each data centre.
    """

    def __init__(self, data_center: str, regions: dict[str, str]) -> None:
        self.data_center = data_center
        self.regions = regions

    def distance(self, data_center: str) -> Distance:
        """Return the distance of a data centre from this proxy.

        Args:
          data_center: The data centre.
        """
        if data_center == self.data_center:
            return Distance.DATA_CENTER
        own_region = self.regions.get(self.data_center)
        if (
            own_region is not None
            and self.regions.get(data_center) == own_region
        ):
            return Distance.REGION
        return Distance.ELSEWHERE


class GroupRelay:
    """The servers of one group, its primary and its watermarks.

    Attributes:
      group: The group as configured.
      name: The group's name.
      opener: Opens connections.
      proxy_location: The location of this proxy.
      pools: The connection pool of each server, by server id.
      drain_seconds: How long a leaving server may receive statements.
      drain_windows: Since when servers leave, by server id.
      declared_version: Version of the configuration in force.
      watermarks: Positions that prove how fresh a replica's data is.
      health: Health of the servers by the outcomes of reads.
      health_by_outcome: Whether the health decides where reads go.
      control: Sends control commands to the group's servers.
      refreshing: The task that asks the primary for a watermark, or None.
      suspicion: Evidence that the current primary has failed.
      switchover_trigger: Evidence that the replicas lag and the current
        primary has to execute all reads.
      primary_id: The current primary, or None if there is none.
      primary_since: The revision of the first report in which each server
        claims to be the primary, by server id. A promotion sets it above all
        others. The highest one determines the primary.
      not_primary_revisions: The report revision of each server that answered
        that it is not the primary, by server id. Its report counts again from
        the next revision.
      homes: Divides the servers' connections among the homes.
      store_health: Whether the store can be reached.
      missing_servers: When each server disappeared from the store without
        draining, in seconds on the loop's clock.
      last_primary_id: The most recent primary; kept while there is none.
      changed: Set and replaced whenever the primary changes.
    """

    def __init__(
        self,
        group: ServedGroup,
        opener: ConnectionOpener,
        proxy_location: ProxyLocation,
        store_health: StoreHealth,
        homes: Homes,
        log: DecisionLog,
        health_by_outcome: bool = False,
        drain_seconds: float = math.inf,
    ) -> None:
        self.drain_seconds = drain_seconds
        self.drain_windows: dict[str, DrainWindow] = {}
        self.health_by_outcome = health_by_outcome
        self.homes = homes
        self.store_health = store_health
        self.group = group
        self.name = group.name
        self.opener = opener
        self.proxy_location = proxy_location
        self.log = log
        self.pools: dict[str, ConnectionPool] = {}
        self.declared_version = 0
        self.watermarks = WatermarkHistory()
        self.health = OutcomeHealth()
        self.control = ControlCommands(self)
        self.refreshing: asyncio.Task[None] | None = None
        self.suspicion = PrimarySuspicion()
        self.primary_id: str | None = None
        self.primary_since: dict[str, int] = {}
        self.not_primary_revisions: dict[str, int] = {}
        self.missing_servers: dict[str, float] = {}
        self.last_primary_id: str | None = None
        self.changed = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.switchover_trigger = SwitchoverTrigger(self.loop.time())

    def apply_servers(self, servers: Iterable[ListedServer]) -> None:
        """Update the group's pools and primary from the listed servers.

        Args:
          servers: The latest reports of all servers of the group.
        """
        listed = {one.server_id: one for one in servers}
        for server_id, pool in list(self.pools.items()):
            server = listed.get(server_id)
            if server is None or not server.same_process(pool.server):
                pool.retire()
                del self.pools[server_id]
                self.health.forget(server_id)
                if not pool.server.leaving:
                    self.missing_servers[server_id] = self.loop.time()
                self.primary_since.pop(server_id, None)
                del self.drain_windows[server_id]
                self.log.event("server_gone", group=self.name, server=server_id)
        for server in listed.values():
            self.apply_server(server)
        self.update_primary()

    def apply_server(self, server: ListedServer) -> None:
        """Apply the report of one server.

        Args:
          server: The report.
        """
        pool = self.pools.get(server.server_id)
        window = self.drain_windows.setdefault(server.server_id, DrainWindow())
        window.reported(server.leaving, pool is not None, self.loop.time())
        if pool is None:
            pool = ConnectionPool(
                server,
                self.opener,
                self.connection_limit(),
                SLOT_WINDOW * server.slots / self.homes.plan(self.group).homes,
                self.log,
                functools.partial(self.idle_connection_lost, server.server_id),
            )
            self.pools[server.server_id] = pool
            self.log.event(
                "server_listed",
                group=self.name,
                server=server.server_id,
                leads=server.reports_primary,
                leaving=server.leaving,
                revision=server.revision,
            )
        elif pool.server != server:
            self.log.event(
                "server_reported",
                group=self.name,
                server=server.server_id,
                leads=server.reports_primary,
                leaving=server.leaving,
                revision=server.revision,
            )
        pool.server = server
        if not server.reports_primary:
            self.primary_since.pop(server.server_id, None)
        else:
            self.primary_since.setdefault(server.server_id, server.revision)

    def connection_limit(self) -> int:
        """Return the maximum number of connections to one server."""
        plan = self.homes.plan(self.group)
        if self.homes.is_home(self.group):
            return plan.connections
        return plan.stand_in_connections

    def update_primary(self) -> None:
        """Determine the primary from the servers' reports and answers."""
        candidates = [
            (since, server_id)
            for server_id, since in self.primary_since.items()
            if self.not_primary_revisions.get(server_id)
            != self.revision(server_id)
        ]
        primary = max(candidates)[1] if candidates else None
        self.set_primary(primary)

    def revision(self, server_id: str) -> int:
        """Return the revision of a server's report.

        Args:
          server_id: A listed server.
        """
        return self.pools[server_id].server.revision

    def set_primary(self, server_id: str | None) -> None:
        """Set the current primary.

        Args:
          server_id: The server, or None if there is no primary.
        """
        if server_id == self.primary_id:
            return
        self.log.event(
            "primary_changed",
            group=self.name,
            old=self.primary_id,
            new=server_id,
        )
        if server_id and self.last_primary_id not in (None, server_id):
            self.switchover_trigger.primary_replaced(self.loop.time())
        self.primary_id = server_id
        self.last_primary_id = server_id or self.last_primary_id
        self.suspicion = PrimarySuspicion()
        self.changed.set()
        self.changed = asyncio.Event()

    def recently_missing(self) -> list[str]:
        """Return servers that recently disappeared from the store.

        Such a server may be running although it is not listed, and may confirm
        commits of a primary that is still alive.
        """
        oldest = self.loop.time() - MISSING_SERVER_SECONDS
        self.missing_servers = {
            server_id: since
            for server_id, since in self.missing_servers.items()
            if since >= oldest and server_id not in self.pools
        }
        return [
            one for one in self.missing_servers if one != self.last_primary_id
        ]

    def promoted(self, server_id: str) -> None:
        """Record that the promotion of a server has taken effect.

        Args:
          server_id: The new primary.
        """
        if server_id not in self.pools:
            return
        newest = max(self.primary_since.values(), default=0)
        self.primary_since[server_id] = newest + 1
        self.not_primary_revisions.pop(server_id, None)
        self.update_primary()

    def mark_not_primary(self, pool: ConnectionPool) -> None:
        """Record a server's answer that it is not the primary.

        Args:
          pool: The server's connection pool.
        """
        server = pool.server
        self.log.event(
            "not_primary",
            group=self.name,
            server=server.server_id,
            revision=server.revision,
        )
        self.not_primary_revisions[server.server_id] = server.revision
        self.primary_since.pop(server.server_id, None)
        self.update_primary()

    def primary_pool(self) -> ConnectionPool | None:
        """Return the connection pool of the current primary, or None."""
        return self.pools.get(self.primary_id) if self.primary_id else None

    def other_pools(
        self, primary: ConnectionPool | None
    ) -> list[ConnectionPool]:
        """Return the pools of all servers except a primary.

        Args:
          primary: The pool of the primary, or None if there is none.
        """
        primary_id = primary.server.server_id if primary else ""
        return [
            pool
            for server_id, pool in self.pools.items()
            if server_id != primary_id
        ]

    def next_term(self) -> int:
        """Return a term above every term that this proxy has seen."""
        terms = [
            one.condition.position.term
            for one in self.pools.values()
            if one.condition.position
        ]
        newest = self.watermarks.newest()
        if newest:
            terms.append(newest.position.term)
        return max(terms, default=0) + 1

    async def wait_for_primary(self, deadline: float) -> ConnectionPool | None:
        """Return the primary's pool, waiting while the primary is replaced.

        Without the store, no proxy here can replace the primary, and the result
        of a replacement elsewhere would not be known here. This method then
        returns None at once, so that the caller can turn to another proxy.

        Args:
          deadline: End of the wait, in seconds on the loop's clock.
        """
        while True:
            pool = self.usable_primary()
            if pool is not None:
                return pool
            now = self.loop.time()
            if self.store_health.lost or now >= deadline:
                return None
            changed = self.changed
            try:
                async with asyncio.timeout_at(
                    min(deadline, now + PRIMARY_POLL_SECONDS)
                ):
                    await changed.wait()
            except TimeoutError:
                continue

    def usable_primary(self) -> ConnectionPool | None:
        """Return the primary's pool, or None if it may get no new work.

        It may not if its failure is suspected, or if it has been leaving for
        nearly its drain time.
        """
        pool = self.primary_pool()
        if pool is None:
            return None
        now = self.loop.time()
        window = self.drain_windows[pool.server.server_id]
        if not window.accepts_work(now, self.drain_seconds):
            return None
        suspicion = self.suspicion.suspected_failure(now)
        return (
            pool
            if suspicion in (FailureKind.NONE, FailureKind.UNCONFIRMED)
            else None
        )

    def record_unanswered(
        self,
        pool: ConnectionPool,
        silent: bool,
        sent_at: float,
        wrote: bool = False,
    ) -> None:
        """Record a statement that was not answered.

        Args:
          pool: The connection pool of the server.
          silent: Whether the connection remained open.
          sent_at: When the statement was sent, in seconds on the loop's clock.
          wrote: Whether the statement waited for replicas to confirm a commit.
        """
        if pool is not self.primary_pool():
            return
        if not silent:
            self.suspicion.connection_refused(self.loop.time())
        elif wrote:
            self.suspicion.write_unconfirmed(sent_at)
        else:
            self.suspicion.request_timed_out(sent_at)

    def idle_connection_lost(self, server_id: str) -> None:
        """Record that a server closed an idle connection.

        Args:
          server_id: The server.
        """
        pool = self.pools.get(server_id)
        if pool is not None:
            self.record_unanswered(pool, silent=False, sent_at=self.loop.time())

    def record_unreachable(
        self, pool: ConnectionPool, failure: OpenFailure
    ) -> None:
        """Record that no connection could be opened.

        Args:
          pool: The connection pool of the server.
          failure: The reason.
        """
        if pool is not self.primary_pool():
            return
        now = self.loop.time()
        if failure is OpenFailure.SILENT:
            self.suspicion.request_timed_out(now - OPEN_TIMEOUT_SECONDS)
        elif failure is not OpenFailure.FULL:
            self.suspicion.connection_refused(now)

    def record_read_answered(
        self, server_id: str, failed_on: Iterable[str] = ()
    ) -> None:
        """Record that a server has answered a read.

        Args:
          server_id: The server.
          failed_on: Ids of the servers that have failed the same read before.
        """
        for failed_id in failed_on:
            self.record_read_failed(failed_id)
        if self.health_by_outcome and server_id in self.pools:
            self.log_health(self.health.answered(server_id, self.loop.time()))

    def record_read_failed(self, server_id: str) -> None:
        """Record that a server has failed a read.

        Args:
          server_id: The server.
        """
        if self.health_by_outcome and server_id in self.pools:
            self.log_health(self.health.failed(server_id, self.loop.time()))

    def log_health(self, change: HealthChange | None) -> None:
        """Log a change of a server's health."""
        if isinstance(change, ServerEjected):
            self.log.event(
                "server_ejected",
                group=self.name,
                server=change.server_id,
                failures=change.failures,
                answers=change.answers,
                pause=change.pause_seconds,
            )
        elif change is not None:
            self.log.event(
                "server_readmitted", group=self.name, server=change.server_id
            )

    def choose_read_pool(
        self, now: float, needed: Position | None, excluded: set[str]
    ) -> ConnectionPool | None:
        """Return the pool of the server for a read, or None.

        Args:
          now: The current time in seconds on the loop's clock.
          needed: The position that the server must have reached.
          excluded: Ids of servers on which this read has failed.
        """
        chosen = choose_server(
            [
                self.candidate(pool)
                for pool in self.pools.values()
                if not pool.server.leaving
                and pool.server.server_id not in excluded
            ],
            now,
            needed,
            self.primary_id,
            self.health if self.health_by_outcome else None,
        )
        if chosen is None:
            return None
        self.health.begin_trial(chosen, now)
        return self.pools[chosen]

    def candidate(self, pool: ConnectionPool) -> ServerCandidate:
        """Return a pool's server as a candidate for a read.

        Args:
          pool: The connection pool of the server.
        """
        return ServerCandidate(
            pool.server.server_id,
            self.proxy_location.distance(pool.server.data_center),
            pool.server.slots,
            pool.condition,
            pool.queue.length + pool.limiter.queue.length,
        )

    async def watermark(self, max_age: float) -> Position | None:
        """Return a position that a server with fresh enough data has, or None.

        A new watermark is fetched before the newest one is too old, so that
        reads neither wait for it nor all go to the primary at the same time.

        Args:
          max_age: The maximum age of the data in seconds.
        """
        newest = self.watermarks.newest()
        now = boot_seconds()
        if newest is None or now - newest.asked_at > max_age * REFRESH_SHARE:
            self.refresh_watermark()
        watermark = self.watermarks.oldest_within(now, max_age)
        if watermark is None and self.refreshing is not None:
            await asyncio.wait(
                [self.refreshing], timeout=WATERMARK_WAIT_SECONDS
            )
            watermark = self.watermarks.oldest_within(boot_seconds(), max_age)
        return watermark.position if watermark else None

    def refresh_watermark(self) -> None:
        """Start to fetch a watermark unless a fetch is in progress."""
        pool = self.usable_primary()
        if pool is None or self.refreshing or not pool.has_spare_connection():
            return
        self.refreshing = self.loop.create_task(self.fetch_watermark(pool))

    async def fetch_watermark(self, pool: ConnectionPool) -> None:
        """Fetch the log position of the presumed primary."""
        try:
            await self.control.check_primary(pool)
        finally:
            self.refreshing = None
