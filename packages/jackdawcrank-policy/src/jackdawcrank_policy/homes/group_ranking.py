"""The best ranked VMs of one group."""

import heapq
from collections.abc import Collection, Mapping

from jackdawcrank_policy.homes.home_vms import weight

# The order of one VM in its group; the smallest is the best.
Standing = tuple[int, str]


class GroupRanking:
    """Keeps the best VMs of each data centre for one group.

    A VM outside the best `count` of its data centre cannot be a home, since
    each of them comes before it.

    Attributes:
      best: The best VMs by data centre, best first.
      homes: The group's homes, best first.
    """

    def __init__(self, group: str, count: int) -> None:
        self.prefix = group.encode() + b"\0"
        self.count = count
        self.best: dict[str, list[Standing]] = {}
        self.homes: tuple[str, ...] = ()

    def update(
        self,
        gone: Mapping[str, Collection[str]],
        come: Mapping[str, Mapping[str, bytes]],
        members: Mapping[str, Mapping[str, bytes]],
    ) -> bool:
        """Follow VMs that went and came; return whether the homes changed.

        Args:
          gone: The names of the VMs that left each data centre.
          come: The VMs that joined each data centre, their names encoded.
          members: All VMs of each data centre after the change.
        """
        touched = False
        for center, names in gone.items():
            touched |= self.drop(center, names, members.get(center, {}))
        for center, vms in come.items():
            touched |= self.offer(center, vms)
        if not touched:
            return False
        earlier = self.homes
        self.homes = self.choose()
        return self.homes != earlier

    def drop(
        self, center: str, names: Collection[str], members: Mapping[str, bytes]
    ) -> bool:
        """Remove VMs of a data centre; return whether one was among the best.

        Args:
          center: The data centre.
          names: The VMs that left it.
          members: The VMs in it after the change.
        """
        best = self.best.get(center, [])
        if not any(vm in names for _, vm in best):
            return False
        left = heapq.nsmallest(self.count, self.standings(members))
        if left:
            self.best[center] = left
        else:
            del self.best[center]
        return True

    def offer(self, center: str, vms: Mapping[str, bytes]) -> bool:
        """Take VMs of a data centre; return whether one is among the best.

        Args:
          center: The data centre.
          vms: The VMs that joined it, their names encoded.
        """
        best = self.best.get(center, [])
        standings = self.standings(vms)
        if len(best) >= self.count:
            standings = [one for one in standings if one < best[-1]]
        if not standings:
            return False
        self.best[center] = heapq.nsmallest(self.count, {*best, *standings})
        return True

    def standings(self, vms: Mapping[str, bytes]) -> list[Standing]:
        """Return the standing of each VM.

        Args:
          vms: The VMs' encoded names by name.
        """
        prefix = self.prefix
        return [(-weight(prefix + name), vm) for vm, name in vms.items()]

    def choose(self) -> tuple[str, ...]:
        """Return the homes, each data centre's best before any second."""
        turns = [
            (turn, standing)
            for best in self.best.values()
            for turn, standing in enumerate(best)
        ]
        return tuple(vm for _, (_, vm) in heapq.nsmallest(self.count, turns))
