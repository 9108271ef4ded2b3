"""Streams to the VMs that follow the store for this one."""

from collections.abc import Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.home_stream import HomeStream
from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.homes import (
    MAX_UPSTREAMS,
    MIN_UPSTREAMS,
    Member,
    upstream_vms,
)

# A VM that was relied on and is gone is replaced this soon; meanwhile the
# store is followed here.
CHECK_SECONDS = 0.5
# Twice the interval at which a VM vouches, and half of it for the way.
HEARTBEAT_TIMEOUT_SECONDS = 1.25
# A VM that was asked and does not vouch in this time relies on others itself.
SUBSCRIBE_TIMEOUT_SECONDS = 1.0


class UpstreamSelector:
    """Finds enough VMs that tell what the store's tables hold.

    Attributes:
      router: Holds the streams.
      members: Knows the VMs.
      followers: The tables.
      relayed_tables: The tables that others vouch for now.
    """

    def __init__(
        self,
        router: HomeRouter,
        members: MemberRows,
        followers: Iterable[TableFollower],
        log: DecisionLog,
    ) -> None:
        self.router = router
        self.members = members
        self.followers = tuple(followers)
        self.log = log
        self.relayed_tables: set[str] = set()
        self.cached_members: dict[str, Member] = {}
        self.cached_upstreams: tuple[Member, ...] = ()
        self.subscription: Subscription | None = None
        for follower in self.followers:
            follower.has_upstreams = self.has_upstreams

    async def start(self, timer: Timer) -> None:
        """Begin to look for VMs.

        Args:
          timer: Calls back.
        """
        self.subscription = timer.subscribe(
            "contacts", CHECK_SECONDS, self.check
        )

    async def close(self) -> None:
        """Stop looking."""
        if self.subscription:
            self.subscription.close()

    def upstreams(self) -> tuple[Member, ...]:
        """Return the VMs that this one may rely on, best first."""
        members = self.members.members
        if members is not self.cached_members:
            self.cached_members = members
            cached_upstreams = upstream_vms(self.members.own, members.values())
            self.cached_upstreams = cached_upstreams[:MAX_UPSTREAMS]
        return self.cached_upstreams

    def streams(self) -> list[HomeStream]:
        """Return the open streams to those VMs."""
        found = (self.router.stream_to(one.vm) for one in self.upstreams())
        return [one for one in found if one is not None]

    def has_upstreams(self, table: str) -> bool:
        """Return whether others tell every change of a table.

        Args:
          table: The table.
        """
        live_streams = [
            one
            for one in self.streams()
            if one.vouches(table, HEARTBEAT_TIMEOUT_SECONDS)
        ]
        return len(live_streams) >= MIN_UPSTREAMS

    async def check(self, _now: float) -> None:
        """Ask more VMs to tell the tables, if too few do.

        Args:
          _now: The timer's time.
        """
        tables = {one.table for one in self.followers if one.needed()}
        self.log_relayed_tables(tables)
        usable = 0
        for member in self.upstreams():
            if usable >= MIN_UPSTREAMS:
                return
            stream = await self.router.reach(member)
            if stream is None or stream.leaving:
                continue
            stream.follow(tables)
            usable += self.usable(stream, tables)

    def usable(self, stream: HomeStream, tables: set[str]) -> bool:
        """Return whether a VM vouches, or has just been asked to."""
        now = self.router.loop.time()
        if now - stream.asked_at < SUBSCRIBE_TIMEOUT_SECONDS:
            return True
        return all(
            stream.vouches(one, HEARTBEAT_TIMEOUT_SECONDS) for one in tables
        )

    def log_relayed_tables(self, tables: set[str]) -> None:
        """Log when this VM begins or ceases to rely on others."""
        relayed_tables = {one for one in tables if self.has_upstreams(one)}
        if relayed_tables != self.relayed_tables:
            self.relayed_tables = relayed_tables
            self.log.event("relies_on_others", tables=sorted(relayed_tables))
