"""The backend server resource."""

import attrs

from jackdawcrank_wire.resources.declare import key
from jackdawcrank_wire.resources.metadata import NAME_PATTERN

MAX_PORT = 65_535


@attrs.frozen
class BackendServerSpec:
    """The declared configuration of a backend server.

    Each attribute is a key of the JSON form, where it is in camel case.
    """

    group: str = key(
        "Name of the DatabaseGroup that the server belongs to.",
        pattern=NAME_PATTERN,
    )
    host: str = key("IP address of the server.", pattern=r"[0-9A-Fa-f.:]+")
    port: int = key("TCP port of the server.", minimum=1, maximum=MAX_PORT)
    region: str = key("Region that the server stands in.", default="")
    data_center: str = key("Data centre that the server stands in.", default="")
    state: str = key(
        "Whether the server is joining, serving or leaving.",
        default="serving",
        choices=("joining", "serving", "leaving"),
    )
