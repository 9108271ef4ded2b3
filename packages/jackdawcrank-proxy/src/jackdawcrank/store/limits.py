"""Limits on a proxy's requests to the store."""

import attrs


@attrs.frozen
class StoreLimits:
    """Limits on the store requests of one proxy.

    Attributes:
      read_timeout_seconds: The timeout of a read. It starts before the request
        is sent, so it also bounds the age of the data when it is used.
      write_timeout_seconds: The timeout of a write.
      object_timeout_seconds: The timeout of an object transfer.
      per_second: The sustained number of requests per second.
      burst: The number of requests that may be sent without waiting.
      concurrency: The maximum number of requests in flight.
      hedge_delay_seconds: The time without a response after which a read is
        sent a second time.
      retry_delay_seconds: The maximum delay before a failed read is retried.
      max_body_bytes: The maximum size of a response body.
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
