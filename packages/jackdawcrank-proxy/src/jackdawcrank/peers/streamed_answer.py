"""Reading of a large answer in chunks."""

import asyncio
import collections.abc

import attrs

from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank.peers.pending_request import ChunkEvent, PendingRequest
from jackdawcrank.peers.split_rows import row_size
from jackdawcrank_wire.messages import (
    Answer,
    AnswerEnd,
    ResultRows,
    Rows,
)

TOO_LARGE = "the result exceeds the size limit"

Credit = collections.abc.Callable[[int], None]


class StreamedAnswer:
    """An answer whose first chunk has arrived and whose others follow.

    Attributes:
      first: The first chunk, with the columns.
      end: How the answer ended; None until `chunks` is exhausted.
    """

    def __init__(
        self,
        vm: str,
        first: Answer,
        request: PendingRequest,
        deadline: float,
        credit: Credit,
        cancel_request: collections.abc.Callable[[], None],
    ) -> None:
        self.vm = vm
        self.first = first
        self.request = request
        self.deadline = deadline
        self.credit = credit
        self.cancel_request = cancel_request
        self.end: AnswerEnd | PeerUnreachable | None = None
        self.row_count = len(first_rows(first))

    async def chunks(self) -> collections.abc.AsyncIterator[Rows]:
        """Yield the further rows, then set `end`."""
        while self.end is None:
            event = await self.next_event()
            if isinstance(event, AnswerEnd):
                self.end = self.check_row_count(event)
            elif isinstance(event, PeerUnreachable):
                self.end = event
            else:
                self.row_count += len(event)
                self.credit(1)
                yield event

    def close(self) -> None:
        """Cancel the request if it is still pending."""
        self.cancel_request()

    async def next_event(self) -> ChunkEvent:
        """Return the next chunk, or a failure after the deadline."""
        if self.request.chunks is None:
            return PeerUnreachable(
                self.vm, sent=True, detail="not a chunked answer"
            )
        try:
            async with asyncio.timeout_at(self.deadline):
                return await self.request.chunks.get()
        except TimeoutError:
            self.cancel_request()
            return PeerUnreachable(self.vm, sent=True, detail="timeout")

    def check_row_count(self, end: AnswerEnd) -> AnswerEnd | PeerUnreachable:
        """Return the end of an answer, or a failure if rows are missing.

        Args:
          end: The end that the peer sent.
        """
        if end.error is None and end.row_count != self.row_count:
            return PeerUnreachable(self.vm, sent=True, detail="rows missing")
        return end

    async def collect(self, max_bytes: int) -> Answer | PeerUnreachable:
        """Read all chunks and return the complete answer.

        Args:
          max_bytes: The maximum size of the rows in bytes.
        """
        rows = list(first_rows(self.first))
        size = sum(map(row_size, rows))
        try:
            async for chunk in self.chunks():
                rows.extend(chunk)
                size += sum(map(row_size, chunk))
                if size > max_bytes:
                    return PeerUnreachable(self.vm, True, TOO_LARGE)
        finally:
            self.close()
        return self.assemble(tuple(rows))

    def assemble(self, rows: Rows) -> Answer | PeerUnreachable:
        """Return the answer with all rows, its error, or a failure.

        Args:
          rows: The rows that were received.
        """
        if not isinstance(self.end, AnswerEnd):
            return self.end or PeerUnreachable(
                self.vm, True, "answer incomplete"
            )
        if self.end.error is not None:
            return attrs.evolve(self.first, result=self.end.error)
        assert isinstance(self.first.result, ResultRows)
        complete_result = attrs.evolve(
            self.first.result, rows=rows, complete=True
        )
        return attrs.evolve(self.first, result=complete_result)


def first_rows(first: Answer) -> Rows:
    """Return the rows in the first chunk of an answer.

    Args:
      first: The first chunk.
    """
    return first.result.rows if isinstance(first.result, ResultRows) else ()
