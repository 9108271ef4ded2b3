"""Probes of a primary through other proxies that may reach it."""

import asyncio
import random

import attrs

from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.home_messages import Kind, pack
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.home_stream import HomeAnswer, HomeStream
from jackdawcrank.seams.replies import Reply
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.homes import Member
from jackdawcrank_policy.values.position import Position

# The time for all proxies together. One that reaches the primary answers after
# a connection and two requests, of at most 80 ms each; others are not waited for.
PROBE_TIMEOUT_SECONDS = 0.4
# Exceeds the time in which a proxy asks a server (0.4 s) by the longest round
# trip between proxies (80 ms) and a delayed packet.
PEER_TIMEOUT_SECONDS = 0.6
# A second proxy lets the primary step down if the first one does not answer.
ENOUGH_PEERS = 2
# Bounds the streams that one inquiry opens.
MAX_PEERS = 24


@attrs.frozen
class ReachingPeer:
    """A proxy that a primary answers.

    Attributes:
      server_id: The primary.
      stream: The stream to the proxy.
    """

    server_id: str
    stream: HomeStream


class IndirectProbes:
    """Probes primaries through the other homes of their groups.

    Attributes:
      router: Holds the streams to other proxies.
      rng: Selects proxies if a group has many homes.
    """

    def __init__(self, router: HomeRouter, rng: random.Random) -> None:
        self.router = router
        self.rng = rng

    async def reaching_peers(
        self, group: GroupRelay, server_id: str
    ) -> list[ReachingPeer]:
        """Return a few proxies that get answers of a group's primary.

        Args:
          group: The group.
          server_id: The primary; empty for the one that each proxy knows.
        """
        homes = self.router.homes.other_homes(group.group)
        if len(homes) > MAX_PEERS:
            homes = self.rng.sample(homes, MAX_PEERS)
        tasks = [
            asyncio.create_task(self.ask(one, group.name, server_id))
            for one in homes
        ]
        found: list[ReachingPeer] = []
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                for next_answer in asyncio.as_completed(tasks):
                    peer = await next_answer
                    if peer is not None:
                        found.append(peer)
                    if len(found) >= ENOUGH_PEERS:
                        break
        except TimeoutError:
            # Proxies that did not answer are cut off themselves, or down.
            pass
        finally:
            await cancel_and_wait(tasks)
        return found

    async def ask(
        self, member: Member, group: str, server_id: str
    ) -> ReachingPeer | None:
        """Return a proxy if the primary answers it, or None."""
        stream = await self.router.connected_stream(member)
        if stream is None:
            return None
        reply = await self.request(stream, Kind.CHECK_PRIMARY, group, server_id)
        if reply is None or reply.problem is not None:
            return None
        return ReachingPeer(reply.detail, stream)

    async def step_down(
        self, peer: ReachingPeer, group: str, term: int
    ) -> Position | None:
        """Let a primary step down through the proxy that reaches it.

        Args:
          peer: The proxy that reaches the primary.
          group: The group's name.
          term: The term under which it steps down.

        Returns:
          The last position of the primary; None if it is not known to have
          stepped down.
        """
        reply = await self.request(
            peer.stream, Kind.STEP_DOWN, group, peer.server_id, term
        )
        if reply is None or reply.problem is not None:
            return None
        return reply.position

    async def request(
        self, stream: HomeStream, kind: Kind, *fields: str | int
    ) -> Reply | None:
        """Return a proxy's reply, or None if none came in time."""
        number = stream.next_number()
        answer = await stream.wait_answer(
            number, pack(number, kind, *fields), PEER_TIMEOUT_SECONDS
        )
        return answer.reply if isinstance(answer, HomeAnswer) else None
