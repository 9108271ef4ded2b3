"""The announcement that a proxy is shutting down."""

import attrs


@attrs.frozen
class Leaving:
    """Announces that a VM no longer serves as a home proxy.

    Attributes:
      vm: The VM that is leaving.
    """

    vm: str
