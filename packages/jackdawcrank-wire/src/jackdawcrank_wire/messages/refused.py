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
    """

    request_number: int
    reason: RefusalReason
