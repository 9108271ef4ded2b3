"""Reconciliation of a group's row with its homes."""

import attrs

from jackdawcrank_policy.budget import assign_quotas
from jackdawcrank_policy.coordination.takeover import acting_coordinator
from jackdawcrank_policy.values import GroupPhase, GroupRow


def reconcile_row(
    row: GroupRow,
    vm: str,
    homes: tuple[str, ...],
    live: frozenset[str],
    freed: frozenset[str] = frozenset(),
) -> GroupRow | None:
    """Return the row that the acting coordinator has to write, or None.

    The term is unchanged. A VM that is removed from the writers may hold its
    lease for up to `LEASE_WAIT_SECONDS`, so a promotion must not close the
    leases on the answers of the remaining writers alone before that time has
    passed (`PromotionPlan.removed_writers_expire_at`).

    Args:
      row: The group's newest row.
      vm: The VM that evaluates the row.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
      freed: Departed VMs whose connections have all ended.
    """
    if row.phase is not GroupPhase.ACTIVE:
        return None
    if acting_coordinator(row.coordinator, homes, live) != vm:
        return None
    wanted_homes = [home for home in homes if home in live]
    writers = assign_quotas(row.writers, wanted_homes, freed)
    wanted = attrs.evolve(row, writers=writers, coordinator=vm)
    return None if wanted == row else wanted
