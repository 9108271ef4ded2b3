"""The declaration of a caller class."""

import attrs


@attrs.frozen
class CallerClassSpec:
    """Limits for the callers that log in under certain user names.

    Attributes:
      name: The class's name; `default` applies to users of no class.
      users: The user names that belong to the class.
      weight: The class's share of a group under contention, relative to other
        classes.
      max_concurrent: Statements that one caller may have running or queued.
      rate_per_second: Statements per second of one caller; 0 means no limit.
      burst: Statements by which a caller may briefly exceed the rate.
    """

    name: str
    users: tuple[str, ...] = ()
    weight: int = 1
    max_concurrent: int = 16
    rate_per_second: int = 0
    burst: int = 50
