"""The answer to a liveness probe."""

import attrs


@attrs.frozen
class Pong:
    """Answers a `Ping`.

    Attributes:
      number: The number of the `Ping`.
    """

    number: int
