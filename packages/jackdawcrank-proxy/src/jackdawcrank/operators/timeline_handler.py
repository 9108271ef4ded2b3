"""Streams the events of this process."""

import asyncio
from collections.abc import Sequence

import attrs
from aiohttp import web

from jackdawcrank.operators.bodies import whole_number
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.problem_answer import BAD_REQUEST, error_answer
from jackdawcrank.operators.watch import LINES
from jackdawcrank.timeline import EventSubscription
from jackdawcrank_wire.events import TimelineEvent, to_json_lines

EVENTS_PER_WRITE = 500


@attrs.frozen
class EventFilter:
    """Which events are wanted.

    Attributes:
      group: The database group; empty for all.
      request_id: The caller's request; empty for all.
      after: The earliest Unix time.
      before: The latest Unix time.
    """

    group: str = ""
    request_id: str = ""
    after: float = float("-inf")
    before: float = float("inf")

    def wants(self, event: TimelineEvent) -> bool:
        """Return whether an event is wanted."""
        if self.group and event.group != self.group:
            return False
        if self.request_id and event.request_id != self.request_id:
            return False
        return self.after <= event.wall <= self.before


class TimelineHandler:
    """Sends events as JSON lines, also those to come."""

    def __init__(self, ports: OperatorPorts, closing: asyncio.Event) -> None:
        self.ports = ports
        self.closing = closing

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        return [web.get("/v1/timeline", self.timeline)]

    async def timeline(self, request: web.Request) -> web.StreamResponse:
        """Send the events above the sequence number in `since`."""
        timeline = self.ports.timeline
        since = whole_number(request, "since", 0)
        wanted = event_filter(request)
        if since is None or wanted is None:
            message = "since, after and before must be numbers"
            return error_answer(BAD_REQUEST, "malformed", message)
        if request.query.get("boot", timeline.boot) != timeline.boot:
            since = 0
        follower = timeline.follow() if request.query.get("follow") else None
        kept = timeline.since(since)
        headers = {
            **LINES,
            "Jackdawcrank-Vm": timeline.vm,
            "Jackdawcrank-Boot": timeline.boot,
            "Jackdawcrank-Dropped": str(kept.dropped),
        }
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            await send_events(response, kept.events, wanted)
            if follower is not None:
                await self.follow(response, follower, wanted)
        except ConnectionError:
            pass
        finally:
            if follower is not None:
                follower.close()
        return response

    async def follow(
        self,
        response: web.StreamResponse,
        follower: EventSubscription,
        wanted: EventFilter,
    ) -> None:
        """Send events as they are recorded, until shutdown."""
        ending = asyncio.ensure_future(self.closing.wait())
        ending.add_done_callback(lambda _: follower.close())
        try:
            async for event in follower:
                await send_events(response, [event], wanted)
        finally:
            ending.cancel()


def event_filter(request: web.Request) -> EventFilter | None:
    """Return the filter in a query; None if it is malformed."""
    query = request.query
    try:
        return EventFilter(
            query.get("group", ""),
            query.get("request", ""),
            float(query.get("after", "-inf")),
            float(query.get("before", "inf")),
        )
    except ValueError:
        return None


async def send_events(
    response: web.StreamResponse,
    events: Sequence[TimelineEvent],
    wanted: EventFilter,
) -> None:
    """Send the wanted ones of some events."""
    chosen = [event for event in events if wanted.wants(event)]
    for start in range(0, len(chosen), EVENTS_PER_WRITE):
        part = chosen[start : start + EVENTS_PER_WRITE]
        await response.write(to_json_lines(part).encode())
