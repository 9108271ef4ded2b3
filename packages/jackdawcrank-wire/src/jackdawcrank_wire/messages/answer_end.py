"""The end of a large result."""

import attrs

from jackdawcrank_wire.messages.result_error import ResultError


@attrs.frozen
class AnswerEnd:
    """Marks the end of a result that was sent in chunks.

    Attributes:
      request_number: The number of the request that this message answers.
      row_count: The number of rows in the whole result, including those in
        the `Answer`.
      error: The error that interrupted the result; None if it is complete.
    """

    request_number: int
    row_count: int = 0
    error: ResultError | None = None
