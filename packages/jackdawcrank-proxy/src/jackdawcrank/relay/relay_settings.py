"""Settings of a relay proxy process."""

import attrs


@attrs.frozen
class AccountBounds:
    """What is promised about client accounts.

    Attributes:
      revocation_seconds: The time after which no statement with a withdrawn
        key may run on any VM; None if there is no such promise.
      window_seconds: The span in which an account's operations are counted.
      excess_share: The share by which the limit may be exceeded in a span.
      slack: The operations by which it may be exceeded besides.
    """

    revocation_seconds: float | None = None
    window_seconds: float = 5.0
    excess_share: float = 0.0
    slack: float = 0.0


@attrs.frozen
class RelaySettings:
    """The settings of one process.

    Attributes:
      vm: The name of the VM.
      data_center: The data centre of the VM.
      regions: The region of each data centre.
      drain_seconds: How long a draining server may still receive statements.
      stop_grace_seconds: The time from the stop signal until the process must
        have ended.
      configuration_seconds: The time within which a changed configuration must
        be in force.
      host: The address of this VM.
      peer_port: The port on which other proxies connect.
      capacity: The number of CPU cores available to this VM.
      first_start: Whether the whole system starts for the first time.
      health_by_outcome: Whether servers that fail more reads than their peers
        get fewer of them.
      accounts: The promises about client accounts.
    """

    vm: str
    data_center: str
    regions: dict[str, str]
    drain_seconds: float
    stop_grace_seconds: float
    configuration_seconds: float
    host: str
    peer_port: int
    capacity: float
    first_start: bool = False
    health_by_outcome: bool = False
    accounts: AccountBounds = AccountBounds()
