"""Adds up what callers lost in a period."""

import collections
import statistics
from collections.abc import Iterable
from typing import TextIO

import click

from jackdawcrank_cli.commands.log_period import (
    lines_in_period,
    log_period_options,
)
from jackdawcrank_cli.losses import (
    Loss,
    StartTime,
    count_store_calls,
    find_losses,
    find_start_times,
)

SHOWN = 10


@click.command()
@log_period_options
@click.option(
    "--late-ms",
    type=float,
    default=300.0,
    show_default=True,
    help="A statement that took longer counts as late, in milliseconds.",
)
def losses(
    logs: tuple[TextIO, ...],
    late_ms: float,
    after: float,
    before: float | None,
) -> None:
    """Print where statements were lost or late in a period, and why."""
    lines = lines_in_period(logs, after, before)
    found = list(find_losses(lines, late_ms))
    click.echo(f"{len(found)} statements or transactions lost or late")
    print_causes(found)
    print_seconds(found)
    print_starts(find_start_times(lines))
    print_store_calls(count_store_calls(lines))


def print_causes(found: Iterable[Loss]) -> None:
    """Print the most frequent causes, with the mean duration."""
    by_cause: dict[tuple[str, str, str, str], list[Loss]] = (
        collections.defaultdict(list)
    )
    for one in found:
        key = (one.outcome, one.reason or "-", one.database or "-", one.server)
        by_cause[key].append(one)
    click.echo("\ncount  outcome      mean ms  reason, database, server")
    ranked = sorted(by_cause.items(), key=lambda item: (-len(item[1]), item[0]))
    for (outcome, reason, database, server), same in ranked[:SHOWN]:
        click.echo(
            f"{len(same):5}  {outcome:11}  {mean_milliseconds(same):>7}  "
            f"{reason}, {database}, {server or '-'}"
        )


def mean_milliseconds(found: Iterable[Loss]) -> str:
    """Return the mean duration as text; `-` if no duration is known."""
    known = [one.milliseconds for one in found if one.milliseconds is not None]
    return f"{statistics.fmean(known):.0f}" if known else "-"


def print_seconds(found: Iterable[Loss]) -> None:
    """Print the seconds with the most losses."""
    by_second = collections.Counter(one.second for one in found)
    click.echo("\ncount  second (Unix)")
    ranked = sorted(by_second.items(), key=lambda item: (-item[1], item[0]))
    for second, count in ranked[:SHOWN]:
        click.echo(f"{count:5}  {second}")


def print_starts(starts: list[StartTime]) -> None:
    """Print how long starts took."""
    click.echo(f"\n{len(starts)} starts of a process, seconds from the start")
    for name, values in (
        ("configuration in force", [one.configured_seconds for one in starts]),
        ("first answer", [one.answered_seconds for one in starts]),
    ):
        known = [value for value in values if value is not None]
        if known:
            click.echo(
                f"  {name}: median {statistics.median(known):.2f}, "
                f"longest {max(known):.2f}, of {len(known)}"
            )


def print_store_calls(calls: collections.Counter[str]) -> None:
    """Print how often all processes called the store."""
    click.echo(f"\n{calls.total()} calls to the store")
    for name, count in calls.most_common(SHOWN):
        click.echo(f"{count:5}  {name}")
