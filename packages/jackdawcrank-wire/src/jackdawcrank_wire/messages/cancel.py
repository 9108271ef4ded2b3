"""The end of interest in an answer."""

import attrs


@attrs.frozen
class Cancel:
    """Says that nobody waits for the answer to a request any more.

    Attributes:
      request_number: The number of the request.
    """

    request_number: int
