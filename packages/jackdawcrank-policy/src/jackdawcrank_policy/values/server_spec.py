"""What operators declare of a backend server."""

import enum

import attrs


class ServerState(enum.StrEnum):
    """Whether a backend server should be used."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class ServerSpec:
    """A declared backend server.

    Attributes:
      name: The server's name, unique among all groups.
      group: The database group that it belongs to.
      host: An IP address.
      port: A TCP port.
      region: The region that it stands in.
      data_center: The data centre that it stands in.
      state: Whether it is joining, serving or leaving.
    """

    name: str
    group: str
    host: str
    port: int
    region: str = ""
    data_center: str = ""
    state: ServerState = ServerState.SERVING
