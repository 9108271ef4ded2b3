"""Flow-controlled sending of one large result."""

import asyncio
import collections.abc

import attrs

from jackdawcrank.peers.message_writer import MessageWriter
from jackdawcrank.peers.pending_request import WINDOW_CHUNKS
from jackdawcrank.peers.split_rows import split_rows
from jackdawcrank.peers.streamed_result import StreamedResult
from jackdawcrank_wire.messages import (
    Answer,
    AnswerEnd,
    ResultError,
    ResultRows,
    Rows,
    RowsChunk,
)


class ChunkSender:
    """Sends a result in chunks, as fast as the receiver grants credit.

    At most `WINDOW_CHUNKS` chunks are unread by the receiver at any time.
    """

    def __init__(self, number: int, message_writer: MessageWriter) -> None:
        self.number = number
        self.message_writer = message_writer
        self.row_count = 0
        self.credit = asyncio.Semaphore(WINDOW_CHUNKS)

    def add_credit(self, chunks: int) -> None:
        """Allow more chunks to be sent.

        Args:
          chunks: The number of further chunks.
        """
        for _ in range(min(chunks, WINDOW_CHUNKS)):
            self.credit.release()

    async def send(self, answer: StreamedResult) -> bool:
        """Send all chunks of a result and its end.

        Args:
          answer: The first chunk and an iterator of the others.

        Returns:
          False if a chunk could not be sent.
        """
        result = answer.first.result
        assert isinstance(result, ResultRows)
        row_chunks = split_rows(result.rows)
        head = attrs.evolve(result, rows=next(row_chunks, ()), complete=False)
        if not await self.message_writer.send(Answer(self.number, head)):
            return False
        self.row_count = len(head.rows)
        if not await self.send_chunks(row_chunks):
            return False
        async for rows in answer.chunks:
            if isinstance(rows, ResultError):
                return await self.send_end(rows)
            if not await self.send_chunks(split_rows(rows)):
                return False
        return await self.send_end(None)

    async def send_chunks(
        self, row_chunks: collections.abc.Iterable[Rows]
    ) -> bool:
        """Send chunks, waiting for credit before each.

        Args:
          row_chunks: The rows of each chunk.

        Returns:
          False if a chunk could not be sent.
        """
        for chunk in row_chunks:
            await self.credit.acquire()
            if not await self.message_writer.send(
                RowsChunk(self.number, chunk)
            ):
                return False
            self.row_count += len(chunk)
        return True

    async def send_end(self, error: ResultError | None) -> bool:
        """Send the end of a result.

        Args:
          error: The error that ended the result early; None if the result is
            complete.

        Returns:
          False if it could not be sent.
        """
        end = AnswerEnd(self.number, self.row_count, error)
        return await self.message_writer.send(end)
