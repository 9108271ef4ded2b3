"""Applies declared resources to the system."""

import pathlib
from typing import Any

import click

from jackdawcrank_cli.client import Answer, Client
from jackdawcrank_cli.commands.declared_path import declared_path
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.declared import Declared, read_declared
from jackdawcrank_cli.exit_codes import ExitCode, code_of_status
from jackdawcrank_cli.failure import CommandFailed, error_text
from jackdawcrank_cli.output import print_json
from jackdawcrank_cli.plan import Action, Step, make_plan, read_present
from jackdawcrank_wire.resources import resource_document

ACTION_RESULTS = {
    Action.CREATE: "created",
    Action.CHANGE: "changed",
    Action.DELETE: "deleted",
    Action.NONE: "unchanged",
}


@click.command()
@declared_path
@click.option(
    "--prune", is_flag=True, help="Delete resources that are not declared."
)
@click.pass_obj
def apply(config: CliConfig, path: pathlib.Path, prune: bool) -> None:
    """Make the system as the files declare.

    Each resource is written only if it is still as this command read it. A
    resourceVersion in a file names the version that it was edited from.
    """
    declared = read_declared(path)
    failures = run(config, lambda c: apply_all(c, declared, prune))
    if failures:
        worst = max(failures, key=lambda answer: answer.status)
        message = f"{len(failures)} of the resources could not be applied"
        raise CommandFailed(message, code_of_status(worst.status))


async def apply_all(
    client: Client, declared: list[Declared], prune: bool
) -> list[Answer]:
    """Apply all resources, print each result and return the error answers."""
    steps = make_plan(declared, await read_present(client), prune)
    results = [(step, await apply_step(client, step)) for step in steps]
    if client.config.output == "json":
        print_json([result_document(*result) for result in results])
    else:
        for result in results:
            print_result(*result)
    answers = (answer for _, answer in results if answer is not None)
    return [answer for answer in answers if answer.is_error]


async def apply_step(client: Client, step: Step) -> Answer | None:
    """Apply one step and return the answer; None for an unchanged resource."""
    path = f"/v1/{step.kind}/{step.name}"
    if step.action is Action.NONE:
        return None
    if step.declared is None:
        condition = {"If-Match": f'"{step.version}"'}
        return await client.request("DELETE", path, None, condition)
    if step.action is Action.CREATE:
        condition = {"If-None-Match": "*"}
    else:
        condition = {"If-Match": f'"{step.version}"'}
    document = resource_document(step.declared.resource)
    return await client.request("PUT", path, document, condition)


def print_result(step: Step, answer: Answer | None) -> None:
    """Print the result of a step; errors go to standard error."""
    label = f"{step.kind} {step.name}"
    if answer is None:
        click.echo(f"{label} unchanged at version {step.version}")
    elif answer.is_error:
        source = step.declared.source if step.declared else label
        error = answer.document.get("error", {})
        click.echo(f"{source}: {error_text(answer.status, error)}", err=True)
    else:
        version = answer.document["resourceVersion"]
        click.echo(
            f"{label} {ACTION_RESULTS[step.action]} at version {version}"
        )


def result_document(step: Step, answer: Answer | None) -> dict[str, Any]:
    """Return the result of a step as a JSON object."""
    document: dict[str, Any] = {
        "kind": step.kind,
        "name": step.name,
        "result": ACTION_RESULTS[step.action],
        "resourceVersion": step.version,
        "exitCode": int(ExitCode.OK),
    }
    if answer is not None and answer.is_error:
        document["result"] = "failed"
        document["error"] = answer.document.get("error", {})
        document["exitCode"] = int(code_of_status(answer.status))
    elif answer is not None:
        document["resourceVersion"] = answer.document["resourceVersion"]
    return document
