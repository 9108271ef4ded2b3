"""A request for evidence about the primary of a group."""

import attrs


@attrs.frozen
class AskEvidence:
    """Requests the peer's evidence about the primary of a group.

    Attributes:
      request_number: The number that the sender assigned to the request;
        unique on this stream.
      group: The name of the database group.
    """

    request_number: int
    group: str
