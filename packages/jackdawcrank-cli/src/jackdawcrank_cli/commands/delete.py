"""Deletes a resource."""

from typing import Any

import click

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.kinds import KIND
from jackdawcrank_cli.output import print_json
from jackdawcrank_policy.configuration import Kind


@click.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@click.option(
    "--if-version",
    type=click.IntRange(min=1),
    help="Delete only this version; absent: the one in force now.",
)
@click.pass_obj
def delete(
    config: CliConfig, kind: Kind, name: str, if_version: int | None
) -> None:
    """Delete the resource of KIND called NAME."""
    answer = run(config, lambda c: remove(c, kind, name, if_version))
    if config.output == "json":
        print_json(answer)
    else:
        click.echo(f"{kind} {name} deleted")


async def remove(
    client: Client, kind: Kind, name: str, version: int | None
) -> Any:
    """Delete a resource if its version matches.

    Args:
      client: The open client.
      kind: The kind of the resource.
      name: The name of the resource.
      version: The required version; None to use the current one.

    Raises:
      CommandFailed: No proxy answered, or the answer is an error.
    """
    path = f"/v1/{kind}/{name}"
    if version is None:
        version = (await client.call("GET", path))["resourceVersion"]
    headers = {"If-Match": f'"{version}"'}
    return await client.call("DELETE", path, headers=headers)
