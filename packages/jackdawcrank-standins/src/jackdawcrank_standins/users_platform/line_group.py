"""The servers of one group and who of them leads."""

import asyncio

import attrs

from jackdawcrank_standins.users_platform.line_server import LineServer


@attrs.define(eq=False)
class LineGroup:
    """A primary, its replicas, and the order of their commits.

    Attributes:
      name: The group's name.
      sync_replicas: Replicas that must receive a commit before its answer.
      promote_seconds: From an order to its effect.
      servers: The servers by id.
      term: The newest term.
      highest_token: The highest fencing token seen.
      orders: Every order: token, server and status.
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
        """Return the server that leads, or None."""
        for server in self.servers.values():
            if server.is_primary and server.running:
                return server
        return None

    def replicate(self, primary: LineServer) -> int:
        """Send a primary's log to its replicas; return who received it."""
        received = 0
        for server in self.servers.values():
            if server is primary or not server.receives():
                continue
            server.receive(primary.log)
            received += 1
        return received

    def promote(self, server_id: str, token: int) -> int:
        """Carry out an order; return the status of the answer.

        Args:
          server_id: The server to promote.
          token: The order's fencing token.
        """
        status = self.validate_order(server_id, token)
        self.orders.append((token, server_id, status))
        if status == 200:
            task = asyncio.create_task(self.apply_promotion(server_id))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return status

    def validate_order(self, server_id: str, token: int) -> int:
        """Return the status of an order and remember its token."""
        if token < self.highest_token:
            return 409
        self.highest_token = token
        server = self.servers.get(server_id)
        return 200 if server is not None and server.running else 409

    async def apply_promotion(self, server_id: str) -> None:
        """Make a server the primary of the next term."""
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
