"""What probes have shown of one backend server."""

import attrs

from jackdawcrank_policy.freshness.position_history import PositionHistory
from jackdawcrank_policy.values import Position


@attrs.define
class ServerEvidence:
    """The newest proved position of a server and the ones before it.

    Attributes:
      position: The position that the newest probe showed.
      term: The fence term that the newest probe showed.
      sent_at: When that probe was sent.
      history: What the probes of the branch's term showed.
    """

    position: Position
    term: int
    sent_at: float
    history: PositionHistory = attrs.Factory(PositionHistory)
