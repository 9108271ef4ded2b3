"""A request to run a statement."""

import attrs

from jackdawcrank_wire.messages.statement_request import StatementRequest


@attrs.frozen
class Execute:
    """Requests that a home proxy run a statement.

    Attributes:
      request_number: The number that the sender assigned to the request;
        unique on this stream.
      statement: The statement and its options.
    """

    request_number: int
    statement: StatementRequest
