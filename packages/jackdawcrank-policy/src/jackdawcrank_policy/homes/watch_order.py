"""Selection of the upstream VMs that relay store changes to a VM.

If every VM watched every table, the number of calls to the store would grow
with the product of VMs and changes. A VM therefore watches the store itself
only if too few of the VMs ranked above it in its region report that they do.
Every VM computes the same ranking, so no two VMs depend on each other.
"""

from collections.abc import Iterable

from jackdawcrank_policy.homes.home_plan import region_homes
from jackdawcrank_policy.homes.member import Member

# A VM may lose the store without noticing for as long as a call that waits for
# changes lasts; two VMs seldom do so at the same time.
MIN_UPSTREAMS = 2
# If more upstream VMs than this are down, watching the store is faster.
MAX_UPSTREAMS = 6
# Any constant, because the ranking is per region and not per group.
RANKING_KEY = ""


def upstream_vms(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs ranked above a VM in its region, best ranked first.

    Args:
      own: The VM.
      members: All known VMs.
    """
    ranked = ranked_region(own, members)
    return ranked[: ranked.index(own)]


def lower_vms(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs ranked below a VM in its region, best ranked first.

    While a VM is cut off from the store, they can prove the age of what it
    knows. It does not rely on them for changes, so they may rely on it.

    Args:
      own: The VM.
      members: All known VMs.
    """
    ranked = ranked_region(own, members)
    return ranked[ranked.index(own) + 1 :]


def ranked_region(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return all VMs of a VM's region, best ranked first.

    Args:
      own: The VM.
      members: All known VMs.
    """
    region_members = [
        member for member in members if member.region == own.region
    ]
    return region_homes(
        RANKING_KEY, {*region_members, own}, len(region_members) + 1
    )
