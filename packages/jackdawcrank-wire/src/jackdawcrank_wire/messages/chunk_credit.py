"""Flow control of large results."""

import attrs


@attrs.frozen
class ChunkCredit:
    """Allows the sender of a large result to send more chunks.

    Attributes:
      request_number: The number of the request that is being answered.
      chunks: How many more chunks may be sent.
    """

    request_number: int
    chunks: int
