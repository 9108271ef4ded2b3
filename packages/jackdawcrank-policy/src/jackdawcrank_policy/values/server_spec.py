"""The declaration of a backend server."""

import enum

import attrs


class ServerState(enum.StrEnum):
    """The declared state of a backend server."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class ServerSpec:
    """A backend server declared by operators.

    Attributes:
      name: The server's name, unique among all groups.
      group: The server's database group.
      host: The server's IP address.
      port: The server's TCP port.
      region: The server's region.
      data_center: The server's data centre.
      state: Whether the server is joining, serving or leaving.
    """

    name: str
    group: str
    host: str
    port: int
    region: str = ""
    data_center: str = ""
    state: ServerState = ServerState.SERVING
