"""The requests of one stream that are waiting for answers."""

import asyncio

from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank.peers.pending_request import PendingRequest
from jackdawcrank.peers.request_types import ANSWER_TYPES, RequestAnswer
from jackdawcrank_wire.messages import (
    MESSAGE_TYPES,
    Answer,
    AnswerEnd,
    Message,
    Refused,
    RequestFailed,
    ResultRows,
    Rows,
)


class PendingRequests:
    """Matches answers to pending requests by request number.

    Late, duplicate and unknown answers are dropped.

    Attributes:
      dropped: The number of messages that were dropped.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.by_number: dict[int, PendingRequest] = {}
        self.last_number = 0
        self.dropped = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def __len__(self) -> int:
        return len(self.by_number)

    def next_number(self) -> int:
        """Return the number of the next request."""
        self.last_number += 1
        return self.last_number

    def add(self, number: int, request_type: type[Message]) -> PendingRequest:
        """Add a request that is waiting for an answer.

        Args:
          number: The request's number.
          request_type: The request's message type.
        """
        first = asyncio.get_running_loop().create_future()
        request = PendingRequest(number, request_type, first)
        self.by_number[number] = request
        self.idle.clear()
        return request

    def discard(self, number: int) -> None:
        """Remove a request; an answer that arrives later is dropped.

        Args:
          number: The request's number.
        """
        self.by_number.pop(number, None)
        if not self.by_number:
            self.idle.set()

    def resolve(self, answer: RequestAnswer) -> bool:
        """Resolve the request that an answer belongs to.

        Args:
          answer: The answer.

        Returns:
          False if the type of the answer does not match the request.
        """
        request = self.by_number.get(answer.request_number)
        if request is None or request.first.done():
            self.dropped += 1
            return True
        if ANSWER_TYPES[request.request_type] is not type(answer):
            return False
        if has_more(answer):
            request.open_chunk_queue()
        else:
            self.discard(answer.request_number)
        request.first.set_result(answer)
        return True

    def add_chunk(self, number: int, chunk: Rows | AnswerEnd) -> bool:
        """Queue a chunk of a large answer for its request.

        Args:
          number: The request's number.
          chunk: The chunk, or the end of the answer.

        Returns:
          False if the peer sent more chunks than it had credit for.
        """
        request = self.by_number.get(number)
        if request is None or request.chunks is None:
            self.dropped += 1
            return True
        if request.chunks.full():
            return False
        request.chunks.put_nowait(chunk)
        if isinstance(chunk, AnswerEnd):
            self.discard(number)
        return True

    def refuse(self, refusal: Refused) -> None:
        """End a request that reached no handler.

        A refusal of another message type is ignored.

        Args:
          refusal: The peer's refusal.
        """
        request = self.by_number.get(refusal.request_number)
        if request is None or request.first.done():
            self.dropped += 1
            return
        if MESSAGE_TYPES.get(refusal.message_number) is request.request_type:
            self.fail_request(request, sent=False, detail=str(refusal.reason))

    def handle_failure(self, failure: RequestFailed) -> None:
        """End a request whose handler failed.

        Args:
          failure: The peer's report of the failure.
        """
        request = self.by_number.get(failure.request_number)
        if request is not None:
            self.fail_request(request, sent=True, detail=failure.detail)

    def refuse_above(self, last_number: int) -> None:
        """End the requests that a closing peer will not handle.

        Args:
          last_number: The highest request number that the peer handles.
        """
        for request in list(self.by_number.values()):
            if request.number > last_number:
                self.fail_request(
                    request, sent=False, detail="the peer is closing the stream"
                )

    def fail_all(self, detail: str) -> None:
        """End all requests because the stream is lost.

        Args:
          detail: Why the stream is lost.
        """
        for request in list(self.by_number.values()):
            self.fail_request(request, sent=True, detail=detail)

    def fail_request(
        self, request: PendingRequest, *, sent: bool, detail: str
    ) -> None:
        """End one request without an answer.

        Args:
          request: The request.
          sent: Whether the request may have reached a handler.
          detail: What went wrong.
        """
        self.discard(request.number)
        request.fail(PeerUnreachable(self.vm, sent, detail))


def has_more(answer: RequestAnswer) -> bool:
    """Return whether further chunks of an answer follow.

    Args:
      answer: The answer.
    """
    if not isinstance(answer, Answer):
        return False
    result = answer.result
    return isinstance(result, ResultRows) and not result.complete
