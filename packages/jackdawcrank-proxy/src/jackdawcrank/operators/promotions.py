"""Promotions, asked of a home proxy of the group."""

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
    """Begin a promotion here or, if this VM is no home, at one.

    Args:
      ports: What the process offers.
      request: The operator's request.
      group: The database group.
      server: The new primary; None leaves the choice to the system.
      force: Whether to do so with too few servers in reach.
    """
    homes = reachable_homes(ports, group)
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
    """Have another server made primary if the given one is.

    Args:
      ports: What the process offers.
      request: The operator's request.
      server: The backend server that is to leave.

    Returns:
      The refusal if the primary can't be moved; None if the server is no
      primary any more.
    """
    group = group_with_primary(ports, server)
    if group is None:
        return None
    response = await promote(ports, request, group, None)
    return response if response.status >= BAD_REQUEST else None


def reachable_homes(ports: OperatorPorts, group: str) -> dict[str, Vm]:
    """Return the living home proxies of a group with their addresses."""
    row = ports.follower.configuration.group_rows.get(group)
    names = writer_names(row.writers) if row is not None else ()
    vms = ports.members().vms
    return {name: vms[name] for name in names if name in vms}


def group_with_primary(ports: OperatorPorts, server: str) -> str | None:
    """Return the group whose primary a server is; None if of none."""
    configuration = ports.follower.configuration
    spec = configuration.servers.get(server)
    row = configuration.group_rows.get(spec.group) if spec else None
    return row.group if row is not None and row.primary == server else None
