"""Credit-based flow control of large results."""

import attrs


@attrs.frozen
class ChunkCredit:
    """Grants the sender of a large result credit for more chunks.

    Attributes:
      request_number: The number of the request that the result answers.
      chunks: The number of additional chunks that may be sent.
    """

    request_number: int
    chunks: int
