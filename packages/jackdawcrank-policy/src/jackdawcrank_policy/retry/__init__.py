"""Which statements may be sent again, how often and when."""

from jackdawcrank_policy.retry.backoff import backoff_seconds
from jackdawcrank_policy.retry.may_retry import StatementKind, may_retry
from jackdawcrank_policy.retry.retry_budget import RetryBudget

__all__ = ["RetryBudget", "StatementKind", "backoff_seconds", "may_retry"]
