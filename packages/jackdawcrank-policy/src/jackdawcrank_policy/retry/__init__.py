"""Rules for retries: which statements, how many and after what delay."""

from jackdawcrank_policy.retry.backoff import backoff_seconds
from jackdawcrank_policy.retry.may_retry import StatementKind, may_retry
from jackdawcrank_policy.retry.outage_pacing import probe_pause_seconds
from jackdawcrank_policy.retry.retry_budget import RetryBudget

__all__ = [
    "RetryBudget",
    "StatementKind",
    "backoff_seconds",
    "may_retry",
    "probe_pause_seconds",
]
