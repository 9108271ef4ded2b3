"""Stand-in for the users' backend servers."""

from jackdawcrank_standins.backend.executed_statement import (
    ExecutedStatement,
    Fate,
)
from jackdawcrank_standins.backend.group import BackendGroup
from jackdawcrank_standins.backend.replication import Role
from jackdawcrank_standins.backend.server import BackendServer

__all__ = [
    "BackendGroup",
    "BackendServer",
    "ExecutedStatement",
    "Fate",
    "Role",
]
