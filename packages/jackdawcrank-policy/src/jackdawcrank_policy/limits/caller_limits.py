"""The rate and concurrency of the callers of one class."""

import itertools
import math

import attrs

from jackdawcrank_policy.values import (
    CallerClassSpec,
    NotRun,
    NotRunReason,
)

MAX_CALLERS = 10_000
MAX_CALLERS_EXAMINED = 16
MIN_RETRY_AFTER_MS = 10
BUSY_RETRY_AFTER_MS = 100


@attrs.define
class CallerUsage:
    """What one caller uses.

    Attributes:
      running: Statements that run or wait.
      tokens: Statements that it may send at once.
      filled_at: When `tokens` was last brought up to date.
    """

    tokens: float
    filled_at: float
    running: int = 0


@attrs.define
class CallerLimits:
    """Token bucket and concurrency of each caller of a class.

    A caller is remembered while it has statements running or its bucket is
    not full, so forgetting one never gives it more. If too many have to be
    remembered, new ones are refused.

    Attributes:
      spec: The class's limits.
      max_callers: How many callers are remembered.
      callers: The use of each remembered caller, least recent first.
    """

    spec: CallerClassSpec
    max_callers: int = MAX_CALLERS
    callers: dict[str, CallerUsage] = attrs.Factory(dict)

    def admit(self, caller: str, now: float) -> NotRun | None:
        """Count a statement of a caller, or refuse it.

        Args:
          caller: The caller's name.
          now: The current time.

        Returns:
          None if the statement may go on; `finish` has to follow.
        """
        usage = self.usage(caller, now)
        if usage is None:
            return self.refuse("too many callers at once", BUSY_RETRY_AFTER_MS)
        if usage.running >= self.spec.max_concurrent:
            return self.refuse(
                "too many statements at once", BUSY_RETRY_AFTER_MS
            )
        if self.spec.rate_per_second and usage.tokens < 1:
            wait = (1 - usage.tokens) / self.spec.rate_per_second
            return self.refuse("too many statements", math.ceil(wait * 1000))
        usage.tokens -= 1
        usage.running += 1
        return None

    def finish(self, caller: str) -> None:
        """Count the end of a statement that was let through."""
        self.callers[caller].running -= 1

    def refuse(self, detail: str, after_ms: int) -> NotRun:
        """Return a refusal with the time to come back."""
        after_ms = max(MIN_RETRY_AFTER_MS, after_ms)
        return NotRun(NotRunReason.LIMITED, detail, after_ms)

    def usage(self, caller: str, now: float) -> CallerUsage | None:
        """Return a caller's use, brought up to date and made most recent."""
        usage = self.callers.pop(caller, None)
        if usage is None:
            if not self.ensure_capacity(now):
                return None
            usage = CallerUsage(self.spec.burst, now)
        self.refill(usage, now)
        self.callers[caller] = usage
        return usage

    def refill(self, usage: CallerUsage, now: float) -> None:
        """Add the tokens that have come in since the last time."""
        added = (now - usage.filled_at) * self.spec.rate_per_second
        if not self.spec.rate_per_second:
            added = self.spec.burst
        usage.tokens = min(self.spec.burst, usage.tokens + added)
        usage.filled_at = now

    def ensure_capacity(self, now: float) -> bool:
        """Forget one of the least recent callers; return if one more fits."""
        if len(self.callers) < self.max_callers:
            return True
        least_recent = itertools.islice(
            self.callers.items(), MAX_CALLERS_EXAMINED
        )
        for caller, usage in least_recent:
            self.refill(usage, now)
            if usage.running == 0 and usage.tokens >= self.spec.burst:
                del self.callers[caller]
                return True
        return False
