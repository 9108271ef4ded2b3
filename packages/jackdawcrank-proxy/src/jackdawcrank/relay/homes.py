"""Selection of the home proxies of each group."""

from collections.abc import Iterable

from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank_policy.catalog import ServedGroup
from jackdawcrank_policy.homes import (
    HomePlan,
    Member,
    plan_homes,
    region_homes,
)
from jackdawcrank_policy.homes.home_vms import vm_weight


class Homes:
    """Selects home proxies from the currently known VMs.

    Attributes:
      rows: Holds the known VMs.
      cached_members: The members from which `cached_rankings` were computed.
      cached_rankings: The results of `ranked_members` by the group's name.
    """

    def __init__(self, rows: MemberRows) -> None:
        self.rows = rows
        self.cached_members: dict[str, Member] = {}
        self.cached_rankings: dict[str, tuple[Member, ...]] = {}

    def plan(self, group: ServedGroup) -> HomePlan:
        """Return how a group's connections are split among homes.

        Args:
          group: The group.
        """
        members = self.rows.members
        if not self.rows.complete or len(members) < 2:
            return plan_homes(group.connection_limit, 0, 0)
        regions = {one.region for one in members.values()}
        return plan_homes(group.connection_limit, len(members), len(regions))

    def ranked_members(self, group: ServedGroup) -> tuple[Member, ...]:
        """Return the VMs of this region, ranked as homes of a group.

        Args:
          group: The group.
        """
        members = self.rows.members
        if members is not self.cached_members:
            self.cached_members = members
            self.cached_rankings = {}
        found = self.cached_rankings.get(group.name)
        if found is None:
            region = self.rows.own.region
            region_members = [
                one for one in members.values() if one.region == region
            ]
            found = region_homes(
                group.name, region_members, len(region_members)
            )
            self.cached_rankings[group.name] = found
        return found

    def is_home(self, group: ServedGroup) -> bool:
        """Return whether this VM is one of a group's homes.

        Args:
          group: The group.
        """
        plan = self.plan(group)
        if plan.on_every_vm:
            return True
        homes = self.ranked_members(group)[: plan.per_region]
        return any(one.vm == self.rows.own.vm for one in homes)

    def other_homes(self, group: ServedGroup) -> list[Member]:
        """Return a group's homes in all regions, without this VM.

        Args:
          group: The group.
        """
        members = self.rows.members
        plan = self.plan(group)
        homes: Iterable[Member] = members.values()
        if not plan.on_every_vm:
            regions = {one.region for one in members.values()}
            homes = [
                home
                for region in sorted(regions)
                for home in region_homes(
                    group.name,
                    [one for one in members.values() if one.region == region],
                    plan.per_region,
                )
            ]
        return [one for one in homes if one.vm != self.rows.own.vm]

    def forwarding_targets(
        self, group: ServedGroup, account: str = ""
    ) -> list[Member]:
        """Return the VMs to forward a group's statements to, best first.

        Homes come before the VMs ranked next. Among the homes, those in this
        data centre come first; hashing with this VM's name then spreads the
        load. For a client account, hashing with its name alone orders them, so
        that one home holds its server connections.

        Args:
          group: The group.
          account: The client account; empty for none.
        """
        own = self.rows.own
        plan = self.plan(group)
        ranked_members = self.ranked_members(group)

        def preference(member: Member) -> tuple[bool, int]:
            if account:
                return False, -vm_weight(account, member.vm)
            in_other_data_center = member.data_center != own.data_center
            return in_other_data_center, -vm_weight(own.vm, member.vm)

        homes = sorted(ranked_members[: plan.per_region], key=preference)
        return [*homes, *ranked_members[plan.per_region : 2 * plan.per_region]]
