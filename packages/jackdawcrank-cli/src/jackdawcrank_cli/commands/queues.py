"""Adds up the waits and refusals at servers."""

from collections.abc import Sequence
from typing import TextIO

import click

from jackdawcrank_cli.commands.log_period import (
    lines_in_period,
    log_period_options,
)
from jackdawcrank_cli.output import print_table
from jackdawcrank_cli.queues import (
    Capacity,
    QueueSum,
    ServerQueue,
    find_capacities,
    find_server_queues,
)

SHOWN_SERVERS = 20
SHOWN_ACCOUNTS = 5
SUM_HEADINGS = ("WAITED", "MEAN MS", "LONGEST MS", "REFUSED", "FULL")
# As written by the proxies for statements of open transactions.
TRANSACTION_PRIORITY = "-1"
ACCOUNT_NAMES = {"": "-", "*": "* (others)"}


@click.command()
@log_period_options
def queues(
    logs: tuple[TextIO, ...], after: float, before: float | None
) -> None:
    """Print who waited for servers and who was refused in a period."""
    lines = lines_in_period(logs, after, before)
    found = find_server_queues(lines)
    click.echo(
        f"{len(found)} servers at which statements waited or were refused"
    )
    shown = found[:SHOWN_SERVERS]
    if shown:
        print_servers(shown)
        print_priorities(shown)
        print_accounts(shown)
    if len(found) > SHOWN_SERVERS:
        click.echo(f"\nand {len(found) - SHOWN_SERVERS} more servers")
    print_capacities(find_capacities(lines))


def print_servers(servers: Sequence[ServerQueue]) -> None:
    """Print the sums of each server, and the windows of its homes."""
    click.echo()
    print_table(
        ("SERVER", "GROUP", *SUM_HEADINGS, "HOMES", "WINDOWS"),
        [
            (
                one.server,
                one.group,
                *sum_cells(one.total),
                len(one.windows),
                f"{sum(one.windows.values()):.1f}",
            )
            for one in servers
        ],
    )


def print_priorities(servers: Sequence[ServerQueue]) -> None:
    """Print the sums of each kind of statement at each server."""
    click.echo()
    print_table(
        ("SERVER", "PRIORITY", *SUM_HEADINGS),
        [
            (one.server, priority_name(priority), *sum_cells(total))
            for one in servers
            for priority, total in one.priorities()
        ],
    )


def print_accounts(servers: Sequence[ServerQueue]) -> None:
    """Print the sums of the costliest accounts at each server."""
    click.echo()
    print_table(
        ("SERVER", "ACCOUNT", *SUM_HEADINGS),
        [
            (one.server, ACCOUNT_NAMES.get(account, account), *sum_cells(total))
            for one in servers
            for account, total in one.busiest_accounts()[:SHOWN_ACCOUNTS]
        ],
    )


def print_capacities(capacities: Sequence[Capacity]) -> None:
    """Print the latest division of each server's permits.

    Nothing is printed if homes do not share the capacity of servers.
    """
    if not capacities:
        return
    click.echo(f"\n{len(capacities)} servers whose permits were divided")
    click.echo()
    print_table(
        ("SERVER", "GROUP", "TOTAL", "GRANTED", "DIVIDED BY"),
        [
            (
                one.server,
                one.group,
                one.total,
                sum(one.permits.values()),
                list(one.holders),
            )
            for one in capacities[:SHOWN_SERVERS]
        ],
    )
    click.echo()
    print_table(
        ("SERVER", "HOME", "PERMITS", "DEMAND"),
        [
            (one.server, home, one.permits.get(home), one.demand.get(home))
            for one in capacities[:SHOWN_SERVERS]
            for home in one.homes()
        ],
    )
    if len(capacities) > SHOWN_SERVERS:
        click.echo(f"\nand {len(capacities) - SHOWN_SERVERS} more servers")


def sum_cells(total: QueueSum) -> tuple[object, ...]:
    """Return the cells of a sum, in the order of `SUM_HEADINGS`."""
    return (
        total.waited,
        f"{total.mean_ms:.1f}",
        f"{total.longest_ms:.1f}",
        total.refused,
        total.full,
    )


def priority_name(priority: str) -> str:
    """Return how a priority is shown."""
    return "transaction" if priority == TRANSACTION_PRIORITY else priority
