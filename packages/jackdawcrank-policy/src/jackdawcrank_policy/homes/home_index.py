"""Index of the homes of all groups, updated as VMs join and leave."""

from collections.abc import Mapping

from jackdawcrank_policy.homes.group_ranking import GroupRanking


class HomeIndex:
    """Maintains the result of `home_vms` for every group that was queried.

    A VM that joins is ranked once per group. When a VM leaves, only the groups
    that had it among their best VMs rank the rest of its data centre again.

    Attributes:
      count: The number of homes per group.
      members: The data centre of each VM that may be a home.
      vms_by_data_center: The encoded names of the VMs, by data centre and
        name.
      rankings: The rankings of the tracked groups, by group.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.members: dict[str, str] = {}
        self.vms_by_data_center: dict[str, dict[str, bytes]] = {}
        self.rankings: dict[str, GroupRanking] = {}

    def homes(self, group: str) -> tuple[str, ...]:
        """Return a group's homes, best ranked first.

        Args:
          group: The group's name; the index tracks it from now on.
        """
        ranking = self.rankings.get(group)
        if ranking is None:
            ranking = GroupRanking(group, self.count)
            ranking.update({}, self.vms_by_data_center, self.vms_by_data_center)
            self.rankings[group] = ranking
        return ranking.homes

    def remove_group(self, group: str) -> None:
        """Stop tracking a group.

        Args:
          group: The group's name.
        """
        self.rankings.pop(group, None)

    def update(self, members: Mapping[str, str]) -> set[str]:
        """Replace the known VMs; return the groups whose homes changed.

        Args:
          members: The data centre of each VM that may be a home.
        """
        left = self._remove(members)
        joined = self._add(members)
        self.members = dict(members)
        if not left and not joined:
            return set()
        return {
            group
            for group, ranking in self.rankings.items()
            if ranking.update(left, joined, self.vms_by_data_center)
        }

    def _remove(self, members: Mapping[str, str]) -> dict[str, set[str]]:
        """Remove the VMs that left their data centre and return them."""
        left: dict[str, set[str]] = {}
        for vm, data_center in self.members.items():
            if members.get(vm) != data_center:
                left.setdefault(data_center, set()).add(vm)
        for data_center, names in left.items():
            for vm in names:
                del self.vms_by_data_center[data_center][vm]
            if not self.vms_by_data_center[data_center]:
                del self.vms_by_data_center[data_center]
        return left

    def _add(self, members: Mapping[str, str]) -> dict[str, dict[str, bytes]]:
        """Add the VMs that joined a data centre and return them."""
        joined: dict[str, dict[str, bytes]] = {}
        for vm, data_center in members.items():
            if self.members.get(vm) != data_center:
                joined.setdefault(data_center, {})[vm] = vm.encode()
        for data_center, vms in joined.items():
            self.vms_by_data_center.setdefault(data_center, {}).update(vms)
        return joined
