"""The acknowledgement of a `GiveUpLease`."""

import attrs


@attrs.frozen
class LeaseGivenUp:
    """Says that the sender holds no lease below a term any more.

    Attributes:
      request_number: The number of the request that it answers.
      group: The database group.
      term: The term below which no lease is held.
    """

    request_number: int
    group: str
    term: int
