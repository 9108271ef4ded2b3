"""The primary of an open term."""

import attrs


@attrs.frozen
class OpenPrimary:
    """A primary that may get statements.

    Attributes:
      server: The server's name.
      term: Its term.
    """

    server: str
    term: int
