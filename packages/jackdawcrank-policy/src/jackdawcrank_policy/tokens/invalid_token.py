"""The outcome of reading a token that this system did not sign."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InvalidToken:
    """A token that cannot be trusted.

    Attributes:
      detail: What is wrong with it, for people.
    """

    detail: str
