"""Commands that start operator actions or show the outcome of requests."""

from typing import Any

import click

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed
from jackdawcrank_cli.output import print_json, print_nested
from jackdawcrank_policy.configuration import Kind

NOT_FOUND = 404


@click.command()
@click.argument("name")
@click.option(
    "--kind",
    type=click.Choice(["vm", "server"]),
    help="What NAME is, where a VM and a server share it.",
)
@click.pass_obj
def drain(config: CliConfig, name: str, kind: str | None) -> None:
    """Give the VM or backend server NAME no new work."""
    target, answer = run(config, lambda c: drain_named(c, name, kind))
    if config.output == "json":
        print_json(answer)
    elif target == "server":
        version = answer["resourceVersion"]
        click.echo(f"server {name} is leaving as of version {version}")
    else:
        click.echo(f"VM {name} is leaving")


async def drain_named(
    client: Client, name: str, kind: str | None
) -> tuple[str, Any]:
    """Drain a VM or server and return its kind and the proxy's answer.

    Args:
      client: The open client.
      name: Name of the VM or server.
      kind: "vm" or "server"; None to look the name up.

    Raises:
      CommandFailed: The name is unknown or ambiguous, or the request failed.
    """
    if kind is None:
        kind = await resolve_kind(client, name)
    path = f"/v1/{kind}s/{name}/drain"
    return kind, await client.call("POST", path)


async def resolve_kind(client: Client, name: str) -> str:
    """Return "vm" or "server", whichever has the name.

    Raises:
      CommandFailed: The name belongs to neither or to both, or no proxy
        answered.
    """
    path = f"/v1/{Kind.BACKEND_SERVER}/{name}"
    is_server = not (await client.request("GET", path)).is_error
    status = await client.call("GET", "/v1/status")
    is_vm = any(vm["name"] == name for vm in status["vms"])
    if is_server and is_vm:
        message = f"{name} is a VM and a server\nWhat to do: add --kind"
        raise CommandFailed(message, ExitCode.USAGE)
    if not is_server and not is_vm:
        message = (
            f"there is no VM or server {name}\n"
            "What to do: jackdawcrankctl status, or get servers, lists them"
        )
        raise CommandFailed(message, ExitCode.NOT_FOUND)
    return "server" if is_server else "vm"


@click.command()
@click.argument("group")
@click.option("--to", "server", help="The new primary; absent: the best.")
@click.option(
    "--force",
    is_flag=True,
    help="Also with too few servers in reach. You vouch that those out of "
    "reach are stopped; writes that only they hold are lost.",
)
@click.pass_obj
def promote(
    config: CliConfig, group: str, server: str | None, force: bool
) -> None:
    """Make another server of GROUP its primary."""
    body: dict[str, object] = {"server": server} if server else {}
    if force:
        body["force"] = True
    path = f"/v1/groups/{group}/promote"
    answer = run(config, lambda client: client.call("POST", path, body))
    if config.output == "json":
        print_json(answer)
    else:
        click.echo(f"group {group} was promoted")
        print_nested({k: v for k, v in answer.items() if k != "done"}, 2)


@click.command()
@click.argument("group")
@click.argument("request_id")
@click.pass_obj
def requests(config: CliConfig, group: str, request_id: str) -> None:
    """Tell what became of the request REQUEST_ID in GROUP."""
    path = f"/v1/requests/{group}/{request_id}"
    answer = run(config, lambda client: client.call("GET", path))
    if config.output == "json":
        print_json(answer)
    else:
        print_nested(answer)
