"""The rejection of a request by the peer's stream layer."""

import enum

import attrs


class RefusalReason(enum.StrEnum):
    """The reason why a request was not passed to a handler."""

    OVERLOADED = "overloaded"
    SHUTTING_DOWN = "shutting_down"
    UNSUPPORTED = "unsupported"


@attrs.frozen
class Refused:
    """Reports that a request was not passed to a handler.

    The request has therefore had no effect.

    Attributes:
      request_number: The number of the request.
      reason: The reason for the rejection.
      message_number: The number of the request's message type. A refusal whose
        type differs from that of the request is not an answer to it.
    """

    request_number: int
    reason: RefusalReason
    message_number: int
