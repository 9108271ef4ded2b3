"""Forwarding of actions to other VMs."""

from typing import Any

import aiohttp
from aiohttp import web

from jackdawcrank.operators.error_responses import UNAVAILABLE, error_response
from jackdawcrank_policy.values import Vm

FORWARDED_HEADER = "Jackdawcrank-Forwarded"
FORWARD_TIMEOUT_SECONDS = 10.0
COPIED_HEADERS = ("Authorization", "Jackdawcrank-Actor")


async def forward(
    request: web.Request, vm: Vm, path: str, body: Any = None
) -> web.Response:
    """Forward an action to another VM's resource API.

    An unreachable VM gives a 503 response.
    """
    url = f"http://{vm.host}:{vm.operator_port}{path}"
    headers = {FORWARDED_HEADER: "1"}
    for name in COPIED_HEADERS:
        if name in request.headers:
            headers[name] = request.headers[name]
    client_timeout = aiohttp.ClientTimeout(total=FORWARD_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=client_timeout) as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            document = await response.json()
            return web.json_response(document, status=response.status)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return error_response(
            UNAVAILABLE,
            "unreachable",
            f"cannot reach VM {vm.name}: {type(error).__name__}",
            f"if the VM is running, send the request to {url} directly",
        )
