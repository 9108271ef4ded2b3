"""Selection of the backend server for a read."""

from jackdawcrank_policy.routing.answered_read import AnsweredRead
from jackdawcrank_policy.routing.candidate import Candidate
from jackdawcrank_policy.routing.choices import (
    ReadChoice,
    Refuse,
    RouteToPrimary,
    RouteToReplica,
    WaitForReplica,
)
from jackdawcrank_policy.routing.choose_read import choose_read
from jackdawcrank_policy.routing.read_constraint import ReadConstraint
from jackdawcrank_policy.routing.read_request import ReadRequest
from jackdawcrank_policy.routing.routing_table import RoutingTable
from jackdawcrank_policy.routing.server_load import ServerLoad
from jackdawcrank_policy.routing.session_reads import SessionReads

__all__ = [
    "Candidate",
    "ReadChoice",
    "ReadConstraint",
    "AnsweredRead",
    "ReadRequest",
    "Refuse",
    "RoutingTable",
    "ServerLoad",
    "SessionReads",
    "RouteToPrimary",
    "RouteToReplica",
    "WaitForReplica",
    "choose_read",
]
