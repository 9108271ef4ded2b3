"""A VM that may be a home."""

import attrs


@attrs.frozen
class Member:
    """A VM and where its proxy is reached by others.

    Attributes:
      vm: The VM's name.
      host: Its address.
      port: The port for other proxies.
      data_center: Where it stands.
      region: The region of that data centre.
      capacity: Cores that it may use.
    """

    vm: str
    host: str
    port: int
    data_center: str
    region: str
    capacity: float
