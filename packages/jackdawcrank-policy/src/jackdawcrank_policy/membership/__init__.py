"""Detection of live VMs."""

from jackdawcrank_policy.membership.evidence import Evidence
from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.membership.membership import Membership
from jackdawcrank_policy.membership.view import MembershipView

__all__ = ["Evidence", "LeaseReading", "Membership", "MembershipView"]
