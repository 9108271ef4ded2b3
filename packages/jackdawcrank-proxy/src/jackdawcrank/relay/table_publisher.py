"""Telling other proxies what the store's tables hold."""

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

# Others notice within a bit more than twice this that nobody vouches any
# more; a sixth of the shortest bound of a configuration (3 s).
HEARTBEAT_SECONDS = 0.5


class Subscriber(typing.Protocol):
    """The connection of a proxy that wants to be told."""

    def send(self, body: bytes) -> None:
        """Send a message without waiting.

        Args:
          body: The message.
        """


class TablePublisher:
    """Passes on every change of the tables, and vouches for what it follows.

    What others told is passed on, too, but not vouched for: if those two
    fall silent, nobody is left who would notice that the store has changed.

    Attributes:
      followers: What is followed here, by table.
      subscribers: The tables that each connection wants.
    """

    def __init__(self, followers: Iterable[TableFollower]) -> None:
        self.followers = {one.table: one for one in followers}
        self.subscribers: dict[Subscriber, set[str]] = {}
        self.subscription: Subscription | None = None
        for follower in self.followers.values():
            follower.observer = self

    async def start(self, timer: Timer) -> None:
        """Begin to vouch.

        Args:
          timer: Calls back.
        """
        self.subscription = timer.subscribe(
            "tables", HEARTBEAT_SECONDS, self.send_heartbeats
        )

    async def close(self) -> None:
        """Stop vouching."""
        if self.subscription:
            self.subscription.close()

    def subscribe(self, subscriber: Subscriber, tables: Iterable[str]) -> None:
        """Tell a proxy the tables that it wants, from now on.

        Args:
          subscriber: The proxy's connection.
          tables: The tables.
        """
        known = self.subscribers.setdefault(subscriber, set())
        for table in sorted(set(tables) & self.followers.keys() - known):
            known.add(table)
            self.send_image(subscriber, self.followers[table])
        self.send_heartbeat(subscriber, known)

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Take in that a proxy's connection has ended.

        Args:
          subscriber: The connection.
        """
        self.subscribers.pop(subscriber, None)

    def send_image(
        self, subscriber: Subscriber, follower: TableFollower
    ) -> None:
        """Send a table as it is known here, if it is."""
        image = follower.image()
        if image is not None:
            subscriber.send(
                pack(0, Kind.IMAGE, follower.table, encode_image(image))
            )

    def image_applied(self, follower: TableFollower) -> None:
        """Take in that a table was read anew.

        Args:
          follower: Holds its rows.
        """
        for subscriber, tables in self.subscribers.items():
            if follower.table in tables:
                self.send_image(subscriber, follower)

    def changes_applied(
        self, follower: TableFollower, after: int, changes: TableChanges
    ) -> None:
        """Take in that a table has changed.

        Args:
          follower: Holds its rows.
          after: The revision that the changes follow.
          changes: The changes.
        """
        body = pack(
            0, Kind.CHANGES, follower.table, after, encode_changes(changes)
        )
        for subscriber, tables in self.subscribers.items():
            if follower.table in tables:
                subscriber.send(body)

    async def send_heartbeats(self, _now: float) -> None:
        """Vouch to every listener.

        Args:
          _now: The timer's time.
        """
        for subscriber, tables in self.subscribers.items():
            self.send_heartbeat(subscriber, tables)

    def send_heartbeat(self, subscriber: Subscriber, tables: set[str]) -> None:
        """Tell a proxy up to which revision it knows the tables."""
        revisions = {
            table: self.followers[table].revision
            for table in tables
            if self.followers[table].active()
        }
        if revisions:
            subscriber.send(pack(0, Kind.ALIVE, revisions))
