"""The positions proven by probes of one backend server."""

import attrs

from jackdawcrank_policy.freshness.position_history import PositionHistory
from jackdawcrank_policy.values import Position


@attrs.define
class ServerEvidence:
    """The newest proven position of a server and its recent history.

    Attributes:
      position: The position that the newest probe reported.
      term: The fence term that the newest probe reported.
      sent_at: When that probe was sent, in seconds of the monotonic clock.
      history: The positions reported by probes in the branch's term.
    """

    position: Position
    term: int
    sent_at: float
    history: PositionHistory = attrs.Factory(PositionHistory)
