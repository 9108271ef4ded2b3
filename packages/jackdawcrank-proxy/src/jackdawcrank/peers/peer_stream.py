"""A multiplexed stream between two proxies."""

import asyncio
import collections.abc

import attrs

from jackdawcrank.peers.incoming_requests import IncomingRequests
from jackdawcrank.peers.liveness import (
    IDLE_CHECK_AFTER_SECONDS,
    IDLE_CHECK_SECONDS,
    TICK_SECONDS,
    Liveness,
    LivenessAction,
)
from jackdawcrank.peers.outbox import Outbox
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
CLOSE_SECONDS = 5.0

PeerReply = Message | StreamedAnswer | PeerUnreachable
IsWatched = collections.abc.Callable[[str], bool]
OnLost = collections.abc.Callable[["PeerStream", str], None]


class PeerStream:
    """Carries requests and answers of both ends over one connection.

    Each request has a number, and answers come in any order. While anything
    is outstanding in either direction, or the peer is watched for another
    reason, a silent peer is pinged and given up in less than two seconds; an
    idle stream costs nothing. The first message
    after a longer pause is sent only once the peer has answered a ping, since
    a connection that went silent while idle would leave the outcome of a
    request unknown.
    """

    def __init__(
        self,
        connection: PeerConnection,
        handlers: PeerHandlers,
        on_lost: OnLost,
        is_watched: IsWatched = lambda vm: False,
    ) -> None:
        self.connection = connection
        self.vm = connection.peer.vm
        self.on_lost = on_lost
        self.is_watched = is_watched
        self.loop = asyncio.get_running_loop()
        self.outbox = Outbox(connection.writer, connection.codec)
        self.pending = PendingRequests(self.vm)
        self.incoming = IncomingRequests(self.vm, handlers, self.outbox)
        self.liveness = Liveness()
        self.heard_at = self.loop.time()
        self.used_at = self.heard_at
        self.pongs: list[asyncio.Future[None]] = []
        self.peer_closing = False
        self.lost = False
        self.reading: asyncio.Task[None] | None = None
        self.ticker: asyncio.TimerHandle | None = None
        self.cleanup: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Return whether the stream takes new requests."""
        return not (self.lost or self.orderly)

    @property
    def orderly(self) -> bool:
        """Return whether either end has said that it closes the stream."""
        return self.peer_closing or self.incoming.closing

    @property
    def busy(self) -> bool:
        """Return whether silence of the peer would matter now."""
        outstanding = len(self.pending) or len(self.incoming)
        return bool(outstanding) or self.is_watched(self.vm)

    async def start(self) -> None:
        """Begin to read the peer's messages."""
        self.reading = asyncio.create_task(self.read_frames())

    async def request(self, message: Request, deadline: float) -> PeerReply:
        """Send a request and return its answer.

        Args:
          message: The request; its number is filled in.
          deadline: When to give up, on the event loop's clock.
        """
        pending = await self.begin_request(message, deadline)
        if isinstance(pending, PeerUnreachable):
            return pending
        try:
            async with asyncio.timeout_at(deadline):
                answer = await pending.first
        except TimeoutError:
            self.abandon(pending.number)
            return self.unreachable("timeout", sent=True)
        except asyncio.CancelledError:
            self.abandon(pending.number)
            raise
        if isinstance(answer, Answer) and has_more(answer):
            return self.streamed(answer, pending, deadline)
        return answer

    async def begin_request(
        self, message: Request, deadline: float
    ) -> PendingRequest | PeerUnreachable:
        """Hand a request to the connection.

        Args:
          message: The request.
          deadline: When to give up, on the event loop's clock.
        """
        if not await self.ready(deadline):
            return self.unreachable("the stream is closed", sent=False)
        if len(self.pending) >= MAX_PENDING:
            return self.unreachable("too many requests", sent=False)
        number = self.pending.next_number()
        numbered = attrs.evolve(message, request_number=number)
        if not self.outbox.post(numbered):
            return self.unreachable("the request was not sent", sent=False)
        self.used_at = self.loop.time()
        pending = self.pending.add(number, type(message))
        self.watch()
        return pending

    async def notify(self, message: Message, deadline: float) -> bool:
        """Send a message that has no answer.

        Args:
          message: The message.
          deadline: When to give up, on the event loop's clock.

        Returns:
          Whether it was handed to the connection.
        """
        if not await self.ready(deadline):
            return False
        self.used_at = self.loop.time()
        return self.outbox.post(message)

    async def ready(self, deadline: float) -> bool:
        """Return whether the stream takes a message, with room for it.

        Args:
          deadline: When to give up, on the event loop's clock.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self.check_idle()
                drained = await self.connection.writer.drain()
        except TimeoutError:
            return False
        return drained and self.usable

    def streamed(
        self, first: Answer, pending: PendingRequest, deadline: float
    ) -> StreamedAnswer:
        """Return the reader of a large answer.

        Args:
          first: The first part.
          pending: The request.
          deadline: When to give up, on the event loop's clock.
        """
        number = pending.number
        return StreamedAnswer(
            self.vm,
            first,
            pending,
            deadline,
            credit=lambda count: self.post(ChunkCredit(number, count)),
            abandon=lambda: self.abandon(number),
        )

    def unreachable(self, detail: str, *, sent: bool) -> PeerUnreachable:
        """Return why a request got no answer.

        Args:
          detail: What went wrong.
          sent: Whether the request may have reached a handler.
        """
        return PeerUnreachable(self.vm, sent, detail)

    def abandon(self, number: int) -> None:
        """Stop waiting for an answer and tell the peer.

        Args:
          number: The request's number.
        """
        if number in self.pending.by_number:
            self.pending.forget(number)
            self.post(Cancel(number))

    def post(self, message: Message) -> None:
        """Send a short message if the connection takes it.

        Args:
          message: The message.
        """
        if not self.lost:
            self.outbox.post(message)

    async def check_idle(self) -> None:
        """Make sure that the peer is there after a pause, or lose it."""
        if self.loop.time() - self.heard_at < IDLE_CHECK_AFTER_SECONDS:
            return
        pong = self.loop.create_future()
        self.pongs.append(pong)
        self.post(Ping(0))
        try:
            async with asyncio.timeout(IDLE_CHECK_SECONDS):
                await pong
        except TimeoutError:
            self.lose("no answer after a pause")
        finally:
            self.pongs.remove(pong)

    def heard(self) -> None:
        """Note that a frame came in."""
        self.liveness.heard()
        self.heard_at = self.loop.time()
        self.used_at = self.heard_at

    def wake_pongs(self) -> None:
        """Let those go on who wait for the peer to answer a ping."""
        for pong in self.pongs:
            if not pong.done():
                pong.set_result(None)

    async def read_frames(self) -> None:
        """Read the peer's messages until the connection ends."""
        while not self.lost:
            frame = await self.connection.reader.read()
            if isinstance(frame, StreamEnd):
                self.lose(frame.detail)
                return
            self.heard()
            message = self.connection.codec.decode(frame)
            if not receive(message, self):
                self.lose(f"broken protocol: {type(message).__name__}")

    def watch(self) -> None:
        """Watch over the peer while something is outstanding."""
        if self.ticker is None and not self.lost:
            self.liveness.heard()
            self.ticker = self.loop.call_later(TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Ping a silent peer or give it up."""
        self.ticker = None
        if not self.busy:
            return
        action = self.liveness.tick()
        if action is LivenessAction.GIVE_UP:
            self.lose("silent")
            return
        if action is LivenessAction.PING:
            self.post(Ping(0))
        self.ticker = self.loop.call_later(TICK_SECONDS, self.tick)

    def lose(self, detail: str) -> None:
        """Drop the connection and end everything outstanding.

        Args:
          detail: What happened.
        """
        if self.lost:
            return
        self.lost = True
        self.connection.writer.abort()
        self.pending.lose_all(detail)
        if self.ticker:
            self.ticker.cancel()
        self.wake_pongs()
        self.cleanup = asyncio.create_task(self.incoming.close())
        self.on_lost(self, detail)

    async def close(self) -> None:
        """Answer what was asked, then close; a new request is not run.

        What is unanswered after `CLOSE_SECONDS` is given up.
        """
        if not self.lost and not self.incoming.closing:
            self.incoming.closing = True
            self.post(Closing(self.incoming.last_number))
            await self.finish()
        self.lose("closed")
        if self.cleanup:
            await self.cleanup
        if self.reading:
            await self.reading

    async def finish(self) -> None:
        """Wait until nothing is outstanding and every byte is sent."""
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await self.incoming.idle.wait()
                await self.pending.idle.wait()
                await self.connection.writer.close()
        except TimeoutError:
            return
