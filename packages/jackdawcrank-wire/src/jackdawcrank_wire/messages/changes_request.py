"""A request for configuration changes."""

import attrs


@attrs.frozen
class ChangesRequest:
    """Requests the configuration changes after a version.

    Attributes:
      request_number: The number that the sender assigned to the request;
        unique on this stream.
      after: The newest version that the sender has applied.
      limit: The maximum number of changes in the response.
    """

    request_number: int
    after: int
    limit: int = 100
