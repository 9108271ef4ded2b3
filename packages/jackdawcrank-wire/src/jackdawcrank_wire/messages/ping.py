"""A liveness probe of a stream."""

import attrs


@attrs.frozen
class Ping:
    """Asks for a `Pong` at once.

    Attributes:
      number: Returned by the answer.
    """

    number: int
