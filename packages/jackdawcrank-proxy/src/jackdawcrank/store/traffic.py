"""Counts of a proxy's requests to the store."""

import attrs


@attrs.define
class Traffic:
    """What was sent to and received from the store.

    Attributes:
      requests: Requests that were sent.
      reads: Those of them that read.
      failures: Requests without a usable answer.
      bytes_sent: Bytes of request bodies.
      bytes_received: Bytes of answer bodies.
    """

    requests: int = 0
    reads: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
