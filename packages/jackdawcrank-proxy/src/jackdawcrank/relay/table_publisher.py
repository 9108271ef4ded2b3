"""Publication of the store's tables to other proxies."""

import typing
from collections.abc import Iterable, Mapping

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.home_messages import Fields, Kind, pack
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_messages import (
    compress_rows,
    encode_changes,
    encode_image,
)
from jackdawcrank.seams.metadata_store import StoredRow, TableChanges
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# Subscribers detect missing heartbeats after slightly more than twice this
# interval. It is a sixth of the shortest time limit for applying a
# configuration (3 s).
HEARTBEAT_SECONDS = 0.5
# A subscriber with more unsent bytes does not read; four times the largest
# declarations on users' sites.
MAX_UNSENT_BYTES = 1024 * 1024


@attrs.frozen
class KnownTable:
    """What a subscriber knows of a table when it subscribes.

    Attributes:
      table: The table.
      epoch: The store's epoch of the rows that it knows.
      revision: The revision up to which it knows all changes; None if it knows
        no rows.
    """

    table: str
    epoch: int
    revision: int | None


def decode_known_table(fields: Fields) -> KnownTable:
    """Return the table in message fields.

    Args:
      fields: The message fields.

    Raises:
      TypeError: The fields are malformed.
      ValueError: The fields are malformed.
    """
    table, epoch, revision = fields
    return KnownTable(
        str(table), int(epoch), None if revision is None else int(revision)
    )


class Subscriber(typing.Protocol):
    """The connection of a proxy that subscribes to tables."""

    def send(self, body: bytes) -> None:
        """Queue a message without waiting.

        Args:
          body: The message.
        """

    def unsent_bytes(self) -> int:
        """Return the number of queued bytes that were not sent."""

    def abort(self) -> None:
        """Close the connection immediately."""


class TablePublisher:
    """Publishes all table changes, and heartbeats for followed tables.

    Changes received from upstream VMs are published, too, but without
    heartbeats: if the upstream VMs failed, subscribers would otherwise rely on
    a proxy that no longer learns of changes in the store.

    Attributes:
      followers: The followers of this process by table.
      log: Records subscribers that do not read.
      sends_proofs: Whether heartbeats carry the store time up to which all
        changes are known. Proxies of earlier versions cannot read it, so it is
        sent only where a bound on withdrawals is set.
      subscribers: The subscribed tables of each connection.
      compressed: The compressed rows of the latest image of each table, with
        its epoch and revision.
      subscription: The timer's subscription; None before the start.
    """

    def __init__(
        self, followers: Iterable[TableFollower], log: DecisionLog
    ) -> None:
        self.followers = {one.table: one for one in followers}
        self.log = log
        self.sends_proofs = False
        self.subscribers: dict[Subscriber, set[str]] = {}
        self.compressed: dict[str, tuple[tuple[int, int], bytes]] = {}
        self.subscription: Subscription | None = None
        for follower in self.followers.values():
            follower.observer = self

    async def start(self, timer: Timer) -> None:
        """Start to send heartbeats.

        Args:
          timer: Schedules the heartbeats.
        """
        self.subscription = timer.subscribe(
            "tables", HEARTBEAT_SECONDS, self.send_heartbeats
        )

    async def close(self) -> None:
        """Stop sending heartbeats."""
        if self.subscription:
            self.subscription.close()

    def subscribe(
        self, subscriber: Subscriber, tables: Iterable[KnownTable]
    ) -> None:
        """Subscribe a proxy to tables and send it the images that it lacks.

        Args:
          subscriber: The proxy's connection.
          tables: The tables; unknown ones are ignored.
        """
        subscribed = self.subscribers.setdefault(subscriber, set())
        for known in tables:
            follower = self.followers.get(known.table)
            if follower is None or known.table in subscribed:
                continue
            subscribed.add(known.table)
            if not is_current(known, follower):
                self.send_image(subscriber, follower)
        self.send_heartbeat(subscriber, subscribed)

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove a proxy whose connection has ended.

        Args:
          subscriber: The proxy's connection.
        """
        self.subscribers.pop(subscriber, None)

    def resend(self, subscriber: Subscriber, table: str) -> None:
        """Send the image of a table to a proxy that missed a change.

        Args:
          subscriber: The proxy's connection.
          table: The table; ignored if the proxy is not subscribed to it.
        """
        if table in self.subscribers.get(subscriber, ()):
            self.send_image(subscriber, self.followers[table])

    def send(self, subscriber: Subscriber, body: bytes) -> None:
        """Send a message, or close the connection of one that does not read."""
        if subscriber.unsent_bytes() > MAX_UNSENT_BYTES:
            self.log.event(
                "subscriber_closed", unsent=subscriber.unsent_bytes()
            )
            subscriber.abort()
            return
        subscriber.send(body)

    def send_image(
        self, subscriber: Subscriber, follower: TableFollower
    ) -> None:
        """Send the image of a table if it is known."""
        image = follower.image()
        if image is None:
            return
        version = (image.epoch, image.revision)
        known_version, rows = self.compressed.get(follower.table, (None, b""))
        if known_version != version:
            rows = compress_rows(image.rows)
            self.compressed[follower.table] = (version, rows)
        fields = encode_image(image, rows)
        self.send(subscriber, pack(0, Kind.IMAGE, follower.table, fields))

    def store_answered(self, follower: TableFollower) -> None:
        """Send a heartbeat, so that subscribers go on relying on this process.

        Args:
          follower: Holds the table's rows.
        """
        for subscriber in self.subscribers_of(follower):
            self.send_heartbeat(subscriber, {follower.table})

    def image_applied(self, follower: TableFollower) -> None:
        """Send a new image of a table to its subscribers.

        Args:
          follower: Holds the table's rows.
        """
        for subscriber in self.subscribers_of(follower):
            self.send_image(subscriber, follower)

    def changes_applied(
        self,
        follower: TableFollower,
        after: int,
        changes: TableChanges,
        earlier: Mapping[str, StoredRow],
    ) -> None:
        """Send changes of a table to its subscribers.

        Args:
          follower: Holds the table's rows.
          after: The revision to which the changes apply.
          changes: The changes.
          earlier: The changed rows as they were before, by key.
        """
        subscribers = self.subscribers_of(follower)
        if not subscribers:
            return
        fields = encode_changes(changes, earlier)
        body = pack(0, Kind.CHANGES, follower.table, after, fields)
        for subscriber in subscribers:
            self.send(subscriber, body)

    def subscribers_of(self, follower: TableFollower) -> list[Subscriber]:
        """Return the subscribers to a follower's table."""
        return [
            subscriber
            for subscriber, tables in self.subscribers.items()
            if follower.table in tables
        ]

    async def send_heartbeats(self, _now: float) -> None:
        """Send a heartbeat to each subscriber.

        Args:
          _now: The timer's time in seconds; not used.
        """
        for subscriber, tables in list(self.subscribers.items()):
            self.send_heartbeat(subscriber, tables)

    def send_heartbeat(self, subscriber: Subscriber, tables: set[str]) -> None:
        """Send what is known of those tables that are followed here."""
        followed = {
            table: (
                follower.epoch,
                follower.revision,
                follower.answer_age(),
                *self.proof_of(follower),
            )
            for table in tables
            if (follower := self.followers[table]).active()
        }
        if followed:
            self.send(subscriber, pack(0, Kind.ALIVE, followed))

    def proof_of(self, follower: TableFollower) -> tuple[float, ...]:
        """Return the proven store time of a table; empty if none is sent."""
        proven = follower.proven_store_seconds
        return (proven,) if self.sends_proofs and proven is not None else ()


def is_current(known: KnownTable, follower: TableFollower) -> bool:
    """Return whether a subscriber knows all rows that a follower knows.

    Args:
      known: What the subscriber knows.
      follower: Holds the table's rows.
    """
    return (
        known.revision is not None
        and known.epoch == follower.epoch
        and known.revision >= follower.last_change_revision
    )
