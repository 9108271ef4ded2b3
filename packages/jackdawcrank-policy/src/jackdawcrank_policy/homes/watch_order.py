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
MIN_UPSTREAMS = 2
# With more of them down than that, following the store is the quicker way.
MAX_UPSTREAMS = 6
# Any constant name: the order is per region, not per group.
RANKING_KEY = ""


def upstream_vms(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs of a region that come before one, the first first.

    Args:
      own: The VM.
      members: All VMs that are known.
    """
    region_members = [
        member for member in members if member.region == own.region
    ]
    ranked = region_homes(
        RANKING_KEY, {*region_members, own}, len(region_members) + 1
    )
    return ranked[: ranked.index(own)]
