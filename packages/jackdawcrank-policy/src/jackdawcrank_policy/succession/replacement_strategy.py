"""How a primary is replaced, by what is known of it."""

import enum


class PrimaryContact(enum.Enum):
    """How this process reaches the primary that is to be replaced."""

    DIRECT = "direct"
    """It answers this process."""
    PEER = "peer"
    """It answers another proxy, so that it may still confirm commits."""
    NONE = "none"
    """No proxy that was asked reaches it, or the group has none."""


class ReplacementStrategy(enum.Enum):
    """A strategy for replacing a primary."""

    WAIT = "wait"
    """Nothing is done yet."""
    STEP_DOWN = "step_down"
    """The primary steps down before a replica is chosen."""
    COMPARE = "compare"
    """The replicas are suspended and compared."""


# Attempts in which a primary that answers does not step down, after which the
# replicas are compared nevertheless.
MAX_STEP_DOWN_FAILURES = 2


def replacement_strategy(
    contact: PrimaryContact,
    confirms_commits: bool,
    listing_complete: bool,
    failures: int,
) -> ReplacementStrategy:
    """Return how a primary is replaced without losing a commit.

    A primary that some proxy reaches may confirm commits with a replica that
    joins or starts again after the replicas were compared. So it must step
    down first. A primary that does not confirm commits need not hand over what
    only it has.

    Args:
      contact: How the primary is reached.
      confirms_commits: Whether it confirms the commits of those who reach it.
      listing_complete: Whether every running server is listed.
      failures: The number of attempts in a row that did not succeed.
    """
    if (
        contact is not PrimaryContact.NONE
        and confirms_commits
        and failures < MAX_STEP_DOWN_FAILURES
    ):
        return ReplacementStrategy.STEP_DOWN
    return (
        ReplacementStrategy.COMPARE
        if listing_complete
        else ReplacementStrategy.WAIT
    )
