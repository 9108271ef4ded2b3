"""Tracking of the cluster membership by this VM."""

from jackdawcrank.membership.tracker import MembershipTracker

__all__ = ["MembershipTracker"]
