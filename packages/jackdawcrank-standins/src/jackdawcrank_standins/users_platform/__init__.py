"""A small form of the users' platform: servers, store and duty calls.

Written from the platform's published pages, for tests and the demo. It speaks
the platform's words on the wire, as only its adapter does elsewhere.
"""

from jackdawcrank_standins.users_platform.line_caller import (
    LineAnswer,
    LineCaller,
)
from jackdawcrank_standins.users_platform.line_group import LineGroup
from jackdawcrank_standins.users_platform.line_server import LineServer, Run
from jackdawcrank_standins.users_platform.row_tables import RowTables
from jackdawcrank_standins.users_platform.standin_platform import (
    StandinPlatform,
)

__all__ = [
    "LineAnswer",
    "LineCaller",
    "LineGroup",
    "LineServer",
    "RowTables",
    "Run",
    "StandinPlatform",
]
