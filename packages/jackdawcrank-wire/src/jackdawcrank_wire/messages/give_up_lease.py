"""A request to release a term lease."""

import attrs


@attrs.frozen
class GiveUpLease:
    """Requests that a writer release its lease on a term of a group.

    Attributes:
      request_number: The number that the sender assigned to the request;
        unique on this stream.
      group: The name of the database group.
      term: The term that is being prepared; leases on lower terms are
        released.
    """

    request_number: int
    group: str
    term: int
