"""Session state and how it is applied to shared server connections."""

from jackdawcrank_policy.sessions.connection_context import ConnectionContext
from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement
from jackdawcrank_policy.sessions.session_context import SessionContext
from jackdawcrank_policy.sessions.setup_step import (
    PrepareStatement,
    ResetSession,
    SetupPlan,
    SetupStep,
    SetValue,
)

__all__ = [
    "ConnectionContext",
    "PrepareStatement",
    "PreparedStatement",
    "ResetSession",
    "SessionContext",
    "SetValue",
    "SetupPlan",
    "SetupStep",
]
