"""A request that is waiting for its answer."""

import asyncio

import attrs

from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank_wire.messages import AnswerEnd, Message, Rows

WINDOW_CHUNKS = 8

ChunkEvent = Rows | AnswerEnd | PeerUnreachable


@attrs.define(eq=False)
class PendingRequest:
    """A request that is waiting for its answer.

    Attributes:
      number: The request's number on the stream.
      request_type: The message type of the request.
      first: Resolved with the answer, or with the first chunk of a large one.
      chunks: The further chunks; None until a large answer begins.
    """

    number: int
    request_type: type[Message]
    first: asyncio.Future[Message | PeerUnreachable]
    chunks: asyncio.Queue[ChunkEvent] | None = None

    def open_chunk_queue(self) -> None:
        """Create the queue, with room for the window and the end."""
        self.chunks = asyncio.Queue(WINDOW_CHUNKS + 2)

    def fail(self, outcome: PeerUnreachable) -> None:
        """End the request without a complete answer.

        Args:
          outcome: The failure to return to the sender.
        """
        if not self.first.done():
            self.first.set_result(outcome)
        elif self.chunks and not self.chunks.full():
            self.chunks.put_nowait(outcome)
