"""Streams changes of resources and terms."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Mapping
from typing import Any

import click

from jackdawcrank_cli.client import CONNECTION_ERRORS, Client
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed
from jackdawcrank_cli.kinds import KIND
from jackdawcrank_policy.configuration import Kind

RECONNECT_SECONDS = 1.0
MAX_FAILURES = 30


@click.command()
@click.argument("kind", type=KIND, required=False)
@click.argument("name", required=False)
@click.option(
    "--from",
    "version",
    type=click.IntRange(min=0),
    help="Show the changes above this version; absent: those to come.",
)
@click.option(
    "--max-changes",
    type=click.IntRange(min=1),
    help="End after so many changes were shown.",
)
@click.pass_obj
def watch(
    config: CliConfig,
    kind: Kind | None,
    name: str | None,
    version: int | None,
    max_changes: int | None,
) -> None:
    """Show changes of resources and terms as they happen.

    A lost connection is opened again where it broke, so that no change is
    missed or shown twice.
    """

    async def follow(client: Client) -> None:
        shown = 0
        async for change in changes(client, version):
            if not matches_filter(change, kind, name):
                continue
            print_change(change, config.output)
            shown += 1
            if shown == max_changes:
                return

    run(config, follow)


async def changes(
    client: Client, version: int | None
) -> AsyncIterator[Mapping[str, Any]]:
    """Yield each change above a version exactly once, in order.

    After a lost connection the stream resumes after the last version seen.
    Consecutive failures rotate through the configured proxies.

    Args:
      client: The open client.
      version: The version to start after; None for the current one.

    Raises:
      CommandFailed: A change is missing, the proxy returned an error, or
        MAX_FAILURES connections failed with no line received in between.
    """
    failures = 0
    if version is None:
        status = await client.call("GET", "/v1/status")
        version = int(status["configurationVersion"])
    while True:
        servers = client.config.servers
        server = servers[failures % len(servers)]
        try:
            url = f"{server}/v1/watch?from={version}"
            async for line in client.lines(url):
                change = json.loads(line)
                failures = 0
                if change["version"] <= version:
                    continue
                check_consecutive(change["version"], version)
                version = change["version"]
                yield change
        except (*CONNECTION_ERRORS, ValueError) as error:
            failures += 1
            if failures >= MAX_FAILURES:
                message = f"{server}: the watch was lost; {error}"
                raise CommandFailed(message, ExitCode.UNAVAILABLE) from error
        await asyncio.sleep(RECONNECT_SECONDS)


def check_consecutive(version: int, last: int) -> None:
    """Check that a version directly follows the last one.

    Raises:
      CommandFailed: At least one change is missing.
    """
    if version != last + 1:
        message = f"the change {last + 1} is missing before {version}"
        raise CommandFailed(message, ExitCode.GONE)


def matches_filter(
    change: Mapping[str, Any], kind: Kind | None, name: str | None
) -> bool:
    """Return whether a change has the requested kind and name."""
    if kind is not None and change["kind"] != kind:
        return False
    return name is None or change["name"] == name


def print_change(change: Mapping[str, Any], output: str) -> None:
    """Print a change on one line."""
    if output == "json":
        click.echo(json.dumps(change, separators=(",", ":")))
        return
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(change["at"]))
    description = "deleted" if change["deleted"] else summary(change["body"])
    prefix = f"{change['version']:>6}  {at}  {change['actor'] or '-'}"
    click.echo(f"{prefix}  {change['kind']} {change['name']}  {description}")


def summary(body: Mapping[str, Any]) -> str:
    """Return the spec of a change, or its whole body, as JSON text."""
    return json.dumps(body.get("spec", body), sort_keys=True)
