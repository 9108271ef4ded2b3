"""The result of verifying a token that is not valid."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InvalidToken:
    """A token that failed verification.

    Attributes:
      detail: A human-readable reason.
    """

    detail: str
