"""Options of an embedded system and its stand-ins."""

import attrs

OPERATOR_TOKEN = "demo:operator-token-of-the-demo"
CALLER_USER = "app"
CALLER_PASSWORD = "app-password"
BACKEND_USER = "proxy"
BACKEND_PASSWORD = "proxy"


@attrs.frozen
class EmbeddedOptions:
    """The size and behavior of an embedded system.

    Attributes:
      vms: The number of proxies.
      groups: The names of the database groups.
      servers_per_group: The number of backend servers in each group.
      slots: The number of statements that a backend server runs concurrently.
      connection_limit: The maximum number of connections to one group.
      connect_seconds: The time to open a connection to a backend server.
      lag_seconds: The replication lag of the replicas.
      statement_seconds: The service time of a statement.
      confirm_writes: Whether a replica must confirm each write.
    """

    vms: int = 3
    groups: tuple[str, ...] = ("depot",)
    servers_per_group: int = 3
    slots: int = 5
    connection_limit: int = 80
    connect_seconds: float = 0.01
    lag_seconds: float = 0.2
    statement_seconds: float = 0.0
    confirm_writes: bool = False
