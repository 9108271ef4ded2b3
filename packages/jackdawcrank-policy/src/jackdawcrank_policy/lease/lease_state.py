"""State of a term lease from the view of its holder."""

import enum


class LeaseState(enum.Enum):
    """States of a proxy's lease on a term.

    Attributes:
      HELD: The lease has not expired; the proxy may act for the term.
      LAPSED: The lease was not renewed in time; the term may still be open.
      CLOSED: The proxy may not act for the term, because the term was given
        up, replaced, or never granted to this VM.
    """

    HELD = "held"
    LAPSED = "lapsed"
    CLOSED = "closed"
