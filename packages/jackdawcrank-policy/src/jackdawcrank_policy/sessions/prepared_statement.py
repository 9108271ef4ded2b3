"""A prepared statement."""

import attrs


@attrs.frozen
class PreparedStatement:
    """What a prepared name stands for.

    Attributes:
      writes: Whether it changes data.
      shape: The statement's text, opaque to the proxy.
    """

    writes: bool
    shape: str
