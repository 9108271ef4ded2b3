"""Choice of the backend server for a read."""

from jackdawcrank_policy.routing.candidate import Candidate
from jackdawcrank_policy.routing.choices import (
    ReadChoice,
    Refuse,
    ToPrimary,
    ToServer,
    WaitForReplica,
)
from jackdawcrank_policy.routing.choose_read import choose_read
from jackdawcrank_policy.routing.read_hold import ReadHold
from jackdawcrank_policy.routing.read_mark import ReadMark
from jackdawcrank_policy.routing.read_request import ReadRequest
from jackdawcrank_policy.routing.routing_table import RoutingTable
from jackdawcrank_policy.routing.server_load import ServerLoad
from jackdawcrank_policy.routing.session_reads import SessionReads

__all__ = [
    "Candidate",
    "ReadChoice",
    "ReadHold",
    "ReadMark",
    "ReadRequest",
    "Refuse",
    "RoutingTable",
    "ServerLoad",
    "SessionReads",
    "ToPrimary",
    "ToServer",
    "WaitForReplica",
    "choose_read",
]
