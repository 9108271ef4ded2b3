"""Handlers for promotions, drains, request outcomes and process status."""

from typing import Any

from aiohttp import web

from jackdawcrank.operators.action_responses import action_response
from jackdawcrank.operators.auth import ACTOR
from jackdawcrank.operators.bodies import json_body
from jackdawcrank.operators.error_responses import (
    BAD_REQUEST,
    UNAVAILABLE,
    error_response,
    not_found_response,
)
from jackdawcrank.operators.forward import FORWARDED_HEADER, forward
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.promotions import promote, replace_leaving_primary
from jackdawcrank.operators.writes import WriteRequest, write
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import ServerState


class ActionHandlers:
    """Serves promotions, drains, request outcomes and process status."""

    def __init__(self, ports: OperatorPorts) -> None:
        self.ports = ports

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        return [
            web.post("/v1/groups/{name}/promote", self.promote),
            web.post("/v1/vms/{name}/drain", self.drain_vm),
            web.post("/v1/servers/{name}/drain", self.drain_server),
            web.get("/v1/requests/{group}/{id}", self.request_outcome),
            web.get("/v1/status", self.status),
            web.get("/v1/ready", self.ready),
        ]

    async def promote(self, request: web.Request) -> web.Response:
        """Promote the server in the body, or one selected automatically."""
        name = request.match_info["name"]
        if name not in self.ports.follower.configuration.groups:
            return not_found_response(f"DatabaseGroup {name}")
        body = await json_body(request)
        if isinstance(body, web.Response):
            return body
        document = body if isinstance(body, dict) else {"server": body}
        server = document.get("server")
        force = document.get("force", False)
        if not isinstance(force, bool):
            message = "force must be true or false"
            return error_response(BAD_REQUEST, "malformed", message)
        if server is not None and not isinstance(server, str):
            message = "server must be the name of a BackendServer"
            return error_response(BAD_REQUEST, "malformed", message)
        if server is not None and not self.is_member(server, name):
            hint = f"jackdawcrankctl describe DatabaseGroup {name}"
            return not_found_response(f"server {server} in group {name}", hint)
        return await promote(self.ports, request, name, server, force)

    def is_member(self, server: str, group: str) -> bool:
        """Return whether a server belongs to a group."""
        spec = self.ports.follower.configuration.servers.get(server)
        return spec is not None and spec.group == group

    async def drain_vm(self, request: web.Request) -> web.Response:
        """Start the graceful shutdown of this VM or of another one."""
        name = request.match_info["name"]
        if name == self.ports.vm:
            return action_response(await self.ports.drain_self(request[ACTOR]))
        vm = self.ports.members().vms.get(name)
        if vm is None or FORWARDED_HEADER in request.headers:
            hint = "jackdawcrankctl status lists the VMs"
            return not_found_response(f"VM {name}", hint)
        return await forward(request, vm, f"/v1/vms/{name}/drain")

    async def drain_server(self, request: web.Request) -> web.Response:
        """Set a server's state to leaving after replacing it as primary."""
        name = request.match_info["name"]
        kind = Kind.BACKEND_SERVER
        entry = self.ports.follower.configuration.entries.get((kind, name))
        if entry is None:
            hint = f"jackdawcrankctl get {kind} lists what there is"
            return not_found_response(f"{kind} {name}", hint)
        refusal = await replace_leaving_primary(self.ports, request, name)
        if refusal is not None:
            return refusal
        state = str(ServerState.LEAVING)
        spec = {**entry.document.get("spec", {}), "state": state}
        body = {"spec": spec}
        drain = WriteRequest(kind, name, body, entry.version, request[ACTOR])
        return await write(self.ports, drain)

    async def request_outcome(self, request: web.Request) -> web.Response:
        """Return the recorded outcome of a caller's request."""
        group, request_id = (
            request.match_info["group"],
            request.match_info["id"],
        )
        if group not in self.ports.follower.configuration.groups:
            return not_found_response(f"DatabaseGroup {group}")
        outcome = await self.ports.request_outcome(group, request_id)
        if outcome is None:
            hint = "it did not run, or its record has been removed"
            return not_found_response(f"record of request {request_id}", hint)
        return web.json_response(dict(outcome))

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of this process and the VMs that it knows."""
        return web.json_response(status_document(self.ports))

    async def ready(self, request: web.Request) -> web.Response:
        """Return the readiness of this VM for the load balancer."""
        ready = self.ports.ready()
        status = 200 if ready else UNAVAILABLE
        return web.json_response({"ready": ready}, status=status)


def status_document(ports: OperatorPorts) -> dict[str, Any]:
    """Return the state of a process as JSON values."""
    members = ports.members()
    vms = [
        {
            "name": vm.name,
            "host": vm.host,
            "operatorPort": vm.operator_port,
            "region": vm.region,
            "dataCenter": vm.data_center,
            "state": "leaving" if vm.name in members.leaving else "live",
        }
        for _, vm in sorted(members.vms.items())
    ]
    follower = ports.follower
    return {
        "vm": ports.vm,
        "ready": ports.ready(),
        "configurationVersion": follower.version,
        "storeAnswers": follower.store_available,
        "vms": vms,
        **ports.status(),
    }
