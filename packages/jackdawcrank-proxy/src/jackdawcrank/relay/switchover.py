"""Switchover from a primary that this or another proxy reaches."""

import asyncio

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import HeldClaim
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.indirect_probes import (
    IndirectProbes,
    ReachingPeer,
)
from jackdawcrank.relay.successor_promotion import (
    POLL_SECONDS,
    ReplacementResult,
    SuccessorPromotion,
)
from jackdawcrank.seams.commands import Demote, QueryStatus
from jackdawcrank_policy.values.position import Position

# Time for a replica to receive all entries of the old primary. Replicas lag in
# receiving only by the network delay.
CATCH_UP_TIMEOUT_SECONDS = 2.0
# Each takes up to 0.4 s if the answer is lost.
STEP_DOWN_ATTEMPTS = 3


class Switchover:
    """Lets a group's primary step down and promotes a replica that caught up.

    Attributes:
      group: The group.
      promotion: Promotes servers.
      indirect_probes: Reaches primaries through other proxies.
      log: Records decisions.
    """

    def __init__(
        self,
        group: GroupRelay,
        promotion: SuccessorPromotion,
        indirect_probes: IndirectProbes,
        log: DecisionLog,
    ) -> None:
        self.group = group
        self.control = group.control
        self.promotion = promotion
        self.indirect_probes = indirect_probes
        self.log = log
        self.loop = asyncio.get_running_loop()

    async def run(
        self,
        held_claim: HeldClaim,
        old_primary: ConnectionPool | None,
        reaching_peers: list[ReachingPeer],
    ) -> ReplacementResult:
        """Switch over from a primary that this or another proxy reaches.

        Args:
          held_claim: The claim on the succession.
          old_primary: The primary; None if only other proxies know it.
          reaching_peers: The proxies that reach the primary; empty if this one does.
        """
        if old_primary is None and reaching_peers:
            old_primary = self.group.pools.get(reaching_peers[0].server_id)
        if old_primary is None:
            # It is listed for the other proxies only.
            return ReplacementResult.NOTHING_DONE
        staying_replicas = [
            one
            for one in self.group.other_pools(old_primary)
            if not one.server.leaving
        ]
        answers = await self.control.send_to_all(
            staying_replicas, QueryStatus()
        )
        if not any(one.status for one in answers):
            self.log.event("no_successor", group=self.group.name, missing=())
            return ReplacementResult.NOTHING_DONE
        terms = [one.status.term + 1 for one in answers if one.status]
        term = max([self.group.next_term(), *terms])
        final_position = await self.step_down(old_primary, reaching_peers, term)
        if final_position is None:
            return ReplacementResult.NOTHING_DONE
        server_id = await self.wait_for_position(
            staying_replicas, final_position
        )
        if server_id is None:
            self.log.event(
                "hand_over_undone",
                group=self.group.name,
                position=str(final_position),
            )
            server_id = old_primary.server.server_id
        return await self.promotion.promote(held_claim, server_id)

    async def step_down(
        self,
        old_primary: ConnectionPool,
        reaching_peers: list[ReachingPeer],
        term: int,
    ) -> Position | None:
        """Let a primary step down; return its last position.

        The command is repeated, since its answer may be lost.

        Args:
          old_primary: The primary.
          reaching_peers: The proxies that reach it; empty if this one does.
          term: The term under which it steps down.

        Returns:
          The position; None if the primary is not known to have stepped down.
        """
        for attempt in range(STEP_DOWN_ATTEMPTS):
            if reaching_peers:
                position = await self.indirect_probes.step_down(
                    reaching_peers[attempt % len(reaching_peers)],
                    self.group.name,
                    term,
                )
                if position is not None:
                    return position
                continue
            answer = await self.control.send_command(old_primary, Demote(term))
            if answer.status is not None and not answer.status.leads:
                return answer.status.received
        return None

    async def wait_for_position(
        self, pools: list[ConnectionPool], position: Position
    ) -> str | None:
        """Return the nearest replica that received a position, or None."""
        deadline = self.loop.time() + CATCH_UP_TIMEOUT_SECONDS
        while self.loop.time() < deadline:
            answers = await self.control.send_to_all(pools, QueryStatus())
            candidates = [
                one.pool
                for one in answers
                if one.status and one.status.received >= position
            ]
            if candidates:
                nearest = min(
                    candidates,
                    key=lambda one: self.group.proxy_location.distance(
                        one.server.data_center
                    ),
                )
                return nearest.server.server_id
            await asyncio.sleep(POLL_SECONDS)
        return None
