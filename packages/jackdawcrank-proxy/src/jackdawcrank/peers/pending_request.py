"""A request that waits for its answer."""

import asyncio

import attrs

from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank_wire.messages import AnswerEnd, Message, Rows

WINDOW_CHUNKS = 8

ChunkEvent = Rows | AnswerEnd | PeerUnreachable


@attrs.define(eq=False)
class PendingRequest:
    """A request on its way.

    Attributes:
      number: Its number on the stream.
      request_type: Its message type.
      first: Resolved with the answer, or the first part of a large one.
      chunks: Further parts; None until a large answer began.
    """

    number: int
    request_type: type[Message]
    first: asyncio.Future[Message | PeerUnreachable]
    chunks: asyncio.Queue[ChunkEvent] | None = None

    def open_chunk_queue(self) -> None:
        """Expect further parts, as many as the window and an end."""
        self.chunks = asyncio.Queue(WINDOW_CHUNKS + 2)

    def fail(self, outcome: PeerUnreachable) -> None:
        """Give up the wait.

        Args:
          outcome: What the request's sender is told.
        """
        if not self.first.done():
            self.first.set_result(outcome)
        elif self.chunks and not self.chunks.full():
            self.chunks.put_nowait(outcome)
