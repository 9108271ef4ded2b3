"""Sharing of servers' capacity between the homes of a group."""

import asyncio
import typing
from collections.abc import Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.home_messages import Fields, Kind, pack
from jackdawcrank.relay.homes import Homes
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.capacity import HolderChoice, ServerPermits, Share

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.home_router import HomeRouter

# Interval at which contention and the validity of grants are checked; half of
# the interval of reports, so that a burst is reported soon.
TICK_SECONDS = 0.05
# Reports about a group are at least this far apart.
REPORT_INTERVAL_SECONDS = 0.1
# A server is reported for this time after its last contention.
CONTENDED_SECONDS = 1.0
# A holder that was paused for longer may have been replaced meanwhile.
PAUSE_SECONDS = 0.3
# A holder keeps the estimates of a group for this time after the last report,
# so that the next burst of a busy period begins with them.
HOLDER_SECONDS = 30.0
SHARES_LOG_SECONDS = 5.0
# The largest number of servers in one report that are answered.
MAX_SERVERS = 64


@attrs.define(eq=False)
class ReportingGroup:
    """What this VM knows as a home of a group.

    Attributes:
      choice: Chooses the capacity holder.
      reported_at: When the last report was due.
      contended_at: When each server was last found contended.
      shares: The last grant of each server.
    """

    choice: HolderChoice = attrs.Factory(HolderChoice)
    reported_at: float = float("-inf")
    contended_at: dict[str, float] = attrs.Factory(dict)
    shares: dict[str, Share] = attrs.Factory(dict)


@attrs.define(eq=False)
class HeldGroup:
    """What this VM knows as the capacity holder of a group.

    Attributes:
      reported_at: When the last report arrived.
      servers: The permits by server.
      logged_at: When the shares of each server were last logged.
    """

    reported_at: float
    servers: dict[str, ServerPermits] = attrs.Factory(dict)
    logged_at: dict[str, float] = attrs.Factory(dict)


class CapacityShares:
    """Reports contended servers, applies granted shares and grants them.

    Times are in seconds since boot.

    Attributes:
      own: The name of this VM.
      directory: Provides the groups and their pools.
      homes: Selects the homes of a group.
      log: Records the decisions.
      clock: Returns the current time.
      router: Holds the streams to other VMs.
      reporting: The groups that this VM has reported, by name.
      held: The groups whose capacity this VM allocates, by name.
      checked_at: When a pause of this process was last checked for.
    """

    def __init__(
        self,
        directory: Directory,
        homes: Homes,
        log: DecisionLog,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self.own = homes.rows.own.vm
        self.directory = directory
        self.homes = homes
        self.log = log
        self.clock = clock
        self.router: HomeRouter | None = None
        self.reporting: dict[str, ReportingGroup] = {}
        self.held: dict[str, HeldGroup] = {}
        self.checked_at = clock()
        self.subscription: Subscription | None = None
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    async def start(self, timer: Timer) -> None:
        """Start to report.

        Args:
          timer: Schedules the reports.
        """
        self.subscription = timer.subscribe(
            "capacity shares", TICK_SECONDS, self.tick
        )

    async def close(self) -> None:
        """Stop reporting and end all grants."""
        if self.subscription:
            self.subscription.close()
        for name in list(self.reporting):
            self.leave_group(name)
        await cancel_and_wait(self.tasks)

    async def tick(self, _now: float) -> None:
        """Report contended servers and end grants that are not renewed.

        Args:
          _now: The timer's time; not used.
        """
        now = self.clock()
        self.check_pause(now)
        for name in list(self.reporting):
            if name not in self.directory.groups:
                del self.reporting[name]
        for group in list(self.directory.groups.values()):
            self.check_contention(group, now)
            if group.name in self.reporting:
                self.maintain(group, self.reporting[group.name], now)
        self.held = {
            name: held
            for name, held in self.held.items()
            if now - held.reported_at < HOLDER_SECONDS
        }

    def check_pause(self, now: float) -> None:
        """Discard the holder's state if this process was paused."""
        if now - self.checked_at > TICK_SECONDS + PAUSE_SECONDS:
            self.held.clear()
        self.checked_at = now

    def check_contention(self, group: GroupRelay, now: float) -> None:
        """Record which servers of a group are contended now."""
        for server_id, pool in group.pools.items():
            if pool.limiter.contention.contended:
                state = self.reporting.setdefault(group.name, ReportingGroup())
                state.contended_at[server_id] = now

    def maintain(
        self, group: GroupRelay, state: ReportingGroup, now: float
    ) -> None:
        """End grants that have expired and send a report if one is due."""
        ranked = self.homes.homes_by_weight(group.group)
        if self.own not in ranked:
            self.leave_group(group.name)
            return
        state.contended_at = {
            server_id: at
            for server_id, at in state.contended_at.items()
            if now - at < CONTENDED_SECONDS and server_id in group.pools
        }
        for server_id, share in list(state.shares.items()):
            if not share.is_valid(now):
                del state.shares[server_id]
                self.end_share(group, server_id, share)
        if state.contended_at:
            # A tick may come slightly early.
            due = state.reported_at + REPORT_INTERVAL_SECONDS
            if now >= due - TICK_SECONDS / 2:
                self.report(group, state, ranked, now)
        elif not state.shares:
            del self.reporting[group.name]

    def leave_group(self, name: str) -> None:
        """End the grants of a group of which this VM is no home any more."""
        state = self.reporting.pop(name)
        group = self.directory.groups.get(name)
        if group is None:
            return
        for pool in group.pools.values():
            pool.limiter.contention.take(0)
        for server_id, share in state.shares.items():
            self.end_share(group, server_id, share)

    def end_share(
        self, group: GroupRelay, server_id: str, share: Share
    ) -> None:
        """Let a pool use its own window again."""
        pool = group.pools.get(server_id)
        if pool is not None and pool.limiter.window.granted is not None:
            homes = self.homes.plan(group.group).homes
            size = share.own_window(pool.server.slots, homes)
            pool.limiter.window.end_grant(size)
            serve_waiting(pool)

    def report(
        self,
        group: GroupRelay,
        state: ReportingGroup,
        ranked: tuple[str, ...],
        now: float,
    ) -> None:
        """Report the contended servers of a group to its holder."""
        vm = state.choice.holder(ranked, now)
        if vm is None:
            return
        if vm != self.own:
            state.choice.report_due(vm, now)
            if not self.connected(vm):
                return
        state.reported_at = now
        entries: list[Fields] = []
        for server_id in state.contended_at:
            pool = group.pools[server_id]
            demand, refusals = pool.limiter.contention.take(pool.demand())
            entries.append([server_id, demand, refusals])
        if vm == self.own:
            places = self.allocate(vm, group.name, entries, now)
            self.apply_shares(group, state, places, now)
            return
        stream = self.router.stream_to(vm) if self.router else None
        if stream is not None:
            stream.send(
                pack(
                    0,
                    Kind.CAPACITY_REPORT,
                    self.own,
                    group.name,
                    entries,
                    now,
                )
            )

    def connected(self, vm: str) -> bool:
        """Return whether a stream to a VM is open; open one if it is not."""
        if self.router is None:
            return False
        if self.router.stream_to(vm) is not None:
            return True
        member = self.homes.rows.members.get(vm)
        route = self.router.routes.get(vm)
        if member is not None and (route is None or route.opening is None):
            task = asyncio.get_running_loop().create_task(
                self.router.connected_stream(member)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return False

    def report_received(self, fields: Fields) -> bytes:
        """Return the answer to a report of another home.

        Args:
          fields: The fields of the message.

        Raises:
          ValueError: The message is malformed.
          TypeError: A field has the wrong type.
        """
        vm, name, entries, asked_at = fields
        now = self.clock()
        self.check_pause(now)
        places = self.allocate(str(vm), str(name), entries[:MAX_SERVERS], now)
        return pack(0, Kind.CAPACITY_GRANT, self.own, name, places, asked_at)

    def allocate(
        self, vm: str, name: str, entries: list[Fields], now: float
    ) -> list[Fields]:
        """Return the permits of a home: entries of server and places.

        Args:
          vm: The home that reports.
          name: The group.
          entries: The server, the demand and the refusals of each entry.
          now: The current time.
        """
        group = self.directory.groups.get(name)
        homes = self.homes.homes_by_weight(group.group) if group else ()
        if group is None or self.own not in homes:
            self.held.pop(name, None)
            return [[server_id, 0] for server_id, _, _ in entries]
        held = self.held.get(name)
        if held is None:
            held = self.held[name] = HeldGroup(now)
            self.log.event("capacity_holder", group=name, homes=len(homes))
        held.reported_at = now
        granted: list[Fields] = []
        for server_id, demand, refusals in entries:
            places = 0
            pool = group.pools.get(server_id)
            if pool is not None:
                permits = held.servers.get(server_id)
                if permits is None or permits.slots != pool.server.slots:
                    permits = ServerPermits(pool.server.slots)
                    held.servers[server_id] = permits
                places = permits.serve(
                    vm, int(demand), int(refusals), homes, now
                )
                self.log_shares(held, name, server_id, now)
            granted.append([server_id, places])
        return granted

    def log_shares(
        self, held: HeldGroup, name: str, server_id: str, now: float
    ) -> None:
        """Log the shares of a server unless they were logged recently."""
        logged_at = held.logged_at.get(server_id, float("-inf"))
        if now - logged_at < SHARES_LOG_SECONDS:
            return
        held.logged_at[server_id] = now
        permits = held.servers[server_id]
        reports = permits.reports.items()
        self.log.event(
            "capacity_shares",
            group=name,
            server=server_id,
            total=int(permits.total),
            demand={home: report.demand for home, report in reports},
            places={home: report.places for home, report in reports},
        )

    def grant_received(self, fields: Fields) -> None:
        """Apply the answer of a capacity holder.

        Args:
          fields: The fields of the message.

        Raises:
          ValueError: The message is malformed.
          TypeError: A field has the wrong type.
        """
        vm, name, entries, asked_at = fields
        group = self.directory.groups.get(name)
        state = self.reporting.get(name)
        if group is None or state is None:
            return
        now = self.clock()
        if entries and not any(places for _, places in entries):
            # It does not take itself for a home of the group.
            state.choice.skip(vm, now)
            return
        state.choice.answered(vm)
        self.apply_shares(group, state, entries, asked_at)

    def apply_shares(
        self,
        group: GroupRelay,
        state: ReportingGroup,
        entries: list[Fields],
        asked_at: float,
    ) -> None:
        """Use granted shares unless they are late or older than others."""
        for server_id, places in entries:
            share = Share(asked_at, int(places))
            last = state.shares.get(server_id)
            pool = group.pools.get(server_id)
            if (
                pool is None
                or not places
                or not share.is_valid(self.clock())
                or (last is not None and asked_at < last.asked_at)
            ):
                continue
            state.shares[server_id] = share
            pool.limiter.window.grant(share.places)
            serve_waiting(pool)


def serve_waiting(pool: ConnectionPool) -> None:
    """Serve the requests for which the limiter of a pool now has room.

    Args:
      pool: The pool.
    """
    pool.limiter.admit_waiting()
    pool.open_more()
