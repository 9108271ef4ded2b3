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
ALIVE_SECONDS = 0.5


class Listener(typing.Protocol):
    """The connection of a proxy that wants to be told."""

    def send(self, body: bytes) -> None:
        """Send a message without waiting.

        Args:
          body: The message.
        """


class TableTeller:
    """Passes on every change of the tables, and vouches for what it follows.

    What others told is passed on, too, but not vouched for: if those two
    fall silent, nobody is left who would notice that the store has changed.

    Attributes:
      followers: What is followed here, by table.
      listeners: The tables that each connection wants.
    """

    def __init__(self, followers: Iterable[TableFollower]) -> None:
        self.followers = {one.table: one for one in followers}
        self.listeners: dict[Listener, set[str]] = {}
        self.subscription: Subscription | None = None
        for follower in self.followers.values():
            follower.news = self

    async def start(self, timer: Timer) -> None:
        """Begin to vouch.

        Args:
          timer: Calls back.
        """
        self.subscription = timer.subscribe(
            "tables", ALIVE_SECONDS, self.vouch_to_all
        )

    async def close(self) -> None:
        """Stop vouching."""
        if self.subscription:
            self.subscription.close()

    def listen(self, listener: Listener, tables: Iterable[str]) -> None:
        """Tell a proxy the tables that it wants, from now on.

        Args:
          listener: The proxy's connection.
          tables: The tables.
        """
        known = self.listeners.setdefault(listener, set())
        for table in sorted(set(tables) & self.followers.keys() - known):
            known.add(table)
            self.tell_image(listener, self.followers[table])
        self.vouch(listener, known)

    def forget(self, listener: Listener) -> None:
        """Take in that a proxy's connection has ended.

        Args:
          listener: The connection.
        """
        self.listeners.pop(listener, None)

    def tell_image(self, listener: Listener, follower: TableFollower) -> None:
        """Send a table as it is known here, if it is."""
        image = follower.image()
        if image is not None:
            listener.send(
                pack(0, Kind.IMAGE, follower.table, encode_image(image))
            )

    def image_known(self, follower: TableFollower) -> None:
        """Take in that a table was read anew.

        Args:
          follower: Holds its rows.
        """
        for listener, tables in self.listeners.items():
            if follower.table in tables:
                self.tell_image(listener, follower)

    def changes_known(
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
        for listener, tables in self.listeners.items():
            if follower.table in tables:
                listener.send(body)

    async def vouch_to_all(self, _now: float) -> None:
        """Vouch to every listener.

        Args:
          _now: The timer's time.
        """
        for listener, tables in self.listeners.items():
            self.vouch(listener, tables)

    def vouch(self, listener: Listener, tables: set[str]) -> None:
        """Tell a proxy up to which revision it knows the tables."""
        revisions = {
            table: self.followers[table].revision
            for table in tables
            if self.followers[table].active()
        }
        if revisions:
            listener.send(pack(0, Kind.ALIVE, revisions))
