"""A request whose handler broke down."""

import attrs


@attrs.frozen
class RequestFailed:
    """Says that a request will get no other answer.

    Its handler saw it, so it may have had an effect.

    Attributes:
      request_number: The number of the request.
      detail: A sentence for people.
    """

    request_number: int
    detail: str = ""
