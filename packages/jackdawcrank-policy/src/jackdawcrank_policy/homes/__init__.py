"""Selection of the proxies that hold a group's backend connections."""

from jackdawcrank_policy.homes.home_index import HomeIndex
from jackdawcrank_policy.homes.home_plan import (
    HomePlan,
    plan_homes,
    region_homes,
)
from jackdawcrank_policy.homes.home_vms import home_count, home_vms
from jackdawcrank_policy.homes.member import Member
from jackdawcrank_policy.homes.watch_order import (
    MAX_UPSTREAMS,
    MIN_UPSTREAMS,
    lower_vms,
    upstream_vms,
)

__all__ = [
    "MAX_UPSTREAMS",
    "MIN_UPSTREAMS",
    "HomeIndex",
    "HomePlan",
    "Member",
    "home_count",
    "home_vms",
    "lower_vms",
    "plan_homes",
    "region_homes",
    "upstream_vms",
]
