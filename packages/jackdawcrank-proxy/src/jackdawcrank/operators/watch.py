"""Streaming of configuration changes that follow a version."""

import asyncio
import dataclasses
import json
from collections.abc import Sequence

from aiohttp import web

from jackdawcrank.operators.bodies import integer_parameter
from jackdawcrank.operators.documents import change_view
from jackdawcrank.operators.error_responses import (
    BAD_REQUEST,
    GONE,
    error_response,
    store_unavailable_response,
)
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.store import StoreUnavailable
from jackdawcrank.store.change_reader import read_changes
from jackdawcrank_policy.configuration import Change

BOOKMARK_INTERVAL_SECONDS = 10.0
MAX_WATCHES = 200
NDJSON_HEADERS = {"Content-Type": "application/x-ndjson"}


@dataclasses.dataclass(frozen=True)
class ChangesTrimmed:
    """The change that follows the requested version was trimmed."""


class WatchHandler:
    """Sends each change above a version once, in order, as a JSON line.

    Attributes:
      watches: The number of open streams.
      closing: Set at shutdown to end the open streams.
    """

    def __init__(
        self,
        ports: OperatorPorts,
        closing: asyncio.Event,
        bookmark_interval_seconds: float = BOOKMARK_INTERVAL_SECONDS,
    ) -> None:
        self.ports = ports
        self.closing = closing
        self.bookmark_interval_seconds = bookmark_interval_seconds
        self.watches = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        return [web.get("/v1/watch", self.watch)]

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the changes above the version in `from`."""
        follower = self.ports.follower
        version = integer_parameter(request, "from", follower.version)
        if version is None:
            message = "from must be a version, a whole number"
            return error_response(BAD_REQUEST, "malformed", message)
        if self.watches >= MAX_WATCHES:
            message = f"{MAX_WATCHES} watches are open on this VM"
            return error_response(BAD_REQUEST, "too_many", message)
        first_changes = await self.changes_after(version)
        if isinstance(first_changes, StoreUnavailable):
            return store_unavailable_response(False, first_changes.detail)
        if isinstance(first_changes, ChangesTrimmed):
            return gone_response(version, follower.floor)
        response = web.StreamResponse(headers=NDJSON_HEADERS)
        await response.prepare(request)
        self.watches += 1
        try:
            await self.stream(response, version, first_changes)
        except ConnectionError:
            pass
        finally:
            self.watches -= 1
        return response

    async def stream(
        self,
        response: web.StreamResponse,
        version: int,
        changes: Sequence[Change],
    ) -> None:
        """Send the given and all later changes until shutdown."""
        while not self.closing.is_set():
            for change in changes:
                await send_line(response, change_view(change))
                version = change.version
            if not changes and not await self.wait_for_newer(version):
                if self.closing.is_set():
                    return
                bookmark = {"version": version, "bookmark": True}
                await send_line(response, bookmark)
            next_changes = await self.changes_after(version)
            if isinstance(next_changes, ChangesTrimmed | StoreUnavailable):
                return
            changes = next_changes

    async def wait_for_newer(self, version: int) -> bool:
        """Wait for a newer version, at most one bookmark interval."""
        tasks = (
            asyncio.ensure_future(self.ports.follower.wait_above(version)),
            asyncio.ensure_future(self.closing.wait()),
        )
        try:
            await asyncio.wait(
                tasks,
                timeout=self.bookmark_interval_seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for task in tasks:
                task.cancel()
        return self.ports.follower.version > version

    async def changes_after(
        self, version: int
    ) -> Sequence[Change] | ChangesTrimmed | StoreUnavailable:
        """Return the changes above a version, in order and without gaps."""
        recent_changes = self.ports.follower.state.changes_after(version)
        if recent_changes is not None:
            return recent_changes
        read = await read_changes(self.ports.store, version)
        if isinstance(read, StoreUnavailable):
            return read
        if not read or read[0].version != version + 1:
            return ChangesTrimmed()
        return read


def gone_response(version: int, floor: int) -> web.Response:
    """Return the response to a watch from a trimmed version."""
    return error_response(
        GONE,
        "gone",
        f"the changes that follow version {version} are no longer kept",
        "list the resources and watch from the version that the list states",
        floor=floor,
    )


async def send_line(response: web.StreamResponse, document: object) -> None:
    """Send a JSON value as one line."""
    line = json.dumps(document, separators=(",", ":")) + "\n"
    await response.write(line.encode())
