"""Detector of failed primaries, based on missed deadlines."""

import collections

import attrs

from jackdawcrank_policy.detection.primary_evidence import PrimaryHealth

PROBE_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 0.4
RETRY_PROBE_TIMEOUT_SECONDS = 0.8
SUSPECT_AFTER_SECONDS = 1.0
REFUSING_AFTER_SECONDS = 0.5
CORROBORATE_AFTER_SECONDS = 0.3
SLOW_ANSWER_SECONDS = 0.25
MIN_MISSES = 2
MIN_REFUSALS = 2
RECENT_ANSWERS = 8


@attrs.define
class PrimaryDetector:
    """Rates one primary by the probes and statements sent to it.

    An answer counts from the time when its request was sent. An answer that a
    paused process reads late is therefore no evidence of the present state.

    Attributes:
      suspect_after: Time without an answer before the primary is suspected, in
        seconds.
      min_misses: Consecutive missed deadlines that are also required.
      answered_at: When the newest answered request was sent, in seconds.
      misses: Consecutive missed deadlines.
      refusals: Consecutive refused connections.
      latencies: Latencies of the newest answers in seconds; a miss is recorded
        with the time until its time-out.
      others_answered_at: When the newest answered request to another server of
        the group was sent, in seconds.
    """

    suspect_after: float = SUSPECT_AFTER_SECONDS
    min_misses: int = MIN_MISSES
    answered_at: float | None = None
    misses: int = 0
    refusals: int = 0
    latencies: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_ANSWERS)
    )
    others_answered_at: float | None = None

    def reset(self, now: float) -> None:
        """Start over for a new primary, with the full time to answer.

        Args:
          now: The time at which it became primary, in seconds.
        """
        self.answered_at = now
        self.misses = 0
        self.refusals = 0
        self.latencies.clear()

    def answered(self, sent_at: float, answered_at: float) -> None:
        """Record an answer to a probe or a statement.

        Args:
          sent_at: When the request was sent, in seconds.
          answered_at: When its answer was read, in seconds.
        """
        self.answered_at = max(sent_at, self.answered_at or sent_at)
        self.misses = 0
        self.refusals = 0
        self.latencies.append(answered_at - sent_at)

    def missed(self, sent_at: float, now: float) -> None:
        """Record a request that was not answered by its deadline.

        Args:
          sent_at: When the request was sent, in seconds.
          now: When its deadline passed, in seconds.
        """
        if self.answered_at is None:
            self.answered_at = sent_at
        if sent_at < self.answered_at:
            return
        self.misses += 1
        self.latencies.append(now - sent_at)

    def refused(self, sent_at: float) -> None:
        """Record a connection that the primary's host refused or reset.

        Args:
          sent_at: When the connection was attempted, in seconds.
        """
        if self.answered_at is None:
            self.answered_at = sent_at
        self.misses += 1
        self.refusals += 1

    def other_answered(self, sent_at: float) -> None:
        """Record an answer of another server of the group.

        Args:
          sent_at: When the request was sent, in seconds.
        """
        self.others_answered_at = max(
            sent_at, self.others_answered_at or sent_at
        )

    def silent_seconds(self, now: float) -> float:
        """Return the time since the newest answered request was sent.

        The result is in seconds; it is 0 before the first request.
        """
        return 0.0 if self.answered_at is None else now - self.answered_at

    def health(self, now: float) -> PrimaryHealth:
        """Return the health of the primary as seen by this proxy.

        Args:
          now: The current time in seconds.
        """
        if self.answered_at is None:
            return PrimaryHealth.UNKNOWN
        silent = self.silent_seconds(now)
        if self.refusals >= MIN_REFUSALS and silent >= REFUSING_AFTER_SECONDS:
            return self.health_unless_cut_off(PrimaryHealth.REFUSING, now)
        if self.misses >= self.min_misses and silent >= self.suspect_after:
            return self.health_unless_cut_off(PrimaryHealth.SUSPECT, now)
        if self.misses or self.is_slow():
            return PrimaryHealth.SLOW
        return PrimaryHealth.HEALTHY

    def corroborating_health(self, now: float) -> PrimaryHealth:
        """Return the health to report to a proxy that suspects the primary.

        This proxy has just sent a probe. A single missed deadline is enough to
        corroborate a suspicion that meets all criteria on another proxy.

        Args:
          now: The current time in seconds.
        """
        health = self.health(now)
        if health is not PrimaryHealth.SLOW or not self.misses:
            return health
        if self.silent_seconds(now) < CORROBORATE_AFTER_SECONDS:
            return health
        return self.health_unless_cut_off(PrimaryHealth.SUSPECT, now)

    def health_unless_cut_off(
        self, health: PrimaryHealth, now: float
    ) -> PrimaryHealth:
        """Return the health, or `CUT_OFF` if no other server answers either."""
        last_answer_at = self.others_answered_at
        if (
            last_answer_at is not None
            and now - last_answer_at <= 2 * self.suspect_after
        ):
            return health
        return PrimaryHealth.CUT_OFF

    def is_slow(self) -> bool:
        """Return whether more than half of the newest answers were late."""
        late = sum(
            1 for latency in self.latencies if latency > SLOW_ANSWER_SECONDS
        )
        return late * 2 > len(self.latencies)
