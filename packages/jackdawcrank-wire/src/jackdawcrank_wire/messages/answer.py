"""The answer to an `Execute`."""

import attrs

from jackdawcrank_wire.messages.statement_result import StatementResult


@attrs.frozen
class Answer:
    """The result of a statement, or the first part of a large one.

    Attributes:
      request_number: The number of the request that it answers.
      result: The result.
    """

    request_number: int
    result: StatementResult
