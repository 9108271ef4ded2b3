"""The start of a term in a database group's replication log."""

import attrs


@attrs.frozen
class TermStart:
    """The start of one term on a branch of the log.

    Attributes:
      term: The term number.
      offset: The offset of the last entry kept from earlier terms; the term's
        own entries have greater offsets.
    """

    term: int
    offset: int
