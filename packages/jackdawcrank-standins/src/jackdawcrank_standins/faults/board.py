"""Injects faults into the stand-ins and ends them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from jackdawcrank_policy.values import VmState
from jackdawcrank_standins.backend.group import BackendGroup
from jackdawcrank_standins.backend.server import BackendServer
from jackdawcrank_standins.faults.fault import (
    Accepted,
    Fault,
    FaultKind,
    Links,
    Outcome,
    Rejected,
)
from jackdawcrank_standins.store.store_faults import StopMode, StoreFaults
from jackdawcrank_standins.store.vm_list import VmList

SERVER_KINDS = {
    FaultKind.PARTITION,
    FaultKind.PAUSE,
    FaultKind.RESUME,
    FaultKind.STOP,
    FaultKind.START,
    FaultKind.LAG,
    FaultKind.SILENCE,
    FaultKind.SLOW,
}
VM_KINDS = {FaultKind.VM_LEAVING, FaultKind.VM_LIVE, FaultKind.VM_DEAD}
END_KINDS = {
    FaultKind.PARTITION: FaultKind.HEAL,
    FaultKind.PAUSE: FaultKind.RESUME,
    FaultKind.STOP: FaultKind.START,
    FaultKind.STORE_STOP: FaultKind.STORE_START,
}


class FaultBoard:
    """Injects and ends faults of the platform service and backend servers.

    Attributes:
      store: The faults of the platform service.
      vms: The list of VMs of the platform.
      groups: The database groups whose servers can be given faults.
      end_timers: Timers that end faults after their duration.
      tasks: Running tasks that end faults.
    """

    def __init__(self, store: StoreFaults, vms: VmList) -> None:
        self.store = store
        self.vms = vms
        self.groups: list[BackendGroup] = []
        self.end_timers: list[asyncio.TimerHandle] = []
        self.tasks: set[asyncio.Task[Outcome]] = set()

    def add_group(self, group: BackendGroup) -> None:
        """Register the servers of a group."""
        self.groups.append(group)

    def close(self) -> None:
        """Cancel the timers and tasks that end faults."""
        for timer in self.end_timers:
            timer.cancel()
        for task in self.tasks:
            task.cancel()

    def server(self, name: str | None) -> BackendServer | None:
        """Return a backend server by name, or None if it is unknown."""
        for group in self.groups:
            if name in group.servers:
                return group.servers[name]
        return None

    async def apply(self, fault: Fault) -> Outcome:
        """Inject or end a fault.

        Args:
          fault: The requested change.
        """
        server = self.server(fault.server)
        if fault.server is not None and server is None:
            return Rejected(f"no backend server {fault.server!r}")
        if fault.kind in SERVER_KINDS and server is None:
            return Rejected(f"{fault.kind} needs a server")
        if fault.kind in VM_KINDS:
            return self.apply_to_vm(fault)
        if fault.kind is FaultKind.HEAL:
            await self.heal(server)
        elif server is not None:
            await SERVER_FAULTS[fault.kind](server, fault)
        else:
            self.apply_to_store(fault)
        self.schedule_end(fault)
        return Accepted()

    def schedule_end(self, fault: Fault) -> None:
        """Schedule the end of a fault that has a duration."""
        end_kind = END_KINDS.get(fault.kind)
        if end_kind is None or fault.seconds is None:
            return
        loop = asyncio.get_running_loop()
        end = Fault(end_kind, server=fault.server)
        self.end_timers.append(loop.call_later(fault.seconds, self.end, end))

    def end(self, fault: Fault) -> None:
        """Start a task that applies a fault that ends another one."""
        task = asyncio.get_running_loop().create_task(self.apply(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def apply_to_store(self, fault: Fault) -> None:
        """Inject or end a fault of the platform service."""
        match fault.kind:
            case FaultKind.STORE_STOP:
                mode = StopMode.HANG if fault.hang else StopMode.REFUSE
                self.store.stop(mode)
            case FaultKind.STORE_START:
                self.store.start()
            case FaultKind.STORE_SLOW:
                self.store.slow_seconds = fault.seconds or 0.0
            case FaultKind.STORE_LOSE_ANSWER:
                self.store.lose_answers = fault.count

    def apply_to_vm(self, fault: Fault) -> Outcome:
        """Change the state of a VM in the list of VMs or remove the VM."""
        name = fault.vm or ""
        now = asyncio.get_running_loop().time()
        if fault.kind is FaultKind.VM_DEAD:
            vm_known = self.vms.newest(name) is not None
            self.vms.remove(name, now)
        else:
            leaving = fault.kind is FaultKind.VM_LEAVING
            state = VmState.LEAVING if leaving else VmState.LIVE
            vm_known = self.vms.set_state(name, state, now)
        return Accepted() if vm_known else Rejected(f"no VM {name!r}")

    async def heal(self, server: BackendServer | None) -> None:
        """End all faults of a server, or of all servers and the service."""
        if server is not None:
            await heal_server(server)
            return
        self.store.heal()
        for group in self.groups:
            for member in group.servers.values():
                await heal_server(member)

    def active(self) -> list[dict[str, Any]]:
        """Return the active faults as JSON objects."""
        active_faults: list[dict[str, Any]] = []
        if self.store.stopped:
            hangs = self.store.mode is StopMode.HANG
            active_faults.append({"fault": FaultKind.STORE_STOP, "hang": hangs})
        if self.store.slow_seconds:
            seconds = self.store.slow_seconds
            active_faults.append(
                {"fault": FaultKind.STORE_SLOW, "seconds": seconds}
            )
        if self.store.lose_answers:
            count = self.store.lose_answers
            active_faults.append(
                {"fault": FaultKind.STORE_LOSE_ANSWER, "count": count}
            )
        for group in self.groups:
            for server in group.servers.values():
                active_faults.extend(active_faults_of(server))
        return active_faults

    def servers(self) -> list[dict[str, Any]]:
        """Return the state of each backend server as a JSON object."""
        return [
            {
                "name": server.name,
                "group": group.name,
                "host": server.host,
                "port": server.port,
                "up": server.up,
                "role": str(server.replication.role),
                "term": server.replication.fence_term,
                "position": str(server.replication.log.end),
                "divergent": server.divergent,
                "connections": len(server.connections),
            }
            for group in self.groups
            for server in group.servers.values()
        ]


def active_faults_of(server: BackendServer) -> list[dict[str, Any]]:
    """Return the active faults of a server as JSON objects."""
    active_faults: list[dict[str, Any]] = []
    if not server.up:
        active_faults.append({"fault": FaultKind.STOP})
    if server.paused:
        active_faults.append({"fault": FaultKind.PAUSE})
    from_servers = server.name in server.group.partitioned
    if server.partitioned and from_servers:
        active_faults.append({"fault": FaultKind.PARTITION, "links": Links.ALL})
    elif server.partitioned:
        active_faults.append(
            {"fault": FaultKind.PARTITION, "links": Links.PROXIES}
        )
    elif from_servers:
        active_faults.append(
            {"fault": FaultKind.PARTITION, "links": Links.SERVERS}
        )
    if server.lag_seconds != server.declared_lag_seconds:
        seconds = server.lag_seconds
        active_faults.append({"fault": FaultKind.LAG, "seconds": seconds})
    if server.slow_seconds:
        seconds = server.slow_seconds
        active_faults.append({"fault": FaultKind.SLOW, "seconds": seconds})
    return [{**item, "server": server.name} for item in active_faults]


async def heal_server(server: BackendServer) -> None:
    """End all faults of a server and restart it if it is stopped."""
    server.resume()
    server.group.heal(server.name)
    server.slow_seconds = 0.0
    server.set_lag(server.declared_lag_seconds)
    await server.restart()


async def partition(server: BackendServer, fault: Fault) -> None:
    """Drop packets from and to a server."""
    server.group.partition(
        server.name,
        from_proxies=fault.links is not Links.SERVERS,
        from_servers=fault.links is not Links.PROXIES,
    )


async def pause(server: BackendServer, fault: Fault) -> None:
    """Pause the process of a server."""
    server.pause()


async def resume(server: BackendServer, fault: Fault) -> None:
    """Resume the process of a server."""
    server.resume()


async def stop(server: BackendServer, fault: Fault) -> None:
    """Crash a server."""
    await server.stop()


async def start(server: BackendServer, fault: Fault) -> None:
    """Restart a crashed server."""
    await server.restart()


async def lag(server: BackendServer, fault: Fault) -> None:
    """Set the replication lag of a server."""
    server.set_lag(fault.seconds or 0.0)


async def silence(server: BackendServer, fault: Fault) -> None:
    """Stop responding permanently on the open connections of a server."""
    server.silence()


async def slow(server: BackendServer, fault: Fault) -> None:
    """Delay the statements of a server."""
    server.slow_seconds = fault.seconds or 0.0


SERVER_FAULTS: dict[
    FaultKind, Callable[[BackendServer, Fault], Awaitable[None]]
] = {
    FaultKind.PARTITION: partition,
    FaultKind.PAUSE: pause,
    FaultKind.RESUME: resume,
    FaultKind.STOP: stop,
    FaultKind.START: start,
    FaultKind.LAG: lag,
    FaultKind.SILENCE: silence,
    FaultKind.SLOW: slow,
}
