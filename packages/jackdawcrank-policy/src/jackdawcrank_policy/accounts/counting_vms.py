"""Selection of the VMs that count the operations of client accounts."""

import math
from collections.abc import Iterable, Sequence

from jackdawcrank_policy.homes.home_plan import region_homes
from jackdawcrank_policy.homes.home_vms import vm_weight
from jackdawcrank_policy.homes.member import Member

MIN_CANDIDATES = 3
# Messages between candidates grow with the square of their number.
VMS_PER_CANDIDATE = 32
# All VMs must choose the same candidates.
RANKING_KEY = ""


def counting_candidates(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the names of the VMs that may count: the largest ones.

    Data centres alternate, so that the loss of one leaves most candidates.

    Args:
      members: All VMs.
    """
    known = list(members)
    count = max(MIN_CANDIDATES, math.ceil(len(known) / VMS_PER_CANDIDATE))
    return tuple(one.vm for one in region_homes(RANKING_KEY, known, count))


def ranked_candidates(
    account: str, candidates: Sequence[str]
) -> tuple[str, ...]:
    """Return the candidates in the order in which they count an account.

    Args:
      account: The account's name.
      candidates: The VMs that may count, in any order.
    """
    return tuple(
        sorted(candidates, key=lambda vm: (-vm_weight(account, vm), vm))
    )
