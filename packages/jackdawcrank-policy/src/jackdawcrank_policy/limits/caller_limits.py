"""Rate and concurrency limits of the callers of one class."""

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
    """The current usage of one caller.

    Attributes:
      tokens: The tokens in the caller's bucket; each statement takes one.
      filled_at: When `tokens` was last updated, in seconds of the clock used
        for `CallerLimits.admit`.
      running: How many admitted statements have not ended.
    """

    tokens: float
    filled_at: float
    running: int = 0


@attrs.define
class CallerLimits:
    """A token bucket and a concurrency limit for each caller of a class.

    A caller may be evicted only if it has no running statements and its
    bucket is full, so an eviction never grants additional statements. If the
    table is full and no caller can be evicted, new callers are refused.

    Attributes:
      spec: The limits of the class.
      max_callers: The maximum number of callers in the table.
      callers: The usage of each caller by name, least recently used first.
    """

    spec: CallerClassSpec
    max_callers: int = MAX_CALLERS
    callers: dict[str, CallerUsage] = attrs.Factory(dict)

    def admit(self, caller: str, now: float) -> NotRun | None:
        """Admit a statement of a caller, or refuse it.

        Args:
          caller: The caller's name.
          now: The current time in seconds.

        Returns:
          None if the statement is admitted, in which case `finish` must be
          called when it ends; otherwise the refusal.
        """
        usage = self.usage(caller, now)
        if usage is None:
            return self.refuse("too many active callers", BUSY_RETRY_AFTER_MS)
        if usage.running >= self.spec.max_concurrent:
            return self.refuse(
                "too many concurrent statements", BUSY_RETRY_AFTER_MS
            )
        if self.spec.rate_per_second and usage.tokens < 1:
            wait = (1 - usage.tokens) / self.spec.rate_per_second
            return self.refuse(
                "statement rate limit exceeded", math.ceil(wait * 1000)
            )
        usage.tokens -= 1
        usage.running += 1
        return None

    def finish(self, caller: str) -> None:
        """Record that an admitted statement ended."""
        self.callers[caller].running -= 1

    def refuse(self, detail: str, after_ms: int) -> NotRun:
        """Return a refusal with the delay after which to retry."""
        after_ms = max(MIN_RETRY_AFTER_MS, after_ms)
        return NotRun(NotRunReason.LIMITED, detail, after_ms)

    def usage(self, caller: str, now: float) -> CallerUsage | None:
        """Refill a caller's bucket and mark it as most recently used.

        Returns:
          The caller's usage, or None if the table is full.
        """
        usage = self.callers.pop(caller, None)
        if usage is None:
            if not self.ensure_capacity(now):
                return None
            usage = CallerUsage(self.spec.burst, now)
        self.refill(usage, now)
        self.callers[caller] = usage
        return usage

    def refill(self, usage: CallerUsage, now: float) -> None:
        """Add the tokens that accrued since the last refill."""
        added = (now - usage.filled_at) * self.spec.rate_per_second
        if not self.spec.rate_per_second:
            added = self.spec.burst
        usage.tokens = min(self.spec.burst, usage.tokens + added)
        usage.filled_at = now

    def ensure_capacity(self, now: float) -> bool:
        """Evict an idle caller if the table is full.

        Only the MAX_CALLERS_EXAMINED least recently used callers are
        considered, which bounds the time of an admission.

        Returns:
          Whether the table has room for another caller.
        """
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
