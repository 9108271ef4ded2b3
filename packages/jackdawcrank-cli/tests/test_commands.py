"""Tests of command behaviour that the golden sessions do not cover."""

import asyncio
import json
import pathlib
from typing import Any

import click
import pytest
from click.testing import CliRunner

from jackdawcrank.store import Appended
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.exit_codes import MEANINGS, ExitCode
from jackdawcrank_cli.main import COMMANDS, main
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_wire.events import EventKind

PAGE = pathlib.Path(__file__).parents[3] / "docs/operating/command-line.md"
VALID = {
    "vm": "vm-1",
    "host": "10.0.0.1",
    "platform_url": "http://10.0.0.9",
    "peer_secret": "a secret of all proxies",
    "token_keys": ["a key that signs tokens"],
    "operator_tokens": ["ada:a token of an operator"],
    "callers": [{"user": "u", "password": "p"}],
    "backend_user": "b",
}


async def append(system: Any, count: int) -> None:
    ports = system.ports[0]
    for number in range(count):
        outcome = await ports.change_log.append(
            Kind.DATABASE_GROUP,
            f"g{ports.follower.version + number}",
            {"spec": {}},
            None,
            "ada",
        )
        assert isinstance(outcome, Appended)
    for each in system.ports:
        await each.follower.read()


async def wait_until(condition: Any) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition never held")


async def test_watch_fails_over_to_another_proxy(system: Any) -> None:
    await append(system, 2)
    line = "watch --from 0 --max-changes 4 -o json"
    watch = asyncio.create_task(system.ctl("ada", "vm-1,vm-2", line))
    await wait_until(lambda: system.apis[0].runner.server.connections)
    await append(system, 1)
    await system.apis[0].close()
    await append(system, 1)
    lines = (await watch).splitlines()
    versions = [json.loads(text)["version"] for text in lines[:-1]]
    assert versions == [1, 2, 3, 4]
    assert lines[-1] == "[exit 0]"


async def test_timeline_follows_all_vms(system: Any) -> None:
    timelines = [ports.timeline for ports in system.ports]
    timelines[1].record(EventKind.LEASE_LOST, "g", 1)
    line = "timeline --follow --group g"
    follow = asyncio.create_task(system.ctl("ada", "vm-1", line))
    await wait_until(lambda: all(t.subscriptions for t in timelines))
    timelines[0].record(EventKind.LEASE_GAINED, "g", 2)
    timelines[0].record(EventKind.LEASE_GAINED, "h", 2)
    await asyncio.sleep(0.03)
    for api in system.apis:
        await api.close()
    shown = [text.split("  ")[1:3] for text in (await follow).splitlines()]
    assert shown[:2] == [["vm-2", "lease_lost"], ["vm-1", "lease_gained"]]
    assert len(shown) == 3


async def test_unreachable_vm_is_reported_and_other_events_shown(
    system: Any,
) -> None:
    system.ports[0].timeline.record(EventKind.LEASE_LOST, "g", 1)
    await system.apis[1].close()
    shown = await system.ctl("ada", "vm-1", "timeline")
    assert "lease_lost" in shown
    assert "events of VM vm-2 are missing" in shown


async def test_export_is_written_to_file(system: Any) -> None:
    system.ports[0].timeline.record(EventKind.LEASE_LOST, "g", 1)
    line = "timeline --export trace --to trace.json"
    assert await system.ctl("ada", "vm-1", line) == "[exit 0]\n"
    trace = json.loads((system.directory / "trace.json").read_text())
    names = [event["name"] for event in trace["traceEvents"]]
    assert "lease_lost" in names


async def test_next_proxy_is_tried(system: Any) -> None:
    await system.apis[0].close()
    shown = await system.ctl("ada", "vm-1,vm-2", "get groups")
    assert shown.endswith("[exit 0]\n")


async def test_unreachable_proxies_and_wrong_token_are_reported(
    system: Any,
) -> None:
    line = "--token wrong get groups"
    assert "[exit 7]" in await system.ctl("ada", "vm-1", line)
    for api in system.apis:
        await api.close()
    shown = await system.ctl("ada", "vm-1,vm-2", "get groups")
    assert "check --server" in shown
    assert "[exit 6]" in shown


def test_token_is_read_from_file(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "token"
    path.write_text("secret\n")
    assert CliConfig(token_file=path).bearer_token() == "secret"
    assert CliConfig(token="t", token_file=path).bearer_token() == "t"
    with pytest.raises(click.UsageError, match="token-file"):
        CliConfig(token_file=tmp_path / "none").bearer_token()


@pytest.mark.parametrize(
    ("change", "code", "word"),
    [
        ({}, 0, "are valid"),
        ({"caller_prot": 1}, 2, "caller_prot: unknown key"),
        ({"caller_port": "x"}, 2, "caller_port: is not a whole number"),
    ],
)
def test_settings_are_checked(
    tmp_path: pathlib.Path, change: dict[str, Any], code: int, word: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**VALID, **change}))
    result = CliRunner().invoke(main, ["settings", "check", str(path)])
    assert result.exit_code == code
    assert word in result.output
    assert str(path) in result.output


def test_settings_are_explained() -> None:
    result = CliRunner().invoke(main, ["settings", "explain"])
    assert result.exit_code == 0
    assert "`head_read_seconds`" in result.output


def test_every_command_has_help() -> None:
    for command in COMMANDS:
        result = CliRunner().invoke(main, [str(command.name), "--help"])
        assert result.exit_code == 0
        assert command.help


def test_exit_statuses_and_commands_are_documented() -> None:
    page = PAGE.read_text()
    for code in ExitCode:
        text = MEANINGS[code].rstrip(".").lower()
        assert f"| {int(code)} | {text} |" in page.lower()
    for command in COMMANDS:
        assert f"| `{command.name}" in page
