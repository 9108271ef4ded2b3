"""Counts of a proxy's requests to the store."""

from collections.abc import Iterable

import attrs

LINE_BYTES = 4
FIRST_LINE_BYTES = 24


@attrs.define
class Traffic:
    """What was sent to and received from the store.

    Attributes:
      requests: Requests that were sent.
      reads: Those of them that read.
      failures: Requests without a usable answer.
      bytes_sent: Bytes of requests, header fields included.
      bytes_received: Bytes of answers, header fields included.
    """

    requests: int = 0
    reads: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


def header_bytes(
    fields: Iterable[tuple[str, str]] | Iterable[tuple[bytes, bytes]],
) -> int:
    """Return the bytes of header fields with the line before them."""
    lengths = (len(name) + len(text) + LINE_BYTES for name, text in fields)
    return FIRST_LINE_BYTES + sum(lengths)
