"""In-memory stand-in for the platform's metadata store."""

import asyncio
import base64
import collections
import contextlib
import json

import attrs
from aiohttp import web


@attrs.define
class StoredRow:
    """Stored row.

    Attributes:
      value: Row contents.
      ver: Version of the transaction that wrote the row.
    """

    value: bytes
    ver: int


@attrs.frozen
class TablesCopy:
    """Copy of all tables.

    Attributes:
      rows: Rows by table and key.
      history: Changes up to the copy.
      ver: Version of the latest transaction in it.
    """

    rows: dict[tuple[str, str], StoredRow]
    history: list[tuple[int, str, str, bytes | None]]
    ver: int


class RowTables:
    """HTTP server for tables of rows, with fault injection.

    Attributes:
      rows: Rows by table and key.
      history: Changes as (version, table, key, value); the value is None for
        a removal.
      trimmed_ver: Version up to which the history was dropped.
      ver: Version of the latest transaction.
      down: Whether every request gets status 503.
      answering: Cleared while requests are to hang without a response.
      lose_answers: Number of upcoming writes that are applied but get no
        response.
      epoch: Number of times that the tables were restored, plus one; sent as
        the `Store-Era` header. None if the store sends no such header.
      calls: Number of requests by path.
      feed_calls: Number of requests for changes by table.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.trimmed_ver = 0
        self.ver = 0
        self.down = False
        self.answering = asyncio.Event()
        self.answering.set()
        self.lose_answers = 0
        self.epoch: int | None = None
        self.calls: dict[str, int] = {}
        self.feed_calls: collections.Counter[str] = collections.Counter()
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.on_response_prepare.append(self.add_epoch)
        app.router.add_get("/rows-get", self.rows_get)
        app.router.add_get("/rows-feed", self.rows_feed)
        app.router.add_post("/rows-tx", self.rows_tx)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        self.notify_waiters()
        if self.runner:
            await self.runner.cleanup()

    def notify_waiters(self) -> None:
        """Wake all requests that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row.

        Args:
          table: Table name.
          key: Row key.
          value: Row contents.
        """
        self.ver += 1
        self.rows[(table, key)] = StoredRow(value, self.ver)
        self.history.append((self.ver, table, key, value))
        self.notify_waiters()

    def remove(self, table: str, key: str) -> None:
        """Remove a row.

        Args:
          table: Table name.
          key: Row key.
        """
        self.ver += 1
        self.rows.pop((table, key), None)
        self.history.append((self.ver, table, key, None))
        self.notify_waiters()

    def trim_history(self) -> None:
        """Drop the change history; feeds from before it get status 410."""
        self.history.clear()
        self.trimmed_ver = self.ver

    async def add_epoch(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        """Add the epoch to a response's headers."""
        if self.epoch is not None:
            response.headers["Store-Era"] = str(self.epoch)

    def copy(self) -> "TablesCopy":
        """Return a copy of the tables, to restore them from later."""
        return TablesCopy(
            {name: attrs.evolve(row) for name, row in self.rows.items()},
            list(self.history),
            self.ver,
        )

    def restore(self, copy: "TablesCopy") -> None:
        """Go back to a copy; later versions are given out again.

        Begins a new epoch. Requests that wait for changes fail.

        Args:
          copy: The copy.
        """
        self.rows = {name: attrs.evolve(r) for name, r in copy.rows.items()}
        self.history = list(copy.history)
        self.ver = copy.ver
        self.epoch = (self.epoch or 0) + 1
        self.notify_waiters()

    async def fault_response(self, path: str) -> web.Response | None:
        """Count a request; return the injected error response, if any."""
        self.calls[path] = self.calls.get(path, 0) + 1
        return await self.current_fault_response()

    async def current_fault_response(self) -> web.Response | None:
        """Return the injected error response, or None."""
        await self.answering.wait()
        return web.Response(status=503) if self.down else None

    def answer(self, rows: list[dict[str, object]]) -> web.Response:
        """Return a response with rows and the current version."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return web.json_response(
            {"rows": rows, "hasMore": False, "ver": self.ver, "nowMs": now_ms}
        )

    async def rows_get(self, request: web.Request) -> web.Response:
        """Return the rows of a key range."""
        fault_response = await self.fault_response("/rows-get")
        if fault_response is not None:
            return fault_response
        table = request.query["table"]
        first = request.query.get("from", "")
        end = request.query.get("target")
        found = [
            row_body(table, key, row.value, row.ver)
            for (of, key), row in sorted(self.rows.items())
            if of == table and key >= first and (end is None or key < end)
        ]
        return self.answer(found)

    async def rows_feed(self, request: web.Request) -> web.Response:
        """Return the changes after a version; long-poll until there are any."""
        table = request.query["table"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["waitMs"]) / 1000
        self.feed_calls[table] += 1
        fault_response = await self.fault_response("/rows-feed")
        while True:
            if fault_response is not None:
                return fault_response
            if after < self.trimmed_ver or after > self.ver:
                return web.Response(status=410)
            found = [
                row_body(of, key, value, ver)
                for ver, of, key, value in self.history
                if of == table and ver > after
            ]
            left = deadline - loop.time()
            if found or left <= 0:
                return self.answer(found)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            fault_response = await self.current_fault_response()

    async def rows_tx(self, request: web.Request) -> web.Response:
        """Apply a transaction atomically; status 412 on a version conflict."""
        fault_response = await self.fault_response("/rows-tx")
        if fault_response is not None:
            return fault_response
        body = json.loads(await request.read())
        for one in body["precondition"]:
            row = self.rows.get((one["table"], one["key"]))
            if (row.ver if row else 0) != one["ver"]:
                return web.json_response({"rows": []}, status=412)
        for one in body["writes"]:
            value = base64.b64decode(one["value"])
            self.put(one["table"], one["key"], value)
        for one in body["remove"]:
            self.remove(one["table"], one["key"])
        if self.lose_answers:
            self.lose_answers -= 1
            if request.transport:
                request.transport.close()
        return self.answer([])


def row_body(
    table: str, key: str, value: bytes | None, ver: int
) -> dict[str, object]:
    """Return a row in its JSON response form."""
    body: dict[str, object] = {
        "table": table,
        "part": "",
        "key": key,
        "ver": ver,
    }
    if value is None:
        body["tombstone"] = True
    else:
        body["value"] = base64.b64encode(value).decode()
    return body
