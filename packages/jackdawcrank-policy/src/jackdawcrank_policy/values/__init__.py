"""Value types shared by every package of the workspace."""

from jackdawcrank_policy.values.branch import Branch
from jackdawcrank_policy.values.caller_class_spec import CallerClassSpec
from jackdawcrank_policy.values.group_row import GroupPhase, GroupRow
from jackdawcrank_policy.values.group_spec import GroupSpec
from jackdawcrank_policy.values.outcome import (
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.values.server_report import ServerReport, ServerRole
from jackdawcrank_policy.values.server_spec import ServerSpec, ServerState
from jackdawcrank_policy.values.term_start import TermStart
from jackdawcrank_policy.values.vm import Vm, VmState

__all__ = [
    "Branch",
    "CallerClassSpec",
    "Done",
    "Failed",
    "GroupPhase",
    "GroupRow",
    "GroupSpec",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "Position",
    "ServerReport",
    "ServerRole",
    "ServerSpec",
    "ServerState",
    "TermStart",
    "Unknown",
    "Vm",
    "VmState",
]
