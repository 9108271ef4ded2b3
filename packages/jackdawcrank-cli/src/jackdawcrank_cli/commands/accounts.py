"""Adds up what became of the operations of client accounts."""

from collections.abc import Sequence
from typing import TextIO

import click

from jackdawcrank_cli.accounts import (
    AccountUse,
    UnprovenTime,
    find_account_uses,
    find_unproven_times,
)
from jackdawcrank_cli.commands.log_period import (
    lines_in_period,
    log_period_options,
)
from jackdawcrank_cli.output import print_table

SHOWN_ACCOUNTS = 40
SHOWN_KEYS = 3
SHOWN_VMS = 10
HEADINGS = (
    "ACCOUNT",
    "OPERATIONS",
    "OVER LIMIT",
    "UNPROVEN KEYS",
    "UNKNOWN KEYS",
    "COUNTED BY",
    "REFUSED KEYS",
)


@click.command()
@log_period_options
def accounts(
    logs: tuple[TextIO, ...], after: float, before: float | None
) -> None:
    """Print what became of the operations of client accounts in a period."""
    lines = lines_in_period(logs, after, before)
    uses = find_account_uses(lines)
    click.echo(f"{len(uses)} accounts in the logs\n")
    print_table(HEADINGS, [table_row(one) for one in uses[:SHOWN_ACCOUNTS]])
    if len(uses) > SHOWN_ACCOUNTS:
        click.echo(f"and {len(uses) - SHOWN_ACCOUNTS} more accounts")
    print_faults([one for one in uses if one.faults])
    print_unproven_times(find_unproven_times(lines))


def table_row(use: AccountUse) -> tuple[object, ...]:
    """Return the row of an account in the table.

    Args:
      use: The account's operations.
    """
    keys = [key for key, _ in use.keys.most_common(SHOWN_KEYS)]
    if len(use.keys) > SHOWN_KEYS:
        keys.append("...")
    return (
        use.account,
        use.operations,
        use.limited,
        use.unproven,
        use.unknown,
        use.holder,
        keys,
    )


def print_faults(uses: Sequence[AccountUse]) -> None:
    """Print accounts whose declaration cannot be used as a whole.

    Args:
      uses: Those accounts.
    """
    faults = [(one.account, detail) for one in uses for detail in one.faults]
    if not faults:
        return
    click.echo(f"\n{len(faults)} faults in declarations")
    for account, detail in faults[:SHOWN_ACCOUNTS]:
        click.echo(f"  {account or '-'}: {detail}")


def print_unproven_times(times: Sequence[UnprovenTime]) -> None:
    """Print the VMs that could not prove the age of the keys.

    Args:
      times: Those VMs, the longest time first.
    """
    if not times:
        return
    click.echo(f"\n{len(times)} VMs could not prove the age of the keys")
    for one in times[:SHOWN_VMS]:
        click.echo(f"  {one.vm}: {one.times} times, {one.seconds:.1f} s")
