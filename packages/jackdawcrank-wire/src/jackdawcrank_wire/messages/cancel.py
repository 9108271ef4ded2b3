"""The cancellation of a request."""

import attrs


@attrs.frozen
class Cancel:
    """Announces that the sender no longer waits for an answer.

    Attributes:
      request_number: The number of the cancelled request.
    """

    request_number: int
