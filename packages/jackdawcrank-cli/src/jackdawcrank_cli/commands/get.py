"""Lists the resources of a kind or shows a single one."""

from typing import Any

import click

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.kinds import KIND
from jackdawcrank_cli.output import print_json, print_nested, print_table
from jackdawcrank_policy.configuration import Kind

COLUMNS = {
    Kind.DATABASE_GROUP: (
        ("SLOTS", "slotsPerServer"),
        ("CONNECTIONS", "connectionLimit"),
        ("MAX-AGE-MS", "defaultMaxAgeMs"),
        ("CONFIRM", "confirmWrites"),
    ),
    Kind.BACKEND_SERVER: (
        ("GROUP", "group"),
        ("HOST", "host"),
        ("PORT", "port"),
        ("DATA-CENTER", "dataCenter"),
        ("STATE", "state"),
    ),
    Kind.CALLER_CLASS: (
        ("USERS", "users"),
        ("WEIGHT", "weight"),
        ("CONCURRENT", "maxConcurrent"),
        ("RATE", "ratePerSecond"),
    ),
}


@click.command()
@click.argument("kind", type=KIND)
@click.argument("name", required=False)
@click.pass_obj
def get(config: CliConfig, kind: Kind, name: str | None) -> None:
    """List the resources of KIND, or show the one called NAME."""
    items = run(config, lambda client: read(client, kind, name))
    if config.output == "json":
        print_json(items[0] if name else {"items": items})
        return
    columns = COLUMNS[kind]
    headings = ["NAME", *(heading for heading, _ in columns), "VERSION"]
    print_table(headings, [cells(item, kind) for item in items])


@click.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@click.pass_obj
def describe(config: CliConfig, kind: Kind, name: str) -> None:
    """Show everything about the resource of KIND called NAME."""
    (item,) = run(config, lambda client: read(client, kind, name))
    if config.output == "json":
        print_json(item)
    else:
        print_nested(item)


async def read(
    client: Client, kind: Kind, name: str | None
) -> list[dict[str, Any]]:
    """Return all resources of a kind, or only the one with the given name."""
    if name is not None:
        return [await client.call("GET", f"/v1/{kind}/{name}")]
    listed: list[dict[str, Any]]
    listed = (await client.call("GET", f"/v1/{kind}"))["items"]
    return listed


def cells(item: dict[str, Any], kind: Kind) -> list[Any]:
    """Return the table row of a resource."""
    spec = item["spec"]
    values = (spec.get(key) for _, key in COLUMNS[kind])
    return [item["metadata"]["name"], *values, item["resourceVersion"]]
