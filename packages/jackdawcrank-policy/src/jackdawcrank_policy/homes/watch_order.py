"""Which VMs follow the store for others.

Answers the size of a deployment: if every VM followed every table, calls to
the store would grow as VMs times changes. A VM follows the store itself unless
enough of the VMs above it in its region do and tell it so. The order is the
same wherever it is worked out, so no two VMs rely on each other.
"""

from collections.abc import Iterable

from jackdawcrank_policy.homes.home_plan import region_homes
from jackdawcrank_policy.homes.member import Member

# One VM may be cut off from the store without noticing for the length of a
# call that waits for changes; two at a time seldom are.
VOUCHERS = 2
# With more of them down than that, following the store is the quicker way.
MOST_CONTACTS = 6
# Any constant name: the order is per region, not per group.
ORDER_NAME = ""


def vms_above(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs of a region that come before one, the first first.

    Args:
      own: The VM.
      members: All VMs that are known.
    """
    near = [one for one in members if one.region == own.region]
    order = region_homes(ORDER_NAME, {*near, own}, len(near) + 1)
    return order[: order.index(own)]
