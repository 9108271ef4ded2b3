"""The caller class resource."""

import attrs

from jackdawcrank_wire.resources.declare import key


@attrs.frozen
class CallerClassSpec:
    """The declared configuration of a caller class.

    Each attribute is a key of the JSON form, where it is in camel case.
    """

    users: tuple[str, ...] = key(
        "User names that belong to the class; the class named `default` "
        "holds everybody else.",
        default=(),
    )
    weight: int = key(
        "Share of a busy group beside other classes.",
        default=1,
        minimum=1,
        maximum=1000,
    )
    max_concurrent: int = key(
        "Statements of one caller that may run or wait at once.",
        default=16,
        minimum=1,
        maximum=100_000,
    )
    rate_per_second: int = key(
        "Statements per second of one caller; 0 is no limit.",
        default=0,
        minimum=0,
        maximum=1_000_000,
    )
    burst: int = key(
        "Statements that a caller may send at once above the rate.",
        default=50,
        minimum=1,
        maximum=1_000_000,
    )
