"""Allocation of servers' capacity to the homes that send to them."""

from jackdawcrank_policy.capacity.contention import Contention
from jackdawcrank_policy.capacity.division import divide_permits
from jackdawcrank_policy.capacity.holder_choice import HolderChoice
from jackdawcrank_policy.capacity.server_permits import ServerPermits
from jackdawcrank_policy.capacity.share import GRANT_SECONDS, Share

__all__ = [
    "GRANT_SECONDS",
    "Contention",
    "HolderChoice",
    "ServerPermits",
    "Share",
    "divide_permits",
]
