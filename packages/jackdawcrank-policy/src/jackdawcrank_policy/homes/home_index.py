"""The homes of all groups, kept while VMs come and go."""

from collections.abc import Mapping

from jackdawcrank_policy.homes.group_ranking import GroupRanking


class HomeIndex:
    """Keeps the choice of `home_vms` for every group that was asked about.

    One VM that comes is ranked once for each group; one that goes is ranked
    anew against its data centre by those groups only whose best it was
    among.

    Attributes:
      count: How many homes a group has.
      members: The data centre of each VM that may be a home.
      centers: The VMs of each data centre, their names encoded.
      rankings: The groups.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.members: dict[str, str] = {}
        self.centers: dict[str, dict[str, bytes]] = {}
        self.rankings: dict[str, GroupRanking] = {}

    def homes(self, group: str) -> tuple[str, ...]:
        """Return a group's homes, best ranked first.

        Args:
          group: The group's name; it is followed from now on.
        """
        ranking = self.rankings.get(group)
        if ranking is None:
            ranking = GroupRanking(group, self.count)
            ranking.update({}, self.centers, self.centers)
            self.rankings[group] = ranking
        return ranking.homes

    def forget(self, group: str) -> None:
        """Follow a group no more.

        Args:
          group: The group's name.
        """
        self.rankings.pop(group, None)

    def update(self, members: Mapping[str, str]) -> set[str]:
        """Take the VMs; return the groups whose homes changed.

        Args:
          members: The data centre of each VM that may be a home.
        """
        gone = self._remove(members)
        come = self._add(members)
        self.members = dict(members)
        if not gone and not come:
            return set()
        return {
            group
            for group, ranking in self.rankings.items()
            if ranking.update(gone, come, self.centers)
        }

    def _remove(self, members: Mapping[str, str]) -> dict[str, set[str]]:
        """Remove the VMs that left their data centre and return them."""
        gone: dict[str, set[str]] = {}
        for vm, center in self.members.items():
            if members.get(vm) != center:
                gone.setdefault(center, set()).add(vm)
        for center, names in gone.items():
            for vm in names:
                del self.centers[center][vm]
            if not self.centers[center]:
                del self.centers[center]
        return gone

    def _add(self, members: Mapping[str, str]) -> dict[str, dict[str, bytes]]:
        """Add the VMs that joined a data centre and return them."""
        come: dict[str, dict[str, bytes]] = {}
        for vm, center in members.items():
            if self.members.get(vm) != center:
                come.setdefault(center, {})[vm] = vm.encode()
        for center, vms in come.items():
            self.centers.setdefault(center, {}).update(vms)
        return come
