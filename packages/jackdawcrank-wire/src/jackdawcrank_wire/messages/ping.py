"""A liveness probe of a stream."""

import attrs


@attrs.frozen
class Ping:
    """Requests an immediate `Pong`.

    Attributes:
      number: A number that the `Pong` returns.
    """

    number: int
