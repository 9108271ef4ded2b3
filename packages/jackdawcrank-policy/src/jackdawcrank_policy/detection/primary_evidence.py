"""Evidence that one proxy has on a group's primary."""

import enum

import attrs


class PrimaryHealth(enum.StrEnum):
    """Health of a primary as seen by one proxy.

    Attributes:
      UNKNOWN: No request has been answered or has failed yet.
      HEALTHY: It answers in time.
      SLOW: It answers, but late or with missed deadlines.
      SUSPECT: It has not answered for too long.
      REFUSING: Its host refuses connections, so its process has ended.
      CUT_OFF: Neither it nor any other server of the group answers, so this
        proxy itself may be cut off from the network.
    """

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    SLOW = "slow"
    SUSPECT = "suspect"
    REFUSING = "refusing"
    CUT_OFF = "cut_off"

    @property
    def is_suspicious(self) -> bool:
        """Return whether the primary is suspected to have failed."""
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
      primary: The primary that the evidence concerns.
      health: Its health as seen by the proxy.
      silent_seconds: The time since the newest answered request was sent.
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
        """Return whether the VM suspects the primary to have failed."""
        return self.health.is_suspicious
