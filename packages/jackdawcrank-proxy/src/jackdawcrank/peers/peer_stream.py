"""A multiplexed stream between two proxies."""

import asyncio
import collections.abc

import attrs

from jackdawcrank.peers.incoming_requests import IncomingRequests
from jackdawcrank.peers.liveness import (
    IDLE_PROBE_AFTER_SECONDS,
    IDLE_PROBE_TIMEOUT_SECONDS,
    TICK_INTERVAL_SECONDS,
    Liveness,
    LivenessAction,
)
from jackdawcrank.peers.message_writer import MessageWriter
from jackdawcrank.peers.peer_connection import PeerConnection
from jackdawcrank.peers.peer_handlers import PeerHandlers
from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank.peers.pending_request import PendingRequest
from jackdawcrank.peers.pending_requests import PendingRequests, has_more
from jackdawcrank.peers.receive import receive
from jackdawcrank.peers.request_types import Request
from jackdawcrank.peers.streamed_answer import StreamedAnswer
from jackdawcrank_wire.framing import StreamEnd
from jackdawcrank_wire.messages import (
    Answer,
    Cancel,
    ChunkCredit,
    Closing,
    Message,
    Ping,
)

MAX_PENDING = 1024
CLOSE_TIMEOUT_SECONDS = 5.0

PeerReply = Message | StreamedAnswer | PeerUnreachable
IsMonitored = collections.abc.Callable[[str], bool]
OnLost = collections.abc.Callable[["PeerStream", str], None]


class PeerStream:
    """Carries requests and answers of both ends over one connection.

    Each request has a number, and answers may arrive in any order. While a
    request is outstanding in either direction, or the peer is monitored for
    another reason, a silent peer is pinged and then disconnected within two
    seconds. An idle stream runs no timer and sends nothing. After
    `IDLE_PROBE_AFTER_SECONDS` without a frame from the peer, the next request
    or notification is sent only once the peer has answered a ping: if the
    connection broke while it was idle, sending a request on it would leave the
    outcome of that request unknown.
    """

    def __init__(
        self,
        connection: PeerConnection,
        handlers: PeerHandlers,
        on_lost: OnLost,
        is_monitored: IsMonitored = lambda vm: False,
    ) -> None:
        self.connection = connection
        self.vm = connection.peer.vm
        self.on_lost = on_lost
        self.is_monitored = is_monitored
        self.loop = asyncio.get_running_loop()
        self.message_writer = MessageWriter(connection.writer, connection.codec)
        self.pending = PendingRequests(self.vm)
        self.incoming = IncomingRequests(self.vm, handlers, self.message_writer)
        self.liveness = Liveness()
        self.last_received_at = self.loop.time()
        self.last_used_at = self.last_received_at
        self.pong_waiters: list[asyncio.Future[None]] = []
        self.peer_closing = False
        self.lost = False
        self.read_task: asyncio.Task[None] | None = None
        self.tick_timer: asyncio.TimerHandle | None = None
        self.cleanup_task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Return whether the stream accepts new requests."""
        return not (self.lost or self.is_closing)

    @property
    def is_closing(self) -> bool:
        """Return whether either end has announced that it closes the stream."""
        return self.peer_closing or self.incoming.closing

    @property
    def busy(self) -> bool:
        """Return whether requests or the monitoring need a live peer."""
        outstanding = len(self.pending) or len(self.incoming)
        return bool(outstanding) or self.is_monitored(self.vm)

    async def start(self) -> None:
        """Start reading the peer's messages."""
        self.read_task = asyncio.create_task(self.read_frames())

    async def request(self, message: Request, deadline: float) -> PeerReply:
        """Send a request and return its answer.

        Args:
          message: The request; its number is filled in.
          deadline: The deadline, in seconds on the event loop's clock.
        """
        pending = await self.send_request(message, deadline)
        if isinstance(pending, PeerUnreachable):
            return pending
        try:
            async with asyncio.timeout_at(deadline):
                answer = await pending.first
        except TimeoutError:
            self.cancel_request(pending.number)
            return self.unreachable("timeout", sent=True)
        except asyncio.CancelledError:
            self.cancel_request(pending.number)
            raise
        if isinstance(answer, Answer) and has_more(answer):
            return self.streamed_answer(answer, pending, deadline)
        return answer

    async def send_request(
        self, message: Request, deadline: float
    ) -> PendingRequest | PeerUnreachable:
        """Write a request to the connection.

        Args:
          message: The request; its number is filled in.
          deadline: The deadline, in seconds on the event loop's clock.
        """
        if not await self.wait_until_writable(deadline):
            return self.unreachable("the stream is closed", sent=False)
        if len(self.pending) >= MAX_PENDING:
            return self.unreachable("too many requests", sent=False)
        number = self.pending.next_number()
        numbered = attrs.evolve(message, request_number=number)
        if not self.message_writer.post(numbered):
            return self.unreachable("the request was not sent", sent=False)
        self.last_used_at = self.loop.time()
        pending = self.pending.add(number, type(message))
        self.start_liveness_checks()
        return pending

    async def notify(self, message: Message, deadline: float) -> bool:
        """Send a message that expects no answer.

        Args:
          message: The message.
          deadline: The deadline, in seconds on the event loop's clock.

        Returns:
          Whether the message was written to the connection.
        """
        if not await self.wait_until_writable(deadline):
            return False
        self.last_used_at = self.loop.time()
        return self.message_writer.post(message)

    async def wait_until_writable(self, deadline: float) -> bool:
        """Wait for room in the write buffer; return whether the stream is usable.

        Args:
          deadline: The deadline, in seconds on the event loop's clock.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self.probe_if_idle()
                drained = await self.connection.writer.drain()
        except TimeoutError:
            return False
        return drained and self.usable

    def streamed_answer(
        self, first: Answer, pending: PendingRequest, deadline: float
    ) -> StreamedAnswer:
        """Return a reader of the chunks of a large answer.

        Args:
          first: The first chunk.
          pending: The request.
          deadline: The deadline, in seconds on the event loop's clock.
        """
        number = pending.number
        return StreamedAnswer(
            self.vm,
            first,
            pending,
            deadline,
            credit=lambda count: self.post(ChunkCredit(number, count)),
            cancel_request=lambda: self.cancel_request(number),
        )

    def unreachable(self, detail: str, *, sent: bool) -> PeerUnreachable:
        """Return a failure for a request that got no answer.

        Args:
          detail: What went wrong.
          sent: Whether the request may have reached a handler.
        """
        return PeerUnreachable(self.vm, sent, detail)

    def cancel_request(self, number: int) -> None:
        """Stop waiting for an answer and send a cancellation to the peer.

        Args:
          number: The request's number.
        """
        if number in self.pending.by_number:
            self.pending.discard(number)
            self.post(Cancel(number))

    def post(self, message: Message) -> None:
        """Send a short message without waiting; drop it if that fails.

        Args:
          message: The message.
        """
        if not self.lost:
            self.message_writer.post(message)

    async def probe_if_idle(self) -> None:
        """Ping the peer after an idle period; disconnect if it is silent."""
        if self.loop.time() - self.last_received_at < IDLE_PROBE_AFTER_SECONDS:
            return
        pong = self.loop.create_future()
        self.pong_waiters.append(pong)
        self.post(Ping(0))
        try:
            async with asyncio.timeout(IDLE_PROBE_TIMEOUT_SECONDS):
                await pong
        except TimeoutError:
            self.disconnect("no answer to a ping after an idle period")
        finally:
            self.pong_waiters.remove(pong)

    def record_frame(self) -> None:
        """Record that a frame was received."""
        self.liveness.record_frame()
        self.last_received_at = self.loop.time()
        self.last_used_at = self.last_received_at

    def resolve_pong_waiters(self) -> None:
        """Resume the tasks that wait for the peer to answer a ping."""
        for pong in self.pong_waiters:
            if not pong.done():
                pong.set_result(None)

    async def read_frames(self) -> None:
        """Read the peer's messages until the connection ends."""
        while not self.lost:
            frame = await self.connection.reader.read()
            if isinstance(frame, StreamEnd):
                self.disconnect(frame.detail)
                return
            self.record_frame()
            message = self.connection.codec.decode(frame)
            if not receive(message, self):
                self.disconnect(f"protocol violation: {type(message).__name__}")

    def start_liveness_checks(self) -> None:
        """Start the tick timer, which stops itself once nothing needs it."""
        if self.tick_timer is None and not self.lost:
            self.liveness.record_frame()
            self.tick_timer = self.loop.call_later(
                TICK_INTERVAL_SECONDS, self.tick
            )

    def tick(self) -> None:
        """Ping a silent peer, or disconnect after `TIMEOUT_TICKS`."""
        self.tick_timer = None
        if not self.busy:
            return
        action = self.liveness.tick()
        if action is LivenessAction.DISCONNECT:
            self.disconnect("silent")
            return
        if action is LivenessAction.PING:
            self.post(Ping(0))
        self.tick_timer = self.loop.call_later(TICK_INTERVAL_SECONDS, self.tick)

    def disconnect(self, detail: str) -> None:
        """Abort the connection, and fail or cancel all outstanding requests.

        Args:
          detail: Why the stream is lost.
        """
        if self.lost:
            return
        self.lost = True
        self.connection.writer.abort()
        self.pending.fail_all(detail)
        if self.tick_timer:
            self.tick_timer.cancel()
        self.resolve_pong_waiters()
        self.cleanup_task = asyncio.create_task(self.incoming.close())
        self.on_lost(self, detail)

    async def close(self) -> None:
        """Finish outstanding requests, refuse new ones, and close.

        Requests that are unanswered after `CLOSE_TIMEOUT_SECONDS` fail.
        """
        if not self.lost and not self.incoming.closing:
            self.incoming.closing = True
            self.post(Closing(self.incoming.last_number))
            await self.finish_outstanding()
        self.disconnect("closed")
        if self.cleanup_task:
            await self.cleanup_task
        if self.read_task:
            await self.read_task

    async def finish_outstanding(self) -> None:
        """Wait until no request is outstanding and all data is sent."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self.incoming.idle.wait()
                await self.pending.idle.wait()
                await self.connection.writer.close()
        except TimeoutError:
            return
