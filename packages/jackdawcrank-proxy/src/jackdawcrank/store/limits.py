"""How a proxy may use the store."""

import attrs


@attrs.frozen
class StoreLimits:
    """Bounds on the requests of one proxy.

    Attributes:
      read_timeout_seconds: How old the answer of a read may be when it is used, from
        the instant before it was sent.
      write_timeout_seconds: How long a write may take.
      object_timeout_seconds: How long a transfer of an object may take.
      per_second: Requests per second in the long run.
      burst: Requests that may be sent at once.
      concurrency: Requests that may be under way at once.
      hedge_delay_seconds: After which time without an answer a read is sent again.
      retry_delay_seconds: The longest pause before a read that failed is sent again.
      max_body_bytes: The largest answer that is read.
    """

    read_timeout_seconds: float = 2.0
    write_timeout_seconds: float = 2.0
    object_timeout_seconds: float = 10.0
    per_second: float = 50.0
    burst: float = 50.0
    concurrency: int = 16
    hedge_delay_seconds: float = 0.7
    retry_delay_seconds: float = 0.1
    max_body_bytes: int = 64 * 1024 * 1024
