"""Explains the outcome of a request from log files."""

import itertools
import json
from typing import TextIO

import click

from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.explain import LogLine, cause, find_chain, read_lines
from jackdawcrank_cli.failure import CommandFailed


@click.command()
@click.argument("request")
@click.option(
    "--logs",
    type=click.File(errors="replace"),
    multiple=True,
    required=True,
    help="A log file of one or several processes; may be given repeatedly.",
)
def explain(request: str, logs: tuple[TextIO, ...]) -> None:
    """Print what led to the answer of REQUEST, and the cause."""
    chain = find_chain(read_lines(itertools.chain(*logs)), request)
    for line in chain.in_order():
        click.echo(format_line(line))
    click.echo(f"cause: {cause(chain)}")
    if not chain.request_lines:
        raise CommandFailed(f"no line names {request}", ExitCode.NOT_FOUND)


def format_line(line: LogLine) -> str:
    """Return a log line as human-readable text."""
    pairs = " ".join(
        f"{name}={json.dumps(value)}" for name, value in line.fields.items()
    )
    return f"{line.at:.3f} {line.vm} {line.event} {pairs}".rstrip()
