"""The state of one term lease as its holder sees it."""

import enum


class LeaseState(enum.Enum):
    """Whether a proxy may act for a term.

    Attributes:
      HELD: The lease is unexpired.
      LAPSED: The lease was not renewed in time; the term may still be open.
      CLOSED: The term is not this proxy's to act for: it was given up,
        replaced or never granted to this VM.
    """

    HELD = "held"
    LAPSED = "lapsed"
    CLOSED = "closed"
