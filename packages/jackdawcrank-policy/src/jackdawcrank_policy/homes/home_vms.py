"""Rendezvous hashing of database groups over VMs."""

from collections.abc import Mapping, Sequence

import xxhash

MIN_HOMES = 2


def home_vms(
    group: str,
    live_vms: Sequence[str],
    count: int,
    data_centers: Mapping[str, str] | None = None,
) -> tuple[str, ...]:
    """Return the group's home VMs, best ranked first.

    A VM that joins or leaves changes only the homes of groups for which it
    ranks among the first.

    Args:
      group: The group's name.
      live_vms: The names of the VMs that may be homes, in any order.
      count: The maximum number of homes.
      data_centers: The data centre of each VM. If given, a data centre gets
        a second home only after every other one has its first.
    """
    ranked = sorted(set(live_vms), key=lambda vm: (-vm_weight(group, vm), vm))
    if data_centers is not None:
        ranked = interleave_data_centers(ranked, data_centers)
    return tuple(ranked[:count])


def vm_weight(group: str, vm: str) -> int:
    """Return the rendezvous weight of a VM for a group."""
    return key_weight(f"{group}\0{vm}".encode())


def key_weight(key: bytes) -> int:
    """Return the weight of a key: group and VM name, joined by a NUL."""
    return xxhash.xxh3_64_intdigest(key)


def interleave_data_centers(
    ranked: list[str], data_centers: Mapping[str, str]
) -> list[str]:
    """Return ranked VMs reordered so that the data centres alternate."""
    used: dict[str, int] = {}
    round_order = []
    for index, vm in enumerate(ranked):
        data_center = data_centers.get(vm, "")
        round_order.append((used.get(data_center, 0), index))
        used[data_center] = used.get(data_center, 0) + 1
    return [ranked[index] for _, index in sorted(round_order)]


def home_count(slots: int, servers: int, per_home: int) -> int:
    """Return how many homes a group needs to tolerate the loss of one.

    Args:
      slots: The number of statements that one backend server runs at once.
      servers: The number of the group's backend servers.
      per_home: The number of concurrent statements that one home should
        handle.
    """
    needed = -(-slots * servers // per_home)
    return max(MIN_HOMES, needed + 1)
