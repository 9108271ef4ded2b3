"""The staggered order in which the homes of a group act for it."""

RANK_DELAY_SECONDS = 0.4
PREPARING_TAKEOVER_SECONDS = 1.0


def takeover_rank(
    vm: str, coordinator: str, homes: tuple[str, ...]
) -> int | None:
    """Return how many others should act before a VM, or None for no home.

    The coordinator comes first, the other homes follow in their order.

    Args:
      vm: The VM in question.
      coordinator: The coordinator that the group's row names.
      homes: The group's homes, in the order on which all VMs agree.
    """
    if vm not in homes:
        return None
    others = [home for home in homes if home != coordinator]
    if vm == coordinator:
        return 0
    offset = 1 if coordinator in homes else 0
    return others.index(vm) + offset


def acting_coordinator(
    coordinator: str, homes: tuple[str, ...], live: frozenset[str]
) -> str | None:
    """Return the VM that keeps a group in order, or None if none is alive.

    Args:
      coordinator: The coordinator that the group's row names.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
    """
    if coordinator in homes and coordinator in live:
        return coordinator
    return next((home for home in homes if home in live), None)


def takeover_delay(home_rank: int) -> float:
    """Return the seconds that a home of a rank leaves to those before it.

    Args:
      home_rank: The rank.
    """
    return home_rank * RANK_DELAY_SECONDS
