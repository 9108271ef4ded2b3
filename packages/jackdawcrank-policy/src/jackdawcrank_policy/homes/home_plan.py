"""Number and selection of a group's homes.

The number depends on the size of the deployment. With few VMs, every VM
connects to every server. With many, each region has a few homes that share the
servers' connection limits, and the other VMs forward statements to them.
"""

import itertools
from collections.abc import Iterable

import attrs

from jackdawcrank_policy.homes.home_vms import (
    interleave_data_centers,
    vm_weight,
)
from jackdawcrank_policy.homes.member import Member

# With fewer connections to a server, transactions of one VM wait for each
# other. On users' sites a VM runs up to two at a time, and a read.
MIN_CONNECTIONS = 3
# Connections beyond twice a server's slots (3 to 6) make no statement faster.
# There are more connections than slots because a transaction holds one while
# its caller pauses.
MAX_CONNECTIONS = 16
# A region tolerates the loss or departure of one home. More homes only divide
# the servers' slots into smaller shares that homes cannot lend to each other.
HOMES_PER_REGION = 2
# A VM that stands in for a home opens this many, so that homes and stand-ins
# together never exceed a server's limit: a server resets what exceeds it.
STAND_IN_CONNECTIONS = 1
# Assumed until the other VMs are known: 15 to 21 VMs, and up to 6 added later.
EXPECTED_VMS = 24


@attrs.frozen
class HomePlan:
    """The distribution of a group's connections over its homes.

    Attributes:
      on_every_vm: Whether every VM is a home.
      per_region: The number of homes per region; 0 if every VM is a home.
      connections: The maximum number of connections from one home to one
        server.
      stand_in_connections: The same for a VM that serves while a home cannot
        be reached.
      homes: The number of homes in all regions together.
    """

    on_every_vm: bool
    per_region: int
    connections: int
    homes: int
    stand_in_connections: int


def plan_homes(limit: int, vms: int, regions: int) -> HomePlan:
    """Return the distribution of a group's connections over its homes.

    Args:
      limit: The number of connections that one server accepts.
      vms: The number of VMs that may be homes; 0 if unknown.
      regions: The number of regions that these VMs are in.
    """
    share = limit // (vms or EXPECTED_VMS)
    if share >= MIN_CONNECTIONS or not vms:
        connections = min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, share))
        return HomePlan(True, 0, connections, vms or EXPECTED_VMS, connections)
    homes = max(1, regions) * HOMES_PER_REGION
    # As many VMs may stand in for homes, while these are still connected.
    shared = limit - homes * STAND_IN_CONNECTIONS
    connections = min(MAX_CONNECTIONS, max(1, shared // homes))
    return HomePlan(
        False, HOMES_PER_REGION, connections, homes, STAND_IN_CONNECTIONS
    )


def region_homes(
    group: str, members: Iterable[Member], count: int
) -> tuple[Member, ...]:
    """Return a group's homes in a region, best ranked first.

    VMs with more capacity rank first; rendezvous hashing orders equal ones.
    Among these, the data centres alternate, so that the loss of one of them
    leaves a home, and callers of each of them have a home nearby.

    Args:
      group: The group's name.
      members: The region's VMs.
      count: The maximum number of homes.
    """
    ranked = sorted(
        members,
        key=lambda member: (
            -member.capacity,
            -vm_weight(group, member.vm),
            member.vm,
        ),
    )
    by_vm = {member.vm: member for member in ranked}
    data_centers = {member.vm: member.data_center for member in ranked}
    names: list[str] = []
    for _, equal in itertools.groupby(ranked, lambda one: one.capacity):
        names += interleave_data_centers(
            [one.vm for one in equal], data_centers
        )
    return tuple(by_vm[name] for name in names[:count])
