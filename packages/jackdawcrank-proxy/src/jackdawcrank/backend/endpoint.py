"""Where and how to log in at a backend server."""

import attrs


@attrs.frozen
class Endpoint:
    """One backend server's address and login.

    Attributes:
      server: The server's name.
      host: An IP address.
      port: A TCP port.
      database: The database to use, which is the group's name.
      user: The user name.
      password: The password in clear text.
    """

    server: str
    host: str
    port: int
    database: str
    user: str
    password: str = attrs.field(default="", repr=False)
