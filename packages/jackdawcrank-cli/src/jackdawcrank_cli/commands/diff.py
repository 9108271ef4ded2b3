"""Shows differences between declared and current resources."""

import pathlib

import attrs
import click

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.commands.declared_path import declared_path
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.declared import Declared, read_declared
from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.output import cell, print_json
from jackdawcrank_cli.plan import Action, Step, make_plan, read_present

ACTION_DESCRIPTIONS = {
    Action.CREATE: "is declared but not in force",
    Action.CHANGE: "differs",
    Action.DELETE: "is in force but not declared",
}


@click.command()
@declared_path
@click.pass_context
def diff(context: click.Context, path: pathlib.Path) -> None:
    """Show differences between files and system; exit 1 if there are any."""
    config: CliConfig = context.obj
    declared = read_declared(path)
    steps = run(config, lambda client: drift(client, declared))
    if config.output == "json":
        print_json([step_document(step) for step in steps])
    else:
        for step in steps:
            print_step(step)
    context.exit(ExitCode.DRIFT if steps else ExitCode.OK)


async def drift(client: Client, declared: list[Declared]) -> list[Step]:
    """Return the steps needed to bring the system to the declared state."""
    plan = make_plan(declared, await read_present(client), prune=True)
    return [step for step in plan if step.action is not Action.NONE]


def print_step(step: Step) -> None:
    """Print how one resource differs from its declaration."""
    click.echo(f"{step.kind} {step.name} {ACTION_DESCRIPTIONS[step.action]}")
    for item in step.differences:
        present, declared = cell(item.present), cell(item.declared)
        click.echo(f"  {item.path}: {present} -> {declared}")


def step_document(step: Step) -> dict[str, object]:
    """Return the difference of one resource as a JSON object."""
    return {
        "kind": step.kind,
        "name": step.name,
        "action": str(step.action),
        "differences": [attrs.asdict(item) for item in step.differences],
    }
