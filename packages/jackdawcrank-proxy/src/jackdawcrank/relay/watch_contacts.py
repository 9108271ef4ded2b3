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
VOUCHED_SECONDS = 1.25
# A VM that was asked and does not vouch in this time relies on others itself.
ANSWER_SECONDS = 1.0


class WatchContacts:
    """Finds enough VMs that tell what the store's tables hold.

    Attributes:
      router: Holds the streams.
      members: Knows the VMs.
      followers: The tables.
      relied: The tables that others vouch for now.
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
        self.relied: set[str] = set()
        self.ordered_for: dict[str, Member] = {}
        self.order: tuple[Member, ...] = ()
        self.subscription: Subscription | None = None
        for follower in self.followers:
            follower.vouched = self.vouched

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

    def above(self) -> tuple[Member, ...]:
        """Return the VMs that this one may rely on, best first."""
        members = self.members.members
        if members is not self.ordered_for:
            self.ordered_for = members
            order = upstream_vms(self.members.own, members.values())
            self.order = order[:MAX_UPSTREAMS]
        return self.order

    def streams(self) -> list[HomeStream]:
        """Return the open streams to those VMs."""
        found = (self.router.stream_to(one.vm) for one in self.above())
        return [one for one in found if one is not None]

    def vouched(self, table: str) -> bool:
        """Return whether others tell every change of a table.

        Args:
          table: The table.
        """
        vouching = [
            one
            for one in self.streams()
            if one.has_confirmed(table, VOUCHED_SECONDS)
        ]
        return len(vouching) >= MIN_UPSTREAMS

    async def check(self, _now: float) -> None:
        """Ask more VMs to tell the tables, if too few do.

        Args:
          _now: The timer's time.
        """
        tables = {one.table for one in self.followers if one.wanted()}
        self.note(tables)
        useful = 0
        for member in self.above():
            if useful >= MIN_UPSTREAMS:
                return
            stream = await self.router.connected_stream(member)
            if stream is None or stream.leaving:
                continue
            stream.subscribe(tables)
            useful += self.useful(stream, tables)

    def useful(self, stream: HomeStream, tables: set[str]) -> bool:
        """Return whether a VM vouches, or has just been asked to."""
        now = self.router.loop.time()
        if now - stream.subscribed_at < ANSWER_SECONDS:
            return True
        return all(stream.has_confirmed(one, VOUCHED_SECONDS) for one in tables)

    def note(self, tables: set[str]) -> None:
        """Log when this VM begins or ceases to rely on others."""
        relied = {one for one in tables if self.vouched(one)}
        if relied != self.relied:
            self.relied = relied
            self.log.event("relies_on_others", tables=sorted(relied))
