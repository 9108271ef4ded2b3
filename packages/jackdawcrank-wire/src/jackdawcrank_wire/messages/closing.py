"""The orderly end of a stream."""

import attrs


@attrs.frozen
class Closing:
    """Says that the sender takes no more requests on this stream.

    Requests up to a number are still answered; those above it reach no
    handler.

    Attributes:
      last_request_number: The newest request that is or was handled.
    """

    last_request_number: int
