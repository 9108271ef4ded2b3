"""Adds up what callers lost in a period, from plain log files."""

from jackdawcrank_cli.losses.caller_losses import (
    KINDS,
    CallerLosses,
    WithoutLines,
    add_up_callers,
    find_without_lines,
)
from jackdawcrank_cli.losses.loss import Loss, find_losses
from jackdawcrank_cli.losses.start_time import StartTime, find_start_times
from jackdawcrank_cli.losses.store_calls import count_store_calls

__all__ = [
    "KINDS",
    "CallerLosses",
    "Loss",
    "StartTime",
    "WithoutLines",
    "add_up_callers",
    "count_store_calls",
    "find_losses",
    "find_start_times",
    "find_without_lines",
]
