"""The side of a proxy that forwards to a home."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import attrs

from jackdawcrank.relay.frame_protocol import FrameProtocol
from jackdawcrank.relay.home_messages import (
    Fields,
    Kind,
    decode_changes,
    decode_image,
    decode_position,
    decode_reply,
    pack,
    unpack,
)
from jackdawcrank.relay.table_follower import TableFollower
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
      followers: What takes in the tables that it tells.
      leaving: Whether the home asked for no new work.
      asked: The tables that it was asked to tell.
      asked_at: When it was last asked for one more.
      vouched_at: When it last vouched for each table.
    """

    def __init__(
        self,
        followers: Mapping[str, TableFollower],
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        super().__init__()
        self.followers = followers
        self.detect_dead_peer = detect_dead_peer
        self.leaving = False
        self.asked: set[str] = set()
        self.asked_at = 0.0
        self.vouched_at: dict[str, float] = {}
        self.numbers = 0
        self.waiting: dict[int, asyncio.Future[HomeAnswer]] = {}
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        super().connection_made(transport)
        self.detect_dead_peer(transport)

    def follow(self, tables: Iterable[str]) -> None:
        """Ask to be told tables, unless that was asked before.

        Args:
          tables: The tables.
        """
        wanted = set(tables) - self.asked
        if wanted:
            self.asked |= wanted
            self.asked_at = self.loop.time()
            self.send(pack(0, Kind.FOLLOW, *sorted(wanted)))

    def vouches(self, table: str, seconds: float) -> bool:
        """Return whether it has vouched for a table lately.

        Args:
          table: The table.
          seconds: How long ago it may have been.
        """
        oldest = self.loop.time() - seconds
        return not self.closed and self.vouched_at.get(table, oldest) > oldest

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
            elif kind is Kind.IMAGE:
                table, image = fields
                self.followers[table].take_image(decode_image(image))
            elif kind is Kind.CHANGES:
                self.changes_told(*fields)
            elif kind is Kind.ALIVE:
                self.vouched(*fields)
            elif kind is Kind.LEAVING:
                self.leaving = True
        except (ValueError, TypeError, KeyError, AttributeError):
            # A peer of another version; its answers cannot be trusted.
            self.abort()

    def changes_told(self, table: str, after: int, fields: Fields) -> None:
        """Take in changes of a table."""
        follower = self.followers[table]
        known = follower.revision
        if known is not None and after <= known:
            follower.take_changes(decode_changes(fields))
        else:
            follower.must_read = True

    def vouched(self, revisions: dict[str, int]) -> None:
        """Take in up to which revision the home knows tables."""
        for table, revision in revisions.items():
            self.followers[table].take_revision(revision)
            self.vouched_at[table] = self.loop.time()

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
    followers: Mapping[str, TableFollower],
    detect_dead_peer: Callable[[asyncio.BaseTransport], None],
) -> HomeStream | None:
    """Connect to a home; None if it cannot be reached.

    Args:
      member: The home.
      followers: What takes in the tables that the home tells.
      detect_dead_peer: Sets the connection's options.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, stream = await loop.create_connection(
                lambda: HomeStream(followers, detect_dead_peer),
                member.host,
                member.port,
            )
    except (OSError, TimeoutError):
        return None
    return stream
