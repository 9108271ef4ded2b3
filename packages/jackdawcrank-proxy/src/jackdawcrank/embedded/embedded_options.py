"""How large an embedded system is and how its stand-ins behave."""

import attrs

OPERATOR_TOKEN = "demo:operator-token-of-the-demo"
CALLER_USER = "app"
CALLER_PASSWORD = "app-password"
BACKEND_USER = "proxy"
BACKEND_PASSWORD = "proxy"


@attrs.frozen
class EmbeddedOptions:
    """The size and manner of an embedded system.

    Attributes:
      vms: The number of proxies.
      groups: The names of the database groups.
      servers_per_group: Backend servers of each group.
      slots: Statements that one backend server runs at once.
      connection_limit: Connections that one group accepts.
      connect_seconds: What a new connection to a backend server costs.
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
