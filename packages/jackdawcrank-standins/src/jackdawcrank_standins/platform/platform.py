"""The HTTP service of the platform stand-in."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web

from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.faults.board import FaultBoard
from jackdawcrank_standins.faults.fault import Accepted, parse_fault
from jackdawcrank_standins.store.object_store import (
    ObjectStore,
    Stored,
)
from jackdawcrank_standins.store.store_faults import StopMode, StoreFaults
from jackdawcrank_standins.store.table_store import TableStore
from jackdawcrank_standins.store.transaction import (
    Committed,
    Conflicted,
    parse_transaction,
)
from jackdawcrank_standins.store.usage import Usage
from jackdawcrank_standins.store.vm_list import VmList

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_SECONDS = 0.1
DEFAULT_SCAN_LIMIT = 1000
VM_LIST_LAG_SECONDS = 2.0
CONTROL_PATHS = ("/faults", "/usage")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Platform:
    """Serves tables, objects and the list of VMs, with fault injection.

    Attributes:
      tables: The table service.
      objects: The object store.
      vms: The list of VMs.
      faults: The active faults of the service.
      usage: Counters of requests, rows and bytes.
      board: Injects and ends faults of the service and backend servers.
      url: The base URL of the service; empty before it is started.
      runner: The running HTTP server, or None.
    """

    def __init__(self, vm_lag_seconds: float = VM_LIST_LAG_SECONDS) -> None:
        self.tables = TableStore()
        self.objects = ObjectStore()
        self.vms = VmList(vm_lag_seconds)
        self.faults = StoreFaults()
        self.usage = Usage()
        self.board = FaultBoard(self.faults, self.vms)
        self.url = ""
        self.runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start serving.

        Args:
          host: The IP address to listen on.
          port: The TCP port; 0 picks a free one.
        """
        self.runner = web.AppRunner(
            self.application(),
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        bound_port = self.runner.addresses[0][1]
        self.url = f"http://{host}:{bound_port}"

    async def close(self) -> None:
        """Stop serving."""
        self.board.close()
        self.faults.heal()
        runner, self.runner = self.runner, None
        if runner is not None:
            await runner.cleanup()

    def list_vm(self, vm: Vm) -> None:
        """Add or change a VM without the lag of the list of VMs."""
        now = asyncio.get_running_loop().time()
        self.vms.put(vm, now, at_once=True)

    def application(self) -> web.Application:
        """Return the web application."""
        application = web.Application(
            middlewares=[self.apply_faults], client_max_size=MAX_BODY_BYTES
        )
        application.add_routes(
            [
                web.get("/tables/{table}/{key:.+}", self.get_row),
                web.get("/tables/{table}", self.scan),
                web.post("/transactions", self.transact),
                web.get("/objects", self.list_objects),
                web.get("/objects/{name:.+}", self.get_object),
                web.put("/objects/{name:.+}", self.put_object),
                web.delete("/objects/{name:.+}", self.delete_object),
                web.get("/vms", self.list_vms),
                web.get("/faults", self.get_faults),
                web.post("/faults", self.post_fault),
                web.get("/usage", self.get_usage),
            ]
        )
        return application

    @web.middleware
    async def apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Apply the active faults to a request and count its usage.

        The paths in `CONTROL_PATHS` are exempt.
        """
        if request.path in CONTROL_PATHS:
            return await handler(request)
        try:
            # A request that was received in full takes effect even if the
            # client disconnects.
            await request.read()
        except ConnectionError:
            return bad_request("the request body is incomplete")
        refused_response = await self.delay_or_refuse(request)
        if refused_response is not None:
            return refused_response
        response = await handler(request)
        self.usage.bytes_in += request.content_length or 0
        if isinstance(response, web.Response):
            self.usage.bytes_out += response.content_length or 0
        if request.method != "GET" and self.faults.loses_answer():
            self.abort_connection(request)
        return response

    async def delay_or_refuse(
        self, request: web.Request
    ) -> web.Response | None:
        """Delay or refuse a request as the active faults require.

        A request that may proceed is counted as a read or a write.

        Returns:
          A 503 response if the request is refused; None if it may proceed.
        """
        if self.faults.slow_seconds > 0:
            await asyncio.sleep(self.faults.slow_seconds)
        if self.faults.stopped:
            self.usage.refused += 1
            if self.faults.mode is StopMode.REFUSE:
                return web.json_response({"error": "unavailable"}, status=503)
            await self.faults.gate.wait()
        now = asyncio.get_running_loop().time()
        rate_counter = (
            self.usage.reads if request.method == "GET" else self.usage.writes
        )
        rate_counter.add(now)
        return None

    def abort_connection(self, request: web.Request) -> None:
        """Abort the connection of a client before the response is sent."""
        if request.transport is not None:
            request.transport.abort()

    async def get_row(self, request: web.Request) -> web.Response:
        """Handle `GET /tables/T/K`."""
        row = self.tables.get(
            request.match_info["table"], request.match_info["key"]
        )
        if row is None:
            return web.json_response({"error": "no such row"}, status=404)
        return web.json_response({"value": row.value, "version": row.version})

    async def scan(self, request: web.Request) -> web.Response:
        """Handle `GET /tables/T`."""
        try:
            limit = int(request.query.get("limit", DEFAULT_SCAN_LIMIT))
        except ValueError:
            return bad_request("limit is not an integer")
        if limit < 1:
            return bad_request("limit is not positive")
        after = request.query.get("after", "")
        rows, more = self.tables.scan(request.match_info["table"], after, limit)
        return web.json_response(
            {"rows": [attrs.asdict(row) for row in rows], "more": more}
        )

    async def transact(self, request: web.Request) -> web.Response:
        """Handle `POST /transactions`."""
        try:
            transaction = parse_transaction(await request.json())
        except (ValueError, UnicodeDecodeError) as error:
            return bad_request(str(error))
        match self.tables.transact(transaction):
            case Committed(versions):
                self.usage.rows_written += len(transaction.puts)
                self.usage.rows_written += len(transaction.deletes)
                versions_by_row = {
                    str(row): version for row, version in versions.items()
                }
                return web.json_response({"versions": versions_by_row})
            case Conflicted(conflicts):
                return web.json_response(
                    {
                        "conflicts": [
                            {
                                "table": conflict.row.table,
                                "key": conflict.row.key,
                                "version": conflict.version,
                                "value": conflict.value,
                            }
                            for conflict in conflicts
                        ]
                    },
                    status=409,
                )

    async def get_object(self, request: web.Request) -> web.Response:
        """Handle `GET /objects/NAME`."""
        found = self.objects.get(request.match_info["name"])
        if found is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.Response(
            body=found.data,
            headers={"ETag": found.etag},
            content_type="application/octet-stream",
        )

    async def put_object(self, request: web.Request) -> web.Response:
        """Handle `PUT /objects/NAME`."""
        result = self.objects.put(
            request.match_info["name"],
            await request.read(),
            request.headers.get("If-Match"),
            request.headers.get("If-None-Match"),
        )
        if isinstance(result, Stored):
            return web.Response(status=204, headers={"ETag": result.etag})
        headers = {} if result.etag is None else {"ETag": result.etag}
        return web.json_response(
            {"error": "precondition failed"}, status=412, headers=headers
        )

    async def delete_object(self, request: web.Request) -> web.Response:
        """Handle `DELETE /objects/NAME`."""
        deleted = self.objects.delete(request.match_info["name"])
        return web.Response(status=204 if deleted else 404)

    async def list_objects(self, request: web.Request) -> web.Response:
        """Handle `GET /objects`."""
        names = self.objects.names(request.query.get("prefix", ""))
        return web.json_response({"names": names})

    async def list_vms(self, request: web.Request) -> web.Response:
        """Handle `GET /vms`."""
        now = asyncio.get_running_loop().time()
        vms = [attrs.asdict(vm) for vm in self.vms.listed(now)]
        return web.json_response({"vms": vms})

    async def get_faults(self, request: web.Request) -> web.Response:
        """Handle `GET /faults`."""
        return web.json_response(
            {"active": self.board.active(), "servers": self.board.servers()}
        )

    async def post_fault(self, request: web.Request) -> web.Response:
        """Handle `POST /faults`."""
        try:
            fault = parse_fault(await request.json())
        except ValueError as error:
            return bad_request(str(error))
        outcome = await self.board.apply(fault)
        if isinstance(outcome, Accepted):
            return web.json_response({"active": self.board.active()})
        return bad_request(outcome.reason)

    async def get_usage(self, request: web.Request) -> web.Response:
        """Handle `GET /usage`."""
        return web.json_response(self.usage.as_json())


def bad_request(message: str) -> web.Response:
    """Return the response to an invalid request."""
    body: dict[str, Any] = {"error": message}
    return web.Response(
        status=400,
        text=json.dumps(body),
        content_type="application/json",
    )
