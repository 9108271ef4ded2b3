"""Counters of a proxy's requests to the store."""

from collections.abc import Iterable

import attrs

LINE_BYTES = 4
FIRST_LINE_BYTES = 24


@attrs.define
class Traffic:
    """Counters of requests to and responses from the store.

    Attributes:
      requests: Requests sent.
      reads: Read requests sent.
      failures: Requests without a usable response.
      bytes_sent: Bytes of requests, including header fields.
      bytes_received: Bytes of responses, including header fields.
    """

    requests: int = 0
    reads: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


def header_bytes(
    fields: Iterable[tuple[str, str]] | Iterable[tuple[bytes, bytes]],
) -> int:
    """Return the size in bytes of header fields and the line before."""
    lengths = (len(name) + len(text) + LINE_BYTES for name, text in fields)
    return FIRST_LINE_BYTES + sum(lengths)
