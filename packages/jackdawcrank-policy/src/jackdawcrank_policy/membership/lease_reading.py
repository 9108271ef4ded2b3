"""One reading of a VM's lease row."""

import attrs


@attrs.frozen
class LeaseReading:
    """A VM's lease row as read from the store.

    Attributes:
      vm: The VM's name.
      boot: The id of the process that wrote it.
      counter: The number of times that process has renewed it.
      seconds: The duration of the lease.
      leaving: Whether the process has announced that it is leaving.
    """

    vm: str
    boot: str
    counter: int
    seconds: float
    leaving: bool = False
