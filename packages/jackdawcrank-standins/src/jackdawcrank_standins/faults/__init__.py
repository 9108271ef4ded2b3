"""Fault injection for the stand-ins."""

from jackdawcrank_standins.faults.board import FaultBoard
from jackdawcrank_standins.faults.fault import (
    Accepted,
    Fault,
    FaultKind,
    Links,
    Rejected,
    parse_fault,
)

__all__ = [
    "Accepted",
    "Fault",
    "FaultBoard",
    "FaultKind",
    "Links",
    "Rejected",
    "parse_fault",
]
