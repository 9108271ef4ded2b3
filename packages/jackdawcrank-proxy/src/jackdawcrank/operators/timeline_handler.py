"""Streaming of the events of this process."""

import asyncio
from collections.abc import Sequence

import attrs
from aiohttp import web

from jackdawcrank.operators.bodies import integer_parameter
from jackdawcrank.operators.error_responses import BAD_REQUEST, error_response
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.watch import NDJSON_HEADERS
from jackdawcrank.timeline import EventSubscription
from jackdawcrank_wire.events import TimelineEvent, to_json_lines

EVENTS_PER_WRITE = 500


@attrs.frozen
class EventFilter:
    """Selects events by group, request and time.

    Attributes:
      group: The database group; empty for all.
      request_id: The request id; empty for all.
      after: The earliest Unix time, in seconds.
      before: The latest Unix time, in seconds.
    """

    group: str = ""
    request_id: str = ""
    after: float = float("-inf")
    before: float = float("inf")

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event passes the filter."""
        if self.group and event.group != self.group:
            return False
        if self.request_id and event.request_id != self.request_id:
            return False
        return self.after <= event.wall <= self.before


class TimelineHandler:
    """Sends retained and, on request, new events as JSON lines."""

    def __init__(self, ports: OperatorPorts, closing: asyncio.Event) -> None:
        self.ports = ports
        self.closing = closing

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        return [web.get("/v1/timeline", self.timeline)]

    async def timeline(self, request: web.Request) -> web.StreamResponse:
        """Send the events above the sequence number in `since`."""
        timeline = self.ports.timeline
        since = integer_parameter(request, "since", 0)
        event_filter = parse_event_filter(request)
        if since is None or event_filter is None:
            message = "since, after and before must be numbers"
            return error_response(BAD_REQUEST, "malformed", message)
        if request.query.get("boot", timeline.boot) != timeline.boot:
            since = 0
        subscription = (
            timeline.follow() if request.query.get("follow") else None
        )
        retained = timeline.since(since)
        headers = {
            **NDJSON_HEADERS,
            "Jackdawcrank-Vm": timeline.vm,
            "Jackdawcrank-Boot": timeline.boot,
            "Jackdawcrank-Dropped": str(retained.dropped),
        }
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            await send_events(response, retained.events, event_filter)
            if subscription is not None:
                await self.follow(response, subscription, event_filter)
        except ConnectionError:
            pass
        finally:
            if subscription is not None:
                subscription.close()
        return response

    async def follow(
        self,
        response: web.StreamResponse,
        subscription: EventSubscription,
        event_filter: EventFilter,
    ) -> None:
        """Send events as they are recorded, until shutdown."""
        closing_task = asyncio.ensure_future(self.closing.wait())
        closing_task.add_done_callback(lambda _: subscription.close())
        try:
            async for event in subscription:
                await send_events(response, [event], event_filter)
        finally:
            closing_task.cancel()


def parse_event_filter(request: web.Request) -> EventFilter | None:
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
    event_filter: EventFilter,
) -> None:
    """Send the events that match a filter."""
    matching_events = [event for event in events if event_filter.matches(event)]
    for start in range(0, len(matching_events), EVENTS_PER_WRITE):
        batch = matching_events[start : start + EVENTS_PER_WRITE]
        await response.write(to_json_lines(batch).encode())
