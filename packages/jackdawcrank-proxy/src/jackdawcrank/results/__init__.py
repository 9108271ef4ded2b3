"""Statement results in the format of messages between proxies."""

from jackdawcrank.results.answers import result_from_answer
from jackdawcrank.results.errors import (
    not_run,
    not_supported,
    result_error,
    rolled_back_error,
    shutting_down,
)

__all__ = [
    "rolled_back_error",
    "not_run",
    "not_supported",
    "result_error",
    "result_from_answer",
    "shutting_down",
]
