"""How many homes a group has, and which.

Answers the size of a deployment: with few VMs each one connects to every
server; with many, each region has a few homes that share the servers' limits
on connections, and the others forward to them.
"""

from collections.abc import Iterable

import attrs

from jackdawcrank_policy.homes.home_vms import vm_weight
from jackdawcrank_policy.homes.member import Member

# With fewer connections than this to a server, transactions of one VM wait for
# each other: on our users' sites a VM has up to two at a time, and a read.
MIN_CONNECTIONS = 3
# More than twice a server's slots (3 to 6) make no statement quicker; a
# transaction holds one while its caller pauses.
MAX_CONNECTIONS = 16
# One home of a region may be lost or leave; more of them only split the
# servers' slots into parts that cannot help each other out.
HOMES_PER_REGION = 2
# Before other VMs are known: 15 to 21 of them, and up to 6 that are added.
EXPECTED_VMS = 24


@attrs.frozen
class HomePlan:
    """How one group's connections are shared.

    Attributes:
      on_every_vm: Whether every VM is a home.
      per_region: Homes of a region, if not.
      connections: Connections that one home may hold to one server.
      homes: Homes in all regions together.
    """

    on_every_vm: bool
    per_region: int
    connections: int
    homes: int


def plan_homes(limit: int, vms: int, regions: int) -> HomePlan:
    """Return how a group's connections are shared.

    Args:
      limit: Connections that one server takes.
      vms: VMs that may be homes; 0 while they are not known.
      regions: Regions that they stand in.
    """
    share = limit // (vms or EXPECTED_VMS)
    if share >= MIN_CONNECTIONS or not vms:
        connections = min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, share))
        return HomePlan(True, 0, connections, vms or EXPECTED_VMS)
    homes = max(1, regions) * HOMES_PER_REGION
    connections = min(MAX_CONNECTIONS, max(1, limit // homes))
    return HomePlan(False, HOMES_PER_REGION, connections, homes)


def region_homes(
    group: str, members: Iterable[Member], count: int
) -> tuple[Member, ...]:
    """Return a region's VMs in the order in which they are homes of a group.

    Larger VMs come first; among equals, rendezvous hashing decides.

    Args:
      group: The group.
      members: The region's VMs.
      count: How many homes there are.
    """
    ranked = sorted(
        members,
        key=lambda member: (
            -member.capacity,
            -vm_weight(group, member.vm),
            member.vm,
        ),
    )
    return tuple(ranked[:count])
