"""In-process stand-in for the users' platform, for tests and the demo.

It provides the backend servers, the metadata store and the promotion endpoint,
and follows the platform's published documentation. Apart from the platform's
adapter, this is the only code that uses the platform's terms on the wire.
"""

from jackdawcrank_standins.users_platform.line_caller import (
    LineAnswer,
    LineCaller,
)
from jackdawcrank_standins.users_platform.line_group import LineGroup
from jackdawcrank_standins.users_platform.line_server import LineServer, Run
from jackdawcrank_standins.users_platform.port_blocks import free_ports
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
    "free_ports",
]
