"""The response to a `GiveUpLease` message."""

import attrs


@attrs.frozen
class LeaseGivenUp:
    """Confirms that the sender no longer has a lease below a term.

    Attributes:
      request_number: The number of the request that this message answers.
      group: The name of the database group.
      term: The term below which the sender has no lease.
    """

    request_number: int
    group: str
    term: int
