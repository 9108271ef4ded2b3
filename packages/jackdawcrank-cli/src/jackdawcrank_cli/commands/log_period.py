"""Options of the commands that read the logs of a period."""

import itertools
from collections.abc import Callable
from typing import Any, TextIO

import click

from jackdawcrank_cli.explain import read_lines
from jackdawcrank_cli.explain.log_lines import LogLine

Command = Callable[..., Any]


def log_period_options(command: Command) -> Command:
    """Add the options for log files and a period to a command.

    Args:
      command: The function behind the command; it gets `logs`, `after` and
        `before`.
    """
    options = (
        click.option(
            "--logs",
            type=click.File(errors="replace"),
            multiple=True,
            required=True,
            help="A log file of one or several processes; may be given "
            "repeatedly.",
        ),
        click.option(
            "--after",
            type=float,
            default=0.0,
            help="Begin of the period, Unix seconds.",
        ),
        click.option(
            "--before",
            type=float,
            default=None,
            help="End of the period, Unix seconds.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


def lines_in_period(
    logs: tuple[TextIO, ...], after: float, before: float | None
) -> list[LogLine]:
    """Return the lines of log files that belong to a period.

    Args:
      logs: The files.
      after: Begin of the period in Unix seconds.
      before: End of the period in Unix seconds; None for no end.
    """
    end = float("inf") if before is None else before
    return [
        line
        for line in read_lines(itertools.chain(*logs))
        if after <= line.at < end
    ]
