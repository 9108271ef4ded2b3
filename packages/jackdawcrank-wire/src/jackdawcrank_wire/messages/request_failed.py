"""The failure of a request after it was passed to its handler."""

import attrs


@attrs.frozen
class RequestFailed:
    """Reports that a request gets no other answer.

    The request was passed to its handler, so it may have had an effect.

    Attributes:
      request_number: The number of the request.
      detail: A human-readable description of the failure.
    """

    request_number: int
    detail: str = ""
