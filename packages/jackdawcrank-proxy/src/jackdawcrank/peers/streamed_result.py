"""A large result that a handler sends in parts."""

import collections.abc

import attrs

from jackdawcrank_wire.messages import Answer, ResultError, Rows


@attrs.frozen
class StreamedResult:
    """An answer whose rows follow while they are read.

    Attributes:
      first: The first part; its result is a `ResultRows`.
      chunks: The further rows, in order; an error ends them.
    """

    first: Answer
    chunks: collections.abc.AsyncIterator[Rows | ResultError]
