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
    KINDS,
    Loss,
    StartTime,
    WithoutLines,
    add_up_callers,
    count_store_calls,
    find_losses,
    find_start_times,
    find_without_lines,
)
from jackdawcrank_cli.output import print_table

SHOWN = 10
SHOWN_CALLERS = 20


@click.command()
@log_period_options
@click.option(
    "--late-ms",
    type=float,
    default=300.0,
    show_default=True,
    help="A statement that took longer counts as late, in milliseconds.",
)
@click.option(
    "--slow-ms",
    type=float,
    default=1000.0,
    show_default=True,
    help="A statement that took longer counts as slow in the table of callers, "
    "in milliseconds.",
)
def losses(
    logs: tuple[TextIO, ...],
    late_ms: float,
    slow_ms: float,
    after: float,
    before: float | None,
) -> None:
    """Print where statements were lost or late in a period, and why."""
    lines = lines_in_period(logs, after, before)
    found = find_losses(lines, late_ms)
    click.echo(f"{len(found)} statements or transactions lost or late")
    print_causes(found)
    print_callers(find_losses(lines, slow_ms))
    print_without_lines(find_without_lines(lines))
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


def print_callers(found: Iterable[Loss]) -> None:
    """Print what callers lost, by database, account and reason.

    Args:
      found: The losses; late statements count as slow.
    """
    callers = add_up_callers(found)
    if not callers:
        return
    click.echo()
    print_table(
        ("DATABASE", "ACCOUNT", "REASON", *map(str.upper, KINDS)),
        [
            (one.database, one.account, one.reason)
            + tuple(one.counts[kind] for kind in KINDS)
            for one in callers[:SHOWN_CALLERS]
        ],
    )
    if len(callers) > SHOWN_CALLERS:
        click.echo(f"and {len(callers) - SHOWN_CALLERS} more rows")


def print_without_lines(missing: WithoutLines) -> None:
    """Print how many losses the tables leave out for want of lines."""
    if missing.limited:
        click.echo(
            f"\n{missing.limited} more refusals over the limits of accounts "
            "have no lines; see jackdawcrankctl accounts"
        )
    if missing.dropped:
        click.echo(
            f"\n{missing.dropped} lines of any kind were dropped under load"
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
