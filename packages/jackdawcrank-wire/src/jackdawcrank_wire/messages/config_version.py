"""The sender's newest configuration version."""

import attrs


@attrs.frozen
class ConfigVersion:
    """Says which configuration version is in force at the sender.

    Attributes:
      version: The number of the newest change applied there.
    """

    version: int
