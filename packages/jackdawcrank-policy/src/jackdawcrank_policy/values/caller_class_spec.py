"""What operators declare of a class of callers."""

import attrs


@attrs.frozen
class CallerClassSpec:
    """Limits for the callers that log in as one of some users.

    Attributes:
      name: The class's name; `default` applies to users of no class.
      users: The user names that belong to the class.
      weight: The class's share of a busy group beside other classes.
      max_concurrent: Statements of one caller that may run or wait at once.
      rate_per_second: Statements per second of one caller; 0 is no limit.
      burst: Statements that a caller may send at once above the rate.
    """

    name: str
    users: tuple[str, ...] = ()
    weight: int = 1
    max_concurrent: int = 16
    rate_per_second: int = 0
    burst: int = 50
