"""The primary of an open term."""

import attrs


@attrs.frozen
class OpenPrimary:
    """A primary that accepts statements.

    Attributes:
      server: The name of the server.
      term: The term in which it is primary.
    """

    server: str
    term: int
