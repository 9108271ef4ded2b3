"""What a relaying proxy process needs to know of its surroundings."""

import attrs


@attrs.frozen
class RelaySettings:
    """The settings of one process.

    Attributes:
      vm: The VM's name.
      data_center: Where the VM stands.
      regions: The region of each data centre.
      drain_seconds: How long a leaving server may still be given work.
      stop_grace_seconds: How long the process has to end after a signal.
      configuration_seconds: In what time a configuration must be in force.
      host: This VM's address.
      peer_port: Where other proxies connect.
      capacity: Cores that this VM may use.
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
