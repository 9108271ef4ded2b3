"""Passes actions on to other VMs."""

from typing import Any

import aiohttp
from aiohttp import web

from jackdawcrank.operators.problem_answer import UNAVAILABLE, error_answer
from jackdawcrank_policy.values import Vm

FORWARDED = "Jackdawcrank-Forwarded"
FORWARD_SECONDS = 10.0
PASSED_ON = ("Authorization", "Jackdawcrank-Actor")


async def forward(
    request: web.Request, vm: Vm, path: str, body: Any = None
) -> web.Response:
    """Pass an action on to another VM's resource API."""
    url = f"http://{vm.host}:{vm.operator_port}{path}"
    headers = {FORWARDED: "1"}
    for name in PASSED_ON:
        if name in request.headers:
            headers[name] = request.headers[name]
    limit = aiohttp.ClientTimeout(total=FORWARD_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            document = await response.json()
            return web.json_response(document, status=response.status)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return error_answer(
            UNAVAILABLE,
            "unreachable",
            f"VM {vm.name} can't be reached: {type(error).__name__}",
            f"ask {url} itself, if the VM is not dead",
        )
