"""The result of a failed decoding."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The reason why bytes could not be decoded.

    Attributes:
      detail: A description of the error.
      unknown_type: The number of a message type that this version does not
        know; 0 if the bytes are not a valid envelope or the message has a
        known type.
      request_number: The request number of a message of unknown type; 0 if it
        has none.
    """

    detail: str
    unknown_type: int = 0
    request_number: int = 0
