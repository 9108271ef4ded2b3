"""A prepared statement."""

import attrs


@attrs.frozen
class PreparedStatement:
    """A statement that a session or a connection has prepared under a name.

    Attributes:
      writes: Whether the statement changes data.
      shape: The statement's text, opaque to the proxy.
    """

    writes: bool
    shape: str
