"""Configuration changes that a peer knows."""

import attrs


@attrs.frozen
class ChangesAnswer:
    """Answers a `ChangesRequest`.

    Attributes:
      request_number: The number of the request that it answers.
      first: The version of the first change; 0 if there is none or the peer
        no longer has the change that follows the asker's version.
      changes: Change records as JSON, one for each version in order.
      newest: The newest version that the peer has applied.
    """

    request_number: int
    first: int = 0
    changes: tuple[bytes, ...] = ()
    newest: int = 0
