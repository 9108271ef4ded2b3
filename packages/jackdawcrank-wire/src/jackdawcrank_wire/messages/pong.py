"""The response to a liveness probe."""

import attrs


@attrs.frozen
class Pong:
    """The response to a `Ping`.

    Attributes:
      number: The number of the `Ping`.
    """

    number: int
