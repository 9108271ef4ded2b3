"""Votes by which at most one VM counts an account at a time."""

import math
from collections.abc import Iterable, Sequence

import attrs

# A counting VM uses a vote for this time after it asked for it.
VOTE_SECONDS = 0.4
# A candidate that has not asked for a vote for this time is held to be lost.
# Longer than a vote, so that no vote for it is still used; the difference
# exceeds the drift of clocks and covers a process start.
LOST_SECONDS = 0.5


@attrs.frozen
class Vote:
    """A vote that this VM has received.

    Attributes:
      since: Since when votes of this voter have been valid without a gap.
      asked_at: When this VM asked for it.
      lost_since: Since when it has declared each lost candidate lost, without
        a gap.
    """

    since: float
    asked_at: float
    lost_since: dict[str, float]


class CountingVotes:
    """The votes that this VM gives and has received.

    Each candidate asks all others for their votes. A vote names the candidates
    that the voter holds to be lost. A candidate counts an account while more
    than half of the candidates have voted for it and hold all candidates that
    rank before it to be lost. Any two majorities have a voter in common, which
    never votes for a VM and declares it lost within `LOST_SECONDS`, in either
    order.

    Times are in seconds since boot.

    Attributes:
      own: This VM.
      started_at: When this process began. It does not know the votes that its
        predecessor gave, and gives none until those have ended.
      asked_at: When each other candidate last asked for a vote.
      declared_at: When each candidate was last declared lost in a vote.
      received: The latest vote of each voter.
    """

    def __init__(self, own: str, started_at: float) -> None:
        self.own = own
        self.started_at = started_at
        self.asked_at: dict[str, float] = {}
        self.declared_at: dict[str, float] = {}
        self.received: dict[str, Vote] = {}

    def vote_for(
        self, vm: str, candidates: Sequence[str], now: float
    ) -> tuple[str, ...] | None:
        """Vote for a VM.

        Args:
          vm: The VM that asks.
          candidates: The VMs that may count.
          now: The current time.

        Returns:
          The candidates that are held to be lost, or None if there is no vote:
          another VM may still use a vote that declares this one lost.
        """
        self.asked_at[vm] = now
        declared_at = self.declared_at.get(vm, self.started_at)
        if now - declared_at <= LOST_SECONDS:
            return None
        lost = self.lost(candidates, now)
        for one in lost:
            self.declared_at[one] = now
        return tuple(sorted(lost))

    def lost(self, candidates: Iterable[str], now: float) -> frozenset[str]:
        """Return the candidates that this VM holds to be lost.

        Args:
          candidates: The VMs that may count.
          now: The current time.
        """
        return frozenset(
            vm
            for vm in candidates
            if vm != self.own
            and now - self.asked_at.get(vm, self.started_at) > LOST_SECONDS
        )

    def vote_received(
        self, voter: str, asked_at: float, lost: Iterable[str], now: float
    ) -> None:
        """Record a vote for this VM.

        Args:
          voter: The VM that voted.
          asked_at: When this VM asked for the vote.
          lost: The candidates that the voter holds to be lost.
          now: The current time.
        """
        previous = self.received.get(voter)
        if previous is None or now - previous.asked_at >= VOTE_SECONDS:
            previous = Vote(now, asked_at, {})
        elif asked_at < previous.asked_at:
            return
        self.received[voter] = Vote(
            previous.since,
            asked_at,
            {one: previous.lost_since.get(one, now) for one in lost},
        )

    def counting_since(self, ranked: Sequence[str], now: float) -> float | None:
        """Return since when this VM has counted an account without a gap.

        Args:
          ranked: The candidates in the order in which they count the account.
          now: The current time.

        Returns:
          The time, which may be later than the true one, or None if this VM
          does not count the account now.
        """
        if self.own not in ranked:
            return None
        before = ranked[: ranked.index(self.own)]
        asked = (self.asked_at.get(one, self.started_at) for one in before)
        times = [max((self.started_at, *asked)) + LOST_SECONDS]
        for voter in ranked:
            vote = self.received.get(voter)
            if vote is not None and now - vote.asked_at < VOTE_SECONDS:
                times.append(vote_since(vote, before))
        valid = sorted(one for one in times if one < now)
        majority = len(ranked) // 2 + 1
        return valid[majority - 1] if len(valid) >= majority else None


def vote_since(vote: Vote, before: Iterable[str]) -> float:
    """Return since when a vote lets this VM count; infinite if it does not.

    Args:
      vote: The vote.
      before: The candidates that rank before this VM.
    """
    lost = (vote.lost_since.get(one, math.inf) for one in before)
    return max((vote.since, *lost))
