"""Other proxies that may reach a primary which this one cannot reach."""

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
INQUIRY_TIMEOUT_SECONDS = 0.4
# Exceeds the time in which a proxy asks a server (0.4 s) by the longest round
# trip between proxies (80 ms) and a delayed packet.
WITNESS_TIMEOUT_SECONDS = 0.6
# A second proxy lets the primary step down if the first one does not answer.
ENOUGH_SIGHTINGS = 2
# Bounds the streams that one inquiry opens.
MAX_WITNESSES = 24


@attrs.frozen
class PrimarySighting:
    """A primary that answered another proxy.

    Attributes:
      server_id: The primary.
      stream: The stream to the proxy.
    """

    server_id: str
    stream: HomeStream


class PrimaryWitnesses:
    """Asks the other homes of a group about its primary.

    Attributes:
      router: Holds the streams to other proxies.
      rng: Selects proxies if a group has many homes.
    """

    def __init__(self, router: HomeRouter, rng: random.Random) -> None:
        self.router = router
        self.rng = rng

    async def sightings(
        self, group: GroupRelay, server_id: str
    ) -> list[PrimarySighting]:
        """Return a few proxies that get answers of a group's primary.

        Args:
          group: The group.
          server_id: The primary; empty for the one that each proxy knows.
        """
        homes = self.router.homes.other_homes(group.group)
        if len(homes) > MAX_WITNESSES:
            homes = self.rng.sample(homes, MAX_WITNESSES)
        tasks = [
            asyncio.create_task(self.ask(one, group.name, server_id))
            for one in homes
        ]
        found: list[PrimarySighting] = []
        try:
            async with asyncio.timeout(INQUIRY_TIMEOUT_SECONDS):
                for next_answer in asyncio.as_completed(tasks):
                    sighting = await next_answer
                    if sighting is not None:
                        found.append(sighting)
                    if len(found) >= ENOUGH_SIGHTINGS:
                        break
        except TimeoutError:
            # Proxies that did not answer are cut off themselves, or down.
            pass
        finally:
            await cancel_and_wait(tasks)
        return found

    async def ask(
        self, member: Member, group: str, server_id: str
    ) -> PrimarySighting | None:
        """Return the primary that answered a proxy, or None."""
        stream = await self.router.connected_stream(member)
        if stream is None:
            return None
        reply = await self.request(stream, Kind.CHECK_PRIMARY, group, server_id)
        if reply is None or reply.problem is not None:
            return None
        return PrimarySighting(reply.detail, stream)

    async def step_down(
        self, sighting: PrimarySighting, group: str, term: int
    ) -> Position | None:
        """Let a primary step down through the proxy that reaches it.

        Args:
          sighting: The primary and the proxy.
          group: The group's name.
          term: The term under which it steps down.

        Returns:
          The last position of the primary; None if it is not known to have
          stepped down.
        """
        reply = await self.request(
            sighting.stream, Kind.STEP_DOWN, group, sighting.server_id, term
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
            number, pack(number, kind, *fields), WITNESS_TIMEOUT_SECONDS
        )
        return answer.reply if isinstance(answer, HomeAnswer) else None
