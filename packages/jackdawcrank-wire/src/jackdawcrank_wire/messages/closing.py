"""The graceful shutdown of a stream."""

import attrs


@attrs.frozen
class Closing:
    """Announces that the sender accepts no more requests on this stream.

    Requests up to `last_request_number` are still answered; later requests
    are not passed to a handler.

    Attributes:
      last_request_number: The number of the last request that was received
        before the shutdown.
    """

    last_request_number: int
