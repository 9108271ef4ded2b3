"""The configuration version of the sender."""

import attrs


@attrs.frozen
class ConfigVersion:
    """Announces the configuration version in force at the sender.

    Attributes:
      version: The version of the newest change that the sender has applied.
    """

    version: int
