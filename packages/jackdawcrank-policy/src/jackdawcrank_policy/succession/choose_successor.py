"""Which replica may follow a primary without losing a commit."""

from collections.abc import Collection, Iterable

import attrs

from jackdawcrank_policy.values.position import Position


@attrs.frozen
class FrozenServer:
    """A replica that has stopped to receive from the primary.

    Attributes:
      server_id: Its name.
      position: The last entry that it received.
      leaving: Whether it is shutting down.
      distance: How far it is; the nearest is preferred among equals.
    """

    server_id: str
    position: Position
    leaving: bool = False
    distance: int = 0


@attrs.frozen
class Successor:
    """The replica to promote.

    Attributes:
      server_id: Its name.
      position: The last entry that it holds.
    """

    server_id: str
    position: Position


@attrs.frozen
class NoSuccessor:
    """No replica may be promoted.

    Attributes:
      missing: Replicas that were not frozen and may hold a commit alone.
    """

    missing: tuple[str, ...]


def choose_successor(
    frozen: Iterable[FrozenServer],
    replicas: Collection[str],
    confirming: int,
) -> Successor | NoSuccessor:
    """Return the replica that holds every acknowledged commit.

    A commit is on at least `confirming` replicas before it is acknowledged.
    If fewer than that many replicas are missing, one of the frozen ones holds
    it; logs are prefixes of each other, so the longest one holds all.

    Args:
      frozen: The replicas that have stopped to receive.
      replicas: All replicas that may have received a commit.
      confirming: Replicas that have a commit before it is acknowledged.
    """
    by_id = {server.server_id: server for server in frozen}
    missing = tuple(sorted(set(replicas) - by_id.keys()))
    if not by_id or len(missing) >= max(1, confirming):
        return NoSuccessor(missing)
    longest = max(server.position for server in by_id.values())
    best = min(
        (server for server in by_id.values() if server.position == longest),
        key=lambda server: (server.leaving, server.distance, server.server_id),
    )
    return Successor(best.server_id, best.position)
