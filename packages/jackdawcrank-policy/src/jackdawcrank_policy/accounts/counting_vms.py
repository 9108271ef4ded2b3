"""Selection of the VMs that count the operations of client accounts."""

import math
from collections.abc import Iterable, Sequence

from jackdawcrank_policy.homes.home_vms import vm_weight
from jackdawcrank_policy.homes.member import Member

MIN_CANDIDATES = 3
VMS_PER_CANDIDATE = 16


def counting_candidates(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the names of the VMs that may count: the largest ones.

    Args:
      members: All VMs.
    """
    ranked = sorted(members, key=lambda one: (-one.capacity, one.vm))
    count = max(MIN_CANDIDATES, math.ceil(len(ranked) / VMS_PER_CANDIDATE))
    return tuple(one.vm for one in ranked[:count])


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
