"""Shows the state of the system."""

from collections.abc import Mapping
from typing import Any

import click

from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.output import print_json, print_nested, print_table

TABLE_KEYS = ("vms", "groups")


@click.command()
@click.pass_obj
def status(config: CliConfig) -> None:
    """Show one proxy's state and the VMs and groups that it knows."""
    answer = run(config, lambda client: client.call("GET", "/v1/status"))
    if config.output == "json":
        print_json(answer)
        return
    print_nested({k: v for k, v in answer.items() if k not in TABLE_KEYS})
    click.echo()
    headings = ("VM", "STATE", "REGION", "DATA-CENTER", "OPERATORS")
    print_table(headings, [vm_cells(vm) for vm in answer["vms"]])
    if answer.get("groups"):
        click.echo()
        print_groups(answer["groups"])


def vm_cells(vm: Mapping[str, Any]) -> tuple[Any, ...]:
    """Return the table row of a VM."""
    address = f"{vm['host']}:{vm['operatorPort']}"
    return (
        vm["name"],
        vm["state"],
        vm.get("region"),
        vm.get("dataCenter"),
        address,
    )


def print_groups(groups: Mapping[str, Mapping[str, Any]]) -> None:
    """Print the database groups as a table."""
    keys = list(dict.fromkeys(key for g in groups.values() for key in g))
    headings = ["GROUP", *(key.upper() for key in keys)]
    rows = [
        [name, *(group.get(key) for key in keys)]
        for name, group in sorted(groups.items())
    ]
    print_table(headings, rows)
