"""Bytes that are no message."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Malformed:
    """Says why bytes could not be decoded.

    Attributes:
      detail: What was wrong.
      unknown_type: Whether the bytes are a message of a type that this
        version does not know.
      request_number: The request number of such a message; 0 if it has none.
    """

    detail: str
    unknown_type: bool = False
    request_number: int = 0
