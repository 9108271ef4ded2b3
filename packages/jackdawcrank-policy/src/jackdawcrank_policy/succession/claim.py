"""The right to replace a group's primary."""

import attrs

# A hand-over takes a second or two; a holder that froze or was killed is
# passed over after this long.
CLAIM_TTL_SECONDS = 3.0


@attrs.frozen
class Claim:
    """The row in the store that says who replaces a group's primary.

    Attributes:
      token: Grows with each claim; the authority refuses lower ones.
      holder: The proxy process that made it.
      replaced: The primary that is to be replaced.
      claimed_at: When, in seconds on the store's clock.
      settled: Whether no order of this claim can be carried out any more.
    """

    token: int
    holder: str
    replaced: str
    claimed_at: float
    settled: bool = False


def next_claim(
    present: Claim | None, holder: str, replaced: str, now: float
) -> Claim | None:
    """Return the claim to write, or None while another one is in force.

    Args:
      present: The claim in the store, if any.
      holder: The proxy process that wants to act.
      replaced: The primary that is to be replaced.
      now: The current time in seconds on the store's clock.
    """
    if present is None:
        return Claim(1, holder, replaced, now)
    age = now - present.claimed_at
    if not present.settled and 0.0 <= age < CLAIM_TTL_SECONDS:
        return None
    return Claim(present.token + 1, holder, replaced, now)
