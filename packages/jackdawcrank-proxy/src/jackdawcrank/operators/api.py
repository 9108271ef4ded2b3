"""HTTP server of the resource API."""

import asyncio
from collections.abc import Sequence

from aiohttp import web

from jackdawcrank.operators.action_handlers import ActionHandlers
from jackdawcrank.operators.auth import require_token
from jackdawcrank.operators.bodies import MAX_BODY_BYTES
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.resource_handlers import ResourceHandlers
from jackdawcrank.operators.timeline_handler import TimelineHandler
from jackdawcrank.operators.watch import WatchHandler
from jackdawcrank_wire.resources.openapi import openapi_document

SHUTDOWN_TIMEOUT_SECONDS = 2.0
KEEPALIVE_TIMEOUT_SECONDS = 30.0
MAX_HEADER_LINE_BYTES = 8190


class OperatorApi:
    """Serves the resource API on one port.

    Attributes:
      host: The address to listen on.
      port: The port; after `start`, the bound port.
      closing: Set at shutdown to end the open streams.
    """

    def __init__(
        self,
        host: str,
        port: int,
        tokens: Sequence[str],
        ports: OperatorPorts,
    ) -> None:
        """Initialize the API without opening its port.

        Args:
          host: The address to listen on.
          port: The port; 0 selects a free one.
          tokens: The bearer tokens; `NAME:SECRET` identifies the holder.
          ports: The proxy functions that the API uses.
        """
        self.host = host
        self.port = port
        self.tokens = tuple(tokens)
        self.ports = ports
        self.closing = asyncio.Event()
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
          OSError: The address is not available.
        """
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[require_token(self.tokens)],  # type: ignore[list-item]
        )
        app.add_routes([web.get("/v1/openapi.json", self.openapi)])
        for handler in (
            ActionHandlers(self.ports),
            WatchHandler(self.ports, self.closing),
            TimelineHandler(self.ports, self.closing),
            ResourceHandlers(self.ports),
        ):
            app.add_routes(handler.routes())
        self.runner = web.AppRunner(
            app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, self.port)
        await site.start()
        self.port = int(self.runner.addresses[0][1])

    async def close(self) -> None:
        """End the streams, wait for requests in flight and close the port.

        Requests get at most SHUTDOWN_TIMEOUT_SECONDS to finish.
        """
        self.closing.set()
        runner, self.runner = self.runner, None
        if runner is not None:
            await runner.cleanup()

    async def openapi(self, request: web.Request) -> web.Response:
        """Return the OpenAPI document."""
        return web.json_response(openapi_document())
