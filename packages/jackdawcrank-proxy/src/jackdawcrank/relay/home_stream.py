"""The side of a proxy that forwards to a home."""

import asyncio
from collections.abc import Callable

import attrs

from jackdawcrank.relay.frame_protocol import FrameProtocol
from jackdawcrank.relay.home_messages import (
    Fields,
    Kind,
    decode_position,
    decode_reply,
    pack,
    unpack,
)
from jackdawcrank.seams.metadata_store import StoredRow
from jackdawcrank.seams.replies import Reply
from jackdawcrank_policy.homes import Member
from jackdawcrank_policy.values.position import Position

# A round trip in a region takes 3 ms; a home that does not answer the opening
# packet in this time is passed over.
CONNECT_SECONDS = 0.4
# Beyond a statement's own time, for the way to the home and back.
HOME_MARGIN_SECONDS = 0.2


@attrs.frozen
class HomeAnswer:
    """What a home answered.

    Attributes:
      reply: The reply for the caller.
      seen: The newest commit that the session was told of.
    """

    reply: Reply
    seen: Position | None


@attrs.frozen
class HomeLost:
    """The home did not answer.

    Attributes:
      sent: Whether the request may have reached it.
    """

    sent: bool


class HomeStream(FrameProtocol):
    """A stream to one home.

    Attributes:
      leaving: Whether the home asked for no new work.
      heard_at: When it last vouched for its declarations.
    """

    def __init__(
        self,
        on_declarations: Callable[[StoredRow], None],
        notice_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        super().__init__()
        self.on_declarations = on_declarations
        self.notice_dead_peer = notice_dead_peer
        self.leaving = False
        self.heard_at: float | None = None
        self.numbers = 0
        self.waiting: dict[int, asyncio.Future[HomeAnswer]] = {}
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for declarations."""
        super().connection_made(transport)
        self.notice_dead_peer(transport)
        self.send(pack(0, Kind.FOLLOW_DECLARATIONS))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail what is waited for."""
        self.closed = True
        for future in self.waiting.values():
            if not future.done():
                future.cancel()
        self.waiting.clear()

    def frame_received(self, body: bytes) -> None:
        """Take in a message."""
        try:
            number, kind, fields = unpack(body)
            if kind is Kind.ANSWER:
                self.answered(number, fields)
            elif kind is Kind.DECLARATIONS:
                self.heard_at = self.loop.time()
                self.on_declarations(StoredRow(*fields))
            elif kind is Kind.ALIVE:
                self.heard_at = self.loop.time()
            elif kind is Kind.LEAVING:
                self.leaving = True
        except (ValueError, TypeError):
            # A peer of another version; its answers cannot be trusted.
            self.abort()

    def answered(self, number: int, fields: Fields) -> None:
        """Hand an answer to whoever waits."""
        future = self.waiting.pop(number, None)
        if future is not None and not future.done():
            reply, seen = fields
            future.set_result(
                HomeAnswer(decode_reply(reply), decode_position(seen))
            )

    def next_number(self) -> int:
        """Return the number of the next request."""
        self.numbers += 1
        return self.numbers

    async def call(
        self, number: int, body: bytes, timeout_seconds: float
    ) -> HomeAnswer | HomeLost:
        """Send a request and return its answer.

        Args:
          number: The request's number.
          body: The request.
          timeout_seconds: The longest wait.
        """
        if self.closed:
            return HomeLost(sent=False)
        future: asyncio.Future[HomeAnswer] = self.loop.create_future()
        self.waiting[number] = future
        self.send(body)
        done, _ = await asyncio.wait([future], timeout=timeout_seconds)
        if done and not future.cancelled():
            return future.result()
        self.waiting.pop(number, None)
        if not done:
            # Silent: nothing says that later requests fare better.
            self.abort()
        return HomeLost(sent=True)


async def open_stream(
    member: Member,
    on_declarations: Callable[[StoredRow], None],
    notice_dead_peer: Callable[[asyncio.BaseTransport], None],
) -> HomeStream | None:
    """Connect to a home; None if it cannot be reached.

    Args:
      member: The home.
      on_declarations: Told of declarations.
      notice_dead_peer: Sets the connection's options.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, stream = await loop.create_connection(
                lambda: HomeStream(on_declarations, notice_dead_peer),
                member.host,
                member.port,
            )
    except (OSError, TimeoutError):
        return None
    return stream
