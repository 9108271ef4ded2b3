"""Claims, which grant the right to replace a group's primary."""

import attrs

# A succession takes one to two seconds. After this time a holder that hangs or
# was killed no longer blocks others.
CLAIM_TTL_SECONDS = 3.0
# A group never uses up the tokens of an epoch of the store, so that those of a
# later epoch are higher.
TOKENS_PER_EPOCH = 1 << 32


@attrs.frozen
class Claim:
    """The row in the store that records who replaces a group's primary.

    Attributes:
      token: Fencing token, which increases with each claim; the authority
        refuses lower tokens.
      holder: The proxy process that made the claim.
      replaced: The primary that is to be replaced.
      claimed_at: When the claim was made, in seconds on the store's clock.
      settled: Whether no order under this claim can take effect any more.
    """

    token: int
    holder: str
    replaced: str
    claimed_at: float
    settled: bool = False


def claim_key(group: str, epoch: int) -> str:
    """Return the key of the row that holds a group's claims in an epoch.

    Each epoch has rows of its own. A late write of an earlier epoch therefore
    never replaces a claim, although the store may have given the revision that
    it requires out again.

    Args:
      group: The group's name.
      epoch: The store's epoch; 0 if the store does not tell it.
    """
    return f"{group}#{epoch}" if epoch else group


def next_claim(
    present: Claim | None,
    holder: str,
    replaced: str,
    now: float,
    epoch: int = 0,
    acted_at: float | None = None,
) -> Claim | None:
    """Return the claim to write, or None while another claim is in force.

    A holder that gave an order shortly before another one claimed does not
    claim again at once, so that two holders never act in turn.

    The holder of an unsettled claim may have an order on its way, so it gets a
    new token, too: of two orders with the same token, either may take effect
    last.

    A claim from the future does not block, since the store's clock may have
    been reset.

    Args:
      present: The claim in the store in this epoch, if any.
      holder: The proxy process that requests the claim.
      replaced: The primary that is to be replaced.
      now: The current time in seconds on the store's clock.
      epoch: The store's epoch. Claims of earlier epochs may be lost, so the
        tokens of an epoch begin above all that an earlier one can have given.
      acted_at: When the holder last gave an order, in seconds on the store's
        clock; None if it gave none.
    """
    if present is None:
        return Claim(epoch * TOKENS_PER_EPOCH + 1, holder, replaced, now)
    age = now - present.claimed_at
    other = present.holder != holder
    if other and acted_at is not None and now - acted_at < CLAIM_TTL_SECONDS:
        return None
    blocks = not present.settled and other
    if blocks and 0.0 <= age < CLAIM_TTL_SECONDS:
        return None
    return Claim(present.token + 1, holder, replaced, now)
