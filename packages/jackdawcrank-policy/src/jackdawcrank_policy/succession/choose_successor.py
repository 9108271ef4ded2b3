"""Choice of the replica to promote without losing a commit."""

from collections.abc import Collection, Iterable

import attrs

from jackdawcrank_policy.values.position import Position


@attrs.frozen
class FrozenServer:
    """A replica that has stopped receiving from the primary.

    Attributes:
      server_id: The server's name.
      position: The last log entry that it received.
      leaving: Whether it is shutting down.
      distance: Network distance; among equal candidates the lowest is
        preferred.
    """

    server_id: str
    position: Position
    leaving: bool = False
    distance: int = 0


@attrs.frozen
class Successor:
    """The replica to promote.

    Attributes:
      server_id: The server's name.
      position: The last log entry that it holds.
    """

    server_id: str
    position: Position


@attrs.frozen
class NoSuccessor:
    """No replica may be promoted.

    Attributes:
      missing: Replicas that were not frozen and may be the only ones to hold a
        commit.
    """

    missing: tuple[str, ...]


def choose_successor(
    frozen: Iterable[FrozenServer],
    replicas: Collection[str],
    confirming: int,
) -> Successor | NoSuccessor:
    """Return the replica that holds every acknowledged commit.

    A commit is acknowledged after at least `confirming` replicas have received
    it. If fewer replicas than that are missing, at least one frozen replica
    holds the commit. Logs are prefixes of each other, so the longest log holds
    every acknowledged commit.

    Args:
      frozen: The replicas that have stopped receiving.
      replicas: All replicas that may have received a commit.
      confirming: Number of replicas that must receive a commit before it is
        acknowledged.
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
