"""The announcement of a proxy that shuts down."""

import attrs


@attrs.frozen
class Leaving:
    """Says that a VM stops being a home proxy.

    Attributes:
      vm: The VM that leaves.
    """

    vm: str
