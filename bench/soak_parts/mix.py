"""What the callers of a deployment do."""

import attrs


@attrs.frozen
class Mix:
    """The load of one deployment.

    Attributes:
      name: The deployment's name.
      groups: Its database groups.
      slots: Statements that a backend server runs at once.
      connection_limit: Connections that a group accepts.
      connect_seconds: What a new connection to a backend server costs.
      lag_seconds: The replicas' lag.
      confirm_writes: Whether a replica must confirm each write.
      write_share: The share of operations that write.
      once_share: The share of writes that must not be repeated.
      stale_share: The share of reads that accept an age.
      max_age_ms: That age in milliseconds.
      roam_share: The share of operations before which a session moves to
        another proxy.
      think_seconds: The mean pause between two operations of a caller.
    """

    name: str
    groups: tuple[str, ...]
    slots: int
    connection_limit: int
    connect_seconds: float
    lag_seconds: float
    confirm_writes: bool
    write_share: float
    once_share: float
    stale_share: float
    max_age_ms: int
    roam_share: float
    think_seconds: float


MOORFELD = Mix(
    name="moorfeld",
    groups=("plots", "audits", "totals"),
    slots=5,
    connection_limit=80,
    connect_seconds=0.01,
    lag_seconds=0.2,
    confirm_writes=False,
    write_share=0.3,
    once_share=0.2,
    stale_share=0.7,
    max_age_ms=5000,
    roam_share=0.05,
    think_seconds=1.5,
)
PAMOJA = Mix(
    name="pamoja",
    groups=("yard", "repairs", "dispatch"),
    slots=3,
    connection_limit=90,
    connect_seconds=0.03,
    lag_seconds=0.1,
    confirm_writes=True,
    write_share=0.5,
    once_share=0.3,
    stale_share=0.4,
    max_age_ms=2000,
    roam_share=0.1,
    think_seconds=1.2,
)
