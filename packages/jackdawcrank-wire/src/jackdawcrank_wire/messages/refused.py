"""A request that the peer's stream layer did not pass on."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """Why a request reached no handler."""

    OVERLOADED = "overloaded"
    SHUTTING_DOWN = "shutting_down"
    UNSUPPORTED = "unsupported"


@attrs.frozen
class Refused:
    """Says that no handler saw the request.

    Attributes:
      request_number: The number of the request.
      reason: Why it was not passed on.
      message_number: The type of the request; a refusal of another type than
        the request's own is no answer to it.
    """

    request_number: int
    reason: RefusalReason
    message_number: int
