"""A question about a group's primary."""

import attrs


@attrs.frozen
class AskEvidence:
    """Asks what the peer has seen of a group's primary.

    Attributes:
      request_number: The sender's number of the request on this stream.
      group: The database group.
    """

    request_number: int
    group: str
