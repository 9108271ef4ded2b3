"""The database group resource."""

import attrs

from jackdawcrank_wire.resources.declare import key

HOUR_MS = 3_600_000


@attrs.frozen
class DatabaseGroupSpec:
    """The declared configuration of a database group.

    Each attribute is a key of the JSON form, where it is in camel case.
    """

    slots_per_server: int = key(
        "Statements that one backend server runs at once.",
        default=5,
        minimum=1,
        maximum=1024,
    )
    connection_limit: int = key(
        "Connections that the whole group accepts.",
        default=80,
        minimum=1,
        maximum=100_000,
    )
    default_max_age_ms: int | None = key(
        "Age in milliseconds that a read may have when the caller states "
        "none; null sends such reads to the primary.",
        default=None,
        minimum=0,
        maximum=24 * HOUR_MS,
    )
    confirm_writes: bool = key(
        "Whether a replica must confirm each write before the caller gets "
        "its answer.",
        default=False,
    )
    statement_timeout_ms: int = key(
        "Longest time of one statement, in milliseconds.",
        default=30_000,
        minimum=1,
        maximum=HOUR_MS,
    )
    transaction_timeout_ms: int = key(
        "Longest time of one transaction, in milliseconds.",
        default=60_000,
        minimum=1,
        maximum=HOUR_MS,
    )
    drain_timeout_ms: int = key(
        "Longest time of open transactions on a leaving server, in "
        "milliseconds.",
        default=30_000,
        minimum=0,
        maximum=HOUR_MS,
    )
    replica_wait_ms: int = key(
        "How much longer than on the primary a read may take in order to be "
        "served by a replica, in milliseconds.",
        default=150,
        minimum=0,
        maximum=60_000,
    )
