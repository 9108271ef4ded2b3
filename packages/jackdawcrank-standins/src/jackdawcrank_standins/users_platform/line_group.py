"""Database group of line protocol servers and its primary."""

import asyncio

import attrs

from jackdawcrank_standins.users_platform.line_server import LineServer


@attrs.define(eq=False)
class LineGroup:
    """Primary and replicas of a database group.

    Attributes:
      name: Group name.
      sync_replicas: Number of replicas that must receive a commit before it
        is acknowledged.
      promote_seconds: Delay between a promotion request and its effect.
      servers: Servers by id.
      term: Current term.
      highest_token: Highest fencing token seen.
      orders: All promotion requests as (fencing token, server id, HTTP
        status).
      tasks: Promotions in progress.
    """

    name: str
    sync_replicas: int = 1
    promote_seconds: float = 0.05
    servers: dict[str, LineServer] = attrs.Factory(dict)
    term: int = 1
    highest_token: int = 0
    orders: list[tuple[int, str, int]] = attrs.Factory(list)
    tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    def primary(self) -> LineServer | None:
        """Return the running primary, or None."""
        for server in self.servers.values():
            if server.is_primary and server.running:
                return server
        return None

    def replicate(self, primary: LineServer) -> int:
        """Copy the primary's log to its replicas; return how many got it."""
        received = 0
        for server in self.servers.values():
            if server is primary or not server.receives():
                continue
            server.receive(primary.log)
            received += 1
        return received

    def promote(self, server_id: str, token: int) -> int:
        """Handle a promotion request; return the HTTP status.

        Args:
          server_id: Server to promote.
          token: Fencing token of the request.
        """
        status = self.validate_order(server_id, token)
        self.orders.append((token, server_id, status))
        if status == 200:
            task = asyncio.create_task(self.apply_promotion(server_id))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return status

    def validate_order(self, server_id: str, token: int) -> int:
        """Return the HTTP status of a request and record its token."""
        if token < self.highest_token:
            return 409
        self.highest_token = token
        server = self.servers.get(server_id)
        return 200 if server is not None and server.running else 409

    async def apply_promotion(self, server_id: str) -> None:
        """Make a server the primary of the next term after the delay."""
        await asyncio.sleep(self.promote_seconds)
        chosen = self.servers[server_id]
        if chosen.is_primary:
            return
        self.term += 1
        for server in self.servers.values():
            server.is_primary = server is chosen
            server.suspended_term = 0
            server.term = self.term
            if server is not chosen and server.running:
                del server.log[len(chosen.log) :]
            server.report()
