"""What one proxy has seen of a group's primary."""

import enum

import attrs


class PrimaryHealth(enum.StrEnum):
    """How a primary looks to one proxy.

    Attributes:
      UNKNOWN: Nothing was seen yet.
      HEALTHY: It answers in time.
      SLOW: It answers, but late or with some deadlines missed.
      SUSPECT: It has been silent for too long.
      REFUSING: Its host refuses connections: the process is gone.
      CUT_OFF: It is silent and so is every other server of the group, so the
        proxy may itself be the one that is cut off.
    """

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    SLOW = "slow"
    SUSPECT = "suspect"
    REFUSING = "refusing"
    CUT_OFF = "cut_off"

    @property
    def is_suspicious(self) -> bool:
        """Return whether the primary is held to have failed."""
        return self in (PrimaryHealth.SUSPECT, PrimaryHealth.REFUSING)

    @property
    def is_answering(self) -> bool:
        """Return whether the primary answers."""
        return self in (PrimaryHealth.HEALTHY, PrimaryHealth.SLOW)


@attrs.frozen
class PrimaryEvidence:
    """One proxy's view of a primary.

    Attributes:
      vm: The VM of the proxy.
      group: The group's name.
      term: The newest term that the VM knows.
      primary: The primary that the evidence is about.
      health: How it looks.
      silent_seconds: The time since an answered request was sent.
      coordinating: Whether the VM is driving a promotion of the group.
    """

    vm: str
    group: str
    term: int
    primary: str
    health: PrimaryHealth
    silent_seconds: float = 0.0
    coordinating: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Return whether the VM holds the primary to have failed."""
        return self.health.is_suspicious
