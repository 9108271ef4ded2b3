"""Keeping a group's row in line with its homes."""

import attrs

from jackdawcrank_policy.values import GroupPhase, GroupRow


def upkeep(
    row: GroupRow, vm: str, homes: tuple[str, ...], live: frozenset[str]
) -> GroupRow | None:
    """Return the row as the acting coordinator would have it, or None.

    The term stays. A VM that leaves the writers may hold the lease for
    `LEASE_CLOSING_SECONDS` more; a promotion that collects acknowledgements
    has to wait that long after such a change, which `Promotion` does.

    Args:
      row: The group's newest row.
      vm: The VM that acts for the group.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
    """
    if row.phase is not GroupPhase.ACTIVE or vm not in homes:
        return None
    writers = tuple(home for home in homes if home in live)
    if vm not in writers:
        return None
    coordinator = row.coordinator
    if coordinator not in writers:
        coordinator = vm
    wanted = attrs.evolve(row, writers=writers, coordinator=coordinator)
    if wanted == row or coordinator != vm:
        return None
    return wanted
