"""What probes have shown of one backend server."""

import attrs

from jackdawcrank_policy.values import Position

MAX_HISTORY = 64
RATE_WEIGHT = 0.3


@attrs.define
class ServerEvidence:
    """The newest proved position of a server and how it got there.

    Attributes:
      position: The position that the newest probe showed.
      term: The fence term that the newest probe showed.
      sent_at: When that probe was sent.
      answered_at: When its answer came.
      rate: Log entries applied per second, smoothed; 0 if not known.
      history: Earlier probes' send times and positions, oldest first.
    """

    position: Position
    term: int
    sent_at: float
    answered_at: float
    rate: float = 0.0
    history: list[tuple[float, Position]] = attrs.Factory(list)

    def update(
        self,
        position: Position,
        term: int,
        sent_at: float,
        answered_at: float,
    ) -> None:
        """Take in a probe that was sent later than every one before.

        Args:
          position: The position that the server reported.
          term: The fence term that it reported.
          sent_at: When the probe was sent.
          answered_at: When its answer came.
        """
        applied = position.offset - self.position.offset
        rate = max(applied, 0) / (sent_at - self.sent_at)
        self.rate += RATE_WEIGHT * (rate - self.rate)
        self.position = position
        self.term = term
        self.sent_at = sent_at
        self.answered_at = answered_at

    def remember(self) -> None:
        """Add the newest probe to the history."""
        self.history.append((self.sent_at, self.position))
        del self.history[:-MAX_HISTORY]

    def first_after(self, instant: float) -> Position | None:
        """Return what the first probe sent after an instant showed."""
        later = (p for sent_at, p in self.history if sent_at > instant)
        return next(later, None)
