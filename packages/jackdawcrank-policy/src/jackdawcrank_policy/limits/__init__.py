"""Limits of single callers, by caller class."""

from jackdawcrank_policy.limits.caller_limits import CallerLimits

__all__ = ["CallerLimits"]
