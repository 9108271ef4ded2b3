"""The response to a request for configuration changes."""

import attrs


@attrs.frozen
class ChangesAnswer:
    """The response to a `ChangesRequest`.

    Attributes:
      request_number: The number of the request that this message answers.
      first: The version of the first change; 0 if there are no changes or the
        responder no longer has the change that follows the requested version.
      changes: Change records encoded as JSON, one for each version in order.
      newest: The newest version that the responder has applied.
    """

    request_number: int
    first: int = 0
    changes: tuple[bytes, ...] = ()
    newest: int = 0
