"""Share of a home in the slots of a group's servers."""

from collections.abc import Sequence


def home_slots(total: int, homes: Sequence[str], vm: str) -> int:
    """Return a VM's share of the slots; the shares of all homes add up.

    While VMs have different views of the homes, a slot may be assigned twice or
    not at all for some seconds. This causes short queueing at the servers, but
    affects no guarantee.

    Args:
      total: The slots of all servers that are serving.
      homes: The group's homes, in the order of the group's row.
      vm: The VM's name.
    """
    if vm not in homes:
        return 0
    index = homes.index(vm)
    return total // len(homes) + (index < total % len(homes))
