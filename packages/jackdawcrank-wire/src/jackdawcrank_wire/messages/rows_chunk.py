"""A subsequent part of a large result."""

import attrs

from jackdawcrank_wire.messages.result_rows import Rows


@attrs.frozen
class RowsChunk:
    """Further rows of a result whose `Answer` was not complete.

    Attributes:
      request_number: The number of the request that this message answers.
      rows: The next rows, in order.
    """

    request_number: int
    rows: Rows
