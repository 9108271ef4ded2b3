"""In-process stand-in for the users' platform."""

import asyncio
import json
import pathlib

from aiohttp import web

from jackdawcrank_standins.users_platform.line_group import LineGroup
from jackdawcrank_standins.users_platform.line_server import LineServer
from jackdawcrank_standins.users_platform.port_blocks import free_ports
from jackdawcrank_standins.users_platform.row_tables import RowTables

ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
KINDS = {
    "primary": 0,
    "bounded_staleness": 1_500,
    "read_your_writes": 2_500,
}


class StandinPlatform:
    """Database groups, metadata store, promotion endpoint and settings.

    Each group `G` has the databases `G-primary`, `G-bounded_staleness` and
    `G-read_your_writes`.

    Attributes:
      groups: Database groups by name.
      store: Metadata store.
      version: Version of the latest configuration.
      connections: Connection limit per server.
      accounts: Client accounts in the configuration's form; None declares none.
      account_bounds: Lines of the settings about client accounts.
      removed_databases: Databases left out of the configuration.
      address_ports: Ports to register for servers instead of their own, by
        server id.
      lose_orders: Number of upcoming promotion calls that are carried out but
        get no response.
      promotion_delay_seconds: Delay before a promotion call without a response
        is carried out.
      promotion_callers: Holder and fencing token of every promotion call.
    """

    def __init__(self, names: tuple[str, ...] = ("plots",)) -> None:
        self.store = RowTables()
        self.groups = {name: LineGroup(name) for name in names}
        self.version = 0
        self.timeout_ms = 1_000
        self.idle_ms = 3_000
        self.connections = 72
        self.accounts: list[dict[str, object]] | None = None
        self.account_bounds: list[str] = []
        self.removed_databases: set[str] = set()
        self.address_ports: dict[str, int] = {}
        self.lose_orders = 0
        self.promotion_delay_seconds = 0.0
        self.promotion_callers: list[tuple[str, int]] = []
        self.delayed_promotions: set[asyncio.Task[None]] = set()
        self.runner: web.AppRunner | None = None
        self.duty_port = 0

    async def start(self) -> None:
        """Start the store, the promotion endpoint and all servers."""
        await self.store.start()
        app = web.Application()
        app.router.add_post("/promotion", self.promotion)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.duty_port = self.runner.addresses[0][1]
        for group in self.groups.values():
            for zone in ZONES:
                await self.add_server(group, f"{group.name}-{zone}", zone)
        self.configure()

    async def close(self) -> None:
        """Stop all servers, the promotion endpoint and the store."""
        for group in self.groups.values():
            for server in group.servers.values():
                await server.close()
        for task in self.delayed_promotions:
            task.cancel()
        if self.runner:
            await self.runner.cleanup()
        await self.store.close()

    async def add_server(
        self, group: LineGroup, server_id: str, zone: str
    ) -> LineServer:
        """Start a server; the first one of a group is the primary.

        Args:
          group: Group that the server joins.
          server_id: Server id.
          zone: Zone of the server.
        """
        server = LineServer(server_id, group, zone, self.report)
        primary = group.primary()
        server.is_primary = not group.servers
        if primary:
            server.receive(primary.log)
        group.servers[server_id] = server
        await server.start()
        server.report()
        return server

    def report(self, server: LineServer) -> None:
        """Write a server's registration to the store."""
        port = self.address_ports.get(server.server_id, server.port)
        body = {
            "service": server.group.name,
            "address": f"127.0.0.1:{port}",
            "zone": server.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if server.draining else "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if server.is_primary else "replica",
            "seqNo": 1,
            "born": 1_700_000_000_000,
        }
        self.store.put("servers", server.server_id, json.dumps(body).encode())

    def configure(self) -> None:
        """Write the next configuration version to the store."""
        self.version += 1
        routes = [
            {
                "name": f"r-{name}-{kind}",
                "host": f"{name}-{kind}",
                "prefix": "/",
                "routeType": kind,
                "timeoutMs": self.timeout_ms,
                "aimMs": 400,
                "priority": 1,
                "service": name,
                "maxAttempts": 2,
                **({"maxStalenessMs": age} if age else {}),
            }
            for name in self.groups
            for kind, age in KINDS.items()
            if f"{name}-{kind}" not in self.removed_databases
        ]
        services = [
            {
                "name": name,
                "maxConns": self.connections,
                "syncReplicas": group.sync_replicas,
            }
            for name, group in self.groups.items()
        ]
        body = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"txIdleMs": self.idle_ms},
        }
        if self.accounts is not None:
            body["tenants"] = self.accounts
        self.store.put("op", "config", json.dumps(body).encode())

    async def promotion(self, request: web.Request) -> web.Response:
        """Handle a promotion call."""
        body = json.loads(await request.read())
        token = int(request.headers["X-Jackdawcrank-Fencing-Token"])
        holder = request.headers["X-Jackdawcrank-Duty-Holder"]
        self.promotion_callers.append((holder, token))
        group = self.groups[body["service"]]
        if self.lose_orders:
            self.lose_orders -= 1
            task = asyncio.create_task(
                self.promote_unanswered(group, body, token)
            )
            self.delayed_promotions.add(task)
            if request.transport:
                request.transport.close()
            return web.Response(status=500)
        return web.Response(status=group.promote(body["id"], token))

    async def promote_unanswered(
        self, group: LineGroup, body: dict[str, str], token: int
    ) -> None:
        """Carry out a promotion call that got no response, after a delay."""
        await asyncio.sleep(self.promotion_delay_seconds)
        group.promote(body["id"], token)

    def write_boot_file(
        self, path: pathlib.Path, vm: str, zone: str, first_start: bool = False
    ) -> int:
        """Write the settings of a proxy process; return its port for callers.

        Args:
          path: Settings file to write.
          vm: VM of the process.
          zone: Zone of the VM.
          first_start: Whether the whole system starts for the first time.
        """
        front, ready, control, peers = free_ports(4)
        lines = [
            f'nodeName = "{vm}"',
            f'zone = "{zone}"',
            'contracts = ["health"]',
            f"bootstrap = {str(first_start).lower()}",
            f"internalPorts = [{peers}, {peers}]",
            "[zones]",
            *(f'{one} = "{region}"' for one, region in ZONES.items()),
            "[listen]",
            f'front = "127.0.0.1:{front}"',
            f'readyAddr = "127.0.0.1:{ready}"',
            f'control = "127.0.0.1:{control}"',
            "[bounds]",
            "drainMs = 7000",
            "graceS = 2",
            "configApplyMs = 3000",
            *self.account_bounds,
            "[platform]",
            f'address = "127.0.0.1:{self.store.port}"',
            "[cloudApi]",
            f'address = "127.0.0.1:{self.duty_port}"',
        ]
        path.write_text("\n".join(lines) + "\n")
        return front
