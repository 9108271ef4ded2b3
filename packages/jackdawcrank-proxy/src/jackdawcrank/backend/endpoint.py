"""Address and credentials of a backend server."""

import attrs


@attrs.frozen
class Endpoint:
    """Address and credentials of one backend server.

    Attributes:
      server: The server's name.
      host: The IP address.
      port: The TCP port.
      database: The default database, which is the group's name.
      user: The user name.
      password: The password in plain text.
    """

    server: str
    host: str
    port: int
    database: str
    user: str
    password: str = attrs.field(default="", repr=False)
