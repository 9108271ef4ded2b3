"""Publication of the store's tables to other proxies."""

import typing
from collections.abc import Iterable

from jackdawcrank.relay.home_messages import (
    Kind,
    encode_changes,
    encode_image,
    pack,
)
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.seams.metadata_store import TableChanges
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# Subscribers detect missing heartbeats after slightly more than twice this
# interval. It is a sixth of the shortest time limit for applying a
# configuration (3 s).
HEARTBEAT_SECONDS = 0.5


class Subscriber(typing.Protocol):
    """The connection of a proxy that subscribes to tables."""

    def send(self, body: bytes) -> None:
        """Queue a message without waiting.

        Args:
          body: The message.
        """


class TablePublisher:
    """Publishes all table changes, and heartbeats for followed tables.

    Changes received from upstream VMs are published, too, but without
    heartbeats: if the upstream VMs failed, subscribers would otherwise rely on
    a proxy that no longer learns of changes in the store.

    Attributes:
      followers: The followers of this process by table.
      subscribers: The subscribed tables of each connection.
      subscription: The timer's subscription; None before the start.
    """

    def __init__(self, followers: Iterable[TableFollower]) -> None:
        self.followers = {one.table: one for one in followers}
        self.subscribers: dict[Subscriber, set[str]] = {}
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

    def subscribe(self, subscriber: Subscriber, tables: Iterable[str]) -> None:
        """Subscribe a proxy to tables and send it their images.

        Args:
          subscriber: The proxy's connection.
          tables: The tables' names; unknown ones are ignored.
        """
        subscribed = self.subscribers.setdefault(subscriber, set())
        for table in sorted(set(tables) & self.followers.keys() - subscribed):
            subscribed.add(table)
            self.send_image(subscriber, self.followers[table])
        self.send_heartbeat(subscriber, subscribed)

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove a proxy whose connection has ended.

        Args:
          subscriber: The proxy's connection.
        """
        self.subscribers.pop(subscriber, None)

    def send_image(
        self, subscriber: Subscriber, follower: TableFollower
    ) -> None:
        """Send the image of a table if it is known."""
        image = follower.image()
        if image is not None:
            subscriber.send(
                pack(0, Kind.IMAGE, follower.table, encode_image(image))
            )

    def store_answered(self, follower: TableFollower) -> None:
        """Send a heartbeat, so that subscribers go on relying on this process.

        Args:
          follower: Holds the table's rows.
        """
        for subscriber, tables in self.subscribers.items():
            if follower.table in tables:
                self.send_heartbeat(subscriber, {follower.table})

    def image_applied(self, follower: TableFollower) -> None:
        """Send a new image of a table to its subscribers.

        Args:
          follower: Holds the table's rows.
        """
        for subscriber, tables in self.subscribers.items():
            if follower.table in tables:
                self.send_image(subscriber, follower)

    def changes_applied(
        self, follower: TableFollower, after: int, changes: TableChanges
    ) -> None:
        """Send changes of a table to its subscribers.

        Args:
          follower: Holds the table's rows.
          after: The revision to which the changes apply.
          changes: The changes.
        """
        body = pack(
            0, Kind.CHANGES, follower.table, after, encode_changes(changes)
        )
        for subscriber, tables in self.subscribers.items():
            if follower.table in tables:
                subscriber.send(body)

    async def send_heartbeats(self, _now: float) -> None:
        """Send a heartbeat to each subscriber.

        Args:
          _now: The timer's time in seconds; not used.
        """
        for subscriber, tables in self.subscribers.items():
            self.send_heartbeat(subscriber, tables)

    def send_heartbeat(self, subscriber: Subscriber, tables: set[str]) -> None:
        """Send what is known of those tables that are followed here."""
        followed = {
            table: (
                follower.epoch,
                follower.revision,
                follower.answer_age(),
            )
            for table in tables
            if (follower := self.followers[table]).active()
        }
        if followed:
            subscriber.send(pack(0, Kind.ALIVE, followed))
