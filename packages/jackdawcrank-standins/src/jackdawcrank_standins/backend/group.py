"""A database group of backend servers."""

from collections.abc import Iterable

from jackdawcrank_standins.backend.server import PARTITIONED, BackendServer

FIRST_TERM = 1


class BackendGroup:
    """Backend servers that replicate one database.

    Attributes:
      name: The group's name, which is the database's name.
      servers: The servers by name.
      partitioned: The names of servers that other servers cannot reach.
    """

    def __init__(
        self, name: str, servers: Iterable[BackendServer] = ()
    ) -> None:
        self.name = name
        self.servers: dict[str, BackendServer] = {}
        self.partitioned: set[str] = set()
        for server in servers:
            self.add(server)

    def add(self, server: BackendServer) -> None:
        """Take a server into the group."""
        self.servers[server.name] = server

    async def start(
        self, host: str = "127.0.0.1", primary: str | None = None
    ) -> None:
        """Start all servers on free ports, with a primary of term 1.

        Args:
          host: The IP address to listen on.
          primary: The first primary's name; the first server by default.
        """
        for server in self.servers.values():
            await server.start(host)
        if self.servers:
            self.appoint(primary or next(iter(self.servers)))

    def appoint(self, primary: str) -> None:
        """Make a server the primary of the first term."""
        for server in self.servers.values():
            server.replication.fence(FIRST_TERM)
            server.replication.announce(FIRST_TERM, 0, primary)

    async def close(self) -> None:
        """Close all servers."""
        for server in self.servers.values():
            await server.close()

    def wake_all(self) -> None:
        """Make all servers look for new entries."""
        for server in self.servers.values():
            server.replication.wake()

    def reachable(
        self, follower: BackendServer, name: str
    ) -> BackendServer | None:
        """Return a server if another one can pull from it now."""
        server = self.servers.get(name)
        if server is None or not server.up or server.paused:
            return None
        if {follower.name, name} & self.partitioned:
            return None
        return server

    def partition(
        self, name: str, from_proxies: bool = True, from_servers: bool = True
    ) -> None:
        """Make packets from and to a server vanish.

        Args:
          name: The server's name.
          from_proxies: Whether packets of its clients vanish.
          from_servers: Whether packets of other servers vanish.
        """
        if from_proxies:
            self.servers[name].network.block(PARTITIONED)
        if from_servers:
            self.partitioned.add(name)

    def heal(self, name: str) -> None:
        """Let packets from and to a server pass again."""
        self.servers[name].network.unblock(PARTITIONED)
        self.partitioned.discard(name)
        self.wake_all()
