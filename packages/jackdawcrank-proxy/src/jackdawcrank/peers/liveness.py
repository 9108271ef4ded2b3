"""Detection of peers that stopped responding."""

import enum

TICK_INTERVAL_SECONDS = 0.25
PING_AFTER_TICKS = 2
TIMEOUT_TICKS = 7
IDLE_PROBE_AFTER_SECONDS = 5.0
IDLE_PROBE_TIMEOUT_SECONDS = 0.5


class LivenessAction(enum.Enum):
    """The action that a stream takes after a tick."""

    NONE = enum.auto()
    PING = enum.auto()
    DISCONNECT = enum.auto()


class Liveness:
    """Counts the ticks since the last frame from a peer.

    Ticks are counted rather than seconds, so that a pause of this process
    does not count as silence of the peer.
    """

    def __init__(self) -> None:
        self.silent_ticks = 0

    def record_frame(self) -> None:
        """Record that a frame was received."""
        self.silent_ticks = 0

    def tick(self) -> LivenessAction:
        """Count a tick of `TICK_INTERVAL_SECONDS` and return the action."""
        self.silent_ticks += 1
        if self.silent_ticks >= TIMEOUT_TICKS:
            return LivenessAction.DISCONNECT
        if self.silent_ticks >= PING_AFTER_TICKS:
            return LivenessAction.PING
        return LivenessAction.NONE
