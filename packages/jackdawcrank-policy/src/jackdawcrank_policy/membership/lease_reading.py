"""One reading of a VM's lease row."""

import attrs


@attrs.frozen
class LeaseReading:
    """A VM's lease row as read from the store.

    Attributes:
      vm: The VM's name.
      boot: The id of the process that wrote it.
      counter: How often that process has renewed it.
      seconds: The lease's length.
      leaving: Whether the process has said that it is leaving.
    """

    vm: str
    boot: str
    counter: int
    seconds: float
    leaving: bool = False
