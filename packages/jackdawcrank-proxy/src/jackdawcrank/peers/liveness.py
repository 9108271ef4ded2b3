"""Detection of streams that went silent."""

import enum

TICK_SECONDS = 0.25
PING_AFTER_TICKS = 2
DEAD_AFTER_TICKS = 7
IDLE_CHECK_AFTER_SECONDS = 5.0
IDLE_CHECK_SECONDS = 0.5


class LivenessAction(enum.Enum):
    """What a stream has to do after a tick."""

    NONE = enum.auto()
    PING = enum.auto()
    GIVE_UP = enum.auto()


class Liveness:
    """Counts the ticks in which nothing was heard of a peer.

    Ticks are counted rather than seconds, so that a pause of this process
    is not taken for a silence of the peer.
    """

    def __init__(self) -> None:
        self.silent_ticks = 0

    def heard(self) -> None:
        """Note that a frame came in."""
        self.silent_ticks = 0

    def tick(self) -> LivenessAction:
        """Return what to do, `TICK_SECONDS` after the last call."""
        self.silent_ticks += 1
        if self.silent_ticks >= DEAD_AFTER_TICKS:
            return LivenessAction.GIVE_UP
        if self.silent_ticks >= PING_AFTER_TICKS:
            return LivenessAction.PING
        return LivenessAction.NONE
