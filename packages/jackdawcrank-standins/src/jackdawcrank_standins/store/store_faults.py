"""Faults of the platform's service."""

import enum

import attrs

from jackdawcrank_standins.backend.gate import Gate

STOPPED = "stopped"


class StopMode(enum.StrEnum):
    """How a stopped service behaves."""

    REFUSE = "refuse"
    HANG = "hang"


@attrs.define
class StoreFaults:
    """What is wrong with the service now.

    Attributes:
      gate: Blocked while the service is stopped.
      mode: Whether a stopped service answers 503 or not at all.
      slow_seconds: How long each request takes longer.
      lose_answers: How many more writes take effect without an answer.
    """

    gate: Gate = attrs.field(factory=Gate)
    mode: StopMode = StopMode.REFUSE
    slow_seconds: float = 0.0
    lose_answers: int = 0

    @property
    def stopped(self) -> bool:
        """Return whether the service is stopped."""
        return self.gate.blocked

    def stop(self, mode: StopMode = StopMode.REFUSE) -> None:
        """Stop the service."""
        self.mode = mode
        self.gate.block(STOPPED)

    def start(self) -> None:
        """Start the service again."""
        self.gate.unblock(STOPPED)

    def heal(self) -> None:
        """End all faults."""
        self.start()
        self.slow_seconds = 0.0
        self.lose_answers = 0

    def loses_answer(self) -> bool:
        """Return whether the answer to a write that took effect is lost."""
        if self.lose_answers == 0:
            return False
        self.lose_answers -= 1
        return True
