"""Choice of the proxies that hold a group's backend connections."""

from jackdawcrank_policy.homes.home_index import HomeIndex
from jackdawcrank_policy.homes.home_vms import home_count, home_vms

__all__ = ["HomeIndex", "home_count", "home_vms"]
