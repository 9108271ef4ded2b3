"""Results of statements in the form that travels between proxies."""

from jackdawcrank.results.answers import result_from_answer
from jackdawcrank.results.errors import (
    lost_transaction,
    not_run,
    not_supported,
    result_error,
    shutting_down,
)

__all__ = [
    "lost_transaction",
    "not_run",
    "not_supported",
    "result_error",
    "result_from_answer",
    "shutting_down",
]
