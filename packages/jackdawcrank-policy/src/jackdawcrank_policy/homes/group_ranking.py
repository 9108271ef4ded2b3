"""Ranking of the VMs that may be homes of one group."""

import heapq
from collections.abc import Collection, Mapping

from jackdawcrank_policy.homes.home_vms import key_weight

# A VM's sort key in its group: its negated weight and its name. The lowest key
# ranks first.
RankedVm = tuple[int, str]


class GroupRanking:
    """Keeps the highest-ranked VMs of each data centre for one group.

    Only the first `count` VMs of a data centre are kept. Any other VM there
    ranks below all of them and cannot be a home.

    Attributes:
      best: The highest-ranked VMs by data centre, best first.
      homes: The group's homes, best first.
    """

    def __init__(self, group: str, count: int) -> None:
        self.prefix = group.encode() + b"\0"
        self.count = count
        self.best: dict[str, list[RankedVm]] = {}
        self.homes: tuple[str, ...] = ()

    def update(
        self,
        left: Mapping[str, Collection[str]],
        joined: Mapping[str, Mapping[str, bytes]],
        members: Mapping[str, Mapping[str, bytes]],
    ) -> bool:
        """Apply membership changes; return whether the homes changed.

        Args:
          left: The names of the VMs that left, by data centre.
          joined: The encoded names of the VMs that joined, by data centre and
            name.
          members: The encoded names of all VMs after the change, by data
            centre and name.
        """
        best_changed = False
        for data_center, names in left.items():
            best_changed |= self.remove(
                data_center, names, members.get(data_center, {})
            )
        for data_center, vms in joined.items():
            best_changed |= self.add(data_center, vms)
        if not best_changed:
            return False
        previous = self.homes
        self.homes = self.select_homes()
        return self.homes != previous

    def remove(
        self,
        data_center: str,
        names: Collection[str],
        members: Mapping[str, bytes],
    ) -> bool:
        """Remove VMs of a data centre; return whether one was in `best`.

        Args:
          data_center: The data centre.
          names: The names of the VMs that left it.
          members: The encoded names of the remaining VMs, by name.
        """
        best = self.best.get(data_center, [])
        if not any(vm in names for _, vm in best):
            return False
        remaining = heapq.nsmallest(self.count, self.ranked_vms(members))
        if remaining:
            self.best[data_center] = remaining
        else:
            del self.best[data_center]
        return True

    def add(self, data_center: str, vms: Mapping[str, bytes]) -> bool:
        """Add VMs of a data centre; return whether one is in `best` now.

        Args:
          data_center: The data centre.
          vms: The encoded names of the VMs that joined it, by name.
        """
        best = self.best.get(data_center, [])
        ranked_vms = self.ranked_vms(vms)
        if len(best) >= self.count:
            ranked_vms = [
                ranked_vm for ranked_vm in ranked_vms if ranked_vm < best[-1]
            ]
        if not ranked_vms:
            return False
        self.best[data_center] = heapq.nsmallest(
            self.count, {*best, *ranked_vms}
        )
        return True

    def ranked_vms(self, vms: Mapping[str, bytes]) -> list[RankedVm]:
        """Return the sort key of each VM.

        Args:
          vms: The encoded names of the VMs, by name.
        """
        prefix = self.prefix
        return [(-key_weight(prefix + name), vm) for vm, name in vms.items()]

    def select_homes(self) -> tuple[str, ...]:
        """Return the homes, taking one VM of each data centre in turn."""
        candidates = [
            (local_rank, ranked_vm)
            for best in self.best.values()
            for local_rank, ranked_vm in enumerate(best)
        ]
        return tuple(
            vm for _, (_, vm) in heapq.nsmallest(self.count, candidates)
        )
