"""A request for configuration changes."""

import attrs


@attrs.frozen
class ChangesRequest:
    """Asks a peer for the changes above a version.

    Attributes:
      request_number: The sender's number of the request on this stream.
      after: The newest version that the sender has applied.
      limit: The most changes that one answer may hold.
    """

    request_number: int
    after: int
    limit: int = 100
