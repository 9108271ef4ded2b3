"""Records the history of a test run and checks its consistency."""

from jackdawcrank_standins.history.check_history import check_history
from jackdawcrank_standins.history.history import History
from jackdawcrank_standins.history.idle_time_loop import IdleTimeLoop
from jackdawcrank_standins.history.model_server import ModelServer
from jackdawcrank_standins.history.records import (
    CallerOutcome,
    CallerRecord,
    LogEntry,
    TermRecord,
)
from jackdawcrank_standins.history.violation import Rule, Violation
from jackdawcrank_standins.history.virtual_time_loop import (
    VirtualTimeLoop,
    run_virtual,
)

__all__ = [
    "CallerOutcome",
    "CallerRecord",
    "History",
    "IdleTimeLoop",
    "LogEntry",
    "ModelServer",
    "Rule",
    "TermRecord",
    "Violation",
    "VirtualTimeLoop",
    "check_history",
    "run_virtual",
]
