"""Judgement on a primary, combined from the evidence of several proxies."""

import enum
from collections.abc import Iterable

from jackdawcrank_policy.detection.primary_evidence import (
    PrimaryEvidence,
    PrimaryHealth,
)

MIN_SUSPECTING = 2


class Judgement(enum.StrEnum):
    """What the homes of a group conclude about its primary.

    Attributes:
      HEALTHY: It serves statements.
      SLOW: It serves statements, but answers late.
      UNCERTAIN: Too few proxies have conclusive evidence.
      PARTITIONED: Most proxies cannot reach it, some still can.
      FAILED: No proxy with conclusive evidence reaches it. A paused server
        cannot be distinguished from a failed one until it resumes.
    """

    HEALTHY = "healthy"
    SLOW = "slow"
    UNCERTAIN = "uncertain"
    PARTITIONED = "partitioned"
    FAILED = "failed"

    @property
    def calls_for_promotion(self) -> bool:
        """Return whether another server should become the primary."""
        return self in (Judgement.PARTITIONED, Judgement.FAILED)


def judge(evidence: Iterable[PrimaryEvidence], primary: str) -> Judgement:
    """Combine the evidence of the homes that can be reached.

    A failure requires that at least two homes suspect the primary, or all that
    answered if they are fewer, and that more homes suspect it than reach it.

    Args:
      evidence: One entry for each home that answered, including this one.
      primary: The primary to judge; evidence on any other is ignored.
    """
    healths = [entry.health for entry in evidence if entry.primary == primary]
    conclusive = [
        health
        for health in healths
        if health.is_suspicious or health.is_answering
    ]
    suspecting = sum(1 for health in conclusive if health.is_suspicious)
    reaching = len(conclusive) - suspecting
    if suspecting >= min(MIN_SUSPECTING, len(healths)) > 0:
        if not reaching:
            return Judgement.FAILED
        if suspecting > reaching:
            return Judgement.PARTITIONED
    if suspecting or not conclusive:
        return Judgement.UNCERTAIN
    if healths.count(PrimaryHealth.SLOW) * 2 > len(conclusive):
        return Judgement.SLOW
    return Judgement.HEALTHY
