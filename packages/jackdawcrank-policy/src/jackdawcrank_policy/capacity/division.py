"""Max-min fair division of a server's permits.

Load: bursts that reach some homes of a server more than others. A home with
little demand gets what it asks for, and the others share the rest evenly.
"""

from collections.abc import Mapping


def divide_permits(total: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return each home's permits by max-min fairness.

    Every home gets at least 1, so the sum exceeds the total if there are more
    homes than permits. Permits beyond all demands stay unassigned, so that a
    home whose demand rises gets them with its next report, while others would
    hold them until theirs.

    Args:
      total: The number of permits.
      demands: The statements in flight and waiting, by home.
    """
    shares = dict.fromkeys(demands, 1)
    left = total - len(shares)
    waiting = sorted(demands)
    while left > 0 and waiting:
        waiting = [one for one in waiting if demands[one] > shares[one]]
        left = raise_shares(shares, waiting, left)
    return shares


def raise_shares(shares: dict[str, int], homes: list[str], left: int) -> int:
    """Give one more permit to each home, and return how many are left.

    Args:
      shares: The permits by home.
      homes: The homes that get one, in this order.
      left: The permits that can be given.
    """
    for home in homes[:left]:
        shares[home] += 1
    return max(0, left - len(homes))
