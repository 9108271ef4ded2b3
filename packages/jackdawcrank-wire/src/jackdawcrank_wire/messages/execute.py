"""A request to run a statement."""

import attrs

from jackdawcrank_wire.messages.statement_request import StatementRequest


@attrs.frozen
class Execute:
    """Asks a home proxy to run a statement.

    Attributes:
      request_number: The sender's number of the request on this stream.
      statement: The statement and its options.
    """

    request_number: int
    statement: StatementRequest
