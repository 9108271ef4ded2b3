"""Adds up the operations of client accounts, from plain log files."""

from jackdawcrank_cli.accounts.account_use import AccountUse, find_account_uses
from jackdawcrank_cli.accounts.unproven_time import (
    UnprovenTime,
    find_unproven_times,
)

__all__ = [
    "AccountUse",
    "UnprovenTime",
    "find_account_uses",
    "find_unproven_times",
]
