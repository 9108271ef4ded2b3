"""Handling of the requests that a peer sends."""

import asyncio
import collections.abc
import typing

import attrs
from absl import logging

from jackdawcrank.peers.chunk_sender import ChunkSender
from jackdawcrank.peers.message_writer import MessageWriter
from jackdawcrank.peers.peer_handlers import (
    PeerAnswer,
    PeerHandler,
    PeerHandlers,
)
from jackdawcrank.peers.request_types import Request, RequestAnswer, is_request
from jackdawcrank.peers.split_rows import CHUNK_BYTES, row_size
from jackdawcrank.peers.streamed_result import StreamedResult
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_wire.codec.envelope import MESSAGE_NUMBERS
from jackdawcrank_wire.messages import (
    Answer,
    Message,
    RefusalReason,
    Refused,
    RequestFailed,
    ResultRows,
    Rows,
)

MAX_INCOMING = 1024
TOO_LARGE = "the answer is too large"


class IncomingRequests:
    """Runs the handlers of one stream's messages, each in its own task."""

    def __init__(
        self, vm: str, handlers: PeerHandlers, message_writer: MessageWriter
    ) -> None:
        self.vm = vm
        self.handlers = handlers
        self.message_writer = message_writer
        self.last_number = 0
        self.closing = False
        self.by_number: dict[int, asyncio.Task[None]] = {}
        self.senders: dict[int, ChunkSender] = {}
        self.notifications: set[asyncio.Task[PeerAnswer]] = set()
        self.idle = asyncio.Event()
        self.idle.set()

    def __len__(self) -> int:
        return len(self.by_number)

    def start_handler(self, message: Message) -> None:
        """Start the handler of a message.

        Args:
          message: The message.
        """
        handler = self.handlers.find(type(message))
        if is_request(message):
            self.start_request(message, handler)
        elif handler is not None:
            self.start_notification(message, handler)

    def start_notification(
        self, message: Message, handler: PeerHandler
    ) -> None:
        """Start the handler of a message that expects no answer.

        Such messages are only hints, so they are dropped while `MAX_INCOMING`
        of them are being handled.

        Args:
          message: The message.
          handler: The handler of its type.
        """
        if len(self.notifications) >= MAX_INCOMING:
            return
        task = asyncio.ensure_future(handler(self.vm, message))
        self.notifications.add(task)
        task.add_done_callback(self.finish_notification)

    def finish_notification(self, task: asyncio.Task[PeerAnswer]) -> None:
        """Remove a finished handler and log any exception that it raised.

        Args:
          task: The handler's task.
        """
        self.notifications.discard(task)
        if not task.cancelled() and (error := task.exception()):
            logging.error("handler of a peer message failed", exc_info=error)

    def start_request(
        self, request: Request, handler: PeerHandler | None
    ) -> None:
        """Start the handler of a request, or refuse it.

        A request whose number is not above the last one is a duplicate and is
        dropped.

        Args:
          request: The request.
          handler: The handler of its type, or None if there is none.
        """
        number = request.request_number
        if number <= self.last_number:
            return
        self.last_number = number
        if self.closing:
            self.refuse(request, RefusalReason.SHUTTING_DOWN)
        elif handler is None:
            self.refuse(request, RefusalReason.UNSUPPORTED)
        elif len(self.by_number) >= MAX_INCOMING:
            self.refuse(request, RefusalReason.OVERLOADED)
        else:
            self.idle.clear()
            task = asyncio.ensure_future(self.run_handler(request, handler))
            self.by_number[number] = task
            task.add_done_callback(lambda _: self.finish_request(number))

    def refuse(self, request: Request, reason: RefusalReason) -> None:
        """Tell the peer that a request was not passed to any handler.

        Args:
          request: The request.
          reason: Why it was refused.
        """
        number = MESSAGE_NUMBERS[type(request)]
        self.message_writer.post(
            Refused(request.request_number, reason, number)
        )

    async def run_handler(self, request: Request, handler: PeerHandler) -> None:
        """Run a handler and send its answer.

        Args:
          request: The request.
          handler: The handler of its type.
        """
        number = request.request_number
        try:
            answer = await handler(self.vm, request)
            await self.send_answer(number, answer)
        except Exception:
            logging.exception("handler of a peer request failed")
            self.message_writer.post(
                RequestFailed(number, "the handler failed")
            )

    def finish_request(self, number: int) -> None:
        """Remove a request that was answered or cancelled.

        Args:
          number: The request's number.
        """
        self.by_number.pop(number, None)
        self.senders.pop(number, None)
        if not self.by_number:
            self.idle.set()

    async def send_answer(self, number: int, answer: PeerAnswer) -> None:
        """Send an answer, in chunks if it is large.

        Args:
          number: The request's number.
          answer: The answer; its own request number is ignored.
        """
        if is_large(answer):
            answer = StreamedResult(answer, empty_rows())
        if isinstance(answer, StreamedResult):
            await self.send_chunks(number, answer)
        elif isinstance(answer, RequestAnswer):
            await self.send_in_one_message(
                attrs.evolve(answer, request_number=number)
            )
        else:
            self.message_writer.post(
                RequestFailed(number, "the handler has no answer")
            )

    async def send_in_one_message(self, answer: RequestAnswer) -> None:
        """Send an answer as one message.

        Args:
          answer: The answer.
        """
        if not await self.message_writer.send(answer):
            self.message_writer.post(
                RequestFailed(answer.request_number, TOO_LARGE)
            )

    async def send_chunks(self, number: int, answer: StreamedResult) -> None:
        """Send an answer in chunks.

        Args:
          number: The request's number.
          answer: The answer.
        """
        sender = ChunkSender(number, self.message_writer)
        self.senders[number] = sender
        if not await sender.send(answer):
            self.message_writer.post(RequestFailed(number, TOO_LARGE))

    def add_credit(self, number: int, chunks: int) -> None:
        """Allow more chunks of an answer to be sent.

        Args:
          number: The request's number.
          chunks: The number of further chunks.
        """
        if number in self.senders:
            self.senders[number].add_credit(chunks)

    def cancel(self, number: int) -> None:
        """Cancel the handler of a request that the peer has cancelled.

        Args:
          number: The request's number.
        """
        if number in self.by_number:
            self.by_number[number].cancel()

    async def close(self) -> None:
        """Cancel all handlers and wait until they have ended."""
        await cancel_and_wait([*self.by_number.values(), *self.notifications])


def is_large(answer: PeerAnswer) -> typing.TypeGuard[Answer]:
    """Return whether an answer has to be sent in chunks.

    Args:
      answer: The answer.
    """
    if not isinstance(answer, Answer):
        return False
    if not isinstance(answer.result, ResultRows):
        return False
    return sum(map(row_size, answer.result.rows)) > CHUNK_BYTES


async def empty_rows() -> collections.abc.AsyncIterator[Rows]:
    """Return an iterator without rows."""
    no_rows: tuple[Rows, ...] = ()
    for rows in no_rows:
        yield rows
