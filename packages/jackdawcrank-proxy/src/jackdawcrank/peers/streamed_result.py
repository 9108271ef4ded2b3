"""A result that a handler produces in chunks."""

import collections.abc

import attrs

from jackdawcrank_wire.messages import Answer, ResultError, Rows


@attrs.frozen
class StreamedResult:
    """An answer whose further rows are sent as they are produced.

    Attributes:
      first: The first chunk; its result is a `ResultRows`.
      chunks: The further rows, in order; an error ends the result.
    """

    first: Answer
    chunks: collections.abc.AsyncIterator[Rows | ResultError]
