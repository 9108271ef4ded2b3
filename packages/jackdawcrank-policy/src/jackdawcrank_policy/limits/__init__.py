"""Rate and concurrency limits of each caller, set by its class."""

from jackdawcrank_policy.limits.caller_limits import CallerLimits

__all__ = ["CallerLimits"]
