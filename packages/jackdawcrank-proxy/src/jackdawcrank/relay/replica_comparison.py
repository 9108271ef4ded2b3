"""Suspension and comparison of a group's replicas."""

import asyncio
from collections.abc import Awaitable, Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import HeldClaim
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.control_commands import StatusResult
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.seams.commands import (
    QueryStatus,
    ResumeReplication,
    SuspendReplication,
)
from jackdawcrank_policy.succession import Election, FrozenServer


class ReplicaComparison:
    """The replicas that are suspended under one claim.

    Attributes:
      group: The group.
      old_primary: The pool of the failed primary, or None.
      refresh_servers: Reads the table of servers; returns whether the store
        answered.
      log: Records decisions.
      term: The term under which the replicas were suspended; 0 before the first
        comparison.
      suspended: The answers of the suspended replicas.
    """

    def __init__(
        self,
        group: GroupRelay,
        old_primary: ConnectionPool | None,
        refresh_servers: Callable[[], Awaitable[bool]],
        log: DecisionLog,
    ) -> None:
        self.group = group
        self.control = group.control
        self.old_primary = old_primary
        self.refresh_servers = refresh_servers
        self.log = log
        self.term = 0
        self.suspended: list[StatusResult] = []

    def replicas(self) -> list[ConnectionPool]:
        """Return the pools of all servers except the old primary."""
        return self.group.other_pools(self.old_primary)

    async def compare(self, election: Election) -> bool:
        """Suspend all replicas and compare what they have received.

        The table of servers is read meanwhile, so that a replica that joins is
        listed as early as possible.

        Args:
          election: Receives the result.

        Returns:
          Whether the store answered.
        """
        replicas = self.replicas()
        if not self.term:
            answers = await self.control.send_to_all(replicas, QueryStatus())
            terms = [one.status.term + 1 for one in answers if one.status]
            self.term = max([self.group.next_term(), *terms])
        answers, refreshed = await asyncio.gather(
            self.control.send_to_all(replicas, SuspendReplication(self.term)),
            self.refresh_servers(),
        )
        self.suspended = [one for one in answers if one.status]
        election.compared_replicas(
            [one.server.server_id for one in replicas],
            [
                FrozenServer(
                    one.pool.server.server_id,
                    one.status.received,
                    one.pool.server.leaving,
                    self.group.proxy_location.distance(
                        one.pool.server.data_center
                    ),
                )
                for one in answers
                if one.status is not None
            ],
            self.group.recently_missing(),
        )
        return refreshed

    async def resume(self, held_claim: HeldClaim, promoted: str = "") -> None:
        """Let the suspended replicas receive entries again.

        If this process was silent for too long, another one may have suspended
        them since, to compare their positions. They must not confirm commits of
        the old primary then.

        Args:
          held_claim: The claim under which they were suspended.
          promoted: The server that is primary now; empty if none was promoted.
        """
        pools = [
            one.pool
            for one in self.suspended
            if one.pool.server.server_id != promoted
        ]
        if held_claim.may_have_lapsed():
            pools = await self.suspended_under(pools)
        await self.control.send_to_all(pools, ResumeReplication())

    async def suspended_under(
        self, pools: list[ConnectionPool]
    ) -> list[ConnectionPool]:
        """Return the servers that were not suspended under a later term.

        Args:
          pools: The servers.
        """
        answers = await self.control.send_to_all(pools, QueryStatus())
        later = [
            one.pool.server.server_id
            for one in answers
            if one.status and one.status.suspended_at_term > self.term
        ]
        if later:
            self.log.event(
                "resume_left_out",
                group=self.group.name,
                servers=later,
                term=self.term,
            )
        return [
            one.pool
            for one in answers
            if one.status and one.status.suspended_at_term <= self.term
        ]
