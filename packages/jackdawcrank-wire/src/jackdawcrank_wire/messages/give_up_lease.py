"""A request to give up a term lease."""

import attrs


@attrs.frozen
class GiveUpLease:
    """Asks a writer to give up its lease on a term of a group.

    Attributes:
      request_number: The sender's number of the request on this stream.
      group: The database group.
      term: The term that is being prepared; leases of lower terms end.
    """

    request_number: int
    group: str
    term: int
