"""Detection of streams that went silent."""

import enum

TICK_INTERVAL_SECONDS = 0.25
PING_AFTER_TICKS = 2
TIMEOUT_TICKS = 7
IDLE_PROBE_AFTER_SECONDS = 5.0
IDLE_PROBE_TIMEOUT_SECONDS = 0.5


class LivenessAction(enum.Enum):
    """What a stream has to do after a tick."""

    NONE = enum.auto()
    PING = enum.auto()
    DISCONNECT = enum.auto()


class Liveness:
    """Counts the ticks in which nothing was heard of a peer.

    Ticks are counted rather than seconds, so that a pause of this process
    is not taken for a silence of the peer.
    """

    def __init__(self) -> None:
        self.silent_ticks = 0

    def record_frame(self) -> None:
        """Note that a frame came in."""
        self.silent_ticks = 0

    def tick(self) -> LivenessAction:
        """Return what to do, `TICK_INTERVAL_SECONDS` after the last call."""
        self.silent_ticks += 1
        if self.silent_ticks >= TIMEOUT_TICKS:
            return LivenessAction.DISCONNECT
        if self.silent_ticks >= PING_AFTER_TICKS:
            return LivenessAction.PING
        return LivenessAction.NONE
