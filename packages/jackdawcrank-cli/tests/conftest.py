"""Fixtures for the command-line tests: two proxies and a platform."""

import asyncio
import itertools
import os
import pathlib
import random
import re
import shlex
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import attrs
import pytest
from click.testing import CliRunner

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.operators import (
    ActionDone,
    ActionOutcome,
    ActionRefused,
    OperatorApi,
)
from jackdawcrank.store import ChangeLog, StoreClient, StoreLimits
from jackdawcrank.timeline import Timeline
from jackdawcrank.timer import ManualTimer
from jackdawcrank_cli import client
from jackdawcrank_cli.commands import timeline, watch
from jackdawcrank_cli.main import main
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.platform import Platform, StopMode
from jackdawcrank_wire.events import EventKind

START_TIME = 1_800_000_000.0
VMS = ("vm-1", "vm-2")
TOKENS = ("ada:a-secret", "ben:b-secret")
PROMPT = re.compile(r"(\w+)@([\w-]+)\$ (.*)")


@attrs.define
class Ports:
    """A minimal proxy that provides what the resource API needs."""

    vm: str
    store: StoreClient
    change_log: ChangeLog
    follower: ConfigurationFollower
    timeline: Timeline
    vms: dict[str, Vm] = attrs.field(factory=dict)
    promoting: bool = False
    leaving: bool = False

    def ready(self) -> bool:
        return not self.leaving

    def members(self) -> MembershipView:
        return MembershipView(tuple(sorted(self.vms)), (), self.vms)

    def status(self) -> Mapping[str, Any]:
        groups = {
            name: {"term": 1, "primary": "s-1"}
            for name in sorted(self.follower.configuration.groups)
        }
        return {"groups": groups}

    def resource_status(self, kind: str, name: str) -> Mapping[str, Any]:
        return {}

    async def promote(
        self, group: str, server: str | None, actor: str, force: bool = False
    ) -> ActionOutcome:
        if self.promoting:
            return ActionRefused("a promotion of this group is under way")
        self.promoting = True
        self.timeline.record(
            EventKind.PROMOTION_REQUESTED, group, 2, actor=actor
        )
        self.timeline.record(EventKind.PROMOTION_STARTED, group, 2)
        return ActionDone({"group": group, "term": 2})

    async def drain_self(self, actor: str) -> ActionOutcome:
        self.leaving = True
        self.timeline.record(EventKind.VM_LEAVING, actor=actor)
        return ActionDone({"vm": self.vm})

    async def request_outcome(
        self, group: str, request_id: str
    ) -> Mapping[str, Any] | None:
        known = {"requestId": request_id, "state": "done", "affectedRows": 1}
        return known if request_id == "r-1" else None


@attrs.define
class System:
    """Two proxies and a platform to run commands against."""

    platform: Platform
    ports: list[Ports]
    apis: list[OperatorApi]
    directory: pathlib.Path

    async def ctl(self, operator: str, vm: str, line: str) -> str:
        """Run one command line and return its output and exit status."""
        for ports in self.ports:
            await ports.follower.read()
        token = next(t for t in TOKENS if t.startswith(f"{operator}:"))
        runner = CliRunner(
            env={
                "JACKDAWCRANK_SERVER": self.urls(vm),
                "JACKDAWCRANK_TOKEN": token,
            }
        )
        result = await asyncio.to_thread(
            runner.invoke, main, shlex.split(line), prog_name="jackdawcrankctl"
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return f"{self.plain(result.output)}[exit {result.exit_code}]\n"

    def urls(self, vms: str) -> str:
        """Return the comma-separated URLs of comma-separated VM names."""
        ports = (self.apis[VMS.index(vm)].port for vm in vms.split(","))
        return ",".join(f"http://127.0.0.1:{port}" for port in ports)

    def plain(self, text: str) -> str:
        """Return text with ports and directories replaced by stable names."""
        for vm, api in zip(VMS, self.apis, strict=True):
            text = text.replace(f"127.0.0.1:{api.port}", f"{vm}:8306")
        return text.replace(str(self.directory), "DIR")

    async def step(self, operator: str, vm: str, line: str) -> str:
        """Run one line of a session and return its output."""
        program, _, rest = line.partition(" ")
        if program == "jackdawcrankctl":
            return await self.ctl(operator, vm, rest)
        if program == "write":
            name, _, content = rest.partition(" ")
            (self.directory / name).write_text(content + "\n")
        elif program == "store":
            self.switch_store(rest)
        else:
            raise ValueError(f"not a step of a session: {line}")
        return ""

    def switch_store(self, fault: str) -> None:
        """Inject a fault into the store, or end it."""
        faults = self.platform.faults
        if fault == "stop":
            faults.stop(StopMode.REFUSE)
        elif fault == "lose-answer":
            faults.lose_answers = 1
        else:
            faults.start()
            for ports in self.ports:
                ports.store.channel.breaker.record_success()

    async def replay(self, session: str) -> str:
        """Run the commands of a session and return the new transcript."""
        lines: list[str] = []
        for line in session.splitlines():
            if line.startswith("#"):
                lines.append(f"{line}\n")
            match = PROMPT.fullmatch(line)
            if match:
                printed = await self.step(*match.groups())
                lines.append(f"{line}\n{printed}")
        return "".join(lines)


@pytest.fixture
async def system(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[System]:
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(client, "RETRY_SECONDS", 0.01)
    monkeypatch.setattr(watch, "RECONNECT_SECONDS", 0.01)
    monkeypatch.setattr(timeline, "REORDER_DELAY_SECONDS", 0.01)
    seconds = itertools.count()
    platform = Platform()
    await platform.start()
    made = [
        make_ports(platform, vm, lambda: START_TIME + next(seconds))
        for vm in VMS
    ]
    apis = [OperatorApi("127.0.0.1", 0, TOKENS, ports) for ports in made]
    for ports, api in zip(made, apis, strict=True):
        await ports.store.start()
        await api.start()
    vms = {
        vm: Vm(vm, "127.0.0.1", 1, api.port, "north", "dc-1")
        for vm, api in zip(VMS, apis, strict=True)
    }
    for ports in made:
        ports.vms = vms
    yield System(platform, made, apis, tmp_path)
    for ports, api in zip(made, apis, strict=True):
        await api.close()
        await ports.store.close()
    await platform.close()


def make_ports(platform: Platform, vm: str, wall: Callable[[], float]) -> Ports:
    rng = random.Random(vm)
    limits = StoreLimits(per_second=1e6, burst=1e6, retry_delay_seconds=0.0)
    store = StoreClient(platform.url, rng=rng, limits=limits)
    follower = ConfigurationFollower(store, ManualTimer(), rng=rng)
    log = ChangeLog(store, rng=rng, wall_clock=wall, append_seconds=0.3)
    timeline = Timeline(vm, f"boot-{vm}", clock=lambda: 0.0, wall=wall)
    return Ports(vm, store, log, follower, timeline)


@pytest.fixture
def update() -> bool:
    """Return whether to rewrite the golden sessions."""
    return os.environ.get("UPDATE_SESSIONS") == "1"
