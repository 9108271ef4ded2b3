"""Order and delays in which the homes of a group act for it."""

RANK_DELAY_SECONDS = 0.4
PREPARING_TAKEOVER_SECONDS = 1.0


def takeover_rank(
    vm: str, coordinator: str, homes: tuple[str, ...]
) -> int | None:
    """Return how many homes act before a VM, or None if it is not a home.

    The coordinator ranks first. The other homes follow in their order.

    Args:
      vm: The VM.
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
    """Return the VM that coordinates a group, or None if no home is alive.

    It is the coordinator named by the row, or the first live home if that one
    is not alive or no longer a home.

    Args:
      coordinator: The coordinator that the group's row names.
      homes: The group's homes, in the order on which all VMs agree.
      live: The VMs that are known to be alive.
    """
    if coordinator in homes and coordinator in live:
        return coordinator
    return next((home for home in homes if home in live), None)


def takeover_delay(home_rank: int) -> float:
    """Return how long a home waits for higher-ranked ones, in seconds.

    Args:
      home_rank: The takeover rank of the home.
    """
    return home_rank * RANK_DELAY_SECONDS
