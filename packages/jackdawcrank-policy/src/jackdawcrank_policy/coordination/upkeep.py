"""Keeping a group's row in line with its homes."""

import attrs

from jackdawcrank_policy.budget import assign_quotas
from jackdawcrank_policy.coordination.takeover import acting_coordinator
from jackdawcrank_policy.values import GroupPhase, GroupRow


def upkeep(
    row: GroupRow,
    vm: str,
    homes: tuple[str, ...],
    live: frozenset[str],
    freed: frozenset[str] = frozenset(),
) -> GroupRow | None:
    """Return the row as the acting coordinator would have it, or None.

    The term stays. A VM that leaves the writers may hold the lease for
    `LEASE_CLOSING_SECONDS` more, so a promotion relies on the promises of the
    remaining writers only that long after the change
    (`PromotionPlan.quick_from`).

    Args:
      row: The group's newest row.
      vm: The VM that acts for the group.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
      freed: Departed VMs whose connections have run out.
    """
    if row.phase is not GroupPhase.ACTIVE:
        return None
    if acting_coordinator(row.coordinator, homes, live) != vm:
        return None
    wanted_homes = [home for home in homes if home in live]
    writers = assign_quotas(row.writers, wanted_homes, freed)
    wanted = attrs.evolve(row, writers=writers, coordinator=vm)
    return None if wanted == row else wanted
