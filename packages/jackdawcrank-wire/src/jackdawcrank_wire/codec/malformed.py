"""Bytes that are no message."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Malformed:
    """Says why bytes could not be decoded.

    Attributes:
      detail: What was wrong.
      unknown_type: The number of a message type that this version does not
        know; 0 if the bytes are no message at all.
      request_number: The request number of such a message; 0 if it has none.
    """

    detail: str
    unknown_type: int = 0
    request_number: int = 0
