"""This VM's view of the membership."""

from jackdawcrank.membership.tracker import MembershipTracker

__all__ = ["MembershipTracker"]
