"""A home's part of the slots of a group's servers."""

from collections.abc import Sequence


def home_slots(total: int, homes: Sequence[str], vm: str) -> int:
    """Return a VM's part of some slots; all homes together have the total.

    Views that differ may share out a slot twice or not at all for seconds,
    which costs a little waiting at the servers and breaks no promise.

    Args:
      total: The slots of all servers that are serving.
      homes: The group's homes, in the order of its row.
      vm: The VM's name.
    """
    if vm not in homes:
        return 0
    index = homes.index(vm)
    return total // len(homes) + (index < total % len(homes))
