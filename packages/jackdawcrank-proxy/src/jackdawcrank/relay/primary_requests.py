"""Requests of other proxies about the primaries that this proxy reaches."""

from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.directory import Directory
from jackdawcrank.seams.commands import Demote
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.succession import FailureKind

UNKNOWN = Reply(problem=Problem.NOT_PRIMARY, detail="no primary is known")
UNREACHED = Reply(problem=Problem.BUSY, detail="the primary does not answer")


async def check_primary(
    directory: Directory, group_name: str, server_id: str
) -> Reply:
    """Return a reply that names the primary, if it answers this proxy.

    Args:
      directory: Holds the groups.
      group_name: The group's name.
      server_id: The expected primary; empty for the one that is known here.
    """
    group = directory.groups.get(group_name)
    pool = group.primary_pool() if group else None
    if group is None or pool is None:
        return UNKNOWN
    if server_id and pool.server.server_id != server_id:
        return UNKNOWN
    suspicion = group.suspicion.suspected_failure(group.loop.time())
    if suspicion is not FailureKind.NONE:
        # It has not answered, or not confirmed a commit, for some time.
        return UNREACHED
    check = await group.control.check_primary(pool)
    return (
        Reply(detail=pool.server.server_id) if check.is_primary else UNREACHED
    )


async def step_down(
    directory: Directory, group_name: str, server_id: str, term: int
) -> Reply:
    """Let a primary step down; return a reply with its last position.

    Args:
      directory: Holds the groups.
      group_name: The group's name.
      server_id: The primary.
      term: The term under which it steps down.
    """
    group = directory.groups.get(group_name)
    pool: ConnectionPool | None = group.pools.get(server_id) if group else None
    if group is None or pool is None:
        return UNKNOWN
    answer = await group.control.send_command(pool, Demote(term))
    if answer.status is None or answer.status.leads:
        return UNREACHED
    if pool is group.primary_pool():
        group.mark_not_primary(pool)
    return Reply(detail=server_id, position=answer.status.received)
