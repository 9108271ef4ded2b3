"""A VM that may be a home."""

import attrs


@attrs.frozen
class Member:
    """A VM that may be a home, and the address of its proxy.

    Attributes:
      vm: The VM's name.
      host: The address of its proxy.
      port: The port that its proxy opens to other proxies.
      data_center: The data centre that it runs in.
      region: The region of that data centre.
      capacity: The number of cores that it may use.
    """

    vm: str
    host: str
    port: int
    data_center: str
    region: str
    capacity: float
