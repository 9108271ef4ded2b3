"""Streams on which a proxy forwards requests to a home."""

import asyncio
import typing
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.frame_protocol import FrameProtocol
from jackdawcrank.relay.home_messages import (
    Fields,
    Kind,
    decode_position,
    decode_reply,
    pack,
    unpack,
)
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_messages import (
    UnknownBaseError,
    decode_changes,
    decode_image,
)
from jackdawcrank.seams.replies import Reply
from jackdawcrank_policy.homes import Member
from jackdawcrank_policy.values.position import Position

# A home that does not accept the connection in this time is skipped. A round
# trip within a region takes 3 ms.
HOME_CONNECT_TIMEOUT_SECONDS = 0.4
# Added to the statement timeout for the network round trip to the home.
HOME_MARGIN_SECONDS = 0.2


GrantHandler = Callable[[Fields], None]


def ignore_grant(_fields: Fields) -> None:
    """Ignore a grant, on a proxy that limits no client accounts."""


@attrs.frozen
class HomeAnswer:
    """The answer of a home to a request.

    Attributes:
      reply: The reply for the caller.
      last_position: The newest commit position of the session, or None.
    """

    reply: Reply
    last_position: Position | None


@attrs.frozen
class HomeLost:
    """The result of a request that the home did not answer.

    Attributes:
      sent: Whether the request may have reached the home.
    """

    sent: bool


class HomeStream(FrameProtocol):
    """A stream to one home.

    Times are in seconds on the event loop's clock.

    Attributes:
      followers: The followers that apply received table updates, by table.
      detect_dead_peer: Sets the socket options that detect a dead peer.
      log: Records malformed messages.
      on_grant: Receives the fields of granted tokens of client accounts.
      leaving: Whether the home has asked for no new requests.
      subscribed: The tables to which this proxy is subscribed.
      subscribed_at: When the last subscription was sent.
      incomplete: The tables whose image was asked for because changes could
        not be applied.
      heartbeat_at: When the last heartbeat for each table was received.
      store_answered_at: When the store last answered the home's follower of
        each table, in seconds since boot.
      last_number: The number of the last request.
      pending: The unanswered requests, by number.
    """

    def __init__(
        self,
        followers: Mapping[str, TableFollower],
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
        log: DecisionLog,
        on_grant: GrantHandler = ignore_grant,
    ) -> None:
        super().__init__()
        self.followers = followers
        self.detect_dead_peer = detect_dead_peer
        self.log = log
        self.on_grant = on_grant
        self.leaving = False
        self.subscribed: set[str] = set()
        self.subscribed_at = 0.0
        self.incomplete: set[str] = set()
        self.heartbeat_at: dict[str, float] = {}
        self.store_answered_at: dict[str, float] = {}
        self.last_number = 0
        self.pending: dict[int, asyncio.Future[HomeAnswer]] = {}
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        super().connection_made(transport)
        self.detect_dead_peer(transport)

    def subscribe(self, tables: Iterable[str]) -> None:
        """Subscribe to the tables that are not subscribed yet.

        Args:
          tables: The names of the tables.
        """
        new_tables = set(tables) - self.subscribed
        if new_tables:
            self.subscribed |= new_tables
            self.subscribed_at = self.loop.time()
            known_tables = map(self.known_table, sorted(new_tables))
            self.send(pack(0, Kind.FOLLOW, *known_tables))

    def known_table(self, table: str) -> Fields:
        """Return what this proxy knows of a table, as message fields."""
        follower = self.followers[table]
        return [table, follower.epoch, follower.revision]

    def relays_changes(self, table: str, heartbeat_seconds: float) -> bool:
        """Return whether the home is known to relay all changes of a table.

        Args:
          table: The name of the table.
          heartbeat_seconds: The maximum age of the last heartbeat.
        """
        answered_at = self.store_answered_at.get(table)
        if self.closed or answered_at is None:
            return False
        trust_seconds = self.followers[table].trust_seconds
        return (
            self.loop.time() - self.heartbeat_at[table] < heartbeat_seconds
            and boot_seconds() - answered_at <= trust_seconds
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the pending requests."""
        self.closed = True
        for future in self.pending.values():
            if not future.done():
                future.cancel()
        self.pending.clear()

    def frame_received(self, body: bytes) -> None:
        """Handle a message; abort the connection if it is malformed."""
        try:
            number, kind, fields = unpack(body)
            if kind is Kind.ANSWER:
                self.resolve_reply(number, fields)
            elif kind is Kind.IMAGE:
                table, image = fields
                self.incomplete.discard(table)
                self.followers[table].apply_image(decode_image(image))
            elif kind is Kind.CHANGES:
                self.record_changes(*fields)
            elif kind is Kind.ALIVE:
                self.record_heartbeat(*fields)
            elif kind is Kind.ALLOWANCE_GRANT:
                self.on_grant(fields)
            elif kind is Kind.LEAVING:
                self.leaving = True
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            # The peer runs another version, so its answers are unreliable.
            self.log.event("peer_message_unreadable", detail=repr(error))
            self.abort()

    def record_changes(self, table: str, after: int, fields: Fields) -> None:
        """Apply changes of a table.

        The home is asked for the whole table if the changes do not follow the
        revision that is known, or refer to rows that are not known.

        Args:
          table: The name of the table.
          after: The revision that the changes follow.
          fields: The encoded changes.
        """
        follower = self.followers[table]
        known = follower.revision
        if table in self.incomplete:
            # The image that was asked for holds these changes.
            return
        if known is None or after > known:
            self.request_image(table)
            return
        try:
            changes = decode_changes(fields, follower.base_row)
        except UnknownBaseError:
            self.request_image(table)
            return
        follower.apply_changes(changes)

    def request_image(self, table: str) -> None:
        """Ask the home for the whole table."""
        self.incomplete.add(table)
        self.send(pack(0, Kind.RESEND, table))

    def record_heartbeat(
        self, followed: dict[str, Sequence[typing.Any]]
    ) -> None:
        """Record a heartbeat of the home.

        A heartbeat about another epoch of the store proves nothing here.

        Args:
          followed: The store's epoch, the revision that the home knows and the
            seconds since the store's last answer, by table; and the store
            time up to which the home knows all changes, where the age of rows
            must be proven.
        """
        for table, (epoch, revision, answer_age, *proven) in followed.items():
            if table in self.incomplete:
                # Changes up to that revision were received but not applied.
                continue
            if not self.followers[table].advance_revision(epoch, revision):
                continue
            if proven:
                # All changes up to the revision came before on this stream.
                self.followers[table].prove(float(proven[0]), epoch)
            self.followers[table].store_health.record_hint()
            self.heartbeat_at[table] = self.loop.time()
            self.store_answered_at[table] = boot_seconds() - answer_age

    def resolve_reply(self, number: int, fields: Fields) -> None:
        """Complete the pending request with the home's answer."""
        future = self.pending.pop(number, None)
        if future is not None and not future.done():
            reply, last_position = fields
            future.set_result(
                HomeAnswer(decode_reply(reply), decode_position(last_position))
            )

    def next_number(self) -> int:
        """Return a new request number."""
        self.last_number += 1
        return self.last_number

    async def call(
        self, number: int, body: bytes, timeout_seconds: float
    ) -> HomeAnswer | HomeLost:
        """Send a request and wait for the answer.

        Aborts the connection if the home does not answer in time.

        Args:
          number: The request number.
          body: The encoded request.
          timeout_seconds: The longest wait, in seconds.
        """
        answer = await self.wait_answer(number, body, timeout_seconds)
        if isinstance(answer, HomeLost) and answer.sent:
            # A home that did not answer this request may not answer later
            # ones either.
            self.abort()
        return answer

    async def wait_answer(
        self, number: int, body: bytes, timeout_seconds: float
    ) -> HomeAnswer | HomeLost:
        """Send a request and wait for the answer; keep the connection.

        Args:
          number: The request number.
          body: The encoded request.
          timeout_seconds: The longest wait, in seconds.
        """
        if self.closed:
            return HomeLost(sent=False)
        future: asyncio.Future[HomeAnswer] = self.loop.create_future()
        self.pending[number] = future
        try:
            self.send(body)
            done, _ = await asyncio.wait([future], timeout=timeout_seconds)
        finally:
            self.pending.pop(number, None)
        if done and not future.cancelled():
            return future.result()
        return HomeLost(sent=True)


async def open_stream(
    member: Member,
    followers: Mapping[str, TableFollower],
    detect_dead_peer: Callable[[asyncio.BaseTransport], None],
    log: DecisionLog,
    on_grant: GrantHandler = ignore_grant,
) -> HomeStream | None:
    """Return a stream to a home, or None if it cannot be reached.

    Args:
      member: The home.
      followers: The followers that apply received table updates, by table.
      detect_dead_peer: Sets the socket options that detect a dead peer.
      log: Records malformed messages.
      on_grant: Receives the fields of granted tokens of client accounts.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(HOME_CONNECT_TIMEOUT_SECONDS):
            _, stream = await loop.create_connection(
                lambda: HomeStream(followers, detect_dead_peer, log, on_grant),
                member.host,
                member.port,
            )
    except (OSError, TimeoutError):
        return None
    return stream
