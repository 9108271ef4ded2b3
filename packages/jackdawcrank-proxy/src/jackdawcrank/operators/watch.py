"""Streams changes from a version on."""

import asyncio
import dataclasses
import json
from collections.abc import Sequence

from aiohttp import web

from jackdawcrank.operators.bodies import whole_number
from jackdawcrank.operators.documents import change_view
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.problem_answer import (
    BAD_REQUEST,
    GONE,
    error_answer,
    unavailable_answer,
)
from jackdawcrank.store import StoreUnavailable
from jackdawcrank.store.change_reader import read_changes
from jackdawcrank_policy.configuration import Change

BOOKMARK_SECONDS = 10.0
MAX_WATCHES = 200
LINES = {"Content-Type": "application/x-ndjson"}


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """The change that follows a version is no longer kept."""


class WatchHandler:
    """Sends each change above a version once, in order, as a JSON line.

    Attributes:
      watches: How many streams are open.
      closing: Set when the process shuts down; ends the streams.
    """

    def __init__(
        self,
        ports: OperatorPorts,
        closing: asyncio.Event,
        bookmark_seconds: float = BOOKMARK_SECONDS,
    ) -> None:
        self.ports = ports
        self.closing = closing
        self.bookmark_seconds = bookmark_seconds
        self.watches = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        return [web.get("/v1/watch", self.watch)]

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the changes above the version in `from`."""
        follower = self.ports.follower
        version = whole_number(request, "from", follower.version)
        if version is None:
            message = "from must be a version, a whole number"
            return error_answer(BAD_REQUEST, "malformed", message)
        if self.watches >= MAX_WATCHES:
            message = f"{MAX_WATCHES} watches are open on this VM"
            return error_answer(BAD_REQUEST, "too_many", message)
        first = await self.changes_after(version)
        if isinstance(first, StoreUnavailable):
            return unavailable_answer(False, first.detail)
        if isinstance(first, Forgotten):
            return gone(version, follower.floor)
        response = web.StreamResponse(headers=LINES)
        await response.prepare(request)
        self.watches += 1
        try:
            await self.stream(response, version, first)
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
        """Send changes and then those that follow, until shutdown."""
        while not self.closing.is_set():
            for change in changes:
                await send_line(response, change_view(change))
                version = change.version
            if not changes and not await self.newer_than(version):
                if self.closing.is_set():
                    return
                bookmark = {"version": version, "bookmark": True}
                await send_line(response, bookmark)
            following = await self.changes_after(version)
            if isinstance(following, Forgotten | StoreUnavailable):
                return
            changes = following

    async def newer_than(self, version: int) -> bool:
        """Wait a while for a version above the given one."""
        waits = (
            asyncio.ensure_future(self.ports.follower.wait_above(version)),
            asyncio.ensure_future(self.closing.wait()),
        )
        try:
            await asyncio.wait(
                waits,
                timeout=self.bookmark_seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()
        return self.ports.follower.version > version

    async def changes_after(
        self, version: int
    ) -> Sequence[Change] | Forgotten | StoreUnavailable:
        """Return the changes above a version, in order and without gaps."""
        known = self.ports.follower.state.changes_after(version)
        if known is not None:
            return known
        read = await read_changes(self.ports.store, version)
        if isinstance(read, StoreUnavailable):
            return read
        if not read or read[0].version != version + 1:
            return Forgotten()
        return read


def gone(version: int, floor: int) -> web.Response:
    """Return the answer to a watch from a version that is too old."""
    return error_answer(
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
