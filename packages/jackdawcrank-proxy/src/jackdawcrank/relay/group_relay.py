"""What this proxy knows and holds of one group."""

import asyncio
import functools
from collections.abc import Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.server_lane import OPEN_TIMEOUT_SECONDS, ServerLane
from jackdawcrank.relay.server_questions import ServerQuestions
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.seams.server_connection import ConnectionOpener, OpenFailure
from jackdawcrank_policy.catalog import ListedServer, ServedGroup
from jackdawcrank_policy.floors import WatermarkHistory
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

# A floor is renewed at half of the age that it may have, so that even one that
# takes a round trip between regions (80 ms) to get comes in time.
REFRESH_SHARE = 0.5
# Longer than that round trip and a handshake; then the read goes to the
# primary itself.
FLOOR_WAIT_SECONDS = 0.3
# Statements that all homes together give a server at first, for each of its
# slots: while one runs, the next is on its way.
SLOT_WINDOW = 2.0
# A server that crashed is back within seconds on our users' sites (7 s at
# most); one that is gone for this long is gone for good.
RETURN_SECONDS = 30.0
# How soon a waiting statement notices that a primary answers again.
LOOK_AGAIN_SECONDS = 0.1


class Whereabouts:
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
        here = self.regions.get(self.data_center)
        if here is not None and self.regions.get(data_center) == here:
            return Distance.REGION
        return Distance.ELSEWHERE


class GroupRelay:
    """One group's servers, its primary, and how fresh each server is.

    Attributes:
      name: The group's name.
      lanes: The connections by server.
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
        opener: ConnectionOpener,
        whereabouts: Whereabouts,
        contact: StoreContact,
        homes: Homes,
        log: DecisionLog,
    ) -> None:
        self.homes = homes
        self.contact = contact
        self.group = group
        self.name = group.name
        self.opener = opener
        self.whereabouts = whereabouts
        self.log = log
        self.lanes: dict[str, ServerLane] = {}
        self.declared_version = 0
        self.watermarks = WatermarkHistory()
        self.questions = ServerQuestions(self)
        self.refreshing: asyncio.Task[None] | None = None
        self.doubt = PrimarySuspicion()
        self.primary_id: str | None = None
        self.lead_since: dict[str, int] = {}
        self.disowned: dict[str, int] = {}
        self.departed: dict[str, float] = {}
        self.last_primary_id: str | None = None
        self.changed = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.relief = SwitchoverTrigger(self.loop.time())

    def apply_servers(self, servers: Iterable[ListedServer]) -> None:
        """Take in the servers that the group has now.

        Args:
          servers: All of them, as they last reported themselves.
        """
        listed = {one.server_id: one for one in servers}
        for server_id, lane in list(self.lanes.items()):
            server = listed.get(server_id)
            if server is None or not server.same_process(lane.server):
                lane.retire()
                del self.lanes[server_id]
                if not lane.server.leaving:
                    self.departed[server_id] = self.loop.time()
                self.lead_since.pop(server_id, None)
                self.log.event("server_gone", group=self.name, server=server_id)
        for server in listed.values():
            self.apply_server(server)
        self.settle_primary()

    def apply_server(self, server: ListedServer) -> None:
        """Take in one server's report.

        Args:
          server: The report.
        """
        lane = self.lanes.get(server.server_id)
        if lane is None:
            lane = ServerLane(
                server,
                self.opener,
                self.connection_limit(),
                SLOT_WINDOW * server.slots / self.homes.plan(self.group).homes,
                self.log,
                functools.partial(self.idle_link_lost, server.server_id),
            )
            self.lanes[server.server_id] = lane
            self.log.event(
                "server_listed",
                group=self.name,
                server=server.server_id,
                leads=server.reports_primary,
                leaving=server.leaving,
                revision=server.revision,
            )
        elif lane.server != server:
            self.log.event(
                "server_reported",
                group=self.name,
                server=server.server_id,
                leads=server.reports_primary,
                leaving=server.leaving,
                revision=server.revision,
            )
        lane.server = server
        if not server.reports_primary:
            self.lead_since.pop(server.server_id, None)
        else:
            self.lead_since.setdefault(server.server_id, server.revision)

    def connection_limit(self) -> int:
        """Return the connections of one server that this proxy may hold."""
        return self.homes.plan(self.group).connections

    def settle_primary(self) -> None:
        """Decide which server leads, from reports and answers."""
        claims = [
            (since, server_id)
            for server_id, since in self.lead_since.items()
            if self.disowned.get(server_id) != self.revision(server_id)
        ]
        primary = max(claims)[1] if claims else None
        self.set_primary(primary)

    def revision(self, server_id: str) -> int:
        """Return the revision of a server's report.

        Args:
          server_id: A listed server.
        """
        return self.lanes[server_id].server.revision

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
            self.relief.primary_replaced(self.loop.time())
        self.primary_id = server_id
        self.last_primary_id = server_id or self.last_primary_id
        self.doubt = PrimarySuspicion()
        self.changed.set()
        self.changed = asyncio.Event()

    def unaccounted(self) -> list[str]:
        """Return servers that may be back any moment, unknown to the list.

        One of them may already confirm commits of a living primary.
        """
        oldest = self.loop.time() - RETURN_SECONDS
        self.departed = {
            server_id: since
            for server_id, since in self.departed.items()
            if since >= oldest and server_id not in self.lanes
        }
        return [one for one in self.departed if one != self.last_primary_id]

    def promoted(self, server_id: str) -> None:
        """Take in that the authority named a new primary.

        Args:
          server_id: The new primary.
        """
        if server_id not in self.lanes:
            return
        newest = max(self.lead_since.values(), default=0)
        self.lead_since[server_id] = newest + 1
        self.disowned.pop(server_id, None)
        self.settle_primary()

    def disown(self, lane: ServerLane) -> None:
        """Take in that a server answered that it does not lead.

        Args:
          lane: Its connections.
        """
        server = lane.server
        self.log.event(
            "not_primary",
            group=self.name,
            server=server.server_id,
            revision=server.revision,
        )
        self.disowned[server.server_id] = server.revision
        self.lead_since.pop(server.server_id, None)
        self.settle_primary()

    def primary_lane(self) -> ServerLane | None:
        """Return the connections of the present primary, or None."""
        return self.lanes.get(self.primary_id) if self.primary_id else None

    async def wait_for_primary(self, deadline: float) -> ServerLane | None:
        """Return a primary's lane, waiting while one is being replaced.

        Without the store no proxy here can replace it, and none elsewhere
        could tell: then whoever asks is better served by another proxy.

        Args:
          deadline: When to give up, in seconds on the loop's clock.
        """
        while True:
            lane = self.usable_primary()
            if lane is not None:
                return lane
            now = self.loop.time()
            if self.contact.lost or now >= deadline:
                return None
            changed = self.changed
            try:
                async with asyncio.timeout_at(
                    min(deadline, now + LOOK_AGAIN_SECONDS)
                ):
                    await changed.wait()
            except TimeoutError:
                continue

    def usable_primary(self) -> ServerLane | None:
        """Return the primary's lane unless it is taken to be lost."""
        lane = self.primary_lane()
        if lane is None:
            return None
        doubt = self.doubt.suspected_failure(self.loop.time())
        return (
            lane
            if doubt in (FailureKind.NONE, FailureKind.UNCONFIRMED)
            else None
        )

    def note_lost(
        self,
        lane: ServerLane,
        silent: bool,
        sent_at: float,
        wrote: bool = False,
    ) -> None:
        """Take in a statement whose answer did not come.

        Args:
          lane: Where it was sent.
          silent: Whether the connection stood all the while.
          sent_at: When it was sent, in seconds on the loop's clock.
          wrote: Whether it waited for replicas to confirm a commit.
        """
        if lane is not self.primary_lane():
            return
        if not silent:
            self.doubt.connection_refused(self.loop.time())
        elif wrote:
            self.doubt.write_unconfirmed(sent_at)
        else:
            self.doubt.request_timed_out(sent_at)

    def idle_link_lost(self, server_id: str) -> None:
        """Take in that a server ended a connection that nobody used.

        Args:
          server_id: The server.
        """
        lane = self.lanes.get(server_id)
        if lane is not None:
            self.note_lost(lane, silent=False, sent_at=self.loop.time())

    def note_unreachable(self, lane: ServerLane, failure: OpenFailure) -> None:
        """Take in that no connection could be made.

        Args:
          lane: Where to.
          failure: Why not.
        """
        if lane is not self.primary_lane():
            return
        now = self.loop.time()
        if failure is OpenFailure.SILENT:
            self.doubt.request_timed_out(now - OPEN_TIMEOUT_SECONDS)
        elif failure is not OpenFailure.FULL:
            self.doubt.connection_refused(now)

    def read_lane(
        self, now: float, needed: Position | None, excluded: set[str]
    ) -> ServerLane | None:
        """Return where a read with a position should go, or None.

        Args:
          now: The current time in seconds on the loop's clock.
          needed: The position that the server must have.
          excluded: Servers that have failed this read.
        """
        chosen = choose_server(
            [
                self.candidate(lane)
                for lane in self.lanes.values()
                if not lane.server.leaving
                and lane.server.server_id not in excluded
            ],
            now,
            needed,
            self.primary_id,
        )
        return self.lanes[chosen] if chosen else None

    def candidate(self, lane: ServerLane) -> ServerCandidate:
        """Return a lane's server as the placement sees it.

        Args:
          lane: The lane.
        """
        return ServerCandidate(
            lane.server.server_id,
            self.whereabouts.distance(lane.server.data_center),
            lane.server.slots,
            lane.condition,
            lane.line.length + lane.gate.line.length,
        )

    async def floor(self, max_age: float) -> Position | None:
        """Return a position that proves an age, or None.

        The primary is asked for a new one before the newest is too old, so
        that reads neither wait for it nor all go to the primary at once.

        Args:
          max_age: The greatest age in seconds.
        """
        newest = self.watermarks.newest()
        now = boot_seconds()
        if newest is None or now - newest.asked_at > max_age * REFRESH_SHARE:
            self.refresh_floor()
        floor = self.watermarks.oldest_within(now, max_age)
        if floor is None and self.refreshing is not None:
            await asyncio.wait([self.refreshing], timeout=FLOOR_WAIT_SECONDS)
            floor = self.watermarks.oldest_within(boot_seconds(), max_age)
        return floor.position if floor else None

    def refresh_floor(self) -> None:
        """Ask the primary for a floor, unless that is under way."""
        lane = self.usable_primary()
        if lane is None or self.refreshing or not lane.has_spare_link():
            return
        self.refreshing = self.loop.create_task(self.ask_for_floor(lane))

    async def ask_for_floor(self, lane: ServerLane) -> None:
        """Ask a server that should lead where its log ends."""
        try:
            await self.questions.leads(lane)
        finally:
            self.refreshing = None
