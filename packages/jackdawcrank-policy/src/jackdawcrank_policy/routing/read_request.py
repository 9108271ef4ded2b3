"""A read that needs a server."""

import attrs

from jackdawcrank_policy.routing.read_hold import ReadHold
from jackdawcrank_policy.values import Position


@attrs.frozen
class ReadRequest:
    """What a read asks for.

    Attributes:
      group: The database group.
      deadline: When the caller gives up, on the monotonic clock.
      token_position: The position that the session has seen, if any.
      max_age_ms: The stated age in milliseconds, the group's default applied
        already; None if neither states one.
      hold: What the session's last read asks, if there was one.
    """

    group: str
    deadline: float
    token_position: Position | None = None
    max_age_ms: int | None = None
    hold: ReadHold | None = None
