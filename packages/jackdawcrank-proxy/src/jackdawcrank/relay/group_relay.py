"""What this proxy knows and holds of one group."""

import asyncio
import functools
from collections.abc import Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import (
    OPEN_TIMEOUT_SECONDS,
    ConnectionPool,
)
from jackdawcrank.relay.control_commands import ControlCommands
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.seams.server_link import LinkOpener, OpenFailure
from jackdawcrank_policy.catalog import ListedServer, ServedGroup
from jackdawcrank_policy.placement import (
    Distance,
    ServerCandidate,
    choose_server,
)
from jackdawcrank_policy.succession import (
    FailureKind,
    PrimarySuspicion,
    SwitchoverTrigger,
)
from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.watermarks import WatermarkHistory

# A floor is renewed at half of the age that it may have, so that even one that
# takes a round trip between regions (80 ms) to get comes in time.
REFRESH_SHARE = 0.5
# Longer than that round trip and a handshake; then the read goes to the
# primary itself.
WATERMARK_WAIT_SECONDS = 0.3
# Statements that all homes together give a server at first, for each of its
# slots: while one runs, the next is on its way.
SLOT_WINDOW = 2.0
# A server that crashed is back within seconds on our users' sites (7 s at
# most); one that is gone for this long is gone for good.
MISSING_SERVER_SECONDS = 30.0
# How soon a waiting statement notices that a primary answers again.
PRIMARY_POLL_SECONDS = 0.1


class ProxyLocation:
    """Tells how far servers are from this proxy.

    Attributes:
      data_center: Where this proxy runs.
      regions: The region of each data centre.
    """

    def __init__(self, data_center: str, regions: dict[str, str]) -> None:
        self.data_center = data_center
        self.regions = regions

    def distance(self, data_center: str) -> Distance:
        """Return how far a data centre is.

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
    """One group's servers, its primary, and how fresh each server is.

    Attributes:
      name: The group's name.
      pools: The connections by server.
      declared_version: The configuration in force.
      watermarks: Positions that prove freshness.
      questions: Asks the group's servers.
      refreshing: Asks the primary for a floor, while that is under way.
      doubt: Evidence against the present primary.
      relief: Evidence that the present primary has to do everybody's work.
      primary_id: The present primary, or None while there is none.
      disowned: Servers that answered that they do not lead, by the revision
        of the report that claims it.
      homes: How the servers' connections are shared.
      contact: Whether the store can be reached.
      departed: Servers that went missing without leaving, and when.
      last_primary_id: The latest primary, also when it is gone.
      changed: Set and replaced whenever the primary changes.
    """

    def __init__(
        self,
        group: ServedGroup,
        opener: LinkOpener,
        proxy_location: ProxyLocation,
        contact: StoreContact,
        homes: Homes,
        log: DecisionLog,
    ) -> None:
        self.homes = homes
        self.contact = contact
        self.group = group
        self.name = group.name
        self.opener = opener
        self.proxy_location = proxy_location
        self.log = log
        self.pools: dict[str, ConnectionPool] = {}
        self.declared_version = 0
        self.watermarks = WatermarkHistory()
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
        """Take in the servers that the group has now.

        Args:
          servers: All of them, as they last reported themselves.
        """
        listed = {one.server_id: one for one in servers}
        for server_id, pool in list(self.pools.items()):
            server = listed.get(server_id)
            if server is None or not server.same_process(pool.server):
                pool.retire()
                del self.pools[server_id]
                if not pool.server.leaving:
                    self.missing_servers[server_id] = self.loop.time()
                self.primary_since.pop(server_id, None)
                self.log.event("server_gone", group=self.name, server=server_id)
        for server in listed.values():
            self.apply_server(server)
        self.update_primary()

    def apply_server(self, server: ListedServer) -> None:
        """Take in one server's report.

        Args:
          server: The report.
        """
        pool = self.pools.get(server.server_id)
        if pool is None:
            pool = ConnectionPool(
                server,
                self.opener,
                self.connection_limit(),
                SLOT_WINDOW * server.slots / self.homes.plan(self.group).homes,
                self.log,
                functools.partial(self.idle_link_lost, server.server_id),
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
        """Return the connections of one server that this proxy may hold."""
        return self.homes.plan(self.group).connections

    def update_primary(self) -> None:
        """Decide which server leads, from reports and answers."""
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
        """Make a server the present primary.

        Args:
          server_id: The server; None if there is none.
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
        """Return servers that may be back any moment, unknown to the list.

        One of them may already confirm commits of a living primary.
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
        """Take in that the authority named a new primary.

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
        """Take in that a server answered that it does not lead.

        Args:
          pool: Its connections.
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
        """Return the connections of the present primary, or None."""
        return self.pools.get(self.primary_id) if self.primary_id else None

    async def wait_for_primary(self, deadline: float) -> ConnectionPool | None:
        """Return a primary's lane, waiting while one is being replaced.

        Without the store no proxy here can replace it, and none elsewhere
        could tell: then whoever asks is better served by another proxy.

        Args:
          deadline: When to give up, in seconds on the loop's clock.
        """
        while True:
            pool = self.usable_primary()
            if pool is not None:
                return pool
            now = self.loop.time()
            if self.contact.lost or now >= deadline:
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
        """Return the primary's lane unless it is taken to be lost."""
        pool = self.primary_pool()
        if pool is None:
            return None
        suspicion = self.suspicion.suspected_failure(self.loop.time())
        return (
            pool
            if suspicion in (FailureKind.NONE, FailureKind.UNCONFIRMED)
            else None
        )

    def note_lost(
        self,
        pool: ConnectionPool,
        silent: bool,
        sent_at: float,
        wrote: bool = False,
    ) -> None:
        """Take in a statement whose answer did not come.

        Args:
          pool: Where it was sent.
          silent: Whether the connection stood all the while.
          sent_at: When it was sent, in seconds on the loop's clock.
          wrote: Whether it waited for replicas to confirm a commit.
        """
        if pool is not self.primary_pool():
            return
        if not silent:
            self.suspicion.connection_refused(self.loop.time())
        elif wrote:
            self.suspicion.write_unconfirmed(sent_at)
        else:
            self.suspicion.request_timed_out(sent_at)

    def idle_link_lost(self, server_id: str) -> None:
        """Take in that a server ended a connection that nobody used.

        Args:
          server_id: The server.
        """
        pool = self.pools.get(server_id)
        if pool is not None:
            self.note_lost(pool, silent=False, sent_at=self.loop.time())

    def note_unreachable(
        self, pool: ConnectionPool, failure: OpenFailure
    ) -> None:
        """Take in that no connection could be made.

        Args:
          pool: Where to.
          failure: Why not.
        """
        if pool is not self.primary_pool():
            return
        now = self.loop.time()
        if failure is OpenFailure.SILENT:
            self.suspicion.request_timed_out(now - OPEN_TIMEOUT_SECONDS)
        elif failure is not OpenFailure.FULL:
            self.suspicion.connection_refused(now)

    def choose_read_pool(
        self, now: float, needed: Position | None, excluded: set[str]
    ) -> ConnectionPool | None:
        """Return where a read with a position should go, or None.

        Args:
          now: The current time in seconds on the loop's clock.
          needed: The position that the server must have.
          excluded: Servers that have failed this read.
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
        )
        return self.pools[chosen] if chosen else None

    def candidate(self, pool: ConnectionPool) -> ServerCandidate:
        """Return a lane's server as the placement sees it.

        Args:
          pool: The lane.
        """
        return ServerCandidate(
            pool.server.server_id,
            self.proxy_location.distance(pool.server.data_center),
            pool.server.slots,
            pool.condition,
            pool.queue.length + pool.limiter.queue.length,
        )

    async def watermark(self, max_age: float) -> Position | None:
        """Return a position that proves an age, or None.

        The primary is asked for a new one before the newest is too old, so
        that reads neither wait for it nor all go to the primary at once.

        Args:
          max_age: The greatest age in seconds.
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
        """Ask the primary for a floor, unless that is under way."""
        pool = self.usable_primary()
        if pool is None or self.refreshing or not pool.has_spare_link():
            return
        self.refreshing = self.loop.create_task(self.fetch_watermark(pool))

    async def fetch_watermark(self, pool: ConnectionPool) -> None:
        """Ask a server that should lead where its log ends."""
        try:
            await self.control.check_primary(pool)
        finally:
            self.refreshing = None
