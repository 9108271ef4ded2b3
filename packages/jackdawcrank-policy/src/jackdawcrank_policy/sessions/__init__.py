"""What a session has set up, and how a shared connection takes it over."""

from jackdawcrank_policy.sessions.connection_memory import ConnectionMemory
from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement
from jackdawcrank_policy.sessions.session_memory import SessionMemory
from jackdawcrank_policy.sessions.setup_step import (
    ClearSession,
    DefineStatement,
    SetupStep,
    SetValue,
)

__all__ = [
    "ClearSession",
    "ConnectionMemory",
    "DefineStatement",
    "PreparedStatement",
    "SessionMemory",
    "SetValue",
    "SetupStep",
]
