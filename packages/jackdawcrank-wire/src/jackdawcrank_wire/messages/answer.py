"""The response to an `Execute` message."""

import attrs

from jackdawcrank_wire.messages.statement_result import StatementResult


@attrs.frozen
class Answer:
    """The result of a statement, or the first part of a large result.

    Attributes:
      request_number: The number of the request that this message answers.
      result: The result of the statement.
    """

    request_number: int
    result: StatementResult
