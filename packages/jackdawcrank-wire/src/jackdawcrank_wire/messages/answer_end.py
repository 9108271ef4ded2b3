"""The end of a large result."""

import attrs

from jackdawcrank_wire.messages.result_error import ResultError


@attrs.frozen
class AnswerEnd:
    """Says that every chunk of a result was sent.

    Attributes:
      request_number: The number of the request that it answers.
      row_count: The rows of the whole result, those of `Answer` included.
      error: Why the result broke off; None if it is whole.
    """

    request_number: int
    row_count: int = 0
    error: ResultError | None = None
