"""Promotions, run by a home proxy of the database group."""

from aiohttp import web

from jackdawcrank.operators.action_responses import action_response
from jackdawcrank.operators.auth import ACTOR
from jackdawcrank.operators.error_responses import (
    BAD_REQUEST,
    UNAVAILABLE,
    not_found_response,
)
from jackdawcrank.operators.forward import FORWARDED_HEADER, forward
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.values import Vm


async def promote(
    ports: OperatorPorts,
    request: web.Request,
    group: str,
    server: str | None,
    force: bool = False,
) -> web.Response:
    """Promote a server, through a home proxy if this VM is not a home.

    Args:
      ports: The proxy functions that the API uses.
      request: The operator's request.
      group: The database group.
      server: The new primary; None selects one automatically.
      force: Whether to promote even if too few servers are reachable.
    """
    homes = member_homes(ports, group)
    if not homes or ports.vm in homes or FORWARDED_HEADER in request.headers:
        actor = request[ACTOR]
        outcome = await ports.promote(group, server, actor, force)
        return action_response(outcome)
    path = f"/v1/groups/{group}/promote"
    body: dict[str, object] = {"force": force}
    if server is not None:
        body["server"] = server
    response = not_found_response(f"home of group {group} in reach")
    for vm in homes.values():
        response = await forward(request, vm, path, body)
        if response.status != UNAVAILABLE:
            break
    return response


async def replace_leaving_primary(
    ports: OperatorPorts, request: web.Request, server: str
) -> web.Response | None:
    """Promote another server if the given one is the primary.

    Args:
      ports: The proxy functions that the API uses.
      request: The operator's request.
      server: The backend server to be drained.

    Returns:
      An error response if the primary cannot be replaced; None if the server
      is not, or is no longer, a primary.
    """
    group = group_with_primary(ports, server)
    if group is None:
        return None
    response = await promote(ports, request, group, None)
    return response if response.status >= BAD_REQUEST else None


def member_homes(ports: OperatorPorts, group: str) -> dict[str, Vm]:
    """Return the home proxies of a group that are known members."""
    row = ports.follower.configuration.group_rows.get(group)
    names = writer_names(row.writers) if row is not None else ()
    vms = ports.members().vms
    return {name: vms[name] for name in names if name in vms}


def group_with_primary(ports: OperatorPorts, server: str) -> str | None:
    """Return the group that a server is the primary of, or None."""
    configuration = ports.follower.configuration
    spec = configuration.servers.get(server)
    row = configuration.group_rows.get(spec.group) if spec else None
    return row.group if row is not None and row.primary == server else None
